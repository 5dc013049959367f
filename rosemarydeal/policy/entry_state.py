"""Holds the state of the entry and answers questions about it."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field, replace

import immutables

from rosemarydeal.core import Member, NotRun, Row, SliceId

from .budget import Budget
from .entry_interface import EntrySettings, RequestAccepted
from .hedge import ServiceLatency
from .node_stats import NodeStats
from .timers import Timers

__all__ = [
    "EntryState",
    "OpenRequest",
    "OpenAttempt",
    "members_of",
    "put_request",
    "start",
    "mean_latency",
    "stats_of",
    "wake_at",
    "with_stats",
]

DEFAULT_LATENCY_S = 0.05


@dataclass(frozen=True, slots=True)
class OpenAttempt:
    """Holds a try that has not ended."""

    number: int
    node: str
    started_at: float
    ticket: int | None


@dataclass(frozen=True, slots=True)
class OpenRequest:
    """Holds a request whose caller waits.

    Attributes:
        accepted: What the caller asked for.
        open_attempts: Tries that have not ended.
        attempts_sent: Tries that have ever gone out.
        rejected_by: Nodes that refused or failed it.
        retry_at: Moment of the next try, if one is to follow.
        hedge_at: Moment of the hedge, if one may go out.
        suspect_at: Moment after which a silent node is suspected.
        may_have_run: Whether a try was lost after it was sent.
        earlier_outcome_unknown: Whether a try before this request may have run.
        last_rejection: Latest truthful *not run*.
        ticket: Ticket of the latest try.
        ticket_rejected: Whether its tickets were refused as stale.
    """

    accepted: RequestAccepted
    open_attempts: tuple[OpenAttempt, ...] = ()
    attempts_sent: int = 0
    rejected_by: frozenset[str] = frozenset()
    retry_at: float | None = None
    hedge_at: float | None = None
    suspect_at: float | None = None
    may_have_run: bool = False
    earlier_outcome_unknown: bool = False
    last_rejection: NotRun | None = None
    ticket: int | None = None
    ticket_rejected: bool = False


@dataclass(frozen=True, slots=True)
class EntryState:
    """Holds all that the entry knows.

    Attributes:
        settings: Bounds in force.
        seed: Seed of the random choices.
        retry_budget: Budget of retries.
        hedge_budget: Budget of hedges.
        choices_made: Random choices made so far.
        members: Members by service.
        rows: Rows by slice.
        fallback_nodes: Node that last answered for a slice in its owner's place.
        parked: Requests that are held back by slice; the first one probes.
        stats_by_node: What was seen of each node.
        latencies: Latencies by service.
        open: Requests whose callers wait, by number.
        timers: Moments at which requests need attention.
    """

    settings: EntrySettings
    seed: int
    retry_budget: Budget
    hedge_budget: Budget
    choices_made: int = 0
    members: immutables.Map[str, tuple[Member, ...]] = field(
        default_factory=immutables.Map
    )
    rows: immutables.Map[SliceId, Row] = field(default_factory=immutables.Map)
    fallback_nodes: immutables.Map[SliceId, str] = field(default_factory=immutables.Map)
    parked: immutables.Map[SliceId, tuple[int, ...]] = field(
        default_factory=immutables.Map
    )
    stats_by_node: immutables.Map[str, NodeStats] = field(
        default_factory=immutables.Map
    )
    latencies: immutables.Map[str, ServiceLatency] = field(
        default_factory=immutables.Map
    )
    open: immutables.Map[int, OpenRequest] = field(default_factory=immutables.Map)
    timers: Timers = field(default_factory=Timers)


def start(settings: EntrySettings, seed: int) -> EntryState:
    """Returns the state of an entry that knows nobody yet.

    Args:
        settings: Bounds in force.
        seed: Seed of the random choices.
    """
    retry_budget = Budget(
        settings.retry_share, settings.retry_burst, settings.retry_burst
    )
    hedge_budget = Budget(
        settings.hedge_share, settings.hedge_burst, settings.hedge_burst
    )
    return EntryState(settings, seed, retry_budget, hedge_budget)


def wake_at(state: EntryState) -> float | None:
    """Returns when the entry needs its next `Tick`; None: not before an event."""
    return state.timers.wake_at


def members_of(state: EntryState, service: str) -> Sequence[Member]:
    """Returns the known members of a service."""
    return state.members.get(service, ())


def stats_of(state: EntryState, node: str) -> NodeStats:
    """Returns what was seen of a node."""
    return state.stats_by_node.get(node) or NodeStats()


def with_stats(state: EntryState, node: str, stats: NodeStats) -> EntryState:
    """Stores what was seen of a node."""
    return replace(state, stats_by_node=state.stats_by_node.set(node, stats))


def mean_latency(state: EntryState, service: str) -> float:
    """Returns the latency that is usual for a service, in seconds."""
    latency = state.latencies.get(service)
    if latency is None or not latency.quantiles.total:
        return DEFAULT_LATENCY_S
    return latency.quantiles.mean


def put_request(state: EntryState, request: OpenRequest) -> EntryState:
    """Stores an open request under its number."""
    table = state.open.set(request.accepted.request, request)
    return replace(state, open=table)
