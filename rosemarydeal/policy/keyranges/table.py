"""Changes to tables of key ranges; tables are immutable and changes return new ones.

Invariants: the ranges cover all keys without overlap, and a range assigned to
another owner or incarnation gets a token above all tokens issued before.

A table that does not continue the one before it, as the store has lost or another
writer has replaced that one, starts its tokens from the store's revision: each table
that the store has accepted before has a lower one, and lower tokens, whoever knows it.
"""

from __future__ import annotations

from bisect import bisect_right
from collections.abc import Sequence
from dataclasses import replace

from rosemarydeal.core.fleet import (
    FIRST_ERA,
    LAST_KEY,
    NO_REVISION,
    KeyRange,
    Member,
    RangeTable,
    Revision,
    Suspicion,
)

__all__ = [
    "add_suspicion",
    "apply_delta",
    "assign_evenly",
    "covers",
    "first_token",
    "initial_table",
    "lookup",
    "lost_by",
    "max_token",
    "move_ranges",
    "new_ranges",
    "overlaps",
    "owned_by",
    "reassign",
    "remove_suspicion",
    "renew_incarnation",
    "renew_tokens",
    "restore",
    "subtract",
    "undoes",
    "with_token",
]

# Bounds how many new owners share one owner's keys, to keep the table short.
MAX_NEW_OWNERS = 4
# Tokens that one write may issue at most; each issues one.
TOKENS_PER_WRITE = 1000
# Earlier versions left out a hundred thousand tokens where a table had been replaced.
LEFT_OUT_TOKENS = 1_000_000
# The store reaches ten billion revisions in an era only after years of a few hundred
# writes a second.
TOKENS_PER_ERA = TOKENS_PER_WRITE * 10**10


def initial_table(
    service: str,
    members: Sequence[Member],
    writer: str,
    position: Revision = NO_REVISION,
    replaced: bool = False,
) -> RangeTable:
    """Returns the first table of a service, with ranges in proportion to weights.

    After a restore of the store, or in place of something else, it may not be the first
    one: its owners have to wait as those of a restored table do.

    Args:
        service: Name of the service.
        members: Members with an upstream; at least one.
        writer: Unique name of the write.
        position: Revision of the store, after that of any table before.
        replaced: Whether there may have been a table that this process does not know.
    """
    token = first_token(position)
    ranges = tuple(
        KeyRange(first, last, member.node, member.incarnation, token)
        for member, first, last in _weighted_parts(members, 0, LAST_KEY)
    )
    restored_token = token if position.era > FIRST_ERA or replaced else 0
    return RangeTable(service, ranges, token, (), writer, position.era, restored_token)


def restore(
    known: RangeTable, top_token: int, position: Revision, writer: str
) -> RangeTable:
    """Returns a table as it was known before the store lost its latest changes.

    All assignments get one token above those that may have been issued in the lost
    changes, of which this process may not have heard.

    Args:
        known: The newest table that this process has.
        top_token: Highest token of any known table.
        position: Revision of the store, after that of any table before.
        writer: Unique name of the write.
    """
    token = max(top_token + 1, first_token(position))
    ranges = tuple(replace(keys, token=token, handover="") for keys in known.ranges)
    return RangeTable(known.service, ranges, token, (), writer, position.era, token)


def first_token(position: Revision) -> int:
    """Returns a token above those of all tables stored before a revision."""
    eras = max(0, position.era - FIRST_ERA)
    issued = TOKENS_PER_ERA * eras + TOKENS_PER_WRITE * position.number
    return 1 + LEFT_OUT_TOKENS + issued


def max_token(revision: Revision) -> int:
    """Returns the highest token that a table stored at a revision may have.

    It rises with each write by as much as one write issues at most, so that a table
    with this token can still be changed.
    """
    return first_token(revision)


def overlaps(one: KeyRange, other: KeyRange) -> bool:
    """Returns whether two ranges share a key."""
    return one.first <= other.last and other.first <= one.last


def covers(whole: KeyRange, part: KeyRange) -> bool:
    """Returns whether a range contains another of the same assignment."""
    same_assignment = (whole.token, whole.incarnation) == (part.token, part.incarnation)
    return same_assignment and whole.first <= part.first and part.last <= whole.last


