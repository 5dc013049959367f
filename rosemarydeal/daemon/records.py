"""Caches the platform's objects and notifies the other tasks of new versions.

An object's version never decreases: a stale read or a delayed message of a peer
changes nothing. While the platform is unreachable, the cached versions stay in
force. The history of configurations is not watched: no running task needs it,
and it contains every version.
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
    """How a process without peers finds them.

    Attributes:
        request: Message to the seeds, with the address of this process and the
            prefixes of the objects to return.
        seeds: Names of the seeds at the peer router.
    """

    request: JoinRequest
    seeds: tuple[str, ...]


class RecordsTask:
    """Owns the newest version of each platform object."""

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
        """Returns the newest objects by key."""
        return self._state.records

    @property
    def reachable(self) -> bool:
        """Returns whether the last watch of the platform succeeded."""
        return self._reachable

    @property
    def complete(self) -> asyncio.Event:
        """Returns the event that is set after the first full read of the platform."""
        return self._complete

    def subscribe(self, listener: Callable[[Versioned], None]) -> None:
        """Adds a listener that is called with each new version of an object."""
        self._listeners.append(listener)

    def add(self, versioned: Versioned) -> bool:
        """Adds an object, unless the same or a newer version is cached.

        Args:
            versioned: The object as read.

        Returns:
            Whether the object was added.
        """
        self._state, new = versions.add_record(self._state, versioned)
        if new:
            self._notify(versioned)
        return new

    def on_message(self, sender: str, message: Message) -> None:
        """Handles a peer's message about the platform's objects."""
        result = versions.on_message(self._state, sender, message, now())
        self._perform(result)

    async def read(self, key: str) -> None:
        """Reads one object at once, for example after a conflict."""
        try:
            versioned = await self._platform.get(key)
        except PlatformError:
            return
        if versioned is not None:
            self.add(versioned)

    def refresh(self, key: str) -> None:
        """Reads one object in the background, at most once per interval."""
        current_time = now()
        if (
            current_time - self._refreshed_at.get(key, float("-inf"))
            < REFRESH_INTERVAL_S
        ):
            return
        self._refreshed_at[key] = current_time
        task = asyncio.create_task(self.read(key))
        self._reads.add(task)
        task.add_done_callback(self._reads.discard)

    async def run(self) -> None:
        """Watches the platform while this process is one of the watchers.

        Every process reads the platform once at its start. After that only a few
        processes of an availability zone watch it; the others receive changes from
        their peers.
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
        """Exchanges object versions with peers until cancelled."""
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
        """Starts or stops watching the platform, as the policy decides."""
        if versions.is_watcher(self._state):
            self._watching.set()
        else:
            self._watching.clear()

    def _query_seeds(self) -> None:
        """Requests all watched objects from the seeds in the settings."""
        for seed in self._join.seeds:
            self._peer_router.send(seed, self._join.request)

    def _perform(self, result: versions.VersionsResult) -> None:
        """Stores the policy's state and performs its actions."""
        self._state, actions = result
        for action in actions:
            match action:
                case Send(to, message):
                    self._peer_router.send(to, message)
                case versions.RecordReceived(record):
                    self._notify(record)

    def _notify(self, versioned: Versioned) -> None:
        """Notifies the listeners of a new version."""
        if versioned.key.startswith(MEMBER_PREFIX):
            self._members_changed = True
        for listener in self._listeners:
            listener(versioned)

    def _members(self) -> list[Member]:
        """Returns all members whose objects can be decoded."""
        members = []
        for key, versioned in self._state.records.items():
            if key.startswith(MEMBER_PREFIX):
                with contextlib.suppress(DaemonError):
                    members.append(decode_member(versioned.value))
        return members

    async def _watch_once(self) -> None:
        """Waits for the next changes and adds them."""
        wait_s = WATCH_TIMEOUT_S if self._reachable else 0.0
        changes = await self._platform.watch(WATCHED_PREFIXES, self._revision, wait_s)
        self._reachable = True
        self._revision = changes.revision
        for versioned in changes.objects:
            self.add(versioned)
        self._complete.set()

    def _on_failure(self, error: PlatformError) -> None:
        """Logs the start of a platform outage."""
        if self._reachable:
            _log.warning("platform_unreachable", code=error.code, detail=error.detail)
        self._reachable = False

    def _retry_delay_s(self, failures: int) -> float:
        """Returns the delay before the next attempt, in seconds, with jitter."""
        doublings = min(failures, MAX_RETRY_DOUBLINGS)
        max_delay_s = min(RETRY_MAX_S, RETRY_MIN_S * 2**doublings)
        return self._random.uniform(max_delay_s / 2, max_delay_s)
