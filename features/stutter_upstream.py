"""An upstream that carries out a plan for each exchange, and records what it did."""

from __future__ import annotations

import asyncio
import json
import re
import socket
import struct
from contextlib import asynccontextmanager
from dataclasses import dataclass, field

from features.builders_proxy import raw_upstream
from features.stutter_plans import PAUSE, Ending, Plan, parts_of
from rosemarydeal.platform.upstream import UpstreamClient

__all__ = ["Attempt", "StutteringUpstream"]

# Long enough for the client, in the same event loop, to read what was written.
PAUSE_S = 0.001
DISTURBED_IDLE_S = 0.2
ATTEMPT = re.compile(rb"\r\nattempt: (\d+)\r\n", re.IGNORECASE)
REQUEST_ID = re.compile(rb"\r\nrequest-id: ([^\r]+)\r\n", re.IGNORECASE)
LENGTH = re.compile(rb"\r\ncontent-length: (\d+)\r\n", re.IGNORECASE)
PROBED = re.compile(rb"\A\S+ /healthz/(\d+) ")
REASONS = {200: b"OK", 201: b"Created", 500: b"Failed", 503: b"Full"}
NO_LINGER = struct.pack("ii", 1, 0)


@dataclass
class Attempt:
    """One attempt of a request, or a call, and what the upstream did with it.

    Attributes:
        number: Its number, which it carries.
        plan: What the upstream does with it.
        arrived: Whether the upstream has read it.
        ran: Whether the upstream has run it.
        connection: Number of the connection on which it arrived.
        answer: Head and body of its answer, as they are framed.
        written: What was written for it.
        undisturbed: Whether its connection carried nothing but whole answers.
    """

    number: int
    plan: Plan
    arrived: bool = False
    ran: bool = False
    connection: int = -1
    answer: tuple[bytes, bytes] = (b"", b"")
    written: bytes = b""
    undisturbed: bool = False

    @property
    def body(self):
        return self.plan.body(self.number)

    @property
    def signature(self):
        return b"s-%d" % self.number

    @property
    def answering(self):
        """Returns whether the head of its answer is written."""
        return self.answer[0] != b"" and self.answer[0] in self.written

    @property
    def written_after_head(self):
        """Returns what was written after the head of its answer."""
        return self.written.partition(self.answer[0])[2]


@dataclass
class UpstreamConnection:
    """What the upstream knows of one connection."""

    number: int
    answers: list = field(default_factory=list)
    pending: bytes = b""
    disturbed: bool = False


class StutteringUpstream:
    """Runs the attempts that are entered, each as its plan says.

    Attributes:
        log: What was read and written, with the numbers of the connections.

    Not every upstream echoes the ids of calls.
    """

    def __init__(self, echoes_calls=True):
        self.log = []
        self._echoes_calls = echoes_calls
        self._attempts = []
        self._answers = []
        self._opened = 0

    @asynccontextmanager
    async def client(self, connections):
        """Runs the upstream; yields a client of it."""
        async with raw_upstream(self._serve) as address:
            client = UpstreamClient(address, connections)
            try:
                yield client
            finally:
                await client.close()

    def enter(self, plan):
        """Returns a new attempt, whose number is to be sent."""
        attempt = Attempt(len(self._attempts), plan)
        self._attempts.append(attempt)
        return attempt

    async def _serve(self, reader, writer):
        connection = UpstreamConnection(self._opened)
        self._opened += 1
        while True:
            # A copy that breaks off may have taken the bytes of an answer: the client
            # waits until the connection ends.
            limit_s = DISTURBED_IDLE_S if connection.disturbed else None
            try:
                async with asyncio.timeout(limit_s):
                    head = await reader.readuntil(b"\r\n\r\n")
            except TimeoutError:
                return
            length = LENGTH.search(head)
            body = await reader.readexactly(int(length[1])) if length else b""
            attempt = self._attempts[_number(head, body)]
            self.log.append((connection.number, "read", attempt.number))
            attempt.arrived, attempt.connection = True, connection.number
            attempt.ran = not attempt.plan.not_run
            connection.disturbed |= not attempt.plan.faultless
            attempt.undisturbed = not connection.disturbed
            if not await self._answer(connection, attempt, head, writer):
                return

    async def _answer(self, connection, attempt, request_head, writer):
        """Writes the parts of an answer; returns whether the connection goes on."""
        plan = attempt.plan
        if plan.silent:
            await asyncio.sleep(3600)
        named = self._echoes_calls or ATTEMPT.search(request_head) is not None
        head, body = _answer_bytes(attempt, request_head, named)
        attempt.answer = head, body
        connection.answers.append(head + body)
        sent_id = REQUEST_ID.search(request_head)
        request_id = sent_id and sent_id[1]
        elsewhere = [
            answer
            for number, other_id, answer in self._answers
            if number != connection.number and other_id != request_id
        ]
        if REQUEST_ID.search(head):
            self._answers.append((connection.number, request_id, head + body))
        parts, connection.pending = parts_of(
            plan, head, body, connection.answers, elsewhere, connection.pending
        )
        for part in parts:
            if part is PAUSE:
                await asyncio.sleep(PAUSE_S)
                continue
            attempt.written += part
            self.log.append((connection.number, "wrote", part))
            writer.write(part)
            await writer.drain()
        ends = plan.breaks_off or plan.framing == "close" or plan.announced
        if plan.ending is Ending.RESET and not writer.is_closing():
            peer = writer.get_extra_info("socket")
            peer.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER)
            writer.transport.abort()
        if ends or plan.ending is not Ending.KEEP:
            self.log.append((connection.number, plan.ending.value, "ended"))
            return False
        return True


def _number(head, body):
    """Returns the number of the attempt that a request or a call carries."""
    if found := ATTEMPT.search(head) or PROBED.search(head):
        return int(found[1])
    return json.loads(body)["fence"]


def _answer_bytes(attempt, request_head, named):
    """Returns the head and the framed body of an attempt's answer."""
    plan = attempt.plan
    lines = [b"HTTP/1.1 %d %s" % (plan.status, REASONS.get(plan.status, b"Refused"))]
    echoed = REQUEST_ID.search(request_head)
    if echoed and named and not plan.unnamed:
        lines.append(b"Request-Id: " + echoed[1])
    if plan.not_run:
        lines.append(b"Not-Executed: 1")
    if ATTEMPT.search(request_head):
        if plan.status < 300:
            lines.append(b"Response-Signature: " + attempt.signature)
    else:
        lines.append(b"Handover: h-%d" % attempt.number)
        lines.append(b"Server-Load: %d,0,8" % attempt.number)
    if plan.announced:
        lines.append(b"Connection: close")
    body = attempt.body
    match plan.framing:
        case "length":
            lines.append(b"Content-Length: %d" % len(body))
        case "chunked":
            lines.append(b"Transfer-Encoding: chunked")
            chunks = [b"%x\r\n%s\r\n" % (len(p), p) for p in (body[:5], body[5:]) if p]
            body = b"".join([*chunks, b"0\r\n\r\n"])
    return b"\r\n".join([*lines, b"", b""]), body
