"""Sends messages to peers by name and dispatches received messages to tasks."""

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
    """Owns the addresses of the peers and the receivers of their messages.

    A link is opened on the first message to a peer, since a process exchanges
    messages with only a few peers of a large fleet.
    """

    def __init__(self, node: str, link: PeerLink) -> None:
        self._node = node
        self._link = link
        self._peers: dict[str, tuple[Address, str]] = {}
        self._receivers: dict[type, Receiver] = {}
        self._default_receiver: Receiver | None = None

    def update_from_member(self, versioned: Versioned) -> None:
        """Sets a peer's address from its member object; other objects are ignored."""
        if not versioned.key.startswith(objects.MEMBER_PREFIX):
            return
        try:
            member = objects.decode_member(versioned.value)
        except DaemonError as error:
            _log.error("object_malformed", key=versioned.key, detail=error.detail)
            return
        self.set_address(member.node, member.peer, member.public_key)

    def set_address(self, node: str, address: Address, public_key: str) -> None:
        """Sets the address and public key of a peer; a change closes its link."""
        previous = self._peers.get(node)
        self._peers[node] = (address, public_key)
        if previous is not None and previous != self._peers[node]:
            self._link.disconnect(node)

    def send(self, node: str, message: Message) -> None:
        """Sends a message without waiting for delivery; it may be lost."""
        peer = self._peers.get(node)
        if peer is not None and node != self._node:
            self._link.connect(node, *peer)
            self._link.send(node, message)

    def route_to(
        self, records: Receiver, suspects: Receiver, ledgers: Receiver
    ) -> None:
        """Sets the receivers of messages that do not concern ownership or load.

        Args:
            records: Receives messages about the platform's objects.
            suspects: Receives notices of crash suspects.
            ledgers: Receives the ledgers of slices that are handed over.
        """
        for kind in (VersionsNotice, RecordsRequest, RecordsReply, JoinRequest):
            self._receivers[kind] = records
        self._receivers[CrashSuspectNotice] = suspects
        self._receivers[LedgerHandOver] = ledgers

    def set_default_receiver(self, control: Receiver) -> None:
        """Sets the receiver of all other messages, which are dropped without one."""
        self._default_receiver = control

    async def run(self) -> None:
        """Dispatches received messages until cancelled."""
        while True:
            received = await self._link.receive()
            message = received.message
            if isinstance(message, JoinRequest):
                self.set_address(received.sender, message.peer, message.public_key)
            receiver = self._receivers.get(type(message), self._default_receiver)
            if receiver is not None:
                receiver(received.sender, message)
