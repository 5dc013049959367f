"""Fetches the routing table of a service from its entries."""

from __future__ import annotations

import asyncio
import uuid

import structlog

from rosemarydeal.core import Address
from rosemarydeal.core import headers as names
from rosemarydeal.core.routes import ROUTES_PATH, decode_routes
from rosemarydeal.proxy import BytesBody, Pool, ProxyError, Request, read_bytes

from .route_cache import RouteCache
from .settings import CallerSettings

__all__ = ["RouteFetcher"]

NO_PEER = Address("", 0)
HTTP_OK = 200
MAX_ENTRIES_QUERIED = 8

log = structlog.get_logger(__name__)


class RouteFetcher:
    """Keeps a route cache up to date, with at most one fetch at a time."""

    def __init__(
        self, settings: CallerSettings, pool: Pool, routes: RouteCache
    ) -> None:
        self._settings = settings
        self._pool = pool
        self._routes = routes
        self._last_fetch_at = float("-inf")
        self._fetch_task: asyncio.Task[None] | None = None

    async def refresh(self) -> None:
        """Fetches the table now, or waits for the fetch in progress."""
        if self._fetch_task is None:
            self._start_fetch()
        await asyncio.shield(self._fetch_task)

    def refresh_if_older(self, min_age_s: float) -> None:
        """Starts a fetch in the background if the last one is old enough.

        Args:
            min_age_s: Minimum time since the start of the last fetch, in seconds.
        """
        age = asyncio.get_running_loop().time() - self._last_fetch_at
        if self._fetch_task is None and age >= min_age_s:
            self._start_fetch()

    async def wait_for_first_table(self, deadline: float) -> None:
        """Waits for the first table, unless a fetch has just ended.

        Args:
            deadline: Time until which to wait, on the event loop's clock.
        """
        self.refresh_if_older(self._settings.routes_pause_s)
        if self._fetch_task is None:
            return
        try:
            async with asyncio.timeout_at(deadline):
                await asyncio.shield(self._fetch_task)
        except TimeoutError:
            return

    async def close(self) -> None:
        """Cancels the fetch in progress."""
        if self._fetch_task is not None:
            self._fetch_task.cancel()
            await asyncio.wait({self._fetch_task})

    def _start_fetch(self) -> None:
        """Starts a fetch."""
        self._last_fetch_at = asyncio.get_running_loop().time()
        self._fetch_task = asyncio.create_task(self._fetch())
        self._fetch_task.add_done_callback(self._clear_fetch_task)

    def _clear_fetch_task(self, _task: asyncio.Task[None]) -> None:
        """Allows the next fetch."""
        self._fetch_task = None

    async def _fetch(self) -> None:
        """Queries entries in turn until one returns the routes."""
        loop = asyncio.get_running_loop()
        queried: set[Address] = set()
        for _ in range(MAX_ENTRIES_QUERIED):
            entry = self._routes.next_destination(None, queried, loop.time()).entry
            if entry in queried:
                return
            queried.add(entry)
            try:
                await self._fetch_from(entry)
            except ProxyError as error:
                log.info("routes_fetch_failed", entry=str(entry), detail=error.detail)
            except ValueError as error:
                log.warning("routes_invalid", entry=str(entry), detail=str(error))
            else:
                return

    async def _fetch_from(self, entry: Address) -> None:
        """Fetches the table from one entry if it has a newer one."""
        service, version = self._settings.service, self._routes.version
        target = f"{ROUTES_PATH}?service={service}&after={version}"
        identity = ((names.IDEMPOTENCY_KEY, uuid.uuid4().hex.encode("ascii")),)
        request = Request(b"GET", target.encode(), identity, BytesBody(b""), NO_PEER)
        timeout_s = self._settings.routes_time_s
        async with await self._pool.send(entry, request, timeout_s) as response:
            body = await read_bytes(response.body, self._settings.routes_bytes)
        if response.status != HTTP_OK:
            raise ValueError(f"status {response.status}")
        reply = decode_routes(body)
        if reply.table is not None:
            self._routes.update_table(reply.table)
