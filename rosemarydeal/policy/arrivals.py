"""Handling of requests that arrive at the guard."""

from __future__ import annotations

from dataclasses import replace

from rosemarydeal.core import NotRun, Unknown

from . import fairqueue
from .admission import expected_wait
from .claimed_suspects import is_blocked
from .guard_interface import GuardAction, ReplyAnswer, ReplyOutcome, RequestArrived
from .guard_state import (
    GuardState,
    LiveRequest,
    cold_share,
    earlier_run_possible,
    include_earlier_attempts,
    ownership_of,
    put_live,
)
from .ledger import Entry, EntryState, has_capacity
from .tickets import TicketStatus, check_ticket

__all__ = ["handle_arrival"]

Step = tuple[GuardState, tuple[GuardAction, ...]]
RETRY_AFTER_MOVE_S = 0.05
RETRY_AFTER_DOWN_S = 0.5
MIN_RETRY_AFTER_S = 0.05


def handle_arrival(state: GuardState, request: RequestArrived, now: float) -> Step:
    """Joins, answers, rejects or queues a request.

    Args:
        state: The guard's state.
        request: The request that arrived.
        now: The current time, in seconds.

    Returns:
        The new state and the actions.
    """
    live = state.live.get(request.request_id)
    if live is not None:
        return _join(state, live, request)
    outcome = _known_outcome(state, request)
    if outcome is not None:
        return state, (outcome,)
    rejection = _rejection(state, request, now)
    if rejection is not None:
        return state, (ReplyOutcome(request.caller, rejection),)
    return _enqueue(state, request, now)


def _join(state: GuardState, live: LiveRequest, request: RequestArrived) -> Step:
    """Adds the caller of a repeated request to the live request with the same id."""
    if live.request.fingerprint != request.fingerprint:
        return state, (ReplyOutcome(request.caller, _conflict()),)
    joined = replace(
        live,
        callers=(*live.callers, request.caller),
        earlier_run_possible=live.earlier_run_possible or earlier_run_possible(request),
    )
    if live.is_running and request.deadline > live.request.deadline:
        extended = replace(live.request, deadline=request.deadline)
        joined = replace(joined, request=extended)
    state = put_live(state, joined)
    return replace(
        state, callers=state.callers.set(request.caller, request.request_id)
    ), ()


def _conflict() -> NotRun:
    """Returns the rejection of an id that belongs to a different request."""
    return NotRun("request-id-conflict", "The id belongs to a different request.")


def _known_outcome(state: GuardState, request: RequestArrived) -> GuardAction | None:
    """Returns the reply to a request whose id is in the ledger, None if it is not."""
    entry = None if request.idempotent else state.ledger.find(request.request_id)
    if entry is None:
        return None
    if entry.fingerprint != request.fingerprint:
        return ReplyOutcome(request.caller, _conflict())
    if entry.answer_kept:
        return ReplyAnswer(request.caller, request.request_id)
    return ReplyOutcome(request.caller, _outcome_without_answer(entry))


def _outcome_without_answer(entry: Entry) -> Unknown:
    """Returns the outcome of an ended request whose answer is not stored here."""
    if entry.state is EntryState.ANSWERED:
        return Unknown(
            "answer-not-kept", "The request ran, but its answer is no longer stored."
        )
    return Unknown("may-have-run", "The connection of an earlier attempt was lost.")


def _rejection(
    state: GuardState, request: RequestArrived, now: float
) -> NotRun | Unknown | None:
    """Returns why a request with an unrecorded id cannot be queued, None if it can."""
    rejection = _slice_rejection(state, request, now)
    if rejection is None:
        rejection = _upstream_rejection(state, request, now)
    return (
        None
        if rejection is None
        else include_earlier_attempts(rejection, earlier_run_possible(request))
    )


def _slice_rejection(
    state: GuardState, request: RequestArrived, now: float
) -> NotRun | Unknown | None:
    """Checks the ownership of the slice and the possible earlier attempts."""
    if request.slice is None:
        if earlier_run_possible(request):
            return Unknown("may-have-run", "Another upstream may have run the request.")
        return None
    ownership = ownership_of(state, request.slice)
    if not ownership.owned:
        return NotRun("not-owner", "Another process owns the key.")
    if not ownership.admitting:
        return NotRun("moving", "The key is being handed over.", RETRY_AFTER_MOVE_S)
    if request.idempotent:
        return None
    return _ticket_rejection(state, request, now)


def _ticket_rejection(
    state: GuardState, request: RequestArrived, now: float
) -> NotRun | Unknown | None:
    """Rejects a request that an earlier owner may have run."""
    window_s = state.settings.window_s
    if request.resent and request.age_s is not None and request.age_s > window_s:
        return Unknown(
            "request-id-expired", "The id is older than the retention window."
        )
    ownership = ownership_of(state, request.slice)
    ticket_status = check_ticket(
        ownership, request.ticket, request.resent, request.age_s, now, window_s
    )
    match ticket_status:
        case TicketStatus.NEVER_RAN:
            return None
        case TicketStatus.STALE_TICKET:
            return NotRun(
                "stale-ticket", "The ticket was issued under a different owner."
            )
        case TicketStatus.MAY_HAVE_RUN:
            return Unknown(
                "owner-changed", "An earlier owner may have run the request."
            )


def _upstream_rejection(
    state: GuardState, request: RequestArrived, now: float
) -> NotRun | None:
    """Returns why the upstream cannot accept the request, None if it can."""
    settings = state.settings
    if request.deadline <= now:
        return NotRun("deadline-passed", "The deadline had passed on arrival.")
    if is_blocked(state.suspects, request.fingerprint):
        return NotRun("crash-suspect", "The same request was in flight at two crashes.")
    if not state.up:
        return NotRun(
            "upstream-down", "The upstream is not running.", RETRY_AFTER_DOWN_S
        )
    if not request.idempotent and not has_capacity(state.ledger, settings):
        return NotRun(
            "ledger-full", "The ledger of request ids is full.", RETRY_AFTER_DOWN_S
        )
    expected_wait_s = expected_wait(
        state.admission, settings, cold_share(state, now), state.queue.size + 1
    )
    weight = settings.weight(request.tenant)
    queue_capacity = fairqueue.has_capacity(
        state.queue, request.tenant, weight, settings.queue_length
    )
    queue_used = state.queue.size > 0
    misses_deadline = (
        now + expected_wait_s + state.admission.short_latency > request.deadline
    )
    if not queue_capacity or (queue_used and misses_deadline):
        retry_after = max(MIN_RETRY_AFTER_S, expected_wait_s)
        return NotRun(
            "overloaded", "The queue is full or too long for the deadline.", retry_after
        )
    return None


def _enqueue(state: GuardState, request: RequestArrived, now: float) -> Step:
    """Queues a request; the same step dispatches it if a slot is free."""
    weight = state.settings.weight(request.tenant)
    queued = fairqueue.QueuedRequest(
        request.deadline, state.queue.arrivals, request.request_id
    )
    queue = fairqueue.push(
        state.queue, request.tenant, weight, request.deadline, request.request_id
    )
    live = LiveRequest(
        request, (request.caller,), now, earlier_run_possible(request), queued
    )
    state = put_live(replace(state, queue=queue), live)
    callers = state.callers.set(request.caller, request.request_id)
    return replace(state, callers=callers), ()
