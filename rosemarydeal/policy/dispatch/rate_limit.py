"""Rate limit that an upstream states in its answers.

Load pattern: an upstream in need, which accepts fewer requests per second than its
slots could run. It states the limit in each answer for as long as it applies. All
requests to the upstream pass through one process, so the limit holds exactly and
needs no agreement between the processes that route requests to it.

The limit is enforced by a token bucket: each request takes a token, and tokens come
at the stated rate. A process that has just started does not know yet whether the
upstream states a limit: until the first answer it has few requests running.
"""

from __future__ import annotations

import math
from collections import deque

__all__ = ["RateLimiter"]

# Size of the token bucket. With the requests of `MAX_RUNNING_UNANSWERED` it is below
# the five that operators allow above the rate.
BURST = 2.0
# Requests that may run before the first answer of an incarnation.
MAX_RUNNING_UNANSWERED = 2
# An upstream that gets no requests can't withdraw its limit.
MIN_PER_S = 0.5
# Window in which the requests that were sent are counted.
SENT_WINDOW_S = 4.0
# Share of the rate that is assumed to be left by more urgent requests.
MIN_SHARE = 0.2
TOKEN_TOLERANCE = 1e-6


class RateLimiter:
    """Rate limit stated by one incarnation of the upstream."""

    def __init__(self) -> None:
        self._per_s = math.inf
        self._stated_at = -math.inf
        # Requests recorded before have taken no token.
        self._limited_at = math.inf
        self._answered = False
        self._tokens = 0.0
        self._refilled_at = 0.0
        self._sent: deque[float] = deque()

    @property
    def per_s(self) -> float:
        """Returns the limit in requests per second, infinite without a limit."""
        return self._per_s

    @property
    def limited(self) -> bool:
        """Returns whether the upstream states a limit."""
        return math.isfinite(self._per_s)

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
        self._answered = True
        if math.isfinite(per_s):
            self._stated_at = now
        elif sent_at <= self._stated_at:
            # The answer may be older than the one that stated the limit.
            return False
        changed = per_s != self._per_s
        if changed:
            self._refill(now)
            if not self.limited:
                self._limited_at = now
            self._per_s = per_s
        return changed

    def reset(self) -> None:
        """Drops the limit, since another incarnation of the upstream has started."""
        self._per_s = math.inf
        self._stated_at = -math.inf
        self._answered = False

    def may_send(self, running: int, now: float) -> bool:
        """Returns whether another request may be sent now.

        Args:
            running: Requests running at the upstream.
            now: The current time.
        """
        if not self._answered:
            return running < MAX_RUNNING_UNANSWERED
        if not self.limited:
            return True
        self._refill(now)
        return self._tokens >= 1.0 - TOKEN_TOLERANCE

    def delay_s(self, ahead: int, now: float, urgent_per_s: float = 0.0) -> float:
        """Returns the time until a waiting request may be sent.

        Args:
            ahead: Waiting requests that are sent before it.
            now: The current time.
            urgent_per_s: Rate at which more urgent requests arrive.
        """
        if not self.limited:
            return 0.0
        self._refill(now)
        rate = self._rate()
        missing = ahead + 1.0 - self._tokens
        return max(0.0, missing) / max(MIN_SHARE * rate, rate - urgent_per_s)

    def demand(self, arrivals_per_s: float) -> float:
        """Returns a rate of arrivals as a share of the limit; 0 without a limit."""
        return arrivals_per_s / self._rate() if self.limited else 0.0

    def next_send_at(self, now: float) -> float:
        """Returns when the next request may be sent at the earliest.

        Returns:
            The time; infinite before the first answer, which permits it.
        """
        if not self._answered:
            return math.inf
        return now + self.delay_s(0, now)

    def record_sent(self, now: float) -> None:
        """Records that a request is sent now."""
        if self.limited:
            self._refill(now)
            self._tokens -= 1.0
        self._sent.append(now)
        self._trim(now)

    def withdraw_sent(self, sent_at: float, now: float) -> None:
        """Removes a request that was recorded as sent, but was not sent.

        Args:
            sent_at: When it was recorded.
            now: The current time.
        """
        if sent_at in self._sent:
            self._sent.remove(sent_at)
        if self.limited and sent_at >= self._limited_at:
            self._refill(now)
            self._tokens = min(BURST, self._tokens + 1.0)

    def _rate(self) -> float:
        """Returns the rate at which tokens come."""
        return max(MIN_PER_S, self._per_s)

    def _refill(self, now: float) -> None:
        """Adds the tokens that have come since the last call; none without a limit."""
        if self.limited:
            added = (now - self._refilled_at) * self._rate()
            self._tokens = min(BURST, self._tokens + added)
        else:
            self._tokens = 0.0
        self._refilled_at = now

    def _trim(self, now: float) -> None:
        """Drops the requests that have left the window."""
        while self._sent and self._sent[0] <= now - SENT_WINDOW_S:
            self._sent.popleft()
