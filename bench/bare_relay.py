"""Minimal HTTP relay on h11 and asyncio streams.

It has no checks, limits or timeouts, so it gives the lower bound of the cost of
a relay on these libraries; the data path is compared with it.
"""

from __future__ import annotations

import asyncio

import h11

from rosemarydeal.core import Address

__all__ = ["start_bare_relay"]

READ_BYTES = 65_536


async def start_bare_relay(upstream: Address) -> tuple[asyncio.Server, Address]:
    """Starts a relay with one connection to the upstream for each caller.

    Args:
        upstream: Address to relay to.

    Returns:
        The server and its address.
    """

    async def relay(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        upstream_reader, upstream_writer = await asyncio.open_connection(
            upstream.host, upstream.port
        )
        caller_state = h11.Connection(h11.SERVER)
        upstream_state = h11.Connection(h11.CLIENT)
        try:
            while await _copy(caller_state, reader, upstream_state, upstream_writer):
                await _copy(upstream_state, upstream_reader, caller_state, writer)
                caller_state.start_next_cycle()
                upstream_state.start_next_cycle()
        except (ConnectionError, asyncio.CancelledError):
            writer.transport.abort()
        finally:
            writer.close()
            upstream_writer.close()

    server = await asyncio.start_server(relay, "127.0.0.1", 0)
    return server, Address(*server.sockets[0].getsockname()[:2])


async def _copy(
    source: h11.Connection,
    reader: asyncio.StreamReader,
    sink: h11.Connection,
    writer: asyncio.StreamWriter,
) -> bool:
    """Copies one message; returns False if the connection was closed instead."""
    while True:
        event = source.next_event()
        if event is h11.NEED_DATA:
            source.receive_data(await reader.read(READ_BYTES))
        elif type(event) is h11.ConnectionClosed:
            return False
        else:
            writer.write(sink.send(event))
            await writer.drain()
            if type(event) is h11.EndOfMessage:
                return True
