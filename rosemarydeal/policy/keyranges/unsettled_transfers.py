"""Tracks own keys that a write of the table may have given to others.

A write without an answer may have been carried out, or may be carried out later. Its
keys are not used until the table has a later revision, under which it has been carried
out or fails. After a restore, the store may have lost it while the new owner has heard
of it. A write that was certainly not carried out withholds nothing.
"""

from __future__ import annotations

from collections import Counter

from rosemarydeal.core.fleet import KeyRange, Revision

from . import table as tables
from .table_changes import TableBase, TableChange, WriteResult

__all__ = ["UnsettledTransfers"]


class UnsettledTransfers:
    """Own keys that writes without a known result take from a node."""

    def __init__(self, node: str) -> None:
        """Creates an empty set.

        Args:
            node: The node that writes.
        """
        self._node = node
        # Writes with the same effect count together, as they are often repeated.
        self._writes: Counter[tuple[Revision, tuple[KeyRange, ...]]] = Counter()

    @property
    def pending(self) -> bool:
        """Returns whether the result of any write is unknown."""
        return bool(self._writes)

    @property
    def keys(self) -> tuple[KeyRange, ...]:
        """Returns the ranges that others may own."""
        return tuple(keys for _, lost in self._writes for keys in lost)

    def begin(self, change: TableChange) -> None:
        """Notes a write that is about to be sent."""
        lost = self._lost_by(change)
        if lost:
            self._writes[change.base.revision, lost] += 1

    def end(self, change: TableChange, result: WriteResult) -> None:
        """Notes the result of a write that was begun."""
        lost = self._lost_by(change)
        write = (change.base.revision, lost)
        if result is not WriteResult.NOT_WRITTEN or write not in self._writes:
            return
        self._writes[write] -= 1
        if not self._writes[write]:
            del self._writes[write]

    def settle(self, base: TableBase) -> None:
        """Ends the wait for writes whose result the known table shows."""
        if base.current:
            for revision, lost in list(self._writes):
                if base.revision > revision:
                    del self._writes[revision, lost]

    def _lost_by(self, change: TableChange) -> tuple[KeyRange, ...]:
        """Returns the ranges that a change takes from the node."""
        old = change.base.table
        if old is None:
            return ()
        return tables.lost_by(self._node, old, change.table)
