"""Opens the ports of the services for callers."""

from __future__ import annotations

import asyncio
from functools import partial

import structlog

from rosemarydeal.core import Address
from rosemarydeal.proxy import HttpServer, serve

from .configuration import ActiveConfiguration, http_limits
from .entry import EntryTask

__all__ = ["Listeners"]

REOPEN_DELAY_S = 1.0

_log = structlog.get_logger()


class Listeners:
    """Owns a listening port for each service of the configuration."""

    def __init__(self, host: str, entry: EntryTask) -> None:
        self._host = host
        self._entry = entry
        self._servers: dict[int, HttpServer] = {}
        self._services: dict[int, str] = {}
        self._update_task: asyncio.Task[None] | None = None
        self._configuration: ActiveConfiguration | None = None

    def apply(self, configuration: ActiveConfiguration) -> None:
        """Opens and closes ports to match a configuration, in the background."""
        self._configuration = configuration
        if self._update_task is None or self._update_task.done():
            self._update_task = asyncio.create_task(self._update_ports())

    async def drain(self, timeout_s: float) -> bool:
        """Accepts no new requests and waits for the running ones to finish.

        Args:
            timeout_s: Maximum time to wait, in seconds.

        Returns:
            Whether all requests finished in time.
        """
        self._stop_updates()
        drains = [server.drain(timeout_s) for server in self._servers.values()]
        return all(await asyncio.gather(*drains))

    async def close(self) -> None:
        """Closes all ports at once."""
        self._stop_updates()
        for server in self._servers.values():
            await server.close()
        self._servers.clear()

    def _stop_updates(self) -> None:
        """Cancels the task that opens and closes ports."""
        if self._update_task is not None:
            self._update_task.cancel()

    async def _update_ports(self) -> None:
        """Updates the open ports until they match the newest configuration."""
        applied: ActiveConfiguration | None = None
        while applied is not self._configuration:
            applied = self._configuration
            services = {s.port: s.name for s in applied.deployment.services.values()}
            await self._close_unwanted(services)
            for port, service in services.items():
                if port not in self._servers:
                    await self._open(port, service, applied)

    async def _close_unwanted(self, services: dict[int, str]) -> None:
        """Closes the ports that are unused or that belong to another service now."""
        for port in [p for p in self._servers if services.get(p) != self._services[p]]:
            server = self._servers.pop(port)
            await server.drain(REOPEN_DELAY_S)

    async def _open(
        self, port: int, service: str, configuration: ActiveConfiguration
    ) -> None:
        """Opens the port of a service, with retries while it is in use."""
        limits = http_limits(configuration.by_service[service])
        handler = partial(self._entry.handle, service)
        address = Address(self._host, port)
        while port not in self._servers:
            try:
                self._servers[port] = await serve(handler, address, limits)
                self._services[port] = service
            except OSError as error:
                _log.error("port_unavailable", port=port, detail=str(error))
                await asyncio.sleep(REOPEN_DELAY_S)
