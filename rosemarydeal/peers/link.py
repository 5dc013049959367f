"""Sends and receives messages over ZeroMQ with CURVE encryption.

One ROUTER socket receives, and one DEALER socket per peer sends. A peer whose
public key is not allowed cannot complete the handshake, so none of its data is
ever read. Queues are bounded: messages that do not fit are dropped and
counted, since the protocol tolerates the loss of any message.
"""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Mapping
from dataclasses import dataclass, field

import zmq
import zmq.asyncio

from rosemarydeal.core import Address
from rosemarydeal.core.messages import Message

from .authentication import PeerAuthenticator
from .codec import MAX_MESSAGE_BYTES, decode, encode
from .errors import PeerError, PeerMessageError

__all__ = ["PeerCounters", "PeerLink", "PeerLinkSettings", "ReceivedMessage"]

RECEIVE_QUEUE_MESSAGES = 4096
SEND_QUEUE_MESSAGES = 256
RECONNECT_MS = 100
RECONNECT_MAX_MS = 1000
HANDSHAKE_TIMEOUT_MS = 2000


@dataclass(frozen=True, slots=True)
class PeerLinkSettings:
    """Settings of a process's peer link.

    Attributes:
        node: Name of the process.
        address: Address to listen on.
        public_key: CURVE public key of the process, in Z85.
        secret_key: CURVE secret key of the process, in Z85.
        allowed_keys: Public keys of the peers that may connect, in Z85.
    """

    node: str
    address: Address
    public_key: str
    secret_key: str = field(repr=False)
    allowed_keys: frozenset[str]


@dataclass(frozen=True, slots=True)
class ReceivedMessage:
    """A message with the name of its sender."""

    sender: str
    message: Message


@dataclass(slots=True)
class PeerCounters:
    """Counters of messages and bytes on a peer link."""

    sent: int = 0
    sent_bytes: int = 0
    received: int = 0
    received_bytes: int = 0
    dropped_send: int = 0
    dropped_receive: int = 0
    malformed: int = 0


@dataclass(frozen=True, slots=True)
class _Peer:
    """The sending socket for one peer, and where it connects to."""

    address: Address
    public_key: str
    socket: zmq.Socket


