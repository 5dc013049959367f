"""Writes to the platform, each by conditional update and never blindly again.

A failed or unknown write is followed by a fresh decision on the newest known
object; the condition keeps two of them from both taking effect.
"""

from __future__ import annotations

from collections import defaultdict
from dataclasses import replace

from rosemarydeal.core import Chunk, Incarnation, Member, MemberPhase, Row, WitnessSet
from rosemarydeal.core.keys import chunk_of

from .incarnation import announced, member_for
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

RECLAIM_S = 2.0


def write_member(state: OwnershipState, now: float) -> Result:
    """Writes the own member object where it lags behind the process."""
    if not _may_write(state, state.node, now):
        return state, ()
    known = state.members.get(state.node)
    for lease in state.leases:
        granted = state.end_of(lease) > now
        if lease.stage != LeaseStage.HELD and granted:
            member = member_for(state, lease.incarnation, lease.witnesses)
            return _member_write(state, known, member, now)
    if not announced(state):
        number = state.last_number + 1
        state = replace(state, last_number=number, past=state.past | {number})
        member = member_for(state, Incarnation(state.node, number), ())
        return _member_write(state, known, member, now)
    phase = state.phase()
    if known.member.phase not in (phase, MemberPhase.LOST):
        member = replace(known.member, phase=phase)
        return _member_write(state, known, member, now)
    return state, ()


def mark_lost(state: OwnershipState, now: float) -> Result:
    """Marks members whose incarnation was proved lapsed."""
    actions = ()
    for name, mark_at in sorted(state.to_mark.items()):
        if now < mark_at:
            continue
        known = state.members.get(name.node)
        current = known is not None and known.member.incarnation == name
        ended = current and known.member.phase in (MemberPhase.LOST, MemberPhase.GONE)
        if not current or ended:
            state = replace(state, to_mark=state.to_mark.delete(name))
        elif _may_write(state, name.node, now):
            member = replace(known.member, phase=MemberPhase.LOST)
            state, more = _member_write(state, known, member, now)
            actions += more
    return state, actions


def _member_write(
    state: OwnershipState, known: KnownMember | None, member: Member, now: float
) -> Result:
    """Writes a member object in place of the known version."""
    expected = known.version if known else 0
    state, change_id = _next_change_id(state)
    member = replace(member, change_id=change_id)
    entry = PendingWrite(member.node, member, expected, now)
    state = replace(state, pending=state.pending.set(change_id, entry))
    return state, (WriteMember(member, expected, change_id),)


def write_chunks(state: OwnershipState, now: float) -> Result:
    """Writes successions after take-overs, own new names, and cleared lists."""
    rows = defaultdict(list)
    for row in state.named:
        wanted = _wanted_row(state, row, now)
        if wanted is not None:
            rows[(row.slice.service, chunk_of(row.slice))].append(wanted)
    actions = ()
    for key, changed in sorted(rows.items()):
        if _may_write(state, key, now):
            state, more = _chunk_write(state, key, changed, now)
            actions += more
    return state, actions


def _chunk_write(
    state: OwnershipState, key: ChunkKey, rows: list[Row], now: float
) -> Result:
    """Writes some rows of a chunk in place of the known version."""
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


def _wanted_row(state: OwnershipState, row: Row, now: float) -> Row | None:
    """Returns the row to write in place of a known one, if any."""
    newest = state.newest_held(now)
    if newest is None:
        return None
    serving = state.serving.get(row.slice)
    if serving is not None and serving.version == row.version:
        if serving.rank > 0:
            later = row.succession[serving.rank + 1 :]
            return _changed(state, row, (newest, *later), now)
        if newest not in row.succession:
            return _renamed(state, row, newest, now)
        return _cleaned(state, row, serving.since, now)
    if _reclaims(state, row, now):
        later = tuple(n for n in row.succession if not state.is_own(n))
        return _changed(state, row, (newest, *later), now)
    held = state.held(now)
    if newest not in row.succession and any(n in held for n in row.succession):
        return _renamed(state, row, newest, now)
    return None


def _renamed(state: OwnershipState, row: Row, newest: Incarnation, now: float) -> Row:
    """Puts the newest incarnation in the place of the older ones."""
    names = (newest if state.is_own(name) else name for name in row.succession)
    return _changed(state, row, tuple(dict.fromkeys(names)), now)


def _changed(
    state: OwnershipState, row: Row, succession: tuple[Incarnation, ...], now: float
) -> Row:
    """Returns the next version of a row with what is proved by now."""
    names = {*row.succession, *row.retiring}
    lapsed = {name for name in names if state.is_out(name, now)}
    cleared = {
        name for name in row.retiring if state.has_cleared(name, row.slice, row.version)
    }
    kept = tuple(name for name in succession if name not in lapsed)
    return next_row(row, kept, lapsed, cleared)


def _cleaned(state: OwnershipState, row: Row, since: float, now: float) -> Row | None:
    """Returns the row without its retiring names once all are out."""
    if not row.retiring or now - since < state.settings.cleanup_s:
        return None
    out = {
        name
        for name in row.retiring
        if state.is_own(name)
        or state.is_out(name, now)
        or state.has_cleared(name, row.slice, row.version)
    }
    return cleaned_row(row, out) if len(out) == len(row.retiring) else None


def _reclaims(state: OwnershipState, row: Row, now: float) -> bool:
    """Returns whether a slice released by its owner found no other in time."""
    if not state.can_own_slices or row.owner not in state.held(now):
        return False
    released = state.floors.get(row.slice, 0) > row.version
    idle = row.slice not in state.stopping
    return released and idle and now - state.ready_at >= RECLAIM_S


def on_member_read(
    state: OwnershipState, version: int, member: Member, now: float
) -> OwnershipState:
    """Takes in a member object, perhaps the outcome of an own write."""
    state = adopt_member(state, version, member, now)
    if member.node != state.node:
        return state
    if member.life != state.boot_id:
        return _drop_overtaken(state)
    held = tuple(
        replace(lease, stage=LeaseStage.HELD)
        if lease.incarnation == member.incarnation
        else lease
        for lease in state.leases
    )
    return replace(state, leases=held)


def _drop_overtaken(state: OwnershipState) -> OwnershipState:
    """Drops sought incarnations whose number an earlier life has used since."""
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
    """Takes in that an own write took effect."""
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
    """Takes in that an own write failed or that its outcome is not known."""
    entry = state.pending.get(change_id)
    if entry is None:
        return state
    state, number = draw(state)
    wait = state.settings.write_retry_s * (0.5 + number)
    return replace(
        state,
        pending=state.pending.delete(change_id),
        not_before=state.not_before.set(entry.object_key, now + wait),
    )


def _may_write(state: OwnershipState, key: str | ChunkKey, now: float) -> bool:
    """Returns whether no write of an object is under way or held back."""
    if now < state.not_before.get(key, 0.0):
        return False
    return all(entry.object_key != key for entry in state.pending.values())


def _next_change_id(state: OwnershipState) -> tuple[OwnershipState, str]:
    """Returns an id that no other write has."""
    number = state.changes + 1
    return replace(state, changes=number), f"{state.boot_id}{number}"
