"""Chooses the upstream of a request that any upstream of a service may run.

Load pattern: upstreams that differ in speed up to threefold, neighbours that
slow them for moments, and answers that are dear to carry between availability
zones. Work goes where it would be done first, by what is outstanding from here
and what the upstream's process said last; an upstream in another zone has to
be better by more than the carriage is worth.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

__all__ = ["Candidate", "choose"]

# Share of a busy upstream's slots by which another zone has to be better: an
# answer carried between zones costs about a quarter of what it is worth.
OTHER_ZONE_PENALTY = 0.45
# An upstream that failed a request is avoided for this long at first.
FAILURE_PENALTY = 1.0


@dataclass(frozen=True, slots=True)
class Candidate:
    """Is an upstream that could run the request.

    Attributes:
        node: Node of the upstream.
        same_zone: Whether it is in the availability zone of this process.
        slots: Requests that it runs at a time.
        outstanding: Requests sent from here that have not ended.
        reported: Requests running and waiting there, as it said last.
        pace: How long work takes there, 1.0 as usual.
        failing: Share of its recent requests that failed, 0 to 1.
    """

    node: str
    same_zone: bool
    slots: int
    outstanding: int
    reported: int
    pace: float
    failing: float


def choose(candidates: Iterable[Candidate], chance: float) -> str | None:
    """Returns the node to send to, or None without candidates.

    Args:
        candidates: Upstreams that take work and have not been tried yet.
        chance: Random number from 0 to 1 that decides between equals.
    """
    ranked = sorted(candidates, key=lambda c: (_cost(c), c.node))
    if not ranked:
        return None
    best = _cost(ranked[0])
    equals = [c for c in ranked if _cost(c) - best < 1e-9]
    return equals[int(chance * len(equals)) % len(equals)].node


def _cost(candidate: Candidate) -> float:
    """Returns the time until the request would be done, in usual service times."""
    load = max(candidate.outstanding, candidate.reported) + 1
    per_slot = load / max(1, candidate.slots)
    # Below full slots only the speed of a single request counts.
    done_after = (1.0 + max(0.0, per_slot - 1.0) + 0.3 * per_slot) * candidate.pace
    distance = 0.0 if candidate.same_zone else OTHER_ZONE_PENALTY
    return done_after + distance + FAILURE_PENALTY * 4.0 * candidate.failing
