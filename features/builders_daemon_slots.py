"""Builds a guard of the daemon whose upstream answers when a test says so."""

from __future__ import annotations

import asyncio
import time
from contextlib import asynccontextmanager
from dataclasses import replace

from features.builders_daemon import a_guard, an_order
from features.builders_proxy import LOOPBACK
from rosemarydeal.core import headers
from rosemarydeal.policy.guard import Tick
from rosemarydeal.proxy import bytes_response

__all__ = ["SHORT_DEADLINE_S", "DaemonSlots", "broken_body", "daemon_slots", "settle"]

# Turns after which each event has had all its consequences.
SETTLE_TURNS = 10
DEADLINE_S = 20.0
SHORT_DEADLINE_S = 0.02


class HeldPool:
    """Stands in for the connections to an upstream; each request waits for a test.

    Attributes:
        sent: Ids of the requests that were sent, in order.
        open: Futures of the requests that wait for an answer.
    """

    def __init__(self):
        self.sent = []
        self.open = {}

    async def send(self, address, request, timeout_s):
        fields = {name.lower(): value for name, value in request.headers}
        request_id = fields[headers.IDEMPOTENCY_KEY.lower()].decode()
        self.sent.append(request_id)
        self.open[request_id] = asyncio.get_running_loop().create_future()
        try:
            async for _ in request.body:
                pass
            return await self.open[request_id]
        finally:
            del self.open[request_id]

    async def close(self):
        """Has nothing to close."""


class DaemonSlots:
    """A guard with one slot, its callers and its upstream.

    Attributes:
        guard: The guard.
        pool: The connections to the upstream.
        callers: Tasks of the callers by request id.
    """

    def __init__(self):
        self.guard = a_guard(LOOPBACK, slots=1, connections=8)
        self.guard._pool = self.pool = HeldPool()
        self.callers = {}

    @property
    def running(self):
        """Returns the ids of the requests that hold a slot."""
        live = self.guard.state.live.values()
        return [x.request.request_id for x in live if x.is_running]

    def arrive(self, request_id, idempotent=False, deadline_s=DEADLINE_S, body=None):
        """Has a caller send a request."""
        request, arrived, details = an_order(
            request_id, idempotent=idempotent, deadline_s=deadline_s
        )
        if body is not None:
            request = replace(request, body=body)
        serving = self.guard.serve(request, arrived, details)
        self.callers[request_id] = asyncio.create_task(serving)

    def answer(self, request_id):
        """Ends a request at the upstream."""
        self.pool.open[request_id].set_result(bytes_response(200, b""))

    def leave(self, request_id):
        """Has the caller of a request leave."""
        self.callers[request_id].cancel()

    def pause_beyond_deadline(self):
        """Pauses the process beyond a short deadline, which ends with a tick."""
        time.sleep(2 * SHORT_DEADLINE_S)
        self.guard.post(Tick())

    async def close(self):
        """Ends all callers and requests."""
        for caller in self.callers.values():
            caller.cancel()
        await asyncio.gather(*self.callers.values(), return_exceptions=True)
        await self.guard.close()


@asynccontextmanager
async def daemon_slots():
    """Runs a guard with one slot."""
    slots = DaemonSlots()
    try:
        yield slots
    finally:
        await slots.close()


async def settle(turns=SETTLE_TURNS):
    """Runs the event loop for some turns."""
    for _ in range(turns):
        await asyncio.sleep(0)


async def broken_body(error):
    """Yields the start of a body and then fails."""
    yield b"the start"
    raise error
