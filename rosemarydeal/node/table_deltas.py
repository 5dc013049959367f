"""Keeps changes of tables until the table that they follow on is known.

Changes of several writers overtake each other on their ways; each one follows
on one revision of its table.
"""

from __future__ import annotations

from collections import OrderedDict

from .messages import TableDelta

__all__ = ["PendingDeltas"]

# A store's watch or a peer gives the whole table where a change never comes.
MAX_PENDING = 16


class PendingDeltas:
    """Holds changes by service and the revision before."""

    def __init__(self) -> None:
        self._pending: OrderedDict[tuple[str, int], TableDelta] = OrderedDict()

    def add(self, delta: TableDelta) -> None:
        """Keeps a change; the oldest one goes if there are too many."""
        self._pending[delta.service, delta.base_revision] = delta
        while len(self._pending) > MAX_PENDING:
            self._pending.popitem(last=False)

    def pop(self, service: str, revision: int) -> TableDelta | None:
        """Returns the change that follows on a revision, and forgets it."""
        return self._pending.pop((service, revision), None)
