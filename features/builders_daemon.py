"""Builders of parts of the daemon beside servers that write prepared bytes."""

from __future__ import annotations

import asyncio
from contextlib import asynccontextmanager

from features.builders_proxy import raw_upstream
from features.builders_proxy import request as a_request
from features.builders_stutter import PAUSE, ScriptedUpstream
from rosemarydeal.core.clock import now
from rosemarydeal.core.routes import ROUTES_PATH
from rosemarydeal.daemon.classify import RequestDetails, request_fingerprint
from rosemarydeal.daemon.guard import GuardHooks, GuardTask
from rosemarydeal.policy import guard

DEADLINE_S = 2.0
BODY_LIMIT = 1 << 16
# Body of the answer that a second order, request or call is to get.
OWN_BODY = b"the answer to the second"


def an_answer(request_id, body=b"", status=b"200 OK", headers=()):
    """Returns the bytes of an answer that names a request, unless the id is empty."""
    lines = [b"HTTP/1.1 " + status, *headers]
    if request_id:
        lines.append(b"Idempotency-Key: " + request_id.encode())
    lines.append(b"Content-Length: %d" % len(body))
    return b"\r\n".join([*lines, b"", body])


def a_refusal(request_id):
    """Returns the bytes of an answer that states that a request has not run."""
    not_run = b"Rosemarydeal-Outcome: not-run"
    return an_answer(request_id, b"", b"503 Full", (not_run,))


class ScriptedServer(ScriptedUpstream):
    """Writes prepared bytes to the parts of the daemon and to its clients."""

    @asynccontextmanager
    async def listen(self):
        """Runs the server; yields its address."""
        async with raw_upstream(self._serve) as address:
            yield address

    @asynccontextmanager
    async def guard(self, **settings):
        """Runs the server as an upstream; yields its guard."""
        async with self.listen() as address:
            task = a_guard(address, **settings)
            try:
                yield task
            finally:
                await task.close()


class RepeatingServer:
    """Repeats the last answer on a connection, late, before it writes the next one.

    The answers are written in order, over whichever connections requests come. Each
    returns a header of its request, if the header has a name. Requests for routes
    get 404, outside the order.

    Attributes:
        connections: Number of connections that were opened.
    """

    def __init__(self, answers, named_by=b"", repeats=True):
        self._answers = iter(answers)
        self._named_by = named_by
        self._repeats = repeats
        self.connections = 0

    @asynccontextmanager
    async def listen(self):
        """Runs the server; yields its address."""
        async with raw_upstream(self._serve) as address:
            yield address

    async def _serve(self, reader, writer):
        self.connections += 1
        previous = None
        while True:
            request, _ = await read_request(reader)
            if request.startswith(b"GET " + ROUTES_PATH.encode()):
                not_found = an_answer("", b"", b"404 Not Found")
                writer.write(self._named(request, not_found))
                continue
            if previous is not None and self._repeats:
                writer.write(previous)
                await asyncio.sleep(PAUSE)
            previous = self._named(request, next(self._answers))
            writer.write(previous)

    def _named(self, request, answer):
        """Returns an answer with the header of its request by which it is named."""
        for line in request.split(b"\r\n"):
            if self._named_by and line.lower().startswith(self._named_by + b":"):
                return answer.replace(b"\r\n", b"\r\n" + line + b"\r\n", 1)
        return answer


async def read_request(reader):
    """Reads a request whose head states the length of its body; returns both."""
    head = await reader.readuntil(b"\r\n\r\n")
    for line in head.lower().split(b"\r\n"):
        if line.startswith(b"content-length:"):
            length = int(line.partition(b":")[2])
            return head, await reader.readexactly(length)
    return head, b""


def a_guard(address, may_admit=lambda: True, **settings):
    """Builds the guard of an upstream that has started and is warm."""
    hooks = GuardHooks(
        may_admit=may_admit,
        slice_ownership=lambda _: None,
        on_idle=lambda _: None,
        on_connect_failed=lambda: None,
        on_suspects=lambda _: None,
        on_ledger=lambda _: None,
    )
    task = GuardTask(guard.GuardSettings(**settings), address, hooks)
    task.post(guard.UpstreamStarted(False))
    return task


def an_order(request_id, body=b"", idempotent=False, deadline_s=DEADLINE_S):
    """Builds the arguments with which a guard serves a request without a key."""
    request = a_request(b"POST", b"/orders", body)
    deadline = now() + deadline_s
    fingerprint = request_fingerprint(request, "", body)
    arrived = guard.RequestArrived(
        0, request_id, fingerprint, "", None, idempotent, deadline
    )
    details = RequestDetails(
        "", "", "", None, request_id, False, None, idempotent, deadline, None, 0
    )
    return request, arrived, details
