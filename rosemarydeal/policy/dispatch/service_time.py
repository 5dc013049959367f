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
# The high estimate of a route covers its mean, this many mean deviations above it, and
# the longest of about its last fifty requests.
HIGH_DEVIATIONS = 4.0
DEVIATION_WEIGHT = 0.25
PEAK_DECAY = 0.02
# Assumed for a route until its first request has completed.
DEFAULT_SERVICE_TIME_S = 0.1
# The load on a key can rise within a second.
RATE_TIME_CONSTANT_S = 1.0


class _RateByRank:
    """Exponentially decaying rates of arrivals, by rank of their priority."""

    def __init__(self) -> None:
        self._rate: dict[int, float] = {}
        self._last_at: dict[int, float] = {}

    def add(self, rank: int, amount: float, now: float) -> None:
        """Adds an arrival of an amount to the rate of its rank."""
        elapsed_s = now - self._last_at.get(rank, now)
        decay = math.exp(-elapsed_s / RATE_TIME_CONSTANT_S)
        added = amount / RATE_TIME_CONSTANT_S
        self._rate[rank] = self._rate.get(rank, 0.0) * decay + added
        self._last_at[rank] = now

    def total(self, now: float) -> float:
        """Returns the rate of all ranks together, per second."""
        return sum(
            rate * math.exp((self._last_at[rank] - now) / RATE_TIME_CONSTANT_S)
            for rank, rate in self._rate.items()
        )

    def above(self, rank: int) -> float:
        """Returns the rate of all ranks more urgent than `rank`, per second."""
        return sum(rate for other, rate in self._rate.items() if other < rank)


class ServiceTimes:
    """Smoothed service times by route; rates of arriving requests and work by rank."""

    def __init__(self) -> None:
        self._mean_s: dict[str, float] = {}
        self._deviation_s: dict[str, float] = {}
        self._peak_s: dict[str, float] = {}
        self._work = _RateByRank()
        self._requests = _RateByRank()

    def expected_s(self, route: str) -> float:
        """Returns the expected service time of a route, in seconds."""
        return self._mean_s.get(route, DEFAULT_SERVICE_TIME_S)

    def high_s(self, route: str) -> float | None:
        """Returns a time that few requests of a route exceed, in seconds.

        It is None until a request of the route has completed.
        """
        mean_s = self._mean_s.get(route)
        if mean_s is None:
            return None
        high_s = mean_s + HIGH_DEVIATIONS * self._deviation_s[route]
        return max(high_s, self._peak_s[route])

    def record_unfinished(self, route: str, seconds: float) -> None:
        """Records how long a request ran that ended without an answer."""
        self._peak_s[route] = max(seconds, self._peak_s.get(route, 0.0))

    def record_service_time(self, route: str, seconds: float) -> None:
        """Updates the estimates of a route with a measured service time."""
        mean_s = self._mean_s.get(route, seconds)
        deviation_s = self._deviation_s.get(route, 0.5 * seconds)
        deviation_s += DEVIATION_WEIGHT * (abs(seconds - mean_s) - deviation_s)
        self._deviation_s[route] = deviation_s
        peak_s = self._peak_s.get(route, seconds)
        self._peak_s[route] = max(seconds, peak_s + PEAK_DECAY * (mean_s - peak_s))
        self._mean_s[route] = mean_s + SMOOTHING_WEIGHT * (seconds - mean_s)

    def record_arrival(self, rank: int, route: str, now: float) -> None:
        """Adds an arriving request and its expected work to its rank's rates."""
        self._work.add(rank, self.expected_s(route), now)
        self._requests.add(rank, 1.0, now)

    def demand(self, now: float) -> float:
        """Returns the offered load: seconds of work of one slot arriving per second."""
        return self._work.total(now)

    def request_rate(self, now: float) -> float:
        """Returns the number of requests arriving per second."""
        return self._requests.total(now)

    def work_rate_above(self, rank: int) -> float:
        """Returns the arriving work per second of all ranks more urgent than `rank`."""
        return self._work.above(rank)

    def request_rate_above(self, rank: int) -> float:
        """Returns the arrivals per second of all ranks more urgent than `rank`."""
        return self._requests.above(rank)
