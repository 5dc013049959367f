"""Counts and logs the objects of the store that are malformed, at a bounded rate.

A malformed object stays in the store until its writer or an operator repairs it, and
is met again at each listing and each change of its kind.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping

import structlog

from rosemarydeal.core.clock import now
from rosemarydeal.core.fleet import StoredObject

__all__ = ["RejectedObjects"]

# An object that is met again within this time is counted and logged once.
PERIOD_S = 60.0
# Further lines within the period are left out.
MAX_LINES = 20
# Objects remembered within the period, and the length of a reason or a name.
MAX_OBJECTS = 1000
MAX_TEXT_LENGTH = 200

_log = structlog.get_logger()


class RejectedObjects:
    """Numbers of rejected objects, by kind."""

    def __init__(self) -> None:
        """Creates empty counts."""
        self._counts: Counter[str] = Counter()
        self._met: set[tuple[str, str, tuple[int, int], str]] = set()
        self._period_began = now()

    @property
    def counts(self) -> Mapping[str, int]:
        """Returns how many objects of each kind were rejected."""
        return self._counts

    def note(self, stored: StoredObject, reason: str) -> None:
        """Records that an object is malformed.

        Args:
            stored: The object.
            reason: What is wrong with it.
        """
        if now() - self._period_began > PERIOD_S:
            self._period_began = now()
            self._met.clear()
        name, reason = stored.name[:MAX_TEXT_LENGTH], reason[:MAX_TEXT_LENGTH]
        rejected = (stored.kind, name, stored.revision, reason)
        if rejected in self._met:
            return
        self._counts[stored.kind] += 1
        if len(self._met) < MAX_OBJECTS:
            self._met.add(rejected)
        if len(self._met) <= MAX_LINES:
            _log.warning(
                "object_rejected",
                kind=stored.kind,
                name=name,
                revision=stored.revision,
                reason=reason,
                last_line=len(self._met) == MAX_LINES,
            )
