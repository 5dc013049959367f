"""Changes tables of key ranges; all functions return a new table.

Invariants: the ranges cover all keys without overlap, and a range that changes
its owner or the owner's life gets a token above all tokens given before.
"""

from __future__ import annotations

from bisect import bisect_right
from collections.abc import Sequence
from dataclasses import replace

from rosemarydeal.core.fleet import (
    LAST_KEY,
    KeyRange,
    Member,
    RangeTable,
    Suspicion,
)

__all__ = [
    "initial_table",
    "lookup",
    "move",
    "orphans",
    "owned_by",
    "renew_life",
    "spread",
    "suspect",
    "without_suspicion",
]


def initial_table(service: str, members: Sequence[Member], writer: str) -> RangeTable:
    """Returns the first table of a service: ranges by the upstreams' slots.

    Args:
        service: Name of the service.
        members: Members with an upstream; at least one.
        writer: Name of the write.
    """
    ranges = tuple(
        KeyRange(first, last, member.node, member.life, 1)
        for member, first, last in _shares(members, 0, LAST_KEY)
    )
    return RangeTable(service, ranges, 1, (), writer)


def lookup(table: RangeTable, key: int) -> KeyRange:
    """Returns the range that a key is in."""
    at = bisect_right(table.ranges, key, key=lambda keys: keys.first)
    return table.ranges[at - 1]


def owned_by(table: RangeTable, node: str) -> tuple[KeyRange, ...]:
    """Returns the ranges of a node's upstream."""
    return tuple(keys for keys in table.ranges if keys.node == node)


def move(
    table: RangeTable, moved: KeyRange, heir: Member, handover: str, writer: str
) -> RangeTable:
    """Gives a range, or a part of one, to another upstream.

    Args:
        table: The table; `moved` lies within one of its ranges.
        moved: Keys that change hands.
        heir: Member whose upstream gets them.
        handover: What the former owner gave for the next one, if anything.
        writer: Name of the write.
    """
    token = table.top_token + 1
    gained = KeyRange(moved.first, moved.last, heir.node, heir.life, token, handover)
    ranges: list[KeyRange] = []
    for keys in table.ranges:
        ranges += _cut(keys, gained)
    return replace(table, ranges=tuple(ranges), top_token=token, writer=writer)


def renew_life(table: RangeTable, member: Member, writer: str) -> RangeTable:
    """Gives a node's ranges to the present life of its upstream."""
    token = table.top_token + 1

    def renewed(keys: KeyRange) -> KeyRange:
        if keys.node != member.node or keys.life == member.life:
            return keys
        return replace(keys, life=member.life, token=token, handover="")

    ranges = tuple(renewed(keys) for keys in table.ranges)
    return replace(table, ranges=ranges, top_token=token, writer=writer)


def orphans(table: RangeTable, nodes: frozenset[str]) -> tuple[KeyRange, ...]:
    """Returns the ranges whose node is none of some nodes."""
    return tuple(keys for keys in table.ranges if keys.node not in nodes)


def spread(
    table: RangeTable,
    lost: Sequence[tuple[KeyRange, str]],
    heirs: Sequence[Member],
    writer: str,
) -> RangeTable:
    """Shares ranges out among heirs, each range over all of them.

    Args:
        table: The table.
        lost: Ranges that need another owner, each with its hand-over or "".
        heirs: Members that take them; at least one.
        writer: Name of the write.
    """
    widths = {heir.node: 0 for heir in heirs}
    for keys in table.ranges:
        if keys.node in widths:
            widths[keys.node] += keys.width
    for keys, handover in lost:
        # A hand-over is good for the whole range only.
        takers = sorted(heirs, key=lambda h: (widths[h.node] / max(1, h.slots), h.node))
        chosen = takers[:1] if handover else takers
        for heir, first, last in _shares(chosen, keys.first, keys.last):
            part = replace(keys, first=first, last=last)
            table = move(table, part, heir, handover, writer)
            widths[heir.node] += part.width
    return table


def suspect(table: RangeTable, node: str, by: str, writer: str) -> RangeTable:
    """Records that a node's lease is being waited out."""
    number = 1 + max((s.number for s in table.suspicions), default=0)
    added = (*table.suspicions, Suspicion(node, by, number))
    return replace(table, suspicions=added, writer=writer)


def without_suspicion(table: RangeTable, node: str, writer: str) -> RangeTable:
    """Removes what was recorded against a node."""
    kept = tuple(s for s in table.suspicions if s.node != node)
    return replace(table, suspicions=kept, writer=writer)


def _shares(
    members: Sequence[Member], first: int, last: int
) -> list[tuple[Member, int, int]]:
    """Cuts a range into one part for each member, by their slots."""
    total = sum(max(1, member.slots) for member in members)
    width = last - first + 1
    parts, begin, seen = [], first, 0
    for member in members:
        seen += max(1, member.slots)
        end = first + width * seen // total - 1
        if end >= begin:
            parts.append((member, begin, end))
            begin = end + 1
    return parts


def _cut(keys: KeyRange, gained: KeyRange) -> list[KeyRange]:
    """Returns a range with the part that another one takes replaced."""
    if gained.first > keys.last or gained.last < keys.first:
        return [keys]
    parts = []
    if keys.first < gained.first:
        parts.append(replace(keys, last=gained.first - 1))
    if keys.first <= gained.first <= keys.last:
        parts.append(gained)
    if keys.last > gained.last:
        parts.append(replace(keys, first=gained.last + 1))
    return parts
