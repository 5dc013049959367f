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
SHORT_TIMEOUT_S = 0.05
TIMEOUT_S = 10.0


async def pieces(count=PIECES):
    for _ in range(count):
        yield PIECE


def relay(connections, address):
    async def handler(received):
        return await connections.send(address, received, TIMEOUT_S)

    return handler


@then("the proxy answers several requests over one connection")
def step_keep_alive(context):
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


@then("the proxy streams large bodies in both directions")
def step_stream_bodies(context):
    async def echo_body(received):
        return Response(200, (), received.body)

    async def check():
        length = 0
        async with running_server(echo_body) as upstream, pool() as (connections, _):
            async with running_server(relay(connections, upstream.address)) as server:
                sent = Request(b"POST", b"/", (), pieces(), LOOPBACK)
                response = await connections.send(server.address, sent, 30.0)
                async for piece in response.body:
                    length += len(piece)
            assert length == PIECES * len(PIECE)

    asyncio.run(check())


@then("the proxy strips hop-by-hop headers in both directions")
def step_hop_by_hop(context):
    received_headers = []

    async def handler(received):
        received_headers.extend(received.headers)
        return bytes_response(200, b"", ((b"keep-alive", b"x"), (b"x-own", b"y")))

    async def check():
        async with running_server(handler) as server:
            reply = await exchange_raw(
                server.address,
                b"GET / HTTP/1.1\r\nHost: a\r\nConnection: close, X-Hop, Host\r\n"
                b"X-Hop: 1\r\nX-End: 2\r\nTE: trailers\r\nUpgrade: h2c\r\n"
                b"Proxy-Authorization: s\r\n\r\n",
            )
        assert received_headers == [(b"host", b"a"), (b"x-end", b"2")], received_headers
        assert b"keep-alive" not in reply.lower()
        assert b"x-own: y" in reply

    asyncio.run(check())


def encode_request(method, number, body, chunks):
    head = b"%s /%d HTTP/1.1\r\nHost: a\r\n" % (method, number)
    if method in (b"GET", b"HEAD"):
        return head + b"\r\n"
    if not chunks:
        return head + b"Content-Length: %d\r\n\r\n%s" % (len(body), body)
    cut = len(body) // 2
    parts = [part for part in (body[:cut], body[cut:]) if part]
    sent = b"".join(b"%x\r\n%s\r\n" % (len(part), part) for part in parts)
    return head + b"Transfer-Encoding: chunked\r\n\r\n" + sent + b"0\r\n\r\n"


@then("the proxy answers pipelined requests in order however their bytes are split")
def step_pipelined(context):
    method = st.sampled_from([b"GET", b"HEAD", b"POST"])
    requests = st.tuples(method, st.binary(max_size=40), st.booleans())

    async def check_order(address, requests, cuts):
        data = b"".join(
            encode_request(method, number, body, chunks)
            for number, (method, body, chunks) in enumerate(requests)
        )
        bounds = [0, *sorted({cut % len(data) for cut in cuts}), len(data)]
        segments = [data[a:b] for a, b in zip(bounds, bounds[1:], strict=False)]
        methods = [method for method, _, _ in requests]
        bodies = await read_responses(address, segments, methods)
        for number, (method, body, _) in enumerate(requests):
            sent = body if method == b"POST" else b""
            expected = b"%s /%d %s" % (method, number, sent)
            assert bodies[number] == (b"" if method == b"HEAD" else expected), bodies

    @settings(derandomize=True, max_examples=60, deadline=None)
    @given(
        st.lists(requests, min_size=1, max_size=6),
        st.lists(st.integers(0, 2000), max_size=12),
    )
    def check(requests, cuts):
        runner.run(check_order(address, requests, cuts))

    with asyncio.Runner() as runner:
        server_context = running_server()
        address = runner.run(server_context.__aenter__()).address
        check()
        runner.run(server_context.__aexit__(None, None, None))


@then("the proxy answers an HTTP/1.0 request and closes the connection")
def step_http_1_0(context):
    async def handler(received):
        return Response(200, (), pieces(2))

    async def check():
        async with running_server(handler) as server:
            reply = await exchange_raw(server.address, b"GET / HTTP/1.0\r\n\r\n")
        assert reply.partition(b"\r\n\r\n")[2] == PIECE * 2

    asyncio.run(check())


