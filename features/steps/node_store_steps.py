"""Steps for node processes under store failures and operators' changes."""

from __future__ import annotations

import asyncio

from behave import then, when

from features.builders_addresses import a_loopback_host
from features.builders_fleet_types import an_identity
from features.builders_node import (
    a_configuration,
    load,
    run,
)
from rosemarydeal.node.process import NodeProcess
from rosemarydeal.node.records import RANGES
from rosemarydeal.platform.errors import StoreConflict, StoreUnavailable


@when("a VM starts while the store rejects its calls")
def step_start_rejected(context):
    deployment = context.deployment
    deployment.store.turns_away.add("*")
    host = deployment.hosts["vm-z"] = a_loopback_host(200)
    identity = an_identity("vm-z", host, deployment.address)

    async def start():
        deployment.nodes["vm-z"] = NodeProcess(identity)
        await deployment.nodes["vm-z"].start()
        await asyncio.sleep(0.3)
        return await deployment.send_request("vm-z", 1)

    context.answer = run(context, start())


@then("it is not ready, and answers 503")
def step_not_ready(context):
    assert context.answer.status == 503
    assert not context.deployment.nodes["vm-z"].ready


@when("the store rejects vm-b's calls and its upstream drains")
def step_drain_rejected(context):
    async def drain():
        reject_store_calls(context.deployment, "vm-b")
        await asyncio.sleep(0.5)
        context.deployment.endpoints["vm-b"].state = "draining"

    run(context, drain())


def reject_store_calls(deployment, name):
    """Fails a VM's calls at its client: here all VMs call from one address."""
    client = deployment.nodes[name].store

    async def reject(*_args, **_kwargs):
        raise StoreUnavailable("rejected")

    client._call = reject


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


@when("the store is unavailable for {seconds:d} seconds while requests arrive")
def step_store_unavailable(context, seconds):
    async def outage():
        context.deployment.store.turns_away.add("*")
        answers = await load(context.deployment, float(seconds))
        context.deployment.store.turns_away.clear()
        return answers

    context.answers = run(context, outage())


@when("the store rejects vm-b's calls and the operator moves the route to /b/")
def step_route_moved_rejected(context):
    reject_store_calls(context.deployment, "vm-b")
    moved = a_configuration(version=4, prefix="/b/")
    context.deployment.store.put("config", "main", moved)


@when("the store drops its history and the operator moves the route to /b/")
def step_history_dropped(context):
    store = context.deployment.store
    store.put("config", "main", a_configuration(version=4, prefix="/b/"))
    store.drop_history()


@then("{name} serves /b/ and no longer /a/ within {seconds:d} seconds")
def step_new_route(context, name, seconds):
    async def statuses():
        await asyncio.sleep(seconds)
        new = await context.deployment.send_request(name, 5, "/b/1")
        old = await context.deployment.send_request(name, 5, "/a/1")
        return new.status, old.status

    assert run(context, statuses()) == (200, 404)


@when("the operator takes perth-b out of service")
def step_zone_out(context):
    context.deployment.store.put("evacuations", "perth-b", {})


@when("the operator returns perth-b to service")
def step_zone_back(context):
    context.deployment.store.remove("evacuations", "perth-b")


@when("the answers to the next {count:d} writes are lost while vm-b drains")
def step_lost_answers(context, count):
    context.deployment.store.lose_answers = count
    context.deployment.endpoints["vm-b"].state = "draining"


@then("no key was ever held by two upstreams")
def step_one_owner(context):
    assert not context.doubled, context.doubled[:3]


@when("a process writes a table that another one has changed since")
def step_conflict(context):
    deployment = context.deployment
    access = deployment.nodes["vm-a"]._access
    stored = deployment.store.objects[RANGES, "box-office"]
    context.spec = stored["spec"] | {"writer": "someone-else"}

    async def write():
        revision = access._records.stored_revision(RANGES, "box-office")
        deployment.store.put(RANGES, "box-office", context.spec)
        before = reads_of(access)
        try:
            await access.write(RANGES, "box-office", b"{}", revision)
        except StoreConflict:
            return reads_of(access) - before
        raise AssertionError("the write was not refused")

    context.reads = run(context, write())


def reads_of(access):
    calls = access._store.calls
    return sum(count for call, count in calls.items() if call.operation == "read")


@then("the write is refused and the new table is known without a read")
def step_known(context):
    assert context.reads == 0, context.reads
    table = context.deployment.nodes["vm-a"]._records.table("box-office")
    assert table.writer == "someone-else"
