"""Recognises callers that come back after they were turned away.

Load pattern: an overload in which most callers that were turned away come back
once. Its caller has waited since it came first, so that the target of a request
that comes back is counted from then. A request that is the same as one turned
away a moment ago, at the same process, is taken for its return.
"""

from __future__ import annotations

from collections import OrderedDict

__all__ = ["RecentRejections"]

# Callers come back within a third of their deadline, which is seconds.
RETRY_WINDOW_S = 2.5
MAX_ENTRIES = 8192


class RecentRejections:
    """Remembers when requests were first made that were turned away."""

    def __init__(self) -> None:
        self._arrivals: OrderedDict[str, list[float]] = OrderedDict()

    def record(self, fingerprint: str, arrived: float) -> None:
        """Notes a request that was turned away.

        Args:
            fingerprint: Fingerprint of the request.
            arrived: When it arrived.
        """
        self._arrivals.setdefault(fingerprint, []).append(arrived)
        self._arrivals.move_to_end(fingerprint)
        while len(self._arrivals) > MAX_ENTRIES:
            self._arrivals.popitem(last=False)

    def pop_first_arrival(self, fingerprint: str, now: float) -> float | None:
        """Returns when a request came first that comes back now, or None.

        Each request that was turned away is taken to come back once.
        """
        arrivals = self._arrivals.get(fingerprint)
        if arrivals is None:
            return None
        first_arrival = next((a for a in arrivals if now - a <= RETRY_WINDOW_S), None)
        remaining = [
            a for a in arrivals if now - a <= RETRY_WINDOW_S and a != first_arrival
        ]
        if remaining:
            self._arrivals[fingerprint] = remaining
        else:
            del self._arrivals[fingerprint]
        return first_arrival
