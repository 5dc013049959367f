"""Keeps the tables of key ranges that this process knows, one for each service.

A known table is outdated while the store does not hold a table of its present era that
follows it: the store was restored, or something else has taken the table's place.

A table is proved if no change is missing between it and the one that was proved before.
After a gap, a former table that was put back can't be told from the present one until
the store's history has been read.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import replace

import structlog

from rosemarydeal.core.clock import now
from rosemarydeal.core.fleet import RangeTable, Revision, StoredObject
from rosemarydeal.policy.keyranges import ownership_lease
from rosemarydeal.policy.keyranges import table as tables

__all__ = ["KnownTables"]

# While the known table is outdated, no lease is renewed: all have expired by then.
FORMER_ACCEPTED_AFTER_S = ownership_lease.takeover_wait()

_log = structlog.get_logger()


class KnownTables:
    """The newest tables that were received, by service."""

    def __init__(self) -> None:
        self._tables: dict[str, RangeTable] = {}
        self._outdated: set[str] = set()
        # Revisions of the tables that were applied last.
        self._applied: dict[str, Revision] = {}
        # Since when the store holds former tables.
        self._former_since: dict[str, float] = {}
        # The last ones that are known to follow all before, with their revisions.
        self._proved: dict[str, tuple[Revision, RangeTable]] = {}

    @property
    def services(self) -> tuple[str, ...]:
        """Returns the services of which a table is known."""
        return tuple(self._tables)

    def get(self, service: str) -> RangeTable | None:
        """Returns the table of a service."""
        return self._tables.get(service)

    def applied(self, service: str) -> tuple[Revision, RangeTable] | None:
        """Returns the known table with its revision, None without one in the store."""
        revision = self._applied.get(service)
        return (revision, self._tables[service]) if revision is not None else None

    def is_outdated(self, service: str) -> bool:
        """Returns whether the known table may lack changes that are in force."""
        return service in self._outdated

    def is_proved(self, service: str) -> bool:
        """Returns whether no change before the known table is missing."""
        applied = self._applied.get(service)
        if applied is None or self.is_outdated(service):
            return True
        proved = self._proved.get(service)
        # Earlier versions did not state the base.
        states_base = self._tables[service].base > 0
        return not states_base or (proved is not None and proved[0] == applied)

    def history_since(self, service: str) -> Revision | None:
        """Returns after which revision changes are needed; None if none are.

        The base was proved by its writer. A table that is put back keeps its base, so
        that its first write and all that followed are among the changes.
        """
        if self.is_proved(service):
            return None
        applied, proved = self._applied[service], self._proved.get(service)
        base = Revision(applied.era, self._tables[service].base)
        if proved is not None and proved[0].era == applied.era:
            return max(proved[0], base)
        return base

    def note_written_over(self, service: str, base: Revision | None) -> None:
        """Notes that the known table directly replaced what was there at a revision.

        Args:
            service: Name of the service.
            base: Revision of the table before; None if there was none.
        """
        proved = self._proved.get(service)
        if base is None or (proved is not None and proved[0] == base):
            self.accept(service)

    def accept(self, service: str) -> None:
        """Takes the known table for proved."""
        if service in self._applied and not self.is_outdated(service):
            self._proved[service] = (self._applied[service], self._tables[service])

    def apply_history(
        self, service: str, written: Iterable[tuple[Revision, RangeTable]]
    ) -> None:
        """Proves the known table by the changes before it, or finds it put back.

        Args:
            service: Name of the service.
            written: The tables written since `history_since`, in their order.
        """
        applied, table = self._applied[service], self._tables[service]
        proved = self._proved.get(service)
        known = None
        if proved is not None and proved[0].era == applied.era:
            known = proved[1]
        for revision, follower in written:
            if revision < applied and (
                known is None or not tables.undoes(known, follower)
            ):
                known = follower
        if known is not None and tables.undoes(known, table):
            self._tables[service] = known
            self._note_former(known, table, applied)
        else:
            self.accept(service)

    def note_new_era(self) -> None:
        """Notes that the store was restored, and may lack changes of all tables."""
        self._outdated.update(self._tables)

    def apply(self, table: RangeTable, revision: Revision) -> None:
        """Applies a table that was written in the present era.

        One that undoes known changes was put back, or computed from such a one: it
        counts as something else in the place of the known table, which the owners that
        know it restore. If none of them can, the stored table is accepted in the end.
        """
        service = table.service
        outdated = service in self._outdated
        if self._applied.get(service) == revision and not outdated:
            return
        known, accepted = self._tables.get(service), False
        if known is not None and tables.undoes(known, table):
            self._note_former(known, table, revision)
            if now() - self._former_since[service] < FORMER_ACCEPTED_AFTER_S:
                return
            _log.error("former_table_accepted", service=service, revision=revision)
            # No token that was issued is issued again.
            top_token = max(table.top_token, known.top_token)
            table = replace(table, top_token=top_token)
            accepted = True
        self._former_since.pop(service, None)
        self._outdated.discard(service)
        self._applied[service] = revision
        self._tables[service] = table
        if accepted:
            self.accept(service)

    def apply_copy(self, table: RangeTable) -> None:
        """Applies a table of a former era, unless another one is known."""
        if table.service not in self._tables:
            self._outdated.add(table.service)
            self._tables[table.service] = table

    def note_replaced(self, service: str, stored: StoredObject) -> None:
        """Notes that a table was removed or replaced by something else.

        Changes of the table before that may not have been received.
        """
        if service in self._outdated:
            return
        self._outdated.add(service)
        _log.error(
            "table_replaced",
            service=service,
            revision=stored.revision,
            removed=stored.content is None,
        )

    def _note_former(
        self, known: RangeTable, former: RangeTable, revision: Revision
    ) -> None:
        """Notes that a former table has taken the place of the known one."""
        service = former.service
        self._former_since.setdefault(service, now())
        if service in self._outdated:
            return
        self._outdated.add(service)
        _log.error(
            "table_put_back",
            service=service,
            revision=revision,
            top_token=former.top_token,
            highest=known.top_token,
            writer=former.writer,
        )
