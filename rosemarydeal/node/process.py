"""Creates, connects, starts and stops the tasks of a process."""

from __future__ import annotations

import asyncio
import secrets
import time

import structlog

from rosemarydeal.core import Address
from rosemarydeal.core.clock import now
from rosemarydeal.core.fleet import Announcement, NodeIdentity, Service
from rosemarydeal.platform import announcements, callers
from rosemarydeal.platform.errors import Unreadable
from rosemarydeal.platform.names import CONFIGURATION_KIND, ZONES_OUT_KIND
from rosemarydeal.platform.rejected_objects import RejectedObjects
from rosemarydeal.platform.store import StoreClient, StoreSettings
from rosemarydeal.platform.upstream import UpstreamClient
from rosemarydeal.policy.requests.planned_stop import PlannedStop
from rosemarydeal.proxy import (
    HttpServer,
    Request,
    Response,
    bytes_response,
    serve,
)

from .caller_limits import DEFAULT_LIMITS, UNCONFIGURED_LIMITS, http_limits
from .crash_watch import CrashHooks
from .entry import Entry
from .guard import ZONE_OUT, Guard, GuardHooks
from .health import UpstreamHealth
from .links import LinkHooks, Links
from .loop_watch import watch_loop
from .membership import Membership
from .memory import request_bodies, unread_answers
from .messages import CrashSuspects, LoadReport, Pong, SuspectCleared
from .metrics import Metrics
from .ownership import Ownership
from .records import MEMBERS, RANGES, Records
from .settings_watch import SettingsWatch
from .start_check import StartCheck
from .store_access import StoreAccess
from .store_watch import StoreWatcher
from .tasks import TaskFailures, Tasks
from .upstream import CallResult, UpstreamState, UpstreamWatch

__all__ = ["NodeProcess"]

# Above the slots of any upstream; the queue enforces the slots.
UPSTREAM_CONNECTIONS = 100
# The platform probes readiness once a second and removes a node after two
# failures.
READINESS_NOTICE_S = 2.2
# Time between the notice to the peers and the rejection of new requests.
LEAVING_NOTICE_S = 0.8
SHUTDOWN_MARGIN_S = 0.5
# Time in which the rejections of the requests that still wait reach their callers.
REJECTION_TIME_S = 0.8

_log = structlog.get_logger()


