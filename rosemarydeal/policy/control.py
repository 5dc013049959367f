"""A process's part in assigning slices: proposals, balancing and load reports.

The driver passes each event to `step` and executes the returned actions.
"""

from __future__ import annotations

from dataclasses import replace

from immutables import Map

from rosemarydeal.core import Incarnation, SliceId
from rosemarydeal.core.messages import LoadReport

from .control_state import (
    ControlAction,
    ControlEvent,
    ControlSettings,
    ControlState,
    DomainProposers,
    SettingsChanged,
    UpstreamsDrained,
    ZonesChanged,
)
from .fleet import FleetView, domain_of_chunk
from .interface import (
    ChunkRead,
    MemberRead,
    MessageReceived,
    Send,
    Tick,
    WriteConflicted,
    WriteFailed,
    WriteSucceeded,
)
from .loads import LoadEstimates
from .placement import ranking
from .proposals import propose_due
from .reporting import LoadMeter, LocalLoad, make_reports, report_period
from .zones import ZoneVerdict, judge_zones_out

__all__ = [
    "ControlAction",
    "ControlEvent",
    "ControlSettings",
    "ControlState",
    "LocalLoad",
    "SettingsChanged",
    "UpstreamsDrained",
    "ZonesChanged",
    "judge_zones",
    "start",
    "step",
]

StepResult = tuple[ControlState, tuple[ControlAction, ...]]


def start(settings: ControlSettings, node: str, seed: int) -> ControlState:
    """Returns the initial state of a process.

    Args:
        settings: The settings in force.
        node: The process's node.
        seed: Random seed that differs between starts of the process.
    """
    return ControlState(
        settings, node, seed, load_estimates=LoadEstimates(settings.loads)
    )


def step(state: ControlState, event: ControlEvent, now: float) -> StepResult:
    """Processes an event and returns the actions to execute.

    Args:
        state: The process's state.
        event: The event.
        now: Current time, in seconds.

    Returns:
        The new state and the actions, in order.
    """
    match event:
        case Tick():
            return _tick(state, now)
        case MemberRead():
            return _member_read(state, event, now), ()
        case ChunkRead():
            return _chunk_read(state, event, now), ()
        case MessageReceived(message=LoadReport() as report):
            return replace(
                state, load_estimates=state.load_estimates.observe(report, now)
            ), ()
        case WriteSucceeded(change_id, version):
            return _write_succeeded(state, change_id, version, now), ()
        case WriteConflicted(change_id) | WriteFailed(change_id):
            return _write_failed(state, change_id), ()
        case LocalLoad():
            return replace(state, meter=state.meter.add(event)), ()
        case ZonesChanged(out):
            return _zones_changed(state, out, now), ()
        case UpstreamsDrained(names):
            return replace(state, drained=names, needs_refresh=True), ()
        case SettingsChanged(settings):
            return _settings_changed(state, settings), ()
        case _:
            return state, ()


def judge_zones(state: ControlState, out: frozenset[str], forced: bool) -> ZoneVerdict:
    """Judges from this process's load estimates whether zones may be taken out.

    Args:
        state: The process's state.
        out: All zones that would be out.
        forced: Whether the operator overrides the limit and an unknown load.
    """
    view = state.view()
    live = view.live()
    known = [state.load_estimates.members.get(name) for name in live]
    busy_slots: float | None = None
    if known and all(known):
        pairs = zip(live.values(), known, strict=True)
        busy_slots = sum(member.slots * load.utilisation for member, load in pairs)
    changed_view = replace(view, out_zones=out)
    return judge_zones_out(changed_view, busy_slots, forced, state.settings.zones)


def _member_read(state: ControlState, read: MemberRead, now: float) -> ControlState:
    """Stores a member record; one that is not newer is ignored."""
    known = state.members.get(read.member.node)
    if known is not None and read.version <= known.version:
        return state
    if read.member.service != state.settings.service:
        return state
    members = state.members.set(read.member.node, read)
    state = replace(state, members=members)
    if known is None:
        first = now if state.first_join_at is None else state.first_join_at
        state = replace(state, first_join_at=first, last_join_at=now)
    return replace(state, needs_refresh=True)


