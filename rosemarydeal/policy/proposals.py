"""Plans the domains that are due and returns the writes."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import replace

from immutables import Map

from rosemarydeal.core import Row, SliceId

from .control_state import ControlState, PendingWrite
from .fleet import FleetView, domain_of_chunk
from .interface import WriteChunk
from .load_tally import LoadTally
from .placement import (
    RowChanges,
    plan,
    rank_may_propose,
    rows_of_ineligible_owners,
    write_rows,
)
from .rebalance import Carve, Merge, Move, RebalanceState, Step, rebalance
from .rows import RowError, carve_row, merge_row, next_row
from .successors import balance_successors
from .zones import deferred_slices

__all__ = ["propose_due"]

ProposeResult = tuple[ControlState, tuple[WriteChunk, ...]]


def propose_due(state: ControlState, now: float) -> ProposeResult:
    """Plans every domain that this process may write and that is due.

    Args:
        state: The process's state.
        now: Current time, in seconds.

    Returns:
        The new state and the writes.
    """
    state = _expire_writes(state, now)
    due = [
        domain for domain in range(len(state.proposers)) if _is_due(state, domain, now)
    ]
    if not due:
        return state, ()
    view = state.view()
    writes: list[WriteChunk] = []
    for domain in due:
        state, domain_writes = _propose(state, view, domain, now)
        writes += domain_writes
    return state, tuple(writes)


def _expire_writes(state: ControlState, now: float) -> ControlState:
    """Discards writes whose answer is overdue; a later read shows their outcome."""
    oldest = now - state.settings.write_timeout_s
    overdue = [key for key, write in state.pending.items() if write.since < oldest]
    pending = state.pending
    for key in overdue:
        pending = pending.delete(key)
    return replace(state, pending=pending) if overdue else state


def _is_due(state: ControlState, domain: int, now: float) -> bool:
    """Returns whether a domain is to be planned now."""
    proposers = state.proposers[domain]
    settings = state.settings
    if proposers.rank is None or not state.zones_out_known:
        return False
    if not rank_may_propose(
        proposers.rank, state.proposer_count, settings.placement, now
    ):
        return False
    writing_domains = (
        domain_of_chunk(write.chunk.number) for write in state.pending.values()
    )
    if domain in writing_domains or _awaits_members(state, domain, now):
        return False
    since = now - state.planned_at.get(domain, float("-inf"))
    if proposers.rank > 0:
        # Later ranks wait for the first one, so that concurrent writes are rare.
        waited = now - state.dirty_since.get(domain, now)
        return waited >= settings.placement.takeover_s
    if state.ineligible_since:
        return since >= settings.zones.batch_s
    return domain in state.dirty_since or since >= settings.plan_interval_s


def _without(domains: Map[int, float], domain: int) -> Map[int, float]:
    return domains.delete(domain) if domain in domains else domains


def _awaits_members(state: ControlState, domain: int, now: float) -> bool:
    """Returns whether the first assignment waits for more members to join."""
    known = any(domain_of_chunk(number) == domain for number in state.chunks)
    if known or state.first_join_at is None:
        return False
    settings = state.settings
    joining = now - state.last_join_at < settings.join_quiet_s
    return joining and now - state.first_join_at < settings.first_assignment_max_s


def _propose(
    state: ControlState, view: FleetView, domain: int, now: float
) -> ProposeResult:
    """Plans one domain: required changes first, balancing only if there are none."""
    rows = rows_of_ineligible_owners(view, domain)
    deferred = _deferred(state, rows, now)
    changes = plan(view, domain, deferred)
    state = replace(
        state,
        dirty_since=_without(state.dirty_since, domain),
        planned_at=state.planned_at.set(domain, now),
    )
    if not changes and not rows and state.proposers[domain].rank == 0:
        state, changes = _balance(state, view, domain, now)
        if not changes:
            state, changes = _balance_successors(state, view, domain, now)
    writes = write_rows(view, changes, now, state.seed)
    pending = state.pending.mutate()
    for write in writes:
        pending[write.change_id] = PendingWrite(write.chunk, now)
    return replace(state, pending=pending.finish()), writes


def _deferred(
    state: ControlState, rows: Sequence[Row], now: float
) -> frozenset[SliceId]:
    """Returns the slices of ineligible owners that wait for a later batch."""
    started_at = min(
        (state.ineligible_since.get(row.owner, now) for row in rows), default=now
    )
    return deferred_slices(rows, started_at, now, state.settings.zones)


def _balance(
    state: ControlState, view: FleetView, domain: int, now: float
) -> tuple[ControlState, RowChanges]:
    """Chooses moves for balance and computes their rows."""
    before = state.rebalance_states.get(domain, RebalanceState())
    settings = state.settings.rebalance
    after, steps = rebalance(view, domain, state.load_estimates, before, settings, now)
    state = replace(state, rebalance_states=state.rebalance_states.set(domain, after))
    return state, _change_rows(view, domain, steps)


def _balance_successors(
    state: ControlState, view: FleetView, domain: int, now: float
) -> tuple[ControlState, RowChanges]:
    """Balances the successors, at most once per `period_s`."""
    settings = state.settings.successors
    since = now - state.successors_checked_at.get(domain, float("-inf"))
    if since < settings.period_s:
        return state, RowChanges()
    state = replace(
        state, successors_checked_at=state.successors_checked_at.set(domain, now)
    )
    return state, balance_successors(view, domain, settings)


def _change_rows(view: FleetView, domain: int, steps: Iterable[Step]) -> RowChanges:
    """Computes the rows of moves, carvings and merges."""
    if not steps:
        return RowChanges()
    rows = {row.slice: row for row in view.domain_rows(domain)}
    total = sum(view.weight(slice_id) for slice_id in rows)
    tally = LoadTally(view.eligible(), total)
    for row in rows.values():
        tally.add_row(row, view.weight(row.slice))
    changed: dict[SliceId, Row] = {}
    dropped: list[SliceId] = []
    for step in steps:
        match step:
            case Move(slice_id, to):
                weight = view.weight(slice_id)
                tally.add_owner(rows[slice_id].owner, -weight)
                count = view.settings.successors
                successors = tally.successors(slice_id, to, weight, count)
                row = next_row(rows[slice_id], (to, *successors))
                tally.add_row(row, weight)
                changed[slice_id] = row
            case Carve(base, digest):
                row = carve_row(rows[base], digest)
                changed[row.slice] = row
            case Merge(carved):
                base = SliceId(carved.service, carved.index)
                try:
                    changed[base] = merge_row(rows[base], rows[carved])
                except RowError:
                    continue
                dropped.append(carved)
    return RowChanges(tuple(changed.values()), tuple(dropped))
