import asyncio

from behave import then
from hypothesis import given, settings
from hypothesis import strategies as st

from features.builders_proxy import (
    LOOPBACK,
    echo,
    exchange_raw,
    pool,
    raw_upstream,
    read_responses,
    request,
    running_server,
    wait_until,
)
from rosemarydeal.proxy import Request, Response, bytes_response, read_bytes

PIECE = b"z" * 50_000
PIECES = 200
SHORT_S = 0.05
TIMEOUT_S = 10.0


async def pieces(count=PIECES):
    for _ in range(count):
        yield PIECE


def relay(connections, address):
    async def handler(received):
        return await connections.send(address, received, TIMEOUT_S)

    return handler


@then("the proxy answers requests over one kept connection")
def step_kept(context):
    async def check():
        async with running_server() as server, pool() as (connections, opened):
            for number in range(5):
                sent = request(b"POST", b"/%d" % number, b"frame")
                response = await connections.send(server.address, sent, TIMEOUT_S)
                body = await read_bytes(response.body, 100)
                assert (response.status, body) == (200, b"POST /%d frame" % number)
            sent = request(b"HEAD")
            head = await connections.send(server.address, sent, TIMEOUT_S)
            assert await read_bytes(head.body, 100) == b""
            assert (b"content-length", b"7") in head.headers
            assert len(opened) == 1

    asyncio.run(check())


@then("the proxy streams large bodies both ways")
def step_stream(context):
    async def back(received):
        return Response(200, (), received.body)

    async def check():
        consumed = 0
        async with running_server(back) as end, pool() as (connections, _):
            async with running_server(relay(connections, end.address)) as server:
                sent = Request(b"POST", b"/", (), pieces(), LOOPBACK)
                response = await connections.send(server.address, sent, 30.0)
                async for piece in response.body:
                    consumed += len(piece)
            assert consumed == PIECES * len(PIECE)

    asyncio.run(check())


@then("the proxy strips the headers of single connections both ways")
def step_hops(context):
    seen = []

    async def handler(received):
        seen.extend(received.headers)
        return bytes_response(200, b"", ((b"keep-alive", b"x"), (b"x-own", b"y")))

    async def check():
        async with running_server(handler) as server:
            got = await exchange_raw(
                server.address,
                b"GET / HTTP/1.1\r\nHost: a\r\nConnection: close, X-Hop, Host\r\n"
                b"X-Hop: 1\r\nX-End: 2\r\nTE: trailers\r\nUpgrade: h2c\r\n"
                b"Proxy-Authorization: s\r\n\r\n",
            )
        assert seen == [(b"host", b"a"), (b"x-end", b"2")], seen
        assert b"keep-alive" not in got.lower()
        assert b"x-own: y" in got

    asyncio.run(check())


def encoded(method, number, body, chunks):
    head = b"%s /%d HTTP/1.1\r\nHost: a\r\n" % (method, number)
    if method in (b"GET", b"HEAD"):
        return head + b"\r\n"
    if not chunks:
        return head + b"Content-Length: %d\r\n\r\n%s" % (len(body), body)
    cut = len(body) // 2
    parts = [part for part in (body[:cut], body[cut:]) if part]
    sent = b"".join(b"%x\r\n%s\r\n" % (len(part), part) for part in parts)
    return head + b"Transfer-Encoding: chunked\r\n\r\n" + sent + b"0\r\n\r\n"


@then("the proxy answers pipelined requests in order however they are split")
def step_pipelined(context):
    method = st.sampled_from([b"GET", b"HEAD", b"POST"])
    asked = st.tuples(method, st.binary(max_size=40), st.booleans())

    async def one(address, asked, cuts):
        wire = b"".join(
            encoded(method, number, body, chunks)
            for number, (method, body, chunks) in enumerate(asked)
        )
        bounds = [0, *sorted({cut % len(wire) for cut in cuts}), len(wire)]
        segments = [wire[a:b] for a, b in zip(bounds, bounds[1:], strict=False)]
        methods = [method for method, _, _ in asked]
        answers = await read_responses(address, segments, methods)
        for number, (method, body, _) in enumerate(asked):
            sent = body if method == b"POST" else b""
            whole = b"%s /%d %s" % (method, number, sent)
            assert answers[number] == (b"" if method == b"HEAD" else whole), answers

    @settings(derandomize=True, max_examples=60, deadline=None)
    @given(
        st.lists(asked, min_size=1, max_size=6),
        st.lists(st.integers(0, 2000), max_size=12),
    )
    def check(asked, cuts):
        runner.run(one(address, asked, cuts))

    with asyncio.Runner() as runner:
        held = running_server()
        address = runner.run(held.__aenter__()).address
        check()
        runner.run(held.__aexit__(None, None, None))


@then("the proxy answers an HTTP/1.0 request and closes")
def step_old(context):
    async def handler(received):
        return Response(200, (), pieces(2))

    async def check():
        async with running_server(handler) as server:
            got = await exchange_raw(server.address, b"GET / HTTP/1.0\r\n\r\n")
        assert got.partition(b"\r\n\r\n")[2] == PIECE * 2

    asyncio.run(check())


