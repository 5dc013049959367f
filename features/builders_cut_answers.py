"""Upstreams of a deployment that write only the start of their first answers."""

from __future__ import annotations

import asyncio

from features.builders_daemon import read_request
from rosemarydeal.core import Address
from rosemarydeal.proxy import BytesBody, Request, find_header

PORT = 9001


def cut(answer, where):
    """Returns the start of an answer's bytes, which ends at a place in it."""
    lengths = {
        "in the status line": len(b"HTTP/1.1 20"),
        "in the name of a header": answer.lower().index(b"content-length") + 7,
        "in the length": answer.lower().index(b"content-length: ") + 17,
        "before the last line end": answer.index(b"\r\n\r\n") + 3,
        "in the body": len(answer) - 1,
    }
    return answer[: lengths[where]]


async def cut_first_answers(endpoint, host, where):
    """Replaces an endpoint's server by one that cuts the first answer to each request.

    Answers to calls and probes stay whole.
    """
    cut_requests = set()
    await endpoint._server.close()

    async def serve_connection(reader, writer):
        try:
            while True:
                request = await received_request(reader, host)
                answer = encode(await endpoint.answer(request))
                identity = find_header(request.headers, b"request-id")
                if endpoint.ran.count((identity or b"").decode()) == 1:
                    cut_requests.add(identity)
                    writer.write(cut(answer, where))
                    return
                writer.write(answer)
        except (ConnectionError, asyncio.IncompleteReadError):
            return
        finally:
            writer.close()

    server = await asyncio.start_server(serve_connection, host, PORT)
    endpoint._server = ClosingServer(server)
    return cut_requests


class ClosingServer:
    """Gives a server the interface by which an endpoint closes its own."""

    def __init__(self, server):
        self._server = server

    async def close(self):
        self._server.close()


async def received_request(reader, host):
    """Reads a request as the endpoint's handler takes it."""
    head, body = await read_request(reader)
    first, *lines = head[:-4].split(b"\r\n")
    method, target, _ = first.split(b" ")
    pairs = (line.partition(b":") for line in lines)
    headers = tuple((name.lower(), value.strip()) for name, _, value in pairs)
    return Request(method, target, headers, BytesBody(body), Address(host, PORT))


def encode(response):
    """Returns the bytes of a response whose body is in memory."""
    body = response.body.data
    lines = [b"HTTP/1.1 %d Status" % response.status]
    lines += [name + b": " + value for name, value in response.headers]
    lines.append(b"Content-Length: %d" % len(body))
    return b"\r\n".join([*lines, b"", body])
