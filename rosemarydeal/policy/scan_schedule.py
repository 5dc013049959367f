"""Schedule of the scans over all own rows.

A scan takes time proportional to the number of rows and is skipped while none of its
inputs has changed. Only gains of ownership and writes wait for a scan. The end of
ownership does not, as the lease is checked for each dispatch.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from immutables import Map

from rosemarydeal.core import Incarnation, Row

if TYPE_CHECKING:
    from .ownership_state import OwnershipState

__all__ = [
    "GainInputs",
    "ScanSchedule",
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
    """Inputs of the scan that gains ownership, except acknowledgements."""

    held: tuple[Incarnation, ...] = ()
    can_own_slices: bool = False
    own_rows: tuple[Row, ...] = ()
    stopping: Map = field(default_factory=Map)
    proven_expiry: Map = field(default_factory=Map)

    def is_same(self, other: GainInputs) -> bool:
        """Returns whether both hold the same state; maps are compared by identity."""
        return (
            self.held == other.held
            and self.can_own_slices == other.can_own_slices
            and self.own_rows is other.own_rows
            and self.stopping is other.stopping
            and self.proven_expiry is other.proven_expiry
        )


@dataclass(frozen=True, slots=True)
class WriteInputs:
    """Inputs of the scan that writes rows, except acknowledgements."""

    held: tuple[Incarnation, ...] = ()
    own_rows: tuple[Row, ...] = ()
    serving: Map = field(default_factory=Map)

    def is_same(self, other: WriteInputs) -> bool:
        """Returns whether both hold the same state; maps are compared by identity."""
        return (
            self.held == other.held
            and self.own_rows is other.own_rows
            and self.serving is other.serving
        )


@dataclass(frozen=True, slots=True)
class ScanSchedule:
    """Inputs of the latest scans and times of the next ones.

    Attributes:
        gain_inputs: Inputs of the latest scan that gains ownership.
        gain_scan_at: When that scan is due with unchanged inputs, in seconds.
        write_inputs: Inputs of the latest scan that writes rows.
        write_scan_at: When that scan is due with unchanged inputs, in seconds.
        write_scan_not_before: Earliest time of the next such scan, in seconds.
    """

    gain_inputs: GainInputs = GainInputs()
    gain_scan_at: float = 0.0
    write_inputs: WriteInputs = WriteInputs()
    write_scan_at: float = 0.0
    write_scan_not_before: float = 0.0


def gain_scan_due(state: OwnershipState, now: float) -> bool:
    """Returns whether the scan that gains ownership is due."""
    return now >= state.scan_schedule.gain_scan_at or not _gain_inputs(
        state, now
    ).is_same(state.scan_schedule.gain_inputs)


def after_gain_scan(state: OwnershipState, now: float) -> ScanSchedule:
    """Returns the schedule after a scan that gains ownership."""
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
    """Returns whether the scan that writes rows is due."""
    schedule = state.scan_schedule
    if now < schedule.write_scan_not_before:
        return False
    return now >= schedule.write_scan_at or not _write_inputs(state, now).is_same(
        schedule.write_inputs
    )


def after_write_scan(state: OwnershipState, now: float) -> ScanSchedule:
    """Returns the schedule after a scan that writes rows."""
    schedule = state.scan_schedule
    return ScanSchedule(
        schedule.gain_inputs,
        schedule.gain_scan_at,
        _write_inputs(state, now),
        now + IDLE_SCAN_INTERVAL_S,
        now + WRITE_SCAN_INTERVAL_S,
    )


def _gain_inputs(state: OwnershipState, now: float) -> GainInputs:
    """Returns the current inputs of the scan that gains ownership."""
    return GainInputs(
        state.held(now),
        state.can_own_slices,
        state.own_rows,
        state.stopping,
        state.proven_expiry,
    )


def _write_inputs(state: OwnershipState, now: float) -> WriteInputs:
    """Returns the current inputs of the scan that writes rows."""
    return WriteInputs(state.held(now), state.own_rows, state.serving)
