import asyncio

from behave import then
from hypothesis import given, settings
from hypothesis import strategies as st

from features.builders_proxy import (
    LOOPBACK,
    echo,
    pool,
    raw_upstream,
    request,
    running_server,
)
from rosemarydeal.core import Address
from rosemarydeal.proxy import (
    BadMessage,
    ConnectFailed,
    ProxyTimeout,
    Request,
    ResponseBroken,
    SendFailed,
    bytes_response,
    read_bytes,
)

TIMEOUT_S = 10.0
SHORT_S = 0.05


async def failure(connections, address, sent=None, timeout_s=TIMEOUT_S):
    try:
        response = await connections.send(address, sent or request(), timeout_s)
        await read_bytes(response.body, 1 << 20)
    except Exception as error:
        return error
    raise AssertionError(f"no failure but {response}")


def answering(*raw):
    async def serve_one(reader, writer):
        for data in raw:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(data)
            await writer.drain()

    return serve_one


@then("the pool tells refused connections from broken ones")
def step_refused(context):
    async def check():
        async with running_server() as server:
            address = server.address
        async with pool() as (connections, opened):
            error = await failure(connections, address)
            assert isinstance(error, ConnectFailed) and not opened, error
        async with raw_upstream(answering(b"")) as address, pool() as (connections, _):
            error = await failure(connections, address)
            assert isinstance(error, SendFailed) and error.sent, error
            invalid = request(headers=((b"x y", b"z"),))
            error = await failure(connections, address, invalid)
            assert isinstance(error, SendFailed) and not error.sent, error

    asyncio.run(check())


BROKEN = (
    b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nab",
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab",
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n",
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nxx\r\n",
    b"HTTP/1.1 200 OK\r\nContent-Le",
)


@then("the pool tells a broken response from a broken request")
def step_broken(context):
    async def check():
        for raw in BROKEN:
            async with (
                raw_upstream(answering(raw)) as address,
                pool() as (connections, _),
            ):
                error = await failure(connections, address)
                assert isinstance(error, ResponseBroken), (raw, error)

    asyncio.run(check())


MISREAD = (
    b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n",
    b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nabc",
    b"HTTP/1.1 200 OK\r\nX-A: 1\r\n Content-Length: 2\r\n\r\nab",
    b"HTTP/1.1 200 OK\r\nX-A: 1\0\r\nContent-Length: 2\r\n\r\nab",
    b"HTTP/1.1 200 OK\r\nX-A: 1\rContent-Length: 2\r\n\r\nab",
    b"HTTP/1.1 200 OK\nContent-Length: 2\n\nab\r\n\r\n",
    b"HTTP/1.1 200 OK\r\nContent-Length : 2\r\n\r\nab",
    b"HTTP/1.1 101 Up\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n",
    b"HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
    b"HTTP/1.1 200 OK\r\nX-A: " + b"x" * 40_000 + b"\r\n\r\n",
    b"SSH-2.0-x\r\n\r\n",
)


@then("the pool refuses responses that could be read differently")
def step_misread(context):
    async def check():
        for raw in MISREAD:
            async with (
                raw_upstream(answering(raw, raw)) as address,
                pool() as (connections, _),
            ):
                error = await failure(connections, address)
                assert isinstance(error, ResponseBroken), (raw[:60], error)
                assert not connections.idle_connections

    asyncio.run(check())


@then("the pool passes on the failure of a request's body")
def step_body_failure(context):
    failed = BadMessage("the caller's chunk was broken")

    async def failing():
        yield b"abc"
        raise failed

    async def too_long():
        yield b"abcdef"

    async def check():
        async with running_server() as server, pool() as (connections, _):
            sent = Request(b"POST", b"/", (), failing(), LOOPBACK)
            assert await failure(connections, server.address, sent) is failed
            length = ((b"content-length", b"3"),)
            sent = Request(b"POST", b"/", length, too_long(), LOOPBACK)
            error = await failure(connections, server.address, sent)
            assert isinstance(error, SendFailed) and error.sent, error
            assert not connections.idle_connections

    asyncio.run(check())


@then("the pool ends exchanges in time")
def step_time(context):
    async def silent(reader, writer):
        await reader.read()

    async def stuck(reader, writer):
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nab")
        await reader.read()

    async def check():
        for serve_one in (silent, stuck):
            async with (
                raw_upstream(serve_one) as address,
                pool(connections_per_address=1) as (connections, _),
            ):
                first = asyncio.create_task(
                    failure(connections, address, timeout_s=4 * SHORT_S)
                )
                await asyncio.sleep(0)
                error = await failure(connections, address, timeout_s=SHORT_S)
                assert isinstance(error, ProxyTimeout) and not error.sent, error
                error = await first
                assert isinstance(error, ProxyTimeout) and error.sent, error

    asyncio.run(check())


