"""Connection set-up to upstreams, and handling of events between exchanges."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from rosemarydeal.core import Address

from .client_connection import ClientConnection, ConnectionSettings
from .http_stream import READ_BYTES

__all__ = ["UpstreamProtocol", "connect"]

ConnectionCallback = Callable[[ClientConnection], None]


class UpstreamProtocol(asyncio.StreamReaderProtocol):
    """Protocol that notifies the connection of events between exchanges."""

    def __init__(
        self,
        address: Address,
        settings: ConnectionSettings,
        on_idle: ConnectionCallback,
        on_lost: ConnectionCallback,
    ) -> None:
        self._reader = asyncio.StreamReader(limit=READ_BYTES)
        super().__init__(self._reader)
        self._address = address
        self._settings = settings
        self._on_idle = on_idle
        self._on_lost = on_lost
        self._received_bytes = 0
        self._connection: ClientConnection | None = None

    @property
    def connection(self) -> ClientConnection:
        """Returns the connection, which exists once the transport is connected."""
        return self._connection

    @property
    def received_bytes(self) -> int:
        """Returns the total number of bytes received."""
        return self._received_bytes

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Creates the connection on the new transport."""
        super().connection_made(transport)
        loop = asyncio.get_running_loop()
        writer = asyncio.StreamWriter(transport, self, self._reader, loop)
        self._connection = ClientConnection(
            self._address, self._settings, self, self._reader, writer
        )

    def data_received(self, data: bytes) -> None:
        """Buffers received bytes; the connection is aborted if they are unsolicited."""
        self._received_bytes += len(data)
        super().data_received(data)
        self._connection.abort_if_unsolicited()

    def eof_received(self) -> bool:
        """Handles the end of the upstream's stream."""
        keep_open = super().eof_received()
        self._connection.abort_if_unsolicited()
        return keep_open

    def connection_lost(self, exc: Exception | None) -> None:
        """Handles the loss of the connection."""
        super().connection_lost(exc)
        if self._connection.mark_lost():
            self._on_lost(self._connection)

    def notify_idle(self) -> None:
        """Reports that an exchange ended and the connection can be reused."""
        self._on_idle(self._connection)


async def connect(
    address: Address,
    settings: ConnectionSettings,
    on_idle: ConnectionCallback,
    on_lost: ConnectionCallback,
) -> ClientConnection:
    """Opens a connection.

    Args:
        address: Address to connect to.
        settings: Limits of the connection.
        on_idle: Called when an exchange ended and the connection can be reused.
        on_lost: Called once when the returned connection is lost.

    Returns:
        The connection.

    Raises:
        OSError: If the connection can't be opened.
    """
    loop = asyncio.get_running_loop()
    _, protocol = await loop.create_connection(
        lambda: UpstreamProtocol(address, settings, on_idle, on_lost),
        address.host,
        address.port,
    )
    protocol.connection.mark_acquired()
    return protocol.connection
