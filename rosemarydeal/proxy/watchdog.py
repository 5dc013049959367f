"""Runs an action when a phase of a connection takes too long.

One timer serves a connection for its whole life: arming only notes a moment,
and a timer that fires early sets itself again. Timers per read would cost
more than the reads.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

__all__ = ["Watchdog"]


class Watchdog:
    """Calls an action once the armed time has passed."""

    def __init__(self) -> None:
        self._loop = asyncio.get_running_loop()
        self._timer: asyncio.TimerHandle | None = None
        self._deadline: float | None = None
        self._action: Callable[[], None] | None = None

    def arm(self, seconds: float, action: Callable[[], None]) -> None:
        """Sets the action and the time to it, in place of any earlier one.

        Args:
            seconds: Time until the action, in seconds.
            action: What to do then.
        """
        self._deadline = self._loop.time() + seconds
        self._action = action
        if self._timer is not None and self._timer.when() > self._deadline:
            self._timer.cancel()
            self._timer = None
        if self._timer is None:
            self._timer = self._loop.call_at(self._deadline, self._fire)

    def disarm(self) -> None:
        """Forgets the action; the timer runs out by itself."""
        self._deadline = None
        self._action = None

    def close(self) -> None:
        """Forgets the action and stops the timer."""
        self.disarm()
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _fire(self) -> None:
        """Runs the action, or sets the timer again when it is early."""
        self._timer = None
        if self._deadline is None:
            return
        if self._loop.time() < self._deadline:
            self._timer = self._loop.call_at(self._deadline, self._fire)
            return
        action = self._action
        self.disarm()
        action()
