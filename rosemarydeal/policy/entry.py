"""State machine that forwards callers' requests to guards and returns the outcomes.

It combines the routing of keyed requests, the choice among upstreams, hedging
and the retry budget behind one function:
`step(state, event, now) -> (state, actions)`.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import replace
from typing import TypeVar

import immutables

from rosemarydeal.core import Member, NotRun, Row, SliceId, Unknown
from rosemarydeal.core.codes import SHED_CODE

from . import node_stats, route
from .attempts import (
    end_attempt,
    find_attempt,
    finish,
    retry_later,
    send_attempt,
    send_hedge,
)
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
    OpenAttempt,
    OpenRequest,
    put_request,
    start,
    stats_of,
    wake_at,
    with_stats,
)
from .guard_state import REROUTE_CODES
from .interface import OwnershipGained, OwnershipLost, Tick
from .parking import is_parked, park, release_all
from .timers import due, schedule

__all__ = [
    *_interface_names,
    "EntryState",
    "Tick",
    "start",
    "step",
    "wake_at",
]

Value = TypeVar("Value")
Step = tuple[EntryState, tuple[EntryAction, ...]]
SERVER_ERROR_STATUS = 500
RETRY_ELSEWHERE_CODES = frozenset({"connect-failed", "not-sent", "upstream-down"})
CRASH_CODE = "upstream-crashed"


def step(state: EntryState, event: EntryEvent, now: float) -> Step:
    """Processes one event.

    Args:
        state: The entry's state.
        event: The event.
        now: Current time, in seconds.

    Returns:
        The new state and the actions, to be executed in order.
    """
    match event:
        case RequestAccepted():
            return _accept(state, event, now)
        case AttemptAnswered():
            return _answered(state, event, now)
        case AttemptRejected():
            return _rejected(state, event, now)
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
            return _update_rows(state, event.rows, now)
        case LoadReported():
            stats = stats_of(state, event.node)
            stats = node_stats.record_report(
                stats, event.busy, now, event.age, not event.healthy
            )
            return with_stats(state, event.node, stats), ()
        case OwnershipGained(slice, token):
            state = replace(state, own_tokens=state.own_tokens.set(slice, token))
            return _resume_parked(state, slice, now)
        case OwnershipLost(slice):
            return replace(state, own_tokens=_without(state.own_tokens, slice)), ()
        case Tick():
            return _tick(state, now)


def _without(
    table: immutables.Map[SliceId, Value], slice: SliceId
) -> immutables.Map[SliceId, Value]:
    """Returns the table without the slice."""
    return table.delete(slice) if slice in table else table


def _by_service(
    members: tuple[Member, ...],
) -> immutables.Map[str, tuple[Member, ...]]:
    """Groups members by service, sorted by node."""
    groups: dict[str, list[Member]] = {}
    for member in sorted(members, key=lambda m: m.node):
        groups.setdefault(member.service, []).append(member)
    return immutables.Map({name: tuple(group) for name, group in groups.items()})


def _accept(state: EntryState, accepted: RequestAccepted, now: float) -> Step:
    """Sends the first attempt of a request, or parks it with others of its slice."""
    earlier_outcome_unknown = accepted.resent and not accepted.idempotent
    request = OpenRequest(accepted, earlier_outcome_unknown=earlier_outcome_unknown)
    timers = schedule(state.timers, accepted.deadline, accepted.request)
    latency = state.latencies.get(accepted.service)
    may_hedge = accepted.idempotent and accepted.slice is None
    if may_hedge and latency is not None and latency.hedge_after is not None:
        request = replace(request, hedge_at=now + latency.hedge_after)
        timers = schedule(timers, request.hedge_at, accepted.request)
    state = replace(
        state,
        retry_budget=earn(state.retry_budget),
        hedge_budget=earn(state.hedge_budget) if may_hedge else state.hedge_budget,
        timers=timers,
    )
    state = put_request(state, request)
    if is_parked(state, accepted.slice):
        return park(state, request, 0.0, now), ()
    return send_attempt(state, request, now)


def _update_rows(state: EntryState, rows: Iterable[Row], now: float) -> Step:
    """Merges rows and sends the requests parked for slices whose row changed."""
    known = state.rows
    state = replace(state, rows=route.merge_rows(known, rows))
    actions: list[EntryAction] = []
    for row in rows:
        if state.rows[row.slice] is known.get(row.slice):
            continue
        state = replace(state, fallback_nodes=_without(state.fallback_nodes, row.slice))
        state, more = _resume_parked(state, row.slice, now)
        actions.extend(more)
    return state, tuple(actions)


def _resume_parked(state: EntryState, slice: SliceId | None, now: float) -> Step:
    """Sends all requests that were parked for a slice."""
    state, numbers = release_all(state, slice)
    actions: list[EntryAction] = []
    for number in numbers:
        request = state.open.get(number)
        if request is not None and not request.open_attempts:
            fresh = replace(request, rejected_by=frozenset(), retry_at=None)
            state, more = send_attempt(put_request(state, fresh), fresh, now)
            actions.extend(more)
    return state, tuple(actions)


def _answered(state: EntryState, event: AttemptAnswered, now: float) -> Step:
    """Delivers the first answer and cancels the other attempt, if any."""
    attempt = find_attempt(state, event.request, event.attempt)
    if attempt is None:
        return state, ()
    failed = event.status >= SERVER_ERROR_STATUS
    request = state.open[event.request]
    state, request = end_attempt(state, request, attempt, now, True, failed)
    state = _record_reply(state, attempt, event.busy, now)
    slice = request.accepted.slice
    state = _record_fallback(state, request, attempt.node)
    state, cancels = finish(state, request, None, now)
    state, more = _resume_parked(state, slice, now)
    return state, (Deliver(event.request, event.attempt), *cancels, *more)


def _record_fallback(state: EntryState, request: OpenRequest, node: str) -> EntryState:
    """Records a node that answered for a slice without being the owner in its row."""
    slice = request.accepted.slice
    row = None if slice is None else state.rows.get(slice)
    if row is None or row.owner is None:
        return state
    if row.owner.node == node:
        return replace(state, fallback_nodes=_without(state.fallback_nodes, slice))
    return replace(state, fallback_nodes=state.fallback_nodes.set(slice, node))


def _record_reply(
    state: EntryState, attempt: OpenAttempt, busy: int, now: float
) -> EntryState:
    """Records a node's reply and the load that it reported."""
    stats = replace(
        stats_of(state, attempt.node), unresponsive_until=0.0, last_reply_at=now
    )
    if busy >= 0:
        stats = node_stats.record_report(stats, busy, now, 0.0, stats.unhealthy)
    return with_stats(state, attempt.node, stats)


