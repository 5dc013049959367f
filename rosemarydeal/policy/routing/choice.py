"""Chooses the upstream for a request that any upstream of a service may run.

Load pattern: upstreams that differ in speed up to threefold and are slowed for
moments by noisy neighbours, and answers that are expensive to transfer between
availability zones. The goal is an answer within its target: a slower upstream in
the same zone is preferred as long as it is fast enough, and one in another zone
has to be better by the cost of transferring the answer.

In a large fleet all processes see the same loads, some seconds old, and would all
send to the upstream that was idle then. Each request is therefore sent to the
best of a few upstreams sampled at random.

Each process sends one request to an upstream that has just joined, whatever its
estimated cost: only its own answers show how fast it is.
"""

from __future__ import annotations

import random
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from typing import TypeVar

__all__ = ["Candidate", "RequestProfile", "choose", "draw", "shortlist"]

# Transferring an answer of this length between zones costs as much as it is worth.
CROSS_ZONE_COST_BYTES = 22_000
# The cost of lateness is the expected time, as a share of the target, to this power.
LATENESS_EXPONENT = 2.0
# Cost of an upstream that fails all of its requests.
FAILURE_COST = 4.0
COST_TOLERANCE = 1e-6
# Upstreams sampled for a request. The best of two is far better than one at random
# (power of two choices); larger samples send more requests to one idle upstream.
SAME_ZONE_SAMPLE = 2
OTHER_ZONES_SAMPLE = 1
# Up to this many upstreams are all compared: in a small fleet few processes send to
# them, and the reported loads are only half a second old.
MAX_UNSAMPLED = 8
# Upstreams that are examined for a request, in the own zone and elsewhere.
MAX_DRAWN = 16
_Upstream = TypeVar("_Upstream")


@dataclass(frozen=True, slots=True)
class RequestProfile:
    """Expected work and answer length of a route's requests.

    Attributes:
        work_s: Time that a request runs at an upstream with slowdown 1.0.
        target_s: Time within which the answer has its full worth.
        answer_bytes: Mean length of the answer.
    """

    work_s: float
    target_s: float
    answer_bytes: float


@dataclass(frozen=True, slots=True)
class Candidate:
    """An upstream that could run the request.

    Attributes:
        node: Node of the upstream.
        same_zone: Whether it is in the availability zone of this process.
        slots: Requests that it runs at a time.
        outstanding: Unfinished requests sent by this process.
        reported_load: Running and waiting requests in its last report.
        slowdown: Factor on the time that work takes there; 1.0 is normal.
        failure_share: Share of its recent requests that failed, 0 to 1.
        untried: Whether this process has sent nothing to its current incarnation.
        limit_delay_s: Time for which its rate limit delays a further request.
    """

    node: str
    same_zone: bool
    slots: int
    outstanding: int
    reported_load: int
    slowdown: float
    failure_share: float
    untried: bool = False
    limit_delay_s: float = 0.0


def draw(members: Sequence[_Upstream], rng: random.Random) -> Sequence[_Upstream]:
    """Returns the upstreams to examine: all of a few, or else some drawn at random.

    Enough are drawn that a shortlist remains if several of them can't be used.
    """
    if len(members) <= MAX_DRAWN:
        return members
    return rng.sample(members, MAX_DRAWN)


def shortlist(
    same_zone: Sequence[_Upstream], other_zones: Sequence[_Upstream], rng: random.Random
) -> Sequence[_Upstream]:
    """Returns the upstreams to compare for a request.

    Args:
        same_zone: Reachable upstreams in the own availability zone.
        other_zones: Reachable upstreams in the other zones.
        rng: Draws the sample.
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
        candidates: Upstreams that accept work and have not been tried for the request.
        profile: Profile of the route's requests.
        tie_break: Random number from 0 to 1 that decides between equal costs.
    """
    costs = [(_cost(candidate, profile), candidate.node) for candidate in candidates]
    if not costs:
        return None
    lowest = min(costs)[0]
    cheapest = sorted(node for cost, node in costs if cost - lowest < COST_TOLERANCE)
    return cheapest[int(tie_break * len(cheapest)) % len(cheapest)]


def _cost(candidate: Candidate, profile: RequestProfile) -> float:
    """Returns the expected loss of worth when the request is sent to a candidate."""
    if candidate.untried and candidate.limit_delay_s <= 0:
        return 0.0
    load = max(candidate.outstanding, candidate.reported_load) + 1
    utilization = load / max(1, candidate.slots)
    # Requests wait only when all slots are in use, but that is closer at a fuller one.
    queueing_factor = 1.0 + 0.3 * utilization + max(0.0, utilization - 1.0)
    work_s = profile.work_s * candidate.slowdown * queueing_factor
    expected_s = candidate.limit_delay_s + work_s
    lateness_cost = (
        min(3.0, expected_s / max(0.001, profile.target_s)) ** LATENESS_EXPONENT
    )
    cross_zone_cost = (
        0.0 if candidate.same_zone else profile.answer_bytes / CROSS_ZONE_COST_BYTES
    )
    return lateness_cost + cross_zone_cost + FAILURE_COST * candidate.failure_share
