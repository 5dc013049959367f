"""Steps for connections to the store that fall silent without a reset."""

from __future__ import annotations

import asyncio
from collections import Counter
from functools import partial

from behave import then, when

from features.builders_node import run
from rosemarydeal.platform.names import CONFIGURATION_KIND, ZONES_OUT_KIND


def watches_by_node(context):
    return Counter(
        {
            (name, call.kind): count
            for name, node in context.deployment.nodes.items()
            for call, count in node.store.calls.items()
            if call.operation == "watch"
        }
    )


@when("all open connections to the store fall silent")
def step_silent(context):
    context.deployment.store.silence_connections()
    context.earlier = watches_by_node(context)


@when(
    "all open connections to the store fall silent as a watch of the configuration"
    " begins"
)
def step_silent_at_watch(context):
    (node,) = context.deployment.nodes.values()
    watches = node._store_watcher._watches
    former = watches.get(CONFIGURATION_KIND)

    async def silence():
        await context.deployment.wait(
            lambda: watches.get(CONFIGURATION_KIND) not in (None, former)
        )
        # The call has reached the store.
        await asyncio.sleep(0.03)
        context.deployment.store.silence_connections()

    run(context, silence())


@when("each answer of the store takes {seconds:f} seconds for {duration:d} seconds")
def step_slow_answers(context, seconds, duration):
    context.renewals = []
    for name, node in context.deployment.nodes.items():
        node._store_watcher.renew_watches = partial(context.renewals.append, name)
    context.deployment.store.answer_s = seconds
    run(context, asyncio.sleep(duration))


@then("no process has renewed its watches")
def step_not_renewed(context):
    assert not context.renewals, context.renewals


@when("the first reader of each zone stops")
def step_first_readers_stop(context):
    nodes = context.deployment.nodes
    first = [name for name in nodes if nodes[name]._store_watcher.shared_reader is None]
    assert {context.deployment.zone(name) for name in first} == {"perth-a", "perth-b"}
    for name in first:
        run(context, nodes.pop(name).close())


@then("all four readers have asked anew for the operators' changes")
def step_asked_anew(context):
    later = watches_by_node(context) - context.earlier
    for kind in (CONFIGURATION_KIND, ZONES_OUT_KIND):
        assert len([1 for _, watched in later if watched == kind]) == 4, later


@when(
    "each answer of the store takes {seconds:f} seconds, and a VM starts that reaches"
    " no other"
)
def step_slow(context, seconds):
    deployment = context.deployment

    async def start():
        deployment.store.answer_s = seconds
        for name in list(deployment.nodes):
            await deployment.nodes.pop(name).close()
        await deployment.join("vm-z")

    run(context, start())


@then("it is ready within {seconds:f} seconds")
def step_ready(context, seconds):
    node = context.deployment.nodes["vm-z"]
    run(context, context.deployment.wait(lambda: node.ready, seconds))


@then("all processes know within {seconds:f} seconds that only {zone} is out")
def step_zone_known(context, seconds, zone):
    nodes = context.deployment.nodes.values()

    def known():
        return all(node._records.zones_out == {zone} for node in nodes)

    run(context, context.deployment.wait(known, seconds))
