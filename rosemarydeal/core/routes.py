"""Routing table that entries serve to the caller library.

The table of a service with 40,000 slices stays under a megabyte: owners and
successors are packed indexes into the list of entries, and tokens are packed too.
"""

from __future__ import annotations

import struct
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

import msgspec

from .data import TOKEN_RANKS, Address, Row, SliceId
from .request_key import KeyRule

__all__ = [
    "ROUTES_PATH",
    "CarvedRoute",
    "Route",
    "RouteTable",
    "RoutesReply",
    "build_routes",
    "decode_routes",
    "encode_routes",
    "route_of",
]

ROUTES_PATH = "/.rosemarydeal/routes"
ENTRIES_PER_SLICE = 3
NO_ENTRY = 0xFFFF
TOKEN_FORMAT = struct.Struct("<Q")
NAMES_FORMAT = struct.Struct(f"<{ENTRIES_PER_SLICE}H")


@dataclass(frozen=True, slots=True)
class Route:
    """Entries and fencing token for the requests of a key.

    Attributes:
        entries: Entry of the owner, then those of its successors.
        token: Fencing token of the slice; the ticket of a first attempt.
    """

    entries: tuple[Address, ...]
    token: int


@dataclass(frozen=True, slots=True)
class CarvedRoute:
    """Route of a key that has a slice of its own.

    Attributes:
        key_hash: Hash of the key.
        names: Indexes of the entries of the owner and its successors.
        token: Fencing token of the slice.
    """

    key_hash: int
    names: tuple[int, ...]
    token: int


@dataclass(frozen=True, slots=True)
class RouteTable:
    """Routes of all keys of a service.

    Attributes:
        service: The service.
        version: Version of the table, higher after each change.
        slices: Number of base slices; 0 for a service without keys.
        key_rule: Where requests carry their key.
        entries: Entries of all processes of the service.
        names: Three indexes into `entries` for each slice, packed.
        tokens: Fencing token of each slice, packed.
        carved: Keys with a slice of their own.
    """

    service: str
    version: int
    slices: int
    key_rule: KeyRule | None
    entries: tuple[Address, ...]
    names: bytes = b""
    tokens: bytes = b""
    carved: tuple[CarvedRoute, ...] = ()


@dataclass(frozen=True, slots=True)
class RoutesReply:
    """Reply to a request for routes; without a table if there is no newer one."""

    version: int
    table: RouteTable | None = None


def build_routes(
    service: str,
    version: int,
    slices: int,
    key_rule: KeyRule | None,
    entries: Mapping[str, Address],
    rows: Iterable[Row],
) -> RouteTable:
    """Builds the table of a service.

    Args:
        service: The service.
        version: Version of the new table.
        slices: Number of base slices.
        key_rule: Where requests carry their key.
        entries: Entry of each node of the service.
        rows: Rows of the service, in any order.

    Returns:
        The table; slices without a row have no entries and token 0.
    """
    indexes = {node: index for index, node in enumerate(sorted(entries))}
    names = bytearray(NAMES_FORMAT.pack(*[NO_ENTRY] * ENTRIES_PER_SLICE) * slices)
    tokens = bytearray(TOKEN_FORMAT.size * slices)
    carved = []
    for row in rows:
        token = row.version * TOKEN_RANKS
        succession = [indexes[i.node] for i in row.succession if i.node in indexes]
        succession = succession[:ENTRIES_PER_SLICE]
        if row.slice.carved >= 0:
            carved.append(CarvedRoute(row.slice.carved, tuple(succession), token))
            continue
        padded = succession + [NO_ENTRY] * (ENTRIES_PER_SLICE - len(succession))
        NAMES_FORMAT.pack_into(names, row.slice.index * NAMES_FORMAT.size, *padded)
        offset = row.slice.index * TOKEN_FORMAT.size
        TOKEN_FORMAT.pack_into(tokens, offset, token)
    return RouteTable(
        service,
        version,
        slices,
        key_rule,
        tuple(entries[node] for node in sorted(entries)),
        bytes(names),
        bytes(tokens),
        tuple(sorted(carved, key=lambda route: route.key_hash)),
    )


def route_of(table: RouteTable, slice_id: SliceId) -> Route:
    """Returns the route of a slice.

    Args:
        table: The table.
        slice_id: A base slice, or the carved slice of a key.
    """
    if slice_id.carved >= 0:
        for route in table.carved:
            if route.key_hash == slice_id.carved:
                entries = tuple(table.entries[index] for index in route.names)
                return Route(entries, route.token)
    indexes = NAMES_FORMAT.unpack_from(table.names, slice_id.index * NAMES_FORMAT.size)
    entries = tuple(table.entries[index] for index in indexes if index != NO_ENTRY)
    offset = slice_id.index * TOKEN_FORMAT.size
    return Route(entries, TOKEN_FORMAT.unpack_from(table.tokens, offset)[0])


def encode_routes(reply: RoutesReply) -> bytes:
    """Encodes a reply as JSON."""
    return msgspec.json.encode(reply)


def decode_routes(data: bytes) -> RoutesReply:
    """Decodes and checks a reply.

    Raises:
        ValueError: If the data is not a valid reply.
    """
    reply = msgspec.json.decode(data, type=RoutesReply)
    table = reply.table
    if table is None:
        return reply
    if len(table.names) != table.slices * NAMES_FORMAT.size:
        raise ValueError("`names` has the wrong length for the number of slices")
    if len(table.tokens) != table.slices * TOKEN_FORMAT.size:
        raise ValueError("`tokens` has the wrong length for the number of slices")
    indexes = {index for (index,) in struct.iter_unpack("<H", table.names)}
    indexes.discard(NO_ENTRY)
    indexes.update(index for route in table.carved for index in route.names)
    if indexes and not 0 <= min(indexes) <= max(indexes) < len(table.entries):
        raise ValueError("an entry index is out of range")
    return reply
