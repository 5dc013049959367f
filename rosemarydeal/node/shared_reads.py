"""Answers several requests for one object of the store with a single read.

A renewal of a lease needs a read that began after it was requested. A read that is
delayed for a moment serves all requests that arrived before it began.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

from rosemarydeal.core.fleet import StoredObject

__all__ = ["SharedReads"]

_Read = Callable[[str, str], Awaitable[StoredObject | None]]


class SharedReads:
    """Reads that are about to begin, by kind and name."""

    def __init__(self, read: _Read, delay_s: Callable[[], float]) -> None:
        """Creates an empty set.

        Args:
            read: Reads an object from the store.
            delay_s: Returns how long a read waits for further requests, in seconds.
        """
        self._read = read
        self._delay_s = delay_s
        self._waiting: dict[tuple[str, str], asyncio.Task[StoredObject | None]] = {}

    async def read(self, kind: str, name: str) -> StoredObject | None:
        """Returns an object as a read that begins after this call finds it.

        Raises:
            StoreError: The read failed.
        """
        waiting = self._waiting.get((kind, name))
        if waiting is None:
            waiting = asyncio.create_task(self._read_later(kind, name))
            self._waiting[kind, name] = waiting
        # The cancellation of one request must not end the read of the others.
        return await asyncio.shield(waiting)

    async def close(self) -> None:
        """Cancels all waiting reads."""
        tasks = list(self._waiting.values())
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _read_later(self, kind: str, name: str) -> StoredObject | None:
        """Reads an object after the delay, from when on new requests are separate."""
        try:
            await asyncio.sleep(self._delay_s())
        finally:
            del self._waiting[kind, name]
        return await self._read(kind, name)
