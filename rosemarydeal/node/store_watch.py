"""Keeps the records up to date: lists the store's objects and watches them.

What a peer has known for a while and this process does not is fetched from that
peer, so that a process that the store turns away, or that lost a watch without
a sign, still learns it.
"""

from __future__ import annotations

import asyncio
import random
from dataclasses import dataclass

import structlog

from rosemarydeal.core.clock import now
from rosemarydeal.platform.errors import HistoryGone, StoreError
from rosemarydeal.platform.names import CONFIGURATION_KIND, ZONES_OUT_KIND
from rosemarydeal.platform.store import StoreClient

from .links import Links
from .messages import FetchObjects
from .records import KINDS, MEMBERS, RANGES, Records
from .store_access import StoreAccess

__all__ = ["StoreWatcher"]

# Longer waits are priced less; the store allows 30 s.
WATCH_TIMEOUT_S = 25.0
# After a change, further ones are gathered for this long. Operators' orders have
# to be in force within two seconds; tables are told by those who write them.
COALESCE_S = {CONFIGURATION_KIND: 0.15, ZONES_OUT_KIND: 0.15, MEMBERS: 0.6, RANGES: 0.8}
# Larger fleets gather for longer, so that all processes together call the store
# as often for each change, and are content with late news from it; peers tell of
# changes meanwhile.
FULL_WATCH_RATE_NODES = 20
SCALED_KINDS = (MEMBERS, RANGES)
RETRY_MIN_S = 0.15
RETRY_MAX_S = 0.6
# A watch shows what a peer knows within the time for gathering and this one.
SAME_ZONE_LAG_S = 0.5
# A whole kind is long, so that peers of other zones are asked later.
OTHER_ZONE_LAG_S = 0.8

_log = structlog.get_logger()


@dataclass(frozen=True, slots=True)
class _Lag:
    """Notes since when a peer has known a change that is not known here."""

    peer_revision: int
    since: float


class StoreWatcher:
    """Owns the tasks that list and watch the kinds."""

    def __init__(
        self,
        zone: str,
        store: StoreClient,
        access: StoreAccess,
        records: Records,
        links: Links,
    ) -> None:
        """Makes a follower that does nothing yet.

        Args:
            zone: Availability zone of this process.
            store: Client of the store.
            access: Is told whether the store answers.
            records: Takes in what the store and the peers say.
            links: Links to the peers.
        """
        self._zone = zone
        self._store = store
        self._access = access
        self._records = records
        self._links = links
        self._lags: dict[str, _Lag] = {}
        self._tasks: list[asyncio.Task[None]] = []

    @property
    def _is_large_fleet(self) -> bool:
        """Tells whether the fleet is one that spares the store."""
        return len(self._records.members) > FULL_WATCH_RATE_NODES

    def start(self) -> None:
        """Starts to follow all kinds."""
        for kind in KINDS:
            self._tasks.append(asyncio.create_task(self._maintain(kind)))

    async def close(self) -> None:
        """Stops following."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def on_known_revisions(self, node: str, known_revisions: tuple[int, ...]) -> None:
        """Asks a peer for a kind of which it has known more for a while."""
        moment = now()
        for kind, peer_revision in zip(KINDS, known_revisions, strict=False):
            own_revision = self._records.last_change(kind)
            if peer_revision <= own_revision:
                continue
            lag = self._lags.get(kind)
            if lag is None or own_revision >= lag.peer_revision:
                self._lags[kind] = _Lag(peer_revision, moment)
            elif moment - lag.since >= self._coalesce_s(kind) + self._lag_allowance_s(
                node
            ):
                self._lags[kind] = _Lag(peer_revision, moment)
                self._links.send(node, FetchObjects(kind))

    def _lag_allowance_s(self, node: str) -> float:
        """Returns how long a peer may be ahead before it is asked, in seconds."""
        member = self._records.members.get(node)
        same_zone = member is not None and member.zone == self._zone
        return SAME_ZONE_LAG_S if same_zone else OTHER_ZONE_LAG_S

    async def _maintain(self, kind: str) -> None:
        """Lists a kind, then watches it, until cancelled."""
        pause = RETRY_MIN_S
        while True:
            try:
                if not self._records.listed(kind):
                    listing = await self._store.list(kind)
                    self._records.apply_listing(kind, listing)
                await self._watch(kind)
                pause = RETRY_MIN_S
            except HistoryGone:
                _log.info("store_history_gone", kind=kind)
                self._records.invalidate_listing(kind)
                continue
            except StoreError as error:
                self._access.note_reachable(False, str(error))
                await asyncio.sleep(pause * random.uniform(0.7, 1.3))
                pause = min(RETRY_MAX_S, 2 * pause)
                continue
            self._access.note_reachable(True)

    async def _watch(self, kind: str) -> None:
        """Waits for changes of a kind and takes them in."""
        revision = self._records.revision(kind)
        allow_stale = kind in SCALED_KINDS and self._is_large_fleet
        listing = await self._store.watch(kind, revision, WATCH_TIMEOUT_S, allow_stale)
        self._records.apply_changes(kind, listing)
        if listing.objects:
            # Changes that come together are taken in one call.
            await asyncio.sleep(self._coalesce_s(kind))

    def _coalesce_s(self, kind: str) -> float:
        """Returns how long changes of a kind are gathered, in seconds."""
        if kind not in SCALED_KINDS:
            return COALESCE_S[kind]
        return COALESCE_S[kind] * max(
            1.0, len(self._records.members) / FULL_WATCH_RATE_NODES
        )
