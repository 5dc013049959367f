"""Keeps retries within a share of the requests.

Load pattern: an upstream that fails a part of its requests, or loses answers,
while retries would double the load on the rest. The deployment's budget counts
over all processes; each keeps to its own requests' share and to an equal part
of the fixed slack, so that the sum is never over it.
"""

from __future__ import annotations

from collections import deque

from rosemarydeal.core.fleet import Bounds

__all__ = ["RetryBudget"]


class RetryBudget:
    """Counts requests and retries of one service at one process."""

    def __init__(self, bounds: Bounds) -> None:
        self._bounds = bounds
        self._requests: deque[float] = deque()
        self._retries: deque[float] = deque()

    def record_request(self, now: float) -> None:
        """Counts a request."""
        self._requests.append(now)
        self._trim(now)

    def try_spend(self, now: float, processes: int, share: float) -> bool:
        """Takes one retry out of the budget, if it has one.

        Args:
            now: The present moment.
            processes: Processes that share the fixed slack.
            share: Part of the budget that retries of this kind may use up.
        """
        self._trim(now)
        slack = self._bounds.retry_slack / max(1, processes)
        allowed = self._bounds.retry_ratio * len(self._requests) + slack
        if len(self._retries) + 1 > allowed * share:
            return False
        self._retries.append(now)
        return True

    def _trim(self, now: float) -> None:
        """Forgets what left the window."""
        window_start = now - self._bounds.retry_window_s
        for timestamps in (self._requests, self._retries):
            while timestamps and timestamps[0] < window_start:
                timestamps.popleft()
