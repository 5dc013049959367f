"""Holds requests back while nobody serves their slice.

After the loss of an owner, or during a hand-over, one request of the slice
probes the succession again and again; the others wait for it. So the tries
spent on a slice without owner don't grow with its traffic.
"""

from __future__ import annotations

from dataclasses import replace

from rosemarydeal.core import SliceId

from .entry_state import EntryState, OpenRequest, put_request
from .timers import schedule

__all__ = ["is_parked", "unpark", "park", "release_all"]


def is_parked(state: EntryState, slice: SliceId | None) -> bool:
    """Says whether requests of a slice are held back."""
    return slice is not None and slice in state.parked


def park(
    state: EntryState, request: OpenRequest, delay_s: float, now: float
) -> EntryState:
    """Holds a request back; the first of its slice probes after a delay."""
    accepted = request.accepted
    waiting = state.parked.get(accepted.slice, ())
    if accepted.request not in waiting:
        waiting = (*waiting, accepted.request)
        state = replace(state, parked=state.parked.set(accepted.slice, waiting))
    if waiting[0] != accepted.request:
        return put_request(state, replace(request, retry_at=None))
    return _schedule_probe(state, request, now + delay_s)


def _schedule_probe(
    state: EntryState, request: OpenRequest, moment: float
) -> EntryState:
    """Plans the next try of the request that probes."""
    timers = schedule(state.timers, moment, request.accepted.request)
    state = replace(state, timers=timers)
    return put_request(state, replace(request, retry_at=moment))


def unpark(state: EntryState, request: OpenRequest, now: float) -> EntryState:
    """Takes a request out; the next one probes if it was the probe."""
    accepted = request.accepted
    waiting = () if accepted.slice is None else state.parked.get(accepted.slice, ())
    if accepted.request not in waiting:
        return state
    remaining = tuple(number for number in waiting if number != accepted.request)
    if not remaining:
        return replace(state, parked=state.parked.delete(accepted.slice))
    state = replace(state, parked=state.parked.set(accepted.slice, remaining))
    if waiting[0] != accepted.request:
        return state
    return _schedule_probe(state, state.open[remaining[0]], now)


def release_all(
    state: EntryState, slice: SliceId | None
) -> tuple[EntryState, tuple[int, ...]]:
    """Lets all requests of a slice go.

    Returns:
        The state and the numbers of the requests that may be tried now.
    """
    if not is_parked(state, slice):
        return state, ()
    waiting = state.parked[slice]
    return replace(state, parked=state.parked.delete(slice)), waiting
