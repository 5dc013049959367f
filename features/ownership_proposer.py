"""Proposer of the ownership simulation: repairs, moves, carves and merges rows.

It replaces the placement policy. Any node may propose at any time, so that races and
proposals from stale objects occur.
"""

from __future__ import annotations

from features.ownership_constants import KEYS, SERVICE, SLICES
from rosemarydeal.core import Chunk, Incarnation, Row, SliceId, WitnessSet
from rosemarydeal.policy import interface as api
from rosemarydeal.policy import ownership, rows

__all__ = ["carve", "merge", "move", "propose", "up_members"]


def propose(world, name: str) -> None:
    """Lets a node repair rows that lack an owner or successors that are up."""
    node = world.nodes[name]
    if not node.alive or world.now < node.paused_until:
        return
    up = up_members(node)
    if not up:
        return
    chunk = _chunk(node)
    repaired = (_repair(world, row, up) for row in _with_base(chunk))
    changed = [row for row in repaired if row is not None]
    if changed:
        _write_rows(world, node, chunk, changed)


def move(world, name: str, slice_id: SliceId, shift: int) -> None:
    """Lets a node propose another owner of a slice, selected by `shift`."""
    node = world.nodes[name]
    up = up_members(node) if node.alive else []
    row = node.state.row(slice_id) if node.alive else None
    if row is None or not up:
        return
    wanted = min(len(up), 1 + world.settings.successors)
    order = up[shift % len(up) :] + up[: shift % len(up)]
    changed = rows.next_row(row, tuple(order[:wanted]))
    _write_rows(world, node, _chunk(node), [changed])


def carve(world, name: str) -> None:
    """Lets a node propose to carve the first key out of its base slice."""
    node = world.nodes[name]
    base = node.state.row(SliceId(SERVICE, KEYS[0] % SLICES)) if node.alive else None
    if base is None or SliceId(SERVICE, base.slice.index, KEYS[0]) in node.state.rows:
        return
    _write_rows(world, node, _chunk(node), [rows.carve_row(base, KEYS[0])])


def merge(world, name: str) -> None:
    """Lets a node propose to merge the first key back, or to move it for a merge."""
    node = world.nodes[name]
    if not node.alive:
        return
    index = KEYS[0] % SLICES
    base = node.state.row(SliceId(SERVICE, index))
    carved = node.state.row(SliceId(SERVICE, index, KEYS[0]))
    if base is None or carved is None:
        return
    try:
        merged = rows.merge_row(base, carved)
    except rows.RowError:
        if carved.owner != base.owner:
            moved = rows.next_row(carved, base.succession)
            _write_rows(world, node, _chunk(node), [moved])
        return
    _write_rows(world, node, _chunk(node), [merged], (carved.slice,))


def up_members(node) -> list[Incarnation]:
    """Returns the incarnations that may own slices, from a node's member objects."""
    members = ownership.known_members(node.state)
    return sorted(m.incarnation for m in members if m.witnesses and m.phase == "up")


def _holders(node) -> list[WitnessSet]:
    """Returns the witness sets from a node's member objects."""
    members = ownership.known_members(node.state)
    return [WitnessSet(m.incarnation, m.witnesses) for m in members if m.witnesses]


def _chunk(node) -> Chunk:
    known = node.state.chunks.get((SERVICE, 0))
    return known.chunk if known else Chunk(SERVICE, 0, ())


def _with_base(chunk: Chunk) -> list[Row]:
    """Returns a chunk's rows, with version 0 for base slices without a row."""
    present = {row.slice: row for row in chunk.rows}
    for index in range(SLICES):
        slice_id = SliceId(SERVICE, index)
        present.setdefault(slice_id, Row(slice_id, 0, ()))
    return [present[slice_id] for slice_id in sorted(present)]


def _repair(world, row: Row, up: list[Incarnation]) -> Row | None:
    """Returns a row with only incarnations that are up; None if it needs no repair."""
    wanted = min(len(up), 1 + world.settings.successors)
    kept = [name for name in row.succession if name in up]
    if len(kept) >= wanted and row.owner in up:
        return None
    others = [name for name in up if name not in kept]
    others = others[row.slice.index :] + others[: row.slice.index]
    return rows.next_row(row, tuple([*kept, *others][:wanted]))


def _write_rows(world, node, chunk: Chunk, changed, dropped=()) -> None:
    """Writes rows by conditional update, as the placement policy does."""
    change_id = f"{node.name}-proposal-{world.random.getrandbits(48):x}"
    rebuilt = rows.rebuild_chunk(chunk, changed, _holders(node), change_id, dropped)
    known = node.state.chunks.get((chunk.service, chunk.number))
    expected = known.version if known else 0
    world.carry_out(node, api.WriteChunk(rebuilt, expected, change_id))
