"""Settings, events and state of a process's part in assigning slices."""

from __future__ import annotations

from dataclasses import dataclass

from immutables import Map

from rosemarydeal.core import Chunk, Incarnation, Member

from .fleet import FleetView, PlacementSettings
from .interface import (
    ChunkRead,
    MemberRead,
    MessageReceived,
    Send,
    Tick,
    WriteChunk,
    WriteConflicted,
    WriteFailed,
    WriteSucceeded,
)
from .loads import LoadEstimates, LoadSettings
from .rebalance import RebalanceSettings, RebalanceState
from .reporting import LoadMeter, LocalLoad, ReportSettings
from .successors import SuccessorSettings
from .zones import ZoneSettings

__all__ = [
    "ControlAction",
    "ControlEvent",
    "ControlSettings",
    "ControlState",
    "DomainProposers",
    "PendingWrite",
    "SettingsChanged",
    "UpstreamsDrained",
    "ZonesChanged",
]


@dataclass(frozen=True, slots=True)
class ControlSettings:
    """Parameters of the assignment of a service's slices.

    Attributes:
        service: The service.
        slices: Number of its base slices.
        placement: Parameters of the placement.
        loads: Parameters of the load estimates.
        rebalance: Parameters of balancing by moves.
        successors: Parameters of balancing successors.
        zones: Parameters for taking availability zones out.
        reports: Parameters of the load reports.
        plan_interval_s: Seconds between two plans of a domain without changes.
        write_timeout_s: Seconds after which a write without an answer is discarded.
        join_quiet_s: Seconds without a new member before the first assignment.
        first_assignment_max_s: Longest delay of the first assignment, in seconds.
        idle_utilisation: Utilisation that is added to the measured load, spread over
            the slices, so that an idle service is balanced by slice count.
    """

    service: str
    slices: int
    placement: PlacementSettings = PlacementSettings()
    loads: LoadSettings = LoadSettings()
    rebalance: RebalanceSettings = RebalanceSettings()
    successors: SuccessorSettings = SuccessorSettings()
    zones: ZoneSettings = ZoneSettings()
    reports: ReportSettings = ReportSettings()
    plan_interval_s: float = 1.0
    write_timeout_s: float = 5.0
    join_quiet_s: float = 1.5
    first_assignment_max_s: float = 4.0
    idle_utilisation: float = 0.02


@dataclass(frozen=True, slots=True)
class ZonesChanged:
    """The set of availability zones that operators have taken out changed."""

    out: frozenset[str]


@dataclass(frozen=True, slots=True)
class UpstreamsDrained:
    """The set of upstreams that operators drain changed; `names` holds all of them."""

    names: frozenset[str]


@dataclass(frozen=True, slots=True)
class SettingsChanged:
    """New settings are in force."""

    settings: ControlSettings


ControlEvent = (
    Tick
    | MemberRead
    | ChunkRead
    | MessageReceived
    | WriteSucceeded
    | WriteConflicted
    | WriteFailed
    | LocalLoad
    | ZonesChanged
    | UpstreamsDrained
    | SettingsChanged
)
ControlAction = WriteChunk | Send


@dataclass(frozen=True, slots=True)
class DomainProposers:
    """First proposer of a domain, and the rank of this process if it has one."""

    first: str
    rank: int | None


@dataclass(frozen=True, slots=True)
class PendingWrite:
    """A write without an answer yet, and the time of its proposal in seconds."""

    chunk: Chunk
    since: float


@dataclass(frozen=True, slots=True)
class ControlState:
    """State of a process's part in assigning slices; times are in seconds.

    Attributes:
        settings: The settings in force.
        node: The process's node.
        seed: Random seed that makes the process's change ids unique.
        members: Newest member records by node.
        chunks: Newest chunks by number.
        zones_out_known: Whether the set of zones taken out was received; without it, a
            process could assign slices to such a zone.
        zones_out: Time at which each zone that is out was first reported as such.
        drained: Names of the upstreams that operators drain.
        ineligible_since: Time since which each live member may own no slices.
        load_estimates: Load estimates.
        meter: Own load since the last report.
        proposers: Proposers of each domain.
        proposer_count: Number of ranked processes.
        rebalance_states: State of the rebalancing by domain.
        successors_checked_at: Time of the last check of each domain's successors.
        pending: Writes without an answer, by change id.
        dirty_since: Time since which a domain's rows may need a change, by domain.
        needs_refresh: Whether members, zones, drains or settings changed since the
            last tick.
        planned_at: Time of each domain's last plan.
        first_join_at: Time at which the first member was read.
        last_join_at: Time at which the newest member was first read.
        reported_at: Time of the last reports.
        report_interval_s: Seconds until the next reports.
    """

    settings: ControlSettings
    node: str
    seed: int
    members: Map[str, MemberRead] = Map()
    chunks: Map[int, ChunkRead] = Map()
    zones_out_known: bool = False
    zones_out: Map[str, float] = Map()
    drained: frozenset[str] = frozenset()
    ineligible_since: Map[Incarnation, float] = Map()
    load_estimates: LoadEstimates = LoadEstimates()
    meter: LoadMeter = LoadMeter()
    proposers: tuple[DomainProposers, ...] = ()
    proposer_count: int = 0
    rebalance_states: Map[int, RebalanceState] = Map()
    successors_checked_at: Map[int, float] = Map()
    pending: Map[str, PendingWrite] = Map()
    dirty_since: Map[int, float] = Map()
    needs_refresh: bool = False
    planned_at: Map[int, float] = Map()
    first_join_at: float | None = None
    last_join_at: float = 0.0
    reported_at: float | None = None
    report_interval_s: float = 1.0

    @property
    def own(self) -> Member | None:
        """Returns the process's own member record, once read."""
        known = self.members.get(self.node)
        return known.member if known else None

    def view(self) -> FleetView:
        """Returns the view of the service for planning."""
        members = tuple(read.member for read in self.members.values())
        slots = sum(member.slots for member in members)
        idle = self.settings.idle_utilisation * slots / self.settings.slices
        estimates = self.load_estimates.slices
        loads = {key: estimate.load + idle for key, estimate in estimates.items()}
        default_load = sum(loads.values()) / len(loads) if loads else 1.0
        return FleetView(
            self.settings.service,
            self.settings.slices,
            members,
            self.chunks,
            self.node,
            loads,
            self.settings.placement,
            frozenset(self.zones_out),
            default_load,
            self.drained,
        )
