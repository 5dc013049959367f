"""Keeps the records up to date: lists the store's objects and watches them.

If a peer has had a newer revision for a while, its objects are fetched from that
peer. This covers a process whose calls the store rejects, and a watch that broke
without an error.
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

# Longer watches cost less; the store allows 30 s.
WATCH_TIMEOUT_S = 25.0
# Delay between a change and the next call, which then returns several changes.
# Operators' changes must be in force within two seconds; tables arrive earlier
# from the peers that write them.
COALESCING_DELAY_S = {
    CONFIGURATION_KIND: 0.15,
    ZONES_OUT_KIND: 0.15,
    MEMBERS: 0.6,
    RANGES: 0.8,
}
# Larger fleets wait longer, so that all processes together make as many store calls
# for each change, and accept stale replies; peers send changes in the meantime.
FULL_WATCH_RATE_NODES = 20
SCALED_KINDS = (MEMBERS, RANGES)
RETRY_MIN_S = 0.15
RETRY_MAX_S = 0.6
# A watch returns a peer's changes within the coalescing delay and this time.
SAME_ZONE_LAG_S = 0.5
# A full listing is large, so it is fetched later from peers in other zones.
OTHER_ZONE_LAG_S = 0.8

_log = structlog.get_logger()


@dataclass(frozen=True, slots=True)
class _Lag:
    """A change that a peer has and this process lacks, and since when."""

    peer_revision: int
    since: float


class StoreWatcher:
    """Owns the tasks that list and watch each kind."""

    def __init__(
        self,
        zone: str,
        store: StoreClient,
        access: StoreAccess,
        records: Records,
        links: Links,
    ) -> None:
        """Creates a watcher that is not started yet.

        Args:
            zone: Availability zone of this process.
            store: Client of the store.
            access: Notified whether the store is reachable.
            records: Updated with the objects that the store returns.
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
        """Returns whether the fleet is large enough to accept stale replies."""
        return len(self._records.members) > FULL_WATCH_RATE_NODES

    def start(self) -> None:
        """Starts to list and watch all kinds."""
        for kind in KINDS:
            self._tasks.append(asyncio.create_task(self._list_and_watch(kind)))

    async def close(self) -> None:
        """Stops all tasks."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def on_known_revisions(self, node: str, known_revisions: tuple[int, ...]) -> None:
        """Fetches a kind of which a peer has had a newer revision for a while."""
        moment = now()
        for kind, peer_revision in zip(KINDS, known_revisions, strict=False):
            own_revision = self._records.last_change(kind)
            if peer_revision <= own_revision:
                continue
            lag = self._lags.get(kind)
            if lag is None or own_revision >= lag.peer_revision:
                self._lags[kind] = _Lag(peer_revision, moment)
            elif moment - lag.since >= self._delay_s(kind) + self._lag_limit_s(node):
                self._lags[kind] = _Lag(peer_revision, moment)
                self._links.send(node, FetchObjects(kind))

    def _lag_limit_s(self, node: str) -> float:
        """Returns the tolerated lag behind a peer, besides the delay, in seconds."""
        member = self._records.members.get(node)
        same_zone = member is not None and member.zone == self._zone
        return SAME_ZONE_LAG_S if same_zone else OTHER_ZONE_LAG_S

    async def _list_and_watch(self, kind: str) -> None:
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
        """Waits for changes of a kind and applies them."""
        revision = self._records.revision(kind)
        allow_stale = kind in SCALED_KINDS and self._is_large_fleet
        listing = await self._store.watch(kind, revision, WATCH_TIMEOUT_S, allow_stale)
        self._records.apply_changes(kind, listing)
        if listing.objects:
            # Further changes are then returned by one call.
            await asyncio.sleep(self._delay_s(kind))

    def _delay_s(self, kind: str) -> float:
        """Returns the coalescing delay of a kind, in seconds."""
        if kind not in SCALED_KINDS:
            return COALESCING_DELAY_S[kind]
        return COALESCING_DELAY_S[kind] * max(
            1.0, len(self._records.members) / FULL_WATCH_RATE_NODES
        )
