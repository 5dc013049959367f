"""Discrete event clock in virtual time, reproducible for a seed."""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable

__all__ = ["VirtualClock", "poisson_arrivals", "seeded"]


class VirtualClock:
    """Event queue ordered by virtual time; ties run in order of insertion."""

    def __init__(self) -> None:
        self._queue: list[tuple[float, int, Callable[..., None], tuple]] = []
        self._count = 0
        self._now = 0.0

    @property
    def now(self) -> float:
        """Returns the virtual time, in seconds."""
        return self._now

    def at(self, moment: float, callback: Callable[..., None], *arguments) -> None:
        """Schedules a callback at a time, or now if that has passed."""
        self._count += 1
        entry = (max(moment, self._now), self._count, callback, arguments)
        heapq.heappush(self._queue, entry)

    def after(self, delay: float, callback: Callable[..., None], *arguments) -> None:
        """Schedules a callback after a delay in seconds."""
        self.at(self._now + delay, callback, *arguments)

    def every(self, period: float, callback: Callable[[], None]) -> None:
        """Runs a callback now and then once a period for as long as the clock runs."""
        callback()
        self.after(period, self.every, period, callback)

    def run(self, until: float) -> None:
        """Runs all callbacks that are due up to a time, inclusive."""
        while self._queue and self._queue[0][0] <= until:
            self._now, _, callback, arguments = heapq.heappop(self._queue)
            callback(*arguments)
        self._now = until


def seeded(seed: int, purpose: str) -> random.Random:
    """Returns a random generator determined by the seed and the purpose."""
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
        source: Random generator of the intervals.
        rate: Arrivals per second at a time; must be above zero.
        until: Time after which no arrival is generated, in seconds.
        on_arrival: Called at each arrival.
    """

    def next_arrival() -> None:
        if clock.now < until:
            on_arrival()
            clock.after(source.expovariate(rate(clock.now)), next_arrival)

    clock.after(source.expovariate(rate(clock.now)), next_arrival)
