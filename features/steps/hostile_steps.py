"""Steps for peers that send bytes without end."""

from __future__ import annotations

import asyncio
import resource
from unittest.mock import MagicMock

from behave import given, then, when

from features.builders_addresses import a_loopback_host
from features.builders_fleet_types import a_routed_request
from features.builders_proxy import raw_upstream
from rosemarydeal.core import Address
from rosemarydeal.core.requests import Answered, Failed, UpstreamRequest
from rosemarydeal.node.links import Links
from rosemarydeal.platform.upstream import UpstreamClient
from rosemarydeal.proxy import BodyBuffers, BodyTooLarge

HEAD = b"HTTP/1.1 200 OK\r\nrequest-id: r1\r\nresponse-signature: s\r\n"
OWN = HEAD + b"content-length: 2\r\n\r\nok"
BLOCK = 64 * 1024
ENDLESS = {
    "an endless status line": (b"HTTP/1.1 200 ", b"O"),
    "endless headers": (b"HTTP/1.1 200 OK\r\n", b"x: y\r\n"),
    "endless informational answers": (b"", b"HTTP/1.1 102 Wait\r\n\r\n"),
    "an endless body": (HEAD + b"\r\n", b"x"),
    "an endless chunked body": (
        HEAD + b"transfer-encoding: chunked\r\n\r\n",
        b"1\r\nx\r\n",
    ),
    "an endless chunk size": (HEAD + b"transfer-encoding: chunked\r\n\r\n", b"1"),
    "bytes after a whole answer": (OWN, b"x"),
}
TRICKLE_S = 0.05
TIMEOUT_S = 2.0
# The limit of the process's memory must not be reached by one answer.
PORT = 9111
HOST = a_loopback_host(202)


@given("an upstream whose answers are {answers} at {speed}")
def step_endless(context, answers, speed):
    context.closed = []
    context.pieces = ENDLESS[answers]
    context.speed = speed
    first, endless = context.pieces
    block = endless if speed == "a trickle" else endless * (BLOCK // len(endless))

    async def answer(reader, writer):
        head = await reader.readuntil(b"\r\n\r\n")
        if b"/other" in head:
            writer.write(OWN.replace(b"r1", b"r2"))
            return
        try:
            writer.write(first)
            while True:
                writer.write(block)
                await writer.drain()
                if speed == "a trickle":
                    await asyncio.sleep(TRICKLE_S)
        except ConnectionError:
            context.closed.append(True)

    context.upstream = answer


@when("a request is sent to it while others are answered")
def step_send(context):
    async def go():
        loop = asyncio.get_running_loop()
        async with raw_upstream(context.upstream) as address:
            client = UpstreamClient(address, 4)
            before = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
            started = loop.time()
            hostile = asyncio.create_task(
                client.run(UpstreamRequest(a_routed_request(), "i", TIMEOUT_S))
            )
            other = a_routed_request(request_id="r2", target=b"/other")
            context.others = [
                await client.run(UpstreamRequest(other, "i", TIMEOUT_S))
                for _ in range(3)
            ]
            context.result = await hostile
            context.seconds = loop.time() - started
            peak = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
            context.used_mb = (peak - before) / 1024
            await asyncio.sleep(0.2)
            await client.close()

    asyncio.run(go())


@then("the request ends unknown within {seconds:f} seconds")
def step_unknown(context, seconds):
    if context.pieces[0] == OWN:
        # Its own answer was complete; the bytes after it belong to no request.
        assert isinstance(context.result, Answered), context.result
    else:
        assert isinstance(context.result, Failed) and context.result.sent
    assert context.seconds < seconds, context.seconds


@then("the connection was closed, and the others were answered")
def step_closed(context):
    assert context.closed
    assert all(isinstance(other, Answered) for other in context.others)


@then("the process used less than {limit:d} MB for it")
def step_memory(context, limit):
    assert context.used_mb < limit, context.used_mb


async def endless_body():
    while True:
        yield b"x" * BLOCK
        await asyncio.sleep(0)


async def small_body():
    for _ in range(4):
        yield b"small"
        await asyncio.sleep(0)


@given("three upstream answers that never end and a budget of 1 MB")
def step_three(context):
    context.buffers = BodyBuffers(1 << 20)

    async def go():
        reads = [context.buffers.read(endless_body()) for _ in range(3)]
        reads.append(context.buffers.read(small_body()))
        return await asyncio.gather(*reads, return_exceptions=True)

    context.results = asyncio.run(go())


@then("each fails, and a small answer is read meanwhile")
def step_fail(context):
    assert all(isinstance(error, BodyTooLarge) for error in context.results[:3])
    assert context.results[3] == b"small" * 4


@then("the whole budget is free again")
def step_free(context):
    assert context.buffers.left_bytes == 1 << 20


@given("a process that listens for peers")
def step_listens(context):
    context.loop = asyncio.new_event_loop()
    context.add_cleanup(context.loop.close)
    context.stranger_links = Links("a", "a-1", MagicMock())


STRANGE_FRAMES = {
    "a frame of 70 MB": (70 << 20).to_bytes(4, "big") + b"x" * 100,
    "a frame that is no message": (3).to_bytes(4, "big") + b"\xc1\xc1\xc1",
    "an unknown message": (2).to_bytes(4, "big") + b"\x91\x7f",
}


@when("a stranger sends it {name}")
def step_stranger(context, name):
    async def go():
        loop = asyncio.get_running_loop()
        await context.stranger_links.start(Address(HOST, PORT))
        reader, writer = await asyncio.open_connection(HOST, PORT)
        writer.write(STRANGE_FRAMES[name])
        started = loop.time()
        try:
            async with asyncio.timeout(2.0):
                await reader.read()
        except (ConnectionError, TimeoutError):
            pass
        context.seconds = loop.time() - started
        writer.close()
        await context.stranger_links.close()
        await asyncio.sleep(0.05)

    context.loop.run_until_complete(go())


@then("the connection is closed within {seconds:f} seconds")
def step_stranger_closed(context, seconds):
    assert context.seconds < seconds, context.seconds
