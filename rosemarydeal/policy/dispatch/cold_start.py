"""Rate limit for an upstream during its cold start.

Load pattern: an upstream that has just started, or lost its caches, under the
load of a warm one. All its requests pass through one process, so the limit holds
exactly for any second: a request is sent only while fewer than the limit were
sent within the last second.
"""

from __future__ import annotations

from collections import deque

__all__ = ["ColdStartLimiter"]

WINDOW_S = 1.0
# Requests may arrive at the upstream closer together than they were sent.
WINDOW_MARGIN_S = 0.15


class ColdStartLimiter:
    """Sliding-window rate limiter that applies while the upstream is cold."""

    def __init__(self) -> None:
        self._sent: deque[float] = deque()
        self._cold_until = 0.0
        self._per_s = 0.0

    @property
    def cold_until(self) -> float:
        """Returns when the cold start ends."""
        return self._cold_until

    def set_cold(self, until: float, per_s: float) -> None:
        """Sets the end of the cold start and its limit in requests per second.

        A limit of 0 disables it.
        """
        self._cold_until = until
        self._per_s = per_s

    def is_cold(self, now: float) -> bool:
        """Returns whether the limit applies."""
        return self._per_s > 0 and now < self._cold_until

    def may_send(self, now: float) -> bool:
        """Returns whether another request may be sent now."""
        if not self.is_cold(now):
            return True
        self._trim(now)
        return len(self._sent) < max(1, int(self._per_s))

    def next_send_at(self, now: float) -> float:
        """Returns the earliest time at which the next request may be sent."""
        if self.may_send(now) or not self._sent:
            return now
        return self._sent[0] + WINDOW_S + WINDOW_MARGIN_S

    def record_sent(self, now: float) -> None:
        """Records that a request is sent now."""
        self._sent.append(now)
        self._trim(now)

    def withdraw_sent(self, sent_at: float) -> None:
        """Removes a request that was recorded as sent, but was not sent."""
        if sent_at in self._sent:
            self._sent.remove(sent_at)

    def _trim(self, now: float) -> None:
        """Drops the requests that have left the window."""
        while self._sent and self._sent[0] <= now - WINDOW_S - WINDOW_MARGIN_S:
            self._sent.popleft()
