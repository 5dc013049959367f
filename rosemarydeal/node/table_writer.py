"""Writes tables of key ranges to the store and sends them to the peers."""

from __future__ import annotations

import structlog

from rosemarydeal.core.fleet import StoredObject
from rosemarydeal.platform.errors import StoreConflict, StoreError
from rosemarydeal.policy.keyranges.table_changes import TableChange

from .contents import encode_table, table_name
from .links import Links
from .messages import ObjectState, ObjectUpdate, TableDelta
from .records import RANGES, Records
from .store_access import StoreAccess

__all__ = ["TableWriter"]

_log = structlog.get_logger()


class TableWriter:
    """Writes changed tables, each over the revision that it was computed from."""

    def __init__(self, records: Records, access: StoreAccess, links: Links) -> None:
        """Creates a writer.

        Args:
            records: State of the store's objects.
            access: Access to the store.
            links: Links to the peers.
        """
        self._records = records
        self._access = access
        self._links = links

    async def write(self, change: TableChange) -> bool:
        """Writes a table over the revision of its base and sends it to the peers.

        Returns:
            Whether it is written. If not, it may be later, after a lost answer.
        """
        if not self._may_write(change):
            return False
        changed, reason = change.table, change.reason
        name = table_name(changed.service)
        try:
            stored = await self._access.write(
                RANGES, name, encode_table(changed), change.base.revision
            )
        except StoreConflict:
            table = self._records.table(changed.service)
            applied = table is not None and table.writer == changed.writer
            _log.info("table_conflict", reason=reason, applied=applied)
            return applied
        except StoreError as error:
            _log.warning("table_not_written", reason=reason, detail=error.detail)
            return False
        if stored.revision.era != changed.era:
            # The revision was given out again, for a table that was lost by this.
            _log.warning("table_overwritten", reason=reason, era=changed.era)
            return False
        _log.info(
            "table_written",
            reason=reason,
            revision=stored.revision,
            top_token=changed.top_token,
            ranges=len(changed.ranges),
        )
        self._send_to_peers(change, stored)
        return True

    def _may_write(self, change: TableChange) -> bool:
        """Returns whether a change is still one of the table that is known now."""
        known = self._records.table_base(change.table.service)
        if change.lowers_token:
            _log.error(
                "table_token_lowered",
                reason=change.reason,
                top_token=change.table.top_token,
                base=change.base.revision,
            )
            return False
        if not change.applies_to(known):
            _log.info(
                "table_change_outdated",
                reason=change.reason,
                base=change.base.revision,
                known=known.revision,
                era=change.table.era,
            )
            return False
        return True

    def _send_to_peers(self, change: TableChange, stored: StoredObject) -> None:
        """Sends a table that was written, or its difference from the base."""
        base, changed = change.base, change.table
        if base.table is None or not base.current or base.table.era != changed.era:
            state = ObjectState(stored.name, stored.revision, stored.content)
            self._links.broadcast(ObjectUpdate(RANGES, state))
            return
        delta = TableDelta.of(base.revision, stored.revision, base.table, changed)
        self._links.broadcast(delta)
