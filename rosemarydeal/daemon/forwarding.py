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
    """A request with the first part of its body in memory.

    Attributes:
        request: The request; its body yields what follows the prefix.
        prefix: The bytes of the body that were read.
        complete: Whether the prefix is the whole body, so that the request can be
            sent again.
    """

    request: Request
    prefix: bytes
    complete: bool


async def buffer_request(request: Request) -> BufferedRequest:
    """Reads the first part of a body, so that a small body can be sent again."""
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
    """Returns the whole body: from memory, or the prefix and the unread remainder."""
    if buffered.complete:
        return BytesBody(buffered.prefix)
    return _continued_body(buffered.prefix, buffered.request.body)


def forwarded_request(
    buffered: BufferedRequest,
    details: RequestDetails,
    action: entry.SendAttempt,
    now: float,
) -> Request:
    """Returns the request to send to another process.

    Args:
        buffered: The caller's request.
        details: Fields read from it.
        action: The attempt, as requested by the policy.
        now: Current time, in seconds.
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
    """Reads the reply of another process.

    Args:
        response: Response of the other process.

    Returns:
        The response if it is an upstream's answer, else the outcome in its headers.
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
    """Returns the time until a retry, in seconds, 0 without the header."""
    value = find_header(response.headers, headers.RETRY_AFTER) or b"0"
    with contextlib.suppress(ValueError):
        return max(0.0, float(value))
    return 0.0


async def _continued_body(
    prefix: bytes, remainder: AsyncIterator[bytes]
) -> AsyncIterator[bytes]:
    """Yields the prefix of a body and then its remainder."""
    yield prefix
    async for piece in remainder:
        yield piece
