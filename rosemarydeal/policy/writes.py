"""Conditional updates of platform objects.

A write that failed or whose outcome is unknown is not repeated. The policy decides
again on the newest known object, and the condition prevents both writes from taking
effect.
"""

from __future__ import annotations

from collections import defaultdict
from dataclasses import replace

from rosemarydeal.core import Chunk, Incarnation, Member, MemberPhase, Row, WitnessSet
from rosemarydeal.core.keys import chunk_of

from .incarnation import build_member, is_announced
from .interface import WriteChunk, WriteMember
from .lease import LeaseStage
from .ownership_state import (
    ChunkKey,
    KnownMember,
    OwnershipState,
    PendingWrite,
    Result,
    draw,
)
from .records import adopt_chunk, adopt_member
from .rows import cleaned_row, next_row, rebuild_chunk

__all__ = [
    "mark_lost",
    "on_failure",
    "on_member_read",
    "on_success",
    "write_chunks",
    "write_member",
]

RECLAIM_DELAY_S = 2.0


def write_member(state: OwnershipState, now: float) -> Result:
    """Writes the own member object if it is out of date."""
    if not _may_write(state, state.node, now):
        return state, ()
    known = state.members.get(state.node)
    for lease in state.leases:
        granted = state.expiry_of(lease) > now
        if lease.stage != LeaseStage.HELD and granted:
            member = build_member(state, lease.incarnation, lease.witnesses)
            return _member_write(state, known, member, now)
    if not is_announced(state):
        number = state.last_number + 1
        state = replace(
            state, last_number=number, own_numbers=state.own_numbers | {number}
        )
        member = build_member(state, Incarnation(state.node, number), ())
        return _member_write(state, known, member, now)
    phase = state.phase()
    if known.member.phase not in (phase, MemberPhase.LOST):
        member = replace(known.member, phase=phase)
        return _member_write(state, known, member, now)
    return state, ()


def mark_lost(state: OwnershipState, now: float) -> Result:
    """Marks members as lost whose incarnation has provably expired."""
    actions = ()
    for incarnation, mark_at in sorted(state.mark_lost_at.items()):
        if now < mark_at:
            continue
        known = state.members.get(incarnation.node)
        current = known is not None and known.member.incarnation == incarnation
        ended = current and known.member.phase in (MemberPhase.LOST, MemberPhase.GONE)
        if not current or ended:
            state = replace(state, mark_lost_at=state.mark_lost_at.delete(incarnation))
        elif _may_write(state, incarnation.node, now):
            member = replace(known.member, phase=MemberPhase.LOST)
            state, more = _member_write(state, known, member, now)
            actions += more
    return state, actions


def _member_write(
    state: OwnershipState, known: KnownMember | None, member: Member, now: float
) -> Result:
    """Creates the write that replaces the known version of a member object."""
    expected = known.version if known else 0
    state, change_id = _next_change_id(state)
    member = replace(member, change_id=change_id)
    entry = PendingWrite(member.node, member, expected, now)
    state = replace(state, pending=state.pending.set(change_id, entry))
    return state, (WriteMember(member, expected, change_id),)


def write_chunks(state: OwnershipState, now: float) -> Result:
    """Writes own rows that changed by take-over, new incarnation or revocation."""
    rows = defaultdict(list)
    for row in state.own_rows:
        updated = _updated_row(state, row, now)
        if updated is not None:
            rows[(row.slice.service, chunk_of(row.slice))].append(updated)
    actions = ()
    for key, changed in sorted(rows.items()):
        if _may_write(state, key, now):
            state, more = _chunk_write(state, key, changed, now)
            actions += more
    return state, actions


def _chunk_write(
    state: OwnershipState, key: ChunkKey, rows: list[Row], now: float
) -> Result:
    """Creates the write that replaces some rows of the known version of a chunk."""
    known = state.chunks[key]
    state, change_id = _next_change_id(state)
    own = [
        WitnessSet(lease.incarnation, lease.witnesses)
        for lease in state.leases
        if lease.stage == LeaseStage.HELD
    ]
    chunk = rebuild_chunk(known.chunk, rows, own, change_id)
    entry = PendingWrite(key, chunk, known.version, now)
    state = replace(state, pending=state.pending.set(change_id, entry))
    return state, (WriteChunk(chunk, known.version, change_id),)


