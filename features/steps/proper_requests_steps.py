"""Steps for proper requests beyond the limits that hold without a configuration."""

from __future__ import annotations

import asyncio

from behave import given, then, when

from features.builders_node import HOST, a_configuration, run, start_deployment

KB = 1000
ANSWER_LIMIT_S = 4.0
CONFIGURED_S = 1.0
HEAD_END = b"\r\n\r\n"


def a_request(head_bytes=0, body_bytes=0):
    fields = [
        "POST /order/1 HTTP/1.1",
        f"host: {HOST}",
        "request-id: r1",
        "deadline-ms: 3000",
        "shard-key: 1",
        f"content-length: {body_bytes}",
        f"x-note: {'n' * head_bytes}\r\n\r\n",
    ]
    return "\r\n".join(fields).encode() + b"b" * body_bytes


async def exchange(connection, request):
    """Sends a request; returns the status, the headers and the seconds taken."""
    reader, writer = connection
    loop = asyncio.get_running_loop()
    sent_at = loop.time()
    writer.write(request)
    async with asyncio.timeout(ANSWER_LIMIT_S):
        head = await reader.readuntil(HEAD_END)
        first, *lines = head[: -len(HEAD_END)].split(b"\r\n")
        headers = dict(line.lower().split(b": ", 1) for line in lines)
        await reader.readexactly(int(headers.get(b"content-length", 0)))
    return int(first.split(b" ")[1]), headers, loop.time() - sent_at


def connect(context):
    host = context.deployment.hosts["vm-a"]
    connection = run(context, asyncio.open_connection(host, 9002))
    context.add_cleanup(connection[1].close)
    return connection


@given("a process without a configuration")
def step_unconfigured(context):
    start_deployment(context, 1)
    deployment = context.deployment

    async def restart():
        deployment.store.remove("config", "main")
        await deployment.nodes["vm-a"].close()
        await deployment.start_node("vm-a")

    run(context, restart())


@when("a caller sends a request with a {part} of {size:d} {unit}")
def step_send(context, part, size, unit):
    length = size * KB * (KB if unit == "MB" else 1)
    request = a_request(**{f"{part}_bytes": length})
    context.answer = run(context, exchange(connect(context), request))


@then(
    "it is told within {seconds:d} seconds that it did not run, and when to come back"
)
def step_told(context, seconds):
    status, headers, taken_s = context.answer
    assert status == 503, context.answer
    assert b"retry-after" in headers, context.answer
    assert taken_s <= seconds, context.answer


@when("a caller opens a connection and sends nothing yet")
def step_open(context):
    context.connection = connect(context)
    run(context, asyncio.sleep(0.1))


@when("a caller opens a connection and has one request served")
def step_open_served(context):
    context.connection = connect(context)
    status, _, _ = run(context, exchange(context.connection, a_request()))
    assert status == 200, status


@when("the operator allows heads of {size:d} kB")
def step_allow(context, size):
    configuration = a_configuration(version=2)
    (limits,) = [r for r in configuration["resources"] if r["type"] == "limits"]
    limits["spec"]["max_header_bytes"] = size * KB
    context.deployment.store.put("config", "main", configuration)
    run(context, asyncio.sleep(CONFIGURED_S))


@then("a request with a head of {size:d} kB is served on that connection")
def step_served(context, size):
    request = a_request(head_bytes=size * KB)
    status, _, _ = run(context, exchange(context.connection, request))
    assert status == 200, status


@then("a request with a head of {size:d} kB is answered {status:d} on that connection")
def step_refused(context, size, status):
    request = a_request(head_bytes=size * KB)
    found, _, _ = run(context, exchange(context.connection, request))
    assert found == status, found
