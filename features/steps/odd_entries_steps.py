"""Steps for odd entries among the objects of the store."""

from __future__ import annotations

import asyncio
from dataclasses import replace

import msgspec
from behave import given, then, when

from features.builders_fleet_types import a_member
from features.builders_node import run
from features.builders_odd_entries import an_odd_object
from features.standin_store import StandInStore
from rosemarydeal.core import Address
from rosemarydeal.core.fleet import Revision
from rosemarydeal.node.records import MEMBERS, Records
from rosemarydeal.platform.errors import StoreError
from rosemarydeal.platform.store import StoreClient, StoreSettings

LIST_TIMEOUT_S = 5.0
WATCH_S = 0.2
FIRST_PORT = 7001
# Port of each member, by node.
PORTS = {}


def member_content(node, **changes):
    peer = Address("127.0.0.1", PORTS.setdefault(node, FIRST_PORT + len(PORTS)))
    return msgspec.to_builtins(replace(a_member(node, **changes), peer=peer))


def close(context):
    run(context, context.client.close())
    run(context, context.store.close())
    context.loop.close()


@given(
    "a store with the members {one}, {two} and {three}, and {count:d} objects on a page"
)
def step_paged_store(context, one, two, three, count):
    step_store(context, one, two, three)
    context.store.page_objects = count


@given("a store with the members {one}, {two} and {three}")
def step_store(context, one, two, three):
    context.loop = asyncio.new_event_loop()
    context.store = StandInStore()
    address = run(context, context.store.start("127.0.0.1"))
    context.client = StoreClient(StoreSettings(address))
    context.add_cleanup(close, context)
    for node in (one, two, three):
        context.store.put(MEMBERS, node, member_content(node))
    context.before = {s.name: s for s in listing(context).objects}
    context.since = context.store.revision


def listing(context):
    async def go():
        async with asyncio.timeout(LIST_TIMEOUT_S):
            return await context.client.list(MEMBERS)

    return run(context, go())


def changes_since(context):
    revision = Revision(context.store.era, context.since)
    changes = run(context, context.client.watch(MEMBERS, revision, WATCH_S))
    return {stored.name: stored for stored in changes.objects}


@when("another writer leaves an object {name} with {odd}")
def step_odd(context, name, odd):
    odd_object = an_odd_object(odd, name, member_content(name))
    context.store.put_odd(MEMBERS, name, odd_object)


@then("a listing of the members contains {one} and {two} as before")
def step_listed(context, one, two):
    objects = {stored.name: stored for stored in listing(context).objects}
    for name in (one, two):
        assert objects[name] == context.before[name], objects


@then("a watch of the members reports a change of {name} that comes after it")
def step_watched(context, name):
    context.store.put(MEMBERS, name, member_content(name, slots=3))
    content = changes_since(context)[name].content
    assert msgspec.json.decode(content)["slots"] == 3, content


@when("{name} is written as it should be")
def step_repaired(context, name):
    context.store.put(MEMBERS, name, member_content(name, slots=4))


@then("a watch of the members reports {name} as it was written")
def step_repair_watched(context, name):
    content = changes_since(context)[name].content
    assert msgspec.json.decode(content)["slots"] == 4, content


@then("a listing of the members fails with the code {code}")
def step_listing_fails(context, code):
    try:
        listing(context)
    except StoreError as error:
        assert error.code == code, error.code
        return
    raise AssertionError("the members were listed")


@then("the member {name} can be read and removed")
def step_removed(context, name):
    stored = run(context, context.client.get(MEMBERS, name))
    assert stored == context.before[name], stored
    run(context, context.client.remove(MEMBERS, name, stored.revision))
    assert run(context, context.client.get(MEMBERS, name)) is None


@given("records of its members")
def step_records(context):
    context.records = Records()
    step_listed_again(context)
    assert set(context.records.members) == {"vm-a", "vm-b", "vm-c"}


@when("the members are listed again")
def step_listed_again(context):
    context.records.apply_listing(MEMBERS, listing(context))


@when("{name} is removed")
def step_remove(context, name):
    context.store.remove(MEMBERS, name)


def is_removed(context, node):
    revision = Revision(context.store.era, context.since)
    return context.records.is_member_removed(node, revision)


@then("no member is taken for removed, and {one} and {two} are members")
def step_none_removed(context, one, two):
    assert {one, two} <= set(context.records.members), context.records.members
    for node in context.before:
        known = node in context.records.members
        assert known or not is_removed(context, node), node


@then("{name} is a member as it was written")
def step_member_again(context, name):
    assert context.records.members[name].slots == 4, context.records.members


@then("{name} is taken for removed")
def step_is_removed(context, name):
    assert name not in context.records.members
    assert is_removed(context, name)
