"""Proposes the owner and the successors of each slice with the fewest moves.

Any process may propose: a proposal is a conditional update, so one of two
concurrent proposals fails. To make such races rare, the live members are ranked per
domain, a run of chunks that is planned as a unit.
"""

from __future__ import annotations

from collections.abc import Collection, Container, Iterable, Mapping
from dataclasses import dataclass

from rosemarydeal.core import Chunk, Incarnation, Member, Row, SliceId, WitnessSet
from rosemarydeal.core.keys import chunk_of, rendezvous_order

from .fleet import FleetView, PlacementSettings
from .interface import WriteChunk
from .load_tally import LoadTally
from .rows import next_row, rebuild_chunk

__all__ = [
    "RowChanges",
    "rows_of_ineligible_owners",
    "rank_may_propose",
    "may_propose",
    "plan",
    "propose",
    "ranking",
    "write_rows",
]

# Ranks below this one take over from the first within a few takeover periods; later
# ranks wait for a full rotation of all proposers.
FAST_TAKEOVER_RANKS = 4
# The remaining slices are planned after these are written, which bounds the time of
# a step.
MAX_ASSIGNMENTS_PER_PLAN = 128


@dataclass(frozen=True, slots=True)
class RowChanges:
    """Rows to write and carved slices to remove."""

    rows: tuple[Row, ...] = ()
    dropped: tuple[SliceId, ...] = ()

    def __bool__(self) -> bool:
        """Returns whether there is anything to write."""
        return bool(self.rows or self.dropped)


def propose(view: FleetView, now: float, seed: int) -> tuple[WriteChunk, ...]:
    """Returns the updates that this process may write now, with no move deferred.

    Args:
        view: Known members, chunks and loads of the service.
        now: Current time, in seconds.
        seed: Random seed of the process, which makes change ids unique.

    Returns:
        One conditional update for each chunk that changes.
    """
    writes: list[WriteChunk] = []
    for domain in range(view.domain_count):
        if may_propose(view, domain, now):
            writes += write_rows(view, plan(view, domain), now, seed)
    return tuple(writes)


def write_rows(
    view: FleetView, changes: RowChanges, now: float, seed: int
) -> tuple[WriteChunk, ...]:
    """Returns conditional updates of the chunks of changed rows.

    Args:
        view: Known members, chunks and loads of the service.
        changes: Changed rows and removed slices.
        now: Current time, in seconds.
        seed: Random seed of the process, which makes change ids unique.

    Returns:
        One conditional update for each chunk that changes.
    """
    rows_by_chunk: dict[int, list[Row]] = {}
    for row in changes.rows:
        rows_by_chunk.setdefault(chunk_of(row.slice), []).append(row)
    for slice_id in changes.dropped:
        rows_by_chunk.setdefault(chunk_of(slice_id), [])
    return tuple(
        _write_chunk(view, number, rows_by_chunk[number], changes.dropped, now, seed)
        for number in sorted(rows_by_chunk)
    )


def ranking(view: FleetView, domain: int) -> list[str]:
    """Returns the live nodes by their rank as proposers of a domain.

    Args:
        view: Known members, chunks and loads of the service.
        domain: The domain.
    """
    nodes = [member.node for member in view.live().values()]
    return rendezvous_order(f"{view.service}/{domain}", nodes)


def may_propose(view: FleetView, domain: int, now: float) -> bool:
    """Returns whether this process may write a domain now.

    The first in the domain's ranking always may. The others rotate, so that another
    one takes over if the first is unresponsive but not yet known to be lost.

    Args:
        view: Known members, chunks and loads of the service.
        domain: The domain.
        now: Current time, in seconds.
    """
    ranked = ranking(view, domain)
    if view.self_node not in ranked:
        return False
    rank = ranked.index(view.self_node)
    return rank_may_propose(rank, len(ranked), view.settings, now)


def rank_may_propose(
    rank: int, proposer_count: int, settings: PlacementSettings, now: float
) -> bool:
    """Returns whether the process of a rank may write now.

    Args:
        rank: Rank of the process; 0 is the first.
        proposer_count: Number of ranked processes.
        settings: Parameters, with the length of a takeover period.
        now: Current time, in seconds.
    """
    period = int(now / settings.takeover_s)
    return rank in (0, 1 + period % (FAST_TAKEOVER_RANKS - 1), period % proposer_count)


