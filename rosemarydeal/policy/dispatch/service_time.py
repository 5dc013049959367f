"""Estimates how long requests run at the upstream, and how much work comes.

Load pattern: kinds of request with different work on an upstream whose pace
changes within seconds. Estimates follow the last dozen requests of each route.
"""

from __future__ import annotations

import math

__all__ = ["ServiceTimes"]

# Weight of a new measurement: the last dozen requests count.
NEW_WEIGHT = 0.12
# Assumed before the first request has ended, in seconds.
UNKNOWN_S = 0.1
# Arrival rates follow the last second, in which a key can become busy.
RATE_MEMORY_S = 1.0


class ServiceTimes:
    """Keeps smoothed service times by route and arrival rates by rank."""

    def __init__(self) -> None:
        self._mean_s: dict[str, float] = {}
        self._work_s: dict[int, float] = {}
        self._last: dict[int, float] = {}

    def expected_s(self, route: str) -> float:
        """Returns how long a request of a route runs, in seconds."""
        return self._mean_s.get(route, UNKNOWN_S)

    def record_service_time(self, route: str, seconds: float) -> None:
        """Takes the time that a request ran."""
        old = self._mean_s.get(route, seconds)
        self._mean_s[route] = old + NEW_WEIGHT * (seconds - old)

    def record_arrival(self, rank: int, route: str, now: float) -> None:
        """Counts an arrival and the work that it brings."""
        since = now - self._last.get(rank, now)
        fading = math.exp(-since / RATE_MEMORY_S)
        brought = self.expected_s(route) / RATE_MEMORY_S
        self._work_s[rank] = self._work_s.get(rank, 0.0) * fading + brought
        self._last[rank] = now

    def demand(self, now: float) -> float:
        """Returns the work that arrives a second, in seconds of one slot."""
        return sum(
            work * math.exp((self._last[rank] - now) / RATE_MEMORY_S)
            for rank, work in self._work_s.items()
        )

    def work_rate_above(self, rank: int) -> float:
        """Returns the work a second of all ranks more urgent than one."""
        return sum(work for other, work in self._work_s.items() if other < rank)
