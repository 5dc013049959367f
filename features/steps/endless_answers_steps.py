"""Steps for programs that are sent bytes without end."""

from __future__ import annotations

import asyncio

from behave import given, then, when

from features.builders_node import a_configuration, run
from features.builders_node_programs import start_programs
from features.builders_processes import new_log_directory
from features.endless_bytes import (
    MEMORY_MB,
    EndlessDeployment,
    path_of,
    serve_endless,
)
from rosemarydeal.proxy import ProxyError

FIRST, OTHER = "vm-a", "vm-b"
PAUSE_S = 0.1
MB = 1_000_000
ENDED_S = 6.0
STARTED_S = 8.0


@given(
    "two programs with a memory of 200 MB each, whose upstreams may send without end"
)
def step_programs(context):
    deployment = EndlessDeployment(2, new_log_directory())
    start_programs(context, deployment)
    run(context, wait_answered(deployment))


def key_of(deployment, name):
    """Returns a key that the upstream of a VM holds."""
    return next(key for key in deployment.sample() if deployment.holders(key) == [name])


async def wait_answered(deployment):
    """Waits until both VMs hold keys, and the first one reaches both holders."""

    def each_holds():
        holders = [deployment.holders(key) for key in deployment.sample()]
        return all([name] in holders for name in deployment.nodes)

    await deployment.wait(each_holds)
    for name in deployment.nodes:
        status = 0
        async with asyncio.timeout(STARTED_S):
            while status != 200:
                await asyncio.sleep(PAUSE_S)
                key = key_of(deployment, name)
                status = await send(deployment, FIRST, key, "/a/1")


async def send(deployment, name, key, path):
    """Sends a request from the first VM; returns the status of the answer."""
    try:
        return (await deployment.send_request(name, key, path)).status
    except ProxyError as error:
        return error.code


@when("{count:d} requests to {where} get {answers}, while others are answered")
def step_send(context, count, where, answers):
    deployment = context.deployment
    holder = FIRST if where == "the first" else OTHER
    key, other_key = key_of(deployment, holder), key_of(deployment, OTHER)

    async def go():
        hostile = [
            asyncio.create_task(send(deployment, FIRST, key, path_of(answers)))
            for _ in range(count)
        ]
        others = []
        for number in range(20):
            path = "/a/2-MB" if number % 5 == 4 else "/a/1"
            others.append(await send(deployment, FIRST, other_key, path))
            await asyncio.sleep(PAUSE_S)
        async with asyncio.timeout(ENDED_S):
            return await asyncio.gather(*hostile), others

    context.hostile, context.others = run(context, go())


@then("each of the {count:d} ends with {statuses}")
def step_ends(context, count, statuses):
    allowed = {int(status) for status in statuses.replace(" or", ",").split(", ")}
    assert len(context.hostile) == count
    assert set(context.hostile) <= allowed, set(context.hostile)


@then("the others were answered, also one of 2 MB")
def step_others(context):
    assert set(context.others) == {200}, context.others


@then("no program used more than 200 MB or ended")
def step_memory(context):
    for name, program in context.deployment.nodes.items():
        assert program.alive, name
        used_mb = program.peak_bytes / MB
        assert used_mb < MEMORY_MB, (name, used_mb)


@when("{count:d} callers get {answers} and read nothing")
def step_unread(context, count, answers):
    deployment = context.deployment
    lines = [
        f"GET {path_of(answers)} HTTP/1.1",
        "host: h.example",
        "deadline-ms: 4000",
        f"shard-key: {key_of(deployment, FIRST)}",
    ]

    async def go():
        writers = []
        for number in range(count):
            _, writer = await asyncio.open_connection(deployment.hosts[FIRST], 9002)
            writer.transport.pause_reading()
            head = [*lines, f"request-id: n{number}"]
            writer.write("\r\n".join([*head, "", ""]).encode())
            writers.append(writer)
            await asyncio.sleep(PAUSE_S)
        return writers

    context.writers = run(context, go())


@then("once the callers have left, an answer of 24 MB is passed on")
def step_left(context):
    deployment = context.deployment
    for writer in context.writers:
        writer.transport.abort()
    run(context, asyncio.sleep(1.0))
    path = path_of("many large answers")
    status = run(context, send(deployment, FIRST, key_of(deployment, FIRST), path))
    assert status == 200, status


@when("the store answers each call with {answers} for {seconds:d} seconds")
def step_store(context, answers, seconds):
    deployment = context.deployment
    context.form = answers

    async def go():
        await deployment.store.close()
        server = await serve_endless(None, deployment.address, lambda: answers)
        await asyncio.sleep(seconds)
        server.close()
        await asyncio.sleep(PAUSE_S)
        await deployment.store.start(deployment.address.host, deployment.address.port)

    run(context, go())


@then("the programs follow the operator again within {seconds:d} seconds")
def step_follow(context, seconds):
    deployment = context.deployment
    moved = a_configuration(version=4, prefix="/b/")
    deployment.store.put("config", "main", moved)
    run(context, asyncio.sleep(seconds))
    key = key_of(deployment, FIRST)
    for name in deployment.nodes:
        status = run(context, send(deployment, name, key, "/b/1"))
        assert status == 200, (name, status)