def _rejected(state: EntryState, event: AttemptRejected, now: float) -> Step:
    """Resends a rejected request or ends it, depending on the code."""
    attempt = find_attempt(state, event.request, event.attempt)
    if attempt is None:
        return state, ()
    state, request = end_attempt(
        state, state.open[event.request], attempt, now, False, False
    )
    state = _record_reply(state, attempt, event.busy, now)
    outcome = event.outcome
    keyed = request.accepted.slice is not None
    if isinstance(outcome, NotRun) and outcome.code == SHED_CODE:
        # The guard checked the ticket; other rejections hold for this attempt alone.
        request = replace(request, earlier_outcome_unknown=False)
    if keyed and outcome.code in REROUTE_CODES:
        return _reroute(state, request, attempt, event, now)
    if isinstance(outcome, Unknown):
        return _handle_unknown(state, request, attempt, outcome, now)
    request = _record_rejection(request, attempt, outcome)
    state = put_request(state, request)
    if request.open_attempts:
        return state, ()
    if outcome.code == "stale-ticket":
        return _resend_without_ticket(state, request, attempt, now)
    if not keyed and outcome.code in RETRY_ELSEWHERE_CODES:
        return retry_later(state, request, outcome, 0.0, now)
    state, actions = finish(state, request, outcome, now)
    state, more = _resume_parked(state, request.accepted.slice, now)
    return state, (*actions, *more)


def _resend_without_ticket(
    state: EntryState, request: OpenRequest, attempt: OpenAttempt, now: float
) -> Step:
    """Resends a request to the same node without the ticket that was stale."""
    rejected_by = request.rejected_by - {attempt.node}
    request = replace(request, ticket_rejected=True, rejected_by=rejected_by)
    return send_attempt(put_request(state, request), request, now)


def _record_rejection(
    request: OpenRequest, attempt: OpenAttempt, outcome: NotRun | Unknown
) -> OpenRequest:
    """Records that a node did not run the request or that its outcome is unknown."""
    rejected_by = request.rejected_by | {attempt.node}
    if isinstance(outcome, Unknown):
        return replace(request, rejected_by=rejected_by)
    return replace(request, rejected_by=rejected_by, last_rejection=outcome)


def _reroute(
    state: EntryState,
    request: OpenRequest,
    attempt: OpenAttempt,
    event: AttemptRejected,
    now: float,
) -> Step:
    """Sends a request to the owner in a newer row, or parks it until one arrives."""
    slice = request.accepted.slice
    known = state.rows.get(slice)
    request = _record_rejection(request, attempt, event.outcome)
    state = replace(
        put_request(state, request),
        fallback_nodes=_without(state.fallback_nodes, slice),
    )
    newer = event.row is not None and (
        known is None or event.row.version > known.version
    )
    if newer:
        fresh = replace(request, rejected_by=frozenset())
        state, actions = _update_rows(put_request(state, fresh), (event.row,), now)
        request = state.open.get(event.request)
        if request is None or request.open_attempts:
            return state, actions
        state, more = send_attempt(state, request, now)
        return state, (*actions, *more)
    delay = max(state.settings.retry_delay_s, getattr(event.outcome, "retry_after", 0))
    return _wait_for_owner(state, request, delay, now)


