"""Reads the tables that a stand-in store has held, and checks their order."""

from __future__ import annotations

import msgspec

from rosemarydeal.core.fleet import KeyRange, RangeTable, Revision, StoredObject
from rosemarydeal.node.contents import decode_table, table_name
from rosemarydeal.node.records import RANGES
from rosemarydeal.policy.keyranges import table as tables

SERVICE = "box-office"


def stored_table(revision, spec, era=1):
    """Returns the object of a table at a revision."""
    content = msgspec.json.encode(spec)
    name = table_name(SERVICE, era)
    return StoredObject(RANGES, name, Revision(era, revision), content)


def written_tables(store, after=0) -> list[RangeTable]:
    """Returns the tables of all writes that a store has accepted, in order.

    What else has been in their place is left out.
    """
    stored = [
        stored_table(revision, event["object"]["spec"], _era(event["object"]["spec"]))
        for revision, kind, event in store.events
        if kind == RANGES and revision > after
    ]
    return [table for table in map(decode_table, stored) if table is not None]


def _era(spec) -> int:
    """Returns the era in which a table was written."""
    return spec.get("era", 1) if isinstance(spec, dict) else 1


def undone_ranges(old: RangeTable, new: RangeTable) -> list[KeyRange]:
    """Returns the ranges that moved without a token above all that were issued."""
    return [
        keys
        for keys in tables.new_ranges(old, new)
        if keys.token <= old.top_token and not _is_unchanged(keys, old)
    ]


def _is_unchanged(keys: KeyRange, old: RangeTable) -> bool:
    """Returns whether all keys of a range had this assignment before."""
    assignments = {
        (other.node, other.incarnation, other.token)
        for other in old.ranges
        if tables.overlaps(other, keys)
    }
    return assignments == {(keys.node, keys.incarnation, keys.token)}
