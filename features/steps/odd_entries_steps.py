"""Steps for odd entries among the objects of the store."""

from __future__ import annotations

import asyncio
from dataclasses import replace

import msgspec
from behave import given, then, when

from features.builders_addresses import a_loopback_host
from features.builders_fleet_types import SERVICE, a_member
from features.builders_node import HOST, a_configuration, run
from features.builders_odd_entries import (
    ODD_CONFIGURATIONS,
    ODD_HEARTBEATS,
    ODD_INSTANCES,
    ODD_MEMBERS,
    ODD_OBJECTS,
    an_object,
    an_odd_configuration,
    an_odd_member,
    an_odd_object,
    an_odd_table,
    nested,
)
from features.builders_rate_limit import captured_logs
from features.odd_entries_property import check_odd_entries
from features.standin_store import StandInStore
from features.steps.records_steps import revision, stored_table
from rosemarydeal.core import Address
from rosemarydeal.core.fleet import Revision, StoredObject
from rosemarydeal.node.contents import encode_table
from rosemarydeal.node.messages import CrashSuspects, ObjectState, ObjectUpdate
from rosemarydeal.node.records import MEMBERS, Records
from rosemarydeal.platform.errors import StoreError
from rosemarydeal.platform.rejected_objects import RejectedObjects
from rosemarydeal.platform.store import StoreClient, StoreSettings
from rosemarydeal.proxy import BytesBody, Pool, PoolSettings, ProxyError, Request

STRANGERS = Address(a_loopback_host(203), 9105)
LIST_TIMEOUT_S = 5.0
WATCH_S = 0.2
FOLLOW_S = 5.0
# Processes learn of a change, and act on it, within this time.
CLAIM_S = 1.5
# Time in which a task that has failed a few times is running again.
WATCH_RESTARTS_S = 1.2
LINK_RESTARTS_S = 0.6
STEP_RESTARTS_S = 2.0
RELEASE_S = 0.6
# Shorter than the pause of a watch between two calls: some come together.
ODD_PAUSE_S = 0.05
# Longer than the pause of a watch of the configuration: each one is seen.
ODD_CONFIGURATION_PAUSE_S = 0.2
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
    context.rejected = RejectedObjects()
    context.client = StoreClient(StoreSettings(address), rejected=context.rejected)
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
    context.records = Records(context.rejected)
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


@when("another writer leaves a member {name} with {odd}")
def step_odd_member(context, name, odd):
    put_odd_member(context.store, name, odd)


def put_odd_member(store, name, odd):
    content = an_odd_member(odd, member_content(name))
    store.put_odd(MEMBERS, name, an_object(name, content))


@then("only {one} and {two} are members")
def step_only(context, one, two):
    assert set(context.records.members) == {one, two}, context.records.members


@when("another writer leaves members that are odd in every way, also {one} and {two}")
def step_odd_every_way(context, one, two):
    async def go():
        store = context.deployment.store
        for name in (one, two):
            put_odd_member(store, name, "an unknown field nested 5000 levels")
        for number, odd in enumerate(ODD_MEMBERS):
            put_odd_member(store, f"odd-{number}", odd)
            await asyncio.sleep(ODD_PAUSE_S)
        for number, odd in enumerate(ODD_OBJECTS):
            name = f"odd-object-{number}"
            odd_object = an_odd_object(odd, name, member_content(name))
            store.put_odd(MEMBERS, name, odd_object)
            await asyncio.sleep(ODD_PAUSE_S)

    run(context, go())


@when("the VM {name} joins")
def step_joins(context, name):
    run(context, context.deployment.join(name))


@then("vm-a, vm-b and vm-c follow the members {one}, {two} and {three}")
def step_follow(context, one, two, three):
    def follow():
        return all(
            set(node._records.members) == {one, two, three}
            for node in context.deployment.nodes.values()
        )

    run(context, context.deployment.wait(follow, FOLLOW_S))


@then("no task of a process has failed")
def step_alive(context):
    async def has_failed(node):
        try:
            async with asyncio.timeout(0.05):
                await node.wait_failed()
        except TimeoutError:
            return False
        return True

    for name, node in context.deployment.nodes.items():
        assert not run(context, has_failed(node)), name


@when("the operator moves the route to /b/")
def step_route(context):
    context.deployment.store.put("config", "main", a_configuration(2, prefix="/b/"))


@then("keys reach the upstream of {name} within {seconds:d} seconds")
def step_keys_reach(context, name, seconds):
    deployment = context.deployment
    endpoint = deployment.endpoints[name]
    holds = deployment.wait(
        lambda: any(endpoint.held(key) for key in deployment.sample()), seconds
    )
    run(context, holds)


