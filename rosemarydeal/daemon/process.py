"""Builds and runs the tasks of the process beside an upstream."""

from __future__ import annotations

import asyncio
import secrets
from collections.abc import Coroutine

import structlog

from rosemarydeal.core import SliceId, Versioned, chunk_of, key_hash
from rosemarydeal.core.clock import now
from rosemarydeal.core.operator import CONFIG_KEY
from rosemarydeal.core.status import NodeStatus, SliceStatus
from rosemarydeal.objects import Platform, PlatformClient, PlatformSettings
from rosemarydeal.peers import PeerCounters, PeerLink
from rosemarydeal.policy import alarms, guard, ownership
from rosemarydeal.policy.interface import (
    DrainRequested,
    IncarnationLost,
    LeaveRequested,
    NodeSuspected,
    SliceIdle,
    UpstreamDied,
    UpstreamReady,
)
from rosemarydeal.policy.zones import ZoneSettings, may_admit_when_out
from rosemarydeal.proxy import HttpServer
from rosemarydeal.settings import NodeSettings

from . import objects
from .admin import AdminViews, serve_admin
from .configuration import (
    ActiveConfiguration,
    adopt,
    control_settings,
    entry_settings,
    guard_settings,
    ownership_settings,
)
from .control import ControlHooks, ControlTask, GuardNotice
from .entry import EntryTask, FleetView
from .guard import GuardHooks, GuardTask
from .listeners import Listeners
from .metrics import Metrics
from .operators import OperatorExclusions, adopt_exclusions
from .peer_router import PeerRouter
from .records import RecordsTask
from .routes import RoutesView
from .startup import join_settings, link_settings, seed_name, versions_state
from .status import slice_status, with_guard, with_ownership
from .upstream import UpstreamEvent, UpstreamTask

__all__ = ["RouterProcess"]

LEAVE_GRACE_S = 0.3
LOAD_PERIOD_S = 1.0
ALARM_PERIOD_S = 1.0

_log = structlog.get_logger()


