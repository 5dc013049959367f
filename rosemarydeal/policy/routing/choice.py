"""Chooses the upstream of a request that any upstream of a service may run.

Load pattern: upstreams that differ in speed up to threefold, neighbours that
slow them for moments, and answers that are dear to carry between availability
zones. What counts is whether the answer comes within its target: an upstream
nearby is taken though it is slower, as long as it is fast enough, and one in
another zone has to be better by what the carriage of the answer is worth.

In a large fleet all processes know the same loads, some seconds old, and would
all send to the upstream that was free then. Each request is therefore chosen
for among a few upstreams drawn at random.

An upstream that has just joined is sent one request by each process whatever it
seems to cost: only its own answers show how fast it is.
"""

from __future__ import annotations

import random
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from typing import TypeVar

__all__ = ["Candidate", "RequestProfile", "choose", "shortlist"]

# An answer of this length is worth as much as its carriage between zones.
CROSS_ZONE_COST_BYTES = 22_000
# Part of the target at which an answer is half as likely to be late.
LATENESS_EXPONENT = 2.0
# Cost of an upstream that fails all its requests.
FAILURE_COST = 4.0
COST_TOLERANCE = 1e-6
# Upstreams drawn for a request: the best of two is known to be far better than
# one at random, and more of them would send more to the one that was free.
SAME_ZONE_SAMPLE = 2
OTHER_ZONES_SAMPLE = 1
# Up to so many are all weighed: few processes send there, and know loads that
# are half a second old.
MAX_UNSAMPLED = 8
_Upstream = TypeVar("_Upstream")


@dataclass(frozen=True, slots=True)
class RequestProfile:
    """Is what is known of a route's requests.

    Attributes:
        work_s: Time that one runs at an upstream of the usual pace.
        target_s: Time within which the answer is worth most.
        answer_bytes: Mean length of the answer.
    """

    work_s: float
    target_s: float
    answer_bytes: float


@dataclass(frozen=True, slots=True)
class Candidate:
    """Is an upstream that could run the request.

    Attributes:
        node: Node of the upstream.
        same_zone: Whether it is in the availability zone of this process.
        slots: Requests that it runs at a time.
        outstanding: Requests sent from here that have not ended.
        reported_load: Requests running and waiting there, as it said last.
        slowdown: Factor on the time that work takes there; 1.0 is normal.
        failure_share: Share of its recent requests that failed, 0 to 1.
        untried: Whether this process has sent it nothing in its present life.
    """

    node: str
    same_zone: bool
    slots: int
    outstanding: int
    reported_load: int
    slowdown: float
    failure_share: float
    untried: bool = False


def shortlist(
    same_zone: Sequence[_Upstream], other_zones: Sequence[_Upstream], rng: random.Random
) -> Sequence[_Upstream]:
    """Returns the upstreams that a request is chosen for among.

    Args:
        same_zone: Upstreams of the own availability zone that could be sent to.
        other_zones: Those of the other zones.
        rng: Draws them; few are all taken.
    """
    if len(same_zone) + len(other_zones) <= MAX_UNSAMPLED:
        return [*same_zone, *other_zones]
    sample = rng.sample(same_zone, min(SAME_ZONE_SAMPLE, len(same_zone)))
    return sample + rng.sample(other_zones, min(OTHER_ZONES_SAMPLE, len(other_zones)))


def choose(
    candidates: Iterable[Candidate], profile: RequestProfile, tie_break: float
) -> str | None:
    """Returns the node to send to, or None without candidates.

    Args:
        candidates: Upstreams that take work and have not been tried yet.
        profile: Profile of the route's requests.
        tie_break: Random number from 0 to 1 that decides between equals.
    """
    costs = [(_cost(candidate, profile), candidate.node) for candidate in candidates]
    if not costs:
        return None
    lowest = min(costs)[0]
    cheapest = sorted(node for cost, node in costs if cost - lowest < COST_TOLERANCE)
    return cheapest[int(tie_break * len(cheapest)) % len(cheapest)]


def _cost(candidate: Candidate, profile: RequestProfile) -> float:
    """Returns the worth that is likely lost by sending a request there."""
    if candidate.untried:
        return 0.0
    load = max(candidate.outstanding, candidate.reported_load) + 1
    utilization = load / max(1, candidate.slots)
    # Below full slots nobody waits, but a fuller upstream is nearer to it.
    queueing_factor = 1.0 + 0.3 * utilization + max(0.0, utilization - 1.0)
    expected_s = profile.work_s * candidate.slowdown * queueing_factor
    lateness_cost = (
        min(3.0, expected_s / max(0.001, profile.target_s)) ** LATENESS_EXPONENT
    )
    cross_zone_cost = (
        0.0 if candidate.same_zone else profile.answer_bytes / CROSS_ZONE_COST_BYTES
    )
    return lateness_cost + cross_zone_cost + FAILURE_COST * candidate.failure_share
