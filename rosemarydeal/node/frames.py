"""Sends and receives messages over one TCP connection."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable

import msgspec
import structlog

from . import messages
from .messages import HEADER_BYTES, MAX_MESSAGE_BYTES, Message

__all__ = ["FrameConnection"]

# A peer that takes nothing for this long is as good as gone.
USER_TIMEOUT_MS = 2000
# More unsent bytes than this mean that the peer does not read.
MAX_UNSENT_BYTES = 4 * 1024 * 1024

_log = structlog.get_logger()


class FrameConnection(asyncio.Protocol):
    """Is one connection; calls back with each message and at its end."""

    def __init__(
        self,
        on_message: Callable[[FrameConnection, Message], None],
        on_open: Callable[[FrameConnection], None],
        on_closed: Callable[[FrameConnection], None],
    ) -> None:
        self._on_message = on_message
        self._on_open = on_open
        self._on_closed = on_closed
        self._buffer = bytearray()
        self._transport: asyncio.Transport | None = None
        self._last_received_at = 0.0
        self.peer = ""

    @property
    def last_received_at(self) -> float:
        """Returns when bytes of the peer came last, on the loop's clock."""
        return self._last_received_at

    @property
    def open(self) -> bool:
        """Tells whether messages can be sent."""
        return self._transport is not None and not self._transport.is_closing()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Takes the connection in."""
        self._transport = transport
        sock = transport.get_extra_info("socket")
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
        self._last_received_at = asyncio.get_running_loop().time()
        self._on_open(self)

    def data_received(self, data: bytes) -> None:
        """Takes bytes in and hands on the messages that are complete."""
        self._last_received_at = asyncio.get_running_loop().time()
        self._buffer += data
        while len(self._buffer) >= HEADER_BYTES:
            length = int.from_bytes(self._buffer[:HEADER_BYTES], "big")
            if length > MAX_MESSAGE_BYTES:
                self._reject(f"frame of {length} bytes")
                return
            end = HEADER_BYTES + length
            if len(self._buffer) < end:
                return
            body = bytes(self._buffer[HEADER_BYTES:end])
            del self._buffer[:end]
            try:
                message = messages.decode(body)
            except msgspec.MsgspecError as error:
                self._reject(str(error))
                return
            self._on_message(self, message)

    def connection_lost(self, exc: Exception | None) -> None:
        """Notes the end of the connection."""
        self._transport = None
        self._on_closed(self)

    def send(self, message: Message) -> bool:
        """Sends a message.

        Returns:
            Whether it was handed to the connection; if not, it never leaves.
        """
        if not self.open:
            return False
        if self._transport.get_write_buffer_size() > MAX_UNSENT_BYTES:
            return False
        self._transport.write(messages.encode(message))
        return True

    def abort(self) -> None:
        """Cuts the connection."""
        if self._transport is not None:
            self._transport.abort()

    def _reject(self, reason: str) -> None:
        """Cuts a connection whose bytes are none of ours."""
        _log.warning("peer_bytes_unreadable", peer=self.peer, reason=reason)
        self.abort()