def rows_of_ineligible_owners(view: FleetView, domain: int) -> tuple[Row, ...]:
    """Returns the rows whose owner is live but may no longer own slices.

    Args:
        view: Known members, chunks and loads of the service.
        domain: The domain.
    """
    live, eligible = view.live(), view.eligible()
    return tuple(
        row
        for row in view.domain_rows(domain)
        if row.owner in live and row.owner not in eligible
    )


def plan(
    view: FleetView, domain: int, deferred: Collection[SliceId] = ()
) -> RowChanges:
    """Computes the rows to change, with the same result in every process.

    Eligible owners keep their slices. A slice whose owner is gone stays with its
    first eligible successor, which takes over without a message.

    Args:
        view: Known members, chunks and loads of the service.
        domain: The domain to plan.
        deferred: Slices of live owners that are not to move yet.

    Returns:
        The changed rows; empty if no change is needed.
    """
    eligible = view.eligible()
    if not eligible:
        return RowChanges()
    rows = tuple(view.domain_rows(domain))
    tally = LoadTally(eligible, sum(view.weight(row.slice) for row in rows))
    retained: list[Row] = []
    to_assign: list[Row] = []
    for row in rows:
        if row.owner in eligible:
            tally.add_row(row, view.weight(row.slice))
            retained.append(row)
        elif row.slice not in deferred:
            to_assign.append(row)
    to_assign.sort(key=lambda row: (-view.weight(row.slice), row.slice))
    live = view.live()
    to_assign = to_assign[:MAX_ASSIGNMENTS_PER_PLAN]
    changed = [_assign(view, tally, row, live) for row in to_assign]
    touched = {chunk_of(row.slice) for row in to_assign}
    for row in retained:
        # A chunk with deferred slices gets its new successors when they move, which
        # saves a write.
        may_change = not deferred or chunk_of(row.slice) in touched
        if may_change and _lacks_successors(view, eligible, row):
            changed.append(_fill_successors(view, tally, row))
    return RowChanges(tuple(changed))


def _assign(
    view: FleetView, tally: LoadTally, row: Row, live: Container[Incarnation]
) -> Row:
    """Assigns a slice without an eligible owner to a member."""
    weight = view.weight(row.slice)
    eligible_names = [name for name in row.succession if name in tally.members]
    if row.owner is not None and row.owner not in live and eligible_names:
        owner = eligible_names[0]
    else:
        owner = tally.least_loaded(row.slice, weight)
    successors = tally.successors(row.slice, owner, weight, view.settings.successors)
    assigned = next_row(row, (owner, *successors))
    tally.add_row(assigned, weight)
    return assigned


def _lacks_successors(
    view: FleetView, eligible: Mapping[Incarnation, Member], row: Row
) -> bool:
    """Returns whether a row with an eligible owner has too few eligible successors."""
    wanted = min(view.settings.successors, len(eligible) - 1)
    eligible_names = [name for name in row.succession[1:] if name in eligible]
    return len(eligible_names) < wanted


def _fill_successors(view: FleetView, tally: LoadTally, row: Row) -> Row:
    """Keeps the owner and the eligible successors and adds the missing ones."""
    weight = view.weight(row.slice)
    retained = [name for name in row.succession if name in tally.members]
    chosen = tally.successors(row.slice, retained[0], weight, len(tally.members))
    names = [*retained, *(name for name in chosen if name not in retained)]
    return next_row(row, tuple(names[: view.settings.successors + 1]))


def _write_chunk(
    view: FleetView,
    number: int,
    rows: Iterable[Row],
    dropped: Container[SliceId],
    now: float,
    seed: int,
) -> WriteChunk:
    """Builds the conditional update of one chunk."""
    known = view.chunks.get(number)
    version = known.version if known else 0
    old = known.chunk if known else Chunk(view.service, number, ())
    change_id = f"{view.self_node}/{number}/{version + 1}/{seed:x}/{now:.6f}"
    holders = [WitnessSet(m.incarnation, m.witnesses) for m in view.members]
    chunk = rebuild_chunk(old, rows, holders, change_id, dropped)
    return WriteChunk(chunk, version, change_id)
