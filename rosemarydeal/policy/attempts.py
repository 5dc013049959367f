"""Sends tries out and takes their ends in, for the entry."""

from __future__ import annotations

from dataclasses import replace

from rosemarydeal.core import NotRun, Unknown

from . import choice, nodeview, route
from .budget import has, spend
from .entry_interface import (
    CancelAttempt,
    DeliverOutcome,
    EntryAction,
    RefreshRows,
    SendAttempt,
)
from .entry_state import (
    EntryState,
    OpenRequest,
    OutTry,
    members_of,
    put_request,
    usual_latency,
    view_of,
    with_view,
)
from .guard_state import REROUTE_CODES
from .hedge import ServiceLatency, note
from .parking import leave
from .timers import schedule

__all__ = ["end_one", "finish", "find_try", "launch", "launch_hedge", "retry_later"]

Step = tuple[EntryState, tuple[EntryAction, ...]]
RETRY_AFTER_S = 0.2


def find_try(state: EntryState, request: int, attempt: int) -> OutTry | None:
    """Returns a try that has not ended; late news finds none."""
    found = state.open.get(request)
    if found is None:
        return None
    return next((t for t in found.tries if t.attempt == attempt), None)


def launch(state: EntryState, request: OpenRequest, now: float) -> Step:
    """Sends a try to the best node, or gives the caller a truthful *not run*."""
    state, node = _pick(state, request, now)
    if node is not None:
        return _send(state, request, node, now)
    detail = "No process is known that could run it."
    outcome = request.last_refusal or NotRun("no-owner", detail, RETRY_AFTER_S)
    state, actions = finish(state, request, outcome, now)
    slice = request.accepted.slice
    asks = () if slice is None else (RefreshRows(slice),)
    return state, (*asks, *actions)


def _pick(
    state: EntryState, request: OpenRequest, now: float
) -> tuple[EntryState, str | None]:
    """Returns the node for the next try."""
    asked = request.accepted
    if asked.slice is not None:
        row = state.rows.get(asked.slice)
        if row is None:
            return state, None
        serving = state.serving.get(asked.slice)
        node = route.next_node(row, serving, state.views, request.refused, now)
        return state, node or (row.owner.node if row.owner else None)
    members = members_of(state, asked.service)
    left = [m for m in members if m.node not in request.refused] or members
    if not asked.idempotent:
        chosen = choice.choose_for_id(left, state.views, asked.request_id, now)
        return state, None if chosen is None else chosen.node
    chosen = choice.choose(
        left,
        state.views,
        state.settings,
        usual_latency(state, asked.service),
        now,
        state.seed,
        state.draws,
    )
    state = replace(state, draws=state.draws + 1)
    return state, None if chosen is None else chosen.node


def _ticket(state: EntryState, request: OpenRequest, node: str) -> int | None:
    """Returns the ticket that a try carries."""
    asked = request.accepted
    if request.past_unknown:
        return asked.ticket
    row = None if asked.slice is None else state.rows.get(asked.slice)
    if asked.idempotent or row is None or request.without_ticket:
        return None
    return route.ticket_for(row, node)


def _send(state: EntryState, request: OpenRequest, node: str, now: float) -> Step:
    """Sends a try to a node and plans what follows if it stays silent."""
    asked = request.accepted
    settings = state.settings
    ticket = _ticket(state, request, node)
    attempt = request.attempts + 1
    suspect_at = now + settings.unresponsive_s
    request = replace(
        request,
        tries=(*request.tries, OutTry(attempt, node, now, ticket)),
        attempts=attempt,
        retry_at=None,
        suspect_at=suspect_at,
        ticket=ticket,
    )
    timers = state.timers
    if suspect_at < asked.deadline:
        timers = schedule(timers, suspect_at, asked.request)
    state = put_request(replace(state, timers=timers), request)
    state = with_view(state, node, nodeview.start_try(view_of(state, node), now))
    action = SendAttempt(
        asked.request, attempt, node, asked.deadline, ticket, request.past_unknown
    )
    return state, (action,)


def launch_hedge(state: EntryState, request: OpenRequest, now: float) -> Step:
    """Sends a second try out if the budget and a free slot allow it."""
    request = replace(request, hedge_at=None)
    state = put_request(state, request)
    if not has(state.hedges) or len(request.tries) != 1:
        return state, ()
    asked = request.accepted
    used = {t.node for t in request.tries} | request.refused
    others = [
        member
        for member in members_of(state, asked.service)
        if member.node not in used and choice.has_spare_slot(member, state.views, now)
    ]
    usual = usual_latency(state, asked.service)
    chosen = choice.choose(
        others, state.views, state.settings, usual, now, state.seed, state.draws
    )
    if chosen is None:
        return state, ()
    state = replace(state, hedges=spend(state.hedges), draws=state.draws + 1)
    return _send(state, request, chosen.node, now)


def end_one(
    state: EntryState,
    request: OpenRequest,
    out: OutTry,
    now: float,
    answered: bool,
    failed: bool,
) -> tuple[EntryState, OpenRequest]:
    """Takes the end of a try in.

    Args:
        state: The entry's state.
        request: The request.
        out: The try.
        now: The moment, in seconds.
        answered: Whether an answer came.
        failed: Whether the node failed it.

    Returns:
        The state and the request without the try.
    """
    seen = nodeview.end_try(
        view_of(state, out.node), out.started, now, answered, failed
    )
    state = with_view(state, out.node, seen)
    service = request.accepted.service
    if answered:
        latency = state.latencies.get(service) or ServiceLatency()
        latency = note(latency, now - out.started, state.settings)
        state = replace(state, latencies=state.latencies.set(service, latency))
    left = tuple(t for t in request.tries if t.attempt != out.attempt)
    request = replace(request, tries=left)
    return put_request(state, request), request


def finish(
    state: EntryState,
    request: OpenRequest,
    outcome: NotRun | Unknown | None,
    now: float,
) -> Step:
    """Cancels what is still out, and gives the caller an outcome, if any."""
    cancels = []
    for out in request.tries:
        state, request = end_one(state, request, out, now, False, False)
        cancels.append(CancelAttempt(request.accepted.request, out.attempt))
    asked = request.accepted
    state = leave(state, request, now)
    state = replace(state, open=state.open.delete(asked.request))
    if outcome is None:
        return state, tuple(cancels)
    may_have_run = request.may_have_run or request.past_unknown
    internal = outcome.code in REROUTE_CODES
    if may_have_run and (internal or isinstance(outcome, NotRun)):
        outcome = Unknown("may-have-run", "An earlier try may have run.")
    told = DeliverOutcome(asked.request, outcome, request.ticket)
    return state, (*cancels, told)


def retry_later(
    state: EntryState,
    request: OpenRequest,
    outcome: NotRun | Unknown,
    delay_s: float,
    now: float,
) -> Step:
    """Plans another try within the budget, or gives the caller the outcome."""
    asked = request.accepted
    moment = now + delay_s
    spent = request.attempts >= state.settings.attempts_max
    if spent or moment >= asked.deadline or not has(state.retries):
        return finish(state, request, outcome, now)
    state = replace(state, retries=spend(state.retries))
    if delay_s <= 0:
        return launch(state, request, now)
    timers = schedule(state.timers, moment, asked.request)
    request = replace(request, retry_at=moment)
    return put_request(replace(state, timers=timers), request), ()
