"""Decides which keys an owner gives away because it has too much to do.

Load pattern: busy keys lie close together, become busy at once and stay so for
seconds, and upstreams differ in speed up to threefold. A busy owner cuts pieces
off the ends of its ranges, at the keys that leave it with the mean load, and
gives them to owners that have room, all in one change of the table: in a large
fleet one piece at a time would take longer than the keys stay busy. All owners
who decide at the same time work out the same plan and take their own part of
it, so that they don't give to the same heir. A move stops work on its keys for
a moment and has a price, so that small differences are left alone.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, replace

from rosemarydeal.core.fleet import KeyRange

from .table import subtract

__all__ = ["OwnerLoad", "Transfer", "can_absorb", "plan_transfers"]

# Difference of demands, as a share of an upstream's slots, that pays a move.
MIN_DEMAND_GAP = 0.25
# An owner below this demand answers in time whatever the others do.
BUSY_DEMAND = 0.8
# Mean demand of the others, with this owner's work, up to which they have room.
MAX_MEAN_DEMAND = 0.75
# Fewer arrivals say too little about where a range should be cut.
MIN_KEYS_WITH_ARRIVALS = 8
# Most of its arrivals that an owner gives to one heir at once, and to all.
MAX_SHARE_PER_OWNER = 0.7
MAX_TOTAL_SHARE = 0.85
# Demand that pays a move of its own, as a share of an upstream's slots.
MIN_TRANSFER_DEMAND = 0.1
# Owners are filled up to this demand though the mean is less: answers come in
# time there, and a piece that is large enough need not be followed by others.
MIN_TARGET_DEMAND = 0.6
# Pieces that change hands at once, each a call to the upstream. With the room of
# a usual fleet a hot spot of a third of its work is spread in three rounds.
MAX_TRANSFERS = 16


@dataclass(frozen=True, slots=True)
class OwnerLoad:
    """Says how busy an owner is.

    Attributes:
        node: The owner's node.
        demand: Work that arrives, as a share of what its slots can do.
        slowdown: Factor on the time that work takes there; 1.0 is normal.
    """

    node: str
    demand: float
    slowdown: float = 1.0


@dataclass(frozen=True, slots=True)
class Transfer:
    """Is a piece of a range that is to change hands."""

    keys: KeyRange
    new_owner: str


def plan_transfers(
    own: OwnerLoad,
    others: Sequence[OwnerLoad],
    ranges: Sequence[KeyRange],
    arrivals: Mapping[int, float],
) -> tuple[Transfer, ...]:
    """Returns what to give away now; nothing if that does not pay.

    Args:
        own: This owner's burden.
        others: Burdens of the other upstreams that could own keys.
        ranges: This owner's ranges.
        arrivals: Work that arrived lately, by key.
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
    """Tells whether the others can do an owner's work while it restarts.

    Load pattern: processes that are restarted in turn under high load. Keys that
    move cost two short gaps and no capacity; under a load that the others can't
    bear it is better that they wait for the process, which is back in a second.
    """
    if not others:
        return False
    total = sum(other.demand for other in others) + own.demand
    return total / len(others) < MAX_MEAN_DEMAND


def _own_allocations(
    own: OwnerLoad, others: Sequence[OwnerLoad]
) -> list[tuple[OwnerLoad, float]]:
    """Returns this owner's heirs, each with the demand that it is given.

    The busiest owner fills the room of the least busy one first, then that of
    the next; the second busiest goes on from there, and so on.
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
    """Gives what a donor has too much to heirs, and takes it off their room."""
    excess = min(source.demand - target, MAX_TOTAL_SHARE * source.demand)
    allocations: list[tuple[OwnerLoad, float]] = []
    for new_owner in eligible:
        # A piece of work takes the heir longer, or shorter, than its donor.
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
    """Returns the piece whose work comes nearest to what is wanted."""
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
    """Returns the pieces at both ends of a range that come nearest to the work."""
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
