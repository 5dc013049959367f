"""Runs the control policy of several processes against a simulated platform."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace

from features.builders import member
from features.builders_placement import ZONES
from rosemarydeal.core import Incarnation, Member, MemberPhase, Row, SliceId
from rosemarydeal.core.messages import SliceLoad
from rosemarydeal.policy import control
from rosemarydeal.policy.control import (
    ControlEvent,
    ControlSettings,
    LocalLoad,
    ZonesChanged,
)
from rosemarydeal.policy.interface import (
    ChunkRead,
    MemberRead,
    MessageReceived,
    Send,
    Tick,
    WriteChunk,
    WriteConflicted,
    WriteSucceeded,
)
from rosemarydeal.policy.rows import cleaned_row

__all__ = ["ControlGroup"]

TICK_S = 0.25
NORMAL_LOAD = 0.1


class ControlGroup:
    """Control policies of box-office-1 and following; writes take effect at once.

    Hand-overs end by themselves: retiring names are cleared before the next tick, as
    the ownership policy would do.
    """

    def __init__(
        self, count: int = 6, slices: int = 256, unresponsive: int = 0
    ) -> None:
        self.now = 0.0
        self.settings = ControlSettings("box-office", slices)
        self.members: dict[str, MemberRead] = {}
        self.chunks: dict[int, ChunkRead] = {}
        self.history: list[ChunkRead] = []
        self.writes = 0
        self.moves: list[SliceId] = []
        self.move_times: list[float] = []
        self.clearing = True
        self.zones_event: ZonesChanged | None = ZonesChanged(frozenset())
        self.on_change: Callable[[Row | None, Row], None] = lambda before, after: None
        self.first_records: list[ControlEvent] = []
        self.sent = []
        self.states = {}
        self.unresponsive = {
            f"box-office-{number}" for number in range(1, unresponsive + 1)
        }
        for number in range(1, count + 1):
            self.join(number)

    def join(self, number: int, zone: str = "", incarnation: int = 1) -> None:
        """Starts a process and announces it."""
        node = f"box-office-{number}"
        self.states[node] = control.start(self.settings, node, number)
        for read in (*self.members.values(), *self.chunks.values()):
            self.step(node, read)
        if self.zones_event is not None:
            self.step(node, self.zones_event)
        record = member(node, zone or ZONES[(number - 1) % 3])
        self.announce(replace(record, incarnation=Incarnation(node, incarnation)))

    def announce(self, record: Member) -> None:
        """Writes a member record that all processes read."""
        known = self.members.get(record.node)
        read = MemberRead((known.version if known else 0) + 1, record)
        self.members[record.node] = read
        self.broadcast(read)

    def set_phase(self, node: str, phase: MemberPhase) -> None:
        """Changes a member's phase; a lost member is removed."""
        if phase is MemberPhase.LOST:
            self.states.pop(node, None)
        self.announce(replace(self.members[node].member, phase=phase))

    def take_zones_out(self, zones: frozenset[str]) -> None:
        """Sets the zones that are out and notifies all processes."""
        self.zones_event = ZonesChanged(zones)
        self.broadcast(self.zones_event)

    def broadcast(self, event: ControlEvent) -> None:
        """Passes an event to all processes."""
        for node in list(self.states):
            self.step(node, event)

    def step(self, node: str, event: ControlEvent) -> None:
        """Passes an event to one process and executes its actions."""
        if node in self.unresponsive or node not in self.states:
            return
        self.states[node], actions = control.step(self.states[node], event, self.now)
        for action in actions:
            match action:
                case WriteChunk():
                    self._write(node, action)
                case Send(to, message):
                    self.sent.append((to, message))
                    self.step(to, MessageReceived(node, message))

    def run(
        self,
        seconds: float,
        load: Callable[[str, SliceId], float] | None = None,
        service_s: Callable[[str], float] = lambda node: 0.05,
        hot_keys: Callable[[SliceId], tuple[tuple[int, float], ...]] = lambda s: (),
        reporting: Callable[[str], bool] = lambda node: True,
    ) -> None:
        """Advances the time; every process measures its load once a second."""
        until = self.now + seconds
        while self.now < until:
            if load is not None and self.now == int(self.now):
                self._measure(load, service_s, hot_keys, reporting)
            self._clear()
            self.broadcast(Tick())
            self.now += TICK_S

    def owners(self) -> dict[SliceId, str]:
        """Returns the node that owns each slice."""
        return {
            row.slice: row.owner.node
            for number in sorted(self.chunks)
            for row in self.chunks[number].chunk.rows
        }

    def _measure(self, load, service_s, hot_keys, reporting) -> None:
        owners = self.owners()
        for node in list(self.states):
            if not reporting(node):
                continue
            slices = tuple(
                SliceLoad(slice_id, load(node, slice_id), hot_keys(slice_id))
                for slice_id, owner in owners.items()
                if owner == node
            )
            busy = sum(item.load for item in slices) / 12
            self.step(node, LocalLoad(busy, slices, service_s(node)))

    def _write(self, node: str, write: WriteChunk) -> None:
        self.writes += 1
        number = write.chunk.number
        known = self.chunks.get(number)
        if (known.version if known else 0) != write.expected_version:
            self.step(node, WriteConflicted(write.change_id))
            return
        previous_rows = {row.slice: row for row in known.chunk.rows} if known else {}
        read = ChunkRead(write.expected_version + 1, write.chunk)
        self.chunks[number] = read
        self.history.append(read)
        for row in write.chunk.rows:
            old = previous_rows.get(row.slice)
            self.on_change(old, row)
            if old is not None and row.owner.node != old.owner.node:
                self.moves.append(row.slice)
                self.move_times.append(self.now)
        self.step(node, WriteSucceeded(write.change_id, read.version))
        self.broadcast(read)

    def _clear(self) -> None:
        """Clears all retiring names, each chunk in one write."""
        for number, read in list(self.chunks.items()) if self.clearing else ():
            rows = tuple(cleaned_row(row, row.retiring) for row in read.chunk.rows)
            if rows != read.chunk.rows:
                cleared = ChunkRead(read.version + 1, replace(read.chunk, rows=rows))
                self.chunks[number] = cleared
                self.history.append(cleared)
                self.broadcast(cleared)
