"""Completion of dispatched and queued requests."""

from __future__ import annotations

from dataclasses import replace

from rosemarydeal.core import NotRun, SliceId, Unknown
from rosemarydeal.core.codes import SHED_CODE
from rosemarydeal.core.messages import LedgerHandOver

from . import admission, claimed_suspects, coldstart, fairqueue, ledger, tickets
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
    detect_cold_start,
    include_earlier_attempts,
    ownership_of,
)
from .ledger import EntryState

__all__ = [
    "drop_queued",
    "handle_answer",
    "handle_failure",
    "handle_rejection",
    "reply_to_callers",
    "report_if_idle",
]

Step = tuple[GuardState, tuple[GuardAction, ...]]
SERVER_ERROR_STATUS = 500
RETRY_AFTER_FAILURE_S = 0.1


def _running(state: GuardState, request_id: str) -> LiveRequest | None:
    """Returns a dispatched live request, None if it has already ended."""
    live = state.live.get(request_id)
    return live if live is not None and live.is_running else None


def reply_to_callers(
    state: GuardState, live: LiveRequest, outcome: NotRun | Unknown
) -> Step:
    """Replies to all callers of a request with an outcome; it stays live."""
    if not isinstance(outcome, NotRun) or outcome.code != SHED_CODE:
        outcome = include_earlier_attempts(outcome, live.earlier_run_possible)
    callers = state.callers
    for caller in live.callers:
        callers = callers.delete(caller)
    updated = replace(live, callers=())
    state = replace(
        state, callers=callers, live=state.live.set(live.request.request_id, updated)
    )
    return state, tuple(ReplyOutcome(caller, outcome) for caller in live.callers)


def _remove_running(state: GuardState, live: LiveRequest) -> GuardState:
    """Removes a dispatched request from the live requests."""
    callers = state.callers
    for caller in live.callers:
        callers = callers.delete(caller)
    slice = live.request.slice
    counts = state.running_by_slice
    if slice is not None:
        remaining = counts.get(slice, 1) - 1
        counts = counts.set(slice, remaining) if remaining else counts.delete(slice)
    return replace(
        state,
        dispatched_at_sum=state.dispatched_at_sum - live.dispatched_at,
        live=state.live.delete(live.request.request_id),
        callers=callers,
        running_by_slice=counts,
    )


def handle_answer(state: GuardState, event: UpstreamAnswered, now: float) -> Step:
    """Replies to all callers with the answer and stores it for repeated requests."""
    live = _running(state, event.request_id)
    if live is None:
        return state, ()
    share = cold_share(state, now)
    counts = admission.record_answer(
        state.admission, state.settings, event.latency, share, event.connection_kept
    )
    cold = coldstart.record_latency(state.cold, state.settings, event.latency, now)
    server_error = event.status >= SERVER_ERROR_STATUS
    state = replace(
        _remove_running(state, live),
        admission=counts,
        cold=cold,
        consecutive_failures=state.consecutive_failures + 1 if server_error else 0,
    )
    state = detect_cold_start(state, now)
    replies = tuple(ReplyAnswer(c, event.request_id) for c in live.callers)
    state, dropped = _store_answer(state, live, event, now)
    state, notices = _clear_suspect(state, live, now)
    state, idle = report_if_idle(state, live.request.slice, now)
    return state, (*replies, *dropped, *notices, *idle)


def _store_answer(
    state: GuardState, live: LiveRequest, event: UpstreamAnswered, now: float
) -> Step:
    """Stores the answer of a non-idempotent request within the size limit."""
    if live.request.idempotent:
        return state, (DropAnswer(event.request_id),)
    new_ledger, dropped = ledger.record_outcome(
        state.ledger,
        event.request_id,
        EntryState.ANSWERED,
        now,
        state.settings.answer_bytes,
        event.status,
        event.size,
    )
    entry = new_ledger.find(event.request_id)
    if entry is not None and not entry.answer_kept and event.request_id not in dropped:
        dropped = (*dropped, event.request_id)
    return replace(state, ledger=new_ledger), tuple(DropAnswer(i) for i in dropped)


def _clear_suspect(state: GuardState, live: LiveRequest, now: float) -> Step:
    """Clears the fingerprint of an answered request of all crashes."""
    suspects, notices = claimed_suspects.clear(
        state.suspects, state.settings.service, live.request.fingerprint, now
    )
    return replace(state, suspects=suspects), tuple(
        BroadcastCrashSuspects(n) for n in notices
    )


def handle_rejection(state: GuardState, event: UpstreamRejected, now: float) -> Step:
    """Ends a request that the upstream shed without running it."""
    live = _running(state, event.request_id)
    if live is None:
        return state, ()
    counts = admission.record_shed(state.admission, event.connection_kept)
    state = replace(state, admission=counts)
    outcome = NotRun(SHED_CODE, "The upstream shed the request.", event.retry_after)
    return _finish_not_run(state, live, outcome, now)


def _finish_not_run(
    state: GuardState, live: LiveRequest, outcome: NotRun, now: float
) -> Step:
    """Ends a dispatched request that did not run, and removes its ledger entry."""
    state, replies = reply_to_callers(state, live, outcome)
    state = _remove_running(state, replace(live, callers=()))
    new_ledger = ledger.remove(state.ledger, live.request.request_id)
    state, idle = report_if_idle(
        replace(state, ledger=new_ledger), live.request.slice, now
    )
    return state, (*replies, *idle)


