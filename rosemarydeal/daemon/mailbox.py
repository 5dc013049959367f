"""Defines the bounded event queue of a task."""

from __future__ import annotations

import asyncio
from typing import Generic, TypeVar

__all__ = ["Mailbox"]

Event = TypeVar("Event")


class Mailbox(Generic[Event]):
    """A bounded queue of events for the task that owns a state."""

    def __init__(self, capacity: int) -> None:
        self._queue: asyncio.Queue[Event] = asyncio.Queue(capacity)
        self._dropped = 0

    @property
    def dropped(self) -> int:
        """Returns the number of events dropped because the queue was full."""
        return self._dropped

    def post(self, event: Event) -> bool:
        """Queues an event without waiting.

        Args:
            event: The event.

        Returns:
            Whether the event was queued; it is dropped if the queue is full.
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
