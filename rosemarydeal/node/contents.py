"""Encodes and decodes the contents of the store's objects.

A malformed object is reported and ignored, also one with a number, address or name
out of bounds, since other tasks rely on them. So is a table whose highest token leaves
none for later changes; all processes judge it alike, by its revision. A member or table
that is stored under another name than its own is ignored too.
"""

from __future__ import annotations

from collections.abc import Iterable
from functools import lru_cache
from typing import Literal, TypeVar

import msgspec

from rosemarydeal.core import Address
from rosemarydeal.core.decoding import (
    Count,
    Identifier,
    Integer64,
    Malformed,
    Name,
    Pace,
    Port,
    Slots,
    check_ip_address,
    decode_json,
)
from rosemarydeal.core.fleet import (
    FIRST_ERA,
    LAST_KEY,
    Configuration,
    KeyRange,
    Member,
    RangeTable,
    StoredObject,
    Suspicion,
)
from rosemarydeal.platform.errors import Unreadable
from rosemarydeal.platform.operator import ConfigurationDecoder
from rosemarydeal.platform.rejected_objects import RejectedObjects
from rosemarydeal.policy.keyranges.table import max_token

__all__ = [
    "configuration_of",
    "Reservation",
    "encode_reservation",
    "encode_table",
    "decode_member",
    "decode_reservation",
    "decode_table",
    "members_of",
    "names_of",
    "successor_of",
    "table_name",
]

# Several revisions of each member of a fleet of hundreds.
MAX_CACHED_MEMBERS = 4096
# The tables of a few services are decoded again at each change of one of them.
MAX_CACHED_TABLES = 16

# Longer contents are no reservations.
MAX_RESERVATION_BYTES = 100

_Value = TypeVar("_Value")


class _StoredAddress(msgspec.Struct):
    """Address of a process."""

    host: str
    port: Port

    def __post_init__(self) -> None:
        """Checks the host.

        Raises:
            ValueError: If it is no IP address.
        """
        check_ip_address(self.host)


class _StoredMember(msgspec.Struct):
    """Content of a member, within bounds; the fields are those of `Member`."""

    node: Name
    process: Identifier
    peer: _StoredAddress
    zone: Identifier
    service: Identifier
    instance: Identifier = ""
    born_ms: Count = 0
    slots: Slots = 0
    accepting: bool = False
    pace: Pace = 1.0
    leaving: bool = False
    renewals: Count = 0
    ended: bool = False

    def to_member(self) -> Member:
        """Returns the member."""
        fields = {name: getattr(self, name) for name in self.__struct_fields__}
        peer = Address(self.peer.host, self.peer.port)
        return Member(**{**fields, "peer": peer})


class Reservation(msgspec.Struct, frozen=True):
    """Content of an object in whose place a table will be written.

    Attributes:
        reserved: Always true.
        replaced: Whether its writer knows of a table that was there before.
    """

    reserved: Literal[True]
    replaced: bool = False


class _StoredRange(msgspec.Struct, array_like=True):
    """A range up to the next one's first key; `owner` is an index into `owners`."""

    first: Count
    owner: Count
    token: Integer64
    handover: str = ""


class _StoredTable(msgspec.Struct):
    """Compact form of a table, because owners read it every few seconds.

    Attributes:
        service: Name of the service.
        owners: Node and incarnation of each owner.
        ranges: The ranges in order of their keys.
        top_token: Highest fencing token issued so far.
        suspicions: Suspected nodes whose lease expiry is awaited.
        writer: Identifier of the write that produced this content.
        era: Era of the store in which it was written.
        restored_token: Token of restored assignments, or 0.
        base: Number of the revision that it was written over, or 0.
    """

    service: str
    owners: tuple[tuple[str, str], ...]
    ranges: tuple[_StoredRange, ...]
    top_token: Integer64
    suspicions: tuple[Suspicion, ...] = ()
    writer: str = ""
    era: Integer64 = 0
    restored_token: Integer64 = 0
    base: Integer64 = 0

    def __post_init__(self) -> None:
        """Checks constraints that the types can't express.

        Raises:
            ValueError: If the ranges don't cover all keys in order, or refer to
                an owner that is not listed, or a token is above the highest one.
        """
        firsts = [stored.first for stored in self.ranges]
        owners = [stored.owner for stored in self.ranges]
        if not firsts or firsts[0] != 0 or firsts != sorted(set(firsts)):
            raise ValueError("ranges do not ascend from key 0")
        if firsts[-1] > LAST_KEY or not 0 <= min(owners) <= max(owners):
            raise ValueError("range beyond the last key, or negative owner index")
        if max(owners) >= len(self.owners):
            raise ValueError("range with an owner index beyond the list of owners")
        tokens = [stored.token for stored in self.ranges]
        tokens += [suspicion.number for suspicion in self.suspicions]
        if max(*tokens, self.restored_token) > self.top_token:
            raise ValueError("token above the highest token issued")

    def to_table(self) -> RangeTable:
        """Returns the table, with the last key of each range added."""
        ends = [stored.first - 1 for stored in self.ranges[1:]] + [LAST_KEY]
        ranges = tuple(
            KeyRange(
                stored.first,
                last,
                *self.owners[stored.owner],
                stored.token,
                stored.handover,
            )
            for stored, last in zip(self.ranges, ends, strict=True)
        )
        return RangeTable(
            self.service,
            ranges,
            self.top_token,
            self.suspicions,
            self.writer,
            self.era,
            self.restored_token,
            self.base,
        )


