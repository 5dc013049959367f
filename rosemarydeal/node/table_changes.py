"""Keeps changes of tables until the table that they follow on is known.

Changes of several writers overtake each other on their ways; each one follows
on one revision of its table.
"""

from __future__ import annotations

from collections import OrderedDict

from .messages import TableDelta

__all__ = ["PendingChanges"]

# A store's watch or a peer gives the whole table where a change never comes.
MOST_PENDING = 16


class PendingChanges:
    """Holds changes by service and the revision before."""

    def __init__(self) -> None:
        self._waiting: OrderedDict[tuple[str, int], TableDelta] = OrderedDict()

    def add(self, change: TableDelta) -> None:
        """Keeps a change; the oldest one goes if there are too many."""
        self._waiting[change.service, change.base_revision] = change
        while len(self._waiting) > MOST_PENDING:
            self._waiting.popitem(last=False)

    def claim(self, service: str, revision: int) -> TableDelta | None:
        """Returns the change that follows on a revision, and forgets it."""
        return self._waiting.pop((service, revision), None)
