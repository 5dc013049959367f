"""Sends requests over connections that are kept alive for each address."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

from rosemarydeal.core import Address

from .client_connection import ClientConnection, ConnectionSettings
from .errors import ConnectFailed, ProxyTimeout
from .message import Request, Response
from .upstream_protocol import connect

__all__ = ["Pool", "PoolSettings"]


@dataclass(frozen=True, slots=True)
class PoolSettings:
    """Limits the connections that a pool opens and keeps.

    Attributes:
        connections_per_address: Most connections to one address at a time.
        idle_per_address: Most connections kept for later use.
        idle_time_s: Time after which an unused connection is closed.
        connect_time_s: Time for opening a connection.
        connection: Limits of the single connection.
    """

    connections_per_address: int = 110
    idle_per_address: int = 64
    idle_time_s: float = 30.0
    connect_time_s: float = 2.0
    connection: ConnectionSettings = ConnectionSettings()


class AddressPool:
    """Holds the connections to one address and those who wait for one."""

    def __init__(self) -> None:
        self.open_count = 0
        self.idle: deque[tuple[ClientConnection, float]] = deque()
        self.waiters: deque[asyncio.Future[None]] = deque()


class Pool:
    """Opens, keeps and closes connections, and sends requests over them."""

    def __init__(
        self,
        settings: PoolSettings,
        on_open: Callable[[Address], None] | None = None,
    ) -> None:
        """Makes an empty pool.

        Args:
            settings: Limits of the pool.
            on_open: Called with the address at each new connection.
        """
        self._settings = settings
        self._on_open = on_open
        self._pools: dict[Address, AddressPool] = {}
        self._sweep_timer: asyncio.TimerHandle | None = None
        self._closed = False

    @property
    def idle_connections(self) -> int:
        """Returns the number of connections kept for later use."""
        return sum(len(pool.idle) for pool in self._pools.values())

    def open_connections(self, address: Address) -> int:
        """Returns the number of open connections to an address."""
        pool = self._pools.get(address)
        return pool.open_count if pool is not None else 0

    async def send(
        self,
        address: Address,
        request: Request,
        timeout_s: float,
        max_idle_s: float | None = None,
    ) -> Response:
        """Sends a request and returns the response once its head is there.

        The body of the response has to be read to its end or closed.

        Args:
            address: Where to send the request.
            request: The request; its body is streamed.
            timeout_s: Time for the whole exchange, the body included.
            max_idle_s: How long a kept connection may have been unused; a
                new one is opened otherwise, within the pool's limit. None takes
                any.

        Returns:
            The response.

        Raises:
            ConnectFailed: If no connection came about; nothing was sent.
            SendFailed: If the connection broke before the response's head.
            ResponseBroken: If the response is not valid HTTP.
            ProxyTimeout: If the time ran out.
        """
        deadline = asyncio.get_running_loop().time() + timeout_s
        while True:
            connection = await self._acquire(address, deadline, max_idle_s)
            if connection.stale:
                connection.abort()
                continue
            return await connection.exchange(request, deadline)

    async def close(self) -> None:
        """Closes the idle connections; those in use close after their use."""
        self._closed = True
        if self._sweep_timer is not None:
            self._sweep_timer.cancel()
        for pool in self._pools.values():
            for connection, _ in tuple(pool.idle):
                connection.abort()

    async def _acquire(
        self, address: Address, deadline: float, max_idle_s: float | None
    ) -> ClientConnection:
        """Returns a kept connection or a new one, waiting for a free place."""
        pool = self._pools.setdefault(address, AddressPool())
        while (
            not pool.idle and pool.open_count >= self._settings.connections_per_address
        ):
            await self._wait_for_slot(pool, deadline)
            # The entry may have been dropped with its last connection.
            pool = self._pools.setdefault(address, AddressPool())
        has_capacity = pool.open_count < self._settings.connections_per_address
        if pool.idle and not (has_capacity and _idle_longer_than(pool, max_idle_s)):
            return pool.idle.pop()[0]
        pool.open_count += 1
        try:
            return await self._open(address, deadline)
        except BaseException:
            self._release_slot(address, pool)
            raise

    async def _wait_for_slot(self, pool: AddressPool, deadline: float) -> None:
        """Waits in line until a connection is free or closed."""
        waiter = asyncio.get_running_loop().create_future()
        pool.waiters.append(waiter)
        try:
            async with asyncio.timeout_at(deadline):
                await waiter
        except TimeoutError as error:
            self._cancel_wait(pool, waiter)
            detail = "all connections to the upstream stayed in use"
            raise ProxyTimeout(detail, sent=False) from error
        except asyncio.CancelledError:
            self._cancel_wait(pool, waiter)
            raise

    def _cancel_wait(self, pool: AddressPool, waiter: asyncio.Future[None]) -> None:
        """Leaves the line; a place that was given already goes to the next."""
        if waiter in pool.waiters:
            pool.waiters.remove(waiter)
        elif not waiter.cancelled():
            self._wake_next_waiter(pool)

    async def _open(self, address: Address, deadline: float) -> ClientConnection:
        """Opens a connection within the shorter of both times."""
        now = asyncio.get_running_loop().time()
        limit = min(deadline, now + self._settings.connect_time_s)
        try:
            async with asyncio.timeout_at(limit):
                connection = await connect(
                    address, self._settings.connection, self._return_idle, self._remove
                )
        except TimeoutError as error:
            if limit == deadline:
                raise ProxyTimeout(f"no connection to {address}", False) from error
            raise ConnectFailed(f"{address} did not accept in time") from error
        except OSError as error:
            raise ConnectFailed(f"{address}: {error.strerror or error}") from error
        if self._on_open is not None:
            self._on_open(address)
        return connection

    def _return_idle(self, connection: ClientConnection) -> None:
        """Keeps a connection whose exchange ended, within the limits."""
        pool = self._pools[connection.address]
        if self._closed or len(pool.idle) >= self._settings.idle_per_address:
            connection.abort()
            return
        loop = asyncio.get_running_loop()
        pool.idle.append((connection, loop.time()))
        self._wake_next_waiter(pool)
        if self._sweep_timer is None:
            self._sweep_timer = loop.call_later(
                self._settings.idle_time_s, self._close_idle
            )

    def _remove(self, connection: ClientConnection) -> None:
        """Drops a connection that is gone."""
        pool = self._pools[connection.address]
        remaining = [entry for entry in pool.idle if entry[0] is not connection]
        if len(remaining) != len(pool.idle):
            pool.idle = deque(remaining)
        self._release_slot(connection.address, pool)

    def _release_slot(self, address: Address, pool: AddressPool) -> None:
        """Gives the place of a closed connection free."""
        pool.open_count -= 1
        self._wake_next_waiter(pool)
        if not pool.open_count and not pool.waiters:
            self._pools.pop(address, None)

    def _wake_next_waiter(self, pool: AddressPool) -> None:
        """Lets the first in line go on."""
        while pool.waiters:
            waiter = pool.waiters.popleft()
            if not waiter.done():
                waiter.set_result(None)
                return

    def _close_idle(self) -> None:
        """Closes connections that were not used for a while."""
        self._sweep_timer = None
        loop = asyncio.get_running_loop()
        cutoff = loop.time() - self._settings.idle_time_s
        for pool in tuple(self._pools.values()):
            for connection, idle_since in tuple(pool.idle):
                if idle_since <= cutoff:
                    connection.abort()
        if self.idle_connections:
            self._sweep_timer = loop.call_later(
                self._settings.idle_time_s, self._close_idle
            )


def _idle_longer_than(pool: AddressPool, max_idle_s: float | None) -> bool:
    """Tells whether the connection used last has rested for longer than a time."""
    if max_idle_s is None:
        return False
    return asyncio.get_running_loop().time() - pool.idle[-1][1] > max_idle_s
