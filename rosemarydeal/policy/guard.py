"""Guard of an upstream: all requests to the upstream pass through it.

This module combines the ledger of ids, admission, cold start and crash
containment into one state machine: `step(state, event, now) -> (state, actions)`.
"""

from __future__ import annotations

from dataclasses import replace

from rosemarydeal.core import NotRun, SliceId, Unknown
from rosemarydeal.core.messages import CrashSuspectNotice

from . import admission, claimed_suspects, coldstart, fairqueue, ledger, tickets
from .arrivals import handle_arrival
from .completions import (
    drop_queued,
    handle_answer,
    handle_failure,
    handle_rejection,
    reply_to_callers,
    report_if_idle,
)
from .guard_interface import *  # noqa: F403
from .guard_interface import (
    BroadcastCrashSuspects,
    CallerGone,
    CancelUpstream,
    ConnectionClosed,
    CrashSuspectsReceived,
    Dispatch,
    DropAnswer,
    GuardAction,
    GuardEvent,
    GuardSettings,
    LedgerReceived,
    ReleaseSuspect,
    ReportIdle,
    RequestArrived,
    SettingsChanged,
    UpstreamAnswered,
    UpstreamFailed,
    UpstreamGone,
    UpstreamRejected,
    UpstreamReported,
    UpstreamStarted,
)
from .guard_interface import __all__ as _interface_names
from .guard_state import (
    GuardState,
    GuardStatus,
    LiveRequest,
    cold_share,
    detect_cold_start,
    load_hint,
    ownership_before_gain,
    ownership_of,
    put_live,
    start,
    status,
)
from .interface import OwnershipGained, OwnershipLost, StopAdmitting, Tick

__all__ = [
    *_interface_names,
    "GuardState",
    "GuardStatus",
    "OwnershipGained",
    "OwnershipLost",
    "StopAdmitting",
    "Tick",
    "load_hint",
    "start",
    "status",
    "step",
]

Step = tuple[GuardState, tuple[GuardAction, ...]]
CANCEL_GRACE_S = 1.0
RETRY_AFTER_MOVE_S = 0.05


def step(state: GuardState, event: GuardEvent, now: float) -> Step:
    """Handles one event.

    Args:
        state: The guard's state.
        event: The event.
        now: The current time on the suspend-counting clock, in seconds.

    Returns:
        The new state and the actions, to be executed in order.
    """
    state, actions = _handle(state, event, now)
    state, expirations = _drop_expired(state, now)
    state, claims = _claim_suspects(state, now)
    state, dispatched = _dispatch_queued(state, now)
    return state, (*actions, *expirations, *claims, *dispatched)


def _handle(state: GuardState, event: GuardEvent, now: float) -> Step:
    """Handles an event by its type."""
    match event:
        case RequestArrived():
            return handle_arrival(state, event, now)
        case UpstreamAnswered():
            return handle_answer(state, event, now)
        case UpstreamRejected():
            return handle_rejection(state, event, now)
        case UpstreamFailed():
            return handle_failure(state, event, now)
        case ConnectionClosed():
            counts = admission.close_connection(state.admission, busy=False)
            return replace(state, admission=counts), ()
        case CallerGone():
            return _remove_caller(state, event.caller)
        case OwnershipGained() | OwnershipLost() | StopAdmitting() | LedgerReceived():
            return _handle_ownership_event(state, event, now)
        case UpstreamStarted() | UpstreamGone() | UpstreamReported():
            return _handle_upstream_event(state, event, now)
        case CrashSuspectsReceived():
            return _merge_suspects(state, event.notice, now)
        case ReleaseSuspect():
            suspects, notices = claimed_suspects.clear(
                state.suspects, state.settings.service, event.fingerprint, now
            )
            broadcasts = tuple(BroadcastCrashSuspects(notice) for notice in notices)
            return replace(state, suspects=suspects), broadcasts
        case SettingsChanged():
            return _change_settings(state, event.settings), ()
        case Tick():
            return _tick(state, now)


def _change_settings(state: GuardState, settings: GuardSettings) -> GuardState:
    """Applies new limits; the adaptive limit rises to a higher ceiling gradually."""
    limit = min(state.admission.limit, float(settings.slots))
    counts = replace(state.admission, limit=limit)
    return replace(state, settings=settings, admission=counts)


def _remove_caller(state: GuardState, caller: int) -> Step:
    """Removes a caller; drops or cancels its request if no other caller waits.

    A dispatched non-idempotent request runs to its end.
    """
    request_id = state.callers.get(caller)
    if request_id is None:
        return state, ()
    live = state.live[request_id]
    remaining = tuple(x for x in live.callers if x != caller)
    live = replace(live, callers=remaining)
    state = put_live(replace(state, callers=state.callers.delete(caller)), live)
    if remaining:
        return state, ()
    if not live.is_running:
        return drop_queued(state, live, None)
    if not live.request.idempotent or live.cancelled:
        return state, ()
    return put_live(state, replace(live, cancelled=True)), (CancelUpstream(request_id),)


