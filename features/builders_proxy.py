"""Requests, servers and raw upstreams for the tests of the proxy package."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from contextlib import asynccontextmanager

import h11

from rosemarydeal.core import Address
from rosemarydeal.proxy import (
    BytesBody,
    Handler,
    HttpLimits,
    HttpServer,
    Pool,
    PoolSettings,
    Request,
    Response,
    bytes_response,
    read_bytes,
    serve,
)

__all__ = [
    "LOOPBACK",
    "RawUpstream",
    "echo",
    "exchange_raw",
    "pool",
    "raw_upstream",
    "read_responses",
    "request",
    "running_server",
    "wait_until",
]

LOOPBACK = Address("127.0.0.1", 0)
BODY_BYTES = 1 << 24
HOST = [("host", "a")]
TURNS_PER_SEGMENT = 3
MAX_TURNS = 10_000


def request(
    method: bytes = b"GET",
    target: bytes = b"/",
    body: bytes = b"",
    headers: tuple[tuple[bytes, bytes], ...] = (),
) -> Request:
    """Builds a request with a body in memory."""
    return Request(method, target, headers, BytesBody(body), LOOPBACK)


async def echo(received: Request) -> Response:
    """Responds with the method, the target and the body of the request."""
    body = await read_bytes(received.body, BODY_BYTES)
    return bytes_response(
        200, b" ".join([received.method, received.target, body]), received.headers
    )


@asynccontextmanager
async def running_server(handler: Handler = echo, **limits):
    """Runs a server on loopback."""
    server: HttpServer = await serve(handler, LOOPBACK, HttpLimits(**limits))
    try:
        yield server
    finally:
        await server.close()


async def wait_until(condition: Callable[[], bool]) -> None:
    """Runs the event loop until a condition holds, for at most `MAX_TURNS` turns."""
    for _ in range(MAX_TURNS):
        if condition():
            return
        await asyncio.sleep(0)
    raise AssertionError("the condition never held")


@asynccontextmanager
async def pool(**values):
    """Yields a pool and the list of the addresses of the connections it opened."""
    opened = []
    connections = Pool(PoolSettings(**values), on_open=opened.append)
    try:
        yield connections, opened
    finally:
        await connections.close()


async def exchange_raw(address: Address, *segments: bytes) -> bytes:
    """Sends segments one by one; returns all bytes until the peer closes."""
    reader, writer = await asyncio.open_connection(address.host, address.port)
    try:
        for segment in segments:
            writer.write(segment)
            await asyncio.sleep(0)
        return await reader.read()
    finally:
        writer.close()


async def read_responses(
    address: Address, segments: list[bytes], methods: list[bytes]
) -> list[bytes]:
    """Sends pipelined requests in segments; returns the bodies of the responses.

    Args:
        address: Address of the server.
        segments: Parts of the request bytes, which the server receives separately.
        methods: Methods of the requests, in order.
    """
    reader, writer = await asyncio.open_connection(address.host, address.port)
    parser = h11.Connection(h11.CLIENT)
    bodies = []
    try:
        for segment in segments:
            writer.write(segment)
            for _ in range(TURNS_PER_SEGMENT):
                await asyncio.sleep(0)
        for method in methods:
            parser.send(h11.Request(method=method, target="/", headers=HOST))
            parser.send(h11.EndOfMessage())
            bodies.append(await _read_body(reader, parser))
            parser.start_next_cycle()
    finally:
        writer.close()
    return bodies


async def _read_body(reader: asyncio.StreamReader, parser: h11.Connection) -> bytes:
    """Reads one response and returns its body."""
    body = b""
    while True:
        event = parser.next_event()
        if event is h11.NEED_DATA:
            parser.receive_data(await reader.read(65_536))
        elif type(event) is h11.Data:
            body += bytes(event.data)
        elif type(event) is h11.EndOfMessage:
            return body


RawUpstream = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


@asynccontextmanager
async def raw_upstream(serve_one: RawUpstream):
    """Runs an upstream that writes raw bytes; yields its address."""

    async def on_connected(reader, writer):
        try:
            await serve_one(reader, writer)
        except (ConnectionError, EOFError, asyncio.CancelledError):
            writer.transport.abort()
        finally:
            writer.close()

    server = await asyncio.start_server(on_connected, "127.0.0.1", 0)
    try:
        yield Address(*server.sockets[0].getsockname()[:2])
    finally:
        server.close()