@when("the store returns a table with {odd}")
def step_odd_table(context, odd):
    content = an_odd_table(odd, encode_table(context.tables[1]))
    context.records.apply(
        replace(stored_table(context.tables[1], revision(1)), content=content)
    )


@when("the store returns the table after two changes")
def step_second_table(context):
    context.records.apply(stored_table(context.tables[2], revision(2)))


@then("the records hold the table after the second change")
def step_second(context):
    assert context.records.table(SERVICE) == context.tables[2]


@when("the members are listed {count:d} times")
def step_listed_often(context, count):
    with captured_logs() as lines:
        for _ in range(count):
            step_listed_again(context)
    context.lines = [line for line in lines if line["event"] == "object_rejected"]


@then("{count:d} rejected objects are counted, and logged with kind, name and reason")
def step_counted(context, count):
    assert context.rejected.counts[MEMBERS] == count, context.rejected.counts
    assert len(context.lines) == count, context.lines
    for line in context.lines:
        assert line["kind"] == MEMBERS and line["name"] and line["reason"], line


@when("another writer leaves {count:d} objects with {odd}")
def step_many_odd(context, count, odd):
    context.logged = len(context.lines)
    for number in range(count):
        step_odd(context, f"odd-{number}", odd)


@then("{count:d} rejected objects are counted, and {logged:d} are logged")
def step_bounded(context, count, logged):
    assert context.rejected.counts[MEMBERS] == count, context.rejected.counts
    assert context.logged + len(context.lines) == logged, len(context.lines)


def apply_configuration(context, content):
    context.number = getattr(context, "number", 1000) + 1
    stored = StoredObject("config", "main", Revision(0, context.number), content)
    context.records.apply(stored)


@when("another writer leaves version {version:d} of the configuration with {odd}")
def step_odd_configuration(context, version, odd):
    configuration = a_configuration(version)
    apply_configuration(context, an_odd_configuration(odd, configuration))


@when("a valid version {version:d} of the configuration follows")
def step_good_configuration(context, version):
    apply_configuration(context, msgspec.json.encode(a_configuration(version)))


@then("version {version:d} is in force")
def step_in_force(context, version):
    assert context.records.configuration.version == version


@when("another writer leaves configurations that are odd in every way")
def step_odd_configurations(context):
    async def go():
        for odd in ODD_CONFIGURATIONS:
            content = an_odd_configuration(odd, a_configuration(2))
            context.deployment.store.put_odd(
                "config", "main", an_object("main", content)
            )
            await asyncio.sleep(ODD_CONFIGURATION_PAUSE_S)

    run(context, go())


def failing(original, count):
    """Returns a function that fails unexpectedly some times, and then works."""
    left = [count]

    def call(*args, **kwargs):
        if left[0]:
            left[0] -= 1
            raise ZeroDivisionError("unexpected")
        return original(*args, **kwargs)

    return call


@when("the watch of the configuration fails {count:d} times at {name}")
def step_watch_fails(context, count, name):
    store = context.deployment.nodes[name].store
    watch, fail = store.watch, failing(lambda: None, count)

    async def failing_watch(kind, *args):
        if kind == "config":
            fail()
        return await watch(kind, *args)

    store.watch = failing_watch
    # Completes the watch that is waiting.
    context.deployment.store.put("config", "main", a_configuration(1))
    run(context, asyncio.sleep(WATCH_RESTARTS_S))


@when(
    "the monitoring of links fails {count:d} times at {name},"
    " and its link to {peer} is cut"
)
def step_monitoring_fails(context, count, name, peer):
    links = context.deployment.nodes[name]._links
    links._monitor.run = failing(links._monitor.run, count)
    links._links[peer].connection.abort()
    run(context, asyncio.sleep(0.1))


@then("{name} reaches {peer} within {seconds:d} seconds, also after another cut")
def step_reaches(context, name, peer, seconds):
    links = context.deployment.nodes[name]._links

    async def go():
        for _ in range(2):
            await context.deployment.wait(lambda: links.is_up(peer), seconds)
            await asyncio.sleep(LINK_RESTARTS_S)
            await context.deployment.wait(lambda: links.is_up(peer), seconds)
            links._links[peer].connection.abort()
            await asyncio.sleep(0.05)
        await context.deployment.wait(lambda: links.is_up(peer), seconds)

    run(context, go())


@when("the step of the key ranges fails {count:d} times at {name}")
def step_ownership_fails(context, count, name):
    ownership = context.deployment.nodes[name]._ownership
    step = ownership._step
    ownership._step = failing(step, count)
    run(context, asyncio.sleep(STEP_RESTARTS_S))


