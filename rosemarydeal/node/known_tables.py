"""Keeps the tables of key ranges that this process knows, one for each service.

A known table is outdated while the store does not hold a table of its present era that
follows it: the store was restored, or something else has taken the table's place.
"""

from __future__ import annotations

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

    @property
    def services(self) -> tuple[str, ...]:
        """Returns the services of which a table is known."""
        return tuple(self._tables)

    def get(self, service: str) -> RangeTable | None:
        """Returns the table of a service."""
        return self._tables.get(service)

    def is_outdated(self, service: str) -> bool:
        """Returns whether the known table may lack changes that are in force."""
        return service in self._outdated

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
        known = self._tables.get(service)
        if known is not None and tables.undoes(known, table):
            self._note_former(known, table, revision)
            if now() - self._former_since[service] < FORMER_ACCEPTED_AFTER_S:
                return
            _log.error("former_table_accepted", service=service, revision=revision)
            # No token that was issued is issued again.
            top_token = max(table.top_token, known.top_token)
            table = replace(table, top_token=top_token)
        self._former_since.pop(service, None)
        self._outdated.discard(service)
        self._applied[service] = revision
        self._tables[service] = table

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
