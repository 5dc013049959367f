"""Decides what happens to a request when it arrives at the guard."""

from __future__ import annotations

from dataclasses import replace

from rosemarydeal.core import NotRun, Unknown

from . import fairqueue
from .admission import expected_wait
from .crash_suspects import is_blamed
from .guard_interface import GuardAction, ReplyAnswer, ReplyOutcome, RequestArrived
from .guard_state import (
    GuardState,
    LiveRequest,
    cold_share,
    past_unknown,
    put_live,
    right_of,
    truthful,
)
from .ledger import Entry, EntryState, has_room
from .tickets import Verdict, judge

__all__ = ["arrive"]

Step = tuple[GuardState, tuple[GuardAction, ...]]
RETRY_AFTER_MOVE_S = 0.05
RETRY_AFTER_DOWN_S = 0.5
LEAST_RETRY_AFTER_S = 0.05


def arrive(state: GuardState, request: RequestArrived, now: float) -> Step:
    """Joins, answers, refuses or queues a request.

    Args:
        state: The guard's state.
        request: The arrival.
        now: The moment, in seconds.

    Returns:
        The state and the actions.
    """
    live = state.live.get(request.request_id)
    if live is not None:
        return _join(state, live, request)
    outcome = _known_outcome(state, request)
    if outcome is not None:
        return state, (outcome,)
    refusal = _refusal(state, request, now)
    if refusal is not None:
        return state, (ReplyOutcome(request.waiter, refusal),)
    return _enqueue(state, request, now)


def _join(state: GuardState, live: LiveRequest, request: RequestArrived) -> Step:
    """Lets a repeat of a live request wait for the same outcome."""
    if live.request.fingerprint != request.fingerprint:
        return state, (ReplyOutcome(request.waiter, _conflict()),)
    joined = replace(
        live,
        waiters=(*live.waiters, request.waiter),
        past_unknown=live.past_unknown or past_unknown(request),
    )
    if live.runs and request.deadline > live.request.deadline:
        longer = replace(live.request, deadline=request.deadline)
        joined = replace(joined, request=longer)
    state = put_live(state, joined)
    return replace(
        state, waiters=state.waiters.set(request.waiter, request.request_id)
    ), ()


def _conflict() -> NotRun:
    """Returns the refusal of an id that names another request already."""
    return NotRun("request-id-conflict", "The id belongs to a different request.")


def _known_outcome(state: GuardState, request: RequestArrived) -> GuardAction | None:
    """Returns the reply to a request whose id the ledger holds."""
    entry = None if request.idempotent else state.ledger.find(request.request_id)
    if entry is None:
        return None
    if entry.fingerprint != request.fingerprint:
        return ReplyOutcome(request.waiter, _conflict())
    if entry.kept:
        return ReplyAnswer(request.waiter, request.request_id)
    return ReplyOutcome(request.waiter, _without_answer(entry))


def _without_answer(entry: Entry) -> Unknown:
    """Returns the outcome of a request that ended and left no answer here."""
    if entry.state is EntryState.ANSWERED:
        return Unknown("answer-not-kept", "The request ran; its answer is gone.")
    return Unknown("may-have-run", "An earlier try was lost on its way.")


def _refusal(
    state: GuardState, request: RequestArrived, now: float
) -> NotRun | Unknown | None:
    """Returns why a request of an unrecorded id can't be queued, if so."""
    refusal = _slice_refusal(state, request, now)
    if refusal is None:
        refusal = _upstream_refusal(state, request, now)
    return None if refusal is None else truthful(refusal, past_unknown(request))


def _slice_refusal(
    state: GuardState, request: RequestArrived, now: float
) -> NotRun | Unknown | None:
    """Checks the right to the slice and what is known of its past."""
    if request.slice is None:
        if past_unknown(request):
            return Unknown("may-have-run", "Another upstream may have run it.")
        return None
    right = right_of(state, request.slice)
    if not right.held:
        return NotRun("not-owner", "Another process owns the key.")
    if not right.admitting:
        return NotRun("moving", "The key is moving.", RETRY_AFTER_MOVE_S)
    if request.idempotent:
        return None
    return _verdict_refusal(state, request, now)


def _verdict_refusal(
    state: GuardState, request: RequestArrived, now: float
) -> NotRun | Unknown | None:
    """Refuses a request that an earlier owner may have run."""
    window_s = state.settings.window_s
    if request.resent and request.age_s is not None and request.age_s > window_s:
        return Unknown("request-id-expired", "The id is older than the window.")
    right = right_of(state, request.slice)
    verdict = judge(right, request.ticket, request.resent, request.age_s, now, window_s)
    match verdict:
        case Verdict.NEVER_RAN:
            return None
        case Verdict.STALE_TICKET:
            return NotRun("stale-ticket", "The ticket is of another owner.")
        case Verdict.MAY_HAVE_RUN:
            return Unknown("owner-changed", "An earlier owner may have run it.")


def _upstream_refusal(
    state: GuardState, request: RequestArrived, now: float
) -> NotRun | None:
    """Returns why the upstream can't take the request, if so."""
    settings = state.settings
    if request.deadline <= now:
        return NotRun("deadline-passed", "The deadline had passed on arrival.")
    if is_blamed(state.suspects, request.fingerprint):
        return NotRun("crash-suspect", "Its like was in flight at two crashes.")
    if not state.up:
        return NotRun("upstream-down", "No upstream is here.", RETRY_AFTER_DOWN_S)
    if not request.idempotent and not has_room(state.ledger, settings):
        return NotRun("ledger-full", "No more ids can be kept.", RETRY_AFTER_DOWN_S)
    wait = expected_wait(
        state.admission, settings, cold_share(state, now), state.queue.size + 1
    )
    weight = settings.weight(request.tenant)
    fits = fairqueue.room(state.queue, request.tenant, weight, settings.queue_length)
    busy = state.queue.size > 0
    late = now + wait + state.admission.short_latency > request.deadline
    if not fits or (busy and late):
        retry_after = max(LEAST_RETRY_AFTER_S, wait)
        return NotRun("overloaded", "The queue is too long.", retry_after)
    return None


def _enqueue(state: GuardState, request: RequestArrived, now: float) -> Step:
    """Queues a request; the facade dispatches it at once when there is room."""
    weight = state.settings.weight(request.tenant)
    waiting = fairqueue.Waiting(
        request.deadline, state.queue.arrivals, request.request_id
    )
    queue = fairqueue.push(
        state.queue, request.tenant, weight, request.deadline, request.request_id
    )
    live = LiveRequest(request, (request.waiter,), now, past_unknown(request), waiting)
    state = put_live(replace(state, queue=queue), live)
    waiters = state.waiters.set(request.waiter, request.request_id)
    return replace(state, waiters=waiters), ()
