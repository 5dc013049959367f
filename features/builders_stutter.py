"""Builders of an upstream that writes prepared bytes, such as copies of its answers."""

from __future__ import annotations

import asyncio
import re
from contextlib import asynccontextmanager
from dataclasses import dataclass

from features.builders_fleet_types import a_routed_request
from features.builders_proxy import raw_upstream
from rosemarydeal.core.requests import UpstreamRequest
from rosemarydeal.platform.upstream import UpstreamClient

CONNECTIONS = 4
TIMEOUT_S = 2.0
# Time in which the client reads what was written before.
PAUSE = 0.05


def an_answer(request_id, body=b"", status=b"200 OK", headers=(), framed=True):
    """Returns the bytes of an answer, without a length if it is not framed."""
    lines = [b"HTTP/1.1 " + status, *headers]
    if request_id:
        lines.append(b"Request-Id: " + request_id.encode())
    if status.startswith(b"200"):
        lines.append(b"Response-Signature: s-" + request_id.encode())
    if framed:
        lines.append(b"Content-Length: %d" % len(body))
    return b"\r\n".join([*lines, b"", body])


def a_refusal(request_id, status=b"503 Full"):
    return an_answer(request_id, b"", status, (b"Not-Executed: 1",))


def a_call_answer(status=b"200 OK", headers=()):
    """Returns the bytes of an answer to a call, which names no request."""
    return b"\r\n".join(
        [b"HTTP/1.1 " + status, *headers, b"Content-Length: 0", b"", b""]
    )


@dataclass(frozen=True)
class EchoedAnswer:
    """An answer that echoes the id of a request on its connection.

    Attributes:
        exchange: Index of that request.
        headers: Further headers.
    """

    exchange: int
    headers: tuple = ()

    def to_bytes(self, heads):
        identity = re.search(rb"(?i)request-id: ([^\r]+)", heads[self.exchange])[1]
        return a_call_answer(headers=(b"Request-Id: " + identity, *self.headers))


class ScriptedUpstream:
    """Writes the next prepared answer for each request it reads.

    An answer is a list of bytes or echoed answers to write and of pauses in seconds.
    After the last prepared answer of a connection, the connection is closed.

    Attributes:
        requests: The heads received, with the numbers of their connections.
    """

    def __init__(self, *connections, limit=CONNECTIONS):
        self._scripts = list(connections)
        self._limit = limit
        self.requests = []
        self._opened = 0

    @asynccontextmanager
    async def client(self):
        """Runs the upstream; yields a client of it."""
        async with raw_upstream(self._serve) as address:
            client = UpstreamClient(address, self._limit)
            try:
                yield client
            finally:
                await client.close()

    async def _serve(self, reader, writer):
        number, self._opened = self._opened, self._opened + 1
        heads = []
        for answer in self._scripts[number]:
            heads.append(await reader.readuntil(b"\r\n\r\n"))
            self.requests.append((number, heads[-1]))
            for part in answer:
                match part:
                    case float():
                        await asyncio.sleep(part)
                    case EchoedAnswer():
                        writer.write(part.to_bytes(heads))
                    case bytes():
                        writer.write(part)


def an_upstream_request(request_id="r1", **changes):
    return UpstreamRequest(a_routed_request(request_id, **changes), "i", TIMEOUT_S)


def run_requests(upstream, *request_ids):
    """Sends requests one after the other; returns their results."""

    async def go():
        async with upstream.client() as client:
            return [
                await client.run(an_upstream_request(request_id))
                for request_id in request_ids
            ]

    return asyncio.run(go())
