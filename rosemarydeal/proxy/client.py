"""Connection pool that sends requests over keep-alive connections."""

from __future__ import annotations

import asyncio
import math
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
    """Limits of a connection pool.

    Attributes:
        connections_per_address: Maximum number of open connections to one address.
        idle_per_address: Maximum number of idle connections to one address.
        idle_time_s: Time after which an idle connection is closed.
        connect_time_s: Time limit for opening a connection.
        connection: Limits of each connection.
    """

    connections_per_address: int = 110
    idle_per_address: int = 64
    idle_time_s: float = 30.0
    connect_time_s: float = 2.0
    connection: ConnectionSettings = ConnectionSettings()


class AddressPool:
    """Connections to one address and the queue of waiters for them."""

    def __init__(self) -> None:
        self.open_count = 0
        self.idle: deque[tuple[ClientConnection, float]] = deque()
        self.waiters: deque[asyncio.Future[None]] = deque()


class Pool:
    """Keep-alive connections to any number of addresses."""

    def __init__(
        self,
        settings: PoolSettings,
        on_open: Callable[[Address], None] | None = None,
    ) -> None:
        """Creates an empty pool.

        Args:
            settings: Limits of the pool.
            on_open: Called with the address of each new connection.
        """
        self._settings = settings
        self._on_open = on_open
        self._pools: dict[Address, AddressPool] = {}
        self._sweep_timer: asyncio.TimerHandle | None = None
        self._closed = False

    @property
    def idle_connections(self) -> int:
        """Returns the number of idle connections to all addresses."""
        return sum(len(pool.idle) for pool in self._pools.values())

    def open_connections(self, address: Address) -> int:
        """Returns the number of open connections to an address."""
        pool = self._pools.get(address)
        return pool.open_count if pool is not None else 0

    def is_connected(self, address: Address) -> bool:
        """Returns whether any connection to an address was not ended by the peer.

        One that is being opened counts.
        """
        pool = self._pools.get(address)
        if pool is None:
            return False
        return pool.open_count > sum(idle.ended for idle, _ in pool.idle)

    async def send(
        self,
        address: Address,
        request: Request,
        timeout_s: float,
        max_idle_s: float | None = None,
        complete: Callable[[Request], Request] | None = None,
    ) -> Response:
        """Sends a request and returns the response once its head has arrived.

        The caller must read the body of the response to its end or close it.

        Args:
            address: Where to send the request.
            request: The request; its body is streamed.
            timeout_s: Time limit for the whole exchange, including the body.
            max_idle_s: Idle time above which a connection is not reused; a new
                one is opened instead if the limit of connections allows it.
                None reuses any idle connection.
            complete: Returns the request as it is to be sent. Called once a
                connection stands, right before the bytes are written; if it raises
                an error, nothing is sent.

        Returns:
            The response.

        Raises:
            ConnectFailed: If no connection could be opened; nothing was sent.
            SendFailed: If the connection failed before the response's head.
            ResponseBroken: If the response is not valid HTTP.
            ForeignResponse: If the response belongs to another request.
            ProxyTimeout: If the exchange exceeded its time limit.
        """
        deadline = asyncio.get_running_loop().time() + timeout_s
        while True:
            connection = await self._acquire(address, request, deadline, max_idle_s)
            if connection.stale:
                connection.abort()
                continue
            if complete is not None:
                request = self._completed(request, complete, connection)
            return await connection.exchange(request, deadline)

    async def prepare(self, address: Address, timeout_s: float) -> None:
        """Opens a connection for a later request, unless as many as allowed are open.

        Args:
            address: Where to connect to.
            timeout_s: Time limit.

        Raises:
            ConnectFailed: If no connection could be opened.
            ProxyTimeout: If none was accepted in time.
        """
        pool = self._pools.setdefault(address, AddressPool())
        if pool.open_count < self._settings.connections_per_address:
            deadline = asyncio.get_running_loop().time() + timeout_s
            self._return_idle(await self._open_counted(address, pool, deadline))

    async def close(self) -> None:
        """Closes idle connections; those in use close when their exchange ends."""
        self._closed = True
        if self._sweep_timer is not None:
            self._sweep_timer.cancel()
        for pool in self._pools.values():
            for connection, _ in tuple(pool.idle):
                connection.abort()

    async def _acquire(
        self,
        address: Address,
        request: Request,
        deadline: float,
        max_idle_s: float | None,
    ) -> ClientConnection:
        """Returns an idle or a new connection, waiting for a free slot if needed."""
        while True:
            # The address's pool may have been removed with its last connection.
            pool = self._pools.setdefault(address, AddressPool())
            has_capacity = pool.open_count < self._settings.connections_per_address
            longest = max_idle_s if has_capacity else None
            connection = _take_idle(pool, request, longest)
            if connection is not None:
                return connection
            if has_capacity:
                break
            if pool.idle:
                # All idle connections have carried the request; its slot is freed.
                pool.idle.popleft()[0].abort()
            await self._wait_for_slot(pool, deadline)
        return await self._open_counted(address, pool, deadline)

    async def _open_counted(
        self, address: Address, pool: AddressPool, deadline: float
    ) -> ClientConnection:
        """Opens a connection that takes a slot of its address."""
        pool.open_count += 1
        try:
            return await self._open(address, deadline)
        except BaseException:
            self._release_slot(address, pool)
            raise

    def _completed(
        self,
        request: Request,
        complete: Callable[[Request], Request],
        connection: ClientConnection,
    ) -> Request:
        """Completes a request; the connection stays idle if it is not to be sent."""
        try:
            return complete(request)
        except BaseException:
            self._return_idle(connection)
            raise

    async def _wait_for_slot(self, pool: AddressPool, deadline: float) -> None:
        """Waits until a connection becomes idle or a slot becomes free."""
        waiter = asyncio.get_running_loop().create_future()
        pool.waiters.append(waiter)
        try:
            async with asyncio.timeout_at(deadline):
                await waiter
        except TimeoutError as error:
            self._cancel_wait(pool, waiter)
            detail = "no connection to the upstream became free in time"
            raise ProxyTimeout(detail, sent=False) from error
        except asyncio.CancelledError:
            self._cancel_wait(pool, waiter)
            raise

    def _cancel_wait(self, pool: AddressPool, waiter: asyncio.Future[None]) -> None:
        """Leaves the queue; a slot that was already granted goes to the next waiter."""
        if waiter in pool.waiters:
            pool.waiters.remove(waiter)
        elif not waiter.cancelled():
            self._wake_next_waiter(pool)

    async def _open(self, address: Address, deadline: float) -> ClientConnection:
        """Opens a connection before the deadline and within the connect time."""
        now = asyncio.get_running_loop().time()
        limit = min(deadline, now + self._settings.connect_time_s)
        try:
            async with asyncio.timeout_at(limit):
                connection = await connect(
                    address, self._settings.connection, self._return_idle, self._remove
                )
        except TimeoutError as error:
            if limit == deadline:
                raise ProxyTimeout(
                    f"timed out connecting to {address}", False
                ) from error
            raise ConnectFailed(
                f"{address} did not accept the connection in time"
            ) from error
        except OSError as error:
            detail = f"{address}: {error.strerror or error}"
            refused = isinstance(error, ConnectionRefusedError)
            raise ConnectFailed(detail, refused) from error
        if self._on_open is not None:
            self._on_open(address)
        return connection

    def _return_idle(self, connection: ClientConnection) -> None:
        """Keeps a connection for reuse, or closes it if the pool is full or closed."""
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
        """Removes a closed connection from the pool."""
        pool = self._pools[connection.address]
        remaining = [entry for entry in pool.idle if entry[0] is not connection]
        if len(remaining) != len(pool.idle):
            pool.idle = deque(remaining)
        self._release_slot(connection.address, pool)

    def _release_slot(self, address: Address, pool: AddressPool) -> None:
        """Frees the slot of a closed connection."""
        pool.open_count -= 1
        self._wake_next_waiter(pool)
        if not pool.open_count and not pool.waiters:
            self._pools.pop(address, None)

    def _wake_next_waiter(self, pool: AddressPool) -> None:
        """Wakes the first waiter in the queue."""
        while pool.waiters:
            waiter = pool.waiters.popleft()
            if not waiter.done():
                waiter.set_result(None)
                return

    def _close_idle(self) -> None:
        """Closes connections that have been idle for longer than the limit."""
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


def _take_idle(
    pool: AddressPool, request: Request, max_idle_s: float | None
) -> ClientConnection | None:
    """Removes the most recently used idle connection that may carry a request.

    Returns:
        The connection; None if there is none, or it was idle for too long.
    """
    oldest = -math.inf
    if max_idle_s is not None:
        oldest = asyncio.get_running_loop().time() - max_idle_s
    for index in range(len(pool.idle) - 1, -1, -1):
        connection, idle_since = pool.idle[index]
        if idle_since < oldest:
            return None
        if not connection.has_carried(request):
            del pool.idle[index]
            return connection
    return None
