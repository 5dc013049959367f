"""Discrete-event simulation of several nodes of the ownership policy, with faults.

The simulation is the driver of each node: it delivers messages, reads and writes the
platform, handles `StopAdmitting` and checks ownership before each dispatch, as the
guard does. It makes no decisions about ownership.
"""

from __future__ import annotations

import heapq
import itertools
import random
from dataclasses import dataclass, field

from features import ownership_proposer as proposer
from features.ownership_constants import KEYS, SERVICE, SLICES
from features.ownership_oracle import Oracle
from features.ownership_platform import WorldPlatform
from rosemarydeal.core import Chunk, Place, SliceId
from rosemarydeal.policy import interface as api
from rosemarydeal.policy import ownership

__all__ = ["KEYS", "SERVICE", "SLICES", "WorldNode", "WorldSettings", "World"]


@dataclass(frozen=True)
class WorldSettings:
    """Size of a simulation and times of its driver."""

    nodes: int = 6
    zones: int = 3
    tick_s: float = 0.1
    latency_s: float = 0.002
    platform_latency_s: float = 0.005
    read_interval_s: float = 0.2
    drift: float = 0.02
    skewed: bool = False
    successors: int = 2
    requests_s: tuple[float, ...] = (0.01, 0.1, 1.0)
    policy: ownership.OwnershipSettings = ownership.OwnershipSettings()


@dataclass
class WorldNode:
    """One process, its clock and its requests in flight."""

    name: str
    zone: str
    rate: float = 1.0
    offset: float = 0.0
    run: int = 0
    state: ownership.OwnershipState | None = None
    paused_until: float = 0.0
    upstream: bool = True
    backlog: list = field(default_factory=list)
    running: dict = field(default_factory=dict)

    @property
    def alive(self) -> bool:
        return self.state is not None

    def local(self, true_time: float) -> float:
        return self.offset + self.rate * true_time

    def true(self, local_time: float) -> float:
        return (local_time - self.offset) / self.rate


