"""Decides where a caller's request goes and what the caller gets back.

The facade composes routing of keyed requests, choice among upstreams, hedging
and the retry budget into one machine:
`step(state, event, now) -> (state, actions)`.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import replace

import immutables

from rosemarydeal.core import Member, NotRun, Row, SliceId, Unknown

from . import nodeview, route
from .attempts import end_one, find_try, finish, launch, launch_hedge, retry_later
from .budget import earn
from .entry_interface import *  # noqa: F403
from .entry_interface import (
    AttemptAnswered,
    AttemptFailed,
    AttemptRejected,
    CallerGone,
    Deliver,
    EntryAction,
    EntryEvent,
    LoadReported,
    MembersChanged,
    RefreshRows,
    RequestAccepted,
    RowsChanged,
    SuspectNode,
)
from .entry_interface import __all__ as _interface_names
from .entry_state import (
    EntryState,
    OpenRequest,
    OutTry,
    put_request,
    start,
    view_of,
    wake_at,
    with_view,
)
from .guard_state import REROUTE_CODES
from .interface import Tick
from .parking import is_parked, park, release
from .timers import due, schedule

__all__ = [
    *_interface_names,
    "EntryState",
    "Tick",
    "start",
    "step",
    "wake_at",
]

Step = tuple[EntryState, tuple[EntryAction, ...]]
SERVER_ERROR_STATUS = 500
ELSEWHERE_CODES = frozenset({"connect-failed", "not-sent", "upstream-down"})
CRASH_CODE = "upstream-crashed"


def step(state: EntryState, event: EntryEvent, now: float) -> Step:
    """Takes one event in and says what to do.

    Args:
        state: The entry's state.
        event: What happened.
        now: The moment, in seconds.

    Returns:
        The new state and the actions, to be carried out in order.
    """
    match event:
        case RequestAccepted():
            return _accept(state, event, now)
        case AttemptAnswered():
            return _answered(state, event, now)
        case AttemptRejected():
            return _refused(state, event, now)
        case AttemptFailed():
            return _failed(state, event, now)
        case CallerGone():
            request = state.open.get(event.request)
            if request is None:
                return state, ()
            return finish(state, request, None, now)
        case MembersChanged():
            return replace(state, members=_by_service(event.members)), ()
        case RowsChanged():
            return _learn(state, event.rows, now)
        case LoadReported():
            seen = view_of(state, event.node)
            seen = nodeview.hear(seen, event.busy, now, event.age, not event.healthy)
            return with_view(state, event.node, seen), ()
        case Tick():
            return _tick(state, now)


def _without(
    table: immutables.Map[SliceId, str], slice: SliceId
) -> immutables.Map[SliceId, str]:
    """Returns a table without a slice."""
    return table.delete(slice) if slice in table else table


def _by_service(
    members: tuple[Member, ...],
) -> immutables.Map[str, tuple[Member, ...]]:
    """Groups members by the service that they serve."""
    groups: dict[str, list[Member]] = {}
    for member in sorted(members, key=lambda m: m.node):
        groups.setdefault(member.service, []).append(member)
    return immutables.Map({name: tuple(found) for name, found in groups.items()})


def _accept(state: EntryState, asked: RequestAccepted, now: float) -> Step:
    """Sends the first try of a request out."""
    past_unknown = asked.resent and not asked.idempotent
    request = OpenRequest(asked, past_unknown=past_unknown)
    timers = schedule(state.timers, asked.deadline, asked.request)
    latency = state.latencies.get(asked.service)
    may_hedge = asked.idempotent and asked.slice is None
    if may_hedge and latency is not None and latency.hedge_after is not None:
        request = replace(request, hedge_at=now + latency.hedge_after)
        timers = schedule(timers, request.hedge_at, asked.request)
    state = replace(
        state,
        retries=earn(state.retries),
        hedges=earn(state.hedges) if may_hedge else state.hedges,
        timers=timers,
    )
    state = put_request(state, request)
    if is_parked(state, asked.slice):
        return park(state, request, 0.0, now), ()
    return launch(state, request, now)


def _learn(state: EntryState, rows: Iterable[Row], now: float) -> Step:
    """Takes rows in; what waited for the owner of a changed one is tried."""
    known = state.rows
    state = replace(state, rows=route.learn(known, rows))
    actions: list[EntryAction] = []
    for row in rows:
        if state.rows[row.slice] is known.get(row.slice):
            continue
        state = replace(state, serving=_without(state.serving, row.slice))
        state, more = _release(state, row.slice, now)
        actions.extend(more)
    return state, tuple(actions)


def _release(state: EntryState, slice: SliceId | None, now: float) -> Step:
    """Tries all requests that were held back for a slice."""
    state, numbers = release(state, slice)
    actions: list[EntryAction] = []
    for number in numbers:
        request = state.open.get(number)
        if request is not None and not request.tries:
            fresh = replace(request, refused=frozenset(), retry_at=None)
            state, more = launch(put_request(state, fresh), fresh, now)
            actions.extend(more)
    return state, tuple(actions)


def _answered(state: EntryState, event: AttemptAnswered, now: float) -> Step:
    """Delivers the first answer and cancels the other try, if any."""
    out = find_try(state, event.request, event.attempt)
    if out is None:
        return state, ()
    failed = event.status >= SERVER_ERROR_STATUS
    request = state.open[event.request]
    state, request = end_one(state, request, out, now, True, failed)
    state = _heard(state, out, event.busy, now)
    slice = request.accepted.slice
    state = _note_serving(state, request, out.node)
    state, cancels = finish(state, request, None, now)
    state, more = _release(state, slice, now)
    return state, (Deliver(event.request, event.attempt), *cancels, *more)


def _note_serving(state: EntryState, request: OpenRequest, node: str) -> EntryState:
    """Remembers a node that served a slice after its owner did not."""
    slice = request.accepted.slice
    row = None if slice is None else state.rows.get(slice)
    if row is None or row.owner is None:
        return state
    if row.owner.node in request.refused:
        return replace(state, serving=state.serving.set(slice, node))
    if row.owner.node == node:
        return replace(state, serving=_without(state.serving, slice))
    return state


def _heard(state: EntryState, out: OutTry, busy: int, now: float) -> EntryState:
    """Notes that a node speaks, and what it has in hand."""
    seen = replace(view_of(state, out.node), silent_until=0.0, heard_at=now)
    if busy >= 0:
        seen = nodeview.hear(seen, busy, now, 0.0, seen.ill)
    return with_view(state, out.node, seen)


def _refused(state: EntryState, event: AttemptRejected, now: float) -> Step:
    """Follows a refusal by its code: elsewhere, later, or to the caller."""
    out = find_try(state, event.request, event.attempt)
    if out is None:
        return state, ()
    state, request = end_one(state, state.open[event.request], out, now, False, False)
    state = _heard(state, out, event.busy, now)
    outcome = event.outcome
    keyed = request.accepted.slice is not None
    if isinstance(outcome, NotRun):
        request = replace(request, past_unknown=False)
    if keyed and outcome.code in REROUTE_CODES:
        return _reroute(state, request, out, event, now)
    if isinstance(outcome, Unknown):
        return _lost(state, request, out, outcome, now)
    request = _remember(request, out, outcome)
    state = put_request(state, request)
    if request.tries:
        return state, ()
    if outcome.code == "stale-ticket":
        return _without_ticket(state, request, out, now)
    if not keyed and outcome.code in ELSEWHERE_CODES:
        return retry_later(state, request, outcome, 0.0, now)
    state, actions = finish(state, request, outcome, now)
    state, more = _release(state, request.accepted.slice, now)
    return state, (*actions, *more)


def _without_ticket(
    state: EntryState, request: OpenRequest, out: OutTry, now: float
) -> Step:
    """Tries the owner again without the ticket that it doesn't know."""
    refused = request.refused - {out.node}
    request = replace(request, without_ticket=True, refused=refused)
    return launch(put_request(state, request), request, now)


