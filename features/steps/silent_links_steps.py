"""Steps for links between processes that fall silent without a reset."""

from __future__ import annotations

import asyncio
import re
from collections import Counter

from behave import given, then, when

from features.builders_node import run
from features.builders_node_programs import start_programs
from features.builders_processes import new_log_directory
from features.builders_silent_links import (
    SilentLinksDeployment,
    SilentLinksPrograms,
    silence,
)
from features.silent_links_soak import run_rounds
from features.steps.node_store_steps import reject_store_calls
from rosemarydeal.platform.names import ZONES_OUT_KIND

SETTLE_S = 3.0


@given("{count:d} programs whose links can fall silent")
def step_programs(context, count):
    start_programs(context, SilentLinksPrograms(count, new_log_directory()))


@when(
    "the open links of {count:d} programs fall silent, and a route is added"
    " {pauses} seconds later"
)
def step_rounds(context, count, pauses):
    pauses_s = [float(number) for number in re.findall(r"[\d.]+", pauses)]
    context.rounds = run(context, run_rounds(context.deployment, pauses_s, count))


@then("each change is in force everywhere within {seconds:f} seconds")
def step_in_force(context, seconds):
    late = [
        {name: round(delay, 2) for name, delay in delays.items() if delay > seconds}
        for delays in context.rounds
    ]
    assert not any(late), late


@given("a deployment of {count:d} VMs whose links can fall silent")
def step_deployment(context, count):
    context.loop = asyncio.new_event_loop()
    context.deployment = SilentLinksDeployment(count)

    def close():
        run(context, context.deployment.close())
        run(context, asyncio.sleep(0.05))
        context.loop.close()

    context.add_cleanup(close)
    run(context, context.deployment.start())
    run(context, asyncio.sleep(SETTLE_S))


@when("all open links fall silent")
def step_silent(context):
    context.deployment.silence_links(list(context.deployment.nodes))


@when("{name} gets no message of its readers, and no answer of the store")
def step_no_message(context, name):
    withhold_changes(context, name)
    reject_store_calls(context.deployment, name)


@when("{name} gets no message of its readers, and no listing of a peer")
def step_no_listing(context, name):
    withhold_changes(context, name)
    records = context.deployment.nodes[name]._records
    records.apply_peer_listing = lambda listing: None


def withhold_changes(context, name):
    watcher = context.deployment.nodes[name]._store_watcher
    assert name not in watcher.readers, watcher.readers
    watcher.apply_peer_changes = lambda source, changes: None


@when("the links that {name} has opened fall silent")
def step_own_links(context, name):
    for link in context.deployment.nodes[name]._links._links.values():
        silence(link.connection)


@when(
    "each VM sends an order for a key of each other one, with {seconds:f} seconds left"
)
def step_orders(context, seconds):
    deployment = context.deployment
    keys = {
        owner: key for key in deployment.sample() for owner in deployment.holders(key)
    }
    assert len(keys) == len(deployment.nodes), keys

    async def send_all():
        return await asyncio.gather(
            *(
                deployment.send_request(
                    *(name, key, f"/order/{key}", f"order-{name}-{key}"),
                    time_left_ms=int(1000 * seconds),
                )
                for name in deployment.nodes
                for owner, key in keys.items()
                if owner != name
            )
        )

    context.answers = run(context, send_all())


@then("all orders are answered 200 and ran once")
def step_answered(context):
    statuses = Counter(answer.status for answer in context.answers)
    assert set(statuses) == {200}, (statuses, {a.body for a in context.answers})
    endpoints = context.deployment.endpoints.values()
    ran = Counter(request for endpoint in endpoints for request in endpoint.ran)
    orders = {r: count for r, count in ran.items() if r.startswith("order-")}
    assert set(orders.values()) == {1}, orders
    assert len(orders) == len(context.answers)


@when("a zone is taken out and comes back, and vm-z joins {seconds:d} seconds later")
def step_zone_came_back(context, seconds):
    deployment = context.deployment

    async def change():
        deployment.store.put(ZONES_OUT_KIND, "perth-c", {})
        await asyncio.sleep(seconds)
        deployment.store.remove(ZONES_OUT_KIND, "perth-c")
        await asyncio.sleep(seconds)
        await deployment.join("vm-z")

    run(context, change())


@then("vm-z lacks no change of the operators, and asks nobody for {seconds:d} seconds")
def step_lacks_nothing(context, seconds):
    node = context.deployment.nodes["vm-z"]

    def asked():
        listings = {c: n for c, n in node.store.calls.items() if c.operation == "list"}
        return node._links.sent["FetchObjects"], listings

    before = asked()
    run(context, asyncio.sleep(seconds))
    assert node._store_watcher.behind_s == 0.0, node._store_watcher.behind_s
    assert asked() == before, (asked(), before)
