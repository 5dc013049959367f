"""Sends messages to peers by name and hands received ones to their tasks."""

from __future__ import annotations

from collections.abc import Callable

import structlog

from rosemarydeal.core import Address, Versioned
from rosemarydeal.core.messages import (
    CrashSuspectNotice,
    JoinRequest,
    LedgerHandOver,
    Message,
    RecordsReply,
    RecordsRequest,
    VersionsNotice,
)
from rosemarydeal.peers import PeerLink

from . import objects
from .errors import DaemonError

__all__ = ["PeerRouter"]

_log = structlog.get_logger()

Receiver = Callable[[str, Message], None]


class PeerRouter:
    """Owns the address book of the peers.

    A link is opened on the first message to a peer, since a process speaks to
    few of a large fleet.
    """

    def __init__(self, node: str, link: PeerLink) -> None:
        self._node = node
        self._link = link
        self._peers: dict[str, tuple[Address, str]] = {}
        self._receivers: dict[type, Receiver] = {}
        self._default_receiver: Receiver | None = None

    def update_from_member(self, versioned: Versioned) -> None:
        """Takes a peer's address from its member object."""
        if not versioned.key.startswith(objects.MEMBER_PREFIX):
            return
        try:
            member = objects.decode_member(versioned.value)
        except DaemonError as error:
            _log.error("object_malformed", key=versioned.key, detail=error.detail)
            return
        self.set_address(member.node, member.peer, member.public_key)

    def set_address(self, node: str, address: Address, public_key: str) -> None:
        """Sets where a peer is reached."""
        previous = self._peers.get(node)
        self._peers[node] = (address, public_key)
        if previous is not None and previous != self._peers[node]:
            self._link.disconnect(node)

    def send(self, node: str, message: Message) -> None:
        """Sends a message without waiting; it may get lost."""
        peer = self._peers.get(node)
        if peer is not None and node != self._node:
            self._link.connect(node, *peer)
            self._link.send(node, message)

    def route_to(
        self, records: Receiver, suspects: Receiver, ledgers: Receiver
    ) -> None:
        """Sets who gets the messages that don't concern ownership or load.

        Args:
            records: Gets what is said of the platform's objects.
            suspects: Gets notices of crash suspects.
            ledgers: Gets the ids of slices that are handed over.
        """
        for kind in (VersionsNotice, RecordsRequest, RecordsReply, JoinRequest):
            self._receivers[kind] = records
        self._receivers[CrashSuspectNotice] = suspects
        self._receivers[LedgerHandOver] = ledgers

    def set_default_receiver(self, control: Receiver) -> None:
        """Sets who gets all other messages; until then they are dropped."""
        self._default_receiver = control

    async def run(self) -> None:
        """Hands received messages over until cancelled."""
        while True:
            received = await self._link.receive()
            message = received.message
            if isinstance(message, JoinRequest):
                self.set_address(received.sender, message.peer, message.public_key)
            receiver = self._receivers.get(type(message), self._default_receiver)
            if receiver is not None:
                receiver(received.sender, message)
