"""Limit on retries as a share of the requests.

Load pattern: an upstream that fails a part of its requests, or loses answers,
while retries would double the load on the others. The deployment's budget covers
all processes together. Each process limits its retries to the ratio of its own
requests plus an equal part of the fixed slack, so the sum never exceeds the budget.
A process that has followed another one on its VM has no part of the slack for one
window, since the former one may have spent it.
"""

from __future__ import annotations

import math
from collections import deque

from rosemarydeal.core.fleet import Bounds

__all__ = ["RetryBudget"]


class RetryBudget:
    """Retry budget of one service at one process, over a sliding window."""

    def __init__(self, bounds: Bounds, sole_since: float = -math.inf) -> None:
        """Creates an unused budget.

        Args:
            bounds: Bounds of all processes together.
            sole_since: Since when no other process on the VM spends its share.
        """
        self._bounds = bounds
        self._sole_since = sole_since
        self._requests: deque[float] = deque()
        self._retries: deque[float] = deque()

    def set_bounds(self, bounds: Bounds) -> None:
        """Applies changed bounds."""
        self._bounds = bounds

    def set_sole_since(self, sole_since: float) -> None:
        """Sets since when no other process on the VM spends its share."""
        self._sole_since = sole_since

    def record_request(self, now: float) -> None:
        """Records a request, which raises the budget."""
        self._requests.append(now)
        self._trim(now)

    def try_spend(self, now: float, processes: int, share: float) -> bool:
        """Spends one retry if the budget allows it.

        Args:
            now: The current time.
            processes: Number of processes that share the fixed slack.
            share: Share of the budget, 0 to 1, up to which retries of this kind
                may be spent.

        Returns:
            Whether the retry was within the budget.
        """
        self._trim(now)
        allowed = self._bounds.retry_ratio * len(self._requests)
        if now - self._sole_since >= self._bounds.retry_window_s:
            allowed += self._bounds.retry_slack / max(1, processes)
        if len(self._retries) + 1 > allowed * share:
            return False
        self._retries.append(now)
        return True

    def _trim(self, now: float) -> None:
        """Drops the requests and retries that have left the window."""
        window_start = now - self._bounds.retry_window_s
        for timestamps in (self._requests, self._retries):
            while timestamps and timestamps[0] < window_start:
                timestamps.popleft()
