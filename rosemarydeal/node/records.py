"""Holds the current state of the store's objects in this process.

There are four kinds: the operators' configuration, the zones that they took out
of service, the members, and the tables of key ranges. Objects come from the
store and from peers, and the newest revision of each wins, so that a process
whose calls the store rejects still receives them.

A store that was restored from a copy has lost its latest changes, and its era is
higher. Its objects are listed anew, but what this process knows may be newer than
the copy: the version of the configuration never falls, members and zones that are
out are carried over until their writers have had the time to write them again, and
a table is carried over until one has been written in the new era, under another name.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

import structlog

from rosemarydeal.core.clock import now
from rosemarydeal.core.fleet import (
    NO_REVISION,
    Configuration,
    Member,
    ObjectOrigin,
    RangeTable,
    Revision,
    StoredObject,
)
from rosemarydeal.platform.names import (
    CONFIGURATION_KIND,
    CONFIGURATION_NAME,
    ZONES_OUT_KIND,
)
from rosemarydeal.platform.operator import ConfigurationDecoder
from rosemarydeal.platform.rejected_objects import RejectedObjects
from rosemarydeal.platform.store import Listing
from rosemarydeal.policy.keyranges.table_changes import TableBase

from . import contents
from .known_tables import KnownTables
from .messages import ObjectListing, ObjectState, ObjectUpdate, TableDelta
from .table_deltas import PendingDeltas

__all__ = ["KINDS", "MEMBERS", "RANGES", "Records"]

MEMBERS = "rosemarydeal-members"
RANGES = "rosemarydeal-ranges"
KINDS = (CONFIGURATION_KIND, ZONES_OUT_KIND, MEMBERS, RANGES)
# Whoever wrote an object tells of it: the store held the base until then.
WRITER_ORIGINS = (
    ObjectOrigin.WRITE,
    ObjectOrigin.PEER_DELTA,
    ObjectOrigin.PEER_OBJECT,
)
# Each of their objects has a writer, which writes it again if it still exists.
CARRIED_KINDS = (ZONES_OUT_KIND, MEMBERS)

_log = structlog.get_logger()


@dataclass(slots=True)
class _KindState:
    """Objects of one kind.

    Attributes:
        objects: Objects by name; deleted ones stay, without content.
        revision: Revision of the store up to which nothing is missing.
        last_change: Revision of the last change received.
        listed: Whether a full listing was applied.
        carried: Objects of a former era, by name, that the present one may lack.
        origins: From where this process has each object, by name.
    """

    objects: dict[str, StoredObject] = field(default_factory=dict)
    revision: Revision = NO_REVISION
    last_change: Revision = NO_REVISION
    listed: bool = False
    carried: dict[str, StoredObject] = field(default_factory=dict)
    origins: dict[str, ObjectOrigin] = field(default_factory=dict)

    @property
    def known(self) -> dict[str, StoredObject]:
        """Returns the objects by name, with those that are carried over."""
        return {**self.objects, **self.carried}


class Records:
    """Holds the objects and their decoded contents."""

    def __init__(
        self, rejected: RejectedObjects | None = None, own_node: str = ""
    ) -> None:
        """Creates empty records.

        Args:
            rejected: Counts the objects whose contents are malformed.
            own_node: Node of this process.
        """
        self._own_node = own_node
        self._rejected = rejected or RejectedObjects()
        self._kinds = {kind: _KindState() for kind in KINDS}
        self._listeners: list[Callable[[str], None]] = []
        self._configuration: Configuration | None = None
        self._decoder = ConfigurationDecoder()
        self._members: dict[str, Member] = {}
        self._members_changed_at = now()
        # Those that are no members any more, as they last were.
        self._former_members: dict[str, Member] = {}
        self._tables = KnownTables()
        # Tables of former eras that were applied, by name and revision.
        self._copies: set[tuple[str, Revision]] = set()
        self._zones_out: frozenset[str] = frozenset()
        self._pending_deltas = PendingDeltas()
        # What the table that is being applied has replaced, if its writer told of it.
        self._written_over: StoredObject | None = None

    @property
    def configuration(self) -> Configuration | None:
        """Returns the newest configuration received."""
        return self._configuration

    @property
    def zones_out(self) -> frozenset[str]:
        """Returns the availability zones that operators took out of service."""
        return self._zones_out

    @property
    def members(self) -> dict[str, Member]:
        """Returns the members by node."""
        return self._members

    @property
    def members_changed_at(self) -> float:
        """Returns when the members last changed."""
        return self._members_changed_at

    @property
    def complete(self) -> bool:
        """Returns whether all kinds have been listed."""
        return all(kind.listed for kind in self._kinds.values())

    @property
    def carries_objects(self) -> bool:
        """Returns whether objects of a former era are carried over."""
        return any(kind.carried for kind in self._kinds.values())

    @property
    def known_revisions(self) -> tuple[Revision, ...]:
        """Returns the revision of the last change received of each kind."""
        return tuple(self._kinds[name].last_change for name in KINDS)

    def table(self, service: str) -> RangeTable | None:
        """Returns the table of a service."""
        return self._tables.get(service)

    def table_name(self, service: str) -> str:
        """Returns the name of a service's table in the present era of the store."""
        return contents.table_name(service, self.era(RANGES))

    def is_table_replaced(self, service: str, first_start: bool) -> bool:
        """Returns whether a table unknown to this process may have been replaced.

        The store holds something else in its place, other than a reservation for the
        first one, or another writer may have removed it before this process started.

        Args:
            service: Name of the service.
            first_start: Whether no process has run before those that started with this
                one.
        """
        if self.table(service) is not None:
            return False
        stored = self.stored(RANGES, self.table_name(service))
        if not first_start or stored is None:
            return not first_start
        if stored.content is None:
            return True
        reservation = contents.decode_reservation(stored)
        return reservation is None or reservation.replaced

    def table_position(self, service: str) -> Revision:
        """Returns a revision of the store that is after those of all tables so far.

        What the store holds at the name of the table, it holds since a later revision.
        """
        stored = self.stored(RANGES, self.table_name(service))
        replaced = stored.revision if stored is not None else NO_REVISION
        return max(self.revision(RANGES), replaced)

    def table_base(self, service: str) -> TableBase:
        """Returns the table of a service with the revision that the store holds."""
        revision = self.stored_revision(RANGES, self.table_name(service))
        current = not self.is_table_outdated(service)
        proved = self._tables.is_proved(service)
        return TableBase(
            self.table(service), revision, self.era(RANGES), current, proved
        )

    def is_table_proved(self, service: str) -> bool:
        """Returns whether no change is missing before the known table."""
        return self._tables.is_proved(service)

    def table_history_since(self, service: str) -> Revision | None:
        """Returns after which revision changes of a table are to be read, if any."""
        return self._tables.history_since(service)

    def apply_table_history(self, service: str, listing: Listing) -> None:
        """Applies the changes since the revision after which they were to be read.

        Changes nothing if the known table is later than they are.
        """
        name = self.table_name(service)
        if self.stored_revision(RANGES, name) > listing.revision:
            return
        changes = sorted(listing.objects, key=lambda stored: stored.revision)
        written = [
            (stored.revision, table)
            for stored in changes
            if stored.name == name
            and (table := contents.decode_table(stored)) is not None
            and table.era == stored.revision.era
        ]
        if self._tables.history_since(service) is not None:
            self._tables.apply_history(service, written)
            self._refresh(RANGES)

    def known_table(self, name: str) -> StoredObject | None:
        """Returns a table that this process knows as the store held it last.

        The store may hold something else in its place since.
        """
        for service in self._tables.services:
            if self.table_name(service) != name:
                continue
            if (applied := self._tables.applied(service)) is not None:
                revision, table = applied
                content = contents.encode_table(table)
                return StoredObject(RANGES, name, revision, content)
        return None

    def is_table_outdated(self, service: str) -> bool:
        """Returns whether the store does not hold a table in its present era.

        The known one may lack changes that the store has lost and that are in force:
        it was written in a former era, or something else has taken its place.
        """
        return self._tables.is_outdated(service)

    def stored_top_token(self, service: str) -> int:
        """Returns the highest token of the stored tables, which may be copies."""
        stored_tables = map(contents.decode_table, self._kinds[RANGES].objects.values())
        return max(
            (t.top_token for t in stored_tables if t and t.service == service),
            default=0,
        )

    def era(self, kind: str) -> int:
        """Returns the era of the store in which a kind was last received."""
        return self._kinds[kind].revision.era

    def revision(self, kind: str) -> Revision:
        """Returns the store's revision up to which nothing of a kind is missing."""
        return self._kinds[kind].revision

    def listed(self, kind: str) -> bool:
        """Returns whether a full listing of a kind was applied."""
        return self._kinds[kind].listed

    def last_change(self, kind: str) -> Revision:
        """Returns the revision of the last change received of a kind."""
        return self._kinds[kind].last_change

    def lacks(self, kind: str, revision: Revision) -> bool:
        """Returns whether this process may lack the change of a kind at a revision.

        A listing contains the changes before it, but does not tell when objects that
        it lacks were deleted.
        """
        kind_state = self._kinds[kind]
        contained = kind_state.listed and revision <= kind_state.revision
        return revision > kind_state.last_change and not contained

    def stored(self, kind: str, name: str) -> StoredObject | None:
        """Returns an object of the present era; a deleted one has no content."""
        return self._kinds[kind].objects.get(name)

    def origin(self, kind: str, name: str) -> ObjectOrigin | None:
        """Returns from where this process has an object, None if it has none."""
        return self._kinds[kind].origins.get(name)

    def stored_revision(self, kind: str, name: str) -> Revision:
        """Returns the revision of an object, NO_REVISION if it does not exist."""
        stored = self.stored(kind, name)
        exists = stored is not None and stored.content is not None
        return stored.revision if exists else NO_REVISION

    def stored_member(self, node: str) -> Member | None:
        """Returns a member as the store has it in its present era."""
        stored = self.stored(MEMBERS, node)
        return contents.decode_member(stored) if stored is not None else None

    def is_member_removed(self, node: str, revision: Revision) -> bool:
        """Returns whether a member that existed at a revision has ended.

        It was removed, or there is a newer one at its address.

        A member that this process has not heard of may have been created after the
        last change of the members that it received.

        Args:
            node: Node that is not among the members.
            revision: Revision of the store at which the member existed.
        """
        stored = self._kinds[MEMBERS].known.get(node)
        if stored is not None:
            superseded = contents.decode_member(stored) is not None
            return stored.content is None or superseded
        return self.listed(MEMBERS) and self.revision(MEMBERS) >= revision

    def has_retired(self, node: str) -> bool:
        """Returns whether a removed member had stated its end before.

        Any other one may be alive, and use keys: a removal that was sent while it was
        unreachable may be carried out after its return, also while it drains.
        """
        member = self._former_members.get(node)
        return member is not None and member.ended

    def successor(self, node: str) -> str | None:
        """Returns the newest later member at a member's address, if there is one.

        Its content alone does not prove that it is the one at the address.
        """
        known = self._kinds[MEMBERS].known
        stored = known.get(node)
        if stored is None:
            return None
        return contents.successor_of(stored, known.values())

    def subscribe(self, listener: Callable[[str], None]) -> None:
        """Registers a function that is called with the kind after each change."""
        self._listeners.append(listener)

    def apply(
        self,
        stored: StoredObject,
        changed: bool = False,
        origin: ObjectOrigin = ObjectOrigin.STORE,
    ) -> bool:
        """Stores an object if it is newer; returns whether it was stored.

        Args:
            stored: The object.
            changed: Whether it is known to have been written in its era; an object
                that was read may be part of the copy.
            origin: From where this process has it.
        """
        kind_state = self._kinds[stored.kind]
        if stored.unreadable or not stored.name:
            return False
        if stored.revision.era < kind_state.revision.era:
            return False
        self._enter_era(stored.kind, stored.revision.era)
        if changed:
            kind_state.carried.pop(stored.name, None)
        old = kind_state.objects.get(stored.name)
        if old is not None and old.revision >= stored.revision:
            if not (stored.content is None and old.content is not None):
                return False
            if old.revision > stored.revision:
                return False
        kind_state.objects[stored.name] = stored
        kind_state.origins[stored.name] = origin
        kind_state.last_change = max(kind_state.last_change, stored.revision)
        if stored.kind == RANGES and origin in WRITER_ORIGINS:
            self._written_over = old
        self._refresh(stored.kind)
        self._written_over = None
        return True

    def apply_update(self, update: ObjectUpdate) -> None:
        """Applies an object that a peer sent."""
        if update.kind in self._kinds:
            state = update.state
            self.apply(
                StoredObject(update.kind, state.name, state.revision, state.content),
                changed=True,
                origin=ObjectOrigin.PEER_OBJECT,
            )

    def apply_peer_listing(self, peer_listing: ObjectListing) -> None:
        """Applies a listing that a peer sent, if it is newer."""
        kind_state = self._kinds.get(peer_listing.kind)
        if kind_state is None or peer_listing.revision <= kind_state.revision:
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
        self.apply_listing(peer_listing.kind, listing, ObjectOrigin.PEER_LISTING)
        kind_state.last_change = max(kind_state.last_change, peer_listing.last_change)

    def listing(self, kind: str) -> ObjectListing:
        """Returns all objects of a kind, to be sent to a peer.

        The listing has no revision if this process has none of its own.
        """
        kind_state = self._kinds.get(kind) or _KindState()
        if not kind_state.listed:
            return ObjectListing(kind, NO_REVISION, NO_REVISION, ())
        objects = tuple(
            ObjectState(stored.name, stored.revision, stored.content)
            for stored in kind_state.objects.values()
            if stored.content is not None
        )
        return ObjectListing(kind, kind_state.revision, kind_state.last_change, objects)

    def apply_changes(
        self, kind: str, listing: Listing, origin: ObjectOrigin = ObjectOrigin.WATCH
    ) -> None:
        """Applies the changes that a watch of a kind returned."""
        for stored in listing.objects:
            self.apply(stored, changed=True, origin=origin)
        kind_state = self._kinds[kind]
        kind_state.revision = max(kind_state.revision, listing.revision)

    def invalidate_listing(self, kind: str) -> None:
        """Marks a kind to be listed again, as changes may have been missed."""
        self._kinds[kind].listed = False

    def apply_table_delta(self, delta: TableDelta) -> None:
        """Applies a peer's change of a table once its base revision is present."""
        self._pending_deltas.add(delta)
        self._apply_pending_delta(delta.service)

    def apply_listing(
        self, kind: str, listing: Listing, origin: ObjectOrigin = ObjectOrigin.STORE
    ) -> None:
        """Applies a full listing; objects that it lacks were deleted.

        An unreadable object leaves what is known of it unchanged. If the name is
        unreadable too, it may be any of those that the listing lacks.
        """
        kind_state = self._kinds[kind]
        if listing.revision.era < kind_state.revision.era:
            return
        self._enter_era(kind, listing.revision.era)
        present = {stored.name for stored in listing.objects}
        for old in list(kind_state.objects.values()):
            missing = old.name not in present and "" not in present
            if missing and old.revision <= listing.revision:
                deleted = StoredObject(kind, old.name, listing.revision, None)
                kind_state.objects[old.name] = deleted
        for stored in listing.objects:
            old = kind_state.objects.get(stored.name)
            if not stored.unreadable and (
                old is None or old.revision < stored.revision
            ):
                kind_state.objects[stored.name] = stored
                kind_state.origins[stored.name] = origin
                kind_state.last_change = max(kind_state.last_change, stored.revision)
        kind_state.revision = max(kind_state.revision, listing.revision)
        kind_state.listed = True
        self._refresh(kind, listed=True)

    def drop_carried(self) -> None:
        """Drops the objects of former eras that nobody has written again."""
        for kind, kind_state in self._kinds.items():
            if kind_state.carried:
                _log.info(
                    "carried_objects_dropped", kind=kind, **_era_fields(kind_state)
                )
                kind_state.carried.clear()
                self._refresh(kind)

    def _enter_era(self, kind: str, era: int) -> None:
        """Prepares a kind for the objects of a higher era of the store."""
        kind_state = self._kinds[kind]
        if era <= kind_state.revision.era:
            return
        if kind in CARRIED_KINDS:
            kind_state.carried = kind_state.known
        kind_state.objects = {}
        kind_state.origins = {}
        kind_state.revision = kind_state.last_change = Revision(era, 0)
        kind_state.listed = False
        if kind == RANGES:
            self._tables.note_new_era()
            self._copies.clear()
        _log.info("store_era_entered", kind=kind, **_era_fields(kind_state))

    def _refresh(self, kind: str, listed: bool = False) -> None:
        """Decodes the objects of a kind; notifies the listeners of a change.

        Args:
            kind: The kind.
            listed: Whether a listing was applied, of which they are always notified.
        """
        refreshers = {
            CONFIGURATION_KIND: self._refresh_configuration,
            ZONES_OUT_KIND: self._refresh_zones_out,
            MEMBERS: self._refresh_members,
            RANGES: self._refresh_tables,
        }
        changed = refreshers[kind]()
        if not changed and not listed:
            return
        for listener in self._listeners:
            listener(kind)

    def _refresh_configuration(self) -> bool:
        """Puts the configuration in force if its version is higher."""
        stored = self.stored(CONFIGURATION_KIND, CONFIGURATION_NAME)
        configuration = contents.configuration_of(stored, self._rejected, self._decoder)
        old = self._configuration
        if configuration is None or (
            old is not None and configuration.version <= old.version
        ):
            return False
        self._configuration = configuration
        _log.info(
            "configuration_in_force",
            version=configuration.version,
            before=old.version if old else None,
            revision=stored.revision,
            origin=self.origin(CONFIGURATION_KIND, CONFIGURATION_NAME).value,
        )
        return True

    def _refresh_zones_out(self) -> bool:
        """Updates the zones that are out of service."""
        out = contents.names_of(self._kinds[ZONES_OUT_KIND].known.values())
        if out == self._zones_out:
            return False
        _log.info("zones_out", zones=sorted(out), before=sorted(self._zones_out))
        self._zones_out = out
        return True

    def _refresh_members(self) -> bool:
        """Updates the members; malformed ones are left out."""
        members = contents.members_of(
            self._kinds[MEMBERS].known.values(), self._rejected, self._own_node
        )
        if members == self._members:
            return False
        former = {**self._former_members, **self._members}
        self._former_members = {n: former[n] for n in former if n not in members}
        self._members = members
        self._members_changed_at = now()
        return True

    def _refresh_tables(self) -> bool:
        """Updates the tables that are well-formed, and applies pending deltas."""
        services = {self.table_name(name): name for name in self._tables.services}
        copies: list[tuple[int, Revision, RangeTable]] = []
        for stored in self._kinds[RANGES].objects.values():
            if (stored.name, stored.revision) in self._copies:
                continue
            table = contents.decode_table(stored, self._rejected)
            if table is not None and (table.era, stored.name) == (
                stored.revision.era,
                self.table_name(table.service),
            ):
                self._tables.apply(table, stored.revision)
                self._note_written_over(table)
                continue
            if stored.name in services:
                self._tables.note_replaced(services[stored.name], stored)
            if table is not None:
                copies.append((table.era, stored.revision, table))
                self._copies.add((stored.name, stored.revision))
        for _, _, table in sorted(copies, key=lambda copy: copy[:2], reverse=True):
            self._tables.apply_copy(table)
        for service in self._tables.services:
            self._apply_pending_delta(service)
        return True

    def _note_written_over(self, table: RangeTable) -> None:
        """Notes what an applied table has replaced, if that is its base."""
        base = self._written_over
        if base is None or base.name != self.table_name(table.service):
            return
        if base.revision != Revision(base.revision.era, table.base):
            return
        is_reserved = contents.decode_reservation(base) is not None
        self._tables.note_written_over(
            table.service, None if is_reserved else base.revision
        )

    def _apply_pending_delta(self, service: str) -> None:
        """Applies the delta for the table's current revision, if there is one."""
        if self._tables.is_outdated(service):
            return
        name = self.table_name(service)
        stored, table = self.stored(RANGES, name), self._tables.get(service)
        if stored is None or table is None:
            return
        delta = self._pending_deltas.pop(service, stored.revision)
        if delta is None:
            return
        content = contents.encode_table(delta.apply(table))
        stored = StoredObject(RANGES, name, delta.revision, content)
        self.apply(stored, origin=ObjectOrigin.PEER_DELTA)


def _era_fields(kind_state: _KindState) -> dict[str, object]:
    """Returns the fields of a log line on a change of the era."""
    return {"era": kind_state.revision.era, "carried": sorted(kind_state.carried)}
