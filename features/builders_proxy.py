"""Builds requests and small HTTP peers for the tests of the proxy."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from contextlib import asynccontextmanager

from rosemarydeal.core import Address
from rosemarydeal.proxy import (
    Handler,
    HttpLimits,
    HttpServer,
    Pool,
    PoolSettings,
    Request,
    Response,
    WholeBody,
    read_whole,
    serve,
    whole_response,
)

__all__ = [
    "LOOPBACK",
    "RawUpstream",
    "echo",
    "exchange_raw",
    "pool",
    "raw_upstream",
    "request",
    "running",
]

LOOPBACK = Address("127.0.0.1", 0)
BODY_BYTES = 1 << 24


def request(
    method: bytes = b"GET",
    target: bytes = b"/",
    body: bytes = b"",
    headers: tuple[tuple[bytes, bytes], ...] = (),
) -> Request:
    """Builds a request with a whole body."""
    return Request(method, target, headers, WholeBody(body), LOOPBACK)


async def echo(received: Request) -> Response:
    """Answers with the method, the target and the body of the request."""
    body = await read_whole(received.body, BODY_BYTES)
    return whole_response(
        200, b" ".join([received.method, received.target, body]), received.headers
    )


@asynccontextmanager
async def running(handler: Handler = echo, **limits):
    """Runs a server on loopback."""
    server: HttpServer = await serve(handler, LOOPBACK, HttpLimits(**limits))
    try:
        yield server
    finally:
        await server.close()


@asynccontextmanager
async def pool(**values):
    """Holds a pool of connections; `opened` counts the new ones."""
    opened = []
    made = Pool(PoolSettings(**values), on_open=opened.append)
    made_with_count = (made, opened)
    try:
        yield made_with_count
    finally:
        await made.close()


async def exchange_raw(address: Address, *segments: bytes) -> bytes:
    """Sends segments one by one and returns all bytes until the peer closes."""
    reader, writer = await asyncio.open_connection(address.host, address.port)
    try:
        for segment in segments:
            writer.write(segment)
            await asyncio.sleep(0)
        return await reader.read()
    finally:
        writer.close()


RawUpstream = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


@asynccontextmanager
async def raw_upstream(serve_one: RawUpstream):
    """Runs an upstream that writes raw bytes; gives its address."""

    async def connected(reader, writer):
        try:
            await serve_one(reader, writer)
        except ConnectionError:
            pass
        finally:
            writer.close()

    server = await asyncio.start_server(connected, "127.0.0.1", 0)
    try:
        yield Address(*server.sockets[0].getsockname()[:2])
    finally:
        server.close()