AMBIGUOUS_HEADERS = {
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
AMBIGUOUS_HEADS = {
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


@then("the proxy rejects each form of request smuggling without calling the handler")
def step_smuggling(context):
    handled_targets = []

    async def handler(received):
        handled_targets.append(received.target)
        return await echo(received)

    async def check():
        requests = dict(AMBIGUOUS_HEADS)
        for name, fields in AMBIGUOUS_HEADERS.items():
            head = b"POST / HTTP/1.1\r\nHost: a\r\n" + fields + b"\r\n"
            requests[name] = head + b"0\r\n\r\nGET /x HTTP/1.1\r\nHost: a\r\n\r\n"
        async with running_server(handler) as server:
            for name, sent in requests.items():
                reply = await exchange_raw(server.address, sent)
                assert reply.startswith(b"HTTP/1.1 400 "), (name, reply)
                assert b"\nHTTP/1.1 " not in reply, (name, reply)
                assert b"rosemarydeal-outcome: not-run" in reply, (name, reply)
        assert not handled_targets, handled_targets

    asyncio.run(check())


@then("the proxy rejects a malformed chunk in a body")
def step_malformed_chunk(context):
    async def check():
        head = b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
        malformed = (
            b"xyz\r\n",
            b"-1\r\n",
            b"3 \nabc\r\n",
            b"3\r\nabcd\r\n",
            b"f" * 30 + b"\r\n",
        )
        async with running_server() as server:
            for chunk in malformed:
                for valid_part in (b"", b"2\r\nab\r\n"):
                    reply = await exchange_raw(server.address, head + valid_part, chunk)
                    assert reply.startswith(b"HTTP/1.1 400 "), (chunk, reply)
                    assert b"\nHTTP/1.1 " not in reply, (chunk, reply)

    asyncio.run(check())


@then("the proxy rejects heads and bodies over their limits")
def step_size_limits(context):
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
                reply = await exchange_raw(server.address, sent)
                assert reply.startswith(b"HTTP/1.1 " + status), reply
            at_limit = (
                post + b"Connection: close\r\nContent-Length: 100\r\n\r\n" + b"x" * 100
            )
            reply = await exchange_raw(server.address, at_limit)
            assert reply.startswith(b"HTTP/1.1 200"), reply

    asyncio.run(check())


@then("the proxy rejects connections over the limit of an address")
def step_connection_limit(context):
    sent = b"GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"

    async def check():
        async with running_server(connections_per_address=2) as server:
            connections = [
                await asyncio.open_connection(server.address.host, server.address.port)
                for _ in range(2)
            ]
            reply = await exchange_raw(server.address, sent)
            assert reply.startswith(b"HTTP/1.1 429 "), reply
            assert b"rosemarydeal-outcome: not-run" in reply
            connections[0][1].close()
            await wait_until(lambda: server.connections == 1)
            reply = await exchange_raw(server.address, sent)
            assert reply.startswith(b"HTTP/1.1 200 "), reply
            connections[1][1].close()

    asyncio.run(check())


@then("the proxy rejects requests that are sent too slowly")
def step_slow_sender(context):
    post = b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\nab"

    async def check():
        limits = {"header_time_s": SHORT_TIMEOUT_S, "body_read_time_s": SHORT_TIMEOUT_S}
        async with running_server(**limits, idle_time_s=SHORT_TIMEOUT_S) as server:
            reply = await exchange_raw(server.address, b"GET / HT")
            assert reply.startswith(b"HTTP/1.1 408 "), reply
            assert b"rosemarydeal-outcome: not-run" in reply
            reply = await exchange_raw(server.address, post)
            assert reply.startswith(b"HTTP/1.1 408 "), reply
            assert await exchange_raw(server.address) == b""

    asyncio.run(check())


@then("the proxy aborts the connection of a caller that does not read")
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
        async with running_server(endless, write_time_s=SHORT_TIMEOUT_S) as server:
            address = server.address
            _, writer = await asyncio.open_connection(address.host, address.port)
            writer.transport.pause_reading()
            writer.write(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
            async with asyncio.timeout(TIMEOUT_S):
                await closed.wait()
            writer.close()

    asyncio.run(check())


@then("the proxy buffers few bytes for a caller that does not read")
def step_buffered_bytes(context):
    async def endless(received):
        async def forever():
            while True:
                yield PIECE

        return Response(200, (), forever())

    async def check():
        max_buffered = 0
        async with (
            running_server(endless) as upstream,
            pool() as (connections, _),
            running_server(relay(connections, upstream.address)) as server,
        ):
            address = server.address
            _, writer = await asyncio.open_connection(address.host, address.port)
            writer.transport.pause_reading()
            writer.write(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
            for _ in range(2000):
                await asyncio.sleep(0)
                buffered = server.buffered_bytes + upstream.buffered_bytes
                max_buffered = max(max_buffered, buffered)
            writer.close()
        assert 0 < max_buffered <= 4 * 65_536 + 2 * len(PIECE), max_buffered

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
            running_server(handler) as upstream,
            pool() as (connections, _),
            running_server(relay(connections, upstream.address)) as server,
        ):
            address = server.address
            _, writer = await asyncio.open_connection(address.host, address.port)
            writer.write(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
            async with asyncio.timeout(TIMEOUT_S):
                await started.wait()
                writer.close()
                await cancelled.wait()

    asyncio.run(check())


@then("the proxy closes a response body when its caller disconnects")
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


EXPECT_CONTINUE_REQUEST = (
    b"POST / HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\n"
    b"Connection: close\r\nContent-Length: 3\r\n\r\n"
)


@then("the proxy sends a 100 response only when the handler reads the body")
def step_continue(context):
    async def reject(received):
        return bytes_response(403, b"")

    async def check():
        async with running_server(reject) as server:
            reply = await exchange_raw(server.address, EXPECT_CONTINUE_REQUEST)
            assert reply.startswith(b"HTTP/1.1 403"), reply
        async with running_server() as server:
            address = server.address
            reader, writer = await asyncio.open_connection(address.host, address.port)
            writer.write(EXPECT_CONTINUE_REQUEST)
            head = await reader.readuntil(b"\r\n\r\n")
            assert head.startswith(b"HTTP/1.1 100"), head
            writer.write(b"abc")
            assert (await reader.read()).endswith(b"POST / abc")
            writer.close()

    asyncio.run(check())


@then("the proxy forwards the upstream's rejection without sending the body")
def step_continue_rejected(context):
    received_body = []

    async def reject(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(b"HTTP/1.1 417 No\r\nContent-Length: 0\r\n\r\n")
        received_body.append(await reader.read())

    async def check():
        async with (
            raw_upstream(reject) as address,
            pool() as (connections, _),
            running_server(relay(connections, address)) as server,
        ):
            reply = await exchange_raw(server.address, EXPECT_CONTINUE_REQUEST)
            assert reply.startswith(b"HTTP/1.1 417"), reply
        assert received_body == [b""], received_body

    asyncio.run(check())
