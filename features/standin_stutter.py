"""Lets a stand-in upstream stutter: late copies, answers without a length, cuts."""

from __future__ import annotations

import asyncio
import random
from dataclasses import dataclass

from features.stutter_plans import PAUSE, Copy, Ending, Place, Plan, parts_of
from rosemarydeal.core import Address
from rosemarydeal.proxy import BytesBody, Request, find_header

__all__ = ["Stutter", "StutterShares", "read_request", "serve_stuttering"]

# The next request of a busy connection follows within such a time.
MAX_PAUSE_S = 0.03


@dataclass(frozen=True)
class StutterShares:
    """Shares of the exchanges that an upstream disturbs.

    Attributes:
        copied: Answers that are written once more, before or after the next request.
        unframed: Answers without a length, which end with their connection.
        refused: Requests that are refused; the refusal is written once more.
        cut: Answers that end within their head.
    """

    copied: float = 0.0
    unframed: float = 0.0
    refused: float = 0.0
    cut: float = 0.0


class Stutter:
    """Draws what an upstream does with each exchange.

    Attributes:
        shares: Shares of the disturbed exchanges; may be changed at any time.
        counts: Number of the exchanges of each kind.
    """

    def __init__(self, seed, shares=StutterShares()):
        self.shares = shares
        self.counts = {"copied": 0, "unframed": 0, "refused": 0, "cut": 0}
        self._random = random.Random(seed)

    def draw_plan(self):
        """Returns what is done with the next exchange."""
        changes, copies = {}, []
        if self._happens("refused"):
            changes["not_run"] = True
            copies.append(self._draw_copy())
        if self._happens("copied"):
            copies.append(self._draw_copy())
        if self._happens("unframed"):
            changes |= {"framing": "close", "ending": Ending.CLOSE}
        if self._happens("cut"):
            changes["cut"] = self._random.uniform(0.0, 0.5)
            changes["ending"] = self._random.choice([Ending.CLOSE, Ending.RESET])
        pause = self._random.random() < 0.5
        return Plan(copies=tuple(copies), pause_within=pause, **changes)

    def draw_pause(self):
        """Returns the length of a pause, in seconds."""
        return self._random.uniform(0.0, MAX_PAUSE_S)

    def _happens(self, kind):
        drawn = self._random.random() < getattr(self.shares, kind)
        self.counts[kind] += drawn
        return drawn

    def _draw_copy(self):
        whole = self._random.random() < 0.7
        return Copy(
            place=self._random.choice([Place.BEFORE, Place.AFTER, Place.AFTER]),
            source=self._random.choice([0, 0, 1]),
            share=1.0 if whole else self._random.uniform(0.05, 1.0),
            late_rest=self._random.random() < 0.5,
            pause_before=self._random.random() < 0.7,
            pause_within=self._random.random() < 0.2,
        )


async def serve_stuttering(answer, address, stutter):
    """Serves requests; their answers are disturbed as drawn.

    Args:
        answer: Coroutine that returns the response to a request.
        address: Address to listen on.
        stutter: Draws what is done with each exchange.

    Returns:
        The server.
    """

    async def on_connected(reader, writer):
        try:
            await _serve_connection(answer, reader, writer, stutter)
        except (ConnectionError, EOFError, asyncio.CancelledError):
            writer.transport.abort()
        finally:
            writer.close()

    return await asyncio.start_server(on_connected, address.host, address.port)


async def _serve_connection(answer, reader, writer, stutter):
    """Serves the exchanges of a connection, one after the other."""
    answers, pending = [], b""
    while True:
        request = await read_request(reader)
        plan = stutter.draw_plan()
        if plan.not_run:
            status, headers, body = 503, _refusal_headers(request), b""
        else:
            response = await answer(request)
            status, headers, body = response.status, response.headers, response.body
            body = body.data
        head = _head_bytes(status, headers, body, plan)
        answers.append(head + body)
        parts, pending = parts_of(plan, head, body, answers, [], pending)
        for part in parts:
            if part is PAUSE:
                await asyncio.sleep(stutter.draw_pause())
            else:
                writer.write(part)
                await writer.drain()
        if plan.ending is Ending.RESET:
            writer.transport.abort()
        if plan.ending is not Ending.KEEP:
            return


async def read_request(reader):
    """Reads a request, whose body has a length."""
    head = await reader.readuntil(b"\r\n\r\n")
    first, *lines = head[:-4].split(b"\r\n")
    method, target, _ = first.split(b" ")
    fields = [line.partition(b":") for line in lines]
    headers = tuple([(name.lower(), value.strip()) for name, _, value in fields])
    length = int(find_header(headers, b"content-length") or 0)
    body = BytesBody(await reader.readexactly(length))
    return Request(method, target, headers, body, Address("127.0.0.1", 1))


def _refusal_headers(request):
    """Returns the headers of a refusal, which names the request if it has an id."""
    identity = find_header(request.headers, b"request-id")
    named = ((b"request-id", identity),) if identity else ()
    return ((b"not-executed", b"1"), *named)


def _head_bytes(status, headers, body, plan):
    """Returns the head of an answer."""
    lines = [b"HTTP/1.1 %d Answer" % status]
    lines += [name + b": " + value for name, value in headers]
    if plan.framing != "close":
        lines.append(b"content-length: %d" % len(body))
    return b"\r\n".join([*lines, b"", b""])
