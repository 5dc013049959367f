"""Learns the platform's objects and tells the other tasks of new versions.

An object's version never goes back: a stale read or a late message of a peer
changes nothing. While the platform can't be reached the last known versions
stay in force. The history of configurations is not followed: nothing that runs
needs it, and it holds every version.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable

import structlog

from rosemarydeal.core import Versioned
from rosemarydeal.core.clock import now
from rosemarydeal.platform import Platform, PlatformError

from .objects import WATCHED_PREFIXES

__all__ = ["RecordsTask"]

WATCH_S = 20.0
RETRY_MIN_S = 0.2
RETRY_MAX_S = 2.0
MAX_RETRY_DOUBLINGS = 5
REFRESH_S = 0.5

_log = structlog.get_logger()


class RecordsTask:
    """Owns the newest known version of each platform object."""

    def __init__(self, platform: Platform, seed: int) -> None:
        self._platform = platform
        self._random = random.Random(seed)
        self._objects: dict[str, Versioned] = {}
        self._listeners: list[Callable[[Versioned], None]] = []
        self._reachable = False
        self._revision = 0
        self._refreshed: dict[str, float] = {}
        self._reads: set[asyncio.Task[None]] = set()

    @property
    def objects(self) -> dict[str, Versioned]:
        """Returns the newest known objects by key; not to be changed."""
        return self._objects

    @property
    def reachable(self) -> bool:
        """Says whether the platform answered the last call."""
        return self._reachable

    def subscribe(self, listener: Callable[[Versioned], None]) -> None:
        """Calls a listener with each new version of an object."""
        self._listeners.append(listener)

    def learn(self, found: Versioned) -> bool:
        """Takes in an object, unless a newer version is known.

        Args:
            found: The object as read.

        Returns:
            Whether the version was new.
        """
        known = self._objects.get(found.key)
        if known is not None and known.version >= found.version:
            return False
        self._objects[found.key] = found
        for listener in self._listeners:
            listener(found)
        return True

    async def read(self, key: str) -> None:
        """Reads one object now, for example after a conflict."""
        try:
            found = await self._platform.get(key)
        except PlatformError:
            return
        if found is not None:
            self.learn(found)

    def refresh(self, key: str) -> None:
        """Reads one object soon, unless it was read or asked for just now."""
        moment = now()
        if moment - self._refreshed.get(key, float("-inf")) < REFRESH_S:
            return
        self._refreshed[key] = moment
        task = asyncio.create_task(self.read(key))
        self._reads.add(task)
        task.add_done_callback(self._reads.discard)

    async def run(self) -> None:
        """Follows the platform's changes until cancelled."""
        failures = 0
        while True:
            try:
                await self._follow_once()
                failures = 0
            except PlatformError as error:
                failures += 1
                self._note_failure(error)
                await asyncio.sleep(self._pause(failures))

    async def _follow_once(self) -> None:
        """Waits for the next changes and takes them in."""
        wait_s = WATCH_S if self._reachable else 0.0
        changes = await self._platform.watch(WATCHED_PREFIXES, self._revision, wait_s)
        self._reachable = True
        self._revision = changes.revision
        for found in changes.objects:
            self.learn(found)

    def _note_failure(self, error: PlatformError) -> None:
        """Logs the begin of an outage."""
        if self._reachable:
            _log.warning("platform_unreachable", code=error.code, detail=error.detail)
        self._reachable = False

    def _pause(self, failures: int) -> float:
        """Returns the jittered pause before the next try, in seconds."""
        doublings = min(failures, MAX_RETRY_DOUBLINGS)
        longest = min(RETRY_MAX_S, RETRY_MIN_S * 2**doublings)
        return self._random.uniform(longest / 2, longest)
