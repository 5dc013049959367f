"""Chooses the new owners of released ranges anew at each write.

The write of a hand-over is tried until it succeeds, which may be seconds after the new
owners were chosen. One that has become unreachable meanwhile would get keys that
nobody serves until its lease has expired.
"""

from __future__ import annotations

from collections.abc import Sequence

from rosemarydeal.core.fleet import KeyRange, Member, RangeTable

from . import table as tables

__all__ = ["Part", "current_targets"]

# Released keys, their new owner, and the hand-over data of the former one, or "".
Part = tuple[KeyRange, Member, str]


def current_targets(
    table: RangeTable, parts: Sequence[Part], eligible: Sequence[Member]
) -> list[Part]:
    """Returns released ranges with owners that are eligible now.

    Args:
        table: The table.
        parts: The ranges with the owners that were chosen for them.
        eligible: Members that could own them now. If there are none, the chosen
            owners stay.
    """
    members = {member.node: member for member in eligible}
    kept = [
        (keys, members[owner.node], handover)
        for keys, owner, handover in parts
        if owner.node in members
    ]
    lost = [keys for keys, owner, _ in parts if owner.node not in members]
    if not lost or not eligible:
        return list(parts) if lost else kept
    replaced = tables.assign_evenly(table, lost, eligible)
    return kept + [(keys, owner, "") for keys, owner in replaced]
