"""Assignment policies for the slices of the bench's keyed service."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace

from rosemarydeal.core import (
    Address,
    Incarnation,
    Member,
    MemberPhase,
    Place,
    Row,
    SliceId,
    rendezvous_order,
)
from rosemarydeal.policy import control
from rosemarydeal.policy.control import ControlEvent, ControlSettings, ControlState
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

from .keyed_fleet import HOT_SHARE, SLICES, KeyedFleet

__all__ = [
    "AssignmentPolicy",
    "ControlAssignment",
    "HashAssignment",
    "PerfectAssignment",
]

PLATFORM_ONE_WAY_S = 0.005
READ_DELAY_S = 0.010
CLEANUP_DELAY_S = 0.1
TAKEOVER_DELAY_S = 3.4
TICK_PERIOD_S = 0.25
MEASURE_PERIOD_S = 1.0


class AssignmentPolicy:
    """Base class of the assignment policies."""

    def __init__(self, fleet: KeyedFleet) -> None:
        self.fleet = fleet
        self.lost: set[str] = set()
        self.disabled_zones: frozenset[str] = frozenset()

    def eligible(self) -> list[str]:
        """Returns the nodes that may own slices."""
        return [
            name
            for name, node in self.fleet.nodes.items()
            if name not in self.lost and node.zone not in self.disabled_zones
        ]

    def start(self) -> None:
        """Assigns all slices for the first time."""
        raise NotImplementedError

    def kill(self, node: str) -> None:
        """Stops a node; its slices are taken over once its lease has expired."""
        self.fleet.kill(node)
        self.lost.add(node)
        self.fleet.clock.after(TAKEOVER_DELAY_S, self.on_loss_detected, node)

    def on_loss_detected(self, node: str) -> None:
        """Reassigns the slices of a node whose lease has expired."""
        raise NotImplementedError

    def set_disabled_zones(self, zones: frozenset[str]) -> None:
        """Sets the availability zones that are out of service."""
        self.disabled_zones = zones


class HashAssignment(AssignmentPolicy):
    """Assigns each slice to the first eligible node by rendezvous hashing."""

    def start(self) -> None:
        """Assigns all slices for the first time."""
        self._assign()

    def on_loss_detected(self, node: str) -> None:
        """Transfers the slices of a lost node to the next node by hash."""
        for index in range(SLICES):
            slice_id = SliceId(self.fleet.service, index)
            if self.fleet.owner(slice_id) == node:
                self.fleet.take_over(slice_id, self._choice(slice_id))

    def set_disabled_zones(self, zones: frozenset[str]) -> None:
        """Moves all affected slices at once."""
        super().set_disabled_zones(zones)
        self._assign()

    def _choice(self, slice_id: SliceId) -> str:
        return rendezvous_order(str(slice_id.index), self.eligible())[0]

    def _assign(self) -> None:
        for index in range(SLICES):
            slice_id = SliceId(self.fleet.service, index)
            self.fleet.assign(slice_id, self._choice(slice_id), 2)


class PerfectAssignment(AssignmentPolicy):
    """Places slices by their true loads each second; moves are instantaneous."""

    def start(self) -> None:
        """Assigns all slices now and once a second from then on."""
        self.fleet.clock.every(MEASURE_PERIOD_S, self._place)

    def on_loss_detected(self, node: str) -> None:
        """Does nothing; `kill` has already reassigned the slices."""

    def kill(self, node: str) -> None:
        """Stops a node and places its slices at once."""
        self.fleet.kill(node)
        self.lost.add(node)
        self._place()

    def set_disabled_zones(self, zones: frozenset[str]) -> None:
        """Places all slices at once."""
        super().set_disabled_zones(zones)
        self._place()

    def _place(self) -> None:
        weights = self._weights()
        nodes = {name: self.fleet.nodes[name].upstream for name in self.eligible()}
        loads = dict.fromkeys(nodes, 0.0)
        for index in sorted(weights, key=lambda index: -weights[index]):
            best = min(
                nodes,
                key=lambda name: (
                    (loads[name] + weights[index]) * nodes[name].slow_factor
                ),
            )
            loads[best] += weights[index]
            self.fleet.place_at_once(SliceId(self.fleet.service, index), best)

    def _weights(self) -> dict[int, float]:
        service = self.fleet.workload.keyed
        total = self.fleet.load * service.capacity * service.mean_service_s
        weights = dict.fromkeys(range(SLICES), total * (1 - HOT_SHARE) / SLICES)
        for digest, load in self.fleet.key_rates().items():
            weights[digest % SLICES] += load
        return weights


class ControlAssignment(AssignmentPolicy):
    """Runs the control policy on every node against a modelled platform."""

    def __init__(
        self,
        fleet: KeyedFleet,
        seed: int,
        change: Callable[[ControlSettings], ControlSettings] = lambda same: same,
    ) -> None:
        super().__init__(fleet)
        settings = change(ControlSettings(fleet.service, SLICES))
        self._chunks: dict[int, ChunkRead] = {}
        self._members: dict[str, MemberRead] = {}
        self._controls: dict[str, ControlState] = {
            name: control.start(settings, name, seed + number)
            for number, name in enumerate(fleet.nodes)
        }
        self.writes = 0
        self.conflicts = 0
        fleet.on_move_complete(self._clear_retiring)

    def start(self) -> None:
        """Announces all members and starts the clocks."""
        for name in self.fleet.nodes:
            self._write_member(self._member(name))
        self._broadcast(control.ZonesChanged(frozenset()))
        self.fleet.clock.every(TICK_PERIOD_S, self._tick)
        self.fleet.clock.every(MEASURE_PERIOD_S, self._measure)

    def on_loss_detected(self, node: str) -> None:
        """Lets the first live successors take over and records the loss."""
        for read in list(self._chunks.values()):
            for row in read.chunk.rows:
                if row.owner is not None and row.owner.node == node:
                    successors = (n.node for n in row.succession[1:])
                    successor = next(
                        (n for n in successors if n not in self.lost), None
                    )
                    if successor is not None:
                        self.fleet.take_over(row.slice, successor)
        member = self._members[node].member
        self._write_member(replace(member, phase=MemberPhase.LOST))

    def set_disabled_zones(self, zones: frozenset[str]) -> None:
        """Delivers the changed settings to all processes."""
        super().set_disabled_zones(zones)
        self.fleet.clock.after(
            READ_DELAY_S, self._broadcast, control.ZonesChanged(zones)
        )

    def drain(self, node: str) -> None:
        """Marks a node as draining in its member record."""
        member = self._members[node].member
        self._write_member(replace(member, phase=MemberPhase.DRAINING))

    def _member(self, name: str) -> Member:
        node = self.fleet.nodes[name]
        return Member(
            Incarnation(name, 1),
            (),
            self.fleet.service,
            Place(self.fleet.workload.region, node.zone, name),
            Address("127.0.0.1", 7000),
            "127.0.0.1",
            slots=node.upstream.spec.slots,
        )

    def _write_member(self, member: Member) -> None:
        current = self._members.get(member.node)
        read = MemberRead((current.version if current else 0) + 1, member)
        self._members[member.node] = read
        self.fleet.clock.after(READ_DELAY_S, self._broadcast, read)

    def _broadcast(self, event: ControlEvent) -> None:
        for name in self._controls:
            self._step(name, event)

    def _tick(self) -> None:
        self._broadcast(Tick())

    def _measure(self) -> None:
        for name, load in self.fleet.measure(MEASURE_PERIOD_S).items():
            self._step(name, load)

    def _step(self, name: str, event: ControlEvent) -> None:
        if name in self.lost:
            return
        clock = self.fleet.clock
        state, actions = control.step(self._controls[name], event, clock.now)
        self._controls[name] = state
        for action in actions:
            match action:
                case WriteChunk():
                    clock.after(PLATFORM_ONE_WAY_S, self._write, name, action)
                case Send(to, message):
                    event = MessageReceived(name, message)
                    delay = self.fleet.workload.between_zones_s
                    clock.after(delay, self._step, to, event)

    def _write(self, name: str, write: WriteChunk) -> None:
        self.writes += 1
        number = write.chunk.number
        current = self._chunks.get(number)
        if (current.version if current else 0) != write.expected_version:
            self.conflicts += 1
            answer: ControlEvent = WriteConflicted(write.change_id)
        else:
            answer = WriteSucceeded(write.change_id, write.expected_version + 1)
            self._commit(ChunkRead(write.expected_version + 1, write.chunk))
        self.fleet.clock.after(PLATFORM_ONE_WAY_S, self._step, name, answer)

    def _commit(self, read: ChunkRead) -> None:
        current = self._chunks.get(read.chunk.number)
        before = {row.slice: row for row in current.chunk.rows} if current else {}
        self._chunks[read.chunk.number] = read
        after = {row.slice for row in read.chunk.rows}
        for slice_id in before.keys() - after:
            self.fleet.drop(slice_id)
        for row in read.chunk.rows:
            if row != before.get(row.slice):
                self._apply_row(row, before.get(row.slice))
        self.fleet.clock.after(READ_DELAY_S, self._broadcast, read)

    def _apply_row(self, row: Row, before: Row | None) -> None:
        if row.owner is None:
            return
        moved = before is None or before.owner != row.owner
        others = len({*row.succession, *row.retiring}) - 1
        if moved:
            self.fleet.assign(row.slice, row.owner.node, others)
        if row.retiring and (not moved or before is None):
            self.fleet.clock.after(CLEANUP_DELAY_S, self._clear_retiring, row.slice)

    def _clear_retiring(self, slice_id: SliceId) -> None:
        """Removes the retiring names of a row, as the ownership policy does."""
        number = slice_id.index // 64
        read = self._chunks.get(number)
        if read is None:
            return
        rows = []
        for row in read.chunk.rows:
            if row.slice == slice_id and row.retiring:
                row = cleaned_row(row, row.retiring)
            rows.append(row)
        if tuple(rows) != read.chunk.rows:
            chunk = replace(read.chunk, rows=tuple(rows))
            self._chunks[number] = ChunkRead(read.version + 1, chunk)
            self.fleet.clock.after(READ_DELAY_S, self._broadcast, self._chunks[number])