@when("a release of {name} fails unexpectedly as its upstream drains")
def step_release_fails(context, name):
    deployment = context.deployment
    grants = deployment.nodes[name]._ownership._grants
    grants.release = failing(grants.release, 1)
    deployment.endpoints[name].state = "draining"
    run(context, asyncio.sleep(RELEASE_S))


def counted_failures(context, name):
    failures = getattr(context.deployment.nodes[name], "_failures", None)
    return failures.counts if failures is not None else {}


@then("{name} has counted {count:d} failures of {task}, and goes on")
def step_failures(context, name, count, task):
    step_alive(context)
    counts = counted_failures(context, name)
    assert counts == {task: count}, counts


@then("{name} has counted {count:d} failures of {task}, and ends")
def step_fatal(context, name, count, task):
    async def wait_failed():
        async with asyncio.timeout(FOLLOW_S):
            await context.deployment.nodes[name].wait_failed()

    run(context, wait_failed())
    counts = counted_failures(context, name)
    assert counts == {task: count}, counts


@when("the upstream of {name} states {load} as its load")
def step_states_load(context, name, load):
    stated = {
        "400 digits": "0,0,8," + "9" * 400,
        "5000 digits": "0,0,8," + "9" * 5000,
        "nothing": "",
    }
    context.deployment.endpoints[name].load = stated.get(load, load)


@then("{count:d} requests to {name} are answered within {seconds:d} seconds")
def step_answered(context, count, name, seconds):
    async def go():
        async with asyncio.timeout(seconds):
            return await asyncio.gather(
                *(
                    context.deployment.send_request(name, key, "/order/1")
                    for key in range(count)
                )
            )

    answers = run(context, go())
    assert [answer.status for answer in answers] == [200] * count, answers


@then("the load of {name} is finite")
def step_finite_load(context, name):
    load = context.deployment.nodes[name]._load()
    assert 1 <= load.slowdown_percent <= 1000, load
    assert 0 <= load.demand_percent < 10_000, load


@when("the client of the upstream fails {count:d} times at {name}")
def step_client_fails(context, count, name):
    client = context.deployment.nodes[name]._client
    client.run = failing(client.run, count)


@then("a request to {name} ends with {status:d} within {seconds:d} seconds")
def step_ends(context, name, status, seconds):
    async def go():
        async with asyncio.timeout(seconds):
            return await context.deployment.send_request(name, 1, "/order/1")

    assert run(context, go()).status == status


@when("the guard fails {count:d} times at {name}")
def step_guard_fails(context, count, name):
    guard = context.deployment.nodes[name]._guard
    guard.serve = failing(guard.serve, count)


@then(
    "an order at {name} for a key of {peer} ends with {status:d}"
    " within {seconds:d} seconds"
)
def step_peer_ends(context, name, peer, status, seconds):
    deployment = context.deployment
    key = next(k for k in deployment.sample() if deployment.holders(k) == [peer])

    async def go():
        async with asyncio.timeout(seconds):
            return await deployment.send_request(name, key, "/order/1")

    assert run(context, go()).status == status


def digits(text):
    """Returns as many nines as the text states digits, or the text itself."""
    sign, text = ("-", text[1:]) if text.startswith("-") else ("", text)
    count, _, unit = text.partition(" ")
    return sign + ("9" * int(count) if unit == "digits" else text)


@when("a caller of {name} states {time_left} as its time left")
def step_time_left(context, name, time_left):
    deployment = context.deployment
    address = Address(deployment.hosts[name], 9002)
    headers = (
        (b"host", HOST.encode()),
        (b"request-id", b"odd"),
        (b"deadline-ms", digits(time_left).encode()),
        (b"shard-key", b"1"),
    )
    request = Request(b"GET", b"/a/1", headers, BytesBody(b""), address)

    async def go():
        pool = Pool(PoolSettings())
        try:
            return (await pool.send(address, request, FOLLOW_S)).status
        except ProxyError as error:
            return error.code
        finally:
            await pool.close()

    context.status = run(context, go())


@then("it gets the status {status:d}")
def step_status(context, status):
    assert context.status == status, context.status


async def send_call(deployment, name, call, instance, body):
    """Sends an upstream's call to the process beside it; returns the status."""
    address = Address(deployment.hosts[name], 9004)
    path = f"/v1/instances/{instance}/{call}".encode()
    encoded = BytesBody(msgspec.json.encode(body))
    request = Request(b"POST", path, ((b"host", b"x"),), encoded, address)
    pool = Pool(PoolSettings())
    try:
        return (await pool.send(address, request, FOLLOW_S)).status
    except ProxyError as error:
        return error.code
    finally:
        await pool.close()