def _remember(
    request: OpenRequest, out: OutTry, outcome: NotRun | Unknown
) -> OpenRequest:
    """Notes on the request that a node did not run it, or may have."""
    refused = request.refused | {out.node}
    if isinstance(outcome, Unknown):
        return replace(request, refused=refused)
    return replace(request, refused=refused, last_refusal=outcome)


def _reroute(
    state: EntryState,
    request: OpenRequest,
    out: OutTry,
    event: AttemptRejected,
    now: float,
) -> Step:
    """Goes to the owner that a newer row names, or waits for one."""
    slice = request.accepted.slice
    known = state.rows.get(slice)
    request = _remember(request, out, event.outcome)
    state = replace(put_request(state, request), serving=_without(state.serving, slice))
    newer = event.row is not None and (
        known is None or event.row.version > known.version
    )
    if newer:
        fresh = replace(request, refused=frozenset())
        state, actions = _learn(put_request(state, fresh), (event.row,), now)
        request = state.open.get(event.request)
        if request is None or request.tries:
            return state, actions
        state, more = launch(state, request, now)
        return state, (*actions, *more)
    delay = max(state.settings.retry_delay_s, getattr(event.outcome, "retry_after", 0))
    return _wait_for_owner(state, request, delay, now)


def _wait_for_owner(
    state: EntryState, request: OpenRequest, delay_s: float, now: float
) -> Step:
    """Holds a keyed request back; a probe asks the rest of the succession."""
    slice = request.accepted.slice
    row = state.rows.get(slice)
    names = frozenset(i.node for i in row.succession) if row else frozenset()
    if names <= request.refused:
        request = replace(request, refused=frozenset())
    else:
        delay_s = 0.0
    return park(state, request, delay_s, now), (RefreshRows(slice),)


