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
from .table_changes import PendingChanges

__all__ = ["KINDS", "MEMBERS", "RANGES", "Records"]

MEMBERS = "rosemarydeal-members"
RANGES = "rosemarydeal-ranges"
KINDS = (CONFIGURATION_KIND, ZONES_OUT_KIND, MEMBERS, RANGES)

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

    objects: dict[str, StoredObject] = field(default_factory=dict)
    revision: int = 0
    changed: int = 0
    listed: bool = False


class Records:
    """Holds the objects and answers what they say."""

    def __init__(self) -> None:
        """Makes an empty view."""
        self._kinds = {kind: _Kind() for kind in KINDS}
        self._listeners: list[Callable[[str], None]] = []
        self._configuration: Configuration | None = None
        self._members: dict[str, Member] = {}
        self._members_changed_at = now()
        self._tables: dict[str, RangeTable] = {}
        self._zones_out: frozenset[str] = frozenset()
        self._changes = PendingChanges()

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

    def revision(self, kind: str) -> int:
        """Returns the store's revision up to which nothing of a kind is missing."""
        return self._kinds[kind].revision

    def listed(self, kind: str) -> bool:
        """Tells whether a kind was read as a whole."""
        return self._kinds[kind].listed

    def changed(self, kind: str) -> int:
        """Returns the revision of the last change of a kind that is known."""
        return self._kinds[kind].changed

    def stored(self, kind: str, name: str) -> StoredObject | None:
        """Returns an object; a deleted one has no content."""
        return self._kinds[kind].objects.get(name)

    def subscribe(self, listener: Callable[[str], None]) -> None:
        """Has a function called with the kind whenever something changed."""
        self._listeners.append(listener)

    def take(self, stored: StoredObject) -> bool:
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

    def take_notice(self, notice: ObjectUpdate) -> None:
        """Takes in an object that a peer sent."""
        if notice.kind in self._kinds:
            state = notice.state
            self.take(
                StoredObject(notice.kind, state.name, state.revision, state.content)
            )

    def take_objects(self, objects: ObjectListing) -> None:
        """Takes in all objects of a kind that a peer sent."""
        kind = self._kinds.get(objects.kind)
        if kind is None or objects.revision <= kind.revision:
            return
        listing = Listing(
            tuple(
                StoredObject(objects.kind, state.name, state.revision, state.content)
                for state in objects.objects
            ),
            objects.revision,
        )
        _log.info("objects_from_peer", kind=objects.kind, revision=objects.revision)
        self.take_listing(objects.kind, listing)
        kind.changed = max(kind.changed, objects.changed)

    def export(self, kind: str) -> ObjectListing:
        """Returns all objects of a kind, for a peer."""
        found = self._kinds.get(kind) or _Kind()
        states = tuple(
            ObjectState(stored.name, stored.revision, stored.content)
            for stored in found.objects.values()
            if stored.content is not None
        )
        return ObjectListing(kind, found.revision, found.changed, states)

    def take_changes(self, kind: str, listing: Listing) -> None:
        """Takes in what a watch of a kind has shown."""
        for stored in listing.objects:
            self.take(stored)
        known = self._kinds[kind]
        known.revision = max(known.revision, listing.revision)

    def forget_listing(self, kind: str) -> None:
        """Notes that changes may have been missed, until a kind is listed anew."""
        self._kinds[kind].listed = False

    def take_table_change(self, change: TableDelta) -> None:
        """Takes in how a peer changed a table, once the table before is known."""
        self._changes.add(change)
        self._apply_changes(change.service)

    def take_listing(self, name: str, listing: Listing) -> None:
        """Takes a whole listing in; what it lacks was deleted."""
        kind = self._kinds[name]
        present = {stored.name for stored in listing.objects}
        for old in list(kind.objects.values()):
            if old.name not in present and old.revision <= listing.revision:
                gone = StoredObject(name, old.name, listing.revision, None)
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
        for service in list(self._tables):
            self._apply_changes(service)

    def _apply_changes(self, service: str) -> None:
        """Applies the change that follows on the table that is known, if any."""
        name = contents.table_name(service)
        known, table = self.stored(RANGES, name), self._tables.get(service)
        if known is None or table is None:
            return
        change = self._changes.claim(service, known.revision)
        if change is None:
            return
        content = contents.encode_table(change.apply(table))
        self.take(StoredObject(RANGES, name, change.revision, content))