def handle_failure(state: GuardState, event: UpstreamFailed, now: float) -> Step:
    """Ends a request without an answer, and records a crash of the upstream."""
    live = _running(state, event.request_id)
    if live is None:
        return state, ()
    counts = admission.close_connection(state.admission, busy=True)
    state = replace(
        state, admission=counts, consecutive_failures=state.consecutive_failures + 1
    )
    if not event.sent:
        outcome = NotRun(
            "not-sent",
            "The request was not sent to the upstream.",
            RETRY_AFTER_FAILURE_S,
        )
        return _finish_not_run(state, live, outcome, now)
    state, notices = _record_crash(state, live, now) if event.crashed else (state, ())
    code = "upstream-crashed" if event.crashed else "connection-lost"
    outcome = Unknown(code, "The connection to the upstream was lost.")
    state, replies = reply_to_callers(state, live, outcome)
    state = _remove_running(state, replace(live, callers=()))
    new_ledger, _ = ledger.record_outcome(
        state.ledger,
        live.request.request_id,
        EntryState.LOST,
        now,
        state.settings.answer_bytes,
    )
    state, idle = report_if_idle(
        replace(state, ledger=new_ledger), live.request.slice, now
    )
    return state, (*notices, *replies, *idle)


def _record_crash(state: GuardState, live: LiveRequest, now: float) -> Step:
    """Marks all requests in flight at a crash as suspects.

    Each request is marked as counted, so that its own failure in the same crash
    does not count as another crash.
    """
    state = replace(state, cold=coldstart.start_ramp(state.cold, now))
    if live.crash_counted:
        return state, ()
    in_flight = [x for x in state.live.values() if x.is_running and not x.crash_counted]
    settings = state.settings
    suspects, notice = claimed_suspects.record_crash(
        state.suspects,
        settings.service,
        settings.node,
        state.boot_id,
        tuple(x.request.fingerprint for x in in_flight),
        now,
    )
    live_requests = state.live
    for running_request in in_flight:
        counted = replace(running_request, crash_counted=True)
        live_requests = live_requests.set(running_request.request.request_id, counted)
    return replace(state, suspects=suspects, live=live_requests), (
        BroadcastCrashSuspects(notice),
    )


def drop_queued(state: GuardState, live: LiveRequest, outcome: NotRun | None) -> Step:
    """Removes a queued request and replies to its callers if there is an outcome."""
    request = live.request
    queue = fairqueue.remove(state.queue, request.tenant, live.queued)
    replies: tuple[GuardAction, ...] = ()
    if outcome is not None:
        state, replies = reply_to_callers(state, live, outcome)
    return replace(state, queue=queue, live=state.live.delete(request.request_id)), (
        replies
    )


def _base(slice: SliceId) -> SliceId:
    """Returns the base slice of a carved slice, or the base slice itself."""
    return replace(slice, carved=-1)


def _merged_slices(state: GuardState, slice: SliceId) -> tuple[SliceId, ...]:
    """Returns the carved slices that may have been merged back into a base slice."""
    return tuple(
        each
        for each, ownership in state.ownerships.items()
        if each.carved >= 0 and _base(each) == slice and not ownership.owned
    )


def _has_base_requests(state: GuardState, slice: SliceId, carved_at: float) -> bool:
    """Returns whether live requests of the base slice precede the carving."""
    base = replace(slice, carved=-1)
    return any(
        live.request.slice == base and live.arrived_at <= carved_at
        for live in state.live.values()
    )


def report_if_idle(state: GuardState, slice: SliceId | None, now: float) -> Step:
    """Hands over stopping slices that became idle when a request ended.

    Args:
        state: The guard's state.
        slice: Slice of the ended request.
        now: The current time, in seconds.

    Returns:
        The new state, and the hand-overs of the slice, of its base slice and of the
        slices carved out of the same base slice.
    """
    actions: list[GuardAction] = []
    for stopping_slice in sorted(state.stopping):
        if slice is not None and _base(slice) == _base(stopping_slice):
            state, more = _hand_over_if_idle(state, stopping_slice, now)
            actions.extend(more)
    return state, tuple(actions)


def _hand_over_if_idle(state: GuardState, slice: SliceId, now: float) -> Step:
    """Hands over a slice's ledger records if none of its requests is running."""
    ownership = ownership_of(state, slice)
    if slice in state.running_by_slice:
        return state, ()
    if slice.carved >= 0 and _has_base_requests(state, slice, ownership.gained_at):
        return state, ()
    merged = _merged_slices(state, slice)
    if any(each in state.running_by_slice for each in merged):
        return state, ()
    if not ownership.owned:
        # The ownership expired in the meantime, so there is no ledger to hand over.
        return replace(state, stopping=state.stopping - {slice}), (ReportIdle(slice),)
    sources = {slice, _base(slice), *merged}
    records = ledger.records_of(state.ledger, sources, now)
    hand_over = LedgerHandOver(
        slice,
        ownership.token,
        ownership.covers,
        now - ownership.complete_since,
        records,
    )
    ownerships = state.ownerships.set(slice, tickets.transfer_ledger(ownership))
    for each in merged:
        ownerships = ownerships.set(each, tickets.transfer_ledger(ownerships[each]))
    state = replace(state, ownerships=ownerships, stopping=state.stopping - {slice})
    return state, (HandOverLedger(slice, hand_over), ReportIdle(slice))