def _wait_for_owner(
    state: EntryState, request: OpenRequest, delay_s: float, now: float
) -> Step:
    """Parks a keyed request until its slice is served.

    If nodes of the succession are left that haven't rejected it, the probe goes to
    them at once, otherwise after the delay.
    """
    slice = request.accepted.slice
    row = state.rows.get(slice)
    successors = frozenset(i.node for i in row.succession) if row else frozenset()
    if successors <= request.rejected_by:
        request = replace(request, rejected_by=frozenset())
    else:
        delay_s = 0.0
    return park(state, request, delay_s, now), (RefreshRows(slice),)


def _handle_unknown(
    state: EntryState,
    request: OpenRequest,
    attempt: OpenAttempt,
    outcome: Unknown,
    now: float,
) -> Step:
    """Handles an attempt that may have run; only idempotent requests are resent."""
    request = replace(_record_rejection(request, attempt, outcome), may_have_run=True)
    if request.open_attempts:
        return put_request(state, request), ()
    if not request.accepted.idempotent:
        return finish(state, request, outcome, now)
    crashed = outcome.code == CRASH_CODE
    delay = state.settings.retry_delay_s if crashed else 0.0
    return retry_later(state, request, outcome, delay, now)


def _failed(state: EntryState, event: AttemptFailed, now: float) -> Step:
    """Handles a broken or refused connection to a guard."""
    attempt = find_attempt(state, event.request, event.attempt)
    if attempt is None:
        return state, ()
    state, request = end_attempt(
        state, state.open[event.request], attempt, now, False, True
    )
    unresponsive_until = now + state.settings.unresponsive_s
    stats = replace(
        stats_of(state, attempt.node), unresponsive_until=unresponsive_until
    )
    state = with_stats(state, attempt.node, stats)
    suspicion = SuspectNode(attempt.node)
    if event.sent:
        outcome = Unknown("connection-lost", "The connection to the guard was lost.")
        state, actions = _handle_unknown(state, request, attempt, outcome, now)
        return state, (suspicion, *actions)
    outcome = NotRun("connect-failed", "The guard can't be reached.", 0.2)
    request = _record_rejection(request, attempt, outcome)
    state = put_request(state, request)
    if request.open_attempts:
        return state, (suspicion,)
    if request.accepted.slice is not None:
        delay = state.settings.retry_delay_s
        state, actions = _wait_for_owner(state, request, delay, now)
    else:
        state, actions = retry_later(state, request, outcome, 0.0, now)
    return state, (suspicion, *actions)


def _tick(state: EntryState, now: float) -> Step:
    """Handles the requests whose timers have expired."""
    timers, requests = due(state.timers, now)
    state = replace(state, timers=timers)
    actions: list[EntryAction] = []
    for number in requests:
        request = state.open.get(number)
        if request is not None:
            state, more = _handle_due(state, request, now)
            actions.extend(more)
    return state, tuple(actions)


def _handle_due(state: EntryState, request: OpenRequest, now: float) -> Step:
    """Ends, retries or hedges a request, or suspects its nodes, as is due."""
    if request.accepted.deadline <= now:
        return _expire(state, request, now)
    if request.retry_at is not None and request.retry_at <= now:
        return send_attempt(state, request, now)
    actions: tuple[EntryAction, ...] = ()
    if request.hedge_at is not None and request.hedge_at <= now:
        state, actions = send_hedge(state, request, now)
        request = state.open[request.accepted.request]
    if request.suspect_at is not None and request.suspect_at <= now:
        state, suspicions = _suspect_unresponsive(state, request, now)
        return state, (*actions, *suspicions)
    return state, actions


def _suspect_unresponsive(state: EntryState, request: OpenRequest, now: float) -> Step:
    """Suspects nodes that have sent no reply to any request since an attempt began."""
    unresponsive_s = state.settings.unresponsive_s
    state = put_request(state, replace(request, suspect_at=None))
    actions = []
    for attempt in request.open_attempts:
        stats = stats_of(state, attempt.node)
        if (
            now - attempt.started_at >= unresponsive_s
            and stats.last_reply_at < attempt.started_at
        ):
            stats = replace(stats, unresponsive_until=now + unresponsive_s)
            state = with_stats(state, attempt.node, stats)
            actions.append(SuspectNode(attempt.node))
    return state, tuple(actions)


def _expire(state: EntryState, request: OpenRequest, now: float) -> Step:
    """Ends a request whose deadline has passed, and suspects the nodes it waits for."""
    outcome = request.last_rejection
    if request.open_attempts or outcome is None:
        outcome = Unknown("deadline-passed", "No answer came before the deadline.")
    state, suspicions = _suspect_unresponsive(state, request, now)
    state, actions = finish(state, request, outcome, now)
    return state, (*suspicions, *actions)
