"""Monitors the upstream beside the process: announcements, health and load.

An upstream announces itself at the admin port with the id of its incarnation
and repeats the announcement as a heartbeat. A new id means a restart.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

import msgspec
import structlog

from rosemarydeal.core import Address
from rosemarydeal.core.clock import now
from rosemarydeal.policy import guard
from rosemarydeal.proxy import (
    BytesBody,
    Pool,
    PoolSettings,
    ProxyError,
    Request,
    read_bytes,
)

__all__ = ["Announcement", "UpstreamTask"]

POLL_INTERVAL_S = 0.5
UNRESPONSIVE_S = 3.0
POLL_TIMEOUT_S = 1.0
MAX_REPORT_BYTES = 65_536
# Nothing in these answers names the poll, so a connection is not used twice: a late
# copy of one answer would be taken for the next.
POLL_POOL = PoolSettings(connections_per_address=2, idle_per_address=0)

_log = structlog.get_logger()


@dataclass(frozen=True, slots=True)
class Announcement:
    """An announcement of an upstream, sent to the admin port.

    Attributes:
        life: Id of the upstream's incarnation; sent as `life`.
        cold: Whether it is in its cold start.
        leaving: Whether it requests no new work.
    """

    life: str
    cold: bool = True
    leaving: bool = False


@dataclass(frozen=True, slots=True)
class LoadReportBody:
    """The body of a reply of the upstream's load endpoint."""

    running: int
    slots: int


UpstreamEvent = guard.UpstreamStarted | guard.UpstreamGone | guard.UpstreamReported


class UpstreamTask:
    """Owns the state of one upstream's incarnation."""

    def __init__(
        self,
        address: Address,
        on_event: Callable[[UpstreamEvent], None],
        on_leaving: Callable[[], None],
    ) -> None:
        self._address = address
        self._on_event = on_event
        self._on_leaving = on_leaving
        self._pool = Pool(POLL_POOL)
        self._incarnation = ""
        self._announced_at = 0.0
        self._up = False
        self._leaving = False

    @property
    def up(self) -> bool:
        """Returns whether the upstream accepts requests."""
        return self._up

    def announce(self, announcement: Announcement) -> None:
        """Handles an announcement or heartbeat of the upstream."""
        self._announced_at = now()
        if announcement.life != self._incarnation or not self._up:
            self._start_incarnation(announcement)
        if announcement.leaving and not self._leaving:
            self._leaving = True
            _log.info("upstream_leaving")
            self._on_leaving()

    def connect_failed(self) -> None:
        """Marks the upstream as down after a failed connect."""
        self._end_incarnation("connection refused")

    async def run(self) -> None:
        """Polls health and load until cancelled."""
        try:
            while True:
                await asyncio.sleep(POLL_INTERVAL_S)
                if self._up:
                    await self._poll()
        finally:
            await self._pool.close()

    def _start_incarnation(self, announcement: Announcement) -> None:
        """Starts a new incarnation of the upstream."""
        restarted = self._up
        self._incarnation = announcement.life
        self._leaving = False
        if restarted:
            self._end_incarnation("restarted")
        self._up = True
        _log.info("upstream_up", incarnation=announcement.life, cold=announcement.cold)
        self._on_event(guard.UpstreamStarted(announcement.cold))

    def _end_incarnation(self, reason: str) -> None:
        """Ends the current incarnation of the upstream."""
        if not self._up:
            return
        self._up = False
        _log.warning("upstream_down", reason=reason)
        self._on_event(guard.UpstreamGone())

    async def _poll(self) -> None:
        """Queries health and load once."""
        started_at = now()
        try:
            healthy = (await self._get(b"/health"))[0] < 400
            status, body = await self._get(b"/load")
        except ProxyError:
            if now() - self._announced_at > UNRESPONSIVE_S:
                self._end_incarnation("unresponsive")
            return
        load = _load_share(body) if status == 200 else 0.0
        self._on_event(guard.UpstreamReported(load, healthy, now() - started_at))

    async def _get(self, target: bytes) -> tuple[int, bytes]:
        """Queries one of the upstream's endpoints."""
        host = (b"host", str(self._address).encode("ascii"))
        request = Request(b"GET", target, (host,), BytesBody(b""), self._address)
        response = await self._pool.send(self._address, request, POLL_TIMEOUT_S)
        async with response:
            body = await read_bytes(response.body, MAX_REPORT_BYTES)
        return response.status, body


def _load_share(body: bytes) -> float:
    """Returns the reported share of the upstream's slots in use, 0 if malformed."""
    try:
        report = msgspec.json.decode(body, type=LoadReportBody)
    except msgspec.DecodeError:
        return 0.0
    return report.running / max(1, report.slots)
