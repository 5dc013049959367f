"""Takes in platform objects as they are read, never going back to an older one."""

from __future__ import annotations

from dataclasses import replace

from immutables import Map

from rosemarydeal.core import Chunk, Member, MemberPhase, Row, SliceId

from .interface import OwnershipGained
from .ownership_state import KnownChunk, KnownMember, OwnershipState, Result

__all__ = ["adopt_chunk", "adopt_member"]


def adopt_member(
    state: OwnershipState, version: int, member: Member, now: float
) -> OwnershipState:
    """Takes in a member object unless a newer one is known.

    Args:
        state: The process.
        version: The object's version.
        member: Its content.
        now: Present time, in seconds.
    """
    known = state.members.get(member.node)
    if known is not None and known.version >= version:
        return state
    name = member.incarnation
    if known is None and member.node != state.node:
        state = replace(state, joined_at=now)
    state = replace(
        state, members=state.members.set(member.node, KnownMember(version, member))
    )
    if member.node == state.node:
        state = replace(state, last_number=max(state.last_number, name.number))
    if member.witnesses:
        state = replace(state, holders=state.holders.set(name, member.witnesses))
    ended = member.phase in (MemberPhase.LOST, MemberPhase.GONE)
    if ended and member.witnesses and name not in state.lapsed:
        state = replace(state, lapsed=state.lapsed.set(name, now))
    return state


def adopt_chunk(
    state: OwnershipState, version: int, chunk: Chunk, now: float
) -> Result:
    """Takes in a chunk object unless a newer one is known.

    Args:
        state: The process.
        version: The object's version.
        chunk: Its content.
        now: Present time, in seconds.
    """
    key = (chunk.service, chunk.number)
    known = state.chunks.get(key)
    if known is not None and known.version >= version:
        return state, ()
    before = {row.slice: row for row in known.chunk.rows} if known else {}
    after = {row.slice: row for row in chunk.rows}
    state = replace(
        state,
        chunks=state.chunks.set(key, KnownChunk(version, chunk)),
        holders=_with_holders(state.holders, chunk),
        rows=_with_rows(state.rows, before, after),
        named=_with_named(state, before, after),
        reported_carved=_still_heard(state.reported_carved, after),
        next_clear_at=now,
    )
    actions = ()
    for slice_id in sorted(after.keys() - before.keys()):
        if slice_id.carved != -1:
            state, more = _keep_carved(state, after[slice_id])
            actions += more
    return state, actions


def _with_holders(holders: Map, chunk: Chunk) -> Map:
    """Adds a chunk's witness sets."""
    for holder in chunk.holders:
        if holder.incarnation not in holders:
            holders = holders.set(holder.incarnation, holder.witnesses)
    return holders


def _with_rows(rows: Map, before: dict, after: dict) -> Map:
    """Replaces the rows of one chunk."""
    with rows.mutate() as draft:
        for slice_id in before.keys() - after.keys():
            del draft[slice_id]
        for slice_id, row in after.items():
            if before.get(slice_id) != row:
                draft[slice_id] = row
        return draft.finish()


def _with_named(state: OwnershipState, before: dict, after: dict) -> tuple[Row, ...]:
    """Replaces the rows that name the process."""
    kept = [
        row for row in state.named if row.slice not in before and row.slice not in after
    ]
    named = [
        row
        for row in after.values()
        if any(state.is_own(name) for name in row.succession)
    ]
    return tuple(sorted([*kept, *named], key=lambda row: row.slice))


def _still_heard(heard: Map, after: dict) -> Map:
    """Keeps the carved slices that a chunk is too old to show."""
    for slice_id, version in heard.items():
        base = after.get(SliceId(slice_id.service, slice_id.index))
        if slice_id in after or (base is not None and base.version >= version):
            heard = heard.delete(slice_id)
    return heard


def _keep_carved(state: OwnershipState, row: Row) -> Result:
    """Lets the base slice's owner serve on under a newly carved slice."""
    base = SliceId(row.slice.service, row.slice.index)
    serving = state.serving.get(base)
    cleared = state.floors.get(row.slice, 0) >= row.version
    if serving is None or cleared or serving.version >= row.version:
        return state, ()
    state = replace(
        state,
        serving=state.serving.set(row.slice, serving),
        served=state.served.set(row.slice, serving.token),
    )
    return state, (OwnershipGained(row.slice, serving.token),)
