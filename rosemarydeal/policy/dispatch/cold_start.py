"""Limits what an upstream gets while it is cold.

Load pattern: an upstream that has just started, or lost its caches, under the
load of a warm one. Since one process is the only way to it, the bound on any
second is exact: a start is allowed while fewer than the limit went out within
the last second.
"""

from __future__ import annotations

from collections import deque

__all__ = ["ColdStartLimiter"]

WINDOW_S = 1.0
# Requests that were sent may arrive closer together than they left.
WINDOW_MARGIN_S = 0.15


class ColdStartLimiter:
    """Counts the requests sent within the last second."""

    def __init__(self) -> None:
        self._sent: deque[float] = deque()
        self._cold_until = 0.0
        self._per_s = 0.0

    @property
    def cold_until(self) -> float:
        """Returns the moment at which the upstream is warm."""
        return self._cold_until

    def set_cold(self, until: float, per_s: float) -> None:
        """Notes until when the upstream is cold, and what it bears a second."""
        self._cold_until = until
        self._per_s = per_s

    def is_cold(self, now: float) -> bool:
        """Tells whether the limit applies."""
        return self._per_s > 0 and now < self._cold_until

    def may_send(self, now: float) -> bool:
        """Tells whether another request may be sent now."""
        if not self.is_cold(now):
            return True
        self._trim(now)
        return len(self._sent) < max(1, int(self._per_s))

    def next_send_at(self, now: float) -> float:
        """Returns when the next request may be sent."""
        if self.may_send(now) or not self._sent:
            return now
        return self._sent[0] + WINDOW_S + WINDOW_MARGIN_S

    def record_sent(self, now: float) -> None:
        """Counts a request that is sent."""
        self._sent.append(now)
        self._trim(now)

    def _trim(self, now: float) -> None:
        """Forgets what left the window."""
        while self._sent and self._sent[0] <= now - WINDOW_S - WINDOW_MARGIN_S:
            self._sent.popleft()