def _lost(
    state: EntryState, request: OpenRequest, out: OutTry, outcome: Unknown, now: float
) -> Step:
    """Follows a try that may have run; only idempotent requests go again."""
    request = replace(_remember(request, out, outcome), may_have_run=True)
    if request.tries:
        return put_request(state, request), ()
    if not request.accepted.idempotent:
        return finish(state, request, outcome, now)
    crashed = outcome.code == CRASH_CODE
    delay = state.settings.retry_delay_s if crashed else 0.0
    return retry_later(state, request, outcome, delay, now)


def _failed(state: EntryState, event: AttemptFailed, now: float) -> Step:
    """Follows a broken or refused connection to a guard."""
    out = find_try(state, event.request, event.attempt)
    if out is None:
        return state, ()
    state, request = end_one(state, state.open[event.request], out, now, False, True)
    silent_until = now + state.settings.unresponsive_s
    seen = replace(view_of(state, out.node), silent_until=silent_until)
    state = with_view(state, out.node, seen)
    suspicion = SuspectNode(out.node)
    if event.sent:
        outcome = Unknown("connection-lost", "The connection to the guard was lost.")
        state, actions = _lost(state, request, out, outcome, now)
        return state, (suspicion, *actions)
    outcome = NotRun("connect-failed", "The guard can't be reached.", 0.2)
    request = _remember(request, out, outcome)
    state = put_request(state, request)
    if request.tries:
        return state, (suspicion,)
    if request.accepted.slice is not None:
        delay = state.settings.retry_delay_s
        state, actions = _wait_for_owner(state, request, delay, now)
    else:
        state, actions = retry_later(state, request, outcome, 0.0, now)
    return state, (suspicion, *actions)


def _tick(state: EntryState, now: float) -> Step:
    """Acts on the requests that are due for a hedge, a retry or an end."""
    timers, requests = due(state.timers, now)
    state = replace(state, timers=timers)
    actions: list[EntryAction] = []
    for number in requests:
        request = state.open.get(number)
        if request is not None:
            state, more = _remind(state, request, now)
            actions.extend(more)
    return state, tuple(actions)


def _remind(state: EntryState, request: OpenRequest, now: float) -> Step:
    """Does what is due for one request."""
    if request.accepted.deadline <= now:
        return _overdue(state, request, now)
    if request.retry_at is not None and request.retry_at <= now:
        return launch(state, request, now)
    actions: tuple[EntryAction, ...] = ()
    if request.hedge_at is not None and request.hedge_at <= now:
        state, actions = launch_hedge(state, request, now)
        request = state.open[request.accepted.request]
    if request.suspect_at is not None and request.suspect_at <= now:
        state, silent = _suspect_silent(state, request, now)
        return state, (*actions, *silent)
    return state, actions


def _suspect_silent(state: EntryState, request: OpenRequest, now: float) -> Step:
    """Suspects nodes that have not replied to anybody since a try started."""
    unresponsive_s = state.settings.unresponsive_s
    state = put_request(state, replace(request, suspect_at=None))
    actions = []
    for out in request.tries:
        seen = view_of(state, out.node)
        if now - out.started >= unresponsive_s and seen.heard_at < out.started:
            seen = replace(seen, silent_until=now + unresponsive_s)
            state = with_view(state, out.node, seen)
            actions.append(SuspectNode(out.node))
    return state, tuple(actions)


def _overdue(state: EntryState, request: OpenRequest, now: float) -> Step:
    """Ends a request whose deadline has passed."""
    if request.tries or request.last_refusal is None:
        outcome = Unknown("deadline-passed", "No answer came before the deadline.")
        return finish(state, request, outcome, now)
    return finish(state, request, request.last_refusal, now)
