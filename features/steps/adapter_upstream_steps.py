"""Steps for the client of the upstream and answers to other requests."""

from __future__ import annotations

import asyncio

from behave import given, then, when

from features.builders_fleet_types import a_routed_request
from features.builders_proxy import raw_upstream
from rosemarydeal.core.fleet import KeyRange
from rosemarydeal.core.requests import Answered, Failed, UpstreamRequest
from rosemarydeal.platform.upstream import UpstreamClient

CONNECTIONS = 4
RELEASE_S = 0.2
TIMEOUT_S = 2.0
EMPTY = b"content-length: 0\r\n\r\n"
OWN = b"HTTP/1.1 200 OK\r\nrequest-id: r1\r\nresponse-signature: s\r\n" + EMPTY
RELEASED = b"HTTP/1.1 200 OK\r\nhandover: h1\r\n" + EMPTY
UNNAMED_REJECTION = b"HTTP/1.1 503 Full\r\nnot-executed: 1\r\n" + EMPTY
OTHER_REJECTION = b"HTTP/1.1 503 Full\r\nrequest-id: r0\r\nnot-executed: 1\r\n" + EMPTY


async def answer_twice(reader, writer):
    """Repeats a request's answer at the point where the next answer is expected."""
    late = b""
    while True:
        head = await reader.readuntil(b"\r\n\r\n")
        if head.startswith(b"GET"):
            writer.write(OWN)
            late = OWN
            continue
        writer.write(late)
        await asyncio.sleep(RELEASE_S)
        writer.write(RELEASED)


async def reject_another(reader, writer):
    await reader.readuntil(b"\r\n\r\n")
    writer.write(OTHER_REJECTION)


@given("an upstream that answers a request twice, the second time late")
def step_twice(context):
    context.upstream = answer_twice


@given("an upstream that answers each request with a rejection of another one")
def step_other_rejection(context):
    context.upstream = reject_another


def upstream_request():
    return UpstreamRequest(a_routed_request(), "i", TIMEOUT_S)


@when("a request is answered and its keys are released")
def step_release(context):
    async def go():
        async with raw_upstream(context.upstream) as address:
            client = UpstreamClient(address, CONNECTIONS)
            assert isinstance(await client.run(upstream_request()), Answered)
            started = asyncio.get_running_loop().time()
            keys = KeyRange(0, 9, "n", "l", 1)
            context.handover = await client.release(keys, TIMEOUT_S)
            context.seconds = asyncio.get_running_loop().time() - started
            await client.close()

    asyncio.run(go())


@then("the release waited for its own answer")
def step_waited(context):
    assert context.handover == "h1" and context.seconds >= RELEASE_S, context.seconds


@when("a request is sent")
def step_send(context):
    async def go():
        async with raw_upstream(context.upstream) as address:
            client = UpstreamClient(address, CONNECTIONS)
            context.result = await client.run(upstream_request())
            await client.close()

    asyncio.run(go())


@then("its outcome is unknown")
def step_outcome_unknown(context):
    assert context.result == Failed("foreign-answer", True), context.result


async def repeat_rejection(reader, writer):
    """Rejects the first request of a connection, and again while the next one runs."""
    await reader.readuntil(b"\r\n\r\n")
    if repeat_rejection.rejected:
        await asyncio.sleep(RELEASE_S)
        writer.write(OWN)
        return
    repeat_rejection.rejected = True
    writer.write(UNNAMED_REJECTION)
    await reader.readuntil(b"\r\n\r\n")
    writer.write(UNNAMED_REJECTION)
    await asyncio.sleep(RELEASE_S)
    writer.write(OWN)


@given("an upstream that repeats a rejection without an id while the next request runs")
def step_repeats(context):
    repeat_rejection.rejected = False
    context.upstream = repeat_rejection


@when("two requests are sent one after the other")
def step_two(context):
    async def go():
        async with raw_upstream(context.upstream) as address:
            client = UpstreamClient(address, CONNECTIONS)
            await client.run(upstream_request())
            context.result = await client.run(upstream_request())
            await client.close()

    asyncio.run(go())


@then("the second ends with its own answer")
def step_own(context):
    assert isinstance(context.result, Answered), context.result
