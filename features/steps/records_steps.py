"""Steps for what a process knows of the store's objects."""

from __future__ import annotations

from dataclasses import replace

from behave import given, then, when

from features.builders_fleet_types import SERVICE, a_member
from rosemarydeal.core.fleet import StoredObject
from rosemarydeal.node import messages
from rosemarydeal.node.contents import encode_table, table_name, tables_of
from rosemarydeal.node.messages import TableDelta
from rosemarydeal.node.records import RANGES, Records
from rosemarydeal.policy.keyranges import table as tables

FIRST_REVISION = 10


def stored(table, revision):
    content = encode_table(table)
    return StoredObject(RANGES, table_name(SERVICE), revision, content)


def moved(table, number, heir):
    part = replace(table.ranges[number], last=table.ranges[number].first + 9)
    return tables.move_ranges(table, [(part, heir, "h")], f"w{number}")


@given("records with a table, and three changes that follow on each other")
def step_records(context):
    members = [a_member(f"n{i}") for i in range(4)]
    context.stages = [tables.initial_table(SERVICE, members, "w")]
    for number in range(3):
        context.stages.append(moved(context.stages[-1], number, members[3]))
    context.changes = [
        TableDelta.of(FIRST_REVISION + i, FIRST_REVISION + i + 1, old, new)
        for i, (old, new) in enumerate(
            zip(context.stages, context.stages[1:], strict=False)
        )
    ]
    context.records = Records()
    context.records.take(stored(context.stages[0], FIRST_REVISION))


@when("peers send the third, the first and the second change")
def step_out_of_order(context):
    for number in (2, 0, 1):
        context.records.take_table_change(context.changes[number])


@when("peers send the second and the third change")
def step_gap(context):
    for number in (1, 2):
        context.records.take_table_change(context.changes[number])


@when("the store gives the table after the first change")
def step_gap_filled(context):
    context.records.take(stored(context.stages[1], FIRST_REVISION + 1))


@then("the records hold the table after the third change")
def step_third(context):
    assert context.records.table(SERVICE) == context.stages[3]
    assert context.records.changed(RANGES) == FIRST_REVISION + 3


@then("the records still hold the first table")
def step_first(context):
    assert context.records.table(SERVICE) == context.stages[0]


@given("a table of {count:d} owners and a move of one piece")
def step_large(context, count):
    members = [a_member(f"sidecar-bergen-a-{i}") for i in range(count)]
    context.old = tables.initial_table(SERVICE, members, "w")
    context.new = moved(context.old, 3, members[7])


@then("the change takes less than {most:d} bytes")
def step_bytes(context, most):
    old, new = context.old, context.new
    change = TableDelta.of(FIRST_REVISION, FIRST_REVISION + 1, old, new)
    assert len(messages.encode(change)) < most, len(messages.encode(change))


@given("a table of {owners:d} owners and {count:d} ranges with their handovers")
def step_fragmented(context, owners, count):
    members = [a_member(f"sidecar-bergen-a-{i}") for i in range(owners)]
    context.whole = tables.initial_table(SERVICE, members, "w")
    for number in range(count - owners):
        keys = max(context.whole.ranges, key=lambda keys: keys.width)
        part = replace(keys, last=keys.first + keys.width // 2)
        heir = members[number * 7 % owners]
        moved_part = [(part, heir, "5c0e7a21d94b36f8")]
        context.whole = tables.move_ranges(context.whole, moved_part, "w")


@then("its content takes less than {most:d} bytes")
def step_short_content(context, most):
    found = len(encode_table(context.whole))
    assert found < most, found


@then("it is read from the store as it was")
def step_read_back(context):
    read = tables_of([stored(context.whole, FIRST_REVISION)])
    assert read == {SERVICE: context.whole}


@then("content whose ranges have gaps, no order or no owner names nothing")
def step_broken_tables(context):
    good = b'{"service":"%s","owners":[["n","l"]],"ranges":%s,"top_token":1}'
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
        content = good % (SERVICE.encode(), ranges)
        broken = StoredObject(RANGES, table_name(SERVICE), FIRST_REVISION, content)
        assert tables_of([broken]) == {}, ranges