def encode_table(table: RangeTable) -> bytes:
    """Encodes a table as an object's content."""
    owner_indexes: dict[tuple[str, str], int] = {}
    for keys in table.ranges:
        owner_indexes.setdefault((keys.node, keys.incarnation), len(owner_indexes))
    ranges = tuple(
        _StoredRange(
            keys.first,
            owner_indexes[keys.node, keys.incarnation],
            keys.token,
            keys.handover,
        )
        for keys in table.ranges
    )
    stored = _StoredTable(
        table.service,
        tuple(owner_indexes),
        ranges,
        table.top_token,
        table.suspicions,
        table.writer,
        table.era,
        table.restored_token,
        table.base,
    )
    return msgspec.json.encode(stored)


def configuration_of(
    stored: StoredObject | None,
    rejected: RejectedObjects,
    decoder: ConfigurationDecoder,
) -> Configuration | None:
    """Returns the configuration in an object, None if absent or malformed."""
    if stored is None or stored.content is None:
        return None
    try:
        return decoder.decode(stored.content)
    except Unreadable as error:
        rejected.note(stored, error.detail)
        return None


def names_of(objects: Iterable[StoredObject]) -> frozenset[str]:
    """Returns the names of the objects that are not deleted."""
    return frozenset(stored.name for stored in objects if stored.content is not None)


def members_of(
    objects: Iterable[StoredObject], rejected: RejectedObjects, own_node: str = ""
) -> dict[str, Member]:
    """Returns the members by node; only the newest one at each address.

    An older member at the same address has ended, and its upstream with it. This
    process knows that it has not.

    Args:
        objects: The objects of the members.
        rejected: Counts the malformed ones.
        own_node: Node of this process.
    """
    members: dict[str, Member] = {}
    at_address: dict[Address, str] = {}
    for stored in sorted(objects, key=lambda stored: stored.revision):
        member = decode_member(stored, rejected)
        if member is None:
            continue
        older = at_address.get(member.peer, "")
        if older and older == own_node != member.node:
            continue
        members.pop(older, None)
        at_address[member.peer] = member.node
        members[member.node] = member
    return members


def successor_of(stored: StoredObject, objects: Iterable[StoredObject]) -> str | None:
    """Returns the node of the newest later member at a member's address, if any."""
    member = decode_member(stored)
    if member is None:
        return None
    later = [
        (other.revision, successor.node)
        for other in objects
        if other.revision > stored.revision
        and (successor := decode_member(other)) is not None
        and successor.peer == member.peer
        and successor.node != member.node
    ]
    return max(later)[1] if later else None


def decode_member(
    stored: StoredObject, rejected: RejectedObjects | None = None
) -> Member | None:
    """Decodes a member; returns None if it is deleted, malformed or misnamed."""
    return _accepted(stored, _member_of(stored), rejected)


def decode_table(
    stored: StoredObject, rejected: RejectedObjects | None = None
) -> RangeTable | None:
    """Decodes a table; returns None if it is deleted, malformed or misnamed."""
    return _accepted(stored, _table_of(stored), rejected)


def encode_reservation(replaced: bool) -> bytes:
    """Encodes the content of an object that reserves the name of a table.

    Args:
        replaced: Whether a table is known that was there before.
    """
    return msgspec.json.encode(Reservation(True, replaced))


def decode_reservation(stored: StoredObject) -> Reservation | None:
    """Returns the reservation in an object, None if it is something else."""
    if stored.content is None or len(stored.content) > MAX_RESERVATION_BYTES:
        return None
    try:
        return decode_json(stored.content, Reservation)
    except Malformed:
        return None


def table_name(service: str, era: int = FIRST_ERA) -> str:
    """Returns the name of the object that holds a service's table in an era.

    The store may carry out a write without an answer seconds later, also in a later
    era, where the revision that is its condition has been given out again. With a name
    of its own, the table of the present era can't be reached by it.

    Args:
        service: Name of the service.
        era: Era of the store.
    """
    return service if era <= FIRST_ERA else f"{service}.era-{era}"


@lru_cache(maxsize=MAX_CACHED_MEMBERS)
def _member_of(stored: StoredObject) -> Member | Malformed | None:
    """Decodes a member; only new revisions of an object are decoded."""
    if stored.content is None:
        return None
    try:
        member = decode_json(stored.content, _StoredMember).to_member()
    except Malformed as error:
        return error
    return member if member.node == stored.name else _misnamed(member.node)


@lru_cache(maxsize=MAX_CACHED_TABLES)
def _table_of(stored: StoredObject) -> RangeTable | Malformed | None:
    """Decodes a table; only new revisions of an object are decoded."""
    if stored.content is None or decode_reservation(stored) is not None:
        return None
    try:
        table = decode_json(stored.content, _StoredTable).to_table()
    except Malformed as error:
        return error
    # Earlier versions wrote the tables of all eras under the name of the first one.
    if stored.name not in (table.service, table_name(table.service, table.era)):
        return _misnamed(table.service)
    if table.top_token > max_token(stored.revision):
        return Malformed(f"highest token {table.top_token} at {stored.revision}")
    return table


def _misnamed(name: str) -> Malformed:
    """Returns the error of a content that belongs to an object of another name."""
    return Malformed(f"the content belongs to {name!r}")


def _accepted(
    stored: StoredObject,
    decoded: _Value | Malformed | None,
    rejected: RejectedObjects | None,
) -> _Value | None:
    """Returns a decoded content; reports a malformed one."""
    if not isinstance(decoded, Malformed):
        return decoded
    if rejected is not None:
        rejected.note(stored, decoded.detail)
    return None