def _handle_ownership_event(
    state: GuardState,
    event: OwnershipGained | OwnershipLost | StopAdmitting | LedgerReceived,
    now: float,
) -> Step:
    """Applies a change in the ownership of a slice."""
    match event:
        case OwnershipGained():
            before = ownership_before_gain(state, event)
            ownership = tickets.record_gained(before, event, now)
            return _set_ownership(state, ownership), ()
        case OwnershipLost():
            ownership = tickets.record_lost(ownership_of(state, event.slice))
            return _drop_slice(
                _set_ownership(state, ownership), event.slice, "not-owner"
            )
        case StopAdmitting():
            return _stop_admitting(state, event.slice, now)
        case LedgerReceived():
            received = event.ledger
            ownership = tickets.receive_ledger(
                ownership_of(state, received.slice), received, now
            )
            merged = ledger.merge(state.ledger, received.slice, received.entries, now)
            return replace(_set_ownership(state, ownership), ledger=merged), ()


def _set_ownership(state: GuardState, ownership: tickets.OwnershipRecord) -> GuardState:
    """Stores the record of a slice; a slice that admits requests is not stopping."""
    stopping = state.stopping
    if ownership.admitting:
        stopping = stopping - {ownership.slice}
    ownerships = state.ownerships.set(ownership.slice, ownership)
    return replace(state, ownerships=ownerships, stopping=stopping)


def _stop_admitting(state: GuardState, slice: SliceId, now: float) -> Step:
    """Rejects the queued requests of a slice and reports the slice once it is idle."""
    ownership = ownership_of(state, slice)
    if not ownership.owned or ownership.ledger_transferred:
        return state, (ReportIdle(slice),)
    state = _set_ownership(state, replace(ownership, admitting=False))
    state = replace(state, stopping=state.stopping | {slice})
    state, replies = _drop_slice(state, slice, "moving")
    state, idle = report_if_idle(state, slice, now)
    return state, (*replies, *idle)


def _drop_slice(state: GuardState, slice: SliceId, code: str) -> Step:
    """Rejects all queued requests of a slice; none of them ran."""
    outcome = NotRun(
        code, "The key moved while the request was queued.", RETRY_AFTER_MOVE_S
    )
    queued = [
        live
        for live in state.live.values()
        if not live.is_running and live.request.slice == slice
    ]
    return _drop_all(state, queued, outcome)


def _drop_all(state: GuardState, queued: list[LiveRequest], outcome: NotRun) -> Step:
    """Rejects queued requests."""
    replies: list[GuardAction] = []
    for live in queued:
        state, dropped = drop_queued(state, live, outcome)
        replies.extend(dropped)
    return state, tuple(replies)


def _handle_upstream_event(
    state: GuardState,
    event: UpstreamStarted | UpstreamGone | UpstreamReported,
    now: float,
) -> Step:
    """Applies a change in the state of the upstream."""
    match event:
        case UpstreamStarted():
            cold = coldstart.start_ramp(state.cold, now) if event.cold else state.cold
            return replace(state, up=True, cold=cold, consecutive_failures=0), ()
        case UpstreamGone():
            counts = replace(state.admission, idle=0)
            state = replace(state, up=False, admission=counts)
            queued = [live for live in state.live.values() if not live.is_running]
            outcome = NotRun("upstream-down", "The upstream stopped.")
            return _drop_all(state, queued, outcome)
        case UpstreamReported():
            return state, ()


def _merge_suspects(state: GuardState, notice: CrashSuspectNotice, now: float) -> Step:
    """Merges a notice and rejects the queued requests that are now blocked."""
    suspects = claimed_suspects.apply_notice(state.suspects, notice, now)
    state = replace(state, suspects=suspects)
    blocked = [
        live
        for live in state.live.values()
        if not live.is_running
        and claimed_suspects.is_blocked(suspects, live.request.fingerprint)
    ]
    outcome = NotRun("crash-suspect", "The same request was in flight at two crashes.")
    return _drop_all(state, blocked, outcome)


def _drop_expired(state: GuardState, now: float) -> Step:
    """Rejects queued requests whose deadline has passed."""
    expired = [state.live[i] for i in fairqueue.expired(state.queue, now)]
    outcome = NotRun("deadline-passed", "The deadline passed in the queue.")
    return _drop_all(state, expired, outcome)


