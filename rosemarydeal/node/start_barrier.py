"""Lets a new process use its keys once no write of its predecessor can follow.

If nobody else writes the table soon after the start, this process writes it again
with the same assignments. Without an answer the result counts once it is known.
"""

from __future__ import annotations

import asyncio
import secrets
from collections.abc import Awaitable, Callable
from dataclasses import replace

import structlog

from rosemarydeal.core.clock import now
from rosemarydeal.core.fleet import NodeIdentity, Revision
from rosemarydeal.policy.keyranges import start_barrier
from rosemarydeal.policy.keyranges import table as tables
from rosemarydeal.policy.keyranges.table_changes import TableChange

from .records import Records
from .tasks import Tasks

__all__ = ["StartBarrier"]

_log = structlog.get_logger()


class StartBarrier:
    """The barrier of the own service's table."""

    def __init__(
        self,
        identity: NodeIdentity,
        records: Records,
        first_listing: Callable[[], Revision | None],
        write: Callable[[TableChange], Awaitable[None]],
        tasks: Tasks,
    ) -> None:
        """Creates a barrier that is not passed.

        Args:
            identity: This process.
            records: State of the store's objects.
            first_listing: Returns the store's revision at which this process first
                listed the tables itself, None if it has not.
            write: Writes a changed table, unless another write is in progress.
            tasks: Tasks of the ownership.
        """
        self._identity = identity
        self._records = records
        self._first_listing = first_listing
        self._write = write
        self._tasks = tasks
        self._barrier = start_barrier.StartBarrier()
        self._created_at = now()
        self._waiting = False
        self._writes = 0

    @property
    def passed(self) -> bool:
        """Returns whether no write of a predecessor can be carried out any more."""
        return self._barrier.passed

    def note_read(self, revision: Revision) -> None:
        """Notes the revision of the table that a read from the store returned."""
        self._barrier.note_position(revision)
        self.update()

    def update(self) -> None:
        """Notes the known table; starts to wait for a later one if keys need it."""
        if self.passed:
            return
        listing = self._first_listing()
        if listing is not None:
            self._barrier.note_position(listing)
        base = self._records.table_base(self._identity.service)
        if base.current:
            # A copy that a restore brings does not show a predecessor's write.
            self._barrier.note_table(base.revision)
        if self.passed:
            after_s = round(now() - self._created_at, 3)
            _log.info(
                "start_barrier_passed",
                revision=base.revision,
                writes=self._writes,
                after_s=after_s,
            )
        elif self._needs_write() and not self._waiting:
            self._waiting = True
            self._tasks.spawn("start-barrier", self._write_until_passed())

    def _needs_write(self) -> bool:
        """Returns whether own keys wait for a later table."""
        service = self._identity.service
        table = self._records.table(service)
        if table is None or self.passed or not self._barrier.has_position:
            return False
        outdated = self._records.is_table_outdated(service)
        if not self._records.is_table_proved(service):
            return False
        return not outdated and bool(tables.owned_by(table, self._identity.node))

    async def _write_until_passed(self) -> None:
        """Writes the table with the same assignments unless another one does."""
        try:
            while self._needs_write():
                nodes = len(self._records.members)
                await asyncio.sleep(self._barrier.write_delay(nodes))
                if self._needs_write():
                    await self._write_same()
        finally:
            self._waiting = False

    async def _write_same(self) -> None:
        """Writes the known table again."""
        base = self._records.table_base(self._identity.service)
        self._writes += 1
        unchanged = replace(base.table, writer=secrets.token_hex(8))
        await self._write(TableChange(base, unchanged, "process-started"))
