"""Opens the ports on which callers reach the services."""

from __future__ import annotations

import asyncio
from functools import partial

import structlog

from rosemarydeal.core import Address
from rosemarydeal.proxy import HttpServer, serve

from .configuration import InForce, http_limits
from .entry import EntryTask

__all__ = ["Listeners"]

REOPEN_S = 1.0

_log = structlog.get_logger()


class Listeners:
    """Owns one listening port for each service of the configuration."""

    def __init__(self, host: str, entry: EntryTask) -> None:
        self._host = host
        self._entry = entry
        self._servers: dict[int, HttpServer] = {}
        self._services: dict[int, str] = {}
        self._changes: asyncio.Task[None] | None = None
        self._in_force: InForce | None = None

    def follow(self, in_force: InForce) -> None:
        """Opens and closes ports so that they fit a configuration."""
        self._in_force = in_force
        if self._changes is None or self._changes.done():
            self._changes = asyncio.create_task(self._change())

    async def drain(self, timeout_s: float) -> bool:
        """Takes no new request and finishes what runs.

        Args:
            timeout_s: Longest time to wait, in seconds.

        Returns:
            Whether everything finished in time.
        """
        self._stop_changes()
        drains = [server.drain(timeout_s) for server in self._servers.values()]
        return all(await asyncio.gather(*drains))

    async def close(self) -> None:
        """Closes all ports at once."""
        self._stop_changes()
        for server in self._servers.values():
            await server.close()
        self._servers.clear()

    def _stop_changes(self) -> None:
        """Ends the task that opens and closes ports."""
        if self._changes is not None:
            self._changes.cancel()

    async def _change(self) -> None:
        """Brings the open ports in line with the newest configuration."""
        done: InForce | None = None
        while done is not self._in_force:
            done = self._in_force
            wanted = {s.port: s.name for s in done.deployment.services.values()}
            await self._close_unwanted(wanted)
            for port, service in wanted.items():
                if port not in self._servers:
                    await self._open(port, service, done)

    async def _close_unwanted(self, wanted: dict[int, str]) -> None:
        """Closes ports that no service has any more."""
        for port in [p for p in self._servers if wanted.get(p) != self._services[p]]:
            server = self._servers.pop(port)
            await server.drain(REOPEN_S)

    async def _open(self, port: int, service: str, in_force: InForce) -> None:
        """Opens the port of a service; one in use is tried again."""
        limits = http_limits(in_force.by_service[service])
        handler = partial(self._entry.handle, service)
        address = Address(self._host, port)
        while port not in self._servers:
            try:
                self._servers[port] = await serve(handler, address, limits)
                self._services[port] = service
            except OSError as error:
                _log.error("port_unavailable", port=port, detail=str(error))
                await asyncio.sleep(REOPEN_S)
