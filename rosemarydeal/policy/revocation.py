"""Hand-over of slices: revocation requests, acknowledgements and releases.

The former owner keeps serving until the new owner requests the revocation, so that
no slice is left without an owner when the new owner is not running.
"""

from __future__ import annotations

from collections import defaultdict
from dataclasses import replace

from rosemarydeal.core import Incarnation, Row, SliceId
from rosemarydeal.core.keys import chunk_of
from rosemarydeal.core.messages import RevokeAck, RevokeReply, RevokeRequest

from .interface import OwnershipLost, Send, StopAdmitting
from .ownership_state import OwnershipState, Result, Serving, Stopping
from .succession import earlier_released, own_rank, unacked

__all__ = [
    "on_idle",
    "on_revoke_reply",
    "on_revoke_request",
    "release",
    "repeat_releases",
    "request_revocations",
    "stop_admitting",
]


def request_revocations(state: OwnershipState, now: float) -> Result:
    """Requests revocations from the incarnations that keep this process from a slice.

    Requests go to retiring incarnations only, once all earlier ones of the
    succession have expired or released the slice.
    """
    if now < state.next_revoke_at:
        return state, ()
    rows_by_target = defaultdict(list)
    for row in state.own_rows:
        if not row.retiring or not _is_next_owner(state, row, now):
            continue
        for incarnation in unacked(state, row, now):
            rows_by_target[incarnation].append(row)
    unacked_since = state.unacked_since
    for incarnation in [
        incarnation
        for incarnation in unacked_since
        if incarnation not in rows_by_target
    ]:
        unacked_since = unacked_since.delete(incarnation)
    for incarnation in rows_by_target:
        if incarnation not in unacked_since:
            unacked_since = unacked_since.set(incarnation, now)
    next_at = now + state.settings.revoke_interval_s
    state = replace(state, next_revoke_at=next_at, unacked_since=unacked_since)
    return state, tuple(
        Send(
            incarnation.node,
            RevokeRequest(incarnation, tuple(rows), _carved_out_of(state, rows)),
        )
        for incarnation, rows in sorted(rows_by_target.items())
    )


def _is_next_owner(state: OwnershipState, row: Row, now: float) -> bool:
    """Returns whether only retiring incarnations keep the process from a slice."""
    rank = own_rank(state, row, now)
    if rank is None or not state.can_own_slices:
        return False
    if row.version < state.released_below.get(row.slice, 0):
        return False
    return earlier_released(state, row, rank, now)


def _carved_out_of(state: OwnershipState, rows: list[Row]) -> tuple[SliceId, ...]:
    """Returns the existing slices that are carved out of the rows' base slices."""
    base_slices = {row.slice for row in rows if row.slice.carved == -1}
    keys = {(base.service, chunk_of(base)) for base in base_slices}
    known = [state.chunks[key] for key in sorted(keys) if key in state.chunks]
    return tuple(
        row.slice
        for entry in known
        for row in entry.chunk.rows
        if row.slice.carved != -1
        and SliceId(row.slice.service, row.slice.index) in base_slices
    )


def on_revoke_request(
    state: OwnershipState, sender: str, request: RevokeRequest
) -> Result:
    """Acknowledges idle slices at once and stops admission to the others.

    Args:
        state: The process.
        sender: Node that waits for the acknowledgement.
        request: The revocation request.
    """
    if not state.is_own(request.target):
        return state, ()
    acks, actions = [], ()
    for row in request.rows:
        state = _record_carved(state, row)
        waiting = False
        for slice_id in _affected_slices(state, row, request.carved):
            serving = _older_serving(state, slice_id, row.version)
            if serving is not None or slice_id in state.stopping:
                state, more = stop_admitting(
                    state, slice_id, serving, row.version, sender
                )
                actions += more
                waiting = True
        if not waiting:
            state = _release_below(state, row.slice, row.version)
            token = state.last_tokens.get(row.slice, -1)
            acks.append(RevokeAck(row.slice, row.version, token))
    if acks:
        reply = RevokeReply(request.target, tuple(acks))
        actions += (Send(sender, reply),)
    return state, actions


def _record_carved(state: OwnershipState, row: Row) -> OwnershipState:
    """Records a carved slice that the known version of its chunk lacks."""
    if row.slice.carved == -1 or row.slice in state.rows:
        return state
    base = state.row(SliceId(row.slice.service, row.slice.index))
    if base is not None and base.version >= row.version:
        return state
    reported = state.reported_carved.set(row.slice, row.version)
    return replace(state, reported_carved=reported)


def _affected_slices(
    state: OwnershipState, row: Row, carved: tuple[SliceId, ...]
) -> list[SliceId]:
    """Returns the row's slice and the served slices merged back into it."""
    if row.slice.carved != -1:
        return [row.slice]
    merged_slices = [
        slice_id
        for slice_id in (*state.serving, *state.stopping)
        if slice_id.carved != -1
        and SliceId(slice_id.service, slice_id.index) == row.slice
        and slice_id not in carved
    ]
    return [row.slice, *dict.fromkeys(merged_slices)]


