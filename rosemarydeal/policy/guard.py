"""Decides what happens to each request at the only way to an upstream.

The facade composes the ledger of ids, admission, cold start and crash
containment into one machine: `step(state, event, now) -> (state, actions)`.
"""

from __future__ import annotations

from dataclasses import replace

from rosemarydeal.core import NotRun, SliceId, Unknown
from rosemarydeal.core.messages import CrashSuspectNotice

from . import admission, coldstart, crash_suspects, fairqueue, ledger, tickets
from .arrivals import arrive
from .endings import answered, drop_waiting, failed, refused, report_if_idle
from .endings import tell_waiters as _tell_waiters
from .guard_interface import *  # noqa: F403
from .guard_interface import (
    BroadcastCrashSuspects,
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
    WaiterGone,
)
from .guard_interface import __all__ as _interface_names
from .guard_state import (
    GuardState,
    GuardStatus,
    LiveRequest,
    cold_share,
    load_hint,
    put_live,
    right_of,
    start,
    status,
    watch_cold,
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
    """Takes one event in and says what to do.

    Args:
        state: The guard's state.
        event: What happened.
        now: The moment on the suspend-counting clock, in seconds.

    Returns:
        The new state and the actions, to be carried out in order.
    """
    state, first = _react(state, event, now)
    state, late = _drop_expired(state, now)
    state, claims = _claim_suspects(state, now)
    state, dispatched = _pump(state, now)
    return state, (*first, *late, *claims, *dispatched)


def _react(state: GuardState, event: GuardEvent, now: float) -> Step:
    """Chooses what to do by the kind of event."""
    match event:
        case RequestArrived():
            return arrive(state, event, now)
        case UpstreamAnswered():
            return answered(state, event, now)
        case UpstreamRejected():
            return refused(state, event, now)
        case UpstreamFailed():
            return failed(state, event, now)
        case ConnectionClosed():
            counts = admission.close_connection(state.admission, busy=False)
            return replace(state, admission=counts), ()
        case WaiterGone():
            return _waiter_gone(state, event.waiter)
        case OwnershipGained() | OwnershipLost() | StopAdmitting() | LedgerReceived():
            return _change_right(state, event, now)
        case UpstreamStarted() | UpstreamGone() | UpstreamReported():
            return _change_upstream(state, event, now)
        case CrashSuspectsReceived():
            return _suspects_received(state, event.notice, now)
        case ReleaseSuspect():
            book, notices = crash_suspects.clear(
                state.suspects, state.settings.service, event.fingerprint, now
            )
            told = tuple(BroadcastCrashSuspects(notice) for notice in notices)
            return replace(state, suspects=book), told
        case SettingsChanged():
            return _change_settings(state, event.settings), ()
        case Tick():
            return _tick(state, now)


def _change_settings(state: GuardState, settings: GuardSettings) -> GuardState:
    """Puts new limits in force; a higher ceiling is reached step by step."""
    limit = min(state.admission.limit, float(settings.slots))
    counts = replace(state.admission, limit=limit)
    return replace(state, settings=settings, admission=counts)


def _waiter_gone(state: GuardState, waiter: int) -> Step:
    """Stops work that nobody waits for, unless an order is on its way."""
    request_id = state.waiters.get(waiter)
    if request_id is None:
        return state, ()
    live = state.live[request_id]
    left = tuple(x for x in live.waiters if x != waiter)
    live = replace(live, waiters=left)
    state = put_live(replace(state, waiters=state.waiters.delete(waiter)), live)
    if left:
        return state, ()
    if not live.runs:
        return drop_waiting(state, live, None)
    if not live.request.idempotent or live.cancelled:
        return state, ()
    return put_live(state, replace(live, cancelled=True)), (CancelUpstream(request_id),)


def _change_right(
    state: GuardState,
    event: OwnershipGained | OwnershipLost | StopAdmitting | LedgerReceived,
    now: float,
) -> Step:
    """Follows what the ownership policy says about a slice."""
    match event:
        case OwnershipGained():
            right = tickets.gain(right_of(state, event.slice), event, now)
            return _put_right(state, right), ()
        case OwnershipLost():
            right = tickets.lose(right_of(state, event.slice))
            return _drop_slice(_put_right(state, right), event.slice, "not-owner")
        case StopAdmitting():
            return _stop_admitting(state, event.slice, now)
        case LedgerReceived():
            handed = event.ledger
            right = tickets.accept(right_of(state, handed.slice), handed, now)
            book = ledger.adopt(state.ledger, handed.slice, handed.entries, now)
            return replace(_put_right(state, right), ledger=book), ()


def _put_right(state: GuardState, right: tickets.SliceRight) -> GuardState:
    """Stores what is known of a slice; one that is admitted is not stopping."""
    stopping = state.stopping
    if right.admitting:
        stopping = stopping - {right.slice}
    rights = state.rights.set(right.slice, right)
    return replace(state, rights=rights, stopping=stopping)


def _stop_admitting(state: GuardState, slice: SliceId, now: float) -> Step:
    """Refuses what waits for a slice and reports once nothing of it runs."""
    right = right_of(state, slice)
    if not right.held or right.given_away:
        return state, (ReportIdle(slice),)
    state = _put_right(state, replace(right, admitting=False))
    state = replace(state, stopping=state.stopping | {slice})
    state, replies = _drop_slice(state, slice, "moving")
    state, idle = report_if_idle(state, slice, now)
    return state, (*replies, *idle)


def _drop_slice(state: GuardState, slice: SliceId, code: str) -> Step:
    """Refuses all requests that wait for a slice; none of them ran."""
    outcome = NotRun(code, "The key moved while it waited.", RETRY_AFTER_MOVE_S)
    waiting = [
        live
        for live in state.live.values()
        if not live.runs and live.request.slice == slice
    ]
    return _drop_all(state, waiting, outcome)


def _drop_all(state: GuardState, waiting: list[LiveRequest], outcome: NotRun) -> Step:
    """Refuses waiting requests."""
    replies: list[GuardAction] = []
    for live in waiting:
        state, told = drop_waiting(state, live, outcome)
        replies.extend(told)
    return state, tuple(replies)


def _change_upstream(
    state: GuardState,
    event: UpstreamStarted | UpstreamGone | UpstreamReported,
    now: float,
) -> Step:
    """Follows the life of the upstream."""
    match event:
        case UpstreamStarted():
            cold = coldstart.turn_cold(state.cold, now) if event.cold else state.cold
            return replace(state, up=True, cold=cold, failures_in_row=0), ()
        case UpstreamGone():
            counts = replace(state.admission, idle=0)
            state = replace(state, up=False, admission=counts)
            waiting = [live for live in state.live.values() if not live.runs]
            outcome = NotRun("upstream-down", "The upstream went away.")
            return _drop_all(state, waiting, outcome)
        case UpstreamReported():
            return state, ()


def _suspects_received(
    state: GuardState, notice: CrashSuspectNotice, now: float
) -> Step:
    """Merges a notice and refuses what waits and is blamed now."""
    book = crash_suspects.receive(state.suspects, notice, now)
    state = replace(state, suspects=book)
    blamed = [
        live
        for live in state.live.values()
        if not live.runs and crash_suspects.is_blamed(book, live.request.fingerprint)
    ]
    outcome = NotRun("crash-suspect", "Its like was in flight at two crashes.")
    return _drop_all(state, blamed, outcome)


def _drop_expired(state: GuardState, now: float) -> Step:
    """Refuses waiting requests whose deadline has passed."""
    late = [state.live[i] for i in fairqueue.expired(state.queue, now)]
    outcome = NotRun("deadline-passed", "The deadline passed in the queue.")
    return _drop_all(state, late, outcome)


def _tick(state: GuardState, now: float) -> Step:
    """Forgets what is too old and gives up on answers past their deadline."""
    settings = state.settings
    book, dropped = ledger.expire(state.ledger, now, settings.window_s)
    kept = crash_suspects.expire(state.suspects, now, settings.suspect_window_s)
    running = [live for live in state.live.values() if live.runs]
    kept, notices = crash_suspects.rebroadcast(kept, now)
    state = watch_cold(replace(state, ledger=book, suspects=kept), now)
    actions: list[GuardAction] = [DropAnswer(i) for i in dropped]
    actions.extend(BroadcastCrashSuspects(notice) for notice in notices)
    for live in running:
        if live.request.deadline <= now:
            state, told = _give_up(state, live, now)
            actions.extend(told)
    return state, tuple(actions)


def _give_up(state: GuardState, live: LiveRequest, now: float) -> Step:
    """Tells waiters that a request overran its deadline; cancels it in time."""
    outcome = Unknown("deadline-passed", "No answer came before the deadline.")
    state, replies = _tell_waiters(state, live, outcome)
    grace_s = 0.0 if live.request.idempotent else CANCEL_GRACE_S
    if live.cancelled or now < live.request.deadline + grace_s:
        return state, replies
    told = replace(live, waiters=(), cancelled=True)
    cancel = CancelUpstream(live.request.request_id)
    return put_live(state, told), (*replies, cancel)


def _pump(state: GuardState, now: float) -> Step:
    """Dispatches waiting requests while the upstream bears more."""
    actions: list[GuardAction] = []
    while state.up and state.queue.size:
        share = cold_share(state, now)
        if not admission.may_start(state.admission, state.settings, share, now):
            break
        lone = _suspect_runs(state)
        queue, request_id = fairqueue.pop(
            state.queue, lambda i, s=state, x=lone: _eligible(s, i, x, now)
        )
        if request_id is None:
            break
        state = replace(state, queue=queue)
        state, action = _dispatch(state, state.live[request_id], now)
        actions.append(action)
    return state, tuple(actions)


def _suspect_runs(state: GuardState) -> bool:
    """Says whether a suspect of a crash runs now."""
    if not state.suspects.records:
        return False
    return any(
        live.runs
        and crash_suspects.is_suspect(state.suspects, live.request.fingerprint)
        for live in state.live.values()
    )


def _eligible(
    state: GuardState, request_id: str, suspect_runs: bool, now: float
) -> bool:
    """Says whether a waiting request may be dispatched beside what runs."""
    fingerprint = state.live[request_id].request.fingerprint
    if not crash_suspects.is_suspect(state.suspects, fingerprint):
        return True
    if suspect_runs:
        return False
    return crash_suspects.may_try(state.suspects, state.settings.node, fingerprint, now)


def _claim_suspects(state: GuardState, now: float) -> Step:
    """Claims the suspects that wait, before any of them is tried."""
    if not state.suspects.records or not state.queue.size:
        return state, ()
    settings = state.settings
    actions: list[GuardAction] = []
    for live in state.live.values():
        fingerprint = live.request.fingerprint
        book = state.suspects
        waits = not live.runs and crash_suspects.is_suspect(book, fingerprint)
        if waits and crash_suspects.needs_claim(book, fingerprint, now):
            book, notice = crash_suspects.claim(
                book, settings.service, settings.node, fingerprint, now
            )
            state = replace(state, suspects=book)
            actions.append(BroadcastCrashSuspects(notice))
    return state, tuple(actions)


def _dispatch(
    state: GuardState, live: LiveRequest, now: float
) -> tuple[GuardState, Dispatch]:
    """Records a request and sends it to the upstream."""
    request = live.request
    slice = request.slice
    token = 0 if slice is None else right_of(state, slice).token
    counts, new_connection = admission.start(state.admission, state.settings, now)
    book = state.ledger
    if not request.idempotent:
        book = ledger.record(book, request.request_id, request.fingerprint, slice, now)
    busy = state.busy_slices
    if slice is not None:
        busy = busy.set(slice, busy.get(slice, 0) + 1)
    state = replace(
        state,
        admission=counts,
        ledger=book,
        busy_slices=busy,
        started_sum=state.started_sum + now,
    )
    running = replace(live, waiting=None, token=token, started=now)
    action = Dispatch(
        request.request_id, slice, token, request.deadline, new_connection
    )
    return put_live(state, running), action
