"""Proposes who owns each slice and who follows, with the least movement.

Any process may propose: a proposal is a conditional update, so of two that
race one fails. A ranking of the live members per domain, a run of chunks that
is planned together, makes races rare.
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

FAST_TAKEOVER_RANKS = 4
MAX_ASSIGNMENTS_PER_PLAN = 128


@dataclass(frozen=True, slots=True)
class RowChanges:
    """Gathers the rows to write and the carved slices to drop with them."""

    rows: tuple[Row, ...] = ()
    dropped: tuple[SliceId, ...] = ()

    def __bool__(self) -> bool:
        """Tells whether there is anything to write."""
        return bool(self.rows or self.dropped)


def propose(view: FleetView, now: float, seed: int) -> tuple[WriteChunk, ...]:
    """Proposes the chunks that this process is to write now, moves at once.

    Args:
        view: What the process knows of the service.
        now: Moment on the process's clock, in seconds.
        seed: Random seed of the process; makes change ids unique.

    Returns:
        One conditional update for each chunk that needs a change.
    """
    writes: list[WriteChunk] = []
    for domain in range(view.domain_count):
        if may_propose(view, domain, now):
            writes += write_rows(view, plan(view, domain), now, seed)
    return tuple(writes)


def write_rows(
    view: FleetView, changes: RowChanges, now: float, seed: int
) -> tuple[WriteChunk, ...]:
    """Turns changed rows into conditional updates of their chunks.

    Args:
        view: What the process knows of the service.
        changes: New rows and dropped slices.
        now: Moment on the process's clock, in seconds.
        seed: Random seed of the process.

    Returns:
        One conditional update for each touched chunk.
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
    """Returns the live nodes in the order in which they propose a domain.

    Args:
        view: What the process knows of the service.
        domain: The domain.
    """
    nodes = [member.node for member in view.live().values()]
    return rendezvous_order(f"{view.service}/{domain}", nodes)


def may_propose(view: FleetView, domain: int, now: float) -> bool:
    """Tells whether it is this process's turn to write a domain.

    The first in the domain's ranking always may. The others get turns in time,
    so that another acts when the first is silent but not yet known as lost.

    Args:
        view: What the process knows of the service.
        domain: The domain.
        now: Moment on the process's clock, in seconds.
    """
    ranked = ranking(view, domain)
    if view.self_node not in ranked:
        return False
    rank = ranked.index(view.self_node)
    return rank_may_propose(rank, len(ranked), view.settings, now)


def rank_may_propose(
    rank: int, proposer_count: int, settings: PlacementSettings, now: float
) -> bool:
    """Tells whether a rank may write at a moment.

    Args:
        rank: Rank of the process.
        proposer_count: How many processes are ranked.
        settings: Tunes how long a turn is.
        now: Moment on the process's clock, in seconds.
    """
    period = int(now / settings.takeover_s)
    return rank in (0, 1 + period % (FAST_TAKEOVER_RANKS - 1), period % proposer_count)


def rows_of_ineligible_owners(view: FleetView, domain: int) -> tuple[Row, ...]:
    """Returns the rows whose live owner may keep no slices.

    Args:
        view: What the process knows of the service.
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
    """Works out the rows to change, the same way in every process.

    Owners that may keep their slices do. A slice whose owner is gone stays
    with its first live successor, who takes over without being told.

    Args:
        view: What the process knows of the service.
        domain: The domain to plan.
        deferred: Slices of live owners that are to move later.

    Returns:
        The new rows; empty when all is in order.
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
    # The rest is planned once these are written, so that no step takes long.
    to_assign = to_assign[:MAX_ASSIGNMENTS_PER_PLAN]
    changed = [_assign(view, tally, row, live) for row in to_assign]
    touched = {chunk_of(row.slice) for row in to_assign}
    for row in retained:
        # A chunk that moves later gets its new successors in the same write.
        may_change = not deferred or chunk_of(row.slice) in touched
        if may_change and _lacks_successors(view, eligible, row):
            changed.append(_fill_successors(view, tally, row))
    return RowChanges(tuple(changed))


def _assign(
    view: FleetView, tally: LoadTally, row: Row, live: Container[Incarnation]
) -> Row:
    """Gives a slice without an eligible owner to a member."""
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
    """Tells whether a row with a good owner needs other successors."""
    wanted = min(view.settings.successors, len(eligible) - 1)
    eligible_names = [name for name in row.succession[1:] if name in eligible]
    return len(eligible_names) < wanted


def _fill_successors(view: FleetView, tally: LoadTally, row: Row) -> Row:
    """Keeps the owner and the good successors and fills the rest."""
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
