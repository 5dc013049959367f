"""Sends the attempts of open requests and records how they end."""

from __future__ import annotations

from dataclasses import replace

from rosemarydeal.core import NotRun, Unknown

from . import choice, node_stats, route
from .budget import can_spend, spend
from .entry_interface import (
    CancelAttempt,
    DeliverOutcome,
    EntryAction,
    RefreshRows,
    SendAttempt,
)
from .entry_state import (
    EntryState,
    OpenAttempt,
    OpenRequest,
    mean_latency,
    members_of,
    put_request,
    stats_of,
    with_stats,
)
from .guard_state import REROUTE_CODES
from .hedge import ServiceLatency, record_latency
from .parking import unpark
from .timers import schedule

__all__ = [
    "end_attempt",
    "find_attempt",
    "finish",
    "retry_later",
    "send_attempt",
    "send_hedge",
]

Step = tuple[EntryState, tuple[EntryAction, ...]]
RETRY_AFTER_S = 0.2


def find_attempt(state: EntryState, request: int, number: int) -> OpenAttempt | None:
    """Returns an open attempt, None if it has ended already."""
    open_request = state.open.get(request)
    if open_request is None:
        return None
    return next(
        (each for each in open_request.open_attempts if each.number == number), None
    )


def send_attempt(state: EntryState, request: OpenRequest, now: float) -> Step:
    """Sends an attempt to the best node, or ends the request as not run."""
    state, node = _choose_node(state, request, now)
    if node is not None:
        return _send_to(state, request, node, now)
    detail = "No process is known that can run the request."
    outcome = request.last_rejection or NotRun("no-owner", detail, RETRY_AFTER_S)
    state, actions = finish(state, request, outcome, now)
    slice = request.accepted.slice
    refresh = () if slice is None else (RefreshRows(slice),)
    return state, (*refresh, *actions)


def _choose_node(
    state: EntryState, request: OpenRequest, now: float
) -> tuple[EntryState, str | None]:
    """Returns the node for the next attempt, None if there is none."""
    accepted = request.accepted
    if accepted.slice is not None:
        row = state.rows.get(accepted.slice)
        if row is None:
            return state, None
        preferred_node = state.fallback_nodes.get(accepted.slice)
        if accepted.slice in state.own_tokens:
            preferred_node = state.settings.node
        node = route.next_node(
            row, preferred_node, state.stats_by_node, request.rejected_by, now
        )
        return state, node or (row.owner.node if row.owner else None)
    members = members_of(state, accepted.service)
    remaining = [m for m in members if m.node not in request.rejected_by] or members
    if not accepted.idempotent:
        chosen = choice.choose_for_id(
            remaining, state.stats_by_node, accepted.request_id, now
        )
        return state, None if chosen is None else chosen.node
    chosen = choice.choose(
        remaining,
        state.stats_by_node,
        state.settings,
        mean_latency(state, accepted.service),
        now,
        state.seed,
        state.choices_made,
    )
    state = replace(state, choices_made=state.choices_made + 1)
    return state, None if chosen is None else chosen.node


def _ticket_for(state: EntryState, request: OpenRequest, node: str) -> int | None:
    """Returns the ticket to send with an attempt, if any."""
    accepted = request.accepted
    if request.earlier_outcome_unknown:
        return accepted.ticket
    row = None if accepted.slice is None else state.rows.get(accepted.slice)
    if accepted.idempotent or row is None or request.ticket_rejected:
        return None
    return route.ticket_for(row, node)


def _send_to(state: EntryState, request: OpenRequest, node: str, now: float) -> Step:
    """Sends an attempt to a node and sets the timer after which it is suspected."""
    accepted = request.accepted
    settings = state.settings
    ticket = _ticket_for(state, request, node)
    number = request.attempts_sent + 1
    suspect_at = now + settings.unresponsive_s
    request = replace(
        request,
        open_attempts=(*request.open_attempts, OpenAttempt(number, node, now, ticket)),
        attempts_sent=number,
        retry_at=None,
        suspect_at=suspect_at,
        ticket=ticket,
    )
    timers = state.timers
    if suspect_at < accepted.deadline:
        timers = schedule(timers, suspect_at, accepted.request)
    state = put_request(replace(state, timers=timers), request)
    state = with_stats(state, node, node_stats.record_start(stats_of(state, node), now))
    action = SendAttempt(
        accepted.request,
        number,
        node,
        accepted.deadline,
        ticket,
        request.earlier_outcome_unknown,
    )
    return state, (action,)