class RouterProcess:
    """Owns all tasks of one process."""

    def __init__(self, settings: NodeSettings) -> None:
        self._settings = settings
        self._metrics = Metrics()
        self._platform = PlatformClient(PlatformSettings(settings.platform))
        self._link = PeerLink(link_settings(settings))
        self._peer_router = PeerRouter(settings.node, self._link)
        self._records = RecordsTask(
            self._platform,
            versions_state(settings),
            self._peer_router,
            join_settings(settings),
        )
        self._configuration = ActiveConfiguration()
        self._exclusions = OperatorExclusions()
        self._excluded_since: float | None = None
        self._alarms = alarms.AlarmState()
        self._configured = asyncio.Event()
        self._failed = asyncio.Event()
        self._tasks: list[asyncio.Task[None]] = []
        self._control: ControlTask | None = None
        self._admin: HttpServer | None = None
        self._upstream = UpstreamTask(
            settings.upstream, self._on_upstream_event, self._drain_for_upstream
        )
        self._guard = GuardTask(
            guard_settings(self._configuration, settings),
            settings.upstream,
            self._guard_hooks(),
        )
        self._entry = EntryTask(
            self._fleet_view(),
            self._guard,
            self._get_configuration,
            self._metrics,
            secrets.randbits(64),
        )
        self._listeners = Listeners(settings.entry_host, self._entry)
        self._records.subscribe(self._peer_router.update_from_member)
        self._records.subscribe(self._on_object)
        self._peer_router.route_to(
            records=self._records.on_message,
            suspects=lambda _, notice: self._guard.post(
                guard.CrashSuspectsReceived(notice)
            ),
            ledgers=lambda _, ledger: self._guard.post(guard.LedgerReceived(ledger)),
        )

    @property
    def settings(self) -> NodeSettings:
        """Returns the settings of the process."""
        return self._settings

    @property
    def platform(self) -> Platform:
        """Returns the platform client."""
        return self._platform

    @property
    def peer_counters(self) -> PeerCounters:
        """Returns the counters of the peer link."""
        return self._link.counters

    @property
    def failed(self) -> asyncio.Event:
        """Returns the event that is set if a task of the process fails."""
        return self._failed

    async def start(self) -> None:
        """Starts all tasks; ownership starts once a configuration is active."""
        await self._link.start()
        views = AdminViews(
            self.status, self.locate, self._render_metrics, self._upstream.announce
        )
        self._admin = await serve_admin(self._settings, views)
        for position, seed in enumerate(self._settings.seeds):
            self._peer_router.set_address(
                seed_name(position), seed.peer, seed.public_key
            )
        for run in (
            self._peer_router.run,
            self._records.run,
            self._records.exchange,
            self._guard.run,
            self._upstream.run,
        ):
            self._spawn(run())
        self._spawn(self._run_when_configured())
        self._spawn(self._update_alarms())
        _log.info("started", node=self._settings.node)

    async def shut_down(self, timeout_s: float) -> bool:
        """Hands over all slices, finishes the running requests and stops.

        Args:
            timeout_s: Maximum time for the shutdown, in seconds.

        Returns:
            Whether all requests finished in time.
        """
        _log.info("draining", node=self._settings.node)
        deadline = now() + timeout_s
        if self._control is not None:
            self._control.post(DrainRequested())
            await self._control.wait_drained(deadline - now())
            self._control.post(LeaveRequested())
        clean = await self._listeners.drain(max(0.0, deadline - now()))
        await asyncio.sleep(LEAVE_GRACE_S)
        await self.stop()
        _log.info("stopped", node=self._settings.node, clean=clean)
        return clean

    async def stop(self) -> None:
        """Stops at once, without handing over slices."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self._listeners.close()
        if self._admin is not None:
            await self._admin.close()
        await self._guard.close()
        await self._entry.close()
        await self._link.close()
        await self._platform.close()

    def status(self) -> NodeStatus:
        """Returns the status of the process for operators."""
        status = NodeStatus(
            node=self._settings.node,
            service=self._settings.service,
            availability_zone=self._settings.availability_zone,
            config_version=self._configuration.version,
            operator_versions=self._exclusions.versions,
            upstream_up=self._upstream.up,
            platform_reachable=self._records.reachable,
            alarms=alarms.alarms(self._alarms, now()),
        )
        status = with_guard(status, self._guard.state)
        if self._control is None:
            return status
        excluded = self._exclusions.excludes(self._settings.place)
        return with_ownership(status, self._control.state, excluded)

    def locate(self, service: str, key: str) -> SliceStatus | None:
        """Returns the status of a key's slice, None for a service without keys."""
        deployment = self._configuration.deployment
        service_settings = (
            deployment.services.get(service) if deployment is not None else None
        )
        if (
            service_settings is None
            or not service_settings.keyed
            or self._control is None
        ):
            return None
        digest = key_hash(key)
        state = self._control.state
        slice_id = ownership.slice_of_key(
            state, service, digest, service_settings.slices
        )
        return slice_status(state, self._settings.node, slice_id)

    def _spawn(self, work: Coroutine[None, None, None]) -> None:
        """Starts a task whose failure stops the process."""
        task = asyncio.create_task(work)
        task.add_done_callback(self._on_task_done)
        self._tasks.append(task)

    def _on_task_done(self, task: asyncio.Task[None]) -> None:
        """Logs the failure of a task and marks the process as failed."""
        if task.cancelled() or task.exception() is None:
            return
        _log.critical("task_failed", exc_info=task.exception())
        self._failed.set()

    def _get_configuration(self) -> ActiveConfiguration:
        """Returns the active configuration."""
        return self._configuration

    def _render_metrics(self) -> bytes:
        """Updates the gauges and returns all metrics in the text format."""
        status = self.status()
        metrics = self._metrics
        metrics.owned.set(status.owned)
        metrics.lease_left.set(status.lease_left_s)
        metrics.running.set(status.running)
        metrics.queued.set(status.queued)
        metrics.limit.set(status.limit)
        metrics.config_version.set(status.config_version)
        metrics.platform_up.set(status.platform_reachable)
        metrics.platform_calls.set(self._platform.calls)
        counters = self._link.counters
        metrics.peer_bytes.labels("sent").set(counters.sent_bytes)
        metrics.peer_bytes.labels("received").set(counters.received_bytes)
        metrics.peer_dropped.labels("malformed").set(counters.malformed)
        metrics.peer_dropped.labels("send").set(counters.dropped_send)
        metrics.peer_dropped.labels("receive").set(counters.dropped_receive)
        return metrics.render()

    def _guard_hooks(self) -> GuardHooks:
        """Returns the callbacks from the guard to the other tasks."""
        return GuardHooks(
            may_admit=self._may_admit,
            slice_ownership=lambda s: (
                self._control.slice_ownership(s) if self._control else None
            ),
            on_idle=lambda s: self._control.post(SliceIdle(s)),
            on_connect_failed=self._upstream.connect_failed,
            on_suspects=self._broadcast_suspects,
            on_ledger=self._hand_over_ledger,
        )

    def _fleet_view(self) -> FleetView:
        """Returns the entry's access to the fleet, by the state of ownership."""
        return FleetView(
            node=self._settings.node,
            service=self._settings.service,
            slice=self._slice_of_key,
            member=lambda n: self._control.member(n) if self._control else None,
            on_suspect=self._suspect_node,
            on_refresh=self._refresh_row,
            routes=RoutesView(
                lambda: self._control.state if self._control else None
            ).respond,
        )

    def _suspect_node(self, node: str) -> None:
        """Reports an unresponsive node, so that its lease is probed."""
        if self._control is not None:
            self._control.post(NodeSuspected(node))

    def _refresh_row(self, slice_id: SliceId) -> None:
        """Refreshes the row of a slice in the background."""
        key = objects.chunk_key(slice_id.service, chunk_of(slice_id))
        self._records.refresh(key)

    def _slice_of_key(self, base: SliceId, key: str) -> SliceId:
        """Returns the slice of a key, given its base slice."""
        slices = self._configuration.deployment.services[base.service].slices
        return self._control.slice(base, key, slices) if self._control else base

    async def _run_when_configured(self) -> None:
        """Runs ownership once a configuration is active."""
        await self._configured.wait()
        identity = ownership.Identity(
            node=self._settings.node,
            service=self._settings.service,
            place=self._settings.place,
            peer=self._link.address,
            entry_host=self._settings.entry_host,
            admin=self._settings.admin,
            public_key=self._settings.public_key,
            slots=self._configuration.own.limits.slots,
        )
        state = ownership.start(
            ownership_settings(self._configuration.own),
            identity,
            now(),
            secrets.randbits(64),
        )
        self._control = ControlTask(
            state,
            self._platform,
            self._records,
            self._peer_router,
            ControlHooks(self._on_notice, self._entry.post),
        )
        self._peer_router.set_default_receiver(self._control.on_message)
        self._control.replay()
        self._control.apply_exclusions(self._exclusions)
        self._apply_configuration()
        self._spawn(self._report_load())
        self._spawn(self._apply_exclusions_when_complete())
        if self._upstream.up:
            self._control.post(UpstreamReady())
        await self._control.run()

    async def _apply_exclusions_when_complete(self) -> None:
        """Starts placement once the exclusions of the operators have been read."""
        await self._records.complete.wait()
        self._control.apply_exclusions(self._exclusions)

    async def _report_load(self) -> None:
        """Reports the load of the own upstream periodically until cancelled."""
        while True:
            await asyncio.sleep(LOAD_PERIOD_S)
            if self._control is not None:
                self._control.on_load(self._guard.read_load())

    async def _update_alarms(self) -> None:
        """Updates the alarms periodically until cancelled."""
        while True:
            self._alarms = alarms.observe(self._alarms, self.status(), now())
            await asyncio.sleep(ALARM_PERIOD_S)

    def _on_object(self, versioned: Versioned) -> None:
        """Applies a newer configuration or newer exclusions by operators."""
        if versioned.key == CONFIG_KEY:
            self._on_configuration(versioned)
        else:
            self._on_exclusions(versioned)

    def _on_exclusions(self, versioned: Versioned) -> None:
        """Applies newer exclusions by operators."""
        exclusions = adopt_exclusions(self._exclusions, versioned)
        if exclusions is self._exclusions:
            return
        self._exclusions = exclusions
        if not exclusions.excludes(self._settings.place):
            self._excluded_since = None
        elif self._excluded_since is None:
            self._excluded_since = now()
        zones, upstreams = (
            sorted(exclusions.zones.names),
            sorted(exclusions.upstreams.names),
        )
        _log.info("exclusions_applied", zones_out=zones, upstreams_drained=upstreams)
        if self._control is not None:
            self._control.apply_exclusions(exclusions)

    def _on_configuration(self, versioned: Versioned) -> None:
        """Activates a newer configuration."""
        adopted = adopt(self._configuration, versioned, self._settings)
        if adopted is self._configuration:
            return
        self._configuration = adopted
        self._guard.post(guard.SettingsChanged(guard_settings(adopted, self._settings)))
        self._apply_configuration()
        self._configured.set()

    def _apply_configuration(self) -> None:
        """Passes the settings of the active configuration to the tasks."""
        deployment = self._configuration.deployment
        if deployment is None:
            return
        own = deployment.services.get(self._settings.service)
        if self._control is not None and own is not None:
            self._control.configure_placement(
                control_settings(self._configuration, own)
            )
        self._entry.configure(entry_settings(self._configuration, self._settings))
        self._listeners.apply(self._configuration)

    def _on_notice(self, notice: GuardNotice) -> None:
        """Records a notice of the ownership policy and passes it to the guard."""
        match notice:
            case IncarnationLost():
                self._metrics.lapses.inc()
                _log.warning("lease_lapsed")
            case guard.OwnershipGained(slice_id, token):
                self._metrics.right_changes.labels("gained").inc()
                _log.info("ownership_gained", slice=slice_id.index, token=token)
                self._guard.post(notice)
                self._entry.post(notice)
            case guard.OwnershipLost(slice_id):
                self._metrics.right_changes.labels("lost").inc()
                _log.info("ownership_lost", slice=slice_id.index)
                self._guard.post(notice)
                self._entry.post(notice)
            case _:
                self._guard.post(notice)

    def _on_upstream_event(self, event: UpstreamEvent) -> None:
        """Passes an event of the upstream to the guard and the ownership policy."""
        self._guard.post(event)
        if self._control is None:
            return
        match event:
            case guard.UpstreamStarted():
                self._control.post(UpstreamReady())
            case guard.UpstreamGone():
                self._metrics.crashes.inc()
                self._control.post(UpstreamDied())

    def _drain_for_upstream(self) -> None:
        """Hands over all slices because the upstream is leaving."""
        if self._control is not None:
            self._control.post(DrainRequested())

    def _may_admit(self) -> bool:
        """Returns whether the operators' exclusions allow new work here."""
        return may_admit_when_out(self._excluded_since, now(), ZoneSettings())

    def _broadcast_suspects(self, action: guard.BroadcastCrashSuspects) -> None:
        """Broadcasts a notice of crash suspects to all processes of the service."""
        if self._control is not None:
            self._control.broadcast(self._settings.service, action.notice)

    def _hand_over_ledger(self, action: guard.HandOverLedger) -> None:
        """Sends the ledger of a slice to the nodes in its succession."""
        if self._control is not None:
            self._control.send_to_names(action.slice, action.ledger)
