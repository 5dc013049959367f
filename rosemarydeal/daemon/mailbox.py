"""Gives a task a bounded queue of typed events."""

from __future__ import annotations

import asyncio
from typing import Generic, TypeVar

__all__ = ["Mailbox"]

Event = TypeVar("Event")


class Mailbox(Generic[Event]):
    """Queues events for the one task that owns some state."""

    def __init__(self, capacity: int) -> None:
        self._queue: asyncio.Queue[Event] = asyncio.Queue(capacity)
        self._dropped = 0

    @property
    def dropped(self) -> int:
        """Returns the number of events that found the queue full."""
        return self._dropped

    def post(self, event: Event) -> bool:
        """Queues an event without waiting.

        Args:
            event: The event.

        Returns:
            Whether there was room; an event without room counts as dropped.
        """
        try:
            self._queue.put_nowait(event)
        except asyncio.QueueFull:
            self._dropped += 1
            return False
        return True

    async def receive(self) -> Event:
        """Waits for the next event."""
        return await self._queue.get()
