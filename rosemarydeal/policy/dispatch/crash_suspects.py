"""Finds requests that crash the upstreams which run them.

Load pattern: a request that ends each upstream that begins it, sent again at
any process after each crash. What ran when an upstream crashed is blamed; a
request that was blamed twice, at any process, and has succeeded at none since,
is turned away for a while. Many callers send the same popular request, which
runs during many crashes; as it succeeds elsewhere soon, that is told to all.
"""

from __future__ import annotations

import hashlib
from collections import OrderedDict
from dataclasses import dataclass

__all__ = ["CrashSuspectCounter", "request_fingerprint"]

CRASHES_TO_REJECT = 2
ENTRY_TTL_S = 60.0
MAX_ENTRIES = 4096


def request_fingerprint(method: bytes, target: bytes, body: bytes) -> str:
    """Returns what is the same for each sending of a request."""
    digest = hashlib.blake2b(digest_size=12)
    for part in (method, target, body):
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.hexdigest()


@dataclass(slots=True)
class _Entry:
    """Counts the crashes that a request is blamed for."""

    crashes: int
    last_at: float


class CrashSuspectCounter:
    """Counts crashes by request, in bounded memory."""

    def __init__(self) -> None:
        self._entries: OrderedDict[str, _Entry] = OrderedDict()

    def record_crash(self, running: tuple[str, ...], now: float) -> None:
        """Counts a crash against all requests that ran."""
        for fingerprint in running:
            entry = self._entries.pop(fingerprint, None) or _Entry(0, now)
            self._entries[fingerprint] = _Entry(entry.crashes + 1, now)
        while len(self._entries) > MAX_ENTRIES:
            self._entries.popitem(last_at=False)

    def clear(self, fingerprint: str) -> bool:
        """Forgets a request that an upstream has run to its end.

        Returns:
            Whether it was blamed.
        """
        return self._entries.pop(fingerprint, None) is not None

    def is_suspect(self, fingerprint: str, now: float) -> bool:
        """Tells whether a request is turned away."""
        entry = self._entries.get(fingerprint)
        if entry is None:
            return False
        if now - entry.last_at > ENTRY_TTL_S:
            del self._entries[fingerprint]
            return False
        return entry.crashes >= CRASHES_TO_REJECT
