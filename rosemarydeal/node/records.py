"""Owns what this process knows of the store's objects.

Four kinds are known: the operators' configuration, the zones that they took
out, the members, and the tables of key ranges. Objects come from the store and
from peers; the newest revision of each wins, so that a process that the store
turns away still learns them.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

import structlog

from rosemarydeal.core.clock import now
from rosemarydeal.core.fleet import Configuration, Member, RangeTable, StoredObject
from rosemarydeal.platform.names import (
    CONFIGURATION_KIND,
    CONFIGURATION_NAME,
    ZONES_OUT_KIND,
)
from rosemarydeal.platform.store import Listing

from . import contents
from .messages import ObjectListing, ObjectState, ObjectUpdate, TableDelta
from .table_deltas import PendingDeltas

__all__ = ["KINDS", "MEMBERS", "RANGES", "Records"]

MEMBERS = "rosemarydeal-members"
RANGES = "rosemarydeal-ranges"
KINDS = (CONFIGURATION_KIND, ZONES_OUT_KIND, MEMBERS, RANGES)

_log = structlog.get_logger()


@dataclass(slots=True)
class _KindState:
    """Is what is known of one kind.

    Attributes:
        objects: Objects by name; deleted ones stay, without content.
        revision: Revision of the store up to which nothing is missing.
        changed: Revision of the last change that is known.
        listed: Whether the kind was read as a whole.
    """

    objects: dict[str, StoredObject] = field(default_factory=dict)
    revision: int = 0
    last_change: int = 0
    listed: bool = False


class Records:
    """Holds the objects and answers what they say."""

    def __init__(self) -> None:
        """Makes an empty view."""
        self._kinds = {kind: _KindState() for kind in KINDS}
        self._listeners: list[Callable[[str], None]] = []
        self._configuration: Configuration | None = None
        self._members: dict[str, Member] = {}
        self._members_changed_at = now()
        self._tables: dict[str, RangeTable] = {}
        self._zones_out: frozenset[str] = frozenset()
        self._pending_deltas = PendingDeltas()

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
    def known_revisions(self) -> tuple[int, ...]:
        """Returns the revision of the last change that is known of each kind."""
        return tuple(self._kinds[name].last_change for name in KINDS)

    def table(self, service: str) -> RangeTable | None:
        """Returns the table of a service."""
        return self._tables.get(service)

    def revision(self, kind: str) -> int:
        """Returns the store's revision up to which nothing of a kind is missing."""
        return self._kinds[kind].revision

    def listed(self, kind: str) -> bool:
        """Tells whether a kind was read as a whole."""
        return self._kinds[kind].listed

    def last_change(self, kind: str) -> int:
        """Returns the revision of the last change of a kind that is known."""
        return self._kinds[kind].last_change

    def stored(self, kind: str, name: str) -> StoredObject | None:
        """Returns an object; a deleted one has no content."""
        return self._kinds[kind].objects.get(name)

    def subscribe(self, listener: Callable[[str], None]) -> None:
        """Has a function called with the kind whenever something changed."""
        self._listeners.append(listener)

    def apply(self, stored: StoredObject) -> bool:
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
        kind.last_change = max(kind.last_change, stored.revision)
        self._refresh(stored.kind)
        return True

    def apply_update(self, update: ObjectUpdate) -> None:
        """Takes in an object that a peer sent."""
        if update.kind in self._kinds:
            state = update.state
            self.apply(
                StoredObject(update.kind, state.name, state.revision, state.content)
            )

    def apply_peer_listing(self, peer_listing: ObjectListing) -> None:
        """Takes in all objects of a kind that a peer sent."""
        kind = self._kinds.get(peer_listing.kind)
        if kind is None or peer_listing.revision <= kind.revision:
            return
        listing = Listing(
            tuple(
                StoredObject(
                    peer_listing.kind, state.name, state.revision, state.content
                )
                for state in peer_listing.objects
            ),
            peer_listing.revision,
        )
        _log.info(
            "objects_from_peer", kind=peer_listing.kind, revision=peer_listing.revision
        )
        self.apply_listing(peer_listing.kind, listing)
        kind.last_change = max(kind.last_change, peer_listing.last_change)

    def listing(self, kind: str) -> ObjectListing:
        """Returns all objects of a kind, for a peer."""
        kind_state = self._kinds.get(kind) or _KindState()
        objects = tuple(
            ObjectState(stored.name, stored.revision, stored.content)
            for stored in kind_state.objects.values()
            if stored.content is not None
        )
        return ObjectListing(kind, kind_state.revision, kind_state.last_change, objects)

    def apply_changes(self, kind: str, listing: Listing) -> None:
        """Takes in what a watch of a kind has shown."""
        for stored in listing.objects:
            self.apply(stored)
        kind_state = self._kinds[kind]
        kind_state.revision = max(kind_state.revision, listing.revision)

    def invalidate_listing(self, kind: str) -> None:
        """Notes that changes may have been missed, until a kind is listed anew."""
        self._kinds[kind].listed = False

    def apply_table_delta(self, delta: TableDelta) -> None:
        """Takes in how a peer changed a table, once the table before is known."""
        self._pending_deltas.add(delta)
        self._apply_pending_deltas(delta.service)

    def apply_listing(self, name: str, listing: Listing) -> None:
        """Takes a whole listing in; what it lacks was deleted."""
        kind = self._kinds[name]
        present = {stored.name for stored in listing.objects}
        for old in list(kind.objects.values()):
            if old.name not in present and old.revision <= listing.revision:
                deleted = StoredObject(name, old.name, listing.revision, None)
                kind.objects[old.name] = deleted
        for stored in listing.objects:
            old = kind.objects.get(stored.name)
            if stored.name and (old is None or old.revision < stored.revision):
                kind.objects[stored.name] = stored
                kind.last_change = max(kind.last_change, stored.revision)
        kind.revision = max(kind.revision, listing.revision)
        kind.listed = True
        self._refresh(name)

    def _refresh(self, kind: str) -> None:
        """Decodes the objects of a kind and tells the listeners."""
        refreshers = {
            CONFIGURATION_KIND: self._refresh_configuration,
            ZONES_OUT_KIND: self._refresh_zones_out,
            MEMBERS: self._refresh_members,
            RANGES: self._refresh_tables,
        }
        refreshers[kind]()
        for listener in self._listeners:
            listener(kind)

    def _refresh_configuration(self) -> None:
        """Puts the configuration in force unless it is older."""
        stored = self.stored(CONFIGURATION_KIND, CONFIGURATION_NAME)
        configuration = contents.configuration_of(stored)
        old = self._configuration
        if configuration is None or (
            old is not None and configuration.version <= old.version
        ):
            return
        self._configuration = configuration
        _log.info(
            "configuration_in_force",
            version=configuration.version,
            before=old.version if old else None,
            revision=stored.revision,
        )

    def _refresh_zones_out(self) -> None:
        """Notes which zones are out."""
        out = contents.names_of(self._kinds[ZONES_OUT_KIND].objects.values())
        if out != self._zones_out:
            _log.info("zones_out", zones=sorted(out), before=sorted(self._zones_out))
            self._zones_out = out

    def _refresh_members(self) -> None:
        """Takes over the members that can be read."""
        members = contents.members_of(self._kinds[MEMBERS].objects.values())
        if members != self._members:
            self._members = members
            self._members_changed_at = now()

    def _refresh_tables(self) -> None:
        """Takes over the tables that can be read."""
        self._tables |= contents.tables_of(self._kinds[RANGES].objects.values())
        for service in list(self._tables):
            self._apply_pending_deltas(service)

    def _apply_pending_deltas(self, service: str) -> None:
        """Applies the change that follows on the table that is known, if any."""
        name = contents.table_name(service)
        stored, table = self.stored(RANGES, name), self._tables.get(service)
        if stored is None or table is None:
            return
        delta = self._pending_deltas.pop(service, stored.revision)
        if delta is None:
            return
        content = contents.encode_table(delta.apply(table))
        self.apply(StoredObject(RANGES, name, delta.revision, content))
