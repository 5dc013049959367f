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
    "GainInputs",
    "WriteInputs",
    "after_gain_scan",
    "after_write_scan",
    "gain_scan_due",
    "write_scan_due",
]

IDLE_SCAN_INTERVAL_S = 0.5
WRITE_SCAN_INTERVAL_S = 0.1


@dataclass(frozen=True, slots=True)
class GainInputs:
    """Holds what the walk that gains rights read, but for clearances."""

    held: tuple[Incarnation, ...] = ()
    can_own_slices: bool = False
    own_rows: tuple[Row, ...] = ()
    stopping: Map = field(default_factory=Map)
    proven_expiry: Map = field(default_factory=Map)

    def is_same(self, other: GainInputs) -> bool:
        """Returns whether two views hold the very same state."""
        return (
            self.held == other.held
            and self.can_own_slices == other.can_own_slices
            and self.own_rows is other.own_rows
            and self.stopping is other.stopping
            and self.proven_expiry is other.proven_expiry
        )


@dataclass(frozen=True, slots=True)
class WriteInputs:
    """Holds what the walk that writes successions read, but for clearances."""

    held: tuple[Incarnation, ...] = ()
    own_rows: tuple[Row, ...] = ()
    serving: Map = field(default_factory=Map)

    def is_same(self, other: WriteInputs) -> bool:
        """Returns whether two views hold the very same state."""
        return (
            self.held == other.held
            and self.own_rows is other.own_rows
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

    gain_inputs: GainInputs = GainInputs()
    gain_scan_at: float = 0.0
    write_inputs: WriteInputs = WriteInputs()
    write_scan_at: float = 0.0
    write_scan_not_before: float = 0.0


def gain_scan_due(state: OwnershipState, now: float) -> bool:
    """Returns whether the walk that gains rights is due."""
    return now >= state.scan_schedule.gain_scan_at or not _gain_inputs(
        state, now
    ).is_same(state.scan_schedule.gain_inputs)


def after_gain_scan(state: OwnershipState, now: float) -> ScanSchedule:
    """Returns the schedule after a walk that gains rights."""
    schedule = state.scan_schedule
    expiries = (expiry for expiry in state.proven_expiry.values() if expiry > now)
    gain_scan_at = min((now + IDLE_SCAN_INTERVAL_S, *expiries))
    inputs = _gain_inputs(state, now)
    return ScanSchedule(
        inputs,
        gain_scan_at,
        schedule.write_inputs,
        schedule.write_scan_at,
        schedule.write_scan_not_before,
    )


def write_scan_due(state: OwnershipState, now: float) -> bool:
    """Returns whether the walk that writes successions is due."""
    schedule = state.scan_schedule
    if now < schedule.write_scan_not_before:
        return False
    return now >= schedule.write_scan_at or not _write_inputs(state, now).is_same(
        schedule.write_inputs
    )


def after_write_scan(state: OwnershipState, now: float) -> ScanSchedule:
    """Returns the schedule after a walk that writes successions."""
    schedule = state.scan_schedule
    return ScanSchedule(
        schedule.gain_inputs,
        schedule.gain_scan_at,
        _write_inputs(state, now),
        now + IDLE_SCAN_INTERVAL_S,
        now + WRITE_SCAN_INTERVAL_S,
    )


def _gain_inputs(state: OwnershipState, now: float) -> GainInputs:
    """Returns what the walk that gains rights would read now."""
    return GainInputs(
        state.held(now),
        state.can_own_slices,
        state.own_rows,
        state.stopping,
        state.proven_expiry,
    )


def _write_inputs(state: OwnershipState, now: float) -> WriteInputs:
    """Returns what the walk that writes successions would read now."""
    return WriteInputs(state.held(now), state.own_rows, state.serving)