def subtract(keys: KeyRange, removed: KeyRange) -> list[KeyRange]:
    """Returns the parts of a range that are not in another."""
    if not overlaps(keys, removed):
        return [keys]
    remaining = []
    if keys.first < removed.first:
        remaining.append(replace(keys, last=removed.first - 1))
    if keys.last > removed.last:
        remaining.append(replace(keys, first=removed.last + 1))
    return remaining


def lookup(table: RangeTable, key: int) -> KeyRange:
    """Returns the range that contains a key."""
    index = bisect_right(table.ranges, key, key=lambda keys: keys.first)
    return table.ranges[index - 1]


def owned_by(table: RangeTable, node: str) -> tuple[KeyRange, ...]:
    """Returns the ranges owned by a node's upstream."""
    return tuple(keys for keys in table.ranges if keys.node == node)


def lost_by(node: str, old: RangeTable, new: RangeTable) -> tuple[KeyRange, ...]:
    """Returns the keys that a node owns in an old table and not in a new one."""
    lost = list(owned_by(old, node))
    for keys in owned_by(new, node):
        lost = [rest for part in lost for rest in subtract(part, keys)]
    return tuple(lost)


def move_ranges(
    table: RangeTable, parts: Sequence[tuple[KeyRange, Member, str]], writer: str
) -> RangeTable:
    """Assigns ranges, or parts of ranges, to other upstreams under one new token.

    Args:
        table: The table; each part lies within one of its ranges.
        parts: Keys to move, their new owner, and the hand-over data of the former
            owner, or "".
        writer: Unique name of the write.
    """
    token = table.top_token + 1
    ranges = list(table.ranges)
    for moving, owner, handover in parts:
        assigned = KeyRange(
            moving.first, moving.last, owner.node, owner.incarnation, token, handover
        )
        ranges = [part for keys in ranges for part in _replace_part(keys, assigned)]
    return replace(
        table, ranges=_merge_adjacent(ranges), top_token=token, writer=writer
    )


def renew_tokens(
    table: RangeTable, parts: Sequence[KeyRange], writer: str
) -> RangeTable:
    """Issues a new token for ranges, or parts of ranges, that keep their owner."""
    token = table.top_token + 1
    ranges = list(table.ranges)
    for part in parts:
        renewed = with_token(part, token)
        ranges = [rest for keys in ranges for rest in _replace_part(keys, renewed)]
    return replace(
        table, ranges=_merge_adjacent(ranges), top_token=token, writer=writer
    )


def with_token(keys: KeyRange, token: int) -> KeyRange:
    """Returns a range under a new token, of the same owner."""
    return replace(keys, token=token, handover="")


def renew_incarnation(table: RangeTable, member: Member, writer: str) -> RangeTable:
    """Assigns a node's ranges to the current incarnation of its upstream."""
    token = table.top_token + 1

    def renewed(keys: KeyRange) -> KeyRange:
        if keys.node != member.node or keys.incarnation == member.incarnation:
            return keys
        return replace(keys, incarnation=member.incarnation, token=token, handover="")

    ranges = tuple(renewed(keys) for keys in table.ranges)
    return replace(table, ranges=ranges, top_token=token, writer=writer)


def new_ranges(old: RangeTable, new: RangeTable) -> tuple[KeyRange, ...]:
    """Returns the ranges of the new table that the old one does not have."""
    known = set(old.ranges)
    return tuple(keys for keys in new.ranges if keys not in known)


def undoes(old: RangeTable, new: RangeTable) -> bool:
    """Returns whether a table undoes changes that led to another one.

    Each change of an assignment, each suspicion and each restore issues a token. In a
    table that follows the old one, what differs has a later token.
    """
    known_suspicions = {suspicion.number for suspicion in old.suspicions}
    issued = [suspicion.number for suspicion in new.suspicions]
    if new.restored_token not in (0, old.restored_token):
        issued.append(new.restored_token)
    return (
        new.top_token < old.top_token
        or any(n <= old.top_token and n not in known_suspicions for n in issued)
        or any(
            keys.token <= old.top_token and not _has_assignment(old, keys)
            for keys in new_ranges(old, new)
        )
    )


def apply_delta(
    old: RangeTable, changed: Sequence[KeyRange], new: RangeTable
) -> RangeTable:
    """Returns the old table with the changed ranges applied.

    Args:
        old: The old table.
        changed: Ranges that `new_ranges` returned.
        new: The new table, without its ranges.
    """
    ranges = list(old.ranges)
    for keys in changed:
        ranges = [part for other in ranges for part in _replace_part(other, keys)]
    return replace(new, ranges=tuple(ranges))


