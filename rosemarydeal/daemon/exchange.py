"""Prepares requests for the upstream and reads what comes back."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator, Callable
from dataclasses import replace

from rosemarydeal.core import SliceId, headers
from rosemarydeal.policy import guard
from rosemarydeal.proxy import (
    PoolSettings,
    ProxyError,
    Request,
    Response,
    find_header,
    replace_header,
    strip_hop_by_hop,
)

__all__ = ["pool_settings", "refusal_in", "streamed", "upstream_request"]

MS_PER_S = 1000.0


async def streamed(
    queue: asyncio.Queue[bytes | ProxyError | None],
    pieces: list[bytes],
    abandon: Callable[[], None],
) -> AsyncIterator[bytes]:
    """Yields the pieces of a large answer as they come.

    Args:
        queue: Further pieces; None ends them, an error breaks them off.
        pieces: The pieces that came already.
        abandon: Called when the reader leaves before the end.

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
            abandon()


def upstream_request(
    action: guard.Dispatch, request: Request, allowed_s: float
) -> Request:
    """Returns the request as the upstream gets it, with its grant."""
    kept = strip_hop_by_hop(request.headers)
    for name in headers.PRIVATE_HEADERS:
        kept = replace_header(kept, name, None)
    allowed_ms = b"%d" % max(0, int(allowed_s * MS_PER_S))
    kept = replace_header(kept, headers.DEADLINE_MS, allowed_ms)
    request_id = action.request_id.encode("latin-1")
    kept = replace_header(kept, headers.IDEMPOTENCY_KEY, request_id)
    if action.slice is not None:
        grant = f"{_slice_name(action.slice)}={action.token}"
        kept = replace_header(kept, headers.GRANT, grant.encode("ascii"))
    return replace(request, headers=kept)


def _slice_name(slice_id: SliceId) -> str:
    """Returns the name of a slice in a grant."""
    base = f"{slice_id.service}/{slice_id.index}"
    return base if slice_id.carved < 0 else f"{base}/{slice_id.carved}"


def refusal_in(request_id: str, response: Response) -> guard.UpstreamRejected | None:
    """Returns the upstream's truthful refusal, if the answer is one."""
    outcome = find_header(response.headers, headers.OUTCOME)
    if outcome != headers.OUTCOME_NOT_RUN:
        return None
    retry_after = find_header(response.headers, headers.RETRY_AFTER) or b""
    seconds = 0.0
    with contextlib.suppress(ValueError):
        seconds = max(0.0, float(retry_after))
    return guard.UpstreamRejected(request_id, seconds)


def pool_settings(settings: guard.GuardSettings) -> PoolSettings:
    """Returns the limits of the connections to the upstream."""
    return PoolSettings(
        connections_per_address=settings.connections,
        idle_per_address=settings.connections,
    )
