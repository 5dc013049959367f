"""Stand-ins whose answers never end, and programs that call them."""

from __future__ import annotations

import asyncio

from features.builders_node_programs import ProgramDeployment
from features.standin_endpoint import StandInEndpoint
from features.standin_stutter import read_request
from rosemarydeal.core import Address
from rosemarydeal.proxy import find_header

__all__ = ["ENDLESS", "EndlessDeployment", "serve_endless"]

MEMORY_MB = 200
BLOCK_BYTES = 64 * 1024
LARGE_BYTES = 24 * 1024 * 1024
OWN = b"HTTP/1.1 200 OK\r\nrequest-id: %s\r\nresponse-signature: s\r\n"
# The head of an answer and what follows it again and again.
ENDLESS = {
    "an endless status line": (b"HTTP/1.1 200 ", b"O"),
    "endless headers": (b"HTTP/1.1 200 OK\r\n", b"x: y\r\n"),
    "an endless body": (OWN + b"\r\n", b"x"),
    "an endless chunked body": (
        OWN + b"transfer-encoding: chunked\r\n\r\n",
        b"10000\r\n" + b"x" * 65536 + b"\r\n",
    ),
    "an endless chunk size": (OWN + b"transfer-encoding: chunked\r\n\r\n", b"1"),
    "a body of a terabyte": (OWN + b"content-length: 1000000000000\r\n\r\n", b"x"),
}


class EndlessEndpoint(StandInEndpoint):
    """An upstream that answers some paths without end, or with much."""

    async def start(self):
        self._server = await serve_endless(self.answer, Address(self._host, 9001))
        self._task = asyncio.create_task(self._announce())


class EndlessDeployment(ProgramDeployment):
    """Programs with little memory, whose upstreams may send without end."""

    endpoint_type = EndlessEndpoint

    def write_settings(self, name, **changes):
        return super().write_settings(name, memory_mb=MEMORY_MB, **changes)


async def serve_endless(answer, address, always=None):
    """Serves requests; those whose path names a form are answered without end.

    Args:
        answer: Coroutine that returns the response to a request.
        address: Address to listen on.
        always: Returns the form of all answers, or None.

    Returns:
        The server.
    """

    async def on_connected(reader, writer):
        try:
            while True:
                request = await read_request(reader)
                form = always() if always is not None else None
                form = form or _form_of(request.target)
                if form is None:
                    await _answer(answer, request, writer)
                else:
                    await _send_endless(form, request, writer)
        except (ConnectionError, EOFError, asyncio.CancelledError):
            writer.transport.abort()
        finally:
            writer.close()

    return await asyncio.start_server(on_connected, address.host, address.port)


def path_of(form):
    """Returns the path whose requests are answered in a form."""
    return f"/a/{form.replace(' ', '-')}"


def _form_of(target):
    forms = {path_of(form).encode(): form for form in (*ENDLESS, "many large answers")}
    return forms.get(target)


async def _answer(answer, request, writer):
    response = await answer(request)
    body = response.body.data
    if request.target == b"/a/2-MB":
        body = b"b" * 2_000_000
    fields = [name + b": " + value for name, value in response.headers]
    fields.append(b"content-length: %d" % len(body))
    head = b"HTTP/1.1 %d Answer\r\n" % response.status + b"\r\n".join(fields)
    writer.write(head + b"\r\n\r\n" + body)
    await writer.drain()


async def _send_endless(form, request, writer):
    identity = find_header(request.headers, b"request-id") or b"none"
    if form == "many large answers":
        head = OWN % identity + b"content-length: %d\r\n\r\n" % LARGE_BYTES
        writer.write(head + b"x" * LARGE_BYTES)
        await writer.drain()
        return
    first, endless = ENDLESS[form]
    writer.write(first % identity if b"%s" in first else first)
    block = endless * max(1, BLOCK_BYTES // len(endless))
    while True:
        writer.write(block)
        await writer.drain()