def _tick(state: GuardState, now: float) -> Step:
    """Expires ledger entries and crash records, and handles overrun deadlines."""
    settings = state.settings
    new_ledger, dropped = ledger.expire(state.ledger, now, settings.window_s)
    suspects = claimed_suspects.expire(state.suspects, now, settings.suspect_window_s)
    running = [live for live in state.live.values() if live.is_running]
    suspects, notices = claimed_suspects.rebroadcast(suspects, now)
    state = detect_cold_start(replace(state, ledger=new_ledger, suspects=suspects), now)
    actions: list[GuardAction] = [DropAnswer(i) for i in dropped]
    actions.extend(BroadcastCrashSuspects(notice) for notice in notices)
    for live in running:
        if live.request.deadline <= now:
            state, replies = _expire_running(state, live, now)
            actions.extend(replies)
    return state, tuple(actions)


def _expire_running(state: GuardState, live: LiveRequest, now: float) -> Step:
    """Replies to the callers of an overrun request, and cancels it after a grace.

    Idempotent requests get no grace.
    """
    outcome = Unknown("deadline-passed", "No answer came before the deadline.")
    state, replies = reply_to_callers(state, live, outcome)
    grace_s = 0.0 if live.request.idempotent else CANCEL_GRACE_S
    if live.cancelled or now < live.request.deadline + grace_s:
        return state, replies
    updated = replace(live, callers=(), cancelled=True)
    cancel = CancelUpstream(live.request.request_id)
    return put_live(state, updated), (*replies, cancel)


def _dispatch_queued(state: GuardState, now: float) -> Step:
    """Dispatches queued requests while the limits allow it."""
    actions: list[GuardAction] = []
    while state.up and state.queue.size:
        share = cold_share(state, now)
        if not admission.can_dispatch(state.admission, state.settings, share, now):
            break
        suspect_running = _is_suspect_running(state)
        queue, request_id = fairqueue.pop(
            state.queue, lambda i, s=state, x=suspect_running: _eligible(s, i, x, now)
        )
        if request_id is None:
            break
        state = replace(state, queue=queue)
        state, action = _dispatch(state, state.live[request_id], now)
        actions.append(action)
    return state, tuple(actions)


def _is_suspect_running(state: GuardState) -> bool:
    """Returns whether a crash suspect is running."""
    if not state.suspects.records:
        return False
    return any(
        live.is_running
        and claimed_suspects.is_suspect(state.suspects, live.request.fingerprint)
        for live in state.live.values()
    )


def _eligible(
    state: GuardState, request_id: str, suspect_running: bool, now: float
) -> bool:
    """Returns whether a queued request may run beside the running requests."""
    fingerprint = state.live[request_id].request.fingerprint
    if not claimed_suspects.is_suspect(state.suspects, fingerprint):
        return True
    if suspect_running:
        return False
    return claimed_suspects.may_run(
        state.suspects, state.settings.node, fingerprint, now
    )


def _claim_suspects(state: GuardState, now: float) -> Step:
    """Claims the queued suspects, as a suspect may only run under a claim."""
    if not state.suspects.records or not state.queue.size:
        return state, ()
    settings = state.settings
    actions: list[GuardAction] = []
    for live in state.live.values():
        fingerprint = live.request.fingerprint
        suspects = state.suspects
        is_queued_suspect = not live.is_running and claimed_suspects.is_suspect(
            suspects, fingerprint
        )
        if is_queued_suspect and claimed_suspects.is_claimable(
            suspects, fingerprint, now
        ):
            suspects, notice = claimed_suspects.claim(
                suspects, settings.service, settings.node, fingerprint, now
            )
            state = replace(state, suspects=suspects)
            actions.append(BroadcastCrashSuspects(notice))
    return state, tuple(actions)


def _dispatch(
    state: GuardState, live: LiveRequest, now: float
) -> tuple[GuardState, Dispatch]:
    """Records a request in the ledger and dispatches it."""
    request = live.request
    slice = request.slice
    token = 0 if slice is None else ownership_of(state, slice).token
    counts, new_connection = admission.record_dispatch(
        state.admission, state.settings, now
    )
    new_ledger = state.ledger
    if not request.idempotent:
        new_ledger = ledger.record(
            new_ledger, request.request_id, request.fingerprint, slice, now
        )
    running_counts = state.running_by_slice
    if slice is not None:
        running_counts = running_counts.set(slice, running_counts.get(slice, 0) + 1)
    state = replace(
        state,
        admission=counts,
        ledger=new_ledger,
        running_by_slice=running_counts,
        dispatched_at_sum=state.dispatched_at_sum + now,
    )
    running = replace(live, queued=None, token=token, dispatched_at=now)
    action = Dispatch(
        request.request_id, slice, token, request.deadline, new_connection
    )
    return put_live(state, running), action
