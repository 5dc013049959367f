"""Plans the transfer of keys from overloaded owners to less loaded ones.

Load pattern: hot keys are adjacent, become hot together and stay so for seconds,
and upstreams differ in speed up to threefold. An overloaded owner cuts pieces off
the ends of its ranges so that the mean load remains, and transfers them to owners
with spare capacity in a single change of the table: in a large fleet, moving one
piece at a time would take longer than the keys stay hot. Owners that plan at the
same time compute the same allocation and each carries out its own part, so that
they do not overload a common new owner. A transfer interrupts work on its keys
and has a cost, so small differences in load are ignored.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, replace

from rosemarydeal.core.fleet import KeyRange

from .table import subtract

__all__ = [
    "BUSY_DEMAND",
    "OwnerLoad",
    "Transfer",
    "can_absorb",
    "owner_load",
    "plan_transfers",
]

# Smallest difference of demands, as a share of an upstream's slots, that is worth
# a transfer.
MIN_DEMAND_GAP = 0.25
# Below this demand an owner meets its targets, whatever the load of the others.
BUSY_DEMAND = 0.8
# Highest mean demand at which the other owners can absorb this owner's work.
MAX_MEAN_DEMAND = 0.75
# With fewer distinct keys in the sample, the place to cut a range is unreliable.
MIN_KEYS_WITH_ARRIVALS = 8
# Largest shares of an owner's load that one plan moves to one new owner, and to
# all of them.
MAX_SHARE_PER_OWNER = 0.7
MAX_TOTAL_SHARE = 0.85
# Smallest demand that is worth a transfer, as a share of an upstream's slots.
MIN_TRANSFER_DEMAND = 0.1
# New owners are filled up to this demand even if the mean is lower: answers are
# still in time, and one large piece makes further transfers unnecessary.
MIN_TARGET_DEMAND = 0.6
# Each transfer is a call to the upstream. With the spare capacity of a typical
# fleet, this spreads a hot spot of a third of the fleet's work in three rounds.
MAX_TRANSFERS = 16
# Below this demand the work of a request is unknown.
MIN_SLOT_DEMAND = 0.01


@dataclass(frozen=True, slots=True)
class OwnerLoad:
    """Load of an owner.

    Attributes:
        node: The owner's node.
        demand: Rate of arriving work, as a share of the capacity of the upstream.
        slowdown: Factor on the share of the capacity that work takes there; 1.0 is
            normal.
    """

    node: str
    demand: float
    slowdown: float = 1.0


@dataclass(frozen=True, slots=True)
class Transfer:
    """A range, or part of one, that is to move to another owner."""

    keys: KeyRange
    new_owner: str


def owner_load(
    node: str, slot_demand: float, limit_demand: float, slowdown: float
) -> OwnerLoad:
    """Returns the load of an owner whose upstream may state a rate limit.

    Load pattern: upstreams that state limits for seconds, below what their keys ask.
    Where the limit is scarcer than the slots, work takes a larger share of the
    capacity there, as if the upstream were slower by that factor.

    Args:
        node: The owner's node.
        slot_demand: Arriving work as a share of the capacity of the slots.
        limit_demand: Arriving requests as a share of the rate limit, 0 without one.
        slowdown: Factor on the time that work takes there; 1.0 is normal.
    """
    if limit_demand <= slot_demand:
        return OwnerLoad(node, slot_demand, slowdown)
    scarcity = limit_demand / max(MIN_SLOT_DEMAND, slot_demand)
    return OwnerLoad(node, limit_demand, slowdown * scarcity)


def plan_transfers(
    own: OwnerLoad,
    others: Sequence[OwnerLoad],
    ranges: Sequence[KeyRange],
    arrivals: Mapping[int, float],
) -> tuple[Transfer, ...]:
    """Returns the transfers to make now; none if they are not worthwhile.

    Args:
        own: Load of this owner.
        others: Loads of the other eligible owners.
        ranges: This owner's ranges.
        arrivals: Recently arrived work, by key.
    """
    if not others or own.demand < BUSY_DEMAND or len(arrivals) < MIN_KEYS_WITH_ARRIVALS:
        return ()
    total_work = sum(arrivals.values())
    remaining = list(ranges)
    transfers: list[Transfer] = []
    for new_owner, amount in _own_allocations(own, others):
        share = min(MAX_SHARE_PER_OWNER, amount / own.demand)
        piece = _closest_piece(remaining, arrivals, share * total_work)
        if piece is None:
            continue
        transfers.append(Transfer(piece, new_owner.node))
        remaining = [part for keys in remaining for part in subtract(keys, piece)]
    return tuple(transfers)


def can_absorb(own: OwnerLoad, others: Sequence[OwnerLoad]) -> bool:
    """Returns whether the others can do an owner's work while it restarts.

    Load pattern: rolling restarts under high load. Moving keys away and back costs
    two short interruptions but no capacity. If the others cannot take the load, it
    is better that requests wait for the process, which is back within a second.
    """
    if not others:
        return False
    total = sum(other.demand for other in others) + own.demand
    return total / len(others) < MAX_MEAN_DEMAND


def _own_allocations(
    own: OwnerLoad, others: Sequence[OwnerLoad]
) -> list[tuple[OwnerLoad, float]]:
    """Returns the new owners of this owner's excess load, with the demand for each.

    The most loaded owner fills the spare capacity of the least loaded one first,
    then that of the next; the second most loaded continues from there, and so on.
    """
    by_demand = sorted([own, *others], key=lambda load: (-load.demand, load.node))
    mean = sum(load.demand for load in by_demand) / len(by_demand)
    target = max(mean, MIN_TARGET_DEMAND)
    spare = {
        load.node: target - load.demand for load in by_demand if load.demand < target
    }
    eligible = [load for load in reversed(by_demand) if load.node in spare]
    for source in by_demand:
        if source.demand < max(BUSY_DEMAND, target):
            return []
        allocations = _allocate(source, eligible, spare, target)
        if source is own:
            return allocations
    return []


def _allocate(
    source: OwnerLoad,
    eligible: Sequence[OwnerLoad],
    spare: dict[str, float],
    target: float,
) -> list[tuple[OwnerLoad, float]]:
    """Allocates the excess load of an owner and reduces the spare capacity."""
    excess = min(source.demand - target, MAX_TOTAL_SHARE * source.demand)
    allocations: list[tuple[OwnerLoad, float]] = []
    for new_owner in eligible:
        # The same work may take longer or shorter at the new owner.
        slowdown_ratio = new_owner.slowdown / max(0.1, source.slowdown)
        amount = min(excess, spare[new_owner.node] / slowdown_ratio)
        gap = source.demand - (target - spare[new_owner.node])
        if (
            amount < MIN_TRANSFER_DEMAND
            or gap < MIN_DEMAND_GAP
            or len(allocations) >= MAX_TRANSFERS
        ):
            continue
        allocations.append((new_owner, amount))
        excess -= amount
        spare[new_owner.node] -= amount * slowdown_ratio
    return allocations


def _closest_piece(
    ranges: Sequence[KeyRange], arrivals: Mapping[int, float], target_work: float
) -> KeyRange | None:
    """Returns the piece whose work is closest to the target, or None."""
    best: tuple[float, KeyRange] | None = None
    for keys in ranges:
        work_by_key = sorted(
            (key, work) for key, work in arrivals.items() if key in keys
        )
        for piece, work in _end_pieces(keys, work_by_key, target_work):
            deviation = abs(work - target_work)
            if best is None or deviation < best[0]:
                best = (deviation, piece)
    if best is None or best[0] > 0.7 * target_work:
        return None
    return best[1]


def _end_pieces(
    keys: KeyRange, work_by_key: Sequence[tuple[int, float]], target_work: float
) -> list[tuple[KeyRange, float]]:
    """Returns the smallest end pieces with the target work, and the whole range."""
    pieces = []
    work_so_far = 0.0
    for key, work in work_by_key:
        work_so_far += work
        if work_so_far >= target_work and key < keys.last:
            pieces.append((replace(keys, last=key), work_so_far))
            break
    work_so_far = 0.0
    for key, work in reversed(work_by_key):
        work_so_far += work
        if work_so_far >= target_work and key > keys.first:
            pieces.append((replace(keys, first=key), work_so_far))
            break
    range_work = sum(work for _, work in work_by_key)
    pieces.append((keys, range_work))
    return pieces
