"""State of the link to one peer, and the callbacks from links to other tasks."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from rosemarydeal.core import Address
from rosemarydeal.core.fleet import Revision
from rosemarydeal.core.requests import RequestOutcome, RoutedRequest
from rosemarydeal.policy.requests.settlement import Permit

from .frames import FrameConnection
from .held_outcomes import PendingRequest
from .messages import (
    CrashSuspects,
    LoadReport,
    Message,
    ObjectChanges,
    ObjectListing,
    ObjectUpdate,
    Ping,
    Pong,
    StoreRelayReply,
    StoreRelayRequest,
    SuspectCleared,
    TableDelta,
)

__all__ = ["Link", "LinkHooks", "PeerState", "PingReceipt"]

# Takes 0.1 s at 5 Mbit/s.
LARGE_BODY_BYTES = 64 * 1024


@dataclass(frozen=True, slots=True)
class PeerState:
    """Load that a peer last reported.

    Attributes:
        running: Requests running at its upstream.
        waiting: Requests queued for its upstream.
        slots: Requests that its upstream runs concurrently.
        demand: Arriving work as a share of the capacity of its slots.
        limit_demand: Arriving requests as a share of its rate limit, 0 without one.
        slowdown: Smoothed slowdown factor of its upstream; 1.0 is normal.
        limit_delay_s: Time for which its rate limit delays a further request.
        reported_at: When the report arrived, by the event loop's clock.
    """

    running: int
    waiting: int
    slots: int
    demand: float
    limit_demand: float
    slowdown: float
    limit_delay_s: float
    reported_at: float


@dataclass(frozen=True, slots=True)
class LinkHooks:
    """Callbacks from the links to the other tasks.

    Attributes:
        serve: Runs a peer's request at the own upstream, if its permit lets it begin.
        load: Returns the load of the own upstream.
        pong: Builds the reply to a ping.
        known_revisions: Returns the last known revision of each kind.
        on_known_revisions: Called with the connection to a peer and the last revisions
            that it knows.
        fetch: Returns all objects of a kind.
        on_object_listing: Called with all objects of a kind, as a peer has them.
        on_object_update: Called with a changed object that a peer sent.
        on_object_changes: Called with the connection to a peer and the changes that it
            sent.
        on_table_delta: Called with a table delta that a peer sent.
        crash_suspects: Returns the suspects of crashes, for a peer that may know none;
            None if there are none.
        on_crash_suspects: Called with the requests suspected of a peer's crash.
        on_suspect_cleared: Called with a suspect that has succeeded at a peer.
        on_store_silence: Called when a process of the zone had a silent connection
            to the store.
        relay_store_call: Calls the store on behalf of a peer.
    """

    serve: Callable[[RoutedRequest, Permit], Awaitable[RequestOutcome]]
    load: Callable[[], LoadReport]
    pong: Callable[[], Pong]
    known_revisions: Callable[[], tuple[Revision, ...]]
    on_known_revisions: Callable[[FrameConnection, tuple[Revision, ...]], None]
    fetch: Callable[[str], ObjectListing]
    on_object_listing: Callable[[ObjectListing], None]
    on_object_update: Callable[[ObjectUpdate], None]
    on_object_changes: Callable[[FrameConnection, ObjectChanges], None]
    on_table_delta: Callable[[TableDelta], None]
    crash_suspects: Callable[[], CrashSuspects | None]
    on_crash_suspects: Callable[[CrashSuspects], None]
    on_suspect_cleared: Callable[[SuspectCleared], None]
    on_store_silence: Callable[[], None]
    relay_store_call: Callable[[StoreRelayRequest], Awaitable[StoreRelayReply | None]]


@dataclass(slots=True)
class _Pings:
    """Pings on one connection, which the peer answers in order.

    Attributes:
        sent: Number of pings sent.
        answered: Number of answers received.
    """

    sent: int = 0
    answered: int = 0


@dataclass(frozen=True, slots=True)
class PingReceipt:
    """A ping that was sent, and with it all messages before it on its connection."""

    pings: _Pings
    number: int

    @property
    def answered(self) -> bool:
        """Returns whether the peer has handled the ping and all messages before."""
        return self.pings.answered >= self.number


class Link:
    """A link that this process opened to a peer."""

    def __init__(self, node: str, address: Address) -> None:
        self.node = node
        self.address = address
        self.connection: FrameConnection | None = None
        self.pending_requests: dict[int, PendingRequest] = {}
        self.pending_store_calls: dict[int, asyncio.Future[StoreRelayReply]] = {}
        self.task: asyncio.Task[None] | None = None
        self.disconnected = asyncio.Event()
        self.check_requested = asyncio.Event()
        self.monitored = True
        self.reported = False
        self.peer_state: PeerState | None = None
        self.leaving = False
        self.reads_store = True
        self.unreachable_since: float | None = None
        # Of the process at the other end of the present connection, empty until it
        # has sent a pong that names it.
        self.process = ""
        self.heard = False
        self._pings = _Pings()

    def opened(self, connection: FrameConnection) -> None:
        """Uses a new connection, on which nothing has been heard yet."""
        self.connection = connection
        self.process = ""
        self.heard = False
        self.leaving = False
        self.reads_store = True
        self._pings = _Pings()

    def ping(self, known_revisions: tuple[Revision, ...]) -> PingReceipt | None:
        """Sends a ping; returns None if the connection does not accept it."""
        if self.connection is None or not self.connection.send(Ping(known_revisions)):
            return None
        self._pings.sent += 1
        return PingReceipt(self._pings, self._pings.sent)

    def note_pong(self) -> None:
        """Counts an answer to a ping on the present connection."""
        self._pings.answered += 1

    def suspect(self) -> None:
        """Has the link checked now: its peer answers elsewhere, and not on it."""
        self.reported = True
        self.check_requested.set()

    def send(self, message: Message) -> None:
        """Sends a message if the link is up; delivery is not guaranteed."""
        if self.connection is not None:
            self.connection.send(message)

    def abort(self) -> None:
        """Closes the connection, if there is one, without sending what is buffered."""
        if self.connection is not None:
            self.connection.abort()

    @property
    def oldest_request_at(self) -> float | None:
        """Returns when the longest-waiting request was sent, None without any."""
        oldest = next(iter(self.pending_requests.values()), None)
        return oldest.sent_at if oldest is not None else None

    @property
    def sends_large_body(self) -> bool:
        """Returns whether the body of a waiting request may delay other messages."""
        return any(
            len(pending.request.body) > LARGE_BODY_BYTES
            for pending in self.pending_requests.values()
        )

    @property
    def up(self) -> bool:
        """Returns whether messages can be sent."""
        return self.connection is not None and self.connection.open
