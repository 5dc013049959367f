"""Timeouts for the phases of a connection.

A connection uses one event loop timer for all its timeouts. Arming sets a new
deadline, and a timer that fires before the deadline is rescheduled. One timer
for each read would cost more than the reads themselves.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

__all__ = ["Watchdog"]


class Watchdog:
    """Timer that calls an action when its deadline passes."""

    def __init__(self) -> None:
        self._loop = asyncio.get_running_loop()
        self._timer: asyncio.TimerHandle | None = None
        self._deadline: float | None = None
        self._action: Callable[[], None] | None = None

    def arm(self, seconds: float, action: Callable[[], None]) -> None:
        """Sets the action and its deadline, replacing any earlier ones.

        Args:
            seconds: Time until the action, in seconds.
            action: Called when the time has passed.
        """
        self._deadline = self._loop.time() + seconds
        self._action = action
        if self._timer is not None and self._timer.when() > self._deadline:
            self._timer.cancel()
            self._timer = None
        if self._timer is None:
            self._timer = self._loop.call_at(self._deadline, self._fire)

    def disarm(self) -> None:
        """Clears the action; the pending timer then does nothing."""
        self._deadline = None
        self._action = None

    def close(self) -> None:
        """Clears the action and cancels the timer."""
        self.disarm()
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _fire(self) -> None:
        """Runs the action, or reschedules the timer if it fired early."""
        self._timer = None
        if self._deadline is None:
            return
        if self._loop.time() < self._deadline:
            self._timer = self._loop.call_at(self._deadline, self._fire)
            return
        action = self._action
        self.disarm()
        action()
