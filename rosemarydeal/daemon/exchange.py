"""Prepares requests for the upstream and reads its responses."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator, Callable
from dataclasses import replace

import structlog

from rosemarydeal.core import SliceId, headers
from rosemarydeal.policy import guard
from rosemarydeal.proxy import (
    ConnectionSettings,
    PoolSettings,
    ProxyError,
    Request,
    Response,
    find_header,
    replace_header,
    strip_hop_by_hop,
)

__all__ = [
    "break_off",
    "find_rejection",
    "keeps_connection",
    "pool_settings",
    "stream_body",
    "task_result",
    "upstream_request",
]

MS_PER_S = 1000.0

_log = structlog.get_logger()


async def stream_body(
    queue: asyncio.Queue[bytes | ProxyError | None],
    pieces: list[bytes],
    on_abandoned: Callable[[], None],
) -> AsyncIterator[bytes]:
    """Yields the pieces of a large answer as they arrive.

    Args:
        queue: Further pieces, ended by None or by the error that broke the body.
        pieces: The pieces received so far.
        on_abandoned: Called if the reader stops before the end.

    Yields:
        The pieces in order.
    """
    ended = False
    try:
        for piece in pieces:
            yield piece
        while not ended:
            item = await queue.get()
            ended = not isinstance(item, bytes)
            if isinstance(item, ProxyError):
                raise item
            if item is not None:
                yield item
    finally:
        if not ended:
            on_abandoned()


def break_off(
    queue: asyncio.Queue[bytes | ProxyError | None], error: ProxyError
) -> None:
    """Ends a streamed answer with an error; pieces that were not read are dropped."""
    while not queue.empty():
        queue.get_nowait()
    queue.put_nowait(error)


def upstream_request(
    action: guard.Dispatch, request: Request, timeout_s: float
) -> Request:
    """Returns the request to send to the upstream, with deadline, id and grant."""
    fields = strip_hop_by_hop(request.headers)
    for name in headers.PRIVATE_HEADERS:
        fields = replace_header(fields, name, None)
    timeout_ms = b"%d" % max(0, int(timeout_s * MS_PER_S))
    fields = replace_header(fields, headers.DEADLINE_MS, timeout_ms)
    request_id = action.request_id.encode("latin-1")
    fields = replace_header(fields, headers.IDEMPOTENCY_KEY, request_id)
    if action.slice is not None:
        grant = f"{_slice_name(action.slice)}={action.token}"
        fields = replace_header(fields, headers.GRANT, grant.encode("ascii"))
    return replace(request, headers=fields)


def _slice_name(slice_id: SliceId) -> str:
    """Returns the name of a slice in the grant header."""
    base = f"{slice_id.service}/{slice_id.index}"
    return base if slice_id.carved < 0 else f"{base}/{slice_id.carved}"


def find_rejection(
    request_id: str, response: Response
) -> guard.UpstreamRejected | None:
    """Returns the event for a rejection by the upstream, None for other answers.

    The outcome header marks a rejection: the request did not run.
    """
    outcome = find_header(response.headers, headers.OUTCOME)
    if outcome != headers.OUTCOME_NOT_RUN:
        return None
    retry_after = find_header(response.headers, headers.RETRY_AFTER) or b""
    seconds = 0.0
    with contextlib.suppress(ValueError):
        seconds = max(0.0, float(retry_after))
    return guard.UpstreamRejected(request_id, seconds, keeps_connection(response))


def pool_settings(settings: guard.GuardSettings) -> PoolSettings:
    """Returns the settings of the connection pool to the upstream."""
    return PoolSettings(
        connections_per_address=settings.connections,
        idle_per_address=settings.connections,
        connection=ConnectionSettings(
            identifying_header=headers.IDEMPOTENCY_KEY,
            marking_headers=frozenset({headers.OUTCOME}),
        ),
    )


def keeps_connection(response: Response) -> bool:
    """Returns whether a response names its request, so its connection is reused."""
    return find_header(response.headers, headers.IDEMPOTENCY_KEY) is not None


def task_result(
    request_id: str, task: asyncio.Task[guard.GuardEvent], sent: bool
) -> guard.GuardEvent:
    """Returns the result of an exchange whose task has ended.

    Args:
        request_id: Id of the request.
        task: The task, which may have been cancelled before its first step.
        sent: Whether a part of the request may have been sent.
    """
    error = None if task.cancelled() else task.exception()
    if error is not None:
        _log.error("upstream_exchange_broken", request_id=request_id, exc_info=error)
    if error is not None or task.cancelled():
        return guard.UpstreamFailed(request_id, sent, crashed=False)
    return task.result()
