"""Small HTTP/1.1 server and client for the stand-ins of the review.

Uses the standard library only, and none of the project's code.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

MAX_HEAD = 65_536
REASON = "X"


@dataclass
class Call:
    """A request that was received whole."""

    method: str
    path: str
    headers: dict[str, str]
    body: bytes
    peer: tuple[str, int]
    # Set once the caller has closed its connection.
    closed: asyncio.Event = field(default_factory=asyncio.Event)


@dataclass
class Reply:
    """An answer; `status` 0 ends the connection without one."""

    status: int
    body: bytes = b""
    headers: dict[str, str] = field(default_factory=dict)


Handler = Callable[[Call], Awaitable[Reply]]


class ConnectionEnded(Exception):
    """The other side ended the connection."""


async def read_message(
    reader: asyncio.StreamReader,
) -> tuple[str, dict[str, str], bytes]:
    """Reads a head and a body with a length or in chunks."""
    try:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        first, *lines = head[:-4].split("\r\n")
        headers = {}
        for line in lines:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
        if headers.get("transfer-encoding", "").lower() == "chunked":
            return first, headers, await _read_chunks(reader)
        body = await reader.readexactly(int(headers.get("content-length", "0")))
    except (asyncio.IncompleteReadError, OSError) as error:
        raise ConnectionEnded from error
    return first, headers, body


async def _read_chunks(reader: asyncio.StreamReader) -> bytes:
    """Reads a body in chunks."""
    body = b""
    while True:
        size = int((await reader.readline()).split(b";")[0], 16)
        body += await reader.readexactly(size)
        await reader.readline()
        if not size:
            return body


class Server:
    """Serves one request at a time on each connection."""

    def __init__(self, handler: Handler) -> None:
        self._handler = handler
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self._dark = False
        # Connections of a former life stay silent.
        self._life = 0

    async def start(self, host: str, port: int) -> int:
        """Listens and returns the port."""
        self._server = await asyncio.start_server(
            self._accept, host, port, limit=MAX_HEAD, backlog=1024
        )
        return self._server.sockets[0].getsockname()[1]

    def go_dark(self) -> None:
        """Answers nothing more; open connections and new ones stay silent."""
        self._life, self._dark = self._life + 1, True

    def wake(self) -> None:
        """Serves new connections again; those of before stay silent."""
        self._life, self._dark = self._life + 1, False

    async def stop(self) -> None:
        """Stops listening and resets all connections, as a crash does."""
        if self._server is not None:
            self._server.close()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        self._tasks.add(task)
        try:
            await self._serve(reader, writer)
        except (ConnectionEnded, OSError, asyncio.CancelledError):
            pass
        finally:
            self._tasks.discard(task)
            writer.transport.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        peer = writer.get_extra_info("peername")
        life = self._life
        while True:
            first, headers, body = await read_message(reader)
            method, path, _ = first.split(" ", 2)
            call = Call(method, path, headers, body, peer)
            reply = await self._answer(call, reader, life)
            if reply is None or reply.status == 0:
                return
            head = f"HTTP/1.1 {reply.status} {REASON}\r\n"
            fields = {"Content-Length": str(len(reply.body)), **reply.headers}
            head += "".join(f"{name}: {text}\r\n" for name, text in fields.items())
            writer.write(head.encode("latin-1") + b"\r\n" + reply.body)
            await writer.drain()

    async def _handle(self, call: Call, life: int) -> Reply:
        """Runs the handler, but never ends once the life has ended."""
        silent = self._dark or life != self._life
        reply = None if silent else await self._handler(call)
        if reply is None or life != self._life:
            await asyncio.sleep(3600)
        return reply

    async def _answer(
        self, call: Call, reader: asyncio.StreamReader, life: int
    ) -> Reply | None:
        """Runs the handler; it is cancelled when the caller leaves."""
        work = asyncio.ensure_future(self._handle(call, life))
        while True:
            done, _ = await asyncio.wait({work}, timeout=0.01)
            if done:
                return work.result()
            if reader.at_eof() or reader.exception() is not None:
                call.closed.set()
                work.cancel()
                return None


async def fetch(
    host: str,
    port: int,
    method: str,
    path: str,
    headers: dict[str, str],
    body: bytes = b"",
    timeout_s: float = 5.0,
) -> Reply:
    """Sends one request on a new connection and returns the answer.

    Raises:
        ConnectionEnded: No whole answer came on the connection.
        TimeoutError: No answer came in time.
    """
    async with asyncio.timeout(timeout_s):
        try:
            reader, writer = await asyncio.open_connection(host, port)
        except OSError as error:
            raise ConnectionEnded from error
        try:
            fields = {"Host": host, "Content-Length": str(len(body)), **headers}
            head = f"{method} {path} HTTP/1.1\r\n"
            head += "".join(f"{name}: {text}\r\n" for name, text in fields.items())
            writer.write(head.encode("latin-1") + b"\r\n" + body)
            first, answer_headers, answer = await read_message(reader)
            return Reply(int(first.split(" ")[1]), answer, answer_headers)
        except (IndexError, ValueError) as error:
            raise ConnectionEnded from error
        finally:
            writer.transport.abort()
