"""Simulation of processes that restart beside living upstreams, with late calls.

The product's carriers and hand-overs run on a virtual clock. Calls may stay without an
answer and be carried out up to 12 s later, after newer ones; the time of a grant counts
from its arrival. An upstream refuses a grant once it has seen a higher token for one of
its keys, and releases whatever it is told to; its clock may run 2% slow. Writes of the
table may fail, or be carried out without an answer.
"""

from __future__ import annotations

import asyncio
import random
from collections import Counter
from dataclasses import dataclass, field
from unittest import mock

from features.builders_fleet_types import a_member, a_view
from features.builders_grants import grant_terms, upstream_state
from features.virtual_clock import VirtualClockLoop
from rosemarydeal.core.fleet import KeyRange, RangeTable, Revision
from rosemarydeal.node.grants import CallGrantCarrier
from rosemarydeal.node.hand_over import HandOvers, OwnTable
from rosemarydeal.platform.upstream import GrantRefused, UpstreamCallFailed
from rosemarydeal.policy.keyranges import table as tables
from rosemarydeal.policy.keyranges.table_changes import TableBase, WriteResult

__all__ = ["LateCalls", "Violation", "run_world"]

VMS = ("vm-a", "vm-b", "vm-c")
KEYS_PER_VM = 4
KEYS = KEYS_PER_VM * len(VMS)
STEP_S = 0.1
MAX_HOLD_S = 5.0
SLOW_CLOCK = 1.02
WRITE_S = 0.01
CALL_S = 0.004


@dataclass(frozen=True)
class LateCalls:
    """How often something fails.

    Attributes:
        unanswered_part: Part of the calls that get no answer.
        lost_part: Part of these that are never carried out.
        late_s: Longest time after which the others are.
        restarts_per_s: How often a process restarts.
        moves_per_s: How often a process hands ranges over.
        lost_writes_part: Part of the writes of the table without an answer.
    """

    unanswered_part: float = 0.5
    lost_part: float = 0.3
    late_s: float = 12.0
    restarts_per_s: float = 0.4
    moves_per_s: float = 0.5
    lost_writes_part: float = 0.1


class Violation(AssertionError):
    """Two upstreams had the same key, or one took it under a lower token."""


@dataclass
class Upstream:
    """What an upstream holds, key by key: token and end by its slow clock."""

    node: str
    world: World
    seen: dict = field(default_factory=dict)
    holds: dict = field(default_factory=dict)

    async def grant(self, keys, instance, hold_s, timeout_s):
        await asyncio.sleep(CALL_S)
        arrived_at, granted_s = self.world.now(), hold_s()
        until = arrived_at + granted_s * SLOW_CLOCK
        if not self.world.is_answered(lambda: self._take(keys, until)):
            await asyncio.sleep(timeout_s)
            raise UpstreamCallFailed("no answer")
        if not self._take(keys, until):
            raise GrantRefused("a higher token was seen")
        await asyncio.sleep(CALL_S)

    async def release(self, keys, timeout_s):
        await asyncio.sleep(CALL_S)
        if not self.world.is_answered(lambda: self._drop(keys)):
            await asyncio.sleep(timeout_s)
            raise UpstreamCallFailed("no answer")
        self._drop(keys)
        await asyncio.sleep(CALL_S)
        return "h"

    def holds_key(self, key):
        token, until = self.holds.get(key, (0, 0.0))
        return until > self.world.now()

    def _drop(self, keys):
        for key in range(keys.first, keys.last + 1):
            self.holds.pop(key, None)

    def _take(self, keys, until):
        span = range(keys.first, keys.last + 1)
        if any(self.seen.get(key, 0) > keys.token for key in span):
            return False
        if until > self.world.now():
            for key in span:
                self.world.check_take(self, key, keys.token)
                self.seen[key] = keys.token
                self.holds[key] = (keys.token, until)
        return True


class Process:
    """One life of the process beside an upstream."""

    def __init__(self, node, world):
        self.node, self.world = node, world
        watch = mock.Mock()
        watch.state = upstream_state(KeyRange(0, 0, node, f"i-{node}@1000", 1))
        self.carrier = CallGrantCarrier(
            world.upstreams[node], watch, MAX_HOLD_S, lambda: None, lambda: None
        )
        own_table = OwnTable(world.base, self._view, lambda change: None, world.write)
        self.hand_overs = HandOvers(node, self.carrier, own_table)
        self._tasks = [asyncio.create_task(self._run())]

    async def _run(self):
        while True:
            self._update()
            await asyncio.sleep(STEP_S)

    def _update(self):
        ranges = list(tables.owned_by(self.world.table, self.node))
        for gone in self.hand_overs.released:
            ranges = [r for keys in ranges for r in tables.subtract(keys, gone)]
        self.carrier.update(ranges, grant_terms(MAX_HOLD_S))

    def _view(self):
        return a_view(self.node, self.world.members)

    @property
    def moving(self):
        return len(self._tasks) > 1

    def hand_over(self, transfers):
        self._tasks.append(asyncio.create_task(self._hand_over(transfers)))

    async def _hand_over(self, transfers):
        await self.hand_overs.run(transfers)
        self.carrier.invalidate(self.hand_overs.end())
        self._update()
        self._tasks.pop()
        self.world.counts["hand-overs"] += 1

    async def close(self):
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self.carrier.close()