def send_hedge(state: EntryState, request: OpenRequest, now: float) -> Step:
    """Sends a second attempt if the budget and a free slot allow it."""
    request = replace(request, hedge_at=None)
    state = put_request(state, request)
    if not can_spend(state.hedge_budget) or len(request.open_attempts) != 1:
        return state, ()
    accepted = request.accepted
    excluded = {each.node for each in request.open_attempts} | request.rejected_by
    candidates = [
        member
        for member in members_of(state, accepted.service)
        if member.node not in excluded
        and choice.has_spare_slot(member, state.stats_by_node, now)
    ]
    mean_latency_s = mean_latency(state, accepted.service)
    chosen = choice.choose(
        candidates,
        state.stats_by_node,
        state.settings,
        mean_latency_s,
        now,
        state.seed,
        state.choices_made,
    )
    if chosen is None:
        return state, ()
    state = replace(
        state,
        hedge_budget=spend(state.hedge_budget),
        choices_made=state.choices_made + 1,
    )
    return _send_to(state, request, chosen.node, now)


def end_attempt(
    state: EntryState,
    request: OpenRequest,
    attempt: OpenAttempt,
    now: float,
    answered: bool,
    failed: bool,
) -> tuple[EntryState, OpenRequest]:
    """Removes an attempt and updates the statistics of its node and service.

    Args:
        state: The entry's state.
        request: The request.
        attempt: The attempt that ended.
        now: Current time, in seconds.
        answered: Whether an answer was received.
        failed: Whether the attempt counts as a failure of the node.

    Returns:
        The state and the request without the attempt.
    """
    stats = node_stats.record_end(
        stats_of(state, attempt.node), attempt.started_at, now, answered, failed
    )
    state = with_stats(state, attempt.node, stats)
    service = request.accepted.service
    if answered:
        latency = state.latencies.get(service) or ServiceLatency()
        latency = record_latency(latency, now - attempt.started_at, state.settings)
        state = replace(state, latencies=state.latencies.set(service, latency))
    remaining = tuple(
        each for each in request.open_attempts if each.number != attempt.number
    )
    request = replace(request, open_attempts=remaining)
    return put_request(state, request), request


def finish(
    state: EntryState,
    request: OpenRequest,
    outcome: NotRun | Unknown | None,
    now: float,
) -> Step:
    """Ends a request: cancels open attempts and delivers the outcome, if any."""
    cancels = []
    for attempt in request.open_attempts:
        state, request = end_attempt(state, request, attempt, now, False, False)
        cancels.append(CancelAttempt(request.accepted.request, attempt.number))
    accepted = request.accepted
    state = unpark(state, request, now)
    state = replace(state, open=state.open.delete(accepted.request))
    if outcome is None:
        return state, tuple(cancels)
    may_have_run = request.may_have_run or request.earlier_outcome_unknown
    internal = outcome.code in REROUTE_CODES
    if may_have_run and (internal or isinstance(outcome, NotRun)):
        outcome = Unknown("may-have-run", "An earlier attempt may have run.")
    delivery = DeliverOutcome(accepted.request, outcome, request.ticket)
    return state, (*cancels, delivery)


def retry_later(
    state: EntryState,
    request: OpenRequest,
    outcome: NotRun | Unknown,
    delay_s: float,
    now: float,
) -> Step:
    """Schedules another attempt, or ends the request if none is allowed."""
    accepted = request.accepted
    retry_at = now + delay_s
    exhausted = request.attempts_sent >= state.settings.attempts_max
    if exhausted or retry_at >= accepted.deadline or not can_spend(state.retry_budget):
        return finish(state, request, outcome, now)
    state = replace(state, retry_budget=spend(state.retry_budget))
    if delay_s <= 0:
        return send_attempt(state, request, now)
    timers = schedule(state.timers, retry_at, accepted.request)
    request = replace(request, retry_at=retry_at)
    return put_request(replace(state, timers=timers), request), ()
