"""Builds two processes' links, of which the one at the upstream can be lost."""

from __future__ import annotations

import asyncio
from types import SimpleNamespace
from unittest.mock import MagicMock

import msgspec

from features.builders_addresses import a_loopback_host
from features.builders_fleet_types import a_routed_request
from rosemarydeal.core import Address
from rosemarydeal.core.requests import Answered
from rosemarydeal.node.frames import FrameConnection
from rosemarydeal.node.links import Links
from rosemarydeal.node.messages import (
    Hello,
    LoadReport,
    Ping,
    Pong,
    RunRequest,
)

__all__ = ["IDLE", "STEP_S", "EarlierPong", "LostLinks"]

IDLE = LoadReport(0, 0, 4, 0, 100)
SENDER = "entry-1"
ADDRESS = Address(a_loopback_host(1), 9105)
WAIT_S = 4.0
STEP_S = 0.01


def a_hooks():
    hooks = MagicMock()
    hooks.crash_suspects.return_value = None
    hooks.known_revisions = lambda: ()
    hooks.pong = lambda: Pong((), IDLE)
    hooks.load = lambda: IDLE
    return hooks


class EarlierPong(msgspec.Struct, frozen=True, array_like=True, tag=8):
    """A pong as earlier versions know it."""

    known_revisions: tuple
    load: LoadReport
    reads_store: bool = True


class LostLinks:
    """A process that sends requests, and one that receives them.

    Attributes:
        permits: Permits of the requests that arrived, by id.
        begun: Ids of the requests that began at the receiver.
    """

    def __init__(self):
        self.permits, self.begun = {}, []
        self.sender = self.receiver = self.earlier = None
        self._ending = asyncio.Event()

    async def start(self):
        self.sender = Links("entry", SENDER, a_hooks())
        await self.start_receiver("guard-1")
        self.sender.set_members({"guard": SimpleNamespace(peer=ADDRESS)})
        await self.wait(lambda: self.sender.answers("guard"))

    async def start_receiver(self, process):
        hooks = a_hooks()
        hooks.serve = self._serve
        self.receiver = Links("guard", process, hooks)
        await self.receiver.start(ADDRESS)

    async def start_earlier_version(self):
        """Starts a receiver that names no process and knows no newer message."""

        def on_message(connection, message):
            if isinstance(message, Hello):
                connection.peer = message.node
            if isinstance(message, Ping):
                connection.send(Pong((), IDLE))
            assert isinstance(message, Hello | Ping | RunRequest), message

        ignore = MagicMock()
        loop = asyncio.get_running_loop()
        self.earlier = await loop.create_server(
            lambda: FrameConnection(on_message, ignore, ignore, ignore),
            ADDRESS.host,
            ADDRESS.port,
        )

    async def close(self):
        self._ending.set()
        await self.sender.close()
        await self.receiver.close()
        if self.earlier is not None:
            self.earlier.close()
        await asyncio.sleep(5 * STEP_S)

    async def wait(self, condition):
        loop = asyncio.get_running_loop()
        deadline = loop.time() + WAIT_S
        while not condition():
            assert loop.time() < deadline, "the condition was not met in time"
            await asyncio.sleep(STEP_S)

    async def send_order(self, request_id="r1", arrives=True, **changes):
        """Has the sender pass an order on; returns the task of its outcome."""
        order = a_routed_request(request_id, **{"idempotent": False} | changes)
        task = asyncio.create_task(self.sender.run_on_peer("guard", order))
        if arrives:
            await self.wait(lambda: request_id in self.permits)
        await asyncio.sleep(STEP_S)
        return task

    def begin(self, request_id="r1"):
        """Begins an order that waits, if its permit still allows that."""
        if self.permits[request_id].try_begin():
            self.begun.append(request_id)

    def lose_link(self):
        self.sender._links["guard"].abort()

    async def read_late(self, *messages):
        """Has the receiver read what was sent over a former link of the sender."""
        ignore = MagicMock()
        _, connection = await asyncio.get_running_loop().create_connection(
            lambda: FrameConnection(ignore, ignore, ignore, ignore),
            ADDRESS.host,
            ADDRESS.port,
        )
        connection.send(Hello("entry", SENDER, "guard"))
        for message in messages:
            connection.send(message)
        await asyncio.sleep(5 * STEP_S)
        connection.abort()

    async def _serve(self, request, permit):
        """Keeps a request waiting; it can begin until its link is lost."""
        self.permits[request.request_id] = permit
        await self._ending.wait()
        return Answered(200, (), b"")
