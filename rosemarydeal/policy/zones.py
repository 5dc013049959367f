"""Takes availability zones out and back without overloading the rest.

The operator's command asks `judge_zones_out` first. Once the settings say that
a zone is out, proposers move its slices within the deadline, spread over it,
and processes in the zone stop admitting by themselves after it.
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
    """Tunes how availability zones are taken out.

    Attributes:
        deadline_s: Seconds until a zone that was taken out gets no new work.
        moves_s: Seconds over which its slices are moved.
        batch_s: Seconds between two batches of moves.
        max_utilisation: Utilisation of what is left that is still accepted.
    """

    deadline_s: float = 3.0
    moves_s: float = 2.0
    batch_s: float = 0.5
    max_utilisation: float = 0.85


@dataclass(frozen=True, slots=True)
class ZoneVerdict:
    """Says whether availability zones may be taken out.

    Attributes:
        allowed: Whether the change may be made.
        code: Why not, for operators' programs; empty when nothing is wrong.
        detail: The same in a sentence for people.
        utilisation_after: Expected utilisation of what is left; NaN when unknown.
    """

    allowed: bool
    code: str
    detail: str
    utilisation_after: float


def judge_zones_out(
    view: FleetView, busy_slots: float | None, forced: bool, settings: ZoneSettings
) -> ZoneVerdict:
    """Judges whether what is left bears the load of the whole service.

    Args:
        view: The service with `out_zones` as they are wanted.
        busy_slots: Busy slots of the whole service now; None when unknown.
        forced: Whether the operator insists.
        settings: Tunes what is accepted.

    Returns:
        The verdict; without any upstream left it is never allowed.
    """
    slots = sum(member.slots for member in view.eligible().values())
    if not slots:
        detail = f"no upstream of {view.service} would be left"
        return ZoneVerdict(False, "availability_zone_last", detail, math.inf)
    if busy_slots is None:
        detail = f"the load of {view.service} is not known"
        code = "availability_zone_load_unknown"
        return ZoneVerdict(forced, code, detail, math.nan)
    utilisation = busy_slots / slots
    if utilisation <= settings.max_utilisation:
        return ZoneVerdict(True, "", "", utilisation)
    detail = (
        f"what is left of {view.service} would be busy to {utilisation:.0%}, "
        f"over the accepted {settings.max_utilisation:.0%}"
    )
    return ZoneVerdict(forced, "availability_zone_overload", detail, utilisation)


def deferred_slices(
    rows: Sequence[Row], moves_began_at: float, now: float, settings: ZoneSettings
) -> frozenset[SliceId]:
    """Returns the slices of leaving owners that are not yet due to move.

    The moves are spread evenly over the batches that are left, so that the
    receivers never get all at once.

    Args:
        rows: Rows whose live owner is to give them up.
        moves_began_at: Moment at which the first of them was to move, in seconds.
        now: The present moment, in seconds.
        settings: Tunes the pace.
    """
    remaining_s = moves_began_at + settings.moves_s - now
    batches = max(1, math.ceil(remaining_s / settings.batch_s))
    due_count = math.ceil(len(rows) / batches)
    return frozenset(row.slice for row in rows[due_count:])


def may_admit_when_out(
    out_since: float | None, now: float, settings: ZoneSettings
) -> bool:
    """Tells whether a process may still admit new work, with or without moves.

    Args:
        out_since: Moment at which operators took its place out; None while in.
        now: The present moment, in seconds.
        settings: Tunes the deadline.
    """
    return out_since is None or now < out_since + settings.deadline_s
