"""Writes tables of key ranges to the store and sends them to the peers."""

from __future__ import annotations

from dataclasses import replace

import structlog

from rosemarydeal.core.fleet import NO_REVISION, StoredObject
from rosemarydeal.platform.errors import StoreConflict, StoreError, StoreRestored
from rosemarydeal.policy.keyranges.table_changes import TableChange, WriteResult

from .contents import encode_reservation, encode_table, table_name
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

    async def write(self, change: TableChange) -> WriteResult:
        """Writes a table over the revision of its base and sends it to the peers.

        Where there is no object, the name is only reserved: the absence of an object
        holds again as a condition once another writer has removed it, and a write that
        is carried out late would bring a former table back.

        Returns:
            What is known of it. The name may have been reserved if it is not written.
            A conflict that shows no later revision leaves the result unknown: the own
            write may have been carried out before a peer repeated it.
        """
        if not self._may_write(change):
            return WriteResult.NOT_WRITTEN
        base = change.base.revision
        changed, reason = replace(change.table, base=base.number), change.reason
        name = table_name(changed.service, changed.era)
        if base == NO_REVISION:
            await self._reserve(name, change.restores)
            return WriteResult.NOT_WRITTEN
        try:
            stored = await self._access.write(RANGES, name, encode_table(changed), base)
        except StoreRestored as error:
            _log.info("table_write_before_restore", reason=reason, detail=error.detail)
            return WriteResult.NOT_WRITTEN
        except StoreConflict as conflict:
            return self._result_of_conflict(change, conflict)
        except StoreError as error:
            _log.warning(
                "table_not_written",
                reason=reason,
                detail=error.detail,
                **_proof_fields(change),
            )
            return WriteResult.UNKNOWN
        if stored.revision.era != changed.era:
            # The table of the present era has another name.
            _log.warning("table_of_former_era_written", reason=reason, era=changed.era)
            return WriteResult.UNKNOWN
        _log.info(
            "table_written",
            reason=reason,
            revision=stored.revision,
            top_token=changed.top_token,
            ranges=len(changed.ranges),
            **_proof_fields(change),
        )
        self._send_to_peers(change, stored)
        return WriteResult.WRITTEN

    def _result_of_conflict(
        self, change: TableChange, conflict: StoreConflict
    ) -> WriteResult:
        """Returns what a conflict tells of a write."""
        table = self._records.table(change.table.service)
        applied = table is not None and table.writer == change.table.writer
        _log.info("table_conflict", reason=change.reason, applied=applied)
        if applied:
            return WriteResult.WRITTEN
        current = conflict.current
        if current is not None and current.revision > change.base.revision:
            return WriteResult.NOT_WRITTEN
        return WriteResult.UNKNOWN

    async def _reserve(self, name: str, replaced: bool) -> None:
        """Creates the object in whose place a table will be written.

        Args:
            name: Name of the table.
            replaced: Whether a table is known that was there before.
        """
        content = encode_reservation(replaced)
        try:
            stored = await self._access.write(RANGES, name, content, NO_REVISION)
        except StoreError as error:
            _log.info("table_name_not_reserved", name=name, detail=error.detail)
            return
        _log.info("table_name_reserved", name=name, revision=stored.revision)
        state = ObjectState(stored.name, stored.revision, stored.content)
        self._links.broadcast(ObjectUpdate(RANGES, state))

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


def _proof_fields(change: TableChange) -> dict[str, object]:
    """Returns the fields of a log line on what ends of owners a change rests on."""
    if not change.proofs:
        return {}
    return {"proofs": [proof.log_fields() for proof in change.proofs]}
