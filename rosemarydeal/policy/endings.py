"""Decides what follows when a dispatched or waiting request ends."""

from __future__ import annotations

from dataclasses import replace

from rosemarydeal.core import NotRun, SliceId, Unknown
from rosemarydeal.core.messages import LedgerHandOver

from . import admission, coldstart, crash_suspects, fairqueue, ledger, tickets
from .guard_interface import (
    BroadcastCrashSuspects,
    DropAnswer,
    GuardAction,
    HandOverLedger,
    ReplyAnswer,
    ReplyOutcome,
    ReportIdle,
    UpstreamAnswered,
    UpstreamFailed,
    UpstreamRejected,
)
from .guard_state import (
    GuardState,
    LiveRequest,
    cold_share,
    right_of,
    truthful,
    watch_cold,
)
from .ledger import EntryState

__all__ = [
    "answered",
    "drop_waiting",
    "failed",
    "refused",
    "report_if_idle",
    "tell_waiters",
]

Step = tuple[GuardState, tuple[GuardAction, ...]]
SERVER_ERROR_STATUS = 500
SHED_CODE = "upstream-shed"
RETRY_AFTER_FAILURE_S = 0.1


def _running(state: GuardState, request_id: str) -> LiveRequest | None:
    """Returns a live request that was dispatched; late news finds none."""
    live = state.live.get(request_id)
    return live if live is not None and live.runs else None


def tell_waiters(
    state: GuardState, live: LiveRequest, outcome: NotRun | Unknown
) -> Step:
    """Gives all waiters of a request an outcome; the request stays live."""
    if not isinstance(outcome, NotRun) or outcome.code != SHED_CODE:
        outcome = truthful(outcome, live.past_unknown)
    waiters = state.waiters
    for waiter in live.waiters:
        waiters = waiters.delete(waiter)
    told = replace(live, waiters=())
    state = replace(
        state, waiters=waiters, live=state.live.set(live.request.request_id, told)
    )
    return state, tuple(ReplyOutcome(waiter, outcome) for waiter in live.waiters)


def _end(state: GuardState, live: LiveRequest) -> GuardState:
    """Takes a dispatched request out of the live ones."""
    waiters = state.waiters
    for waiter in live.waiters:
        waiters = waiters.delete(waiter)
    slice = live.request.slice
    busy = state.busy_slices
    if slice is not None:
        left = busy.get(slice, 1) - 1
        busy = busy.set(slice, left) if left else busy.delete(slice)
    return replace(
        state,
        started_sum=state.started_sum - live.started,
        live=state.live.delete(live.request.request_id),
        waiters=waiters,
        busy_slices=busy,
    )


def answered(state: GuardState, event: UpstreamAnswered, now: float) -> Step:
    """Gives the whole answer to all waiters and keeps it for repeats."""
    live = _running(state, event.request_id)
    if live is None:
        return state, ()
    share = cold_share(state, now)
    counts = admission.finish(state.admission, state.settings, event.latency, share)
    cold = coldstart.observe(state.cold, state.settings, event.latency, now)
    failing = event.status >= SERVER_ERROR_STATUS
    state = replace(
        _end(state, live),
        admission=counts,
        cold=cold,
        failures_in_row=state.failures_in_row + 1 if failing else 0,
    )
    state = watch_cold(state, now)
    replies = tuple(ReplyAnswer(w, event.request_id) for w in live.waiters)
    state, forgotten = _keep(state, live, event, now)
    state, notices = _exonerate(state, live, now)
    state, idle = report_if_idle(state, live.request.slice, now)
    return state, (*replies, *forgotten, *notices, *idle)


def _keep(
    state: GuardState, live: LiveRequest, event: UpstreamAnswered, now: float
) -> Step:
    """Keeps the answer of a non-idempotent request within the bounds."""
    if live.request.idempotent:
        return state, (DropAnswer(event.request_id),)
    book, dropped = ledger.settle(
        state.ledger,
        event.request_id,
        EntryState.ANSWERED,
        now,
        state.settings.answer_bytes,
        event.status,
        event.size,
    )
    entry = book.find(event.request_id)
    if entry is not None and not entry.kept and event.request_id not in dropped:
        dropped = (*dropped, event.request_id)
    return replace(state, ledger=book), tuple(DropAnswer(i) for i in dropped)


def _exonerate(state: GuardState, live: LiveRequest, now: float) -> Step:
    """Clears a request that completed of all crashes."""
    book, notices = crash_suspects.clear(
        state.suspects, state.settings.service, live.request.fingerprint, now
    )
    return replace(state, suspects=book), tuple(
        BroadcastCrashSuspects(n) for n in notices
    )


def refused(state: GuardState, event: UpstreamRejected, now: float) -> Step:
    """Passes on that the upstream shed a request without running it."""
    live = _running(state, event.request_id)
    if live is None:
        return state, ()
    state = replace(state, admission=admission.refuse(state.admission))
    outcome = NotRun(SHED_CODE, "The upstream shed it.", event.retry_after)
    return _end_not_run(state, live, outcome, now)


