"""Decides where a caller's request goes and what the caller gets back.

The facade composes routing of keyed requests, choice among upstreams, hedging
and the retry budget into one machine:
`step(state, event, now) -> (state, actions)`.
"""

from __future__ import annotations

from dataclasses import replace

import immutables

from rosemarydeal.core import Member, NotRun, Unknown

from . import nodeview, route
from .budget import earn
from .entry_interface import *  # noqa: F403
from .entry_interface import (
    CallerGone,
    Deliver,
    EntryAction,
    EntryEvent,
    LoadHeard,
    MembersChanged,
    RefreshRows,
    RequestAccepted,
    RowsChanged,
    Suspect,
    TryAnswered,
    TryFailed,
    TryRefused,
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
from .interface import Tick
from .timers import due, schedule
from .tries import end_one, find_try, finish, launch, launch_hedge, retry_later

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
REROUTE_CODES = frozenset({"moving", "not-owner", "stale-ticket"})
ELSEWHERE_CODES = frozenset({"not-sent", "upstream-down"})
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
        case TryAnswered():
            return _answered(state, event, now)
        case TryRefused():
            return _refused(state, event, now)
        case TryFailed():
            return _failed(state, event, now)
        case CallerGone():
            request = state.open.get(event.request)
            if request is None:
                return state, ()
            return finish(state, request, None, now)
        case MembersChanged():
            return replace(state, members=_by_service(event.members)), ()
        case RowsChanged():
            return replace(state, rows=route.learn(state.rows, event.rows)), ()
        case LoadHeard():
            seen = view_of(state, event.node)
            seen = nodeview.hear(seen, event.busy, now, event.age, not event.healthy)
            return with_view(state, event.node, seen), ()
        case Tick():
            return _tick(state, now)


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
    return launch(put_request(state, request), request, now)


def _answered(state: EntryState, event: TryAnswered, now: float) -> Step:
    """Delivers the first answer and cancels the other try, if any."""
    out = find_try(state, event.request, event.attempt)
    if out is None:
        return state, ()
    failed = event.status >= SERVER_ERROR_STATUS
    request = state.open[event.request]
    state, request = end_one(state, request, out, now, True, failed)
    state = _heard(state, out, event.busy, now)
    state, cancels = finish(state, request, None, now)
    return state, (Deliver(event.request, event.attempt), *cancels)


def _heard(state: EntryState, out: OutTry, busy: int, now: float) -> EntryState:
    """Notes that a node speaks, and what it has in hand."""
    seen = replace(view_of(state, out.node), silent_until=0.0)
    if busy >= 0:
        seen = nodeview.hear(seen, busy, now, 0.0, seen.ill)
    return with_view(state, out.node, seen)


def _refused(state: EntryState, event: TryRefused, now: float) -> Step:
    """Follows a refusal by its code: elsewhere, later, or to the caller."""
    out = find_try(state, event.request, event.attempt)
    if out is None:
        return state, ()
    state, request = end_one(state, state.open[event.request], out, now, False, False)
    state = _heard(state, out, event.busy, now)
    outcome = event.outcome
    code = outcome.code
    if isinstance(outcome, NotRun):
        request = replace(request, past_unknown=False)
    if code in REROUTE_CODES:
        return _reroute(state, request, out, event, now)
    if isinstance(outcome, Unknown):
        return _lost(state, request, out, outcome, now)
    request = _remember(request, out, outcome)
    if request.tries:
        return put_request(state, request), ()
    if code in ELSEWHERE_CODES:
        return retry_later(
            state, request, outcome, _elsewhere_delay(state, request), now
        )
    return finish(state, request, outcome, now)


def _elsewhere_delay(state: EntryState, request: OpenRequest) -> float:
    """Returns how long a try elsewhere waits: a key has nowhere else to go."""
    return 0.0 if request.accepted.slice is None else state.settings.retry_delay_s


def _remember(
    request: OpenRequest, out: OutTry, outcome: NotRun | Unknown
) -> OpenRequest:
    """Notes a refusal on the request."""
    refusal = outcome if isinstance(outcome, NotRun) else request.last_refusal
    return replace(request, refused=request.refused | {out.node}, last_refusal=refusal)


def _reroute(
    state: EntryState, request: OpenRequest, out: OutTry, event: TryRefused, now: float
) -> Step:
    """Goes to the owner that a newer row names, or asks for a newer row."""
    slice = request.accepted.slice
    known = None if slice is None else state.rows.get(slice)
    request = _remember(request, out, event.outcome)
    if event.outcome.code == "stale-ticket":
        request = replace(
            request, without_ticket=True, refused=request.refused - {out.node}
        )
    newer = event.row is not None and (
        known is None or event.row.version > known.version
    )
    if newer:
        state = replace(state, rows=route.learn(state.rows, (event.row,)))
        request = replace(request, refused=frozenset())
    first = newer or event.outcome.code == "stale-ticket"
    if first and request.attempts < state.settings.attempts_max:
        return launch(put_request(state, request), request, now)
    settings = state.settings
    delay = max(settings.retry_delay_s, getattr(event.outcome, "retry_after", 0.0))
    state, actions = retry_later(
        put_request(state, request), request, event.outcome, delay, now
    )
    asks = () if slice is None else (RefreshRows(slice),)
    return state, (*asks, *actions)


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


def _failed(state: EntryState, event: TryFailed, now: float) -> Step:
    """Follows a broken or refused connection to a guard."""
    out = find_try(state, event.request, event.attempt)
    if out is None:
        return state, ()
    state, request = end_one(state, state.open[event.request], out, now, False, True)
    silent_until = now + state.settings.silent_s
    seen = replace(view_of(state, out.node), silent_until=silent_until)
    state = with_view(state, out.node, seen)
    suspicion = Suspect(out.node)
    if event.sent:
        outcome = Unknown("connection-lost", "The connection to the guard was lost.")
        state, actions = _lost(state, request, out, outcome, now)
        return state, (suspicion, *actions)
    outcome = NotRun("not-sent", "The guard can't be reached.", 0.2)
    request = _remember(request, out, outcome)
    state = put_request(state, request)
    if request.tries:
        return state, (suspicion,)
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
        everywhere = replace(request, refused=frozenset())
        return launch(state, everywhere, now)
    actions: tuple[EntryAction, ...] = ()
    if request.hedge_at is not None and request.hedge_at <= now:
        state, actions = launch_hedge(state, request, now)
        request = state.open[request.accepted.request]
    if request.suspect_at is not None and request.suspect_at <= now:
        silent = tuple(
            Suspect(out.node)
            for out in request.tries
            if now - out.started >= state.settings.silent_s
        )
        state = put_request(state, replace(request, suspect_at=None))
        return state, (*actions, *silent)
    return state, actions


def _overdue(state: EntryState, request: OpenRequest, now: float) -> Step:
    """Ends a request whose deadline has passed."""
    if request.tries or request.last_refusal is None:
        outcome = Unknown("deadline-passed", "No answer came before the deadline.")
        return finish(state, request, outcome, now)
    return finish(state, request, request.last_refusal, now)
