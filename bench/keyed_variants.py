"""Decides who owns the slices of the bench's keyed service, in several ways."""

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

__all__ = ["ControlOwners", "HashOwners", "Owners", "PerfectOwners"]

PLATFORM_S = 0.005
READ_S = 0.010
CLEAN_S = 0.1
TAKEOVER_S = 3.4
TICK_S = 0.25
MEASURE_S = 1.0


class Owners:
    """Gives slices to nodes; the base of all variants."""

    def __init__(self, fleet: KeyedFleet) -> None:
        self.fleet = fleet
        self.lost: set[str] = set()
        self.out_zones: frozenset[str] = frozenset()

    def eligible(self) -> list[str]:
        """Returns the nodes that may own slices."""
        return [
            name
            for name, node in self.fleet.nodes.items()
            if name not in self.lost and node.zone not in self.out_zones
        ]

    def start(self) -> None:
        """Assigns all slices for the first time."""
        raise NotImplementedError

    def lose(self, node: str) -> None:
        """Loses a node; its slices are taken over once its lease lapsed."""
        self.fleet.lose(node)
        self.lost.add(node)
        self.fleet.clock.after(TAKEOVER_S, self.noticed_loss, node)

    def noticed_loss(self, node: str) -> None:
        """Acts on a loss that is now certain."""
        raise NotImplementedError

    def set_out_zones(self, zones: frozenset[str]) -> None:
        """Takes availability zones out, or back when they aren't named."""
        self.out_zones = zones


class HashOwners(Owners):
    """Gives each slice to the first eligible node by rendezvous hashing."""

    def start(self) -> None:
        """Assigns all slices for the first time."""
        self._assign()

    def noticed_loss(self, node: str) -> None:
        """Lets the next node by hash take over."""
        for index in range(SLICES):
            slice_id = SliceId(self.fleet.service, index)
            if self.fleet.owner(slice_id) == node:
                self.fleet.take_over(slice_id, self._choice(slice_id))

    def set_out_zones(self, zones: frozenset[str]) -> None:
        """Moves all slices concerned at once."""
        super().set_out_zones(zones)
        self._assign()

    def _choice(self, slice_id: SliceId) -> str:
        return rendezvous_order(str(slice_id.index), self.eligible())[0]

    def _assign(self) -> None:
        for index in range(SLICES):
            slice_id = SliceId(self.fleet.service, index)
            self.fleet.assign(slice_id, self._choice(slice_id), 2)


class PerfectOwners(Owners):
    """Places by the true loads each second, and moves without any pause."""

    def start(self) -> None:
        """Assigns all slices now and then each second."""
        self.fleet.clock.every(MEASURE_S, self._place)

    def noticed_loss(self, node: str) -> None:
        """Does nothing; the loss was known at once."""

    def lose(self, node: str) -> None:
        """Loses a node and places its slices at once."""
        self.fleet.lose(node)
        self.lost.add(node)
        self._place()

    def set_out_zones(self, zones: frozenset[str]) -> None:
        """Places all slices at once."""
        super().set_out_zones(zones)
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
            self.fleet.put(SliceId(self.fleet.service, index), best)

    def _weights(self) -> dict[int, float]:
        service = self.fleet.workload.keyed
        total = self.fleet.load * service.capacity * service.mean_service_s
        weights = dict.fromkeys(range(SLICES), total * (1 - HOT_SHARE) / SLICES)
        for digest, load in self.fleet.key_rates().items():
            weights[digest % SLICES] += load
        return weights


class ControlOwners(Owners):
    """Lets every node run the product's control policy against a platform."""

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
        fleet.on_settled(self._settled)

    def start(self) -> None:
        """Announces all members and starts the clocks."""
        for name in self.fleet.nodes:
            self._write_member(self._member(name))
        self._tell(control.ZonesChanged(frozenset()))
        self.fleet.clock.every(TICK_S, self._tick)
        self.fleet.clock.every(MEASURE_S, self._measure)

    def noticed_loss(self, node: str) -> None:
        """Lets the first live successors take over and records the loss."""
        for read in list(self._chunks.values()):
            for row in read.chunk.rows:
                if row.owner is not None and row.owner.node == node:
                    heirs = (n.node for n in row.succession[1:])
                    heir = next((n for n in heirs if n not in self.lost), None)
                    if heir is not None:
                        self.fleet.take_over(row.slice, heir)
        member = self._members[node].member
        self._write_member(replace(member, phase=MemberPhase.LOST))

    def set_out_zones(self, zones: frozenset[str]) -> None:
        """Tells all processes of the changed settings."""
        super().set_out_zones(zones)
        self.fleet.clock.after(READ_S, self._tell, control.ZonesChanged(zones))

    def drain(self, node: str) -> None:
        """Records that a node leaves."""
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
        known = self._members.get(member.node)
        read = MemberRead((known.version if known else 0) + 1, member)
        self._members[member.node] = read
        self.fleet.clock.after(READ_S, self._tell, read)

    def _tell(self, event: ControlEvent) -> None:
        for name in self._controls:
            self._step(name, event)

    def _tick(self) -> None:
        self._tell(Tick())

    def _measure(self) -> None:
        for name, load in self.fleet.measure(MEASURE_S).items():
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
                    clock.after(PLATFORM_S, self._write, name, action)
                case Send(to, message):
                    event = MessageReceived(name, message)
                    delay = self.fleet.workload.between_zones_s
                    clock.after(delay, self._step, to, event)

    def _write(self, name: str, write: WriteChunk) -> None:
        self.writes += 1
        number = write.chunk.number
        known = self._chunks.get(number)
        if (known.version if known else 0) != write.expected_version:
            self.conflicts += 1
            answer: ControlEvent = WriteConflicted(write.change_id)
        else:
            answer = WriteSucceeded(write.change_id, write.expected_version + 1)
            self._commit(ChunkRead(write.expected_version + 1, write.chunk))
        self.fleet.clock.after(PLATFORM_S, self._step, name, answer)

    def _commit(self, read: ChunkRead) -> None:
        known = self._chunks.get(read.chunk.number)
        before = {row.slice: row for row in known.chunk.rows} if known else {}
        self._chunks[read.chunk.number] = read
        after = {row.slice for row in read.chunk.rows}
        for slice_id in before.keys() - after:
            self.fleet.drop(slice_id)
        for row in read.chunk.rows:
            if row != before.get(row.slice):
                self._act_on(row, before.get(row.slice))
        self.fleet.clock.after(READ_S, self._tell, read)

    def _act_on(self, row: Row, before: Row | None) -> None:
        if row.owner is None:
            return
        moved = before is None or before.owner != row.owner
        others = len({*row.succession, *row.retiring}) - 1
        if moved:
            self.fleet.assign(row.slice, row.owner.node, others)
        if row.retiring and (not moved or before is None):
            self.fleet.clock.after(CLEAN_S, self._settled, row.slice)

    def _settled(self, slice_id: SliceId) -> None:
        """Clears the retiring names, as the ownership policy does."""
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
            self.fleet.clock.after(READ_S, self._tell, self._chunks[number])
