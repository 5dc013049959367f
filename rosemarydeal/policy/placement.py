"""Proposes who owns each slice and who follows, with the least movement.

Any process may propose: a proposal is a conditional update, so of two that
race one fails. A ranking of the live members per chunk makes races rare.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import replace

from rosemarydeal.core import Chunk, Holder, Incarnation, Member, Row, SliceId
from rosemarydeal.core.keys import chunk_of, rendezvous_order

from .fleet import FleetView
from .interface import WriteChunk
from .load_tally import LoadTally

__all__ = ["may_propose", "plan", "propose", "write_rows"]

PROMPT_RANKS = 4


def propose(view: FleetView, now: float, seed: int) -> tuple[WriteChunk, ...]:
    """Proposes the chunks that this process is to write now.

    Args:
        view: What the process knows of the service.
        now: Moment on the process's clock, in seconds.
        seed: Random seed of the process; makes change ids unique.

    Returns:
        One conditional update for each chunk that needs a change.
    """
    return write_rows(view, plan(view), now, seed)


def write_rows(
    view: FleetView, changed: Mapping[SliceId, Row], now: float, seed: int
) -> tuple[WriteChunk, ...]:
    """Turns changed rows into updates of the chunks that are this process's turn.

    Args:
        view: What the process knows of the service.
        changed: New rows by slice.
        now: Moment on the process's clock, in seconds.
        seed: Random seed of the process.

    Returns:
        One conditional update for each touched chunk.
    """
    numbers = sorted({chunk_of(slice_id) for slice_id in changed})
    return tuple(
        _write_chunk(view, number, changed, now, seed)
        for number in numbers
        if may_propose(view, number, now)
    )


def may_propose(view: FleetView, number: int, now: float) -> bool:
    """Tells whether it is this process's turn to write a chunk.

    The first in the chunk's ranking always may. The others get turns in time,
    so that another acts when the first is silent but not yet known as lost.

    Args:
        view: What the process knows of the service.
        number: The chunk.
        now: Moment on the process's clock, in seconds.
    """
    nodes = [member.node for member in view.live().values()]
    if view.self_node not in nodes:
        return False
    ranking = rendezvous_order(f"{view.service}/{number}", nodes)
    rank = ranking.index(view.self_node)
    turn = int(now / view.settings.takeover_s)
    return rank in (0, turn % PROMPT_RANKS, turn % len(ranking))


def plan(view: FleetView) -> dict[SliceId, Row]:
    """Works out the rows to change, the same way in every process.

    Owners that may keep their slices do. A slice whose owner is gone stays
    with its first live successor, who takes over without being told.

    Args:
        view: What the process knows of the service.

    Returns:
        The new rows by slice; empty when all is in order.
    """
    eligible = view.eligible()
    if not eligible:
        return {}
    tally = LoadTally(eligible)
    orphans = []
    for row in view.rows():
        if row.owner in eligible:
            tally.add_row(row, view.weight(row.slice))
        else:
            orphans.append(row)
    orphans.sort(key=lambda row: (-view.weight(row.slice), row.slice))
    changed = {}
    for row in orphans:
        changed[row.slice] = _adopt(view, tally, row)
    for row in view.rows():
        if row.owner in eligible and _lacks_successors(view, eligible, row):
            changed[row.slice] = _follow(view, tally, row)
    return changed


def _adopt(view: FleetView, tally: LoadTally, row: Row) -> Row:
    """Gives a slice without an eligible owner to a member."""
    weight = view.weight(row.slice)
    live = view.live()
    following = [name for name in row.succession if name in tally.members]
    if row.owner is not None and row.owner not in live and following:
        owner = following[0]
    else:
        owner = tally.least_loaded(row.slice, weight)
    successors = tally.successors(row.slice, owner, weight, view.settings.successors)
    adopted = next_row(row, (owner, *successors))
    tally.add_row(adopted, weight)
    return adopted


def _lacks_successors(
    view: FleetView, eligible: Mapping[Incarnation, Member], row: Row
) -> bool:
    """Tells whether a row with a good owner needs other successors."""
    wanted = min(view.settings.successors, len(eligible) - 1)
    following = [name for name in row.succession[1:] if name in eligible]
    return len(following) < wanted


def _follow(view: FleetView, tally: LoadTally, row: Row) -> Row:
    """Keeps the owner and the good successors and fills the rest."""
    weight = view.weight(row.slice)
    kept = [name for name in row.succession if name in tally.members]
    fresh = tally.successors(row.slice, kept[0], weight, len(tally.members))
    names = [*kept, *(name for name in fresh if name not in kept)]
    return next_row(row, tuple(names[: view.settings.successors + 1]))


def next_row(row: Row, succession: tuple[Incarnation, ...]) -> Row:
    """Returns the row's next version; every earlier name has yet to clear."""
    names = dict.fromkeys((*row.succession, *row.retiring))
    return Row(row.slice, row.version + 1, succession, tuple(names))


def _write_chunk(
    view: FleetView,
    number: int,
    changed: Mapping[SliceId, Row],
    now: float,
    seed: int,
) -> WriteChunk:
    """Builds the conditional update of one chunk."""
    known = view.chunks.get(number)
    version = known.version if known else 0
    old = known.chunk if known else Chunk(view.service, number, ())
    rows = {row.slice: row for row in view.chunk_rows(number)}
    rows |= {key: row for key, row in changed.items() if chunk_of(key) == number}
    ordered = tuple(rows[key] for key in sorted(rows))
    change_id = f"{view.self_node}/{number}/{version + 1}/{seed:x}/{now:.6f}"
    chunk = replace(
        old, rows=ordered, holders=_holders(view, old, ordered), change_id=change_id
    )
    return WriteChunk(chunk, version, change_id)


def _holders(view: FleetView, old: Chunk, rows: Iterable[Row]) -> tuple[Holder, ...]:
    """Lists the witnesses of each name in the rows."""
    witnesses = {holder.incarnation: holder.witnesses for holder in old.holders}
    witnesses |= {member.incarnation: member.witnesses for member in view.members}
    names = {name for row in rows for name in (*row.succession, *row.retiring)}
    return tuple(
        Holder(name, witnesses[name]) for name in sorted(names) if name in witnesses
    )
