"""Asks the entries of a service for its routing table."""

from __future__ import annotations

import asyncio

import structlog

from rosemarydeal.core import Address
from rosemarydeal.core.routes import ROUTES_PATH, decode_routes
from rosemarydeal.proxy import BytesBody, Pool, ProxyError, Request, read_bytes

from .routebook import RouteBook
from .settings import CallerSettings

__all__ = ["RouteFinder"]

NO_PEER = Address("", 0)
FOUND = 200
ENTRIES_ASKED = 8

log = structlog.get_logger(__name__)


class RouteFinder:
    """Keeps a book of routes up to date, one question at a time."""

    def __init__(self, settings: CallerSettings, pool: Pool, book: RouteBook) -> None:
        self._settings = settings
        self._pool = pool
        self._book = book
        self._asked_at = float("-inf")
        self._asking: asyncio.Task[None] | None = None

    async def refresh(self) -> None:
        """Asks now, or joins the question that is under way."""
        if self._asking is None:
            self._start()
        await asyncio.shield(self._asking)

    def refresh_after(self, age_s: float) -> None:
        """Asks beside the requests if the last question is long ago.

        Args:
            age_s: Least time since the last question, in seconds.
        """
        age = asyncio.get_running_loop().time() - self._asked_at
        if self._asking is None and age >= age_s:
            self._start()

    async def find_first(self, deadline: float) -> None:
        """Waits for the first table, unless one was asked for just now.

        Args:
            deadline: Moment until which to wait, on the loop's clock.
        """
        self.refresh_after(self._settings.routes_pause_s)
        if self._asking is None:
            return
        try:
            async with asyncio.timeout_at(deadline):
                await asyncio.shield(self._asking)
        except TimeoutError:
            return

    async def close(self) -> None:
        """Ends the question that is under way."""
        if self._asking is not None:
            self._asking.cancel()
            await asyncio.wait({self._asking})

    def _start(self) -> None:
        """Starts a question."""
        self._asked_at = asyncio.get_running_loop().time()
        self._asking = asyncio.create_task(self._ask())
        self._asking.add_done_callback(self._note_asked)

    def _note_asked(self, _task: asyncio.Task[None]) -> None:
        """Lets the next question begin."""
        self._asking = None

    async def _ask(self) -> None:
        """Asks the entries in turn until one tells the routes."""
        loop = asyncio.get_running_loop()
        asked: set[Address] = set()
        for _ in range(ENTRIES_ASKED):
            entry = self._book.next_step(None, asked, loop.time()).entry
            if entry in asked:
                return
            asked.add(entry)
            try:
                await self._ask_entry(entry)
            except ProxyError as error:
                log.info("no_routes", entry=str(entry), detail=error.detail)
            except ValueError as error:
                log.warning("bad_routes", entry=str(entry), detail=str(error))
            else:
                return

    async def _ask_entry(self, entry: Address) -> None:
        """Asks one entry for newer routes."""
        service, after = self._settings.service, self._book.version
        target = f"{ROUTES_PATH}?service={service}&after={after}"
        request = Request(b"GET", target.encode(), (), BytesBody(b""), NO_PEER)
        time_s = self._settings.routes_time_s
        async with await self._pool.send(entry, request, time_s) as response:
            body = await read_bytes(response.body, self._settings.routes_bytes)
        if response.status != FOUND:
            raise ValueError(f"status {response.status}")
        reply = decode_routes(body)
        if reply.table is not None:
            self._book.take(reply.table)
