"""Estimates of service times and of the offered load of an upstream.

Load pattern: routes whose requests take different amounts of work, on an upstream
whose speed changes within seconds. The estimate of a route follows about its last
dozen requests.
"""

from __future__ import annotations

import math

__all__ = ["ServiceTimes"]

# Weight of a new measurement in the moving average: covers about a dozen requests.
SMOOTHING_WEIGHT = 0.12
# Assumed for a route until its first request has completed.
DEFAULT_SERVICE_TIME_S = 0.1
# The load on a key can rise within a second.
RATE_TIME_CONSTANT_S = 1.0


class ServiceTimes:
    """Smoothed service times by route and rates of arriving work by rank."""

    def __init__(self) -> None:
        self._mean_s: dict[str, float] = {}
        self._work_rate: dict[int, float] = {}
        self._last_arrival_at: dict[int, float] = {}

    def expected_s(self, route: str) -> float:
        """Returns the expected service time of a route, in seconds."""
        return self._mean_s.get(route, DEFAULT_SERVICE_TIME_S)

    def record_service_time(self, route: str, seconds: float) -> None:
        """Updates the estimate of a route with a measured service time."""
        mean_s = self._mean_s.get(route, seconds)
        self._mean_s[route] = mean_s + SMOOTHING_WEIGHT * (seconds - mean_s)

    def record_arrival(self, rank: int, route: str, now: float) -> None:
        """Adds the expected work of an arriving request to its rank's rate."""
        elapsed_s = now - self._last_arrival_at.get(rank, now)
        decay = math.exp(-elapsed_s / RATE_TIME_CONSTANT_S)
        added_rate = self.expected_s(route) / RATE_TIME_CONSTANT_S
        self._work_rate[rank] = self._work_rate.get(rank, 0.0) * decay + added_rate
        self._last_arrival_at[rank] = now

    def demand(self, now: float) -> float:
        """Returns the offered load: seconds of work of one slot arriving per second."""
        return sum(
            rate * math.exp((self._last_arrival_at[rank] - now) / RATE_TIME_CONSTANT_S)
            for rank, rate in self._work_rate.items()
        )

    def work_rate_above(self, rank: int) -> float:
        """Returns the arriving work per second of all ranks more urgent than `rank`."""
        return sum(rate for other, rate in self._work_rate.items() if other < rank)
