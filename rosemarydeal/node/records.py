"""Owns what this process knows of the store's objects.

Four kinds are followed: the operators' configuration, the zones that they took
out, the members, and the tables of key ranges. Objects come from watches and
from peers; the newest revision of each wins, so that a process that the store
turns away still learns them.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass, field

import structlog

from rosemarydeal.core.clock import now
from rosemarydeal.core.fleet import Configuration, Member, RangeTable, Stored
from rosemarydeal.platform.errors import (
    HistoryGone,
    StoreConflict,
    StoreError,
)
from rosemarydeal.platform.names import (
    CONFIGURATION_KIND,
    CONFIGURATION_NAME,
    ZONES_OUT_KIND,
)
from rosemarydeal.platform.store import Listing, StoreClient

from . import contents
from .links import Links
from .messages import (
    Fetch,
    ObjectNotice,
    Objects,
    ObjectState,
    StoreAnswer,
    StoreCall,
)

__all__ = ["MEMBERS", "RANGES", "Records"]

MEMBERS = "rosemarydeal-members"
RANGES = "rosemarydeal-ranges"
KINDS = (CONFIGURATION_KIND, ZONES_OUT_KIND, MEMBERS, RANGES)
# Longer waits are priced less; the store allows 30 s.
WATCH_S = 25.0
# After a change, further ones are gathered for this long. Operators' orders have
# to be in force within two seconds; tables are told by those who write them.
GATHER_S = {CONFIGURATION_KIND: 0.15, ZONES_OUT_KIND: 0.15, MEMBERS: 0.6, RANGES: 0.8}
RETRY_FIRST_S = 0.15
RETRY_MOST_S = 0.6
# A watch shows what a peer knows within the time for gathering and this one.
PEER_AHEAD_S = 0.5
# A whole kind is long, so that peers of other zones are asked later.
OTHER_ZONE_AHEAD_S = 0.8
# Peers that are asked to call the store for a process that it turns away.
RELAY_PEERS = 3

_log = structlog.get_logger()


@dataclass(slots=True)
class _Kind:
    """Is what is known of one kind.

    Attributes:
        objects: Objects by name; deleted ones stay, without content.
        revision: Revision of the store up to which nothing is missing.
        changed: Revision of the last change that is known.
        listed: Whether the kind was read as a whole.
    """

    objects: dict[str, Stored] = field(default_factory=dict)
    revision: int = 0
    changed: int = 0
    listed: bool = False


@dataclass(frozen=True, slots=True)
class _Ahead:
    """Notes since when a peer has known a change that is not known here."""

    changed: int
    since: float


class Records:
    """Follows the store and answers what its objects say."""

    def __init__(self, zone: str, store: StoreClient, links: Links) -> None:
        """Makes an empty view.

        Args:
            zone: Availability zone of this process.
            store: Client of the store.
            links: Links to peers, who call the store if it turns this one away.
        """
        self._zone = zone
        self._store = store
        self._links = links
        self._kinds = {kind: _Kind() for kind in KINDS}
        self._listeners: list[Callable[[str], None]] = []
        self._configuration: Configuration | None = None
        self._members: dict[str, Member] = {}
        self._members_changed_at = now()
        self._tables: dict[str, RangeTable] = {}
        self._zones_out: frozenset[str] = frozenset()
        self._reachable = True
        self._ahead: dict[str, _Ahead] = {}
        self._tasks: list[asyncio.Task[None]] = []

    @property
    def reachable(self) -> bool:
        """Tells whether the store answered the last call."""
        return self._reachable

    @property
    def configuration(self) -> Configuration | None:
        """Returns the newest configuration that is known."""
        return self._configuration

    @property
    def zones_out(self) -> frozenset[str]:
        """Returns the availability zones that operators took out."""
        return self._zones_out

    @property
    def members(self) -> dict[str, Member]:
        """Returns the members by node."""
        return self._members

    @property
    def members_changed_at(self) -> float:
        """Returns when the members changed last."""
        return self._members_changed_at

    @property
    def complete(self) -> bool:
        """Tells whether all kinds were read."""
        return all(kind.listed for kind in self._kinds.values())

    @property
    def known(self) -> tuple[int, ...]:
        """Returns the revision of the last change that is known of each kind."""
        return tuple(self._kinds[name].changed for name in KINDS)

    def table(self, service: str) -> RangeTable | None:
        """Returns the table of a service."""
        return self._tables.get(service)

    def stored(self, kind: str, name: str) -> Stored | None:
        """Returns an object; a deleted one has no content."""
        return self._kinds[kind].objects.get(name)

    def subscribe(self, listener: Callable[[str], None]) -> None:
        """Has a function called with the kind whenever something changed."""
        self._listeners.append(listener)

    def start(self) -> None:
        """Starts to follow all kinds."""
        for kind in KINDS:
            self._tasks.append(asyncio.create_task(self._follow(kind)))

    async def close(self) -> None:
        """Stops following."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def take(self, stored: Stored) -> bool:
        """Takes an object in if it is newer than the one that is known."""
        kind = self._kinds[stored.kind]
        if stored.unreadable or not stored.name:
            _log.warning("object_ignored", kind=stored.kind, reason=stored.unreadable)
            return False
        old = kind.objects.get(stored.name)
        if old is not None and old.revision >= stored.revision:
            if not (stored.content is None and old.content is not None):
                return False
            if old.revision > stored.revision:
                return False
        kind.objects[stored.name] = stored
        kind.changed = max(kind.changed, stored.revision)
        self._interpret(stored.kind)
        return True

    def take_notice(self, notice: ObjectNotice) -> None:
        """Takes in an object that a peer sent."""
        if notice.kind in self._kinds:
            state = notice.state
            self.take(Stored(notice.kind, state.name, state.revision, state.content))

    def take_objects(self, objects: Objects) -> None:
        """Takes in all objects of a kind that a peer sent."""
        kind = self._kinds.get(objects.kind)
        if kind is None or objects.revision <= kind.revision:
            return
        listing = Listing(
            tuple(
                Stored(objects.kind, state.name, state.revision, state.content)
                for state in objects.objects
            ),
            objects.revision,
        )
        _log.info("objects_from_peer", kind=objects.kind, revision=objects.revision)
        self._take_listing(objects.kind, listing)
        kind.changed = max(kind.changed, objects.changed)

    def note_known(self, node: str, known: tuple[int, ...]) -> None:
        """Asks a peer for a kind of which it has known more for a while."""
        moment = now()
        for name, changed in zip(KINDS, known, strict=False):
            kind = self._kinds[name]
            if changed <= kind.changed:
                continue
            ahead = self._ahead.get(name)
            if ahead is None or kind.changed >= ahead.changed:
                self._ahead[name] = _Ahead(changed, moment)
            elif moment - ahead.since >= GATHER_S[name] + self._patience(node):
                self._ahead[name] = _Ahead(changed, moment)
                self._links.send(node, Fetch(name))

    def _patience(self, node: str) -> float:
        """Returns how long a peer may be ahead before it is asked, in seconds."""
        member = self._members.get(node)
        near = member is not None and member.zone == self._zone
        return PEER_AHEAD_S if near else OTHER_ZONE_AHEAD_S

    def export(self, kind: str) -> Objects:
        """Returns all objects of a kind, for a peer."""
        found = self._kinds.get(kind) or _Kind()
        states = tuple(
            ObjectState(stored.name, stored.revision, stored.content)
            for stored in found.objects.values()
            if stored.content is not None
        )
        return Objects(kind, found.revision, found.changed, states)

    async def read(self, kind: str, name: str) -> Stored | None:
        """Reads an object from the store now, through a peer if need be.

        Returns:
            The object, or None where there is none.

        Raises:
            StoreError: No answer that could be used, from the store or a peer.
        """
        try:
            stored = await self._store.get(kind, name)
        except StoreError as error:
            self._note_reachable(False, str(error))
            stored = (await self._ask_peers(StoreCall(0, kind, name), error))[0]
        else:
            self._note_reachable(True)
        if stored is not None:
            self.take(stored)
        return stored

    async def write(self, kind: str, name: str, content: bytes) -> Stored:
        """Writes an object over the revision that is known.

        Raises:
            StoreConflict: It changed meanwhile; it has been read anew.
            StoreUnavailable: The outcome is not known, or nothing was done.
        """
        old = self.stored(kind, name)
        try:
            if old is None or old.content is None:
                stored = await self._store.create(kind, name, content)
            else:
                stored = await self._store.replace(kind, name, content, old.revision)
        except StoreConflict:
            await self.read(kind, name)
            raise
        except StoreError as error:
            self._note_reachable(False, str(error))
            known = old.revision if old is not None and old.content else 0
            call = StoreCall(0, kind, name, content, known)
            stored, done = await self._ask_peers(call, error)
            if stored is not None:
                self.take(stored)
            if not done or stored is None:
                raise StoreConflict(f"{kind}/{name}: changed meanwhile") from error
        self.take(stored)
        return stored

    async def relay(self, call: StoreCall) -> StoreAnswer | None:
        """Calls the store for a peer; without an answer there is none."""
        if call.kind not in (MEMBERS, RANGES):
            return None
        done = True
        try:
            if call.content is None:
                stored = await self._store.get(call.kind, call.name)
            else:
                try:
                    stored = await self._write_at(call)
                except StoreConflict:
                    done = False
                    stored = await self._store.get(call.kind, call.name)
        except StoreError as error:
            _log.info("relay_failed", name=call.name, detail=error.detail)
            return None
        state = None
        if stored is not None:
            self.take(stored)
            state = ObjectState(stored.name, stored.revision, stored.content)
        return StoreAnswer(call.number, call.kind, state, done)

    async def _write_at(self, call: StoreCall) -> Stored:
        """Writes an object that is still at a revision, for a peer."""
        if not call.revision:
            return await self._store.create(call.kind, call.name, call.content)
        return await self._store.replace(
            call.kind, call.name, call.content, call.revision
        )

    async def _ask_peers(
        self, call: StoreCall, error: StoreError
    ) -> tuple[Stored | None, bool]:
        """Has a peer call the store.

        Returns:
            The object after the call, and whether a write was done.

        Raises:
            StoreError: The given one, if no peer has an answer.
        """
        up = sorted(self._links.up)
        for node in random.sample(up, min(RELAY_PEERS, len(up))):
            answer = await self._links.call_store(node, call)
            if answer is None:
                continue
            _log.info("store_called_by_peer", peer=node, name=call.name)
            state = answer.state
            if state is None:
                return None, answer.done
            stored = Stored(call.kind, state.name, state.revision, state.content)
            return stored, answer.done
        raise error

    async def remove(self, kind: str, name: str) -> None:
        """Removes an object at the revision that is known."""
        old = self.stored(kind, name)
        if old is not None and old.content is not None:
            await self._store.remove(kind, name, old.revision)

    async def _follow(self, kind: str) -> None:
        """Lists a kind, then watches it, until cancelled."""
        pause = RETRY_FIRST_S
        while True:
            try:
                if not self._kinds[kind].listed:
                    self._take_listing(kind, await self._store.list(kind))
                await self._watch(kind)
                pause = RETRY_FIRST_S
            except HistoryGone:
                _log.info("store_history_gone", kind=kind)
                self._kinds[kind].listed = False
                continue
            except StoreError as error:
                self._note_reachable(False, str(error))
                await asyncio.sleep(pause * random.uniform(0.7, 1.3))
                pause = min(RETRY_MOST_S, 2 * pause)
                continue
            self._note_reachable(True)

    async def _watch(self, kind: str) -> None:
        """Waits for changes of a kind and takes them in."""
        known = self._kinds[kind]
        listing = await self._store.watch(kind, known.revision, WATCH_S)
        for stored in listing.objects:
            self.take(stored)
        known.revision = max(known.revision, listing.revision)
        if listing.objects:
            # Changes that come together are taken in one call.
            await asyncio.sleep(GATHER_S[kind])

    def _take_listing(self, name: str, listing: Listing) -> None:
        """Takes a whole listing in; what it lacks was deleted."""
        kind = self._kinds[name]
        present = {stored.name for stored in listing.objects}
        for old in list(kind.objects.values()):
            if old.name not in present and old.revision <= listing.revision:
                gone = Stored(name, old.name, listing.revision, None)
                kind.objects[old.name] = gone
        for stored in listing.objects:
            old = kind.objects.get(stored.name)
            if stored.name and (old is None or old.revision < stored.revision):
                kind.objects[stored.name] = stored
                kind.changed = max(kind.changed, stored.revision)
        kind.revision = max(kind.revision, listing.revision)
        kind.listed = True
        self._interpret(name)

    def _interpret(self, kind: str) -> None:
        """Decodes the objects of a kind and tells the listeners."""
        interpreters = {
            CONFIGURATION_KIND: self._interpret_configuration,
            ZONES_OUT_KIND: self._interpret_zones,
            MEMBERS: self._interpret_members,
            RANGES: self._interpret_tables,
        }
        interpreters[kind]()
        for listener in self._listeners:
            listener(kind)

    def _interpret_configuration(self) -> None:
        """Puts the configuration in force unless it is older."""
        stored = self.stored(CONFIGURATION_KIND, CONFIGURATION_NAME)
        found = contents.configuration_of(stored)
        old = self._configuration
        if found is None or (old is not None and found.version <= old.version):
            return
        self._configuration = found
        _log.info(
            "configuration_in_force",
            version=found.version,
            before=old.version if old else None,
            revision=stored.revision,
        )

    def _interpret_zones(self) -> None:
        """Notes which zones are out."""
        out = contents.names_of(self._kinds[ZONES_OUT_KIND].objects.values())
        if out != self._zones_out:
            _log.info("zones_out", zones=sorted(out), before=sorted(self._zones_out))
            self._zones_out = out

    def _interpret_members(self) -> None:
        """Takes over the members that can be read."""
        members = contents.members_of(self._kinds[MEMBERS].objects.values())
        if members != self._members:
            self._members = members
            self._members_changed_at = now()

    def _interpret_tables(self) -> None:
        """Takes over the tables that can be read."""
        self._tables |= contents.tables_of(self._kinds[RANGES].objects.values())

    def _note_reachable(self, reachable: bool, detail: str = "") -> None:
        """Logs when the store is lost or answers again."""
        if reachable == self._reachable:
            return
        self._reachable = reachable
        if reachable:
            _log.info("store_reachable")
        else:
            _log.warning("store_unreachable", detail=detail)