def _older_serving(
    state: OwnershipState, slice_id: SliceId, version: int
) -> Serving | None:
    """Returns the `Serving` of a slice if its row is older than a version."""
    serving = state.serving.get(slice_id)
    if serving is None and slice_id.carved != -1:
        if state.released_below.get(slice_id, 0) >= version:
            return None
        serving = state.serving.get(SliceId(slice_id.service, slice_id.index))
    if serving is None or serving.version >= version:
        return None
    return serving


def stop_admitting(
    state: OwnershipState,
    slice_id: SliceId,
    serving: Serving | None,
    version: int,
    *requesters: str,
) -> Result:
    """Stops admission to a slice; it is released when the guard reports it idle.

    Args:
        state: The process.
        slice_id: The slice.
        serving: How the slice is served; None if it is stopping already.
        version: Version to acknowledge once the slice is idle.
        requesters: Nodes that wait for the acknowledgement.
    """
    existing = state.stopping.get(slice_id)
    if existing is not None:
        updated = replace(
            existing,
            version=max(existing.version, version),
            requesters=existing.requesters | set(requesters),
        )
        return replace(state, stopping=state.stopping.set(slice_id, updated)), ()
    token = serving.token if serving else state.last_tokens.get(slice_id, -1)
    entry = Stopping(version, token, frozenset(requesters))
    state = replace(state, stopping=state.stopping.set(slice_id, entry))
    return state, (StopAdmitting(slice_id),)


def on_idle(state: OwnershipState, slice_id: SliceId) -> Result:
    """Releases a stopped slice and acknowledges it to all requesters."""
    entry = state.stopping.get(slice_id)
    if entry is None:
        return state, ()
    state = replace(state, stopping=state.stopping.delete(slice_id))
    return release(state, slice_id, entry.version, entry.token, entry.requesters)


def release(
    state: OwnershipState,
    slice_id: SliceId,
    version: int,
    token: int,
    requesters: frozenset[str] = frozenset(),
) -> Result:
    """Releases a slice below a version and sends the acknowledgements.

    Args:
        state: The process.
        slice_id: The slice.
        version: The version to acknowledge.
        token: Fencing token under which the slice was served.
        requesters: Nodes that wait for the acknowledgement.
    """
    actions = ()
    if slice_id in state.serving:
        state = replace(state, serving=state.serving.delete(slice_id))
        actions = (OwnershipLost(slice_id),)
    state = _release_below(state, slice_id, version)
    state = replace(state, last_tokens=state.last_tokens.set(slice_id, token))
    row = state.row(slice_id)
    recipients = set(requesters)
    if row is not None and version > row.version:
        recipients |= {
            incarnation.node
            for incarnation in row.succession
            if not state.is_own(incarnation)
        }
    for incarnation in _own_incarnations(state, row):
        reply = RevokeReply(incarnation, (RevokeAck(slice_id, version, token),))
        actions += tuple(Send(node, reply) for node in sorted(recipients))
    return state, actions


def _own_incarnations(state: OwnershipState, row: Row | None) -> list[Incarnation]:
    """Returns the own incarnations that occur in a row, else the newest one."""
    incarnations = (*row.succession, *row.retiring) if row else ()
    own = [
        incarnation
        for incarnation in dict.fromkeys(incarnations)
        if state.is_own(incarnation)
    ]
    return own or [lease.incarnation for lease in state.leases[-1:]]


def _release_below(
    state: OwnershipState, slice_id: SliceId, version: int
) -> OwnershipState:
    """Records that the slice is never again owned under a row below a version."""
    released = max(version, state.released_below.get(slice_id, 0))
    return replace(state, released_below=state.released_below.set(slice_id, released))


def on_revoke_reply(state: OwnershipState, reply: RevokeReply) -> OwnershipState:
    """Records the slices that another process released."""
    acks = state.revoke_acks
    for ack in reply.acks:
        key = (reply.incarnation, ack.slice)
        known = acks.get(key)
        if known is None or known.version < ack.version:
            acks = acks.set(key, ack)
    unacked_since = state.unacked_since
    if reply.incarnation in unacked_since:
        unacked_since = unacked_since.delete(reply.incarnation)
    return replace(state, revoke_acks=acks, unacked_since=unacked_since)


def repeat_releases(state: OwnershipState, now: float) -> Result:
    """Repeats releases to later incarnations until a newer row is known."""
    if now < state.next_release_at:
        return state, ()
    acks_by_recipient = defaultdict(list)
    for row in state.own_rows:
        slice_id = row.slice
        released = state.released_below.get(slice_id, 0)
        if released <= row.version or slice_id in state.stopping:
            continue
        ack = RevokeAck(slice_id, released, state.last_tokens.get(slice_id, -1))
        for rank, incarnation in enumerate(row.succession):
            if state.is_own(incarnation):
                for later in row.succession[rank + 1 :]:
                    acks_by_recipient[(later.node, incarnation)].append(ack)
    next_at = now + state.settings.release_interval_s
    return replace(state, next_release_at=next_at), tuple(
        Send(node, RevokeReply(incarnation, tuple(acks)))
        for (node, incarnation), acks in sorted(acks_by_recipient.items())
        if node != state.node
    )
