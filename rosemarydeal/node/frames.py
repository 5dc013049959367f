"""Sends and receives messages over one TCP connection."""

from __future__ import annotations

import asyncio
import select
import socket
from collections.abc import Callable

import structlog

from rosemarydeal.core.decoding import Malformed

from . import messages
from .messages import HEADER_BYTES, MAX_MESSAGE_BYTES, Message

__all__ = ["FrameConnection"]

# A peer that acknowledges no data for this long is considered gone.
USER_TIMEOUT_MS = 2000
# Limit until the peer has named itself, so that strangers use little memory.
MAX_FIRST_MESSAGE_BYTES = 4096
# With more unsent bytes than this, messages that are not waited for are dropped.
MAX_UNSENT_BYTES = 4 * 1024 * 1024

_log = structlog.get_logger()


class FrameConnection(asyncio.Protocol):
    """One connection; calls back for each message and when it closes."""

    def __init__(
        self,
        on_message: Callable[[FrameConnection, Message], None],
        on_open: Callable[[FrameConnection], None],
        on_closed: Callable[[FrameConnection], None],
        on_sent: Callable[[Message, int], None],
    ) -> None:
        self._on_message = on_message
        self._on_open = on_open
        self._on_closed = on_closed
        self._on_sent = on_sent
        self._buffer = bytearray()
        self._transport: asyncio.Transport | None = None
        self._last_received_at = 0.0
        self._turn = asyncio.Lock()
        self._writable = asyncio.Event()
        self._writable.set()
        self.peer = ""
        self.process = ""

    @property
    def last_received_at(self) -> float:
        """Returns the loop time at which the peer last sent data."""
        return self._last_received_at

    @property
    def open(self) -> bool:
        """Returns whether messages can be sent."""
        return self._transport is not None and not self._transport.is_closing()

    @property
    def unsent_bytes(self) -> int:
        """Returns the number of bytes that the kernel has not accepted yet."""
        return self._transport.get_write_buffer_size() if self._transport else 0

    @property
    def congested(self) -> bool:
        """Returns whether a message in turn has to wait."""
        return self._turn.locked() or not self._writable.is_set()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Sets the socket's options and reports the connection."""
        self._transport = transport
        sock = transport.get_extra_info("socket")
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
        transport.set_write_buffer_limits(MAX_UNSENT_BYTES)
        self._last_received_at = asyncio.get_running_loop().time()
        self._on_open(self)

    def data_received(self, data: bytes) -> None:
        """Buffers the data and passes on each complete message."""
        self._last_received_at = asyncio.get_running_loop().time()
        self._buffer += data
        while len(self._buffer) >= HEADER_BYTES:
            length = int.from_bytes(self._buffer[:HEADER_BYTES], "big")
            if length > (MAX_MESSAGE_BYTES if self.peer else MAX_FIRST_MESSAGE_BYTES):
                self._reject(f"frame of {length} bytes exceeds the limit")
                return
            end = HEADER_BYTES + length
            if len(self._buffer) < end:
                return
            body = bytes(self._buffer[HEADER_BYTES:end])
            del self._buffer[:end]
            try:
                message = messages.decode(body)
            except Malformed as error:
                self._reject(error.detail)
                return
            self._on_message(self, message)

    def connection_lost(self, exc: Exception | None) -> None:
        """Reports the end of the connection."""
        self._transport = None
        self._writable.set()
        self._on_closed(self)

    def pause_writing(self) -> None:
        """Lets messages in turn wait."""
        self._writable.clear()

    def resume_writing(self) -> None:
        """Lets the next message in turn be sent."""
        self._writable.set()

    async def send_in_turn(self, message: Message) -> bool:
        """Sends a message once the peer has read most of those before it.

        Load pattern: short answers behind a large one on the same link.

        Returns:
            Whether the connection accepted it; if not, it is never sent.
        """
        async with self._turn:
            await self._writable.wait()
            return self.send(message)

    def send(self, message: Message) -> bool:
        """Sends a message now, unless much is unsent.

        Returns:
            Whether the connection accepted it; if not, it is never sent.
        """
        if not self.open:
            return False
        unsent_bytes = self.unsent_bytes
        if unsent_bytes > MAX_UNSENT_BYTES:
            _log.warning(
                "peer_message_dropped",
                peer=self.peer,
                kind=type(message).__name__,
                unsent_bytes=unsent_bytes,
            )
            return False
        frame = messages.encode(message)
        self._transport.write(frame)
        self._on_sent(message, len(frame))
        return True

    def closed_by_peer(self) -> bool:
        """Returns whether the peer has closed, even while its last data is unread."""
        if self._transport is None:
            return True
        poll = select.poll()
        poll.register(self._transport.get_extra_info("socket"), select.POLLRDHUP)
        return bool(poll.poll(0))

    def close(self) -> None:
        """Closes the connection once what is buffered has been sent."""
        if self._transport is not None:
            self._transport.close()

    def abort(self) -> None:
        """Closes the connection without sending what is buffered."""
        if self._transport is not None:
            self._transport.abort()

    def _reject(self, reason: str) -> None:
        """Closes a connection that sent a malformed frame."""
        _log.warning("peer_frame_malformed", peer=self.peer, reason=reason)
        self.abort()
