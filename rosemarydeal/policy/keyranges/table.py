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
    "covers",
    "initial_table",
    "lookup",
    "move",
    "orphans",
    "overlaps",
    "owned_by",
    "renew_life",
    "spread",
    "suspect",
    "without",
    "without_suspicion",
]


def initial_table(service: str, members: Sequence[Member], writer: str) -> RangeTable:
    """Returns the first table of a service: ranges by the upstreams' weights.

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


def overlaps(one: KeyRange, other: KeyRange) -> bool:
    """Tells whether two ranges share a key."""
    return one.first <= other.last and other.first <= one.last


def covers(whole: KeyRange, part: KeyRange) -> bool:
    """Tells whether a range of the same assignment has all keys of another."""
    same = (whole.token, whole.life) == (part.token, part.life)
    return same and whole.first <= part.first and part.last <= whole.last


def without(keys: KeyRange, taken: KeyRange) -> list[KeyRange]:
    """Returns what is left of a range without the keys of another."""
    if not overlaps(keys, taken):
        return [keys]
    left = []
    if keys.first < taken.first:
        left.append(replace(keys, last=taken.first - 1))
    if keys.last > taken.last:
        left.append(replace(keys, first=taken.last + 1))
    return left


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
        takers = sorted(heirs, key=lambda h: (widths[h.node] / h.weight, h.node))
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
    """Cuts a range into one part for each member, by their weights."""
    total = sum(member.weight for member in members)
    width = last - first + 1
    parts, begin, seen = [], first, 0.0
    for member in members:
        seen += member.weight
        end = first + round(width * seen / total) - 1
        if end >= begin:
            parts.append((member, begin, end))
            begin = end + 1
    return parts


def _cut(keys: KeyRange, gained: KeyRange) -> list[KeyRange]:
    """Returns a range with the part that another one takes replaced."""
    if not overlaps(keys, gained):
        return [keys]
    begins_here = [gained] if gained.first in keys else []
    parts = [*without(keys, gained), *begins_here]
    return sorted(parts, key=lambda part: part.first)
