"""Estimates how long requests run at the upstream, and how much work comes.

Load pattern: kinds of request with different work on an upstream whose pace
changes within seconds. Estimates follow the last dozen requests of each route.
"""

from __future__ import annotations

import math

__all__ = ["ServiceTimes"]

# Weight of a new measurement: the last dozen requests count.
SMOOTHING_WEIGHT = 0.12
# Assumed before the first request has ended, in seconds.
DEFAULT_SERVICE_TIME_S = 0.1
# Arrival rates follow the last second, in which a key can become busy.
RATE_TIME_CONSTANT_S = 1.0


class ServiceTimes:
    """Keeps smoothed service times by route and arrival rates by rank."""

    def __init__(self) -> None:
        self._mean_s: dict[str, float] = {}
        self._work_rate: dict[int, float] = {}
        self._last_arrival_at: dict[int, float] = {}

    def expected_s(self, route: str) -> float:
        """Returns how long a request of a route runs, in seconds."""
        return self._mean_s.get(route, DEFAULT_SERVICE_TIME_S)

    def record_service_time(self, route: str, seconds: float) -> None:
        """Takes the time that a request ran."""
        mean_s = self._mean_s.get(route, seconds)
        self._mean_s[route] = mean_s + SMOOTHING_WEIGHT * (seconds - mean_s)

    def record_arrival(self, rank: int, route: str, now: float) -> None:
        """Counts an arrival and the work that it brings."""
        elapsed_s = now - self._last_arrival_at.get(rank, now)
        decay = math.exp(-elapsed_s / RATE_TIME_CONSTANT_S)
        added_rate = self.expected_s(route) / RATE_TIME_CONSTANT_S
        self._work_rate[rank] = self._work_rate.get(rank, 0.0) * decay + added_rate
        self._last_arrival_at[rank] = now

    def demand(self, now: float) -> float:
        """Returns the work that arrives a second, in seconds of one slot."""
        return sum(
            rate * math.exp((self._last_arrival_at[rank] - now) / RATE_TIME_CONSTANT_S)
            for rank, rate in self._work_rate.items()
        )

    def work_rate_above(self, rank: int) -> float:
        """Returns the work a second of all ranks more urgent than one."""
        return sum(rate for other, rate in self._work_rate.items() if other < rank)
