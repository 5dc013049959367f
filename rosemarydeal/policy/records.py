"""Adoption of platform objects; a version that is not newer is ignored."""

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
    """Adopts a member object unless this or a newer version is known.

    Args:
        state: The process.
        version: The object's version.
        member: Its content.
        now: Present time, in seconds.
    """
    known = state.members.get(member.node)
    if known is not None and known.version >= version:
        return state
    incarnation = member.incarnation
    if known is None and member.node != state.node:
        state = replace(state, last_join_at=now)
    state = replace(
        state, members=state.members.set(member.node, KnownMember(version, member))
    )
    if member.node == state.node:
        state = replace(state, last_number=max(state.last_number, incarnation.number))
    if member.witnesses:
        state = replace(
            state, witness_sets=state.witness_sets.set(incarnation, member.witnesses)
        )
    ended = member.phase in (MemberPhase.LOST, MemberPhase.GONE)
    if ended and member.witnesses and incarnation not in state.proven_expiry:
        state = replace(state, proven_expiry=state.proven_expiry.set(incarnation, now))
    return state


def adopt_chunk(
    state: OwnershipState, version: int, chunk: Chunk, now: float
) -> Result:
    """Adopts a chunk object unless this or a newer version is known.

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
        witness_sets=_with_witness_sets(state.witness_sets, chunk),
        rows=_with_rows(state.rows, before, after),
        own_rows=_with_own_rows(state, before, after),
        reported_carved=_keep_unread_carved(state.reported_carved, after),
        next_revoke_at=now,
    )
    actions = ()
    for slice_id in sorted(after.keys() - before.keys()):
        if slice_id.carved != -1:
            state, more = _continue_serving_carved(state, after[slice_id])
            actions += more
    return state, actions


def _with_witness_sets(witness_sets: Map, chunk: Chunk) -> Map:
    """Adds the witness sets of a chunk."""
    for holder in chunk.holders:
        if holder.incarnation not in witness_sets:
            witness_sets = witness_sets.set(holder.incarnation, holder.witnesses)
    return witness_sets


def _with_rows(rows: Map, before: dict, after: dict) -> Map:
    """Replaces the rows of one chunk."""
    with rows.mutate() as draft:
        for slice_id in before.keys() - after.keys():
            del draft[slice_id]
        for slice_id, row in after.items():
            if before.get(slice_id) != row:
                draft[slice_id] = row
        return draft.finish()


def _with_own_rows(state: OwnershipState, before: dict, after: dict) -> tuple[Row, ...]:
    """Replaces the rows with an own incarnation in their succession."""
    kept = [
        row
        for row in state.own_rows
        if row.slice not in before and row.slice not in after
    ]
    own_rows = [
        row
        for row in after.values()
        if any(state.is_own(incarnation) for incarnation in row.succession)
    ]
    return tuple(sorted([*kept, *own_rows], key=lambda row: row.slice))


def _keep_unread_carved(reported: Map, after: dict) -> Map:
    """Keeps the reported carved slices that are newer than a chunk."""
    for slice_id, version in reported.items():
        base = after.get(SliceId(slice_id.service, slice_id.index))
        if slice_id in after or (base is not None and base.version >= version):
            reported = reported.delete(slice_id)
    return reported


def _continue_serving_carved(state: OwnershipState, row: Row) -> Result:
    """Lets the base slice's owner keep serving a key that was carved out of it."""
    base = SliceId(row.slice.service, row.slice.index)
    serving = state.serving.get(base)
    released = state.released_below.get(row.slice, 0) >= row.version
    if serving is None or released or serving.version >= row.version:
        return state, ()
    state = replace(
        state,
        serving=state.serving.set(row.slice, serving),
        last_tokens=state.last_tokens.set(row.slice, serving.token),
    )
    return state, (OwnershipGained(row.slice, serving.token),)
