"""Steps for the records of the store's objects."""

from __future__ import annotations

import json
from dataclasses import replace

from behave import given, then, when

from features.builders_fleet_types import SERVICE, a_member
from features.builders_node import a_configuration
from features.builders_rate_limit import captured_logs
from rosemarydeal.core.fleet import ObjectOrigin, Revision, StoredObject
from rosemarydeal.node import messages
from rosemarydeal.node.contents import decode_table, encode_table, table_name
from rosemarydeal.node.messages import ObjectListing, ObjectState, TableDelta
from rosemarydeal.node.records import RANGES, Records
from rosemarydeal.platform.store import Listing
from rosemarydeal.policy.keyranges import table as tables

FIRST_NUMBER = 10
FIRST_REVISION = Revision(0, FIRST_NUMBER)


def revision(step):
    """Returns the revision a number of changes after the first one."""
    return Revision(0, FIRST_NUMBER + step)


def stored_table(table, revision):
    content = encode_table(table)
    return StoredObject(RANGES, table_name(SERVICE), revision, content)


def transferred(table, number, new_owner):
    part = replace(table.ranges[number], last=table.ranges[number].first + 9)
    return tables.move_ranges(table, [(part, new_owner, "h")], f"w{number}")


@given("records with a table, and three consecutive deltas")
def step_records(context):
    members = [a_member(f"n{i}") for i in range(4)]
    context.tables = [tables.initial_table(SERVICE, members, "w")]
    for number in range(3):
        moved = transferred(context.tables[-1], number, members[3])
        context.tables.append(replace(moved, base=revision(number).number))
    context.deltas = [
        TableDelta.of(revision(i), revision(i + 1), old, new)
        for i, (old, new) in enumerate(
            zip(context.tables, context.tables[1:], strict=False)
        )
    ]
    context.records = Records()
    context.records.apply(stored_table(context.tables[0], FIRST_REVISION))


@when("peers send the third, the first and the second delta")
def step_out_of_order(context):
    for number in (2, 0, 1):
        context.records.apply_table_delta(context.deltas[number])


@when("peers send the second and the third delta")
def step_gap(context):
    for number in (1, 2):
        context.records.apply_table_delta(context.deltas[number])


@when("the store returns the table after the first delta")
def step_gap_filled(context):
    context.records.apply(stored_table(context.tables[1], revision(1)))


@then("the records hold the table after the third delta")
def step_third(context):
    assert context.records.table(SERVICE) == context.tables[3]
    assert context.records.last_change(RANGES) == revision(3)


@then("the records still hold the first table")
def step_first(context):
    assert context.records.table(SERVICE) == context.tables[0]


@given("a table of {count:d} owners and a transfer of one range")
def step_large(context, count):
    members = [a_member(f"sidecar-bergen-a-{i}") for i in range(count)]
    context.old = tables.initial_table(SERVICE, members, "w")
    context.new = transferred(context.old, 3, members[7])


@then("the delta takes less than {max_bytes:d} bytes")
def step_bytes(context, max_bytes):
    old, new = context.old, context.new
    delta = TableDelta.of(FIRST_REVISION, revision(1), old, new)
    assert len(messages.encode(delta)) < max_bytes, len(messages.encode(delta))


@given("a table of {owners:d} owners and {count:d} ranges with their hand-overs")
def step_fragmented(context, owners, count):
    members = [a_member(f"sidecar-bergen-a-{i}") for i in range(owners)]
    context.range_table = tables.initial_table(SERVICE, members, "w")
    for number in range(count - owners):
        keys = max(context.range_table.ranges, key=lambda keys: keys.width)
        part = replace(keys, last=keys.first + keys.width // 2)
        new_owner = members[number * 7 % owners]
        transfers = [(part, new_owner, "5c0e7a21d94b36f8")]
        context.range_table = tables.move_ranges(context.range_table, transfers, "w")


@then("its content takes less than {max_bytes:d} bytes")
def step_short_content(context, max_bytes):
    size = len(encode_table(context.range_table))
    assert size < max_bytes, size


@then("it is decoded from the store's object without loss")
def step_read_back(context):
    read = decode_table(stored_table(context.range_table, FIRST_REVISION))
    assert read == context.range_table


@then("content whose ranges have gaps, no order or no owner is ignored")
def step_broken_tables(context):
    template = b'{"service":"%s","owners":[["n","l"]],"ranges":%s,"top_token":1}'
    for ranges in (
        b"[]",
        b"[[5,0,1]]",
        b"[[0,0,1],[0,0,1]]",
        b"[[0,0,1],[9,1,1]]",
        b"[[0,-1,1]]",
        b"[[0,0,1],[70000,0,1]]",
        b"[[0,0]]",
        b"7",
    ):
        content = template % (SERVICE.encode(), ranges)
        broken = StoredObject(RANGES, table_name(SERVICE), FIRST_REVISION, content)
        assert decode_table(broken) is None, ranges


def stored_configuration(version, step):
    """Returns a version of the configuration as the store holds it."""
    content = json.dumps(a_configuration(version)).encode()
    return StoredObject("config", "main", revision(step), content)


@given("records that have version 1 of the configuration from the store")
def step_first_version(context):
    context.records = Records()
    context.records.apply_listing(
        "config", Listing((stored_configuration(1, 0),), revision(0))
    )


@when("version 2 comes {from_where}")
def step_next_version(context, from_where):
    stored = stored_configuration(2, 1)
    listing = Listing((stored,), stored.revision)
    state = ObjectState(stored.name, stored.revision, stored.content)
    with captured_logs() as context.lines:
        match from_where:
            case "with a watch":
                context.records.apply_changes("config", listing)
            case "with changes of a reader":
                origin = ObjectOrigin.PEER_CHANGES
                context.records.apply_changes("config", listing, origin)
            case "in a listing of a peer":
                context.records.apply_peer_listing(
                    ObjectListing("config", stored.revision, stored.revision, (state,))
                )


@then("the log names the origin {origin} of version 2")
def step_origin(context, origin):
    (line,) = [
        line for line in context.lines if line["event"] == "configuration_in_force"
    ]
    assert (line["version"], line["origin"]) == (2, origin), line