class World:
    """Nodes, network and platform, simulated event by event."""

    def __init__(self, seed: int, settings: WorldSettings = WorldSettings()) -> None:
        self.settings = settings
        self.random = random.Random(seed)
        self.now = 0.0
        self.queue: list = []
        self.order = itertools.count()
        self.platform = WorldPlatform()
        self.oracle = Oracle()
        self.nodes: dict[str, WorldNode] = {}
        self.blocked: set[tuple[str, str]] = set()
        self.slow: dict[tuple[str, str], float] = {}
        self.off_platform: set[str] = set()
        self.loss = 0.0
        self.duplicates = 0.0
        self.max_delay_s = 0.0
        self.answer_loss = 0.0
        self.stale_reads = 0.0
        self.slow_platform_s = 0.0
        self.proposing = True
        self.messages = 0
        self.platform_calls = 0
        for index in range(settings.nodes):
            zone = f"perth-{'abcdefgh'[index % settings.zones]}"
            name = f"n{index}"
            error = self.random.choice((-0.99, 0.99, self.random.uniform(-0.9, 0.9)))
            if settings.skewed:
                error = 0.99 if index else -0.99
            rate = 1.0 + settings.drift * error
            offset = self.random.uniform(0.0, 1000.0)
            self.nodes[name] = WorldNode(name, zone, rate, offset)
        for name in self.nodes:
            self.start(name)
        self.at(0.05, self._propose_periodically)

    # Time and events.

    def at(self, delay: float, call, *arguments) -> None:
        """Schedules a call after a delay in true time."""
        entry = (self.now + delay, next(self.order), call, arguments)
        heapq.heappush(self.queue, entry)

    def advance(self, duration: float) -> None:
        """Runs all events of the next `duration` seconds of true time."""
        until = self.now + duration
        while self.queue and self.queue[0][0] <= until:
            self.now, _, call, arguments = heapq.heappop(self.queue)
            call(*arguments)
        self.now = until
        self.oracle.observe_time(self)

    # Nodes.

    def start(self, name: str) -> None:
        """Starts a new process run of a node."""
        node = self.nodes[name]
        identity = ownership.Identity(
            node.name, SERVICE, Place("wa-perth", node.zone, node.name)
        )
        node.run += 1
        node.backlog, node.running = [], {}
        node.paused_until = 0.0
        seed = self.random.getrandbits(48)
        node.state = ownership.start(
            self.settings.policy, identity, node.local(self.now), seed
        )
        run = node.run
        self.at(self.random.uniform(0, 0.1), self._tick, name, run)
        self.at(0.001, self._read, name, run)
        if node.upstream:
            self.at(0.01, self.feed, name, run, api.UpstreamReady())

    def kill(self, name: str) -> None:
        """Kills a process; requests at its upstream still run until their deadlines."""
        node = self.nodes[name]
        node.state = None
        self.oracle.remove_ownership(name)

    def lose_upstream(self, name: str) -> None:
        """Kills an upstream with its requests; its process notices at once."""
        node = self.nodes[name]
        node.upstream = False
        node.running.clear()
        self.oracle.end_requests(name)
        self.feed(name, node.run, api.UpstreamDied())

    def pause(self, name: str, duration: float) -> None:
        """Pauses a process as SIGSTOP does; events for it are queued."""
        node = self.nodes[name]
        node.paused_until = max(node.paused_until, self.now + duration)
        self.at(node.paused_until - self.now, self._resume, name, node.run)

    def _resume(self, name: str, run: int) -> None:
        node = self.nodes[name]
        if node.run != run or not node.alive or self.now < node.paused_until:
            return
        self.oracle.observe(self, node)
        backlog, node.backlog = node.backlog, []
        for event in backlog:
            self.feed(name, run, event)

    def _is_running(self, name: str, run: int) -> bool:
        node = self.nodes[name]
        return node.alive and node.run == run

    def feed(self, name: str, run: int, event) -> None:
        """Delivers an event to a node and executes the resulting actions."""
        if not self._is_running(name, run):
            return
        node = self.nodes[name]
        if self.now < node.paused_until:
            node.backlog.append(event)
            return
        before = node.state
        node.state, actions = ownership.step(before, event, node.local(self.now))
        self.oracle.check_versions(before, node.state)
        for action in actions:
            self.carry_out(node, action)
        self.oracle.observe(self, node)

    def _tick(self, name: str, run: int) -> None:
        if not self._is_running(name, run):
            return
        node = self.nodes[name]
        if self.now >= node.paused_until:
            self.feed(name, run, api.Tick())
            self._serve(node)
        self.at(self.settings.tick_s, self._tick, name, run)

    # Guard.

    def _serve(self, node: WorldNode) -> None:
        """Dispatches requests of owned slices and removes finished ones."""
        for digest in KEYS:
            running = node.running.get(digest)
            if running is not None and running <= self.now:
                del node.running[digest]
            slice_id = ownership.slice_of_key(node.state, SERVICE, digest, SLICES)
            owned = ownership.slice_ownership(
                node.state, slice_id, node.local(self.now)
            )
            if owned is None or self.random.random() < 0.5:
                continue
            end = min(
                node.true(owned.valid_until),
                self.now + self.random.choice(self.settings.requests_s),
            )
            self.oracle.dispatch(self.now, node.name, digest, owned.token, end)
            node.running[digest] = max(end, node.running.get(digest, 0.0))

    def _report_idle(self, name: str, run: int, slice_id: SliceId) -> None:
        """Reports a stopped slice as idle once its last request has ended."""
        node = self.nodes[name]
        if not self._is_running(name, run):
            return
        ends = [
            end
            for digest, end in node.running.items()
            if slice_id.carved in (-1, digest) and digest % SLICES == slice_id.index
        ]
        rest = max(ends, default=self.now) - self.now
        if rest > 0.0:
            self.at(rest, self._report_idle, name, run, slice_id)
        else:
            self.feed(name, run, api.SliceIdle(slice_id))

    def carry_out(self, node: WorldNode, action) -> None:
        match action:
            case api.Send(to=to, message=message):
                self._send(node.name, to, api.MessageReceived(node.name, message))
            case api.WriteMember(member=member):
                self._write(node, member.node, action, member)
            case api.WriteChunk(chunk=chunk):
                self._write(node, (chunk.service, chunk.number), action, chunk)
            case api.StopAdmitting(slice=slice_id):
                self.at(0.0, self._report_idle, node.name, node.run, slice_id)

    # Network.

    def _send(self, sender: str, to: str, event) -> None:
        self.messages += 1
        if (sender, to) in self.blocked or to not in self.nodes:
            return
        copies = 1 + (self.random.random() < self.duplicates)
        for _ in range(copies):
            if self.random.random() < self.loss:
                continue
            delay = self.settings.latency_s + self.slow.get((sender, to), 0.0)
            if self.random.random() < 0.3:
                delay += self.random.uniform(0.0, self.max_delay_s)
            self.at(delay, self._arrive, to, event)

    def _arrive(self, name: str, event) -> None:
        self.feed(name, self.nodes[name].run, event)

    # Platform.

    def _reachable(self, name: str) -> bool:
        return not self.platform.down and name not in self.off_platform

    def _delay(self) -> float:
        slow = self.random.uniform(0.0, self.slow_platform_s)
        return self.settings.platform_latency_s + slow

    def _write(self, node: WorldNode, key, action, value) -> None:
        self.platform_calls += 1
        self.at(self._delay(), self._apply, node.name, node.run, key, action, value)

    def _apply(self, name: str, run: int, key, action, value) -> None:
        if not self._reachable(name):
            failed = api.WriteFailed(action.change_id, False)
            self.at(0.2, self.feed, name, run, failed)
            return
        version = self.platform.write(key, action.expected_version, value)
        if version is not None:
            self.oracle.check_write(self.platform, key)
        if self.random.random() < self.answer_loss:
            answer = api.WriteFailed(action.change_id, False)
        elif version is None:
            answer = api.WriteConflicted(action.change_id)
            self.at(self._delay(), self._deliver_read, name, run, key, 0)
        else:
            answer = api.WriteSucceeded(action.change_id, version)
        self.at(self._delay(), self.feed, name, run, answer)

    def _read(self, name: str, run: int) -> None:
        """Reads changed objects periodically, as a watch would, and gossips."""
        if not self._is_running(name, run):
            return
        interval = self.settings.read_interval_s
        self.at(interval * self.random.uniform(0.5, 1.0), self._read, name, run)
        if self._reachable(name):
            for key in sorted(self.platform.history, key=str):
                if self._is_up_to_date(name, key):
                    continue
                stale = self.random.random() < self.stale_reads
                back = self.random.randrange(1, 4) if stale else 0
                self._deliver_read(name, run, key, back)
        self._gossip(name)

    def _is_up_to_date(self, name: str, key) -> bool:
        state = self.nodes[name].state
        known = (
            state.members.get(key) if isinstance(key, str) else state.chunks.get(key)
        )
        return known is not None and known.version >= self.platform.version(key)

    def _deliver_read(self, name: str, run: int, key, back: int) -> None:
        read = self.platform.read(key, back)
        if read is None or not self._reachable(name):
            return
        version, value = read
        self.at(self._delay(), self.feed, name, run, _read_event(version, value))

    def _gossip(self, name: str) -> None:
        """Sends objects to a random peer that has older versions of them."""
        node = self.nodes[name]
        if self.now < node.paused_until:
            return
        peer = self.random.choice(sorted(self.nodes))
        other = self.nodes[peer].state
        if peer == name or other is None:
            return
        for key, known in sorted(node.state.members.items()):
            held = other.members.get(key)
            if held is None or held.version < known.version:
                self._send(name, peer, api.MemberRead(known.version, known.member))
        for key, known in sorted(node.state.chunks.items()):
            held = other.chunks.get(key)
            if held is None or held.version < known.version:
                self._send(name, peer, api.ChunkRead(known.version, known.chunk))

    # Proposers and callers.

    def _propose_periodically(self) -> None:
        if self.proposing:
            for name in self.random.sample(sorted(self.nodes), 2):
                proposer.propose(self, name)
            self._suspect_unresponsive()
        self.at(0.15, self._propose_periodically)

    def _suspect_unresponsive(self) -> None:
        """Makes nodes suspect the earlier incarnations of unserved slices.

        Callers cause this in production when they try the later incarnations.
        """
        for node in self.nodes.values():
            if not node.alive or self.now < node.paused_until:
                continue
            for row in node.state.own_rows:
                if self.oracle.served(self, row.slice):
                    continue
                for name in row.succession:
                    if name.node == node.name:
                        break
                    event = api.NodeSuspected(name.node)
                    self.feed(node.name, node.run, event)

    def heal(self) -> None:
        """Removes all faults of the network, the platform and all processes."""
        self.blocked.clear()
        self.slow.clear()
        self.off_platform.clear()
        self.loss = self.duplicates = self.max_delay_s = 0.0
        self.answer_loss = self.stale_reads = self.slow_platform_s = 0.0
        self.platform.down = False
        for name, node in self.nodes.items():
            node.upstream = True
            if not node.alive:
                self.start(name)
            elif node.paused_until > self.now:
                node.paused_until = self.now
                self._resume(name, node.run)
            self.feed(name, node.run, api.UpstreamReady())

    def unserved(self) -> list[int]:
        """Returns the hashes of the keys that no process owns now."""
        return [d for d in KEYS if not self.oracle.key_served(self, d)]


def _read_event(version: int, value):
    if isinstance(value, Chunk):
        return api.ChunkRead(version, value)
    return api.MemberRead(version, value)
