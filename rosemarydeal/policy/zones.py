"""Rules for taking availability zones out without overloading the others.

The operator's command first calls `judge_zones_out`. Once a zone is out by the
operators' orders, proposers move its slices in batches before the deadline. After
the deadline, processes in the zone stop admitting work on their own.
"""

from __future__ import annotations

import math
from collections.abc import Sequence
from dataclasses import dataclass

from rosemarydeal.core import Row, SliceId

from .fleet import FleetView

__all__ = [
    "ZoneSettings",
    "ZoneVerdict",
    "deferred_slices",
    "judge_zones_out",
    "may_admit_when_out",
]


@dataclass(frozen=True, slots=True)
class ZoneSettings:
    """Parameters for taking availability zones out.

    Attributes:
        deadline_s: Seconds until a zone that was taken out gets no new work.
        moves_s: Seconds over which its slices are moved.
        batch_s: Seconds between two batches of moves.
        max_utilisation: Highest accepted utilisation of the remaining upstreams.
    """

    deadline_s: float = 3.0
    moves_s: float = 2.0
    batch_s: float = 0.5
    max_utilisation: float = 0.85


@dataclass(frozen=True, slots=True)
class ZoneVerdict:
    """Verdict on whether availability zones may be taken out.

    Attributes:
        allowed: Whether the change may be made.
        code: Code of the problem for programs; empty if there is none.
        detail: Description of the problem for operators.
        utilisation_after: Expected utilisation of the remaining upstreams; NaN if
            unknown, infinite if none remains.
    """

    allowed: bool
    code: str
    detail: str
    utilisation_after: float


def judge_zones_out(
    view: FleetView, busy_slots: float | None, forced: bool, settings: ZoneSettings
) -> ZoneVerdict:
    """Checks whether the remaining upstreams can carry the load of the whole service.

    Args:
        view: The service with `out_zones` as they would be after the change.
        busy_slots: Busy slots of the whole service now; None if unknown.
        forced: Whether the operator overrides the limit and an unknown load.
        settings: Parameters, with the accepted utilisation.

    Returns:
        The verdict; without a remaining upstream the change is never allowed.
    """
    slots = sum(member.slots for member in view.eligible().values())
    if not slots:
        detail = f"no upstream of {view.service} would remain"
        return ZoneVerdict(False, "availability_zone_last", detail, math.inf)
    if busy_slots is None:
        detail = f"the load of {view.service} is unknown"
        code = "availability_zone_load_unknown"
        return ZoneVerdict(forced, code, detail, math.nan)
    utilisation = busy_slots / slots
    if utilisation <= settings.max_utilisation:
        return ZoneVerdict(True, "", "", utilisation)
    detail = (
        f"the remaining upstreams of {view.service} would reach a utilisation of "
        f"{utilisation:.0%}, above the accepted {settings.max_utilisation:.0%}"
    )
    return ZoneVerdict(forced, "availability_zone_overload", detail, utilisation)


def deferred_slices(
    rows: Sequence[Row], moves_began_at: float, now: float, settings: ZoneSettings
) -> frozenset[SliceId]:
    """Returns the slices of leaving owners that are not yet due to move.

    The moves are spread evenly over the remaining batches, so that the new owners
    don't receive all slices at once.

    Args:
        rows: Rows whose live owner has to give them up.
        moves_began_at: Time from which the first of them was due, in seconds.
        now: Current time, in seconds.
        settings: Parameters, with the time for all moves and between batches.
    """
    remaining_s = moves_began_at + settings.moves_s - now
    batches = max(1, math.ceil(remaining_s / settings.batch_s))
    due_count = math.ceil(len(rows) / batches)
    return frozenset(row.slice for row in rows[due_count:])


def may_admit_when_out(
    out_since: float | None, now: float, settings: ZoneSettings
) -> bool:
    """Returns whether a process may still admit new work.

    The deadline applies whether its slices have been moved or not.

    Args:
        out_since: Time at which operators took its zone or upstream out, in seconds;
            None if neither is out.
        now: Current time, in seconds.
        settings: Parameters, with the deadline.
    """
    return out_since is None or now < out_since + settings.deadline_s