def _updated_row(state: OwnershipState, row: Row, now: float) -> Row | None:
    """Returns the row that should replace a known one, if any."""
    newest = state.newest_held(now)
    if newest is None:
        return None
    serving = state.serving.get(row.slice)
    if serving is not None and serving.version == row.version:
        if serving.rank > 0:
            later = row.succession[serving.rank + 1 :]
            return _next_version(state, row, (newest, *later), now)
        if newest not in row.succession:
            return _with_newest_incarnation(state, row, newest, now)
        return _without_retiring(state, row, serving.since, now)
    if _may_reclaim(state, row, now):
        later = tuple(
            incarnation
            for incarnation in row.succession
            if not state.is_own(incarnation)
        )
        return _next_version(state, row, (newest, *later), now)
    held = state.held(now)
    if newest not in row.succession and any(
        incarnation in held for incarnation in row.succession
    ):
        return _with_newest_incarnation(state, row, newest, now)
    return None


def _with_newest_incarnation(
    state: OwnershipState, row: Row, newest: Incarnation, now: float
) -> Row:
    """Returns a row's next version with the newest own incarnation for older ones."""
    incarnations = (
        newest if state.is_own(incarnation) else incarnation
        for incarnation in row.succession
    )
    return _next_version(state, row, tuple(dict.fromkeys(incarnations)), now)


def _next_version(
    state: OwnershipState, row: Row, succession: tuple[Incarnation, ...], now: float
) -> Row:
    """Returns a row's next version without expired and acknowledged incarnations."""
    incarnations = {*row.succession, *row.retiring}
    expired = {
        incarnation
        for incarnation in incarnations
        if state.has_expired(incarnation, now)
    }
    acked = {
        incarnation
        for incarnation in row.retiring
        if state.has_acked(incarnation, row.slice, row.version)
    }
    kept = tuple(
        incarnation for incarnation in succession if incarnation not in expired
    )
    return next_row(row, kept, expired, acked)


def _without_retiring(
    state: OwnershipState, row: Row, since: float, now: float
) -> Row | None:
    """Returns the row without retiring incarnations once all released the slice."""
    if not row.retiring or now - since < state.settings.cleanup_s:
        return None
    released = {
        incarnation
        for incarnation in row.retiring
        if state.is_own(incarnation)
        or state.has_expired(incarnation, now)
        or state.has_acked(incarnation, row.slice, row.version)
    }
    return cleaned_row(row, released) if len(released) == len(row.retiring) else None


def _may_reclaim(state: OwnershipState, row: Row, now: float) -> bool:
    """Returns whether the former owner may take a released slice back.

    It may if no other process has taken the slice over within `RECLAIM_DELAY_S`.
    """
    if not state.can_own_slices or row.owner not in state.held(now):
        return False
    released = state.released_below.get(row.slice, 0) > row.version
    idle = row.slice not in state.stopping
    return released and idle and now - state.ready_at >= RECLAIM_DELAY_S


def on_member_read(
    state: OwnershipState, version: int, member: Member, now: float
) -> OwnershipState:
    """Adopts a member object, which may be the outcome of an own write."""
    state = adopt_member(state, version, member, now)
    if member.node != state.node:
        return state
    if member.life != state.boot_id:
        return _drop_superseded(state)
    held = tuple(
        replace(lease, stage=LeaseStage.HELD)
        if lease.incarnation == member.incarnation
        else lease
        for lease in state.leases
    )
    return replace(state, leases=held)


def _drop_superseded(state: OwnershipState) -> OwnershipState:
    """Drops requested incarnations with a number that an earlier run has used."""
    known = state.members.get(state.node)
    kept = tuple(
        lease
        for lease in state.leases
        if lease.stage == LeaseStage.HELD
        or lease.incarnation.number > known.member.incarnation.number
    )
    return replace(state, leases=kept)


def on_success(
    state: OwnershipState, change_id: str, version: int, now: float
) -> Result:
    """Adopts the content of an own write that took effect."""
    entry = state.pending.get(change_id)
    if entry is None:
        return state, ()
    state = replace(state, pending=state.pending.delete(change_id))
    match entry.value:
        case Member() as member:
            return on_member_read(state, version, member, now), ()
        case Chunk() as chunk:
            return adopt_chunk(state, version, chunk, now)


def on_failure(state: OwnershipState, change_id: str, now: float) -> OwnershipState:
    """Schedules the next write after one that failed or has an unknown outcome."""
    entry = state.pending.get(change_id)
    if entry is None:
        return state
    state, number = draw(state)
    delay = state.settings.write_retry_s * (0.5 + number)
    return replace(
        state,
        pending=state.pending.delete(change_id),
        next_write_at=state.next_write_at.set(entry.object_key, now + delay),
    )


def _may_write(state: OwnershipState, key: str | ChunkKey, now: float) -> bool:
    """Returns whether no write of an object is pending or delayed."""
    if now < state.next_write_at.get(key, 0.0):
        return False
    return all(entry.object_key != key for entry in state.pending.values())


def _next_change_id(state: OwnershipState) -> tuple[OwnershipState, str]:
    """Returns a unique id for a write."""
    number = state.change_count + 1
    return replace(state, change_count=number), f"{state.boot_id}{number}"
