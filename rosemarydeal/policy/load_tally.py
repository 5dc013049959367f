"""Load that each member owns and would inherit.

When a member is lost, its slices pass to their first successors. The distribution
of successors therefore determines the balance after the loss.
"""

from __future__ import annotations

from collections.abc import Collection, Mapping

from rosemarydeal.core import Incarnation, Member, Row, SliceId
from rosemarydeal.core.keys import key_hash

__all__ = ["LoadTally"]


# Added cost of a successor in an availability zone that the row already uses, as a
# share of the mean load per slot.
SAME_ZONE_PENALTY = 0.3
TIE_FACTOR = 0x9E3779B97F4A7C15
TIE_MASK = (1 << 64) - 1


class LoadTally:
    """Load per member while a plan is computed."""

    def __init__(
        self, members: Mapping[Incarnation, Member], total: float = 0.0
    ) -> None:
        """Creates an empty tally.

        Args:
            members: The members that may receive slices.
            total: Total load of all slices, in busy slots.
        """
        slots = sum(member.slots for member in members.values())
        self._same_zone_penalty = SAME_ZONE_PENALTY * total / slots if slots else 0.0
        self._hashes = {name: key_hash(name.node) for name in members}
        self._members = members
        self._owned = dict.fromkeys(members, 0.0)
        self._inherited: dict[tuple[Incarnation, Incarnation], float] = {}

    @property
    def members(self) -> Mapping[Incarnation, Member]:
        """Returns the members that may receive slices."""
        return self._members

    def share(self, name: Incarnation, extra: float = 0.0) -> float:
        """Returns a member's load per slot, with the extra load included."""
        return (self._owned[name] + extra) / self._members[name].slots

    def mean_share(self) -> float:
        """Returns the load per slot over all members."""
        slots = sum(member.slots for member in self._members.values())
        return sum(self._owned.values()) / slots if slots else 0.0

    def add_owner(self, name: Incarnation, weight: float) -> None:
        """Adds the load of an owned slice; a negative weight subtracts it."""
        if name in self._owned:
            self._owned[name] += weight

    def add_row(self, row: Row, weight: float) -> None:
        """Adds a row's load to its owner and its first successor."""
        if row.succession:
            self.add_owner(row.succession[0], weight)
        if len(row.succession) > 1:
            pair = (row.succession[0], row.succession[1])
            self._inherited[pair] = self._inherited.get(pair, 0.0) + weight

    def remove_row(self, row: Row, weight: float) -> None:
        """Reverts `add_row`."""
        self.add_row(row, -weight)

    def share_after_loss(self, owner: Incarnation, name: Incarnation) -> float:
        """Returns a member's load per slot if the given owner were lost."""
        return self.share(name, self._inherited.get((owner, name), 0.0))

    def mean_share_after_loss(self, name: Incarnation) -> float:
        """Returns the mean load per slot if the given member were lost."""
        slots = sum(member.slots for member in self._members.values())
        return sum(self._owned.values()) / (slots - self._members[name].slots)

    def least_loaded(
        self,
        slice_id: SliceId,
        weight: float,
        candidates: Collection[Incarnation] | None = None,
    ) -> Incarnation | None:
        """Returns the member with the lowest load per slot once the slice is added."""
        names = self._owned if candidates is None else candidates
        slice_hash = _slice_hash(slice_id)
        return min(
            names,
            key=lambda name: (
                self.share(name, weight),
                self._tie_break(slice_hash, name),
            ),
            default=None,
        )

    def successors(
        self, slice_id: SliceId, owner: Incarnation, weight: float, count: int
    ) -> tuple[Incarnation, ...]:
        """Chooses successors in other availability zones, spread evenly per owner.

        A zone is used twice only if members of the other zones would inherit far
        more load. The last successor is always from a zone that is used least.

        Args:
            slice_id: The slice.
            owner: Its owner.
            weight: Its load.
            count: Number of successors.

        Returns:
            The successors, best first; fewer than `count` if there are too few members.
        """
        used_zones = [self._zone(owner)] if owner in self._members else []
        remaining = [name for name in self._members if name != owner]
        slice_hash = _slice_hash(slice_id)
        chosen: list[Incarnation] = []
        while remaining and len(chosen) < count:
            is_last = len(chosen) == count - 1
            best = min(
                remaining,
                key=lambda name: self._cost(
                    slice_hash, owner, name, weight, used_zones, is_last
                ),
            )
            remaining.remove(best)
            chosen.append(best)
            used_zones.append(self._zone(best))
        return tuple(chosen)

    def _zone(self, name: Incarnation) -> str:
        return self._members[name].place.availability_zone

    def _tie_break(self, slice_hash: int, name: Incarnation) -> int:
        """Returns a tie-breaker that is equal in all processes and varies by slice."""
        return (self._hashes[name] ^ slice_hash) * TIE_FACTOR & TIE_MASK

    def _cost(
        self,
        slice_hash: int,
        owner: Incarnation,
        name: Incarnation,
        weight: float,
        used_zones: list[str],
        is_last: bool,
    ) -> tuple[int, float, int]:
        inherited = self._inherited.get((owner, name), 0.0)
        used = used_zones.count(self._zone(name))
        share = self.share(name, inherited + weight)
        return (
            used if is_last else 0,
            share + used * self._same_zone_penalty,
            self._tie_break(slice_hash, name),
        )


def _slice_hash(slice_id: SliceId) -> int:
    return key_hash(f"{slice_id.index}/{slice_id.carved}")
