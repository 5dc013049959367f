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
SHORT_TIMEOUT_S = 0.05


async def expect_failure(connections, address, sent=None, timeout_s=TIMEOUT_S):
    try:
        response = await connections.send(address, sent or request(), timeout_s)
        await read_bytes(response.body, 1 << 20)
    except Exception as error:
        return error
    raise AssertionError(f"no failure but {response}")


def respond_with(*raw):
    async def serve_one(reader, writer):
        for data in raw:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(data)
            await writer.drain()

    return serve_one


@then("the pool distinguishes refused connections from failed sends")
def step_connect_failed(context):
    async def check():
        async with running_server() as server:
            address = server.address
        async with pool() as (connections, opened):
            error = await expect_failure(connections, address)
            assert isinstance(error, ConnectFailed) and not opened, error
        async with (
            raw_upstream(respond_with(b"")) as address,
            pool() as (connections, _),
        ):
            error = await expect_failure(connections, address)
            assert isinstance(error, SendFailed) and error.sent, error
            invalid = request(headers=((b"x y", b"z"),))
            error = await expect_failure(connections, address, invalid)
            assert isinstance(error, SendFailed) and not error.sent, error

    asyncio.run(check())


BROKEN_RESPONSES = (
    b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nab",
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab",
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n",
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nxx\r\n",
    b"HTTP/1.1 200 OK\r\nContent-Le",
)


@then("the pool reports an incomplete or malformed response as broken")
def step_response_broken(context):
    async def check():
        for raw in BROKEN_RESPONSES:
            async with (
                raw_upstream(respond_with(raw)) as address,
                pool() as (connections, _),
            ):
                error = await expect_failure(connections, address)
                assert isinstance(error, ResponseBroken), (raw, error)

    asyncio.run(check())


AMBIGUOUS_RESPONSES = (
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


@then("the pool rejects ambiguous responses")
def step_ambiguous_response(context):
    async def check():
        for raw in AMBIGUOUS_RESPONSES:
            async with (
                raw_upstream(respond_with(raw, raw)) as address,
                pool() as (connections, _),
            ):
                error = await expect_failure(connections, address)
                assert isinstance(error, ResponseBroken), (raw[:60], error)
                assert not connections.idle_connections

    asyncio.run(check())


@then("the pool raises the error of a failed request body")
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
            assert await expect_failure(connections, server.address, sent) is failed
            length = ((b"content-length", b"3"),)
            sent = Request(b"POST", b"/", length, too_long(), LOOPBACK)
            error = await expect_failure(connections, server.address, sent)
            assert isinstance(error, SendFailed) and error.sent, error
            assert not connections.idle_connections

    asyncio.run(check())


@then("the pool ends exchanges at their deadline")
def step_deadline(context):
    async def no_response(reader, writer):
        await reader.read()

    async def stalled_body(reader, writer):
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nab")
        await reader.read()

    async def check():
        for serve_one in (no_response, stalled_body):
            async with (
                raw_upstream(serve_one) as address,
                pool(connections_per_address=1) as (connections, _),
            ):
                first = asyncio.create_task(
                    expect_failure(connections, address, timeout_s=4 * SHORT_TIMEOUT_S)
                )
                await asyncio.sleep(0)
                error = await expect_failure(
                    connections, address, timeout_s=SHORT_TIMEOUT_S
                )
                assert isinstance(error, ProxyTimeout) and not error.sent, error
                error = await first
                assert isinstance(error, ProxyTimeout) and error.sent, error

    asyncio.run(check())


@then("the pool replaces an idle connection that was closed")
def step_replaced(context):
    reply = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

    async def check():
        async with (
            raw_upstream(respond_with(reply)) as address,
            pool() as (connections, opened),
        ):
            for _ in range(5):
                response = await connections.send(address, request(), TIMEOUT_S)
                assert await read_bytes(response.body, 9) == b"ok"
            assert len(opened) >= 2

    asyncio.run(check())


@then("the pool does not reuse a connection that was idle for too long")
def step_idle_too_long(context):
    # The upstream aborts a connection that is used after 0.3 s of idle time.
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
            for idle_s in (0.0, 0.05, 0.5, 0.05, 0.5):
                await asyncio.sleep(idle_s)
                response = await connections.send(address, request(), TIMEOUT_S, 0.2)
                assert response.status == 200
                await read_bytes(response.body, 9)
            assert len(opened) == 3, len(opened)

    asyncio.run(check())


@then("the pool never retries after the first byte was sent")
def step_no_retry(context):
    heads = []

    async def serve_one(reader, writer):
        heads.append(await reader.readuntil(b"\r\n\r\n"))
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
        heads.append(await reader.readuntil(b"\r\n\r\n"))

    async def check():
        async with raw_upstream(serve_one) as address, pool() as (connections, opened):
            await connections.send(address, request(), TIMEOUT_S)
            error = await expect_failure(connections, address)
            assert isinstance(error, SendFailed) and error.sent, error
            assert (len(heads), len(opened)) == (2, 1)

    asyncio.run(check())


@then("the pool closes a connection that received unsolicited bytes")
def step_unsolicited(context):
    extra = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwrong"
    served = []

    def response_bytes(size):
        head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % size
        return head + b"x" * size

    async def check_connection(length, separately):
        async def serve_one(reader, writer):
            served.append(1)
            await reader.readuntil(b"\r\n\r\n")
            writer.write(
                response_bytes(length) if separately else response_bytes(length) + extra
            )
            if separately:
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
    def check(length, separately):
        asyncio.run(check_connection(length, separately))

    check()


@then("the pool never exceeds its limit of connections")
def step_pool_limit(context):
    running = 0
    max_running = 0

    async def handler(received):
        nonlocal running, max_running
        running += 1
        max_running = max(max_running, running)
        await asyncio.sleep(0)
        running -= 1
        return await echo(received)

    async def check_response(connections, address, number):
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
                *(check_response(connections, server.address, n) for n in range(60))
            )
            assert connections.open_connections(server.address) <= 3
        assert max_running <= 3

    asyncio.run(check())


@then("the pool never returns the response to another request")
def step_no_mix_up(context):
    delays = st.lists(st.integers(0, 8), min_size=10, max_size=30)

    async def handler(received):
        for _ in range(int(received.target.rpartition(b"=")[2])):
            await asyncio.sleep(0)
        return bytes_response(200, received.target)

    async def check_response(connections, address: Address, number, delay):
        target = b"/%d?turns=%d" % (number, delay)
        sending = connections.send(address, request(target=target), TIMEOUT_S)
        task = asyncio.create_task(sending)
        if delay % 4 == 3:
            for _ in range(delay):
                await asyncio.sleep(0)
            task.cancel()
        try:
            response = await task
        except asyncio.CancelledError:
            return
        assert await read_bytes(response.body, 99) == target

    async def run_requests(turns):
        async with (
            running_server(handler) as server,
            pool(connections_per_address=4) as (connections, _),
        ):
            await asyncio.gather(
                *(
                    check_response(connections, server.address, number, delay)
                    for number, delay in enumerate(turns)
                )
            )

    @settings(derandomize=True, max_examples=25, deadline=None)
    @given(delays)
    def check(turns):
        asyncio.run(run_requests(turns))

    check()
