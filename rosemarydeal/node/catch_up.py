"""Obtains the operators' changes that peers have and this process lacks.

Peers state the revisions that they know on each ping and its answer. A change that the
readers' message does not bring soon afterwards is asked of the peer that knows it, over
the connection that has just worked, and of the store if that peer does not answer.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

import structlog

from rosemarydeal.core.clock import now
from rosemarydeal.core.fleet import Revision

from .frames import FrameConnection
from .messages import FetchObjects
from .records import Records
from .tasks import Tasks

__all__ = ["CatchUp"]

# A reader may see a change as much later than those of other zones, as it waits
# between two calls for further changes.
EXPECTED_DELAY_S = 0.2
# Longer than a round trip to a peer that is busy.
ANSWER_WITHIN_S = 0.25
# Spreads the calls of processes that ask the store at the same time.
STORE_JITTER_S = 0.1

_log = structlog.get_logger()


@dataclass(slots=True)
class _Gap:
    """A change of a kind that this process lacks.

    Attributes:
        revision: The newest revision that a peer has stated.
        source: Connection to the peer that stated it last.
        since: When a newer revision was first stated.
    """

    revision: Revision
    source: FrameConnection
    since: float


class CatchUp:
    """Tracks what is lacking, by kind, and obtains it."""

    def __init__(
        self,
        records: Records,
        read_listing: Callable[[str], Awaitable[bool]],
        tasks: Tasks,
    ) -> None:
        """Creates a tracker of a process that lacks nothing.

        Args:
            records: What this process has.
            read_listing: Lists a kind from the store; returns whether it answered.
            tasks: Run the fetches.
        """
        self._records = records
        self._read_listing = read_listing
        self._tasks = tasks
        self._gaps: dict[str, _Gap] = {}

    @property
    def behind_s(self) -> float:
        """Returns since how many seconds a change is lacking, 0.0 without any."""
        return max((now() - gap.since for gap in self._gaps.values()), default=0.0)

    def note(self, kind: str, source: FrameConnection, revision: Revision) -> None:
        """Notes that a peer has a newer revision of a kind than this process."""
        gap = self._gaps.get(kind)
        if gap is not None:
            gap.revision = max(gap.revision, revision)
            gap.source = source
            return
        self._gaps[kind] = gap = _Gap(revision, source, now())
        _log.info(
            "newer_revision_known",
            kind=kind,
            peer=source.peer,
            revision=revision,
            held=self._records.last_change(kind),
        )
        self._tasks.spawn("catch-up", self._close(kind, gap))

    def _is_open(self, kind: str, gap: _Gap) -> bool:
        """Returns whether this process still lacks what closes a gap."""
        return self._records.lacks(kind, gap.revision)

    async def _close(self, kind: str, gap: _Gap) -> None:
        """Obtains a kind from peers and the store by turns."""
        try:
            await asyncio.sleep(EXPECTED_DELAY_S)
            while self._is_open(kind, gap):
                source = gap.source
                source.send(FetchObjects(kind))
                await asyncio.sleep(ANSWER_WITHIN_S)
                if self._is_open(kind, gap):
                    _log.warning(
                        "peer_listing_missing",
                        kind=kind,
                        peer=source.peer,
                        revision=gap.revision,
                    )
                    await asyncio.sleep(random.uniform(0.0, STORE_JITTER_S))
                    await self._read_listing(kind)
        finally:
            del self._gaps[kind]
        _log.info(
            "operator_change_caught_up",
            kind=kind,
            revision=self._records.last_change(kind),
            after_s=round(now() - gap.since, 3),
        )