def _end_not_run(
    state: GuardState, live: LiveRequest, outcome: NotRun, now: float
) -> Step:
    """Ends a dispatched request that certainly did not run."""
    state, replies = tell_waiters(state, live, outcome)
    state = _end(state, replace(live, waiters=()))
    book = ledger.withdraw(state.ledger, live.request.request_id)
    state, idle = report_if_idle(replace(state, ledger=book), live.request.slice, now)
    return state, (*replies, *idle)


def failed(state: GuardState, event: UpstreamFailed, now: float) -> Step:
    """Ends a request that gets no answer, and looks for a crash behind it."""
    live = _running(state, event.request_id)
    if live is None:
        return state, ()
    counts = admission.close_connection(state.admission, busy=True)
    state = replace(state, admission=counts, failures_in_row=state.failures_in_row + 1)
    if not event.sent:
        outcome = NotRun("not-sent", "It was not sent.", RETRY_AFTER_FAILURE_S)
        return _end_not_run(state, live, outcome, now)
    state, notices = _crash(state, live, now) if event.crashed else (state, ())
    code = "upstream-crashed" if event.crashed else "connection-lost"
    outcome = Unknown(code, "The connection to the upstream was lost.")
    state, replies = tell_waiters(state, live, outcome)
    state = _end(state, replace(live, waiters=()))
    book, _ = ledger.settle(
        state.ledger,
        live.request.request_id,
        EntryState.LOST,
        now,
        state.settings.answer_bytes,
    )
    state, idle = report_if_idle(replace(state, ledger=book), live.request.slice, now)
    return state, (*notices, *replies, *idle)


def _crash(state: GuardState, live: LiveRequest, now: float) -> Step:
    """Suspects all that ran when the upstream broke a connection.

    The failures that follow of the same crash find their requests counted.
    """
    state = replace(state, cold=coldstart.turn_cold(state.cold, now))
    if live.crash_counted:
        return state, ()
    in_flight = [x for x in state.live.values() if x.runs and not x.crash_counted]
    settings = state.settings
    book, notice = crash_suspects.crash(
        state.suspects,
        settings.service,
        settings.node,
        state.seed,
        tuple(x.request.fingerprint for x in in_flight),
        now,
    )
    table = state.live
    for other in in_flight:
        counted = replace(other, crash_counted=True)
        table = table.set(other.request.request_id, counted)
    return replace(state, suspects=book, live=table), (BroadcastCrashSuspects(notice),)


def drop_waiting(state: GuardState, live: LiveRequest, outcome: NotRun | None) -> Step:
    """Takes a request out of the queue and tells its waiters, if any."""
    request = live.request
    queue = fairqueue.remove(state.queue, request.tenant, live.waiting)
    replies: tuple[GuardAction, ...] = ()
    if outcome is not None:
        state, replies = tell_waiters(state, live, outcome)
    return replace(state, queue=queue, live=state.live.delete(request.request_id)), (
        replies
    )


def _base_runs(state: GuardState, slice: SliceId, carved_at: float) -> bool:
    """Says whether requests live that came before a slice was carved out."""
    base = replace(slice, carved=-1)
    return any(
        live.request.slice == base and live.arrived <= carved_at
        for live in state.live.values()
    )


def report_if_idle(state: GuardState, slice: SliceId | None, now: float) -> Step:
    """Hands stopped slices over once a request of a slice has ended.

    Args:
        state: The guard's state.
        slice: Slice of the request that ended.
        now: The moment, in seconds.

    Returns:
        The state, and the hand-over of the slice and of those carved out of it.
    """
    actions: list[GuardAction] = []
    for stopped in sorted(state.stopping):
        if slice in (stopped, replace(stopped, carved=-1)):
            state, more = _report_one(state, stopped, now)
            actions.extend(more)
    return state, tuple(actions)


def _report_one(state: GuardState, slice: SliceId, now: float) -> Step:
    """Hands a slice's ids over if nothing of it runs."""
    right = right_of(state, slice)
    if slice in state.busy_slices:
        return state, ()
    if slice.carved >= 0 and _base_runs(state, slice, right.gained_at):
        return state, ()
    if not right.held:
        # A right that lapsed meanwhile has no ledger to hand over.
        return replace(state, stopping=state.stopping - {slice}), (ReportIdle(slice),)
    known = ledger.known_requests(state.ledger, slice, now)
    if slice.carved >= 0:
        base = replace(slice, carved=-1)
        known = (*known, *ledger.known_requests(state.ledger, base, now))
    book = LedgerHandOver(slice, right.token, right.covers, now - right.since, known)
    state = replace(
        state,
        rights=state.rights.set(slice, tickets.give_away(right)),
        stopping=state.stopping - {slice},
    )
    return state, (HandOverLedger(slice, book), ReportIdle(slice))
