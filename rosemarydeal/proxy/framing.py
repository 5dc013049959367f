"""Builds message heads with the headers that delimit the body."""

from __future__ import annotations

from http import HTTPStatus

import h11

from rosemarydeal.core import Address

from .message import (
    BytesBody,
    Framing,
    Headers,
    Request,
    Response,
    strip_hop_by_hop,
)

__all__ = ["has_no_body", "request_head", "response_framing", "response_head"]

REASON_PHRASES = {status.value: status.phrase.encode() for status in HTTPStatus}
BODILESS_STATUSES = frozenset({204, 304})
METHODS_WITHOUT_BODY = frozenset({b"GET", b"HEAD", b"DELETE", b"OPTIONS", b"TRACE"})


def request_head(request: Request, address: Address) -> h11.Request:
    """Builds the head of a request with at most one header that frames its body.

    Args:
        request: The request.
        address: Destination, used as Host if the request has none.

    Raises:
        h11.LocalProtocolError: If the request is not valid.
    """
    fields = list(strip_hop_by_hop(request.headers))
    names = {name for name, _ in fields}
    if b"host" not in names:
        fields.insert(0, (b"host", str(address).encode()))
    if isinstance(request.body, BytesBody):
        length = len(request.body.data)
        if length or request.method not in METHODS_WITHOUT_BODY:
            fields = _with_content_length(fields, length)
        elif b"content-length" in names:
            fields = [field for field in fields if field[0] != b"content-length"]
    elif b"content-length" not in names:
        fields.append((b"transfer-encoding", b"chunked"))
    return h11.Request(method=request.method, target=request.target, headers=fields)


def has_no_body(method: bytes, status: int) -> bool:
    """Returns whether a response has no body, regardless of its headers."""
    return method == b"HEAD" or status in BODILESS_STATUSES


def response_framing(method: bytes, status: int, headers: Headers) -> Framing:
    """Returns how the end of a response's body is known.

    Args:
        method: Method of the request.
        status: Status of the response.
        headers: All headers of the response, with their names in lower case.
    """
    if has_no_body(method, status):
        return Framing.NONE
    names = {name for name, _ in headers}
    if b"transfer-encoding" in names:
        return Framing.CHUNKED
    return Framing.LENGTH if b"content-length" in names else Framing.CLOSE


def response_head(method: bytes, response: Response, close: bool) -> h11.Response:
    """Builds the head of a response.

    Args:
        method: Method of the request.
        response: The response.
        close: Whether the connection is closed after the response.

    Raises:
        h11.LocalProtocolError: If the response is not valid.
    """
    fields = list(strip_hop_by_hop(response.headers))
    buffered = isinstance(response.body, BytesBody)
    if response.status == HTTPStatus.NO_CONTENT:
        # Not allowed here; a caller could wait for the bytes (RFC 9110, section 8.6).
        fields = [field for field in fields if field[0] != b"content-length"]
    elif buffered and (response.body.data or not has_no_body(method, response.status)):
        fields = _with_content_length(fields, len(response.body.data))
    if close:
        fields.append((b"connection", b"close"))
    reason = REASON_PHRASES.get(response.status, b"")
    return h11.Response(status_code=response.status, headers=fields, reason=reason)


def _with_content_length(
    fields: list[tuple[bytes, bytes]], length: int
) -> list[tuple[bytes, bytes]]:
    """Returns the headers with Content-Length set to the length of the body."""
    remaining = [field for field in fields if field[0] != b"content-length"]
    remaining.append((b"content-length", b"%d" % length))
    return remaining
