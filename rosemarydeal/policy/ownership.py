"""Facade of the ownership policy, which decides which slices a process owns.

`step` is a pure function: a driver passes each event with the current time and
executes the returned actions. The clock must count time spent suspended.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import replace

from immutables import Map

from rosemarydeal.core import SliceId
from rosemarydeal.core.messages import (
    LeaseRelinquished,
    LeaseReply,
    LeaseRequest,
    Message,
    PromiseReply,
    PromiseRequest,
    RevokeReply,
    RevokeRequest,
    UnresponsiveNotice,
)

from . import (
    failure_detection,
    incarnation,
    records,
    revocation,
    scan_schedule,
    succession,
    witness,
    writes,
)
from .interface import (
    Action,
    ChunkRead,
    DrainRequested,
    Event,
    LeaveRequested,
    MemberRead,
    MessageReceived,
    NodeSuspected,
    OwnershipLost,
    Send,
    SliceIdle,
    Tick,
    UpstreamDied,
    UpstreamReady,
    WriteConflicted,
    WriteFailed,
    WriteSucceeded,
)
from .ownership_queries import (
    Description,
    ServingStatus,
    describe,
    is_drained,
    known_members,
    known_rows,
    lease_expiry,
    row_of,
    slice_of_key,
    slice_ownership,
)
from .ownership_settings import Identity, OwnershipSettings
from .ownership_state import OwnershipState, Result
from .witness import WitnessState

__all__ = [
    "Description",
    "Identity",
    "OwnershipSettings",
    "OwnershipState",
    "ServingStatus",
    "describe",
    "is_drained",
    "known_members",
    "known_rows",
    "lease_expiry",
    "row_of",
    "slice_of_key",
    "slice_ownership",
    "start",
    "step",
]

PRUNE_INTERVAL_S = 10.0
BOOT_ID_COUNT = 2**48


def start(
    settings: OwnershipSettings, identity: Identity, now: float, seed: int
) -> OwnershipState:
    """Returns the state of a process that has just started.

    Args:
        settings: Times and counts of the protocol.
        identity: Properties that the process announces.
        now: Present time, in seconds.
        seed: Random seed; must differ between the runs of a process.
    """
    return OwnershipState(
        settings=settings,
        identity=identity,
        started_at=now,
        seed=seed,
        boot_id=f"{identity.node}/{seed:x}/",
        witness=WitnessState(
            started_at=now,
            hold_off_until=now + settings.startup_hold_off_s,
            boot_id=seed % BOOT_ID_COUNT + 1,
        ),
    )


def step(
    state: OwnershipState, event: Event, now: float
) -> tuple[OwnershipState, tuple[Action, ...]]:
    """Handles one event and all work that is due.

    Args:
        state: The process before the event.
        event: The event.
        now: Present time on the clock that counts suspended time, in seconds.

    Returns:
        The process after the event, and the actions for the driver in order.
    """
    state, actions = incarnation.expire(state, now)
    state, more = _handle(state, event, now)
    state, actions = _deliver_to_self(state, (*actions, *more), now)
    if _needs_progress(event):
        state, more = _progress(state, now)
        state, more = _deliver_to_self(state, more, now)
        actions = (*actions, *more)
    return state, actions


def _handle(state: OwnershipState, event: Event, now: float) -> Result:
    """Handles one event; work that becomes due by it is left to `_progress`."""
    match event:
        case Tick():
            return state, ()
        case MessageReceived(sender=sender, message=message):
            return _handle_message(state, sender, message, now)
        case MemberRead(version=version, member=member):
            return writes.on_member_read(state, version, member, now), ()
        case ChunkRead(version=version, chunk=chunk):
            return records.adopt_chunk(state, version, chunk, now)
        case WriteSucceeded(change_id=change_id, version=version):
            return writes.on_success(state, change_id, version, now)
        case WriteConflicted(change_id=change_id) | WriteFailed(change_id=change_id):
            return writes.on_failure(state, change_id, now), ()
        case UpstreamReady():
            return replace(state, ready=True, draining=False, ready_at=now), ()
        case UpstreamDied():
            return _release_all(replace(state, ready=False))
        case DrainRequested():
            return replace(state, draining=True), ()
        case LeaveRequested():
            return _leave(state)
        case SliceIdle(slice=slice_id):
            return revocation.on_idle(state, slice_id)
        case NodeSuspected(node=node):
            return failure_detection.suspect(state, node, now), ()


def _handle_message(
    state: OwnershipState, sender: str, message: Message, now: float
) -> Result:
    """Handles one message; messages for other components are ignored."""
    match message:
        case LeaseRequest():
            witness_state, reply = witness.grant_lease(
                state.witness, message, state.settings, now
            )
            return replace(state, witness=witness_state), (Send(sender, reply),)
        case LeaseReply():
            return incarnation.on_lease_reply(state, sender, message, now), ()
        case LeaseRelinquished(incarnation=ended):
            return replace(state, witness=witness.relinquish(state.witness, ended)), ()
        case PromiseRequest():
            witness_state, reply = witness.promise(
                state.witness, message, state.settings, now
            )
            return replace(state, witness=witness_state), (Send(sender, reply),)
        case PromiseReply():
            return failure_detection.on_promise_reply(state, sender, message, now), ()
        case UnresponsiveNotice(incarnation=target):
            return failure_detection.on_unresponsive_notice(state, target, now), ()
        case RevokeRequest():
            return revocation.on_revoke_request(state, sender, message)
        case RevokeReply():
            state = revocation.on_revoke_reply(state, message)
            return _gain_each(state, (ack.slice for ack in message.acks), now)
    return state, ()


def _needs_progress(event: Event) -> bool:
    """Returns whether work may become due by an event."""
    match event:
        case MessageReceived(
            message=LeaseRequest() | PromiseRequest() | LeaseRelinquished()
        ):
            return False
    return True


def _progress(state: OwnershipState, now: float) -> Result:
    """Performs all work that is due."""
    tasks: tuple[Callable[[OwnershipState, float], Result], ...] = (
        _update_incarnation,
        incarnation.renew_leases,
        writes.write_member,
        failure_detection.notify_unresponsive,
        _probe_unacked,
        failure_detection.advance_probes,
        _gain_when_due,
        _drain,
        revocation.request_revocations,
        revocation.repeat_releases,
        _write_when_due,
        writes.mark_lost,
        _relinquish_old_leases,
        _prune,
    )
    actions = ()
    for task in tasks:
        state, more = task(state, now)
        actions += more
    return state, actions


def _update_incarnation(state: OwnershipState, now: float) -> Result:
    """Requests a new incarnation if one is needed."""
    return incarnation.update_incarnation(state, now), ()


def _gain_when_due(state: OwnershipState, now: float) -> Result:
    """Gains ownership of the slices that are due, unless no input has changed."""
    if not scan_schedule.gain_scan_due(state, now):
        return state, ()
    state, actions = succession.gain_all_due(state, now)
    return replace(
        state, scan_schedule=scan_schedule.after_gain_scan(state, now)
    ), actions


def _write_when_due(state: OwnershipState, now: float) -> Result:
    """Writes the row changes that are due, unless no input has changed."""
    if not scan_schedule.write_scan_due(state, now):
        return state, ()
    state, actions = writes.write_chunks(state, now)
    return replace(
        state, scan_schedule=scan_schedule.after_write_scan(state, now)
    ), actions


def _gain_each(state: OwnershipState, slices: Iterable[SliceId], now: float) -> Result:
    """Gains ownership of some slices after new acknowledgements, where due."""
    actions = ()
    for slice_id in slices:
        state, more = succession.gain_if_due(state, slice_id, now)
        actions += more
    return state, actions


def _probe_unacked(state: OwnershipState, now: float) -> Result:
    """Probes retiring incarnations that do not acknowledge their revocation."""
    return failure_detection.probe_unacked(state, now), ()


def _deliver_to_self(
    state: OwnershipState, actions: tuple[Action, ...], now: float
) -> Result:
    """Handles messages addressed to the process itself at once."""
    remaining = []
    waiting = list(actions)
    while waiting:
        action = waiting.pop(0)
        if isinstance(action, Send) and action.to == state.node:
            state, more = _handle_message(state, state.node, action.message, now)
            waiting.extend(more)
        else:
            remaining.append(action)
    return state, tuple(remaining)


def _release_all(state: OwnershipState) -> Result:
    """Releases every slice at once, as no request runs without an upstream."""
    actions = ()
    for slice_id, serving in sorted(state.serving.items()):
        row = state.row(slice_id)
        is_last = row is not None and row.succession[-1:] == (serving.incarnation,)
        if is_last and slice_id not in state.stopping:
            state = replace(state, serving=state.serving.delete(slice_id))
            actions += (OwnershipLost(slice_id),)
            continue
        version = succession.release_version(state, slice_id, serving)
        state, more = revocation.release(state, slice_id, version, serving.token)
        actions += more
    for slice_id in sorted(state.stopping):
        state, more = revocation.on_idle(state, slice_id)
        actions += more
    return state, actions


def _drain(state: OwnershipState, now: float) -> Result:
    """Stops admission to a limited number of slices at a time while draining."""
    if not state.draining:
        return state, ()
    actions = ()
    for slice_id, serving in sorted(state.serving.items()):
        if len(state.stopping) >= state.settings.drain_batch:
            break
        row = state.row(slice_id)
        has_successor = row is not None and any(
            not state.is_own(later) and not state.has_expired(later, now)
            for later in row.succession[serving.rank + 1 :]
        )
        if has_successor and slice_id not in state.stopping:
            version = succession.release_version(state, slice_id, serving)
            state, more = revocation.stop_admitting(state, slice_id, serving, version)
            actions += more
    return state, actions


def _leave(state: OwnershipState) -> Result:
    """Releases all slices and relinquishes all incarnations of the process."""
    state, actions = _release_all(replace(state, ready=False))
    state, more = incarnation.leave(state)
    return state, (*actions, *more)


def _relinquish_old_leases(state: OwnershipState, now: float) -> Result:
    """Relinquishes older incarnations that no known row and no owned slice uses."""
    held = state.held(now)
    if len(held) < 2:
        return state, ()
    used = {serving.incarnation for serving in state.serving.values()}
    for row in state.own_rows:
        used.update(row.succession)
    known = state.members.get(state.node)
    current = known.member.incarnation if known else None
    actions = ()
    for lease in state.leases:
        older = lease.incarnation
        if older in held[:-1] and older not in used and older != current:
            remaining = tuple(entry for entry in state.leases if entry != lease)
            state = replace(state, leases=remaining)
            messages = incarnation.relinquish_messages(lease)
            actions += messages
    return state, actions


def _prune(state: OwnershipState, now: float) -> Result:
    """Discards state of incarnations that no known member or row refers to."""
    if now < state.next_prune_at:
        return state, ()
    referenced = {known.member.incarnation for known in state.members.values()}
    for row in state.rows.values():
        referenced.update(row.succession)
        referenced.update(row.retiring)
    return replace(
        state,
        next_prune_at=now + PRUNE_INTERVAL_S,
        witness=witness.prune(state.witness, now),
        witness_sets=_filter_keys(state.witness_sets, referenced.__contains__),
        proven_expiry=_filter_keys(state.proven_expiry, referenced.__contains__),
        revoke_acks=_filter_keys(state.revoke_acks, lambda key: key[0] in referenced),
    ), ()


def _filter_keys(entries: Map, wanted: Callable) -> Map:
    """Returns the entries whose keys satisfy a predicate."""
    unwanted = [key for key in entries if not wanted(key)]
    for key in unwanted:
        entries = entries.delete(key)
    return entries