@then("the pool replaces a kept connection that was closed")
def step_replaced(context):
    whole = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

    async def check():
        async with (
            raw_upstream(answering(whole)) as address,
            pool() as (connections, opened),
        ):
            for _ in range(5):
                response = await connections.send(address, request(), TIMEOUT_S)
                assert await read_bytes(response.body, 9) == b"ok"
            assert len(opened) >= 2

    asyncio.run(check())


@then("the pool passes over a kept connection that has rested for too long")
def step_rested(context):
    # The upstream forgets a connection that has rested for 0.3 s.
    async def serve_one(reader, writer):
        try:
            async with asyncio.timeout(0.3) as time:
                while True:
                    await reader.readuntil(b"\r\n\r\n")
                    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
                    time.reschedule(asyncio.get_running_loop().time() + 0.3)
        except TimeoutError:
            await reader.read(1)
            writer.transport.abort()

    async def check():
        async with (
            raw_upstream(serve_one) as address,
            pool() as (connections, opened),
        ):
            for rest_s in (0.0, 0.05, 0.5, 0.05, 0.5):
                await asyncio.sleep(rest_s)
                response = await connections.send(address, request(), TIMEOUT_S, 0.2)
                assert response.status == 200
                await read_bytes(response.body, 9)
            assert len(opened) == 3, len(opened)

    asyncio.run(check())


@then("the pool never retries after the first byte")
def step_no_retry(context):
    heads = []

    async def serve_one(reader, writer):
        heads.append(await reader.readuntil(b"\r\n\r\n"))
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
        heads.append(await reader.readuntil(b"\r\n\r\n"))

    async def check():
        async with raw_upstream(serve_one) as address, pool() as (connections, opened):
            await connections.send(address, request(), TIMEOUT_S)
            error = await failure(connections, address)
            assert isinstance(error, SendFailed) and error.sent, error
            assert (len(heads), len(opened)) == (2, 1)

    asyncio.run(check())


@then("the pool drops a connection that got bytes unasked")
def step_unasked(context):
    extra = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwrong"
    served = []

    def answer(fill):
        head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % fill
        return head + b"x" * fill

    async def one(length, late):
        async def serve_one(reader, writer):
            served.append(1)
            await reader.readuntil(b"\r\n\r\n")
            writer.write(answer(length) if late else answer(length) + extra)
            if late:
                await asyncio.sleep(0)
                writer.write(extra)
            await reader.read()

        async with raw_upstream(serve_one) as address, pool() as (connections, opened):
            for _ in range(2):
                response = await connections.send(address, request(), TIMEOUT_S)
                body = await read_bytes(response.body, 1 << 20)
                assert body == b"x" * length, body[:20]
                for _ in range(5):
                    await asyncio.sleep(0)
            assert len(opened) == 2

    @settings(derandomize=True, max_examples=20, deadline=None)
    @given(st.integers(0, 70) | st.integers(65_470, 65_540), st.booleans())
    def check(length, late):
        asyncio.run(one(length, late))

    check()


@then("the pool keeps to its number of connections")
def step_bounded(context):
    busy = 0
    busiest = 0

    async def handler(received):
        nonlocal busy, busiest
        busy += 1
        busiest = max(busiest, busy)
        await asyncio.sleep(0)
        busy -= 1
        return await echo(received)

    async def one(connections, address, number):
        sent = request(target=b"/%d" % number)
        if number % 5 == 0:
            task = asyncio.create_task(connections.send(address, sent, TIMEOUT_S))
            await asyncio.sleep(0)
            task.cancel()
            return
        response = await connections.send(address, sent, TIMEOUT_S)
        assert await read_bytes(response.body, 99) == b"GET /%d " % number

    async def check():
        async with (
            running_server(handler) as server,
            pool(connections_per_address=3) as (connections, _),
        ):
            await asyncio.gather(
                *(one(connections, server.address, n) for n in range(60))
            )
            assert connections.open_connections(server.address) <= 3
        assert busiest <= 3

    asyncio.run(check())


@then("the pool never crosses answers")
def step_crossed(context):
    delays = st.lists(st.integers(0, 8), min_size=10, max_size=30)

    async def handler(received):
        for _ in range(int(received.target.rpartition(b"=")[2])):
            await asyncio.sleep(0)
        return bytes_response(200, received.target)

    async def one(connections, address: Address, number, delay):
        target = b"/%d?turns=%d" % (number, delay)
        asked = connections.send(address, request(target=target), TIMEOUT_S)
        task = asyncio.create_task(asked)
        if delay % 4 == 3:
            for _ in range(delay):
                await asyncio.sleep(0)
            task.cancel()
        try:
            response = await task
        except asyncio.CancelledError:
            return
        assert await read_bytes(response.body, 99) == target

    async def all_of(turns):
        async with (
            running_server(handler) as server,
            pool(connections_per_address=4) as (connections, _),
        ):
            await asyncio.gather(
                *(
                    one(connections, server.address, number, delay)
                    for number, delay in enumerate(turns)
                )
            )

    @settings(derandomize=True, max_examples=25, deadline=None)
    @given(delays)
    def check(turns):
        asyncio.run(all_of(turns))

    check()
