"""Sends messages to a peer over a short-lived connection beside the link to it."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence

import structlog

from rosemarydeal.core import Address

from .frames import FrameConnection
from .link import LinkHooks
from .messages import FetchObjects, Message, Ping, Pong

__all__ = ["Detour"]

CONNECT_TIMEOUT_S = 0.5
# The kernel of a paused process accepts the connection, and nothing is answered.
ANSWER_TIMEOUT_S = 0.5

_log = structlog.get_logger()


class Detour:
    """One connection, which is closed once the peer has answered a ping."""

    def __init__(
        self, hooks: LinkHooks, count_sent: Callable[[Message, int], None]
    ) -> None:
        """Creates a detour that is not open yet.

        Args:
            hooks: Callbacks of the links.
            count_sent: Called with each message sent and its bytes.
        """
        self._hooks = hooks
        self._count_sent = count_sent
        self._answered = asyncio.Event()

    async def send(self, address: Address, messages: Sequence[Message]) -> bool:
        """Opens the connection and sends messages; returns whether they were handled.

        Args:
            address: Address of the peer.
            messages: The messages, of which the first one opens the connection.
        """
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                _, connection = await loop.create_connection(
                    lambda: FrameConnection(
                        self._on_message,
                        lambda _: None,
                        lambda _: None,
                        self._count_sent,
                    ),
                    address.host,
                    address.port,
                )
        except (OSError, TimeoutError, ValueError, OverflowError) as error:
            _log.info("peer_detour_failed", address=str(address), detail=repr(error))
            return False
        try:
            # Named in log lines; the peer itself sends no name.
            connection.peer = str(address)
            for message in (*messages, Ping(self._hooks.known_revisions())):
                connection.send(message)
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                await self._answered.wait()
        except TimeoutError:
            _log.info("peer_detour_failed", address=str(address), detail="no answer")
            connection.abort()
            return False
        connection.close()
        return True

    def _on_message(self, connection: FrameConnection, message: Message) -> None:
        """Handles a message of the peer."""
        match message:
            case Pong():
                self._answered.set()
            case FetchObjects(kind):
                connection.send(self._hooks.fetch(kind))
