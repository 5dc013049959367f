"""Runs callbacks in virtual time, the same way for the same seed."""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable

__all__ = ["VirtualClock", "poisson_arrivals", "seeded"]


class VirtualClock:
    """Orders callbacks by virtual time; equal times run in the order added."""

    def __init__(self) -> None:
        self._queue: list[tuple[float, int, Callable[..., None], tuple]] = []
        self._count = 0
        self._now = 0.0

    @property
    def now(self) -> float:
        """Returns the virtual time, in seconds."""
        return self._now

    def at(self, moment: float, callback: Callable[..., None], *arguments) -> None:
        """Calls back at a moment, or at once where it has passed."""
        self._count += 1
        entry = (max(moment, self._now), self._count, callback, arguments)
        heapq.heappush(self._queue, entry)

    def after(self, delay: float, callback: Callable[..., None], *arguments) -> None:
        """Calls back after a delay in seconds."""
        self.at(self._now + delay, callback, *arguments)

    def every(self, period: float, callback: Callable[[], None]) -> None:
        """Calls back now and then once a period, for as long as the clock runs."""
        callback()
        self.after(period, self.every, period, callback)

    def run(self, until: float) -> None:
        """Runs all callbacks that are due up to a moment."""
        while self._queue and self._queue[0][0] <= until:
            self._now, _, callback, arguments = heapq.heappop(self._queue)
            callback(*arguments)
        self._now = until


def seeded(seed: int, purpose: str) -> random.Random:
    """Returns a random source that depends on the seed and purpose only."""
    return random.Random(f"{seed}/{purpose}")


def poisson_arrivals(
    clock: VirtualClock,
    source: random.Random,
    rate: Callable[[float], float],
    until: float,
    on_arrival: Callable[[], None],
) -> None:
    """Calls `on_arrival` at the times of a Poisson process.

    Args:
        clock: The virtual clock.
        source: Random source of the gaps.
        rate: Arrivals per second at a moment; must be above zero.
        until: Moment of the last arrival, in seconds.
        on_arrival: Called at each arrival.
    """

    def next_arrival() -> None:
        if clock.now < until:
            on_arrival()
            clock.after(source.expovariate(rate(clock.now)), next_arrival)

    clock.after(source.expovariate(rate(clock.now)), next_arrival)
