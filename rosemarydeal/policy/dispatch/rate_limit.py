"""Rate limit that an upstream states in its answers.

Load pattern: an upstream in need, which accepts fewer requests per second than its
slots could run. It states the limit in each answer for as long as it applies. All
requests to the upstream pass through one process, so the limit holds exactly and
needs no agreement between the processes that route requests to it.
"""

from __future__ import annotations

import math
from collections import deque

__all__ = ["RateLimiter"]

# Window in which the requests that were sent are counted.
SENT_WINDOW_S = 4.0


class RateLimiter:
    """Rate limit stated by one incarnation of the upstream."""

    def __init__(self) -> None:
        self._per_s = math.inf
        self._stated_at = -math.inf
        self._sent: deque[float] = deque()

    @property
    def per_s(self) -> float:
        """Returns the limit in requests per second, infinite without a limit."""
        return self._per_s

    def sent_per_s(self, now: float) -> float:
        """Returns the mean rate of requests sent within the last seconds."""
        self._trim(now)
        return len(self._sent) / SENT_WINDOW_S

    def apply(self, per_s: float, sent_at: float, now: float) -> bool:
        """Applies the limit that an answer states.

        Args:
            per_s: Requests per second; infinite if the answer states no limit.
            sent_at: When the answered request was sent.
            now: The current time.

        Returns:
            Whether the limit has changed.
        """
        if math.isfinite(per_s):
            self._stated_at = now
        elif sent_at <= self._stated_at:
            # The answer may be older than the one that stated the limit.
            return False
        changed = per_s != self._per_s
        self._per_s = per_s
        return changed

    def reset(self) -> None:
        """Drops the limit, since another incarnation of the upstream has started."""
        self._per_s = math.inf
        self._stated_at = -math.inf

    def record_sent(self, now: float) -> None:
        """Records that a request is sent now."""
        self._sent.append(now)
        self._trim(now)

    def _trim(self, now: float) -> None:
        """Drops the requests that have left the window."""
        while self._sent and self._sent[0] <= now - SENT_WINDOW_S:
            self._sent.popleft()
