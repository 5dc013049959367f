"""Simulation of the exchange of versions, in virtual time and with message loss."""

from __future__ import annotations

import dataclasses
import heapq
import itertools
import random

import msgspec
from immutables import Map

from features.builders import member
from rosemarydeal.core import Versioned
from rosemarydeal.policy import versions
from rosemarydeal.policy.interface import Send

__all__ = ["VersionsWorld"]

TICK_S = 0.25
LATENCY_S = 0.005


class VersionsWorld:
    """Nodes that exchange versions; only the watchers read the platform."""

    def __init__(self, nodes: int, zones: int, objects: int, loss: float) -> None:
        self.random = random.Random(nodes * 1000 + zones)
        self.loss = loss
        self.now = 0.0
        self.event_numbers = itertools.count()
        self.queue: list = []
        self.bytes = 0
        self.regressions = 0
        members = [
            member(f"n{index}", f"perth-{index % zones}") for index in range(nodes)
        ]
        self.platform = {f"members/{index}": 1 for index in range(objects)}
        self.platform["config/current"] = 1
        self.states = {}
        for process in members:
            state = versions.start(
                versions.VersionsSettings(),
                process.node,
                process.place,
                0.0,
                self.random.getrandbits(48),
            )
            self.states[process.node] = versions.set_peers(state, members)
            self._push(self.random.uniform(0, TICK_S), process.node, None)
        for name in self.states:
            for key in self.platform:
                self._add_record(name, Versioned(key, 1, b"x" * 200))
        for name, state in self.states.items():
            self.states[name] = dataclasses.replace(state, rounds_left=Map())

    @property
    def watchers(self) -> list[str]:
        return [n for n, s in self.states.items() if versions.is_watcher(s)]

    def publish(self, key: str) -> None:
        """Writes a new version, which the watchers read at once."""
        self.platform[key] += 1
        for name in self.watchers:
            self._add_record(name, Versioned(key, self.platform[key], b"y" * 200))

    def stale_read(self, key: str) -> None:
        """Lets every node read the first version of an object."""
        for name in self.states:
            self._add_record(name, Versioned(key, 1, b"x" * 200))

    def restart(self, name: str) -> None:
        """Restarts a node with its peers but without any objects."""
        old = self.states[name]
        fresh = versions.start(
            old.settings, name, old.place, self.now, self.random.getrandbits(48)
        )
        self.states[name] = dataclasses.replace(
            fresh, peers=old.peers, watchers=old.watchers
        )

    def advance(self, duration: float) -> None:
        until = self.now + duration
        while self.queue and self.queue[0][0] <= until:
            self.now, _, name, event = heapq.heappop(self.queue)
            self._step(name, event)
        self.now = until

    def lagging(self, key: str) -> int:
        """Counts the nodes without the newest version of an object."""
        newest = self.platform[key]
        records = (state.records.get(key) for state in self.states.values())
        return sum(record is None or record.version < newest for record in records)

    def _push(self, delay: float, name: str, event) -> None:
        entry = (self.now + delay, next(self.event_numbers), name, event)
        heapq.heappush(self.queue, entry)

    def _add_record(self, name: str, record: Versioned) -> None:
        before = self.states[name].records.get(record.key)
        self.states[name], _ = versions.add_record(self.states[name], record)
        after = self.states[name].records[record.key]
        self.regressions += before is not None and after.version < before.version

    def _step(self, name: str, event) -> None:
        state = self.states[name]
        if event is None:
            self._push(TICK_S, name, None)
            state, actions = versions.on_tick(state, self.now)
        else:
            sender, message = event
            state, actions = versions.on_message(state, sender, message, self.now)
        self.states[name] = state
        for action in actions:
            if isinstance(action, Send):
                self.bytes += len(msgspec.msgpack.encode(action.message))
                if self.random.random() >= self.loss:
                    self._push(LATENCY_S, action.to, (name, action.message))
