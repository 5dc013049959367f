"""Chooses an upstream for a request of a service without keys.

A few random candidates are compared by their requests in progress and their
latency. The entry's own observations weigh most; load reports lose weight
quickly, and a report alone neither excludes a node nor makes it eligible. Outliers
are avoided unless there are so many of them that the measurements are more likely
to be wrong.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from statistics import median

from rosemarydeal.core import Member, MemberPhase, key_hash, rendezvous_order

from .entry_interface import EntrySettings
from .node_stats import NodeStats, busy_estimate, error_share, latency_estimate

__all__ = ["Candidate", "choose", "choose_for_id", "has_spare_slot"]

FAILING_SHARE = 0.5
UNHEALTHY_FAILING_SHARE = 0.15
NO_STATS = NodeStats()


@dataclass(frozen=True, slots=True)
class Candidate:
    """A member with the estimates by which it is compared.

    Attributes:
        member: The member.
        latency: Estimated latency, in seconds.
        busy: Estimated requests in progress.
        same_zone: Whether it is in the entry's availability zone.
        failing: Whether it is unresponsive or fails too many requests.
    """

    member: Member
    latency: float
    busy: float
    same_zone: bool
    failing: bool

    @property
    def load(self) -> float:
        """Requests in progress per slot, including the next one."""
        return (self.busy + 1.0) / self.member.slots


def _candidate_for(
    member: Member,
    stats_by_node: Mapping[str, NodeStats],
    settings: EntrySettings,
    mean_latency_s: float,
    now: float,
) -> Candidate:
    """Computes the estimates for a member from its statistics."""
    stats = stats_by_node.get(member.node, NO_STATS)
    failed_share = error_share(stats, now)
    failing = failed_share > FAILING_SHARE or (
        stats.unhealthy and failed_share > UNHEALTHY_FAILING_SHARE
    )
    return Candidate(
        member,
        latency_estimate(stats, mean_latency_s, now),
        busy_estimate(stats, now),
        member.place.availability_zone == settings.availability_zone,
        failing or stats.unresponsive_until > now,
    )


def _sample(
    members: Sequence[Member], count: int, seed: int, choice_number: int
) -> Sequence[Member]:
    """Picks up to `count` members uniformly at random."""
    if len(members) <= count:
        return members
    remaining = list(members)
    picked = []
    number = key_hash(f"{seed}/{choice_number}")
    for _ in range(count):
        number, index = divmod(number, len(remaining))
        picked.append(remaining.pop(index))
    return picked


def _without_outliers(
    candidates: list[Candidate], settings: EntrySettings
) -> tuple[list[Candidate], bool]:
    """Excludes outliers, unless there are too many of them (panic mode).

    Returns:
        The remaining candidates, or all of them in panic mode, and whether panic
        mode applies.
    """
    median_latency = median(c.latency for c in candidates)
    bound = settings.outlier_factor * median_latency
    kept = [c for c in candidates if not c.failing and c.latency <= bound]
    if len(kept) < len(candidates) * (1.0 - settings.panic_share):
        return candidates, True
    return kept or candidates, not kept


def _cost(candidate: Candidate, settings: EntrySettings, panic: bool) -> float:
    """Returns the cost of sending a request to a candidate; the lowest wins."""
    zone_factor = 1.0 if candidate.same_zone else settings.remote_zone_factor
    latency = 1.0 if panic else candidate.latency
    return latency * (1.0 + candidate.load) * zone_factor


def choose(
    members: Sequence[Member],
    stats_by_node: Mapping[str, NodeStats],
    settings: EntrySettings,
    mean_latency_s: float,
    now: float,
    seed: int,
    choice_number: int,
) -> Member | None:
    """Chooses among the members of a service.

    Args:
        members: The members that may be chosen.
        stats_by_node: Statistics of each node.
        settings: The entry's settings.
        mean_latency_s: Mean latency of the service, in seconds.
        now: Current time, in seconds.
        seed: Seed of the random choices.
        choice_number: Number of this random choice.

    Returns:
        The best candidate, None if no member is up.
    """
    up = [m for m in members if m.phase is MemberPhase.UP]
    if not up:
        return None
    sampled = _sample(up, settings.candidates, seed, choice_number)
    candidates = [
        _candidate_for(m, stats_by_node, settings, mean_latency_s, now) for m in sampled
    ]
    kept, panic = _without_outliers(candidates, settings)
    start = choice_number % len(kept)
    rotated = kept[start:] + kept[:start]
    return min(rotated, key=lambda c: _cost(c, settings, panic)).member


def choose_for_id(
    members: Sequence[Member],
    stats_by_node: Mapping[str, NodeStats],
    request_id: str,
    now: float,
) -> Member | None:
    """Chooses by request id, so that a repeat reaches the guard that recorded it."""
    up = {m.node: m for m in members if m.phase is MemberPhase.UP}
    order = rendezvous_order(request_id, sorted(up))
    responsive = [
        n for n in order if stats_by_node.get(n, NO_STATS).unresponsive_until <= now
    ]
    best = next(iter(responsive or order), None)
    return None if best is None else up[best]


def has_spare_slot(
    member: Member, stats_by_node: Mapping[str, NodeStats], now: float
) -> bool:
    """Returns whether a member is estimated to have a free slot."""
    stats = stats_by_node.get(member.node, NO_STATS)
    return busy_estimate(stats, now) < member.slots
