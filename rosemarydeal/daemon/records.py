"""Learns the platform's objects and tells the other tasks of new versions.

An object's version never goes back: a stale read or a late message of a peer
changes nothing. While the platform can't be reached the last known versions
stay in force. The history of configurations is not followed: nothing that runs
needs it, and it holds every version.
"""

from __future__ import annotations

import asyncio
import contextlib
import random
from collections.abc import Callable, Mapping
from dataclasses import dataclass

import structlog

from rosemarydeal.core import Member, Versioned
from rosemarydeal.core.clock import now
from rosemarydeal.core.messages import JoinRequest, Message
from rosemarydeal.objects import Platform, PlatformError
from rosemarydeal.policy import versions
from rosemarydeal.policy.interface import Send

from .errors import DaemonError
from .objects import MEMBER_PREFIX, WATCHED_PREFIXES, decode_member
from .peer_router import PeerRouter

__all__ = ["JoinSettings", "RecordsTask"]

WATCH_TIMEOUT_S = 20.0
RETRY_MIN_S = 0.2
RETRY_MAX_S = 2.0
MAX_RETRY_DOUBLINGS = 5
REFRESH_INTERVAL_S = 0.5
EXCHANGE_INTERVAL_S = 0.25

_log = structlog.get_logger()


@dataclass(frozen=True, slots=True)
class JoinSettings:
    """Says how a process that knows nobody gets to know its peers.

    Attributes:
        request: What it says of itself, with what it wants to know.
        seeds: Names under which the peer router knows the seeds.
    """

    request: JoinRequest
    seeds: tuple[str, ...]


class RecordsTask:
    """Owns the newest known version of each platform object."""

    def __init__(
        self,
        platform: Platform,
        state: versions.VersionsState,
        peer_router: PeerRouter,
        join: JoinSettings,
    ) -> None:
        self._platform = platform
        self._state = state
        self._peer_router = peer_router
        self._join = join
        self._random = random.Random(state.seed)
        self._listeners: list[Callable[[Versioned], None]] = []
        self._reachable = False
        self._complete = asyncio.Event()
        self._revision = 0
        self._refreshed_at: dict[str, float] = {}
        self._reads: set[asyncio.Task[None]] = set()
        self._members_changed = False
        self._watching = asyncio.Event()
        self._watching.set()

    @property
    def objects(self) -> Mapping[str, Versioned]:
        """Returns the newest known objects by key."""
        return self._state.records

    @property
    def reachable(self) -> bool:
        """Says whether the platform answered the last call."""
        return self._reachable

    @property
    def complete(self) -> asyncio.Event:
        """Returns the event that is set once the platform was read in whole."""
        return self._complete

    def subscribe(self, listener: Callable[[Versioned], None]) -> None:
        """Calls a listener with each new version of an object."""
        self._listeners.append(listener)

    def add(self, versioned: Versioned) -> bool:
        """Takes in an object, unless a newer version is known.

        Args:
            versioned: The object as read.

        Returns:
            Whether the version was new.
        """
        self._state, new = versions.add_record(self._state, versioned)
        if new:
            self._notify(versioned)
        return new

    def on_message(self, sender: str, message: Message) -> None:
        """Takes in what a peer says of the platform's objects."""
        result = versions.on_message(self._state, sender, message, now())
        self._perform(result)

    async def read(self, key: str) -> None:
        """Reads one object now, for example after a conflict."""
        try:
            versioned = await self._platform.get(key)
        except PlatformError:
            return
        if versioned is not None:
            self.add(versioned)

    def refresh(self, key: str) -> None:
        """Reads one object soon, unless it was read or asked for just now."""
        current = now()
        if current - self._refreshed_at.get(key, float("-inf")) < REFRESH_INTERVAL_S:
            return
        self._refreshed_at[key] = current
        task = asyncio.create_task(self.read(key))
        self._reads.add(task)
        task.add_done_callback(self._reads.discard)

    async def run(self) -> None:
        """Follows the platform's changes while it is this process's turn.

        Every process reads the platform once at its start; after that only a
        few of an availability zone watch, and the others learn from peers.
        """
        failures = 0
        while True:
            try:
                await self._watch_once()
                failures = 0
            except PlatformError as error:
                failures += 1
                self._on_failure(error)
                await asyncio.sleep(self._retry_delay_s(failures))
            if self._reachable:
                await self._watching.wait()

    async def exchange(self) -> None:
        """Compares versions with peers until cancelled."""
        while True:
            await asyncio.sleep(EXCHANGE_INTERVAL_S)
            if self._members_changed:
                self._members_changed = False
                self._state = versions.set_peers(self._state, self._members())
                self._update_watching()
            if not self._state.peers:
                self._query_seeds()
            self._perform(versions.on_tick(self._state, now()))

    def _update_watching(self) -> None:
        """Starts or ends to watch the platform."""
        if versions.is_watcher(self._state):
            self._watching.set()
        else:
            self._watching.clear()

    def _query_seeds(self) -> None:
        """Asks the seeds of the settings for all that a start needs."""
        for seed in self._join.seeds:
            self._peer_router.send(seed, self._join.request)

    def _perform(self, result: versions.VersionsResult) -> None:
        """Keeps the policy's state and carries out its actions."""
        self._state, actions = result
        for action in actions:
            match action:
                case Send(to, message):
                    self._peer_router.send(to, message)
                case versions.RecordReceived(record):
                    self._notify(record)

    def _notify(self, versioned: Versioned) -> None:
        """Tells the listeners of a new version."""
        if versioned.key.startswith(MEMBER_PREFIX):
            self._members_changed = True
        for listener in self._listeners:
            listener(versioned)

    def _members(self) -> list[Member]:
        """Returns all known members that can be read."""
        members = []
        for key, versioned in self._state.records.items():
            if key.startswith(MEMBER_PREFIX):
                with contextlib.suppress(DaemonError):
                    members.append(decode_member(versioned.value))
        return members

    async def _watch_once(self) -> None:
        """Waits for the next changes and takes them in."""
        wait_s = WATCH_TIMEOUT_S if self._reachable else 0.0
        changes = await self._platform.watch(WATCHED_PREFIXES, self._revision, wait_s)
        self._reachable = True
        self._revision = changes.revision
        for versioned in changes.objects:
            self.add(versioned)
        self._complete.set()

    def _on_failure(self, error: PlatformError) -> None:
        """Logs the begin of an outage."""
        if self._reachable:
            _log.warning("platform_unreachable", code=error.code, detail=error.detail)
        self._reachable = False

    def _retry_delay_s(self, failures: int) -> float:
        """Returns the jittered pause before the next try, in seconds."""
        doublings = min(failures, MAX_RETRY_DOUBLINGS)
        max_delay_s = min(RETRY_MAX_S, RETRY_MIN_S * 2**doublings)
        return self._random.uniform(max_delay_s / 2, max_delay_s)
