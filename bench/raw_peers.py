"""Cheap callers and upstreams on raw sockets for benchmarks of a relay.

Their messages are fixed, so they check lengths instead of parsing; this keeps
their own share of the processor time small.
"""

from __future__ import annotations

import asyncio

from rosemarydeal.core import Address

__all__ = ["RawCaller", "call_all", "start_raw_upstream"]

HEAD_END = b"\r\n\r\n"
RESPONSE = (
    b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nX-Upstream: box-office-1\r\n"
    b"Content-Length: 128\r\n\r\n" + b"s" * 128
)


class _UpstreamProtocol(asyncio.Protocol):
    """Answers each request head with the same response."""

    def __init__(self) -> None:
        self._transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Stores the transport."""
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        """Sends one response per request head; requests have no body."""
        self._transport.write(RESPONSE * data.count(HEAD_END))


async def start_raw_upstream() -> tuple[asyncio.Server, Address]:
    """Starts the upstream and returns it with its address."""
    loop = asyncio.get_running_loop()
    server = await loop.create_server(_UpstreamProtocol, "127.0.0.1", 0)
    return server, Address(*server.sockets[0].getsockname()[:2])


class RawCaller(asyncio.Protocol):
    """Sends a request repeatedly over one connection, one at a time."""

    def __init__(self, request: bytes, count: int) -> None:
        """Creates the protocol.

        Args:
            request: The request, without a body.
            count: Number of times to send it.
        """
        self._request = request
        self._remaining = count
        self._received = b""
        self._transport: asyncio.Transport | None = None
        self.done: asyncio.Future[None] = asyncio.get_running_loop().create_future()

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Sends the first request."""
        self._transport = transport
        transport.write(self._request)

    def data_received(self, data: bytes) -> None:
        """Sends the next request once the response is complete."""
        self._received += data
        end = self._received.find(HEAD_END)
        if end < 0 or len(self._received) < end + len(HEAD_END) + self._body_length(
            end
        ):
            return
        if not self._received.startswith(b"HTTP/1.1 200"):
            self._fail(self._received)
            return
        self._received = b""
        self._remaining -= 1
        if self._remaining:
            self._transport.write(self._request)
        elif not self.done.done():
            self._transport.close()
            self.done.set_result(None)

    def connection_lost(self, exc: Exception | None) -> None:
        """Reports an error if responses are missing."""
        self._fail(b"connection lost before all responses arrived")

    def _body_length(self, end: int) -> int:
        """Returns the length of the body, from its header."""
        head = self._received[:end].lower()
        return int(head.partition(b"content-length:")[2].partition(b"\r\n")[0])

    def _fail(self, detail: bytes) -> None:
        """Sets an error unless the result is already set."""
        if not self.done.done():
            self._transport.close()
            self.done.set_exception(RuntimeError(detail.decode("latin-1")))


async def call_all(address: Address, requests: list[bytes], count: int) -> None:
    """Sends requests concurrently, each over its own connection.

    Args:
        address: Address of the server.
        requests: The request of each connection.
        count: Number of times that each connection sends its request.
    """
    loop = asyncio.get_running_loop()
    callers = []
    for request in requests:
        _, caller = await loop.create_connection(
            lambda request=request: RawCaller(request, count),
            address.host,
            address.port,
        )
        callers.append(caller)
    await asyncio.gather(*[caller.done for caller in callers])
