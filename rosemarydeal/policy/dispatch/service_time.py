"""Estimates how long requests run at the upstream, and how much work comes.

Load pattern: kinds of request with different work on an upstream whose pace
changes within seconds. Estimates follow the last dozen requests of each rank.
"""

from __future__ import annotations

import math

__all__ = ["ServiceTimes"]

# Weight of a new measurement: the last dozen requests count.
NEW_WEIGHT = 0.12
# Assumed before the first request has ended, in seconds.
UNKNOWN_S = 0.1
# Arrival rates follow the last seconds.
RATE_MEMORY_S = 2.0


class ServiceTimes:
    """Keeps smoothed service times and arrival rates by rank."""

    def __init__(self) -> None:
        self._mean_s: dict[int, float] = {}
        self._rate: dict[int, float] = {}
        self._last: dict[int, float] = {}

    def expected(self, rank: int) -> float:
        """Returns how long a request of a rank runs, in seconds."""
        return self._mean_s.get(rank, UNKNOWN_S)

    def mean(self) -> float:
        """Returns the mean over all ranks, in seconds."""
        values = self._mean_s.values()
        return sum(values) / len(values) if values else UNKNOWN_S

    def note_service(self, rank: int, seconds: float) -> None:
        """Takes the time that a request ran."""
        old = self._mean_s.get(rank)
        self._mean_s[rank] = (
            seconds if old is None else old + NEW_WEIGHT * (seconds - old)
        )

    def note_arrival(self, rank: int, now: float) -> None:
        """Counts an arrival."""
        since = now - self._last.get(rank, now)
        faded = self._rate.get(rank, 0.0) * math.exp(-since / RATE_MEMORY_S)
        self._rate[rank] = faded + 1.0 / RATE_MEMORY_S
        self._last[rank] = now

    def work_rate_above(self, rank: int) -> float:
        """Returns the work a second of all ranks more urgent than one."""
        return sum(
            rate * self.expected(other)
            for other, rate in self._rate.items()
            if other < rank
        )
