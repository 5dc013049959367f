"""Load per slot of the members of a domain, used to choose moves."""

from __future__ import annotations

from rosemarydeal.core import Incarnation, Member, Row, SliceId

from .fleet import FleetView
from .loads import LoadEstimates

__all__ = ["Shares", "is_lasting_straggler"]


def is_lasting_straggler(
    load_estimates: LoadEstimates, name: Incarnation, straggler_s: float, now: float
) -> bool:
    """Returns whether a member has been a straggler for at least `straggler_s`."""
    since = load_estimates.straggler_since(name)
    return since is not None and now - since >= straggler_s


class Shares:
    """Load per slot (share) of each member, updated as moves are chosen."""

    def __init__(
        self,
        view: FleetView,
        domain: int,
        load_estimates: LoadEstimates,
        straggler_s: float,
        now: float,
    ) -> None:
        self._view = view
        self.members: dict[Incarnation, Member] = view.eligible()
        self.rows: dict[Incarnation, list[Row]] = {name: [] for name in self.members}
        self.loads = dict.fromkeys(self.members, 0.0)
        self._load_estimates = load_estimates
        self._factors = {
            name: load_estimates.slowdown(name)
            if is_lasting_straggler(load_estimates, name, straggler_s, now)
            else 1.0
            for name in self.members
        }
        self.carved: set[SliceId] = set()
        for row in view.domain_rows(domain):
            if row.slice.carved >= 0:
                self.carved.add(row.slice)
            if row.owner in self.rows:
                self.rows[row.owner].append(row)
                self.loads[row.owner] += self.weight(row)

    def weight(self, row: Row) -> float:
        """Returns the load of a row's slice at its present owner."""
        return self._view.weight(row.slice) * self._factors[row.owner]

    def weight_at(self, row: Row, name: Incarnation) -> float:
        """Returns the load that a row's slice would have at another member."""
        return self.weight(row) * self._factors[name] / self._factors[row.owner]

    def share(self, name: Incarnation) -> float:
        """Returns the load per slot of a member."""
        return self.loads[name] / self.members[name].slots

    def mean(self) -> float:
        """Returns the load per slot over all members."""
        slots = sum(member.slots for member in self.members.values())
        return sum(self.loads.values()) / slots

    def share_with(self, name: Incarnation, row: Row) -> float:
        """Returns a member's share with a row's slice moved to it."""
        load = self.loads[name] + self.weight_at(row, name)
        return load / self.members[name].slots

    def share_without(self, row: Row) -> float:
        """Returns the share of a row's owner with the slice moved away."""
        load = self.loads[row.owner] - self.weight(row)
        return load / self.members[row.owner].slots

    def ratio(self) -> float:
        """Returns the ratio of the highest to the mean share; 1 without load."""
        mean = self.mean()
        return max(map(self.share, self.members)) / mean if mean > 0 else 1.0

    def is_still_above(self, ratio: float) -> bool:
        """Returns whether the last report of the most loaded member shows the ratio."""
        worst = max(self.members, key=self.share)
        return self.last_utilisation(worst) >= ratio * self.mean_last_utilisation()

    def last_utilisation(self, name: Incarnation) -> float:
        """Returns a member's utilisation in its last report, unsmoothed."""
        member = self._load_estimates.members.get(name)
        return member.last_utilisation if member else 0.0

    def mean_last_utilisation(self) -> float:
        """Returns the mean utilisation in the last reports, weighted by slots."""
        slots = sum(member.slots for member in self.members.values())
        busy = sum(
            self.last_utilisation(n) * member.slots
            for n, member in self.members.items()
        )
        return busy / slots

    def mean_slice_load(self) -> float:
        """Returns the mean load of a slice."""
        count = sum(len(rows) for rows in self.rows.values())
        return sum(self.loads.values()) / max(1, count)

    def move(self, row: Row, to: Incarnation) -> None:
        """Applies a move to the shares."""
        self.loads[to] += self.weight_at(row, to)
        self.loads[row.owner] -= self.weight(row)
        self.rows[row.owner].remove(row)
