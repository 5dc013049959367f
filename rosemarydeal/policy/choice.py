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
from .nodeview import NodeView, busy_estimate, error_share, latency_estimate

__all__ = ["Candidate", "choose", "choose_for_id", "has_spare_slot"]

FAILING_SHARE = 0.5
ILL_AND_FAILING_SHARE = 0.15
NEW_NODE = NodeView()


@dataclass(frozen=True, slots=True)
class Candidate:
    """Rates a member for the next request.

    Attributes:
        member: The member.
        latency: Estimated latency, in seconds.
        busy: Estimated requests in hand.
        near: Whether it is in the entry's availability zone.
        failing: Whether it fails too many requests.
    """

    member: Member
    latency: float
    busy: float
    near: bool
    failing: bool

    @property
    def load(self) -> float:
        """Returns the requests in hand per slot, with the next one."""
        return (self.busy + 1.0) / self.member.slots


def _rate(
    member: Member,
    views: Mapping[str, NodeView],
    settings: EntrySettings,
    usual: float,
    now: float,
) -> Candidate:
    """Rates a member by what was seen of it."""
    view = views.get(member.node, NEW_NODE)
    errors = error_share(view, now)
    failing = errors > FAILING_SHARE or (view.ill and errors > ILL_AND_FAILING_SHARE)
    return Candidate(
        member,
        latency_estimate(view, usual, now),
        busy_estimate(view, now),
        member.place.availability_zone == settings.availability_zone,
        failing or view.silent_until > now,
    )


def _sample(
    members: Sequence[Member], count: int, seed: int, draw: int
) -> Sequence[Member]:
    """Picks some members, evenly at random."""
    if len(members) <= count:
        return members
    rest = list(members)
    picked = []
    number = key_hash(f"{seed}/{draw}")
    for _ in range(count):
        number, place = divmod(number, len(rest))
        picked.append(rest.pop(place))
    return picked


def _without_outliers(
    candidates: list[Candidate], settings: EntrySettings
) -> tuple[list[Candidate], bool]:
    """Leaves outliers out.

    Returns:
        The rest, or all in a panic, and whether it is a panic.
    """
    middle = median(c.latency for c in candidates)
    bound = settings.outlier_factor * middle
    good = [c for c in candidates if not c.failing and c.latency <= bound]
    if len(good) < len(candidates) * (1.0 - settings.panic_share):
        return candidates, True
    return good or candidates, not good


def _cost(candidate: Candidate, settings: EntrySettings, panic: bool) -> float:
    """Returns how unattractive a candidate is."""
    far = 1.0 if candidate.near else settings.remote_zone_factor
    latency = 1.0 if panic else candidate.latency
    return latency * (1.0 + candidate.load) * far


def choose(
    members: Sequence[Member],
    views: Mapping[str, NodeView],
    settings: EntrySettings,
    usual: float,
    now: float,
    seed: int,
    draw: int,
) -> Member | None:
    """Chooses among the members of a service.

    Args:
        members: The members that may be chosen.
        views: What was seen of each node.
        settings: The entry's settings.
        usual: Latency that is usual for the service, in seconds.
        now: The moment, in seconds.
        seed: Seed of the random choices.
        draw: Number of this random choice.

    Returns:
        The best candidate, None without members.
    """
    up = [m for m in members if m.phase is MemberPhase.UP]
    if not up:
        return None
    sampled = _sample(up, settings.candidates, seed, draw)
    rated = [_rate(m, views, settings, usual, now) for m in sampled]
    good, panic = _without_outliers(rated, settings)
    start = draw % len(good)
    turned = good[start:] + good[:start]
    return min(turned, key=lambda c: _cost(c, settings, panic)).member


def choose_for_id(
    members: Sequence[Member],
    views: Mapping[str, NodeView],
    request_id: str,
    now: float,
) -> Member | None:
    """Chooses by the id, so that a repeat meets the guard that knows it."""
    up = {m.node: m for m in members if m.phase is MemberPhase.UP}
    order = rendezvous_order(request_id, sorted(up))
    heard = [n for n in order if views.get(n, NEW_NODE).silent_until <= now]
    best = next(iter(heard or order), None)
    return None if best is None else up[best]


def has_spare_slot(member: Member, views: Mapping[str, NodeView], now: float) -> bool:
    """Says whether a member is believed to have a free slot."""
    view = views.get(member.node, NEW_NODE)
    return busy_estimate(view, now) < member.slots