SMUGGLING = {
    "both lengths": b"Content-Length: 3\r\nTransfer-Encoding: chunked\r\n",
    "two lengths": b"Content-Length: 3\r\nContent-Length: 4\r\n",
    "list of lengths": b"Content-Length: 3, 4\r\n",
    "signed length": b"Content-Length: +3\r\n",
    "long length": b"Content-Length: " + b"1" * 5000 + b"\r\n",
    "unknown encoding": b"Transfer-Encoding: gzip, chunked\r\n",
    "twice chunked": b"Transfer-Encoding: chunked, chunked\r\n",
    "folded": b"X-A: 1\r\n Content-Length: 3\r\n",
    "folded with tab": b"X-A: 1\r\n\tb\r\n",
    "NUL": b"X-A: 1\0\r\n",
    "bare CR": b"X-A: 1\rX-B: 2\r\n",
    "bare LF": b"X-A: 1\nX-B: 2\r\n",
    "space before the colon": b"Content-Length : 3\r\n",
    "space in the name": b"Content Length: 3\r\n",
    "no name": b": 3\r\n",
    "no colon": b"Content-Length\r\n",
    "two hosts": b"Host: b\r\n",
}
START_LINES = {
    "no host": b"GET / HTTP/1.1\r\n\r\n",
    "old version chunked": b"POST / HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n",
    "first line empty": b"\r\nGET / HTTP/1.1\r\nHost: a\r\n\r\n",
    "only LF": b"GET / HTTP/1.1\nHost: a\n\n",
    "two spaces": b"GET  / HTTP/1.1\r\nHost: a\r\n\r\n",
    "version": b"GET / HTTP/2.0\r\nHost: a\r\n\r\n",
    "absolute target": b"GET http://b/ HTTP/1.1\r\nHost: a\r\n\r\n",
    "fragment": b"GET /a#b HTTP/1.1\r\nHost: a\r\n\r\n",
    "NUL in target": b"GET /\0 HTTP/1.1\r\nHost: a\r\n\r\n",
    "junk": b"\x16\x03\x01\x00\r\n\r\n",
}


@then("the proxy refuses each smuggling shape without running it")
def step_smuggling(context):
    ran = []

    async def handler(received):
        ran.append(received.target)
        return await echo(received)

    async def check():
        shapes = dict(START_LINES)
        for name, fields in SMUGGLING.items():
            head = b"POST / HTTP/1.1\r\nHost: a\r\n" + fields + b"\r\n"
            shapes[name] = head + b"0\r\n\r\nGET /x HTTP/1.1\r\nHost: a\r\n\r\n"
        async with running_server(handler) as server:
            for name, sent in shapes.items():
                got = await exchange_raw(server.address, sent)
                assert got.startswith(b"HTTP/1.1 400 "), (name, got)
                assert b"\nHTTP/1.1 " not in got, (name, got)
                assert b"rosemarydeal-outcome: not-run" in got, (name, got)
        assert not ran, ran

    asyncio.run(check())


@then("the proxy refuses a broken chunk within a body")
def step_chunks(context):
    async def check():
        head = b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
        broken = (
            b"xyz\r\n",
            b"-1\r\n",
            b"3 \nabc\r\n",
            b"3\r\nabcd\r\n",
            b"f" * 30 + b"\r\n",
        )
        async with running_server() as server:
            for chunk in broken:
                for first in (b"", b"2\r\nab\r\n"):
                    got = await exchange_raw(server.address, head + first, chunk)
                    assert got.startswith(b"HTTP/1.1 400 "), (chunk, got)
                    assert b"\nHTTP/1.1 " not in got, (chunk, got)

    asyncio.run(check())


@then("the proxy refuses heads and bodies over their limits")
def step_limits(context):
    long_head = b"GET / HTTP/1.1\r\nHost: a\r\nX-A: " + b"x" * 600
    post = b"POST / HTTP/1.1\r\nHost: a\r\n"
    cases = (
        (long_head + b"\r\n\r\n", b"431"),
        (long_head, b"431"),
        (post + b"Content-Length: 101\r\n\r\n", b"413"),
        (
            post + b"Transfer-Encoding: chunked\r\n\r\n65\r\n" + b"x" * 101 + b"\r\n",
            b"413",
        ),
    )

    async def check():
        async with running_server(header_bytes=512, body_bytes=100) as server:
            for sent, status in cases:
                got = await exchange_raw(server.address, sent)
                assert got.startswith(b"HTTP/1.1 " + status), got
            fits = (
                post + b"Connection: close\r\nContent-Length: 100\r\n\r\n" + b"x" * 100
            )
            got = await exchange_raw(server.address, fits)
            assert got.startswith(b"HTTP/1.1 200"), got

    asyncio.run(check())


