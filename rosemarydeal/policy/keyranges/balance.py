"""Decides which keys an owner gives away because it has too much to do.

Load pattern: busy keys lie close together, become busy at once and stay so for
seconds, and upstreams differ in speed up to threefold. The busiest owner cuts a
piece off an end of one of its ranges, at the key that leaves both with the
same load, and gives it to the least busy one. A move stops work on its keys for
a moment and has a price, so that small differences are left alone.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, replace

from rosemarydeal.core.fleet import KeyRange

__all__ = ["Burden", "Transfer", "have_room", "plan_transfer"]

# Difference of demands, as a share of an upstream's slots, that pays a move.
WORTHWHILE_GAP = 0.25
# An owner below this demand answers in time whatever the others do.
BUSY_DEMAND = 0.8
# Mean demand of the others, with this owner's work, up to which they have room.
ROOM_DEMAND = 0.75
# Fewer arrivals say too little about where a range should be cut.
MIN_ARRIVALS = 8
# Most of its arrivals that an owner gives away at once.
MAX_SHARE = 0.7


@dataclass(frozen=True, slots=True)
class Burden:
    """Says how busy an owner is.

    Attributes:
        node: The owner's node.
        demand: Work that arrives, as a share of what its slots can do.
        pace: How long work takes there, 1.0 as usual.
    """

    node: str
    demand: float
    pace: float = 1.0


@dataclass(frozen=True, slots=True)
class Transfer:
    """Is a piece of a range that is to change hands."""

    keys: KeyRange
    heir: str


def plan_transfer(
    own: Burden,
    others: Sequence[Burden],
    ranges: Sequence[KeyRange],
    arrivals: Mapping[int, float],
) -> Transfer | None:
    """Returns what to give away now, or None.

    Args:
        own: This owner's burden.
        others: Burdens of the other upstreams that could own keys.
        ranges: This owner's ranges.
        arrivals: Work that arrived lately, by key.
    """
    if not others or own.demand < BUSY_DEMAND:
        return None
    heir = _heir(own, others)
    if heir is None or own.demand - heir.demand < WORTHWHILE_GAP:
        return None
    # A piece of work takes the heir longer, or shorter, than this owner.
    stretch = heir.pace / max(0.1, own.pace)
    given = (own.demand - heir.demand) / (1.0 + stretch)
    share = min(MAX_SHARE, given / own.demand)
    keys = _piece(ranges, arrivals, share)
    return Transfer(keys, heir.node) if keys is not None else None


def have_room(own: Burden, others: Sequence[Burden]) -> bool:
    """Tells whether the others can do an owner's work while it restarts.

    Load pattern: processes that are restarted in turn under high load. Keys that
    move cost two short gaps and no capacity; under a load that the others can't
    bear it is better that they wait for the process, which is back in a second.
    """
    if not others:
        return False
    total = sum(other.demand for other in others) + own.demand
    return total / len(others) < ROOM_DEMAND


def _heir(own: Burden, others: Sequence[Burden]) -> Burden | None:
    """Returns who gets this owner's keys: the busiest gives to the least busy.

    The second busiest gives to the second least busy, and so on, so that owners
    who decide at the same time don't give to the same heir.
    """
    by_demand = sorted([own, *others], key=lambda b: (-b.demand, b.node))
    rank = by_demand.index(own)
    heir = by_demand[-1 - rank]
    return heir if rank < len(by_demand) - 1 - rank else None


def _piece(
    ranges: Sequence[KeyRange], arrivals: Mapping[int, float], share: float
) -> KeyRange | None:
    """Returns the piece whose work comes nearest to a share of all."""
    if len(arrivals) < MIN_ARRIVALS:
        return None
    wanted = share * sum(arrivals.values())
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
