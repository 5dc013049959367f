"""Recognition of requests that are retried by the caller after a rejection.

Load pattern: an overload in which most callers that were rejected retry once. A
caller has been waiting since its first request, so the latency target of a retry
is counted from then. A request with the same fingerprint as one that this process
rejected recently is taken for its retry.
"""

from __future__ import annotations

from collections import OrderedDict

__all__ = ["RecentRejections"]

# Callers retry within a third of their deadline, which is a few seconds.
RETRY_WINDOW_S = 2.5
MAX_ENTRIES = 8192


class RecentRejections:
    """Arrival times of recently rejected requests, by fingerprint."""

    def __init__(self) -> None:
        self._arrivals: OrderedDict[str, list[float]] = OrderedDict()

    def record(self, fingerprint: str, arrived: float) -> None:
        """Records the rejection of a request.

        Args:
            fingerprint: Fingerprint of the request.
            arrived: Time of its arrival.
        """
        self._arrivals.setdefault(fingerprint, []).append(arrived)
        self._arrivals.move_to_end(fingerprint)
        while len(self._arrivals) > MAX_ENTRIES:
            self._arrivals.popitem(last=False)

    def pop_first_arrival(self, fingerprint: str, now: float) -> float | None:
        """Returns when the rejected request that is now retried arrived, or None.

        The rejection is removed: each one is matched with one retry.
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