@then("the proxy refuses connections over the limit of an address")
def step_connections(context):
    sent = b"GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"

    async def check():
        async with running_server(connections_per_address=2) as server:
            held = [
                await asyncio.open_connection(server.address.host, server.address.port)
                for _ in range(2)
            ]
            got = await exchange_raw(server.address, sent)
            assert got.startswith(b"HTTP/1.1 429 "), got
            assert b"rosemarydeal-outcome: not-run" in got
            held[0][1].close()
            await wait_until(lambda: server.connections == 1)
            got = await exchange_raw(server.address, sent)
            assert got.startswith(b"HTTP/1.1 200 "), got
            held[1][1].close()

    asyncio.run(check())


@then("the proxy refuses slow senders")
def step_slow(context):
    post = b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\nab"

    async def check():
        times = {"header_time_s": SHORT_S, "body_read_time_s": SHORT_S}
        async with running_server(**times, idle_time_s=SHORT_S) as server:
            got = await exchange_raw(server.address, b"GET / HT")
            assert got.startswith(b"HTTP/1.1 408 "), got
            assert b"rosemarydeal-outcome: not-run" in got
            got = await exchange_raw(server.address, post)
            assert got.startswith(b"HTTP/1.1 408 "), got
            assert await exchange_raw(server.address) == b""

    asyncio.run(check())


@then("the proxy cuts a caller that does not read")
def step_slow_reader(context):
    closed = asyncio.Event()

    async def endless(received):
        async def forever():
            try:
                while True:
                    yield PIECE
            finally:
                closed.set()

        return Response(200, (), forever())

    async def check():
        async with running_server(endless, write_time_s=SHORT_S) as server:
            address = server.address
            _, writer = await asyncio.open_connection(address.host, address.port)
            writer.transport.pause_reading()
            writer.write(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
            async with asyncio.timeout(TIMEOUT_S):
                await closed.wait()
            writer.close()

    asyncio.run(check())


@then("the proxy holds few bytes for a caller that does not read")
def step_memory(context):
    async def endless(received):
        async def forever():
            while True:
                yield PIECE

        return Response(200, (), forever())

    async def check():
        widest = 0
        async with (
            running_server(endless) as end,
            pool() as (connections, _),
            running_server(relay(connections, end.address)) as server,
        ):
            address = server.address
            _, writer = await asyncio.open_connection(address.host, address.port)
            writer.transport.pause_reading()
            writer.write(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
            for _ in range(2000):
                await asyncio.sleep(0)
                held = server.buffered_bytes + end.buffered_bytes
                widest = max(widest, held)
            writer.close()
        assert 0 < widest <= 4 * 65_536 + 2 * len(PIECE), widest

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
        async with (
            running_server(handler) as end,
            pool() as (connections, _),
            running_server(relay(connections, end.address)) as server,
        ):
            address = server.address
            _, writer = await asyncio.open_connection(address.host, address.port)
            writer.write(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
            async with asyncio.timeout(TIMEOUT_S):
                await started.wait()
                writer.close()
                await cancelled.wait()

    asyncio.run(check())


@then("the proxy closes a body that nobody reads any more")
def step_body_closed(context):
    closed = asyncio.Event()

    async def handler(received):
        async def slow():
            try:
                yield PIECE
                await asyncio.Event().wait()
            finally:
                closed.set()

        return Response(200, (), slow())

    async def check():
        async with running_server(handler) as server, pool() as (connections, _):
            sent = request()
            async with await connections.send(server.address, sent, TIMEOUT_S):
                pass
            async with asyncio.timeout(TIMEOUT_S):
                await closed.wait()
            await wait_until(lambda: not connections.open_connections(server.address))

    asyncio.run(check())


EXPECTING = (
    b"POST / HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\n"
    b"Connection: close\r\nContent-Length: 3\r\n\r\n"
)


@then("the proxy lets the body come only when the handler wants it")
def step_continue(context):
    async def refuse(received):
        return bytes_response(403, b"")

    async def check():
        async with running_server(refuse) as server:
            got = await exchange_raw(server.address, EXPECTING)
            assert got.startswith(b"HTTP/1.1 403"), got
        async with running_server() as server:
            address = server.address
            reader, writer = await asyncio.open_connection(address.host, address.port)
            writer.write(EXPECTING)
            head = await reader.readuntil(b"\r\n\r\n")
            assert head.startswith(b"HTTP/1.1 100"), head
            writer.write(b"abc")
            assert (await reader.read()).endswith(b"POST / abc")
            writer.close()

    asyncio.run(check())


@then("the proxy forwards the upstream's refusal before the body")
def step_continue_refused(context):
    after_head = []

    async def refuse(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(b"HTTP/1.1 417 No\r\nContent-Length: 0\r\n\r\n")
        after_head.append(await reader.read())

    async def check():
        async with (
            raw_upstream(refuse) as address,
            pool() as (connections, _),
            running_server(relay(connections, address)) as server,
        ):
            got = await exchange_raw(server.address, EXPECTING)
            assert got.startswith(b"HTTP/1.1 417"), got
        assert after_head == [b""], after_head

    asyncio.run(check())
