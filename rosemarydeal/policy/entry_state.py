"""State of the entry, with functions that read and update it."""

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
    "OpenAttempt",
    "OpenRequest",
    "mean_latency",
    "members_of",
    "put_request",
    "start",
    "stats_of",
    "wake_at",
    "with_stats",
]

DEFAULT_LATENCY_S = 0.05


@dataclass(frozen=True, slots=True)
class OpenAttempt:
    """An attempt that has not ended."""

    number: int
    node: str
    started_at: float
    ticket: int | None


@dataclass(frozen=True, slots=True)
class OpenRequest:
    """A request whose caller waits for the outcome.

    Attributes:
        accepted: The event with which the request arrived.
        open_attempts: Attempts that have not ended.
        attempts_sent: Number of attempts sent so far.
        rejected_by: Nodes that rejected the request or failed it.
        retry_at: Time of the next attempt, if one is scheduled.
        hedge_at: Time of the hedge, if one is scheduled.
        suspect_at: Time from which nodes that have not replied are suspected.
        may_have_run: Whether the outcome of one of its attempts is unknown.
        earlier_outcome_unknown: Whether an attempt before this request, which the
            caller resent, may have run.
        last_rejection: Latest *not run* outcome of an attempt.
        ticket: Ticket of the latest attempt.
        ticket_rejected: Whether a guard rejected its ticket as stale.
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
    """State of the entry.

    Attributes:
        settings: Settings in force.
        seed: Seed of the random choices.
        retry_budget: Budget of retries.
        hedge_budget: Budget of hedges.
        choices_made: Number of random choices made so far.
        members: Members by service.
        rows: Rows by slice.
        own_tokens: Tokens of the slices that this process serves itself, which it
            knows before the row that names it as the owner is written.
        fallback_nodes: Node that last answered in place of the owner, by slice.
        parked: Numbers of the parked requests by slice; the first one probes.
        stats_by_node: Statistics of each node.
        latencies: Latencies by service.
        open: Requests whose callers wait, by number.
        timers: Times at which requests are due for a hedge, a retry or their end.
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
    own_tokens: immutables.Map[SliceId, int] = field(default_factory=immutables.Map)
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
    """Returns the initial state, without members and rows.

    Args:
        settings: Settings in force.
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
    """Returns when the next `Tick` is due, None while no timer is set."""
    return state.timers.wake_at


def members_of(state: EntryState, service: str) -> Sequence[Member]:
    """Returns the known members of a service."""
    return state.members.get(service, ())


def stats_of(state: EntryState, node: str) -> NodeStats:
    """Returns the statistics of a node, empty ones for an unknown node."""
    return state.stats_by_node.get(node) or NodeStats()


def with_stats(state: EntryState, node: str, stats: NodeStats) -> EntryState:
    """Stores the statistics of a node."""
    return replace(state, stats_by_node=state.stats_by_node.set(node, stats))


def mean_latency(state: EntryState, service: str) -> float:
    """Returns the mean latency of a service, in seconds; a default without samples."""
    latency = state.latencies.get(service)
    if latency is None or not latency.quantiles.total:
        return DEFAULT_LATENCY_S
    return latency.quantiles.mean


def put_request(state: EntryState, request: OpenRequest) -> EntryState:
    """Stores an open request under its number."""
    table = state.open.set(request.accepted.request, request)
    return replace(state, open=table)
