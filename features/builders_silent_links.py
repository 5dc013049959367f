"""Lets the open links between processes fall silent, as no reset tells."""

from __future__ import annotations

import asyncio
import datetime
import signal
import time
import weakref

from features.builders_node import Deployment, a_configuration
from features.builders_node_programs import NodeProgram, ProgramDeployment
from rosemarydeal.node.frames import FrameConnection

__all__ = [
    "SilentLinksDeployment",
    "SilentLinksPrograms",
    "silence",
    "silence_at_signal",
]

SILENCE = signal.SIGUSR1
POLL_S = 0.02
START_S_PER_PROGRAM = 1.0


def silence(connection: FrameConnection) -> None:
    """Lets a connection pass nothing any more in either direction."""
    transport = connection._transport
    if transport is not None:
        transport.pause_reading()
        transport.write = lambda data: None


def silence_at_signal() -> None:
    """Silences the connections to peers that are open when SIGUSR1 arrives."""
    opened = weakref.WeakSet()
    connect = FrameConnection.connection_made

    def connection_made(connection, transport):
        connect(connection, transport)
        opened.add(connection)

    def silence_all(*_):
        for connection in list(opened):
            silence(connection)

    FrameConnection.connection_made = connection_made
    signal.signal(SILENCE, silence_all)


class SilentLinksDeployment(Deployment):
    """Processes in one event loop, whose links can fall silent."""

    def silence_links(self, names):
        """Silences all open links of some processes, at both ends."""
        for name, node in self.nodes.items():
            links = node._links
            opened = {peer: link.connection for peer, link in links._links.items()}
            for peer, connection in opened.items():
                if connection is not None and (name in names or peer in names):
                    silence(connection)
            for connection in links._accepted:
                if name in names or connection.peer in names:
                    silence(connection)


class SilentLinksProgram(NodeProgram):
    """A node process whose links fall silent at a signal."""

    arguments = ("-m", "features.silent_links_program")


class SilentLinksPrograms(ProgramDeployment):
    """Node processes that are programs of their own, whose links can fall silent."""

    program_type = SilentLinksProgram

    def __init__(self, count, directory, **settings):
        super().__init__(count, directory, **settings)
        self._names = [f"vm-{number:02d}" for number in range(count)]
        # The programs start one after the other on one machine.
        self.start_s = max(self.start_s, START_S_PER_PROGRAM * count)
        self._version = 1

    def silence_links(self, count):
        """Silences the open links of as many processes, the last ones by name."""
        for name in self._names[-count:]:
            self.nodes[name].send(SILENCE)

    def change_configuration(self):
        """Adds a route; returns when the store had the new version."""
        self._version += 1
        configuration = a_configuration(self._version)
        added = configuration["resources"][0]
        for version in range(2, self._version + 1):
            route = added | {"metadata": {"name": f"added-{version}"}}
            route["spec"] = added["spec"] | {"path_prefix": f"/added/{version}/"}
            configuration["resources"].append(route)
        self.store.put("config", "main", configuration)
        return time.time()

    async def delays(self, changed_at, longest_s):
        """Returns after how many seconds each process has the last version.

        Those that do not have it yet have the longest time.
        """
        last = changed_at + longest_s
        await self.wait_until(lambda: len(self._in_force()) == len(self.nodes), last)
        in_force = self._in_force()
        return {n: in_force.get(n, last) - changed_at for n in self.nodes}

    async def wait_until(self, condition, last):
        """Waits for a condition, but not after a time of the day."""
        while not condition():  # noqa: ASYNC110
            if time.time() >= last:
                return
            await asyncio.sleep(POLL_S)

    def _in_force(self):
        """Returns since when processes have the last version, by name."""
        times = {}
        for name in self.nodes:
            for line in self.logged(name, "configuration_in_force"):
                if line["version"] == self._version:
                    stamp = datetime.datetime.fromisoformat(line["timestamp"])
                    times[name] = stamp.timestamp()
        return times
