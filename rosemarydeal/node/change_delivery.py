"""Delivers the operators' changes to the processes of a zone, with confirmation.

A link may pass nothing any more without a reset, and counts as up until pings have
gone unanswered for a while. Each change is therefore followed by a ping. Without its
answer, the change is sent again over a connection of its own, as new connections may
work; a process that is merely slow then receives it twice, and ignores the second.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Iterable, Mapping

import structlog

from rosemarydeal.core.fleet import Revision

from .link import PingReceipt
from .links import Links
from .messages import ObjectChanges
from .tasks import Tasks

__all__ = ["ChangeDelivery"]

# Longer than a round trip to a process that is busy, and short against the second in
# which a change should be in force.
CONFIRM_WITHIN_S = 0.25
# A process that is away for longer learns of the change with the first ping.
ATTEMPTS = 5
RETRY_PAUSE_S = 0.3

_log = structlog.get_logger()


class ChangeDelivery:
    """Sends changes, and sends them again to those that do not confirm them."""

    def __init__(self, links: Links, tasks: Tasks) -> None:
        """Creates a delivery without changes.

        Args:
            links: Links to the peers.
            tasks: Run the repeats.
        """
        self._links = links
        self._tasks = tasks
        self._latest: dict[str, Revision] = {}
        self._repeated = 0

    @property
    def repeated(self) -> int:
        """Returns how often a change was sent again to a process."""
        return self._repeated

    def send(self, nodes: Iterable[str], changes: ObjectChanges) -> None:
        """Sends changes to nodes, which supersede earlier ones of the kind."""
        self._latest[changes.kind] = changes.revision
        receipts = {node: self._links.send_checked(node, changes) for node in nodes}
        _log.info(
            "change_sent",
            kind=changes.kind,
            revision=changes.revision,
            complete=changes.complete,
            peers=len(receipts),
        )
        self._tasks.spawn("change-delivery", self._confirm(changes, receipts))

    async def _confirm(
        self, changes: ObjectChanges, receipts: Mapping[str, PingReceipt | None]
    ) -> None:
        """Sends changes again to the nodes that have not confirmed them in time."""
        await asyncio.sleep(CONFIRM_WITHIN_S)
        missing = [
            n for n, receipt in receipts.items() if not (receipt and receipt.answered)
        ]
        if not missing:
            return
        _log.warning(
            "change_unconfirmed",
            kind=changes.kind,
            revision=changes.revision,
            peers=missing,
        )
        await asyncio.gather(*(self._repeat(node, changes) for node in missing))

    async def _repeat(self, node: str, changes: ObjectChanges) -> None:
        """Sends changes to a node over new connections until it confirms them."""
        for attempt in range(ATTEMPTS):
            if attempt:
                await asyncio.sleep(RETRY_PAUSE_S * random.uniform(0.7, 1.3))
            if self._latest[changes.kind] != changes.revision:
                return
            self._repeated += 1
            if await self._links.send_anew(node, changes):
                _log.info(
                    "change_repeated",
                    kind=changes.kind,
                    revision=changes.revision,
                    peer=node,
                    attempts=attempt + 1,
                )
                return
        _log.warning(
            "change_not_delivered",
            kind=changes.kind,
            revision=changes.revision,
            peer=node,
        )
