"""Steps for the processes that watch the store for their zone."""

from __future__ import annotations

import asyncio
from dataclasses import replace

from behave import given, then, when

from features.builders_node import a_configuration, run
from features.steps.node_store_steps import reject_store_calls
from rosemarydeal.node.records import MEMBERS
from rosemarydeal.platform.names import ZONES_OUT_KIND
from rosemarydeal.policy.membership.readers import ReaderCandidate, zone_readers
from rosemarydeal.policy.membership.spans import ChangeSpans


@given("the processes a, b, c and d of a zone")
def step_zone(context):
    context.candidates = {node: ReaderCandidate(node, True, True) for node in "dbca"}


@when("b is unreachable")
def step_unreachable(context):
    context.candidates["b"] = replace(context.candidates["b"], reachable=False)


@when("the store rejects the calls of {node}")
def step_rejected(context, node):
    for name in context.candidates if node == "all" else node:
        changed = replace(context.candidates[name], reads_store=False)
        context.candidates[name] = changed


@then("the readers are {one} and {other}")
def step_readers(context, one, other):
    assert zone_readers(context.candidates.values()) == (one, other)


@when("{seconds:d} seconds pass")
def step_pass(context, seconds):
    run(context, asyncio.sleep(seconds))


def watches(context):
    return sum(
        count
        for node in context.deployment.nodes.values()
        for call, count in node.store.calls.items()
        if call.operation == "watch"
    )


def put_and_wait(context, configuration, seconds):
    deployment = context.deployment
    deployment.store.put("config", "main", configuration)

    def in_force():
        records = [node._records for node in deployment.nodes.values()]
        return all(
            r.configuration and r.configuration.version == configuration["version"]
            for r in records
        )

    run(context, deployment.wait(in_force, seconds))


@then(
    "the operator's next configuration is in force everywhere within"
    " {seconds:f} seconds"
)
def step_next(context, seconds):
    context.watches = watches(context)
    put_and_wait(context, a_configuration(version=2), seconds)


@then(
    "the operator's next configuration with {count:d} routes is in force everywhere"
    " within {seconds:f} seconds"
)
def step_large(context, count, seconds):
    configuration = a_configuration(version=2)
    first = configuration["resources"][0]
    for number in range(count):
        route = first | {"metadata": {"name": f"extra-{number}"}}
        route["spec"] = first["spec"] | {"path_prefix": f"/extra/{number}/"}
        configuration["resources"].append(route)
    put_and_wait(context, configuration, seconds)


@then("it cost at most {count:d} watches")
def step_cost(context, count):
    run(context, asyncio.sleep(0.5))
    assert watches(context) - context.watches <= count, context.watches


def of_zone(context, zone):
    nodes = context.deployment.nodes
    members = next(iter(nodes.values()))._records.members
    return sorted(node for node in nodes if members[node].zone == zone)


async def restart_watches(watcher):
    """Ends the waiting watches, so that the next ones are rejected."""
    await watcher.close()
    watcher.start()


@when("the store rejects the readers of perth-a")
def step_reject_readers(context):
    for name in of_zone(context, "perth-a")[:2]:
        node = context.deployment.nodes[name]
        assert node._store_watcher.readers[:2] == tuple(of_zone(context, "perth-a")[:2])
        reject_store_calls(context.deployment, name)
        run(context, restart_watches(node._store_watcher))


@when("a process of perth-a misses the change that takes perth-b out")
def step_miss(context):
    name = of_zone(context, "perth-a")[-1]
    watcher = context.deployment.nodes[name]._store_watcher
    original = watcher.apply_peer_changes, watcher.on_known_revisions
    watcher.apply_peer_changes = lambda source, changes: None
    watcher.on_known_revisions = lambda source, revisions: None
    context.missing = name

    async def miss():
        context.deployment.store.put(ZONES_OUT_KIND, "perth-b", {})
        await asyncio.sleep(0.3)
        watcher.apply_peer_changes, watcher.on_known_revisions = original

    run(context, miss())
    records = context.deployment.nodes[name]._records
    assert "perth-b" not in records.zones_out and records.listed(MEMBERS)


@when("the operator takes perth-c and perth-b out and the store drops its history")
def step_drop_history(context):
    async def change():
        store = context.deployment.store
        store.put(ZONES_OUT_KIND, "perth-c", {})
        await asyncio.sleep(0.1)
        # The readers wait before their next watch, which finds the history gone.
        store.put(ZONES_OUT_KIND, "perth-b", {})
        store.drop_history()

    run(context, change())


@when("the operator takes perth-a out of service")
def step_out(context):
    context.deployment.store.put(ZONES_OUT_KIND, "perth-a", {})


@then("all processes know within {seconds:f} seconds that {one} and {other} are out")
def step_both(context, seconds, one, other):
    deployment = context.deployment
    both = {one, other}

    def known():
        nodes = deployment.nodes.values()
        return all(node._records.zones_out == both for node in nodes)

    run(context, deployment.wait(known, seconds))


@given("a reader that has sent all changes up to revision {revision:d}")
def step_sent(context, revision):
    context.spans = ChangeSpans()
    context.spans.begin("kind", revision)
    context.revision = revision


@when("its watch returns nothing up to revision {revision:d}")
def step_nothing(context, revision):
    context.spans.extend("kind", context.revision, revision)
    context.revision = revision


@when("another reader brings it from revision {start:d} to {end:d}")
def step_other_reader(context, start, end):
    assert context.revision == start
    context.revision = end


@then("its next message, up to revision {end:d}, begins at revision {since:d}")
def step_span(context, end, since):
    assert context.spans.extend("kind", context.revision, end) == since
    context.spans.begin("kind", end)
    context.revision = end