class PeerLink:
    """Owns the sockets between this process and its peers."""

    def __init__(self, settings: PeerLinkSettings) -> None:
        self._settings = settings
        self._context = zmq.asyncio.Context()
        self._authenticator = PeerAuthenticator(self._context, settings.allowed_keys)
        self._peers: dict[str, _Peer] = {}
        self._queue: asyncio.Queue[ReceivedMessage] = asyncio.Queue(
            RECEIVE_QUEUE_MESSAGES
        )
        self._counters = PeerCounters()
        self._task: asyncio.Task[None] | None = None
        self._socket: zmq.asyncio.Socket | None = None
        self._address = settings.address

    @property
    def address(self) -> Address:
        """Returns the listening address; its port is known once started."""
        return self._address

    @property
    def counters(self) -> PeerCounters:
        """Returns the counters of the link."""
        return self._counters

    async def start(self) -> None:
        """Binds the receiving socket and starts receiving.

        Raises:
            PeerError: The address cannot be bound, or a key is not a CURVE key.
        """
        self._authenticator.start()
        try:
            self._socket = self._bind()
        except zmq.ZMQError as error:
            await self._authenticator.stop()
            detail = f"{self._settings.address}: {error.strerror}"
            raise PeerError(detail, "peer_bind") from error
        self._task = asyncio.create_task(self._receive(self._socket))

    def connect(self, node: str, address: Address, public_key: str) -> None:
        """Opens the sending socket for a peer, or keeps it if nothing changed.

        Args:
            node: Name of the peer.
            address: Address on which the peer listens.
            public_key: CURVE public key of the peer, in Z85.
        """
        current = self._peers.get(node)
        if current and (current.address, current.public_key) == (address, public_key):
            return
        self.disconnect(node)
        socket = zmq.Context(self._context).socket(zmq.DEALER)
        socket.linger = 0
        socket.sndhwm = SEND_QUEUE_MESSAGES
        socket.reconnect_ivl = RECONNECT_MS
        socket.reconnect_ivl_max = RECONNECT_MAX_MS
        socket.handshake_ivl = HANDSHAKE_TIMEOUT_MS
        socket.curve_publickey = self._settings.public_key.encode("ascii")
        socket.curve_secretkey = self._settings.secret_key.encode("ascii")
        socket.curve_serverkey = public_key.encode("ascii")
        socket.connect(f"tcp://{address}")
        self._peers[node] = _Peer(address, public_key, socket)

    def disconnect(self, node: str) -> None:
        """Closes the sending socket for a peer, if there is one."""
        peer = self._peers.pop(node, None)
        if peer is not None:
            peer.socket.close()

    def retain(self, nodes: Mapping[str, object] | frozenset[str]) -> None:
        """Closes the sending sockets for all peers except the given ones."""
        for node in [name for name in self._peers if name not in nodes]:
            self.disconnect(node)

    def send(self, node: str, message: Message) -> bool:
        """Sends a message without waiting.

        Args:
            node: Name of the peer.
            message: The message.

        Returns:
            Whether the message was queued; otherwise it is dropped and counted.
        """
        data = encode(self._settings.node, message)
        peer = self._peers.get(node)
        try:
            if peer is None or len(data) > MAX_MESSAGE_BYTES:
                raise zmq.Again
            peer.socket.send(data, zmq.NOBLOCK)
        except zmq.Again:
            self._counters.dropped_send += 1
            return False
        self._counters.sent += 1
        self._counters.sent_bytes += len(data)
        return True

    async def receive(self) -> ReceivedMessage:
        """Waits for the next message from any peer."""
        return await self._queue.get()

    async def close(self) -> None:
        """Stops receiving and closes all sockets."""
        if self._task is not None:
            self._task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await self._task
            # The cancelled read releases the socket in the event loop's next iteration.
            await asyncio.sleep(0)
            self._socket.close()
        for node in list(self._peers):
            self.disconnect(node)
        await self._authenticator.stop()
        self._context.destroy(linger=0)

    def _bind(self) -> zmq.asyncio.Socket:
        """Creates and binds the receiving socket."""
        socket = self._context.socket(zmq.ROUTER)
        socket.linger = 0
        socket.rcvhwm = RECEIVE_QUEUE_MESSAGES
        socket.maxmsgsize = MAX_MESSAGE_BYTES
        socket.handshake_ivl = HANDSHAKE_TIMEOUT_MS
        socket.curve_server = True
        socket.curve_publickey = self._settings.public_key.encode("ascii")
        socket.curve_secretkey = self._settings.secret_key.encode("ascii")
        socket.bind(f"tcp://{self._settings.address}")
        port = int(socket.last_endpoint.rpartition(b":")[2])
        self._address = Address(self._settings.address.host, port)
        return socket

    async def _receive(self, socket: zmq.asyncio.Socket) -> None:
        """Receives, decodes and queues messages until cancelled."""
        while True:
            frames = await socket.recv_multipart()
            self._enqueue(frames)

    def _enqueue(self, frames: list[bytes]) -> None:
        """Queues a message, or drops and counts it if malformed or in excess."""
        try:
            if len(frames) != 2:
                raise PeerMessageError(f"message of {len(frames)} frames instead of 2")
            received = ReceivedMessage(*decode(frames[1]))
        except PeerMessageError:
            self._counters.malformed += 1
            return
        self._counters.received += 1
        self._counters.received_bytes += len(frames[1])
        try:
            self._queue.put_nowait(received)
        except asyncio.QueueFull:
            self._counters.dropped_receive += 1
