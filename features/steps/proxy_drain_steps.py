"""Steps for the graceful shutdown of the proxy's server."""

import asyncio
import socket

from behave import then

from features.builders_proxy import (
    exchange_raw,
    running_server,
)
from rosemarydeal.proxy import bytes_response

TIMEOUT_S = 10.0


@then("the proxy finishes running requests when it drains")
def step_drain(context):
    started = asyncio.Event()
    proceed = asyncio.Event()

    async def handler(received):
        started.set()
        await proceed.wait()
        return bytes_response(200, b"done")

    async def check():
        async with running_server(handler) as server:
            address = server.address
            idle = await asyncio.open_connection(address.host, address.port)
            sent = b"GET / HTTP/1.1\r\nHost: a\r\n\r\n"
            reply_task = asyncio.create_task(exchange_raw(address, sent))
            await started.wait()
            drain_task = asyncio.create_task(server.drain(TIMEOUT_S))
            assert await idle[0].read() == b""
            idle[1].close()
            assert not drain_task.done()
            proceed.set()
            reply = await reply_task
            assert reply.endswith(b"done"), reply
            assert b"connection: close" in reply.lower()
            assert await drain_task

    asyncio.run(check())


@then("the proxy answers requests that are in transit when it drains")
def step_drain_in_transit(context):
    sent = b"GET / HTTP/1.1\r\nHost: a\r\n\r\n"

    async def connect(address, accepted):
        reader, writer = await asyncio.open_connection(address.host, address.port)
        if accepted:
            writer.write(sent)
            await reader.readuntil(b"GET / ")
        return reader, writer

    async def check():
        for accepted in (False, True):
            async with running_server() as server:
                reader, writer = await connect(server.address, accepted)
                drain_task = asyncio.create_task(server.drain(TIMEOUT_S))
                await asyncio.sleep(0)
                writer.write(sent)
                reply = await reader.read()
                assert reply.endswith(b"GET / "), reply
                assert b"connection: close" in reply.lower()
                writer.close()
                assert await drain_task

    asyncio.run(check())


@then("the proxy answers requests that arrive in any event loop turn of a drain")
def step_drain_turns(context):
    def connect(address):
        caller = socket.create_connection((address.host, address.port))
        caller.sendall(b"GET / HTTP/1.1\r\nhost: a\r\n\r\n")
        caller.setblocking(False)
        return caller

    async def check():
        for turns in range(6):
            async with running_server() as server:
                callers = [connect(server.address)]
                for _ in range(turns):
                    await asyncio.sleep(0)
                drain_task = asyncio.create_task(server.drain(TIMEOUT_S))
                callers.append(connect(server.address))
                loop = asyncio.get_running_loop()
                async with asyncio.timeout(TIMEOUT_S):
                    replies = [await loop.sock_recv(caller, 1000) for caller in callers]
                assert all(raw.startswith(b"HTTP/1.1 200") for raw in replies), turns
                for caller in callers:
                    caller.close()
                assert await drain_task

    asyncio.run(check())
