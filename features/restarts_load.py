"""Callers that keep their connections open, and the checks of what they get."""

from __future__ import annotations

import asyncio
import random
import select
from dataclasses import dataclass

__all__ = ["Caller", "Exchange"]

TIME_LEFT_MS = 4000
# A process answers by the deadline; the machine may be busy.
ANSWER_LIMIT_S = 7.0
PAUSE_S = 0.05
CONNECT_PAUSE_S = 0.1
# A reset follows the end of a connection at once.
RESET_S = 0.02
HEAD_END = b"\r\n\r\n"


@dataclass(frozen=True)
class Exchange:
    """A request and what came of it.

    Attributes:
        request_id: Its id.
        order: Whether it must not run twice.
        program: The life of the process that it was sent to.
        status: Status of the answer; 0 if there was none.
        body: Body of the answer.
        signature: Signature of the answer, or empty.
        end: How it ended: answered, not read, ended, broken or late.
    """

    request_id: str
    order: bool
    program: object
    end: str
    status: int = 0
    body: bytes = b""
    signature: bytes = b""


class Caller:
    """Sends requests over one connection until the process ends it.

    Attributes:
        exchanges: What came of the requests.
    """

    def __init__(self, deployment, name, number, seed):
        self.exchanges = []
        self._deployment = deployment
        self._vm = name
        self._prefix = f"{name}-{number}"
        self._draws = random.Random(f"caller-{seed}-{name}-{number}")
        self._reader = self._writer = self._program = None

    async def run(self, until):
        """Sends requests until an event is set."""
        while not until.is_set():
            if self._writer is None and not await self._connect():
                await asyncio.sleep(CONNECT_PAUSE_S)
                continue
            await asyncio.sleep(self._draws.uniform(0.0, 2 * PAUSE_S))
            if self._reader.at_eof() or self._writer.is_closing():
                self._close()
                continue
            self.exchanges.append(await self._exchange())
        self._close()

    async def _connect(self):
        """Opens a connection; returns whether the process accepted it."""
        program = self._deployment.nodes[self._vm]
        host = self._deployment.hosts[self._vm]
        try:
            opened = await asyncio.open_connection(host, 9002)
        except OSError:
            return False
        self._reader, self._writer = opened
        self._program = program
        return True

    async def _exchange(self):
        """Sends a request and reads its answer."""
        order = self._draws.random() < 0.5
        kind, line = ("order", "POST /order/1") if order else ("lookup", "GET /a/1")
        request_id = f"{kind}-{self._prefix}-{len(self.exchanges)}"
        fields = [
            f"{line} HTTP/1.1",
            "host: h.example",
            f"request-id: {request_id}",
            f"deadline-ms: {TIME_LEFT_MS}",
            f"shard-key: {self._draws.randrange(65536)}",
            "content-length: 0\r\n\r\n",
        ]
        sent = request_id, order, self._program
        received = b""
        try:
            self._writer.write("\r\n".join(fields).encode())
            async with asyncio.timeout(ANSWER_LIMIT_S):
                received = await self._reader.readuntil(HEAD_END)
                status, headers = _parse(received)
                length = int(headers.get(b"content-length", 0))
                body = await self._reader.readexactly(length)
        except TimeoutError:
            self._close()
            return Exchange(*sent, "late")
        except asyncio.IncompleteReadError as error:
            crossed = await self._was_reset()
            self._close()
            if received or error.partial:
                return Exchange(*sent, "broken")
            return Exchange(*sent, "not read" if crossed else "ended")
        except ConnectionError:
            self._close()
            return Exchange(*sent, "broken" if received else "not read")
        if headers.get(b"connection") == b"close":
            self._close()
        signature = headers.get(b"response-signature", b"")
        return Exchange(*sent, "answered", status, body, signature)

    async def _was_reset(self):
        """Returns whether the process had closed before the request arrived.

        The request is answered with a reset then.
        """
        poll = select.poll()
        poll.register(self._writer.get_extra_info("socket"), 0)
        await asyncio.sleep(RESET_S)
        return bool(poll.poll(0))

    def _close(self):
        if self._writer is not None:
            self._writer.transport.abort()
            self._writer.close()
        self._reader = self._writer = None


def _parse(head):
    """Returns the status and the headers of an answer."""
    first, *lines = head[: -len(HEAD_END)].split(b"\r\n")
    fields = [line.partition(b":") for line in lines]
    headers = {name.lower(): value.strip().lower() for name, _, value in fields}
    return int(first.split(b" ")[1]), headers
