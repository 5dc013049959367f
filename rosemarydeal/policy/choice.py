"""Chooses an upstream for a request of a service without keys.

A few candidates are compared by the work that they have in hand and by how
long they take for it. Own observations weigh most; reports fade and can
neither rule a node out nor vouch for it. Outliers are avoided unless so many
nodes look like outliers that the view itself is the likelier fault.
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
    """Rates a member for the next request.

    Attributes:
        member: The member.
        latency: Estimated latency, in seconds.
        busy: Estimated requests in hand.
        same_zone: Whether it is in the entry's availability zone.
        failing: Whether it fails too many requests.
    """

    member: Member
    latency: float
    busy: float
    same_zone: bool
    failing: bool

    @property
    def load(self) -> float:
        """Returns the requests in hand per slot, with the next one."""
        return (self.busy + 1.0) / self.member.slots


def _candidate_for(
    member: Member,
    stats_by_node: Mapping[str, NodeStats],
    settings: EntrySettings,
    mean_latency_s: float,
    now: float,
) -> Candidate:
    """Rates a member by what was seen of it."""
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
    """Picks some members, evenly at random."""
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
    """Leaves outliers out.

    Returns:
        The rest, or all in a panic, and whether it is a panic.
    """
    median_latency = median(c.latency for c in candidates)
    bound = settings.outlier_factor * median_latency
    kept = [c for c in candidates if not c.failing and c.latency <= bound]
    if len(kept) < len(candidates) * (1.0 - settings.panic_share):
        return candidates, True
    return kept or candidates, not kept


def _cost(candidate: Candidate, settings: EntrySettings, panic: bool) -> float:
    """Returns how unattractive a candidate is."""
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
        stats_by_node: What was seen of each node.
        settings: The entry's settings.
        mean_latency_s: Latency that is usual for the service, in seconds.
        now: The moment, in seconds.
        seed: Seed of the random choices.
        choice_number: Number of this random choice.

    Returns:
        The best candidate, None without members.
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
    """Chooses by the id, so that a repeat meets the guard that knows it."""
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
    """Says whether a member is believed to have a free slot."""
    stats = stats_by_node.get(member.node, NO_STATS)
    return busy_estimate(stats, now) < member.slots
