"""Keeps the records up to date: from the store, or from a reader of the zone.

The readers of an availability zone list and watch the store's objects and send
each change to the other processes of the zone with the revisions that it spans, so
that a receiver notices a gap and fetches all objects of the kind.

If a peer has had a newer revision for a while, its objects are fetched from that
peer. This covers readers that the store rejects, and a watch that broke without an
error.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Sequence
from dataclasses import dataclass
from functools import partial

import structlog

from rosemarydeal.core.clock import now
from rosemarydeal.core.fleet import (
    NodeIdentity,
    ObjectOrigin,
    Revision,
    StoredObject,
)
from rosemarydeal.platform.errors import HistoryGone, StoreError
from rosemarydeal.platform.names import CONFIGURATION_KIND, ZONES_OUT_KIND
from rosemarydeal.platform.store import Listing, StoreClient
from rosemarydeal.policy.keyranges.ownership_lease import takeover_wait
from rosemarydeal.policy.membership.readers import ReaderCandidate, zone_readers
from rosemarydeal.policy.membership.spans import ChangeSpans

from .catch_up import CatchUp
from .change_delivery import ChangeDelivery
from .frames import FrameConnection
from .links import Links
from .messages import FetchObjects, ObjectChanges, ObjectState, StoreReachability
from .records import KINDS, MEMBERS, RANGES, Records
from .store_access import StoreAccess
from .tasks import TaskFailures, Tasks

__all__ = ["StoreWatcher"]

# Longer watches cost less; the store allows 30 s.
WATCH_TIMEOUT_S = 25.0
# A connection may fall silent without a reset, which only the end of a watch shows.
# The first reader of a zone ends the watches of operators' changes early: in force
# within two seconds, and within five, are due three seconds after such a fault. It
# tells the other reader, so that this one needs no more calls in a steady state.
CHECKED_WATCH_TIMEOUT_S = {CONFIGURATION_KIND: 1.0, ZONES_OUT_KIND: 3.0}
# Longer than the store takes to answer, unless it is slow: then changes are asked for
# once more, without a wait.
CHECKED_WATCH_SLACK_S = 0.4
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
OPERATOR_KINDS = (CONFIGURATION_KIND, ZONES_OUT_KIND)
RETRY_MIN_S = 0.15
RETRY_MAX_S = 0.6
# A watch returns a peer's changes within the coalescing delay and this time.
SAME_ZONE_LAG_S = 0.5
# A process looks this often whether it has become a reader.
ROLE_CHECK_S = 0.5
# Wait for a reader's listing before the store is asked.
FETCH_TIMEOUT_S = 0.8
# In a starting fleet all processes are readers until they know each other.
SETTLE_S = 2.0
# A process whose store calls failed counts as a possible reader again after this.
RETRY_READER_S = 10.0
# Larger changes are read from the store, since a reader would have to send them to
# its whole zone.
MAX_PUSHED_BYTES = 16_384
# Spreads the store calls of a zone after a large change.
LARGE_CHANGE_JITTER_S = 0.3
# A full listing is large, so it is fetched later from peers in other zones.
OTHER_ZONE_LAG_S = 0.8

_log = structlog.get_logger()


@dataclass(slots=True)
class _Watch:
    """A watch that waits for changes.

    Attributes:
        timeout: Ends it early.
        lists_anew: Whether its kind is listed anew after an early end.
    """

    timeout: asyncio.Timeout
    lists_anew: bool = False

    def end(self) -> None:
        """Ends the watch."""
        if not self.timeout.expired():
            self.timeout.reschedule(asyncio.get_running_loop().time())


@dataclass(frozen=True, slots=True)
class _Lag:
    """A change that a peer has and this process lacks, and since when."""

    peer_revision: Revision
    since: float


class StoreWatcher:
    """Owns the tasks that list and watch each kind."""

    def __init__(
        self,
        identity: NodeIdentity,
        store: StoreClient,
        access: StoreAccess,
        records: Records,
        links: Links,
        failures: TaskFailures | None = None,
    ) -> None:
        """Creates a watcher that is not started yet.

        Args:
            identity: This process.
            store: Client of the store.
            access: Notified whether the store is reachable.
            records: Updated with the objects that the store returns.
            links: Links to the peers.
            failures: Failures of the process's tasks.
        """
        self._node = identity.node
        self._zone = identity.zone
        self._store = store
        self._access = access
        self._records = records
        self._links = links
        self._lags: dict[str, _Lag] = {}
        self._tasks = Tasks(failures)
        self._spans = ChangeSpans()
        self._failed_at: float | None = None
        self._started_at = now()
        self._was_reader = False
        self._records_changed = asyncio.Event()
        self._fetched_at: dict[str, float] = {}
        self._watches: dict[str, _Watch] = {}
        self._first_listings: dict[str, Revision] = {}
        self._carry_timer: asyncio.TimerHandle | None = None
        self._delivery = ChangeDelivery(links, self._tasks)
        self._catch_up = CatchUp(records, self._read_listing, self._tasks)
        records.subscribe(self._on_records_changed)

    @property
    def reads_store(self) -> bool:
        """Returns whether this process is a possible reader of the store."""
        return self._failed_at is None or now() - self._failed_at > RETRY_READER_S

    @property
    def readers(self) -> tuple[str, ...]:
        """Returns the readers of the own zone."""
        members = self._records.members.values()
        candidates = [
            ReaderCandidate(
                member.node,
                self._links.is_up(member.node)
                and not self._links.is_leaving(member.node),
                self._links.reads_store(member.node),
            )
            for member in members
            if member.zone == self._zone and member.node != self._node
        ]
        candidates.append(ReaderCandidate(self._node, True, self.reads_store))
        return zone_readers(candidates)

    @property
    def changes_repeated(self) -> int:
        """Returns how often an operators' change was sent again to a process."""
        return self._delivery.repeated

    @property
    def behind_s(self) -> float:
        """Returns for how long peers have had operators' changes that this one lacks.

        In seconds, 0.0 if it lacks none.
        """
        return self._catch_up.behind_s

    @property
    def _is_large_fleet(self) -> bool:
        """Returns whether the fleet is large enough to accept stale replies."""
        return len(self._records.members) > FULL_WATCH_RATE_NODES

    @property
    def shared_reader(self) -> str | None:
        """Returns the node that reads objects for this zone, None for this one."""
        first = self.readers[0]
        return None if first == self._node else first

    def first_listing(self, kind: str) -> Revision | None:
        """Returns the revision at which this process first listed a kind itself.

        None if it has not, or has the kind from a peer.
        """
        return self._first_listings.get(kind)

    def start(self) -> None:
        """Starts to list and watch all kinds."""
        for kind in KINDS:
            self._tasks.keep_running(
                f"watch-{kind}", partial(self._list_and_watch, kind)
            )
        self._tasks.keep_running("reader-role", self._follow_role)

    def end_watches(self) -> None:
        """Ends all watches, after which their kinds are listed anew.

        The store was restored from a copy, or has another address.
        """
        for watch in self._watches.values():
            watch.lists_anew = True
            watch.end()

    def renew_watches(self) -> None:
        """Starts all watches again over new connections.

        Connections to the store may have fallen silent.
        """
        self._tasks.spawn("renew-watches", self._renew_watches())

    async def close(self) -> None:
        """Stops all tasks."""
        if self._carry_timer is not None:
            self._carry_timer.cancel()
        await self._tasks.close()

    def apply_peer_changes(
        self, source: FrameConnection, changes: ObjectChanges
    ) -> None:
        """Applies the changes that a reader sent, or fetches what is missing.

        Args:
            source: Connection that the changes came over, which has just worked.
            changes: The changes.
        """
        kind = changes.kind
        if kind not in KINDS or changes.revision <= self._records.revision(kind):
            return
        if not changes.complete:
            self._tasks.spawn("read-change", self._read_large_change(kind, source))
        elif not self._records.listed(kind) or (
            self._records.revision(kind) < changes.since
        ):
            source.send(FetchObjects(kind))
        else:
            objects = tuple(
                StoredObject(kind, state.name, state.revision, state.content)
                for state in changes.objects
            )
            self._records.apply_changes(
                kind, Listing(objects, changes.revision), ObjectOrigin.PEER_CHANGES
            )

    def on_known_revisions(
        self, source: FrameConnection, known_revisions: tuple[Revision, ...]
    ) -> None:
        """Fetches a kind of which a peer has had a newer revision for a while.

        Args:
            source: Connection to the peer, which has just worked.
            known_revisions: The last revision that it knows of each kind.
        """
        moment = now()
        for kind, peer_revision in zip(KINDS, known_revisions, strict=False):
            own_revision = self._records.last_change(kind)
            if peer_revision <= own_revision:
                continue
            if peer_revision.era > own_revision.era:
                self._fetch_after_restore(kind, source)
                continue
            if kind in OPERATOR_KINDS:
                if self._records.lacks(kind, peer_revision):
                    self._catch_up.note(kind, source, peer_revision)
                continue
            lag = self._lags.get(kind)
            if lag is None or own_revision >= lag.peer_revision:
                self._lags[kind] = _Lag(peer_revision, moment)
            elif moment - lag.since >= (
                self._delay_s(kind) + self._lag_limit_s(source.peer)
            ):
                self._lags[kind] = _Lag(peer_revision, moment)
                source.send(FetchObjects(kind))

    def _fetch_after_restore(self, kind: str, source: FrameConnection) -> None:
        """Fetches a kind from a peer that knows of a higher era, once in a while."""
        moment = now()
        if moment - self._fetched_at.get(kind, -RETRY_MAX_S) >= RETRY_MAX_S:
            self._fetched_at[kind] = moment
            source.send(FetchObjects(kind))

    def _on_records_changed(self, _kind: str) -> None:
        """Wakes the tasks that wait for records, and limits how long they carry over.

        A member that is carried over may own keys until its lease has expired.
        """
        self._records_changed.set()
        if self._records.carries_objects and self._carry_timer is None:
            loop = asyncio.get_running_loop()
            self._carry_timer = loop.call_later(takeover_wait(), self._drop_carried)

    def _drop_carried(self) -> None:
        """Drops what is still carried over from a former era of the store."""
        self._carry_timer = None
        self._records.drop_carried()

    def _lag_limit_s(self, node: str) -> float:
        """Returns the tolerated lag behind a peer, besides the delay, in seconds."""
        member = self._records.members.get(node)
        same_zone = member is not None and member.zone == self._zone
        return SAME_ZONE_LAG_S if same_zone else OTHER_ZONE_LAG_S

    async def _list_and_watch(self, kind: str) -> None:
        """Lists a kind and watches it while this process is a reader."""
        pause = RETRY_MIN_S
        while True:
            try:
                if not self._records.listed(kind):
                    await self._obtain_listing(kind)
                if not await self._is_reader_of(kind):
                    continue
                if not await self._watch(kind):
                    continue
                pause = RETRY_MIN_S
            except HistoryGone as error:
                _log.info(
                    "store_history_gone",
                    kind=kind,
                    revision=self._records.revision(kind),
                    detail=error.detail,
                )
                self._records.invalidate_listing(kind)
                await asyncio.sleep(pause * random.uniform(0.3, 1.0))
                pause = min(RETRY_MAX_S, 2 * pause)
                continue
            except StoreError as error:
                self._note_result(False, str(error))
                await asyncio.sleep(pause * random.uniform(0.7, 1.3))
                pause = min(RETRY_MAX_S, 2 * pause)
                continue
            self._note_result(True)

    async def _renew_watches(self) -> None:
        """Closes the connections to the store and starts all watches again."""
        await self._store.close_idle()
        _log.info("watches_renewed", kinds=sorted(self._watches))
        for watch in self._watches.values():
            watch.end()

    async def _follow_role(self) -> None:
        """Renews the watches when this process becomes the first reader of its zone.

        The former one may have stopped before it found out that connections are silent.
        """
        was_first = self.shared_reader is None
        while True:
            await asyncio.sleep(ROLE_CHECK_S)
            is_first = self.shared_reader is None
            if is_first and not was_first:
                await self._renew_watches()
            was_first = is_first

    def _note_result(self, success: bool, detail: str = "") -> None:
        """Records whether a store call succeeded; notifies the zone of a change."""
        self._access.note_reachable(success, detail)
        changed = success != self.reads_store
        self._failed_at = None if success else now()
        if changed:
            self._send_to_zone(StoreReachability(success))

    async def _obtain_listing(self, kind: str) -> None:
        """Fetches the first listing from a reader, or else from the store."""
        others = [node for node in self.readers if node != self._node]
        if others and not self._was_reader:
            self._links.send(random.choice(others), FetchObjects(kind))
            if await self._is_listed_within(kind, FETCH_TIMEOUT_S):
                return
        listing = await self._store.list(kind)
        _log.info(
            "objects_listed",
            kind=kind,
            revision=listing.revision,
            held=self._records.revision(kind),
        )
        self._first_listings.setdefault(kind, listing.revision)
        self._records.apply_listing(kind, listing)
        self._note_result(True)
        if self._node in self.readers:
            # The listing does not tell what has changed: the others fetch it.
            self._spans.begin(kind, listing.revision)
            self._push(kind, listing.revision, Listing((), listing.revision))

    async def _is_listed_within(self, kind: str, timeout_s: float) -> bool:
        """Waits for a listing from a peer; returns whether it came in time."""
        try:
            async with asyncio.timeout(timeout_s):
                while not self._records.listed(kind):
                    self._records_changed.clear()
                    await self._records_changed.wait()
        except TimeoutError:
            return False
        return True

    async def _is_reader_of(self, kind: str) -> bool:
        """Returns whether to watch a kind now; waits for a moment if not."""
        settled = kind == MEMBERS or now() - self._started_at > SETTLE_S
        is_reader = self._node in self.readers
        if is_reader != self._was_reader:
            self._was_reader = is_reader
            _log.info("store_reader", reads=is_reader, readers=self.readers)
        if is_reader and settled:
            return True
        await asyncio.sleep(ROLE_CHECK_S)
        return False

    async def _watch(self, kind: str) -> bool:
        """Waits for changes of a kind and applies them.

        Returns whether the store answered; false if the watch was ended early.
        """
        revision = self._records.revision(kind)
        allow_stale = kind in SCALED_KINDS and self._is_large_fleet
        timeout = asyncio.timeout(None)
        watch = self._watches[kind] = _Watch(timeout)
        try:
            async with timeout:
                listing = await self._store.watch(
                    kind,
                    revision,
                    self._watch_timeout_s(kind),
                    allow_stale,
                    CHECKED_WATCH_SLACK_S if kind in OPERATOR_KINDS else None,
                )
        except TimeoutError as error:
            if not watch.lists_anew:
                return False
            raise HistoryGone(f"{kind}: restored since {revision}") from error
        finally:
            del self._watches[kind]
        if listing.after_silence:
            self._send_to_zone(StoreReachability(True, after_silence=True))
            self.renew_watches()
        self._records.apply_changes(kind, listing)
        since = self._spans.extend(kind, revision, listing.revision)
        if listing.objects:
            self._push(kind, since, listing)
            # Further changes are then returned by one call.
            await asyncio.sleep(self._delay_s(kind))
        return True

    def _watch_timeout_s(self, kind: str) -> float:
        """Returns how long a watch of a kind waits for changes, in seconds."""
        if self.shared_reader is not None:
            return WATCH_TIMEOUT_S
        return CHECKED_WATCH_TIMEOUT_S.get(kind, WATCH_TIMEOUT_S)

    def _push(self, kind: str, since: Revision, listing: Listing) -> None:
        """Sends all changes since a revision to the other processes of the zone."""
        self._spans.begin(kind, listing.revision)
        objects = tuple(
            ObjectState(stored.name, stored.revision, stored.content)
            for stored in listing.objects
            if not stored.unreadable
        )
        complete = _content_bytes(objects) <= MAX_PUSHED_BYTES
        if not complete:
            objects = ()
        changes = ObjectChanges(kind, since, listing.revision, objects, complete)
        if kind in OPERATOR_KINDS:
            self._delivery.send(self._zone_peers, changes)
        else:
            self._send_to_zone(changes)

    @property
    def _zone_peers(self) -> list[str]:
        """Returns the nodes of the other processes of the zone."""
        return [
            member.node
            for member in self._records.members.values()
            if member.zone == self._zone and member.node != self._node
        ]

    def _send_to_zone(self, message: ObjectChanges | StoreReachability) -> None:
        """Sends a message to the other processes of the zone."""
        for node in self._zone_peers:
            self._links.send(node, message)

    async def _read_large_change(self, kind: str, source: FrameConnection) -> None:
        """Lists a kind after a large change, or fetches it from its reader."""
        await asyncio.sleep(random.uniform(0.0, LARGE_CHANGE_JITTER_S))
        if not await self._read_listing(kind):
            source.send(FetchObjects(kind))

    async def _read_listing(self, kind: str) -> bool:
        """Lists a kind; returns whether the store answered."""
        try:
            self._records.apply_listing(kind, await self._store.list(kind))
        except StoreError as error:
            self._access.note_reachable(False, str(error))
            return False
        return True

    def _delay_s(self, kind: str) -> float:
        """Returns the coalescing delay of a kind, in seconds."""
        if kind not in SCALED_KINDS:
            return COALESCING_DELAY_S[kind]
        return COALESCING_DELAY_S[kind] * max(
            1.0, len(self._records.members) / FULL_WATCH_RATE_NODES
        )


def _content_bytes(objects: Sequence[ObjectState]) -> int:
    """Returns the total length of the objects' contents."""
    return sum(len(state.content or b"") for state in objects)
