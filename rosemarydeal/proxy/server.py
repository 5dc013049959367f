"""HTTP server that runs one task for each connection of a caller."""

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
# Turns of the event loop after which an accepted connection has its transport;
# asyncio drops a connection whose transport is made after the server has closed.
TRANSPORT_SETUP_TURNS = 3

log = structlog.get_logger(__name__)


# Time in which a connection that the event loop has accepted is registered.
ACCEPT_SETTLE_S = 0.1


class CallerProtocol(asyncio.StreamReaderProtocol):
    """Protocol that notifies the connection as soon as its caller disconnects."""

    def __init__(self, server: HttpServer) -> None:
        reader = asyncio.StreamReader(limit=READ_BYTES)
        super().__init__(reader, self._on_connected)
        self._server = server
        self._connection: ServerConnection | None = None

    def eof_received(self) -> bool:
        """Handles the end of the caller's stream, which counts as a disconnect."""
        keep_open = super().eof_received()
        if self._connection is not None:
            self._connection.on_caller_disconnected()
        return keep_open

    def connection_lost(self, exc: Exception | None) -> None:
        """Handles the loss of the connection."""
        super().connection_lost(exc)
        if self._connection is not None:
            self._connection.on_caller_disconnected()

    async def _on_connected(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serves a new connection, or rejects it over the limit of its address."""
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
    """HTTP server with one listening socket."""

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
        """Returns the number of bytes buffered for all connections."""
        return sum(connection.buffered_bytes for connection in self._connections)

    def set_limits(self, limits: HttpLimits) -> None:
        """Applies changed limits, also to the connections that are open.

        A head that is being received keeps the limit that it began under.
        """
        self._limits = limits
        for connection in self._connections:
            connection.set_limits(limits)

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
        """Stops listening and waits for running requests to finish.

        Args:
            timeout_s: Maximum time to wait, in seconds.

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
        # A connection that was just accepted is not registered yet.
        await asyncio.sleep(min(timeout_s, ACCEPT_SETTLE_S))
        return await self.wait_closed(timeout_s)

    async def wait_closed(self, timeout_s: float) -> bool:
        """Waits until no connection is open.

        Args:
            timeout_s: Maximum time to wait, in seconds.

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
        """Accepts the connections in the kernel's queue, which closing would reset."""
        accepted = []
        while True:
            try:
                connection, _ = self._socket.accept()
            except OSError:
                # The queue is empty, or no file descriptor is left.
                return accepted
            connection.setblocking(False)
            accepted.append(connection)

    async def _serve_accepted(self, accepted: list[socket.socket]) -> None:
        """Serves connections that were accepted while the listener closed."""
        loop = asyncio.get_running_loop()
        for connection in accepted:
            try:
                await loop.connect_accepted_socket(self._make_protocol, connection)
            except OSError as error:
                log.warning("accepted connection failed", detail=str(error))

    async def close(self) -> None:
        """Stops listening and aborts all connections."""
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
        """Registers a new connection unless its address is at its limit."""
        host = connection.peer.host
        if self._connections_per_host[host] >= self._limits.connections_per_address:
            log.warning("connection limit of address exceeded", host=host)
            return False
        self._connections_per_host[host] += 1
        self._connections.add(connection)
        self._no_connections.clear()
        if self._draining:
            connection.close_gracefully()
        return True

    def release(self, connection: ServerConnection) -> None:
        """Unregisters a closed connection."""
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
        handler: Called for each request; cancelled when its caller disconnects.
        address: Where to listen; port 0 takes any free port.
        limits: Limits of connections with callers.

    Returns:
        The running server.
    """
    server = HttpServer(handler, limits)
    await server.listen(address)
    return server
