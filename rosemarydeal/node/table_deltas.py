"""Holds table deltas until the table has reached their base revision.

Deltas of several writers may arrive out of order; each one applies to exactly
one revision of its table.
"""

from __future__ import annotations

from collections import OrderedDict

from rosemarydeal.core.fleet import Revision

from .messages import TableDelta

__all__ = ["PendingDeltas"]

# If a delta never arrives, the store's watch or a peer returns the whole table.
MAX_PENDING = 16


class PendingDeltas:
    """Holds deltas by service and base revision."""

    def __init__(self) -> None:
        self._pending: OrderedDict[tuple[str, Revision], TableDelta] = OrderedDict()

    def add(self, delta: TableDelta) -> None:
        """Adds a delta; evicts the oldest one if there are too many."""
        self._pending[delta.service, delta.base_revision] = delta
        while len(self._pending) > MAX_PENDING:
            self._pending.popitem(last=False)

    def pop(self, service: str, revision: Revision) -> TableDelta | None:
        """Removes and returns the delta for a base revision, if there is one."""
        return self._pending.pop((service, revision), None)
