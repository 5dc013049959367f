"""Hands ranges of the upstream beside this process over to other owners.

A range is released from the upstream before the table names its new owner. Grants that
the upstream has not answered could take effect after that, those of a predecessor of
this process included. Such ranges get a new token first, under which they are granted
once more: the upstream refuses the earlier grants from then on.
"""

from __future__ import annotations

import asyncio
import random
import secrets
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass

import structlog

from rosemarydeal.core.fleet import NO_REVISION, KeyRange, Member
from rosemarydeal.policy.keyranges import hand_over_targets, proposals
from rosemarydeal.policy.keyranges import table as tables
from rosemarydeal.policy.keyranges.table_changes import (
    TableBase,
    TableChange,
    WriteResult,
)

from .grants import CallGrantCarrier
from .heartbeat_grants import HeartbeatGrantCarrier

__all__ = ["HandOvers", "OwnTable", "Transfer"]

WRITE_RETRY_FIRST_S = 0.05
WRITE_RETRY_MAX_S = 0.5
# An attempt without an answer may take effect itself, so that each has its own token.
SUPERSEDE_ATTEMPTS = 3
# Covers the time limit of a grant.
ATTEMPT_TIME_S = 0.5

_log = structlog.get_logger()

# A range, or part of one, and its new owner.
Transfer = tuple[KeyRange, Member]


@dataclass(frozen=True, slots=True)
class OwnTable:
    """Access to the range table of the own service.

    Attributes:
        base: Returns the table with the revision that the store holds.
        view: Returns what proposals rest on.
        begin_write: Notes a write that may take own keys, before it is sent.
        write: Writes a changed table.
    """

    base: Callable[[], TableBase]
    view: Callable[[], proposals.OwnershipView]
    begin_write: Callable[[TableChange], None]
    write: Callable[[TableChange], Awaitable[WriteResult]]


class HandOvers:
    """The hand-over in progress, if any."""

    def __init__(
        self,
        node: str,
        grants: CallGrantCarrier | HeartbeatGrantCarrier,
        table: OwnTable,
    ) -> None:
        """Creates a state without a hand-over.

        Args:
            node: This node.
            grants: Grants of the own upstream.
            table: The own service's table.
        """
        self._node = node
        self._grants = grants
        self._table = table
        # Not granted; no one else has them before a write.
        self._released: list[KeyRange] = []

    @property
    def released(self) -> Sequence[KeyRange]:
        """Returns the ranges that are in release, or released."""
        return self._released

    def end(self) -> Sequence[KeyRange]:
        """Ends a hand-over; returns the ranges that it had released."""
        released, self._released = self._released, []
        return released

    async def run(self, transfers: Sequence[Transfer]) -> None:
        """Releases ranges from the upstream and assigns them to their new owners."""
        transfers = await self._supersede_grants(transfers)
        moving = [keys for keys, _ in transfers]
        self._released.extend(moving)
        released = await asyncio.gather(*map(self._grants.release, moving))
        await self._write_new_owners(transfers, released)

    async def _supersede_grants(
        self, transfers: Sequence[Transfer]
    ) -> Sequence[Transfer]:
        """Makes earlier grants of ranges harmless, before the ranges are released.

        Requests for keys with a new token wait until the upstream has taken it.

        Returns:
            The transfers, under the tokens that their ranges have now.
        """
        await self._grants.wait_calls([keys for keys, _ in transfers])
        exposed = self._exposed(transfers)
        if not exposed:
            return transfers
        attempts = 0
        while exposed and attempts < SUPERSEDE_ATTEMPTS:
            attempts += 1
            transfers = await self._renew_tokens(transfers)
            exposed = self._exposed(transfers)
            await self._grants.wait_superseded(exposed, ATTEMPT_TIME_S)
            exposed = self._exposed(transfers)
        _log.info(
            "grants_superseded",
            ranges=[(keys.first, keys.last, keys.token) for keys, _ in transfers],
            attempts=attempts,
            exposed=[(keys.first, keys.last, keys.token) for keys in exposed],
        )
        return transfers

    def _exposed(self, transfers: Sequence[Transfer]) -> list[KeyRange]:
        """Returns the ranges on which an earlier grant may still take effect."""
        return [keys for keys, _ in transfers if self._grants.may_take_later(keys)]

    async def _renew_tokens(self, transfers: Sequence[Transfer]) -> Sequence[Transfer]:
        """Writes a new token for the ranges on which an earlier grant may take effect.

        Returns:
            The transfers, under the tokens that their ranges have now.
        """
        base = self._table.base()
        if not base.current:
            return transfers
        exposed = [
            keys
            for keys in self._exposed(transfers)
            if proposals.still_owned(base.table, keys, self._node)
        ]
        if not exposed:
            return transfers
        changed = tables.renew_tokens(base.table, exposed, secrets.token_hex(8))
        change = TableChange(base, changed, "token-renewed")
        if await self._table.write(change) is not WriteResult.WRITTEN:
            return transfers
        self._grants.limit_former_tokens(base.table.top_token)
        renewed = {keys: tables.with_token(keys, changed.top_token) for keys in exposed}
        return [(renewed.get(keys, keys), owner) for keys, owner in transfers]

    async def _write_new_owners(
        self,
        transfers: Sequence[Transfer],
        released: Sequence[tuple[tuple[KeyRange, str], ...]],
    ) -> None:
        """Writes the new owners of released ranges into the table.

        An unanswered write may take effect later, so the keys must not be used
        here again until a later write or read shows the result.
        """
        pause = WRITE_RETRY_FIRST_S
        while True:
            base = self._table.base()
            if not base.current:
                await self._write_restored(base)
                base = self._table.base()
            moved = [
                (keys, new_owner, handover)
                for (_, new_owner), parts in zip(transfers, released, strict=True)
                for keys, handover in parts
                if proposals.still_owned(base.table, keys, self._node)
            ]
            if not moved:
                return
            eligible = proposals.eligible_owners(base.table, self._table.view())
            moved = hand_over_targets.current_targets(base.table, moved, eligible)
            changed = tables.move_ranges(base.table, moved, secrets.token_hex(8))
            change = TableChange(base, changed, "hand-over")
            self._table.begin_write(change)
            if await self._table.write(change) is WriteResult.WRITTEN:
                return
            await asyncio.sleep(pause * random.uniform(0.7, 1.3))
            pause = min(WRITE_RETRY_MAX_S, 2 * pause)

    async def _write_restored(self, base: TableBase) -> None:
        """Restores the table if that is due here.

        A hand-over keeps other proposals from being made, and can't end before. The
        first of two writes may only reserve the table's name. Once a peer has restored
        the table, its owner's next proposals are no part of the restore.
        """
        for _ in range(2):
            if base.current:
                return
            proposal = proposals.propose(base.table, self._table.view())
            if not isinstance(proposal, proposals.WriteTable):
                return
            change = TableChange(base, proposal.table, proposal.reason)
            result = await self._table.write(change)
            if result is WriteResult.WRITTEN or base.revision != NO_REVISION:
                return
            base = self._table.base()