@when("a {call} of the upstream of {name} has {odd}")
def step_odd_call(context, call, name, odd):
    deployment = context.deployment
    endpoint = deployment.endpoints[name]
    instance = ODD_INSTANCES.get(odd, endpoint.instance)
    body = {**endpoint.announcement(), **ODD_HEARTBEATS.get(odd, {})}
    names = {"heartbeat": "heartbeat", "departure": "deregister"}
    context.status = run(
        context, send_call(deployment, name, names[call], instance, body)
    )


@then("it is answered with {status:d}")
def step_call_status(context, status):
    assert context.status == status, context.status


@then("{name} knows its upstream as it is")
def step_knows_upstream(context, name):
    deployment = context.deployment
    state = deployment.nodes[name]._watch.state
    run(context, asyncio.sleep(WATCH_S))
    later = deployment.nodes[name]._watch.state
    assert later.announcement.instance == deployment.endpoints[name].instance
    assert later.announcement.sequence > state.announcement.sequence
    assert later.accepting and later.announcement.slots == 8


@when("the line of {setting} says {value}")
def step_setting(context, setting, value):
    if value == "arrays of 5000 levels":
        value = nested(5000).decode()
    lines = context.toml.splitlines()
    number = next(n for n, line in enumerate(lines) if line.startswith(f"{setting} "))
    lines[number] = f"{setting} = {value}"
    context.toml = "\n".join(lines)


@when("a stranger sends a frame nested {levels:d} levels")
def step_deep_frame(context, levels):
    # A message may be followed by fields of a later version, which are skipped.
    hello = b"\x95\x01\xa1n\xa1p\xa1a" + b"\x91" * levels + b"\x01"

    async def go():
        await context.stranger_links.start(STRANGERS)
        reader, writer = await asyncio.open_connection(STRANGERS.host, STRANGERS.port)
        writer.write(len(hello).to_bytes(4, "big") + hello)
        try:
            async with asyncio.timeout(FOLLOW_S):
                return await reader.read()
        except ConnectionError:
            return b""
        finally:
            writer.close()
            await context.stranger_links.close()

    with captured_logs() as lines:
        context.received = run(context, go())
    context.lines = lines


@then("its connection is closed, and logged as {event}")
def step_closed_logged(context, event):
    assert context.received == b""
    assert [line for line in context.lines if line["event"] == event], context.lines


@when("vm-b sends vm-a a message whose handler fails, and then a change of a zone")
def step_failing_message(context):
    nodes = context.deployment.nodes
    guard = nodes["vm-a"]._guard
    guard.add_crash_suspects = failing(guard.add_crash_suspects, 1)
    links = nodes["vm-b"]._links
    context.opened = links.sent["Hello"]
    revision = nodes["vm-a"]._records.revision("evacuations")
    later = Revision(revision.era, revision.number + 1)
    links.send("vm-a", CrashSuspects(("x",)))
    change = ObjectUpdate("evacuations", ObjectState("perth-z", later, b"{}"))
    links.send("vm-a", change)
    run(context, asyncio.sleep(WATCH_S))


@then("vm-a has applied the change of the zone over the same link")
def step_applied(context):
    nodes = context.deployment.nodes
    assert nodes["vm-a"]._records.zones_out == {"perth-z"}
    assert nodes["vm-b"]._links.sent["Hello"] == context.opened


def claim_address(context):
    deployment = context.deployment
    member = member_content("vm-z", slots=8)
    member["peer"] = {"host": deployment.hosts["vm-b"], "port": 9005}
    deployment.store.put(MEMBERS, "vm-z", member)
    run(context, asyncio.sleep(CLAIM_S))


@when("another writer leaves a member that names the address of vm-b")
def step_claimed(context):
    deployment = context.deployment
    context.held = [k for k in deployment.sample() if "vm-b" in deployment.holders(k)]
    assert context.held
    claim_address(context)


@when("another writer leaves it once more")
def step_claimed_again(context):
    claim_address(context)


@then("all processes follow the members {names} within {seconds:d} seconds")
def step_follow_within(context, names, seconds):
    expected = set(names.replace(" and ", ", ").split(", "))
    nodes = context.deployment.nodes.values()

    def follow():
        return all(set(node._records.members) == expected for node in nodes)

    run(context, context.deployment.wait(follow, seconds))


@then("vm-b still holds its keys, and all keys are served")
def step_still_holds(context):
    deployment = context.deployment
    for key in context.held:
        assert deployment.holders(key) == ["vm-b"], (key, deployment.holders(key))

    async def go():
        return [await deployment.send_request("vm-a", key) for key in context.held]

    assert {answer.status for answer in run(context, go())} == {200}


@then(
    "each generated odd object of each kind harms no other, and its repair is followed"
)
def step_property(context):
    seen = check_odd_entries()
    assert seen["used"] > 50 and seen["not used"] > 20, seen
