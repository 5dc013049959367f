import asyncio

from behave import then

from features.builders_proxy import pool, request, running
from rosemarydeal.proxy import Request, Response, read_whole

PIECE = b"z" * 50_000
PIECES = 200


@then("the proxy answers requests over one kept connection")
def step_kept(context):
    async def check():
        async with running() as server, pool() as (connections, opened):
            for number in range(5):
                sent = request(b"POST", b"/%d" % number, b"frame")
                response = await connections.send(server.address, sent, 5.0)
                body = await read_whole(response.body, 100)
                assert (response.status, body) == (200, b"POST /%d frame" % number)
            head = await connections.send(server.address, request(b"HEAD"), 5.0)
            assert await read_whole(head.body, 100) == b""
            assert (b"content-length", b"7") in head.headers
            assert len(opened) == 1

    asyncio.run(check())


@then("the proxy streams large bodies both ways")
def step_stream(context):
    async def pieces():
        for _ in range(PIECES):
            yield PIECE

    async def handler(received):
        async def back():
            async for piece in received.body:
                yield piece

        return Response(200, (), back())

    async def check():
        consumed = 0
        async with running(handler) as server, pool() as (connections, _):
            sent = Request(b"POST", b"/", (), pieces(), server.address)
            response = await connections.send(server.address, sent, 30.0)
            async for piece in response.body:
                consumed += len(piece)
                await asyncio.sleep(0)
        assert consumed == PIECES * len(PIECE)

    asyncio.run(check())


@then("the proxy cancels the handler when its caller disconnects")
def step_disconnect(context):
    started = asyncio.Event()
    cancelled = asyncio.Event()

    async def handler(received):
        started.set()
        try:
            await asyncio.Event().wait()
        except asyncio.CancelledError:
            cancelled.set()
            raise

    async def check():
        async with running(handler) as server:
            address = server.address
            _, writer = await asyncio.open_connection(address.host, address.port)
            writer.write(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
            await started.wait()
            writer.close()
            await asyncio.wait_for(cancelled.wait(), 5.0)

    asyncio.run(check())
