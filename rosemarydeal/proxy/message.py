"""Requests and responses as the server and the client exchange them."""

from __future__ import annotations

from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass
from enum import Enum
from http import HTTPStatus

import msgspec

from rosemarydeal.core import Address

from .errors import BodyTooLarge

__all__ = [
    "BytesBody",
    "Framing",
    "Headers",
    "Request",
    "Response",
    "bytes_response",
    "close_body",
    "find_header",
    "problem_response",
    "read_bytes",
    "replace_header",
    "strip_hop_by_hop",
]

Headers = tuple[tuple[bytes, bytes], ...]

HOP_BY_HOP = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    }
)
# Kept even if a Connection header names them: a caller could otherwise hide
# them from the next hop.
NEVER_STRIPPED = frozenset({b"host", b"content-length", b"expect", b"idempotency-key"})


class BytesBody:
    """Body that is completely in memory.

    It can be iterated like a streamed body; connections check for this type and
    write head and body at once.
    """

    __slots__ = ("_consumed", "_data")

    def __init__(self, data: bytes) -> None:
        self._data = data
        self._consumed = False

    @property
    def data(self) -> bytes:
        """Returns the whole body."""
        return self._data

    def __aiter__(self) -> BytesBody:
        return self

    async def __anext__(self) -> bytes:
        if self._consumed or not self._data:
            raise StopAsyncIteration
        self._consumed = True
        return self._data

    async def aclose(self) -> None:
        """Does nothing, as there is nothing to close."""


@dataclass(frozen=True, slots=True)
class Request:
    """HTTP request; header names are in lower case.

    Attributes:
        method: Method, such as `b"GET"`.
        target: Request target as received in the request line.
        headers: End-to-end headers in the order of arrival.
        body: Pieces of the body; can be iterated once.
        peer: Address of the caller.
    """

    method: bytes
    target: bytes
    headers: Headers
    body: AsyncIterator[bytes]
    peer: Address


class Framing(Enum):
    """How the end of a response's body is known.

    Attributes:
        NONE: The response has no body.
        LENGTH: By its length.
        CHUNKED: By its last chunk.
        CLOSE: By the end of the connection.
    """

    NONE = "none"
    LENGTH = "length"
    CHUNKED = "chunked"
    CLOSE = "close"


@dataclass(frozen=True, slots=True)
class Response:
    """HTTP response; header names are in lower case.

    Attributes:
        status: HTTP status code.
        headers: End-to-end headers in the order of arrival.
        body: Pieces of the body; can be iterated once.
        framing: How the upstream marked the end of the body.
        exchange: Number of the exchange on its connection, from 1 on.
        late_copies: Number of copies of earlier responses that came before it.
        close: Whether the connection is to be closed after it.
    """

    status: int
    headers: Headers
    body: AsyncIterator[bytes]
    framing: Framing = Framing.LENGTH
    exchange: int = 1
    late_copies: int = 0
    close: bool = False

    async def aclose(self) -> None:
        """Closes the body; a connection with unread body is aborted."""
        close = getattr(self.body, "aclose", None)
        if close is not None:
            await close()

    async def __aenter__(self) -> Response:
        return self

    async def __aexit__(self, *_error: object) -> None:
        await self.aclose()


def bytes_response(status: int, body: bytes, headers: Headers = ()) -> Response:
    """Builds a response whose body is in memory.

    Args:
        status: HTTP status code.
        body: All bytes of the body.
        headers: Further headers; Content-Length is added when it is sent.

    Returns:
        The response.
    """
    return Response(status, headers, BytesBody(body))


def problem_response(
    status: int, code: str, detail: str, headers: Headers = ()
) -> Response:
    """Builds a response with an application/problem+json body (RFC 9457).

    Args:
        status: HTTP status code.
        code: Stable code, listed in docs/CODES.md.
        detail: Human-readable explanation, one sentence.
        headers: Further headers.

    Returns:
        The response.
    """
    problem = {
        "type": f"urn:rosemarydeal:{code}",
        "title": HTTPStatus(status).phrase,
        "status": status,
        "code": code,
        "detail": detail,
    }
    content_type = ((b"content-type", b"application/problem+json"),)
    return bytes_response(status, msgspec.json.encode(problem), content_type + headers)


async def read_bytes(
    body: AsyncIterator[bytes],
    limit: int,
    on_length: Callable[[int], None] = lambda _length: None,
) -> bytes:
    """Reads a body to its end.

    Args:
        body: The body.
        limit: Maximum number of bytes.
        on_length: Called with the length so far before each piece is kept; what it
            raises ends the reading.

    Returns:
        The whole body.

    Raises:
        BodyTooLarge: If the body is longer than the limit.
    """
    if isinstance(body, BytesBody):
        if len(body.data) > limit:
            raise BodyTooLarge(f"the body is longer than {limit} bytes")
        on_length(len(body.data))
        return body.data
    pieces = []
    length = 0
    async for piece in body:
        length += len(piece)
        if length > limit:
            await close_body(body)
            raise BodyTooLarge(f"the body is longer than {limit} bytes")
        on_length(length)
        pieces.append(piece)
    return b"".join(pieces)


async def close_body(body: AsyncIterator[bytes]) -> None:
    """Closes a body that is not read to its end, and with it its connection."""
    aclose = getattr(body, "aclose", None)
    if aclose is not None:
        await aclose()


def find_header(headers: Headers, name: bytes) -> bytes | None:
    """Returns the first value of a header, or None.

    Args:
        headers: The headers.
        name: Name in lower case.
    """
    for field, value in headers:
        if field == name:
            return value
    return None


def replace_header(headers: Headers, name: bytes, value: bytes | None) -> Headers:
    """Returns the headers with a header replaced, added or removed.

    Args:
        headers: The headers.
        name: Name in lower case.
        value: The new value, or None to remove the header.
    """
    remaining = tuple(field for field in headers if field[0] != name)
    return remaining if value is None else (*remaining, (name, value))


def strip_hop_by_hop(headers: Headers) -> Headers:
    """Returns the headers without hop-by-hop headers (RFC 9110, section 7.6.1)."""
    if HOP_BY_HOP.isdisjoint([name for name, _ in headers]):
        return headers
    dropped = HOP_BY_HOP
    for name, value in headers:
        if name == b"connection":
            named = {token.strip().lower() for token in value.split(b",")}
            dropped = dropped | (named - NEVER_STRIPPED)
    return tuple((name, value) for name, value in headers if name not in dropped)
