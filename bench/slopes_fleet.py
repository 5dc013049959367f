"""Fleets of any size and a driver of the ownership policy, for the slopes."""

from __future__ import annotations

from dataclasses import dataclass

from rosemarydeal.core import (
    Address,
    Chunk,
    Incarnation,
    Member,
    Place,
    Row,
    SliceId,
    WitnessSet,
)
from rosemarydeal.core.keys import SLICES_PER_CHUNK
from rosemarydeal.core.messages import LeaseReply, LeaseRequest
from rosemarydeal.peers import encode
from rosemarydeal.policy import ownership
from rosemarydeal.policy.interface import (
    ChunkRead,
    Event,
    MemberRead,
    MessageReceived,
    Send,
    Tick,
    UpstreamReady,
    WriteMember,
    WriteSucceeded,
)

__all__ = ["OwnerDrive", "chunks", "members"]

ZONES = ("a", "b", "c", "d", "e")
SERVICE = "box-office"
TICK_PERIOD_S = 0.1
SUCCESSORS = 2


def members(count: int) -> tuple[Member, ...]:
    """Builds the members of a fleet, spread over five availability zones."""
    return tuple(_member(number, count) for number in range(count))


def _member(number: int, count: int) -> Member:
    """Builds one member; its witnesses are the next three members."""
    node = f"box-office-{number}"
    zone = ZONES[number % len(ZONES)]
    witnesses = tuple(f"box-office-{(number + step) % count}" for step in (1, 2, 3))
    return Member(
        Incarnation(node, 1),
        witnesses,
        SERVICE,
        Place("region-1" if zone in "abc" else "region-2", zone, node),
        Address("10.0.0.1", 7400),
        "10.0.0.1",
        public_key="k" * 40,
        slots=12,
    )


def chunks(fleet: tuple[Member, ...], slices: int) -> tuple[Chunk, ...]:
    """Builds the rows of a service, spread evenly over a fleet."""
    names = [member.incarnation for member in fleet]
    holders = {m.incarnation: WitnessSet(m.incarnation, m.witnesses) for m in fleet}
    built = []
    for number in range(-(-slices // SLICES_PER_CHUNK)):
        first = number * SLICES_PER_CHUNK
        rows = tuple(
            _row(names, index)
            for index in range(first, min(first + SLICES_PER_CHUNK, slices))
        )
        used = sorted({name for row in rows for name in row.succession})
        table = tuple(holders[name] for name in used)
        built.append(Chunk(SERVICE, number, rows, table, f"first-{number}"))
    return tuple(built)


def _row(names: list[Incarnation], index: int) -> Row:
    """Builds the row of a slice: an owner and two successors."""
    count = len(names)
    succession = dict.fromkeys(
        names[(index + rank * (index // count + 1)) % count]
        for rank in range(SUCCESSORS + 1)
    )
    return Row(SliceId(SERVICE, index), 1, tuple(succession))


@dataclass(slots=True)
class Traffic:
    """Messages and bytes that a process sends and receives."""

    messages: int = 0
    size: int = 0

    def add(self, sender: str, message: object) -> None:
        """Counts one message."""
        self.messages += 1
        self.size += len(encode(sender, message))


class OwnerDrive:
    """Drives the ownership policy of the first node in virtual time.

    All other nodes answer at once. They grant the node its lease, and request as
    many leases from it as the average witness of the fleet grants.
    """

    def __init__(self, fleet: tuple[Member, ...]) -> None:
        self._fleet = fleet
        self._now = 0.0
        first = fleet[0]
        identity = ownership.Identity(first.node, SERVICE, first.place, slots=12)
        settings = ownership.OwnershipSettings()
        self._request_interval_s = settings.ask_interval_s
        self._requests_per_interval = settings.witness_count
        self._state = ownership.start(settings, identity, 0.0, 1)
        self.traffic = Traffic()

    @property
    def state(self) -> ownership.OwnershipState:
        """Returns the policy's present state."""
        return self._state

    def add_fleet(self) -> None:
        """Feeds all other members to the node and lets it acquire a lease."""
        for member in self._fleet[1:]:
            self.feed(MemberRead(1, member))
        self.feed(UpstreamReady())
        self.run(8.0)

    def add_rows(self, built: tuple[Chunk, ...]) -> None:
        """Feeds rows to the node, with its held incarnation in place of `#1`."""
        newest = self._state.newest_held(self._now)
        for chunk in built:
            rows = tuple(_renamed(row, newest) for row in chunk.rows)
            own = WitnessSet(newest, self._fleet[0].witnesses)
            renamed = Chunk(
                chunk.service, chunk.number, rows, (*chunk.holders, own), "renamed"
            )
            self.feed(ChunkRead(1, renamed))

    def run(self, seconds: float) -> None:
        """Runs for a time in which only ticks and lease requests arrive."""
        end = self._now + seconds
        next_request_at = self._now
        while self._now < end:
            self._now += TICK_PERIOD_S
            self.feed(Tick())
            if self._now >= next_request_at:
                next_request_at += self._request_interval_s
                self._request_as_others()

    def feed(self, event: Event) -> None:
        """Feeds one event and answers the node's requests and writes."""
        self._state, actions = ownership.step(self._state, event, self._now)
        for action in actions:
            match action:
                case Send(to, LeaseRequest(name, sequence) as request):
                    self.traffic.add(self._state.node, request)
                    self._answer(to, LeaseReply(name, sequence, True))
                case WriteMember(_, expected, change_id):
                    self.feed(WriteSucceeded(change_id, expected + 1))

    def _answer(self, sender: str, reply: LeaseReply) -> None:
        """Delivers a peer's reply."""
        self.traffic.add(sender, reply)
        self.feed(MessageReceived(sender, reply))

    def _request_as_others(self) -> None:
        """Sends the lease requests of the nodes that it is a witness of."""
        for member in self._fleet[1 : 1 + self._requests_per_interval]:
            request = LeaseRequest(member.incarnation, int(self._now * 10))
            self.traffic.add(member.node, request)
            self.traffic.add(self._state.node, LeaseReply(request.incarnation, 1, True))
            self.feed(MessageReceived(member.node, request))


def _renamed(row: Row, newest: Incarnation) -> Row:
    """Replaces the incarnation of a node in a row by a newer one."""
    names = tuple(newest if n.node == newest.node else n for n in row.succession)
    return Row(row.slice, row.version, names)
