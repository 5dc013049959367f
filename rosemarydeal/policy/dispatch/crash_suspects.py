"""Detection of requests that crash the upstreams which run them.

Load pattern: a request that crashes every upstream that runs it, and that is
retried at any process after each crash. Every request that was running when an
upstream crashed becomes a suspect. A request that was running during two crashes,
at any process, and has succeeded nowhere since, is rejected for a while. A popular
request that many callers send runs during many crashes without causing them; it
soon succeeds at another upstream, and all processes are notified that it is
cleared.
"""

from __future__ import annotations

import hashlib
from collections import OrderedDict
from dataclasses import dataclass

__all__ = ["CrashSuspectCounter", "request_fingerprint"]

CRASHES_TO_REJECT = 2
# A request is retried within its deadline, of seconds. What a caller sends again after
# a minute is a new request, which may run again.
ENTRY_TTL_S = 60.0
# Bounds the memory if many upstreams crash within that time; the oldest go first.
MAX_ENTRIES = 4096


def request_fingerprint(method: bytes, target: bytes, body: bytes) -> str:
    """Returns a digest that is the same for all attempts of a request."""
    digest = hashlib.blake2b(digest_size=12)
    for part in (method, target, body):
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.hexdigest()


@dataclass(slots=True)
class _Entry:
    """Number of crashes during which a request was running.

    Attributes:
        crashes: Number of crashes.
        last_at: Time of the last one.
    """

    crashes: int
    last_at: float


class CrashSuspectCounter:
    """Crash counts by request fingerprint, in bounded memory."""

    def __init__(self) -> None:
        # In the order of their last crashes.
        self._entries: OrderedDict[str, _Entry] = OrderedDict()

    @property
    def count(self) -> int:
        """Returns the number of requests with a crash that counts."""
        return len(self._entries)

    def record_crash(self, running: tuple[str, ...], now: float) -> None:
        """Counts a crash for each request that was running."""
        self._expire(now)
        for fingerprint in running:
            entry = self._entries.pop(fingerprint, None) or _Entry(0, now)
            self._entries[fingerprint] = _Entry(entry.crashes + 1, now)
        while len(self._entries) > MAX_ENTRIES:
            self._entries.popitem(last=False)

    def clear(self, fingerprint: str) -> bool:
        """Removes a request that has succeeded at an upstream.

        Returns:
            Whether any crash was counted for it.
        """
        return self._entries.pop(fingerprint, None) is not None

    def is_suspect(self, fingerprint: str, now: float) -> bool:
        """Returns whether a request is to be rejected."""
        self._expire(now)
        entry = self._entries.get(fingerprint)
        return entry is not None and entry.crashes >= CRASHES_TO_REJECT

    def _expire(self, now: float) -> None:
        """Removes the requests whose last crash was too long ago."""
        while self._entries:
            oldest = next(iter(self._entries))
            if now - self._entries[oldest].last_at <= ENTRY_TTL_S:
                return
            del self._entries[oldest]