class World:
    """Three VMs, a table, and what is to fail."""

    def __init__(self, seed, faults):
        self.random = random.Random(seed)
        self.faults = faults
        self.counts = Counter()
        self.violation = None
        self.members = [a_member(node) for node in VMS]
        self.upstreams = {node: Upstream(node, self) for node in VMS}
        self.revision = 1
        ranges = tuple(
            KeyRange(
                i * KEYS_PER_VM, (i + 1) * KEYS_PER_VM - 1, m.node, m.incarnation, 1
            )
            for i, m in enumerate(self.members)
        )
        self.table = RangeTable("box-office", ranges, 1, (), "first", 1, 0)
        self.processes = {}

    def now(self):
        return asyncio.get_running_loop().time()

    def base(self):
        return TableBase(self.table, Revision(1, self.revision), 1)

    async def write(self, change):
        await asyncio.sleep(WRITE_S)
        if change.base.revision.number != self.revision:
            return WriteResult.NOT_WRITTEN
        self.table, self.revision = change.table, self.revision + 1
        await asyncio.sleep(WRITE_S)
        if self.random.random() < self.faults.lost_writes_part:
            return WriteResult.UNKNOWN
        return WriteResult.WRITTEN

    def is_answered(self, carry_out):
        """Returns whether a call is answered; one that is not may take effect later."""
        if self.random.random() >= self.faults.unanswered_part:
            return True
        self.counts["unanswered"] += 1
        if self.random.random() >= self.faults.lost_part:
            late_s = self.random.uniform(0.0, self.faults.late_s)
            asyncio.get_running_loop().call_later(late_s, carry_out)
        return False

    def check_take(self, upstream, key, token):
        """Checks a key that an upstream takes against all other upstreams."""
        self.counts["taken"] += 1
        for other in self.upstreams.values():
            if other is upstream:
                continue
            if other.holds_key(key) or other.seen.get(key, 0) >= token:
                self.violation = self.violation or (
                    f"at {self.now():.3f} key {key} went to {upstream.node} with"
                    f" {token}; {other.node} had {other.seen.get(key)}"
                    f" and holds it: {other.holds_key(key)}"
                )

    async def run(self, seconds):
        self.processes = {node: Process(node, self) for node in VMS}
        ends_at = self.now() + seconds
        while self.now() < ends_at and self.violation is None:
            await asyncio.sleep(STEP_S)
            node = self.random.choice(VMS)
            if self.random.random() < self.faults.restarts_per_s * STEP_S:
                await self._restart(node)
            if self.random.random() < self.faults.moves_per_s * STEP_S:
                self._move(node)
        for process in self.processes.values():
            await process.close()
        if self.violation is not None:
            raise Violation(self.violation)

    async def _restart(self, node):
        self.counts["restarts"] += 1
        await self.processes[node].close()
        await asyncio.sleep(self.random.choice((0.0, 0.3, 1.0)))
        self.processes[node] = Process(node, self)
        # Its first hand-over may precede its first grant.
        if self.random.random() < 0.5:
            self._move(node)

    def _move(self, node):
        process = self.processes[node]
        owned = tables.owned_by(self.table, node)
        if process.moving or not owned:
            return
        others = [member for member in self.members if member.node != node]
        chosen = self.random.sample(owned, self.random.randint(1, len(owned)))
        transfers = [(self._part(keys), self.random.choice(others)) for keys in chosen]
        process.hand_over(transfers)

    def _part(self, keys):
        first = self.random.randint(keys.first, keys.last)
        last = self.random.randint(first, keys.last)
        if self.random.random() < 0.5:
            return keys
        return KeyRange(first, last, keys.node, keys.incarnation, keys.token)


def run_world(seed, faults, seconds):
    """Runs a simulation and returns what it has seen.

    Raises:
        Violation: A key had two holders, or was taken under a lower token.
    """
    loop = VirtualClockLoop()
    world = World(seed, faults)
    clocks = [
        mock.patch(f"{module}.now", loop.time)
        for module in ("rosemarydeal.node.grants", "features.builders_grants")
    ]
    try:
        for clock in clocks:
            clock.start()
        loop.run_until_complete(world.run(seconds))
    finally:
        mock.patch.stopall()
        loop.close()
    return world.counts
