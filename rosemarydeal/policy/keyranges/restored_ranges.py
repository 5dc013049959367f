"""Tracks which own ranges may be used after the store was restored from a copy.

The restored table is what one process knew. An owner whose lease is valid used the
keys before, and goes on. Another one may have been named by mistake, as the store has
lost the change that took the keys from it: it waits until any lease of the former era
has expired. The same holds for keys that it was giving away: the store may have lost a
write without an answer, of which the new owner had heard.

While the table is outdated, an owner goes on with the ranges that it used, and begins
to use no others: somebody else may have been given them since.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import replace

from rosemarydeal.core.fleet import KeyRange, RangeTable

from . import ownership_lease
from . import table as tables

__all__ = ["RestoredRanges"]


class RestoredRanges:
    """Own ranges before and after a restore of the store."""

    def __init__(self, node: str) -> None:
        self._node = node
        # The last table that was not outdated.
        self._table: RangeTable | None = None
        # Adjacent ranges are joined, as those of the restored table may be.
        self._retained: tuple[KeyRange, ...] = ()
        self._restored_at = 0.0
        self._outdated_since: float | None = None

    @property
    def remembered(self) -> bool:
        """Returns whether a table has been received that was not outdated."""
        return self._table is not None

    def outdated_s(self, now: float) -> float | None:
        """Returns for how long the table is outdated, None if it is not."""
        return None if self._outdated_since is None else now - self._outdated_since

    def update(
        self,
        table: RangeTable | None,
        outdated: bool,
        lease_valid: bool,
        now: float,
        withheld: Sequence[KeyRange] = (),
    ) -> None:
        """Applies a change of the table.

        Args:
            table: The table.
            outdated: Whether it was not written in the present era of the store.
            lease_valid: Whether the ownership lease of this node is valid.
            now: The current time.
            withheld: Own keys that others may own by a write without a known result.
        """
        if table is None:
            return
        if outdated:
            if self._outdated_since is None:
                self._outdated_since = now
            return
        former = self._table
        owned = tables.owned_by(former, self._node) if former is not None else ()
        used = self.usable(owned, now)
        self._outdated_since = None
        restored_token = former.restored_token if former is not None else 0
        if table.restored_token and table.restored_token != restored_token:
            for keys in withheld:
                used = [rest for part in used for rest in tables.subtract(part, keys)]
            self._retained = _joined(used) if lease_valid else ()
            self._restored_at = now
        self._table = table

    def is_settled(self, now: float) -> bool:
        """Returns whether all leases of the former era have expired."""
        if self._table is None or not self._table.restored_token:
            return True
        return now - self._restored_at >= ownership_lease.takeover_wait()

    def usable(self, ranges: Sequence[KeyRange], now: float) -> list[KeyRange]:
        """Returns the own ranges that may be used now."""
        if self._table is None:
            return []
        known_until = now if self._outdated_since is None else self._outdated_since
        if self.is_settled(known_until):
            return list(ranges)
        return [keys for keys in ranges if self._is_usable(keys)]

    def _is_usable(self, keys: KeyRange) -> bool:
        """Returns whether a range was assigned after the restore, or retained."""
        return keys.token > self._table.restored_token or any(
            retained.incarnation == keys.incarnation
            and retained.first <= keys.first
            and keys.last <= retained.last
            for retained in self._retained
        )


def _joined(ranges: Sequence[KeyRange]) -> tuple[KeyRange, ...]:
    """Joins adjacent ranges of an incarnation, whatever their tokens."""
    joined: list[KeyRange] = []
    for keys in ranges:
        last = joined[-1] if joined else None
        adjacent = last is not None and last.last + 1 == keys.first
        if adjacent and last.incarnation == keys.incarnation:
            joined[-1] = replace(last, last=keys.last)
        else:
            joined.append(keys)
    return tuple(joined)
