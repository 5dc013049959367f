"""Prepares requests for other processes and reads their replies."""

from __future__ import annotations

import contextlib
from collections.abc import AsyncIterator
from dataclasses import dataclass, replace

from rosemarydeal.core import NotRun, Unknown, headers
from rosemarydeal.policy import entry
from rosemarydeal.proxy import (
    BytesBody,
    Request,
    Response,
    find_header,
    replace_header,
)

from .classify import RequestDetails
from .guard import NoAnswer, Reply

__all__ = [
    "BufferedRequest",
    "full_body",
    "buffer_request",
    "forwarded_request",
    "read_reply",
]

MAX_REPLAY_BYTES = 65_536
MS_PER_S = 1000.0


@dataclass(frozen=True, slots=True)
class BufferedRequest:
    """Holds the beginning of a request's body.

    Attributes:
        request: The request, to be sent with what follows the beginning.
        prefix: The bytes that were read.
        complete: Whether these are all, so that the request can be sent again.
    """

    request: Request
    prefix: bytes
    complete: bool


async def buffer_request(request: Request) -> BufferedRequest:
    """Reads the beginning of a body, so that a small one can be sent again."""
    if isinstance(request.body, BytesBody):
        return BufferedRequest(request, request.body.data, True)
    pieces: list[bytes] = []
    size = 0
    async for piece in request.body:
        pieces.append(piece)
        size += len(piece)
        if size > MAX_REPLAY_BYTES:
            return BufferedRequest(request, b"".join(pieces), False)
    return BufferedRequest(request, b"".join(pieces), True)


def full_body(buffered: BufferedRequest) -> AsyncIterator[bytes]:
    """Returns the body to send: from memory, or with what still comes."""
    if buffered.complete:
        return BytesBody(buffered.prefix)
    return _continued_body(buffered.prefix, buffered.request.body)


def forwarded_request(
    buffered: BufferedRequest,
    details: RequestDetails,
    action: entry.SendAttempt,
    now: float,
) -> Request:
    """Returns a request as another process gets it.

    Args:
        buffered: The caller's request.
        details: What was read from it.
        action: The try that the policy asks for.
        now: The moment, in seconds.
    """
    remaining_ms = max(1, int((action.deadline - now) * MS_PER_S))
    attempt = headers.ATTEMPT_RESENT if action.resent else headers.ATTEMPT_FIRST
    ticket = b"%d" % action.ticket if action.ticket is not None else None
    fields = buffered.request.headers
    for name, value in (
        (headers.DEADLINE_MS, b"%d" % remaining_ms),
        (headers.HOPS, b"%d" % (details.hops + 1)),
        (headers.IDEMPOTENCY_KEY, details.request_id.encode("latin-1")),
        (headers.ATTEMPT, attempt),
        (headers.TICKET, ticket),
    ):
        fields = replace_header(fields, name, value)
    return replace(buffered.request, headers=fields, body=full_body(buffered))


async def read_reply(response: Response) -> Reply:
    """Turns another process's refusal into its outcome.

    Args:
        response: What the other process answered.

    Returns:
        The response if it is an answer, else the outcome.
    """
    kind = find_header(response.headers, headers.OUTCOME)
    if kind == headers.OUTCOME_ANSWER:
        return response
    await response.aclose()
    code = (find_header(response.headers, headers.CODE) or b"").decode("latin-1")
    if kind == headers.OUTCOME_NOT_RUN:
        return NoAnswer(NotRun(code, "", _retry_after(response)))
    return NoAnswer(Unknown(code or "outcome-missing"))


def _retry_after(response: Response) -> float:
    """Returns the seconds that a refusal asks to wait."""
    value = find_header(response.headers, headers.RETRY_AFTER) or b"0"
    with contextlib.suppress(ValueError):
        return max(0.0, float(value))
    return 0.0


async def _continued_body(
    prefix: bytes, remainder: AsyncIterator[bytes]
) -> AsyncIterator[bytes]:
    """Yields what was read of a body and then what still comes."""
    yield prefix
    async for piece in remainder:
        yield piece
