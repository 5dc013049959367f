"""Parks requests while no node serves their slice.

After the loss of an owner, or during a hand-over, one request of the slice
probes the succession repeatedly and the others wait for its result. The number
of attempts for a slice without an owner therefore does not grow with its traffic.
"""

from __future__ import annotations

from dataclasses import replace

from rosemarydeal.core import SliceId

from .entry_state import EntryState, OpenRequest, put_request
from .timers import schedule

__all__ = ["is_parked", "park", "release_all", "unpark"]


def is_parked(state: EntryState, slice: SliceId | None) -> bool:
    """Returns whether requests of the slice are parked."""
    return slice is not None and slice in state.parked


def park(
    state: EntryState, request: OpenRequest, delay_s: float, now: float
) -> EntryState:
    """Parks a request; the first one of its slice probes after a delay."""
    accepted = request.accepted
    waiting = state.parked.get(accepted.slice, ())
    if accepted.request not in waiting:
        waiting = (*waiting, accepted.request)
        state = replace(state, parked=state.parked.set(accepted.slice, waiting))
    if waiting[0] != accepted.request:
        return put_request(state, replace(request, retry_at=None))
    return _schedule_probe(state, request, now + delay_s)


def _schedule_probe(
    state: EntryState, request: OpenRequest, probe_at: float
) -> EntryState:
    """Schedules the next attempt of the request that probes."""
    timers = schedule(state.timers, probe_at, request.accepted.request)
    state = replace(state, timers=timers)
    return put_request(state, replace(request, retry_at=probe_at))


def unpark(state: EntryState, request: OpenRequest, now: float) -> EntryState:
    """Removes a request; if it was the probe, the next one takes over."""
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
    """Removes all parked requests of a slice.

    Returns:
        The state and the numbers of the requests that may be sent now.
    """
    if not is_parked(state, slice):
        return state, ()
    waiting = state.parked[slice]
    return replace(state, parked=state.parked.delete(slice)), waiting
