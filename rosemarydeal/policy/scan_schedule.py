"""Decides when the walks over all known rows are due.

A walk costs time for each row, so that it is left out while nothing that it
reads has changed. Only gains of rights and writes wait for a walk; the end of
a right never does, since each dispatch looks at the lease itself.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from immutables import Map

from rosemarydeal.core import Incarnation, Row

if TYPE_CHECKING:
    from .ownership_state import OwnershipState

__all__ = [
    "ScanSchedule",
    "SettleView",
    "WriteView",
    "after_settle",
    "after_write",
    "settle_due",
    "write_due",
]

IDLE_WALK_S = 0.5
WRITE_WALK_S = 0.1


@dataclass(frozen=True, slots=True)
class SettleView:
    """Holds what the walk that gains rights read, but for clearances."""

    held: tuple[Incarnation, ...] = ()
    can_own_slices: bool = False
    named: tuple[Row, ...] = ()
    stopping: Map = field(default_factory=Map)
    lapsed: Map = field(default_factory=Map)

    def same(self, other: SettleView) -> bool:
        """Returns whether two views hold the very same state."""
        return (
            self.held == other.held
            and self.can_own_slices == other.can_own_slices
            and self.named is other.named
            and self.stopping is other.stopping
            and self.lapsed is other.lapsed
        )


@dataclass(frozen=True, slots=True)
class WriteView:
    """Holds what the walk that writes successions read, but for clearances."""

    held: tuple[Incarnation, ...] = ()
    named: tuple[Row, ...] = ()
    serving: Map = field(default_factory=Map)

    def same(self, other: WriteView) -> bool:
        """Returns whether two views hold the very same state."""
        return (
            self.held == other.held
            and self.named is other.named
            and self.serving is other.serving
        )


@dataclass(frozen=True, slots=True)
class ScanSchedule:
    """Remembers the latest walks.

    Attributes:
        settled: What the latest walk that gains rights read.
        settle_at: When that walk is due although nothing changed, in seconds.
        written: What the latest walk that writes successions read.
        write_at: When that walk is due although nothing changed, in seconds.
        write_after: Before when it isn't due in any case, in seconds.
    """

    settled: SettleView = SettleView()
    settle_at: float = 0.0
    written: WriteView = WriteView()
    write_at: float = 0.0
    write_after: float = 0.0


def settle_due(state: OwnershipState, now: float) -> bool:
    """Returns whether the walk that gains rights is due."""
    return now >= state.scan_schedule.settle_at or not _settle_view(state, now).same(
        state.scan_schedule.settled
    )


def after_settle(state: OwnershipState, now: float) -> ScanSchedule:
    """Returns the schedule after a walk that gains rights."""
    schedule = state.scan_schedule
    lapses = (moment for moment in state.lapsed.values() if moment > now)
    settle_at = min((now + IDLE_WALK_S, *lapses))
    view = _settle_view(state, now)
    return ScanSchedule(
        view,
        settle_at,
        schedule.written,
        schedule.write_at,
        schedule.write_after,
    )


def write_due(state: OwnershipState, now: float) -> bool:
    """Returns whether the walk that writes successions is due."""
    schedule = state.scan_schedule
    if now < schedule.write_after:
        return False
    return now >= schedule.write_at or not _write_view(state, now).same(
        schedule.written
    )


def after_write(state: OwnershipState, now: float) -> ScanSchedule:
    """Returns the schedule after a walk that writes successions."""
    schedule = state.scan_schedule
    return ScanSchedule(
        schedule.settled,
        schedule.settle_at,
        _write_view(state, now),
        now + IDLE_WALK_S,
        now + WRITE_WALK_S,
    )


def _settle_view(state: OwnershipState, now: float) -> SettleView:
    """Returns what the walk that gains rights would read now."""
    return SettleView(
        state.held(now), state.can_own_slices, state.named, state.stopping, state.lapsed
    )


def _write_view(state: OwnershipState, now: float) -> WriteView:
    """Returns what the walk that writes successions would read now."""
    return WriteView(state.held(now), state.named, state.serving)