def _refresh_members(state: ControlState, now: float) -> ControlState:
    """Recomputes the proposers and ineligible members, and marks all domains dirty.

    Runs at the next tick rather than per record, as records often arrive in bulk.
    """
    view = state.view()
    live, eligible = view.live(), view.eligible()
    proposers = tuple(_proposers(view, domain) for domain in range(view.domain_count))
    ineligible_since = {
        name: state.ineligible_since.get(name, now)
        for name in live
        if name not in eligible
    }
    return replace(
        state,
        proposers=proposers,
        proposer_count=len(live),
        ineligible_since=Map(ineligible_since),
        dirty_since=Map(dict.fromkeys(range(view.domain_count), now)),
        needs_refresh=False,
    )


def _proposers(view: FleetView, domain: int) -> DomainProposers:
    """Returns the first proposer of a domain and the rank of this process."""
    ranked = ranking(view, domain)
    rank = ranked.index(view.self_node) if view.self_node in ranked else None
    return DomainProposers(ranked[0] if ranked else "", rank)


def _chunk_read(state: ControlState, read: ChunkRead, now: float) -> ControlState:
    """Stores a chunk; one that is not newer is ignored."""
    if read.chunk.service != state.settings.service:
        return state
    known = state.chunks.get(read.chunk.number)
    if known is not None and read.version <= known.version:
        return state
    domain = domain_of_chunk(read.chunk.number)
    return replace(
        state,
        chunks=state.chunks.set(read.chunk.number, read),
        dirty_since=state.dirty_since.set(domain, now),
    )


def _write_succeeded(
    state: ControlState, change_id: str, version: int, now: float
) -> ControlState:
    pending = state.pending.get(change_id)
    if pending is None:
        return state
    state = replace(state, pending=state.pending.delete(change_id))
    return _chunk_read(state, ChunkRead(version, pending.chunk), now)


def _write_failed(state: ControlState, change_id: str) -> ControlState:
    if change_id not in state.pending:
        return state
    return replace(state, pending=state.pending.delete(change_id))


def _zones_changed(
    state: ControlState, out: frozenset[str], now: float
) -> ControlState:
    zones_out = Map({zone: state.zones_out.get(zone, now) for zone in sorted(out)})
    return replace(state, zones_out=zones_out, zones_out_known=True, needs_refresh=True)


def _settings_changed(state: ControlState, settings: ControlSettings) -> ControlState:
    load_estimates = replace(state.load_estimates, settings=settings.loads)
    return replace(
        state, settings=settings, load_estimates=load_estimates, needs_refresh=True
    )


def _tick(state: ControlState, now: float) -> StepResult:
    """Reports the process's own load and plans the domains that are due."""
    if state.needs_refresh:
        state = _refresh_members(state, now)
    state, sends = _send_reports(state, now)
    state, writes = propose_due(state, now)
    return state, (*sends, *writes)


def _owned_slices(state: ControlState, name: Incarnation) -> frozenset[SliceId]:
    """Returns the slices that an incarnation owns in the newest known rows."""
    chunks = (read.chunk for read in state.chunks.values())
    return frozenset(
        row.slice for chunk in chunks for row in chunk.rows if row.owner == name
    )


def _send_reports(
    state: ControlState, now: float
) -> tuple[ControlState, tuple[Send, ...]]:
    """Sends the load since the last reports if the next ones are due."""
    due = (
        state.reported_at is None or now - state.reported_at >= state.report_interval_s
    )
    own = state.own
    if not due or own is None or not state.meter.count:
        return state, ()
    settings = state.settings.reports
    # The load of a slice that has moved away would be counted twice.
    meter = state.meter.restricted_to(_owned_slices(state, own.incarnation))
    reports = make_reports(meter, own.incarnation, len(state.proposers), settings)
    sends: list[Send] = []
    load_estimates = state.load_estimates
    for domain, report in reports.items():
        first = state.proposers[domain].first if domain < len(state.proposers) else ""
        if first == state.node:
            load_estimates = load_estimates.observe(report, now)
        elif first:
            sends.append(Send(first, report))
    state = replace(
        state,
        load_estimates=load_estimates.discard_old(now),
        meter=LoadMeter(),
        reported_at=now,
        report_interval_s=report_period(reports, settings),
    )
    return state, tuple(sends)
