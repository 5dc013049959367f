"""Listens for callers and runs one task for each of their connections."""

from __future__ import annotations

import asyncio
import socket
from collections import Counter

import structlog

from rosemarydeal.core import Address, NotRun

from .http_stream import READ_BYTES
from .limits import HttpLimits
from .server_connection import Handler, ServerConnection

__all__ = ["HttpServer", "serve"]

BACKLOG = 1_024
# Turns of the loop after which a connection that it accepted has its transport;
# asyncio drops one whose transport would be made after its server has closed.
TRANSPORT_SETUP_TURNS = 3

log = structlog.get_logger(__name__)


# Time in which a connection that the loop has accepted becomes known.
ACCEPT_SETTLE_S = 0.1


class CallerProtocol(asyncio.StreamReaderProtocol):
    """Tells the connection at once when its caller leaves."""

    def __init__(self, server: HttpServer) -> None:
        reader = asyncio.StreamReader(limit=READ_BYTES)
        super().__init__(reader, self._on_connected)
        self._server = server
        self._connection: ServerConnection | None = None

    def eof_received(self) -> bool:
        """Notes that the caller sends no more and is taken to have left."""
        keep_open = super().eof_received()
        if self._connection is not None:
            self._connection.on_caller_disconnected()
        return keep_open

    def connection_lost(self, exc: Exception | None) -> None:
        """Notes that the connection is gone."""
        super().connection_lost(exc)
        if self._connection is not None:
            self._connection.on_caller_disconnected()

    async def _on_connected(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serves the connection that came about."""
        connection = self._server.make_connection(reader, writer)
        if not self._server.admit(connection):
            await connection.reject_connection(NotRun("too-many-connections"))
            return
        self._connection = connection
        try:
            await connection.run()
        finally:
            self._server.release(connection)


class HttpServer:
    """Holds the listening socket and the connections with callers."""

    def __init__(self, handler: Handler, limits: HttpLimits) -> None:
        self._handler = handler
        self._limits = limits
        self._connections: set[ServerConnection] = set()
        self._connections_per_host: Counter[str] = Counter()
        self._listener: asyncio.Server | None = None
        self._socket: socket.socket | None = None
        self._address = Address("", 0)
        self._draining = False
        self._no_connections = asyncio.Event()
        self._no_connections.set()

    @property
    def address(self) -> Address:
        """Returns the address on which the server listens."""
        return self._address

    @property
    def connections(self) -> int:
        """Returns the number of open connections with callers."""
        return len(self._connections)

    @property
    def buffered_bytes(self) -> int:
        """Returns the bytes held for all connections."""
        return sum(connection.buffered_bytes for connection in self._connections)

    async def listen(self, address: Address) -> None:
        """Opens the listening socket.

        Args:
            address: Where to listen; port 0 takes any free port.
        """
        loop = asyncio.get_running_loop()
        self._socket = socket.create_server((address.host, address.port))
        self._listener = await loop.create_server(
            self._make_protocol, sock=self._socket, backlog=BACKLOG
        )
        self._address = Address(*self._socket.getsockname()[:2])

    async def drain(self, timeout_s: float) -> bool:
        """Stops listening and lets the requests that run finish.

        Args:
            timeout_s: Longest time to wait, in seconds.

        Returns:
            Whether all connections ended in time.
        """
        self._draining = True
        for connection in tuple(self._connections):
            connection.close_gracefully()
        asyncio.get_running_loop().remove_reader(self._socket.fileno())
        for _ in range(TRANSPORT_SETUP_TURNS):
            await asyncio.sleep(0)
        queued = self._accept_queued()
        self._listener.close()
        await self._serve_accepted(queued)
        # A connection that was accepted a moment ago is not counted yet.
        await asyncio.sleep(min(timeout_s, ACCEPT_SETTLE_S))
        return await self.wait_closed(timeout_s)

    async def wait_closed(self, timeout_s: float) -> bool:
        """Waits until no connection is open.

        Args:
            timeout_s: Longest time to wait, in seconds.

        Returns:
            Whether all connections ended in time.
        """
        try:
            async with asyncio.timeout(timeout_s):
                await self._no_connections.wait()
        except TimeoutError:
            return False
        return True

    def _make_protocol(self) -> CallerProtocol:
        """Returns the protocol of a new connection."""
        return CallerProtocol(self)

    def _accept_queued(self) -> list[socket.socket]:
        """Accepts what the kernel has queued, which closing would reset."""
        accepted = []
        while True:
            try:
                connection, _ = self._socket.accept()
            except OSError:
                # Nothing waits any more, or no descriptor is left for it.
                return accepted
            connection.setblocking(False)
            accepted.append(connection)

    async def _serve_accepted(self, accepted: list[socket.socket]) -> None:
        """Serves connections that were accepted as the listener closed."""
        loop = asyncio.get_running_loop()
        for connection in accepted:
            try:
                await loop.connect_accepted_socket(self._make_protocol, connection)
            except OSError as error:
                log.warning("accepted connection lost", detail=str(error))

    async def close(self) -> None:
        """Stops listening and cuts all connections."""
        self._listener.close()
        for connection in tuple(self._connections):
            connection.abort()
        await self._no_connections.wait()

    def make_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> ServerConnection:
        """Returns the object that serves a new connection."""
        return ServerConnection(reader, writer, self._handler, self._limits)

    def admit(self, connection: ServerConnection) -> bool:
        """Takes a new connection in unless its caller holds too many."""
        host = connection.peer.host
        if self._connections_per_host[host] >= self._limits.connections_per_address:
            log.warning("too many connections", host=host)
            return False
        self._connections_per_host[host] += 1
        self._connections.add(connection)
        self._no_connections.clear()
        if self._draining:
            connection.close_gracefully()
        return True

    def release(self, connection: ServerConnection) -> None:
        """Forgets a connection that ended."""
        host = connection.peer.host
        self._connections_per_host[host] -= 1
        if not self._connections_per_host[host]:
            del self._connections_per_host[host]
        self._connections.discard(connection)
        if not self._connections:
            self._no_connections.set()


async def serve(handler: Handler, address: Address, limits: HttpLimits) -> HttpServer:
    """Starts a server.

    Args:
        handler: Answers each request; cancelled when its caller disconnects.
        address: Where to listen; port 0 takes any free port.
        limits: Limits towards callers.

    Returns:
        The running server.
    """
    server = HttpServer(handler, limits)
    await server.listen(address)
    return server