def assign_evenly(
    table: RangeTable, ranges: Sequence[KeyRange], eligible: Sequence[Member]
) -> list[tuple[KeyRange, Member]]:
    """Returns a new owner for each range, the one with the fewest keys per weight.

    Wide ranges are split and narrow ones stay whole, to keep the table short.

    Args:
        table: The table.
        ranges: Ranges that need another owner.
        eligible: Members that could own them; at least one.
    """
    widths = {owner.node: 0 for owner in eligible}
    for keys in table.ranges:
        if keys.node in widths:
            widths[keys.node] += keys.width
    total = sum(keys.width for keys in ranges)
    max_width = max(1, -(-total // min(MAX_NEW_OWNERS, len(eligible))))
    parts = []
    for piece in sorted(_split(ranges, max_width), key=lambda keys: -keys.width):
        owner = min(
            eligible,
            key=lambda member: (widths[member.node] / member.weight, member.node),
        )
        widths[owner.node] += piece.width
        parts.append((piece, owner))
    return parts


def reassign(
    table: RangeTable,
    orphaned: Sequence[KeyRange],
    eligible: Sequence[Member],
    writer: str,
) -> RangeTable:
    """Assigns ranges evenly to eligible owners, without a hand-over."""
    parts = [
        (keys, new_owner, "")
        for keys, new_owner in assign_evenly(table, orphaned, eligible)
    ]
    return move_ranges(table, parts, writer)


def add_suspicion(table: RangeTable, node: str, by: str, writer: str) -> RangeTable:
    """Records a suspicion, from which the wait for a node's lease to expire runs.

    Its number is a token, as it must never have been that of an earlier suspicion:
    a process may have missed that this was refuted.
    """
    number = table.top_token + 1
    suspicions = (*table.suspicions, Suspicion(node, by, number))
    return replace(table, suspicions=suspicions, top_token=number, writer=writer)


def remove_suspicion(table: RangeTable, node: str, writer: str) -> RangeTable:
    """Removes the suspicions against a node."""
    remaining = tuple(s for s in table.suspicions if s.node != node)
    return replace(table, suspicions=remaining, writer=writer)


def _has_assignment(table: RangeTable, keys: KeyRange) -> bool:
    """Returns whether a table assigns all keys of a range as the range does."""
    return all(
        (other.node, other.incarnation, other.token)
        == (keys.node, keys.incarnation, keys.token)
        for other in table.ranges
        if overlaps(other, keys)
    )


def _split(ranges: Sequence[KeyRange], max_width: int) -> list[KeyRange]:
    """Splits ranges wider than `max_width` into pieces of even width."""
    pieces = []
    for keys in ranges:
        count = -(-keys.width // max_width)
        edges = [keys.first + keys.width * i // count for i in range(count + 1)]
        for first, next_first in zip(edges, edges[1:], strict=False):
            pieces.append(replace(keys, first=first, last=next_first - 1))
    return pieces


def _merge_adjacent(ranges: Sequence[KeyRange]) -> tuple[KeyRange, ...]:
    """Merges adjacent ranges of the same assignment."""
    merged: list[KeyRange] = []
    for keys in ranges:
        last = merged[-1] if merged else None
        if last is not None and replace(last, first=keys.first, last=keys.last) == keys:
            merged[-1] = replace(last, last=keys.last)
        else:
            merged.append(keys)
    return tuple(merged)


def _weighted_parts(
    members: Sequence[Member], first: int, last: int
) -> list[tuple[Member, int, int]]:
    """Splits a range into one part per member, in proportion to weights."""
    total = sum(member.weight for member in members)
    width = last - first + 1
    parts, next_first, weight_so_far = [], first, 0.0
    for member in members:
        weight_so_far += member.weight
        part_last = first + round(width * weight_so_far / total) - 1
        if part_last >= next_first:
            parts.append((member, next_first, part_last))
            next_first = part_last + 1
    return parts


def _replace_part(keys: KeyRange, replacement: KeyRange) -> list[KeyRange]:
    """Returns the parts of a range after another one has replaced the overlap."""
    if not overlaps(keys, replacement):
        return [keys]
    inserted = [replacement] if replacement.first in keys else []
    parts = [*subtract(keys, replacement), *inserted]
    return sorted(parts, key=lambda part: part.first)
