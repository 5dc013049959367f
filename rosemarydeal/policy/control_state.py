"""Holds the settings, events and state of a process's share of control."""

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
    """Gathers the settings of a service's control.

    Attributes:
        service: The service.
        slices: Number of its base slices.
        placement: Tunes where slices go.
        loads: Tunes the load estimates.
        rebalance: Tunes the moves for balance.
        successors: Tunes when successors are changed for balance.
        zones: Tunes how availability zones leave.
        reports: Tunes the load reports.
        plan_interval_s: Seconds between two looks at the balance.
        write_timeout_s: Seconds after which a write without an answer is given up.
        join_quiet_s: Seconds without a new member before the first assignment.
        first_assignment_max_s: Longest delay of the first assignment, in seconds.
        idle_utilisation: Utilisation that slices count for besides their own load, so
            that an idle service is balanced by the number of slices.
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
    """Says which availability zones are taken out, by the settings in force."""

    out: frozenset[str]


@dataclass(frozen=True, slots=True)
class UpstreamsDrained:
    """Names all upstreams that operators drain; the others' drains are over."""

    names: frozenset[str]


@dataclass(frozen=True, slots=True)
class SettingsChanged:
    """Says that other settings are in force."""

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
    """Says who proposes a domain first and where this process ranks."""

    first: str
    rank: int | None


@dataclass(frozen=True, slots=True)
class PendingWrite:
    """Remembers a write that has no answer yet."""

    chunk: Chunk
    since: float


@dataclass(frozen=True, slots=True)
class ControlState:
    """Holds all that a process's share of control knows.

    Attributes:
        settings: The settings in force.
        node: The process's node.
        seed: Random seed that makes its change ids unique.
        members: Newest member records by node.
        chunks: Newest chunks by number.
        zones_out_known: Whether the zones taken out have been told; before that, a
            process could give slices back to one.
        zones_out: Moment at which each absent zone was learnt to be out.
        drained: Names of the upstreams that operators drain.
        ineligible_since: Moment from which each live owner is to give its slices up.
        load_estimates: Load estimates.
        meter: Own load since the last report.
        proposers: Who proposes each domain.
        proposer_count: How many processes are ranked.
        rebalance_states: What the rebalancing did, by domain.
        successors_checked_at: Moment of the last look at each domain's successors.
        pending: Writes without an answer, by change id.
        dirty_since: Domains whose rows may need a change, and since when.
        needs_refresh: Whether members or orders changed since the last tick.
        planned_at: Moment of each domain's last plan.
        first_join_at: Moment at which the first member was read.
        last_join_at: Moment at which the newest member was first read.
        reported_at: Moment of the last reports.
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
        """Returns the view that the placement decides on."""
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
