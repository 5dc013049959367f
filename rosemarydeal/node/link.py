"""Holds what is known of the link to one peer, and connects it to other tasks."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from rosemarydeal.core import Address
from rosemarydeal.core.requests import RequestOutcome, RoutedRequest

from .frames import FrameConnection
from .messages import (
    CrashSuspects,
    ObjectListing,
    ObjectUpdate,
    Pong,
    StoreRelayReply,
    StoreRelayRequest,
    SuspectCleared,
    TableDelta,
)

__all__ = ["Link", "LinkHooks", "PeerState"]


@dataclass(frozen=True, slots=True)
class PeerState:
    """Is what a peer said of itself last.

    Attributes:
        running: Requests at its upstream.
        waiting: Requests that wait for its upstream.
        slots: Requests that its upstream runs at a time.
        demand: Work that arrives there, as a share of what its slots can do.
        pace: Smoothed pace of its upstream, 1.0 as usual.
    """

    running: int
    waiting: int
    slots: int
    demand: float
    slowdown: float


@dataclass(frozen=True, slots=True)
class LinkHooks:
    """Connects the links to the other tasks.

    Attributes:
        serve: Runs an order of another process at the own upstream.
        pong: Builds the answer to a ping.
        known: Returns the revisions of the objects that are known.
        on_known: Called with a node and the revisions that it knows.
        fetch: Returns all objects of a kind.
        on_objects: Called with objects that a peer sent.
        on_notice: Called with an object that a peer sent.
        on_table_change: Called with how a peer changed a table.
        on_blame: Called with requests that are blamed for a crash.
        on_acquittal: Called with a blamed request that has succeeded at a peer.
        relay: Calls the store for a peer.
    """

    serve: Callable[[RoutedRequest], Awaitable[RequestOutcome]]
    pong: Callable[[], Pong]
    known_revisions: Callable[[], tuple[int, ...]]
    on_known_revisions: Callable[[str, tuple[int, ...]], None]
    fetch: Callable[[str], ObjectListing]
    on_object_listing: Callable[[ObjectListing], None]
    on_object_update: Callable[[ObjectUpdate], None]
    on_table_delta: Callable[[TableDelta], None]
    on_crash_suspects: Callable[[CrashSuspects], None]
    on_suspect_cleared: Callable[[SuspectCleared], None]
    relay_store_call: Callable[[StoreRelayRequest], Awaitable[StoreRelayReply | None]]


class Link:
    """Is the link that this process opened to one other."""

    def __init__(self, node: str, address: Address) -> None:
        self.node = node
        self.address = address
        self.connection: FrameConnection | None = None
        self.pending_requests: dict[int, asyncio.Future[RequestOutcome]] = {}
        self.pending_store_calls: dict[int, asyncio.Future[StoreRelayReply]] = {}
        self.task: asyncio.Task[None] | None = None
        self.disconnected = asyncio.Event()
        self.peer_state: PeerState | None = None
        self.leaving = False
        self.unreachable_since: float | None = None

    @property
    def up(self) -> bool:
        """Tells whether messages can be sent."""
        return self.connection is not None and self.connection.open