class NodeProcess:
    """The process beside one upstream, with all its tasks."""

    def __init__(self, identity: NodeIdentity) -> None:
        self._identity = identity
        self._process = f"{time.time_ns():x}-{secrets.token_hex(3)}"
        self._metrics = Metrics()
        self._failures = TaskFailures()
        self._tasks = Tasks(self._failures)
        self._rejected = RejectedObjects()
        self._store = StoreClient(
            StoreSettings(identity.store),
            on_era_changed=lambda: self._store_watcher.end_watches(),
            rejected=self._rejected,
        )
        self._health = UpstreamHealth()
        self._client = UpstreamClient(identity.upstream, UPSTREAM_CONNECTIONS)
        self._bodies = request_bodies(identity)
        self._answers = unread_answers()
        self._links = Links(
            identity.node,
            self._process,
            self._link_hooks(),
            self._failures,
            self._bodies,
            self._answers,
        )
        self._records = Records(self._rejected, identity.node)
        self._access = StoreAccess(self._store, self._records, self._links)
        self._store_watcher = StoreWatcher(
            identity,
            self._store,
            self._access,
            self._records,
            self._links,
            self._failures,
        )
        self._watch = UpstreamWatch(
            identity, self._on_upstream_changed, lambda: self._client.is_connected
        )
        self._ownership = Ownership(
            identity,
            self._records,
            self._access,
            self._links,
            self._client,
            self._watch,
            self._is_keyed,
            lambda: self._store_watcher.shared_reader,
            lambda: self._store_watcher.first_listing(RANGES),
            self._failures,
        )
        self._guard = Guard(
            identity,
            self._client,
            self._watch,
            self._guard_hooks(),
            self._metrics,
            self._failures,
        )
        self._ownership.set_guard(self._guard)
        self._entry = Entry(
            identity,
            self._records,
            self._links,
            self._guard,
            self._health,
            self._metrics,
            self._bodies,
            self._answers,
        )
        self._membership = Membership(
            identity,
            self._process,
            self._records,
            self._access,
            self._links,
            self._client,
            self._watch,
            self._guard,
        )
        self._start_check = StartCheck(
            self._watch, self._client, self._membership.health_path
        )
        self._settings_watch = SettingsWatch(identity, self._apply_settings)
        self._stopping = False
        self._servers: list[HttpServer] = []
        self._callers: HttpServer | None = None
        self._was_zone_out = False

    @property
    def ready(self) -> bool:
        """Returns whether callers may send requests here."""
        return not self._stopping and self._records.configuration is not None

    @property
    def store(self) -> StoreClient:
        """Returns the store client."""
        return self._store

    async def start(self) -> None:
        """Opens all sockets and starts all tasks."""
        identity = self._identity
        for handler, address in (
            (self._answer_readiness, identity.readiness),
            (self._answer_announcement, identity.announcements),
            (self._answer_metrics, identity.metrics),
        ):
            self._servers.append(await serve(handler, address, DEFAULT_LIMITS))
        self._callers = await serve(
            self._entry.handle, identity.callers, UNCONFIGURED_LIMITS
        )
        await self._links.start(identity.peer)
        self._records.subscribe(self._on_records_changed)
        self._store_watcher.start()
        for name, work in (
            ("ownership", self._ownership.run),
            ("heartbeat-check", self._guard.check_heartbeats),
            ("slot-check", self._guard.dispatch_slots.check_regularly),
            ("loop-watch", watch_loop),
            ("member-writes", self._membership.run),
            ("member-removal", self._membership.remove_unreachable),
        ):
            self._tasks.keep_running(name, work)
        _log.info(
            "started",
            process=self._process,
            zone=identity.zone,
            first_start=identity.first_start,
        )

    def follow_settings(self) -> None:
        """Follows the settings file from now on."""
        self._tasks.keep_running("settings-watch", self._settings_watch.run)

    def check_settings(self) -> None:
        """Reads the settings file now, as a signal tells that it has changed."""
        self._settings_watch.check()

    async def wait_failed(self) -> None:
        """Waits until a task has failed in a way that has to end the process."""
        await self._failures.wait_fatal()

    async def shut_down(self) -> None:
        """Completes open requests and closes everything within the grace period."""
        deadline = now() + self._identity.bounds.grace_s - SHUTDOWN_MARGIN_S
        self._stopping = True
        stop = PlannedStop(deadline)
        self._entry.begin_stop(stop)
        self._guard.begin_stop(stop)
        self._membership.stop()
        _log.info(
            "stopping", open=self._entry.open_requests, serving=self._links.serving
        )
        await asyncio.sleep(READINESS_NOTICE_S - LEAVING_NOTICE_S)
        if self._may_retire():
            self._ownership.retire()
            await self._membership.retire()
        if not self._is_keyed() or self._ownership.stop():
            self._links.announce_leaving()
        await asyncio.sleep(LEAVING_NOTICE_S)
        self._guard.stop_accepting()
        reject_in_s = max(0.0, deadline - now() - REJECTION_TIME_S)
        loop = asyncio.get_running_loop()
        loop.call_later(reject_in_s, self._guard.reject_waiting)
        loop.call_later(reject_in_s, self._links.stop_holding)
        await self._callers.drain(max(0.1, deadline - now() - 0.3))
        await self._links.wait_idle(max(0.0, deadline - now()))
        await self._callers.wait_closed(max(0.0, deadline - now()))
        _log.info(
            "stopped", open=self._entry.open_requests, serving=self._links.serving
        )
        await self.close()

    async def close(self) -> None:
        """Closes everything immediately; open requests are cut off."""
        await self._tasks.close()
        await self._ownership.close()
        await self._store_watcher.close()
        await self._access.close()
        await self._links.close()
        for server in [*self._servers, self._callers]:
            if server is not None:
                await server.close()
        await self._client.close()
        await self._store.close()

    def _may_retire(self) -> bool:
        """Returns whether the own member may be removed once its upstream has ended.

        The others take the keys of a removed member at once, so it must not be
        removed while its upstream may hold some. An upstream that has not announced
        itself yet to this process may hold keys, too.
        """
        state = self._watch.state
        if state is None or state.accepting:
            return False
        may_hold = state.alive or self._ownership.may_hold_silently
        return not may_hold or not self._ownership.owned

    def _is_keyed(self) -> bool:
        """Returns whether the own service is keyed."""
        service = self._own_service()
        return service is not None and service.keyed

    def _own_service(self) -> Service | None:
        """Returns the settings of the own service, if they are known."""
        configuration = self._records.configuration
        if configuration is None:
            return None
        return configuration.services.get(self._identity.service)

    def _is_zone_out(self) -> bool:
        """Returns whether operators took the own zone out."""
        return self._identity.zone in self._records.zones_out

    def _link_hooks(self) -> LinkHooks:
        """Builds the callbacks of the links."""
        return LinkHooks(
            serve=lambda request, permit: self._guard.serve(request, permit),
            load=self._load,
            pong=self._pong,
            known_revisions=lambda: self._records.known_revisions,
            on_known_revisions=lambda source, revisions: (
                self._store_watcher.on_known_revisions(source, revisions)
            ),
            fetch=lambda kind: self._records.listing(kind),
            on_object_listing=lambda listing: self._records.apply_peer_listing(listing),
            on_object_update=lambda update: self._records.apply_update(update),
            on_object_changes=lambda source, changes: (
                self._store_watcher.apply_peer_changes(source, changes)
            ),
            on_table_delta=lambda delta: self._records.apply_table_delta(delta),
            crash_suspects=self._shared_suspects,
            on_crash_suspects=lambda suspects: self._guard.add_crash_suspects(
                suspects.to_records()
            ),
            on_suspect_cleared=lambda cleared: self._guard.clear_suspect(
                cleared.fingerprint, cleared.crashes
            ),
            on_store_silence=lambda: self._store_watcher.renew_watches(),
            relay_store_call=lambda call: self._access.relay(call),
        )

    def _guard_hooks(self) -> GuardHooks:
        """Builds the callbacks of the guard."""
        return GuardHooks(
            admits=self._ownership.admits,
            zone_out=self._is_zone_out,
            crashes=CrashHooks(
                on_crash=lambda records: self._links.broadcast(
                    CrashSuspects(
                        tuple(record.fingerprint for record in records), tuple(records)
                    )
                ),
                on_cleared=lambda fingerprint, crashes: self._links.broadcast(
                    SuspectCleared(fingerprint, crashes)
                ),
            ),
            service=self._own_service,
        )

    def _shared_suspects(self) -> CrashSuspects | None:
        """Returns the known suspects of crashes, None if there are none."""
        records = self._guard.crash_suspects.shared_records(now())
        return CrashSuspects((), tuple(records)) if records else None

    def _load(self) -> LoadReport:
        """Returns the load of the own upstream."""
        return LoadReport(
            self._guard.running,
            self._guard.waiting,
            self._guard.slots,
            round(100 * self._guard.demand),
            round(100 * self._guard.slowdown),
            round(100 * self._guard.limit_demand),
            round(1000 * self._guard.limit_delay_s),
        )

    def _pong(self) -> Pong:
        """Builds the answer to a ping."""
        return Pong(
            self._records.known_revisions,
            self._load(),
            self._store_watcher.reads_store,
        )

    def _on_records_changed(self, kind: str) -> None:
        """Applies a change of the store's objects."""
        if kind == CONFIGURATION_KIND:
            if self._records.configuration is not None:
                self._entry.configure(self._records.configuration)
                self._callers.set_limits(
                    http_limits(self._records.configuration.limits)
                )
                self._guard.on_service_changed()
        elif kind == ZONES_OUT_KIND:
            self._on_zones_changed()
        elif kind == MEMBERS:
            self._links.set_members(self._records.members)
            if self._membership.has_predecessor:
                self._entry.note_predecessor()
            self._membership.republish_if_changed()
        elif kind == RANGES:
            self._ownership.on_table_changed()

    def _apply_settings(self, settings: NodeIdentity) -> None:
        """Applies changed settings."""
        store_moved = settings.store != self._identity.store
        self._identity = settings
        for component in (self._entry, self._guard, self._watch):
            component.apply_settings(settings)
        if store_moved:
            self._tasks.spawn("store-move", self._move_store(settings.store))

    async def _move_store(self, address: Address) -> None:
        """Calls the store at another address from now on."""
        await self._store.set_address(address)
        self._store_watcher.end_watches()

    def _on_zones_changed(self) -> None:
        """Stops or resumes dispatching when operators take the zone out or back."""
        out = self._is_zone_out()
        if out == self._was_zone_out:
            return
        self._was_zone_out = out
        if out:
            self._guard.close_queue(ZONE_OUT)
        else:
            service = self._own_service()
            if service is not None:
                self._guard.mark_cold(service.cold_period_s, service.cold_per_s)
            self._guard.reopen_queue()
        self._ownership.on_table_changed()

    def _on_upstream_changed(
        self, state: UpstreamState, old: UpstreamState | None
    ) -> None:
        """Applies a change of the upstream's state."""
        self._guard.apply_upstream_state(state, old)
        if self._is_zone_out():
            self._guard.close_queue(ZONE_OUT)
        changed = (
            old is None
            or old.incarnation != state.incarnation
            or old.accepting != state.accepting
            or old.alive != state.alive
            or old.silent != state.silent
        )
        if changed:
            self._ownership.on_upstream_changed()
            self._membership.publish()
            self._membership.restore_leaving()

    async def _answer_readiness(self, request: Request) -> Response:
        """Answers the platform's readiness probe."""
        return callers.readiness_response(self.ready)

    async def _answer_announcement(self, request: Request) -> Response:
        """Handles an announcement or departure of the upstream."""
        try:
            call = await announcements.decode_call(request)
        except Unreadable as error:
            _log.warning("announcement_unreadable", detail=error.detail)
            return announcements.reject()
        match await self._start_check.apply(call), call:
            case CallResult.FOREIGN, _:
                return announcements.reject()
            case CallResult.UNCONFIRMED, _:
                return announcements.refuse_unconfirmed()
            case CallResult.APPLIED, Announcement():
                statement = await self._ownership.answer_heartbeat(call)
                return announcements.acknowledge(statement)
            case _:
                return announcements.acknowledge()

    async def _answer_metrics(self, request: Request) -> Response:
        """Serves the metrics page."""
        for name, value in (
            ("running", self._guard.running),
            ("waiting", self._guard.waiting),
            ("slots", self._guard.slots),
            ("demand", self._guard.demand),
            ("limit_demand", self._guard.limit_demand),
            ("rate_limit_per_s", self._guard.rate_limit_per_s),
            ("sent_per_s", self._guard.sent_per_s),
            ("key_ranges", len(self._ownership.owned)),
            ("suspicions_refuted", self._ownership.suspicions_refuted),
            ("grants_withheld", self._ownership.grants_withheld),
            ("peer_links", len(self._links.up)),
            ("peer_links_silent_total", self._links.found_silent),
            ("store_reachable", self._access.reachable),
            ("store_era", self._store.era),
            ("operator_changes_behind_seconds", self._store_watcher.behind_s),
            ("operator_changes_repeated", self._store_watcher.changes_repeated),
            ("crash_suspects", self._guard.crash_suspects.count),
            ("crash_suspects_blocked", self._guard.crash_suspects.blocked_count),
            ("starts_unconfirmed", self._start_check.refused),
            ("body_room_bytes", self._bodies.left_bytes),
            ("answer_room_bytes", self._answers.left_bytes),
        ):
            self._metrics.set_gauge(name, value)
        self._metrics.count_store_calls(self._store.calls)
        self._metrics.count_rejected_objects(self._rejected.counts)
        self._metrics.count_task_failures(self._failures.counts)
        self._metrics.count_leaked_slots(self._guard.dispatch_slots.leaked)
        self._metrics.count_messages(self._links.sent, self._links.sent_bytes)
        kind = ((b"content-type", b"text/plain; version=0.0.4"),)
        return bytes_response(200, self._metrics.render(), kind)
