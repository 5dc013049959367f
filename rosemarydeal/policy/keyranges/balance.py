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
WORTHWHILE_GAP = 0.25
# An owner below this demand answers in time whatever the others do.
BUSY_DEMAND = 0.8
# Mean demand of the others, with this owner's work, up to which they have room.
ROOM_DEMAND = 0.75
# Fewer arrivals say too little about where a range should be cut.
MIN_ARRIVALS = 8
# Most of its arrivals that an owner gives to one heir at once, and to all.
MAX_SHARE = 0.7
MAX_SHARE_ALL = 0.85
# Demand that pays a move of its own, as a share of an upstream's slots.
MIN_GIFT = 0.1
# Owners are filled up to this demand though the mean is less: answers come in
# time there, and a piece that is large enough need not be followed by others.
FILL_DEMAND = 0.6
# Pieces that change hands at once, each a call to the upstream. With the room of
# a usual fleet a hot spot of a third of its work is spread in three rounds.
MOST_PIECES = 16


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
    if not others or own.demand < BUSY_DEMAND or len(arrivals) < MIN_ARRIVALS:
        return ()
    total = sum(arrivals.values())
    left = list(ranges)
    transfers: list[Transfer] = []
    for heir, given in _gifts(own, others):
        share = min(MAX_SHARE, given / own.demand)
        piece = _piece(left, arrivals, share * total)
        if piece is None:
            continue
        transfers.append(Transfer(piece, heir.node))
        left = [part for keys in left for part in subtract(keys, piece)]
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
    return total / len(others) < ROOM_DEMAND


def _gifts(
    own: OwnerLoad, others: Sequence[OwnerLoad]
) -> list[tuple[OwnerLoad, float]]:
    """Returns this owner's heirs, each with the demand that it is given.

    The busiest owner fills the room of the least busy one first, then that of
    the next; the second busiest goes on from there, and so on.
    """
    by_demand = sorted([own, *others], key=lambda b: (-b.demand, b.node))
    mean = sum(burden.demand for burden in by_demand) / len(by_demand)
    level = max(mean, FILL_DEMAND)
    room = {b.node: level - b.demand for b in by_demand if b.demand < level}
    heirs = [burden for burden in reversed(by_demand) if burden.node in room]
    for donor in by_demand:
        if donor.demand < max(BUSY_DEMAND, level):
            return []
        gifts = _fill(donor, heirs, room, level)
        if donor is own:
            return gifts
    return []


def _fill(
    donor: OwnerLoad, heirs: Sequence[OwnerLoad], room: dict[str, float], level: float
) -> list[tuple[OwnerLoad, float]]:
    """Gives what a donor has too much to heirs, and takes it off their room."""
    excess = min(donor.demand - level, MAX_SHARE_ALL * donor.demand)
    gifts: list[tuple[OwnerLoad, float]] = []
    for heir in heirs:
        # A piece of work takes the heir longer, or shorter, than its donor.
        stretch = heir.slowdown / max(0.1, donor.slowdown)
        given = min(excess, room[heir.node] / stretch)
        gap = donor.demand - (level - room[heir.node])
        if given < MIN_GIFT or gap < WORTHWHILE_GAP or len(gifts) >= MOST_PIECES:
            continue
        gifts.append((heir, given))
        excess -= given
        room[heir.node] -= given * stretch
    return gifts


def _piece(
    ranges: Sequence[KeyRange], arrivals: Mapping[int, float], wanted: float
) -> KeyRange | None:
    """Returns the piece whose work comes nearest to what is wanted."""
    best: tuple[float, KeyRange] | None = None
    for keys in ranges:
        inside = sorted((k, work) for k, work in arrivals.items() if k in keys)
        for piece, work in _end_pieces(keys, inside, wanted):
            off = abs(work - wanted)
            if best is None or off < best[0]:
                best = (off, piece)
    if best is None or best[0] > 0.7 * wanted:
        return None
    return best[1]


def _end_pieces(
    keys: KeyRange, inside: Sequence[tuple[int, float]], wanted: float
) -> list[tuple[KeyRange, float]]:
    """Returns the pieces at both ends of a range that come nearest to the work."""
    pieces = []
    total = 0.0
    for key, work in inside:
        total += work
        if total >= wanted and key < keys.last:
            pieces.append((replace(keys, last=key), total))
            break
    total = 0.0
    for key, work in reversed(inside):
        total += work
        if total >= wanted and key > keys.first:
            pieces.append((replace(keys, first=key), total))
            break
    whole = sum(work for _, work in inside)
    pieces.append((keys, whole))
    return pieces
