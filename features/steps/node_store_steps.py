"""Steps for node processes whose store or operators act up."""

from __future__ import annotations

import asyncio

from behave import then, when

from features.builders_fleet_types import an_identity
from features.builders_node import (
    a_configuration,
    load,
    run,
)
from rosemarydeal.node.process import NodeProcess
from rosemarydeal.platform.errors import StoreUnavailable


@when("a VM starts while the store rejects all calls")
def step_alone(context):
    deployment = context.deployment
    deployment.store.turns_away.add("*")
    deployment.hosts["vm-z"] = "127.0.1.200"
    identity = an_identity("vm-z", "127.0.1.200", deployment.address)

    async def start():
        deployment.nodes["vm-z"] = NodeProcess(identity)
        await deployment.nodes["vm-z"].start()
        await asyncio.sleep(0.3)
        return await deployment.ask("vm-z", 1)

    context.answer = run(context, start())


@then("it is not ready, and answers 503")
def step_not_ready(context):
    assert context.answer.status == 503
    assert not context.deployment.nodes["vm-z"].ready


@when("the store rejects the calls of vm-b and its upstream drains")
def step_turned_away(context):
    async def drain():
        turn_away(context.deployment, "vm-b")
        await asyncio.sleep(0.5)
        context.deployment.endpoints["vm-b"].state = "draining"

    run(context, drain())


def turn_away(deployment, name):
    """Has the store refuse a VM, whose calls all come from one address here."""
    client = deployment.nodes[name].store

    async def refuse(*_args, **_kwargs):
        raise StoreUnavailable("turned away")

    client._call = refuse


@then("vm-b holds no key within {seconds:d} seconds")
def step_no_key(context, seconds):
    endpoint = context.deployment.endpoints["vm-b"]
    sample = context.deployment.sample()
    empty = context.deployment.wait(
        lambda: not any(endpoint.held(key) for key in sample), seconds
    )
    run(context, empty)


@then("vm-b holds keys within {seconds:d} seconds")
def step_holds(context, seconds):
    endpoint = context.deployment.endpoints["vm-b"]
    sample = context.deployment.sample()
    run(
        context,
        context.deployment.wait(
            lambda: any(endpoint.held(key) for key in sample), seconds
        ),
    )


@when("the store is out for {seconds:d} seconds while requests continue")
def step_out(context, seconds):
    async def outage():
        context.deployment.store.turns_away.add("*")
        answers = await load(context.deployment, float(seconds))
        context.deployment.store.turns_away.clear()
        return answers

    context.answers = run(context, outage())


@when("the store rejects the calls of vm-b and the operator moves the route to /b/")
def step_moved_away(context):
    turn_away(context.deployment, "vm-b")
    moved = a_configuration(version=4, prefix="/b/")
    context.deployment.store.put("config", "main", moved)


@when("the store drops its history and the operator moves the route to /b/")
def step_dropped(context):
    store = context.deployment.store
    store.put("config", "main", a_configuration(version=4, prefix="/b/"))
    store.drop_history()


@then("{name} serves /b/ and no longer /a/ within {seconds:d} seconds")
def step_new_route(context, name, seconds):
    async def asked():
        await asyncio.sleep(seconds)
        new = await context.deployment.ask(name, 5, "/b/1")
        old = await context.deployment.ask(name, 5, "/a/1")
        return new.status, old.status

    assert run(context, asked()) == (200, 404)


@when("the operator takes perth-b out")
def step_zone_out(context):
    context.deployment.store.put("evacuations", "perth-b", {})


@when("the operator takes perth-b back")
def step_zone_back(context):
    context.deployment.store.remove("evacuations", "perth-b")


@when("the answers to the next {count:d} writes are lost while vm-b drains")
def step_lost_answers(context, count):
    context.deployment.store.lose_answers = count
    context.deployment.endpoints["vm-b"].state = "draining"


@then("no key was ever held by two upstreams")
def step_one_owner(context):
    assert not context.doubled, context.doubled[:3]
