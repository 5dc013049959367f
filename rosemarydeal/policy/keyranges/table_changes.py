"""Ties a changed table to the revision of the store that it was computed from.

Invariant: a table is written under the condition that the store still holds the
revision from which it was computed. Under a later one it would undo the changes of
others, and issue their tokens again.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, auto

from rosemarydeal.core.fleet import RangeTable, Revision

from .end_proofs import EndProof

__all__ = ["TableBase", "TableChange", "WriteResult"]


class WriteResult(Enum):
    """What is known of a changed table that was to be written.

    Attributes:
        WRITTEN: It has been in force.
        NOT_WRITTEN: It has not been in force, and never will be.
        UNKNOWN: It may have been in force, or may be written later.
    """

    WRITTEN = auto()
    NOT_WRITTEN = auto()
    UNKNOWN = auto()


@dataclass(frozen=True, slots=True)
class TableBase:
    """The table from which a change is computed.

    Attributes:
        table: The table as this process knows it, None if there is none.
        revision: Revision of the object that the store holds for it, NO_REVISION if
            it holds none.
        era: Era of the store.
        current: Whether that object is the table. It is not after a restore of the
            store, or if another writer has left something else in its place.
        proved: Whether no change is missing between it and the tables known before, so
            that it is none of them that was put back.
    """

    table: RangeTable | None
    revision: Revision
    era: int
    current: bool = True
    proved: bool = True


@dataclass(frozen=True, slots=True)
class TableChange:
    """A table that may replace its base, and nothing else.

    Attributes:
        base: What it was computed from.
        table: The changed table.
        reason: Why it is changed, for the log.
        proofs: Why the owners that lose keys without a release are certain to have
            ended.
    """

    base: TableBase
    table: RangeTable
    reason: str
    proofs: tuple[EndProof, ...] = ()

    @property
    def lowers_token(self) -> bool:
        """Returns whether tokens that were issued could be issued again."""
        old = self.base.table
        return old is not None and self.table.top_token < old.top_token

    @property
    def restores(self) -> bool:
        """Returns whether it makes owners wait that may have lost their keys."""
        old = self.base.table
        issued = old.top_token if old is not None else 0
        return self.table.restored_token > issued

    def applies_to(self, base: TableBase) -> bool:
        """Returns whether it was computed from the table that is known now.

        What is known may lack changes while the store holds no table of its era: then
        the table is restored before anything else is changed.
        """
        if not (base.current and base.proved) and not self.restores:
            return False
        return self.base.revision == base.revision and self.table.era == base.era
