"""Builds guards whose upstream answers when a test says so, and drives them in turns.

A turn carries out several events before the event loop runs any task, as happens after
a pause of the process.
"""

from __future__ import annotations

import asyncio
import math
from unittest.mock import MagicMock

from features.builders_fleet_types import a_routed_request
from features.builders_rate_limit import a_limited_guard, an_announcement
from rosemarydeal.core.requests import Answered, Failed, UpstreamNotice
from rosemarydeal.node.links import Links
from rosemarydeal.node.messages import CancelRequest, Hello, RunRequest

__all__ = ["SlotWorld", "cancelled_in_one_turn"]

SLOTS = 12
# Turns after which each event has had all its consequences.
SETTLE_TURNS = 8


class HeldClient:
    """Client whose requests run until a test ends them."""

    def __init__(self):
        self.open = {}
        self.sent = 0

    async def check_listens(self, timeout_s):
        """Accepts the connection."""

    async def run(self, upstream_request):
        self.sent += 1
        request_id = upstream_request.request.request_id
        self.open[request_id] = asyncio.get_running_loop().create_future()
        try:
            return await self.open[request_id]
        finally:
            del self.open[request_id]


class SlotWorld:
    """A guard, its callers and its upstream."""

    def __init__(self):
        self.client = HeldClient()
        self.guard = a_limited_guard(self.client)
        self.callers = {}
        self.starts = 1

    @property
    def tasks(self):
        """Returns how many tasks exist that run a request at the upstream."""
        names = [task.get_coro().__qualname__ for task in asyncio.all_tasks()]
        return names.count("Guard._run")

    def arrive(self, permit=None, **changes):
        """Has a caller send a request, or a peer with a permit; returns its id."""
        request_id = f"r{len(self.callers)}"
        # Equal requests would be taken for one that crashes the upstream.
        target = b"/a/%s" % request_id.encode()
        request = a_routed_request(request_id, target=target, **changes)
        serving = self.guard.serve(request, permit)
        self.callers[request_id] = asyncio.get_running_loop().create_task(serving)
        return request_id

    def leave(self, request_id):
        """Has a caller leave."""
        self.callers[request_id].cancel()

    def answer(self, request_id, limit_per_s=math.inf):
        """Has the upstream answer a request that it has."""
        self._end(request_id, Answered(200, (), b"", None, UpstreamNotice(limit_per_s)))

    def fail(self, request_id):
        """Cuts the connection of a request that the upstream has."""
        self._end(request_id, Failed("send-failed", sent=True, closed=True))

    def restart_upstream(self):
        """Has a new incarnation of the upstream announce itself."""
        self.starts += 1
        announcement = an_announcement(
            self.guard._identity, f"i{self.starts}", self.starts
        )
        self.guard._watch.apply(announcement)

    async def settle(self):
        """Runs the event loop until all events have had their consequences."""
        for _ in range(SETTLE_TURNS):
            await asyncio.sleep(0)

    async def fill(self):
        """Fills all slots of an upstream that has answered once."""
        first = self.arrive()
        await self.settle()
        self.answer(first)
        await self.settle()
        running = [self.arrive() for _ in range(SLOTS)]
        await self.settle()
        assert self.guard.running == SLOTS, self.guard.running
        return running

    async def close(self):
        """Has all callers leave."""
        for caller in self.callers.values():
            caller.cancel()
        await asyncio.gather(*self.callers.values(), return_exceptions=True)
        await self.settle()

    def _end(self, request_id, result):
        future = self.client.open.get(request_id)
        if future is not None and not future.done():
            future.set_result(result)


async def cancelled_in_one_turn(count):
    """Returns how many peers' requests are served after each was withdrawn at once."""
    links = Links("vm-a", "vm-a-1", MagicMock())
    connection = MagicMock()
    connection.closed_by_peer.return_value = False
    links._on_request(connection, Hello("vm-b", "vm-b-1", "vm-a"))
    for number in range(count):
        request = a_routed_request(f"r{number}")
        links._on_request(connection, RunRequest.of(number, request))
        links._on_request(connection, CancelRequest(number))
    for _ in range(SETTLE_TURNS):
        await asyncio.sleep(0)
    return links.serving
