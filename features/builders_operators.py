"""Simulated deployment for the operators' commands: platform, processes, clock."""

from __future__ import annotations

import io
from collections.abc import Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass, field

import msgspec

from rosemarydeal.cli.main import run
from rosemarydeal.cli.nodes import NodeUnreachable
from rosemarydeal.cli.output import Output
from rosemarydeal.cli.session import CommandContext, Session
from rosemarydeal.core import (
    CONFIG_KEY,
    UPSTREAMS_KEY,
    ZONES_KEY,
    Address,
    Chunk,
    Incarnation,
    KnownVersion,
    Member,
    NodeStatus,
    Place,
    Row,
    SliceId,
    SliceStatus,
    chunk_of,
    slice_of,
)
from rosemarydeal.objects import Changes, PlatformConflict, PlatformUnavailable
from rosemarydeal.standins.store import ObjectStore

__all__ = ["FakeNodes", "FakePlatform", "OperatorConsole", "build_console", "member_of"]


class FakePlatform:
    """In-memory platform that injects faults."""

    def __init__(self, store: ObjectStore) -> None:
        self.store = store
        self.down = False
        self.lose_answers = 0
        self.lose_requests = 0
        self.before_put: list[Callable[[], None]] = []
        self.puts = 0

    async def get(self, key):
        self._check_up()
        stored = self.store.get(key)
        return stored.versioned if stored else None

    async def list(self, prefix):
        self._check_up()
        return tuple(stored.versioned for stored in self.store.list(prefix))

    async def put(self, key, value, expected_version, change_id):
        self._check_up()
        if key in (CONFIG_KEY, ZONES_KEY, UPSTREAMS_KEY):
            self.puts += 1
            if self.before_put:
                self.before_put.pop(0)()
            if self.lose_requests:
                self.lose_requests -= 1
                raise PlatformUnavailable("lost")
        stored = self.store.put(key, value, expected_version, change_id)
        if stored is None:
            raise PlatformConflict("another write came first")
        if self.lose_answers and key in (CONFIG_KEY, ZONES_KEY, UPSTREAMS_KEY):
            self.lose_answers -= 1
            raise PlatformUnavailable("lost")
        return stored.versioned.version

    async def watch(self, prefixes, after, timeout_s):
        return Changes(self.store.revision, ())

    def _check_up(self):
        if self.down:
            raise PlatformUnavailable("down")


class FakeNodes:
    """Status of all processes; each applies new versions at once, or lags by one."""

    def __init__(self, store: ObjectStore, members: tuple[Member, ...]) -> None:
        self._store = store
        self._members = {member.admin: member for member in members}
        self.unresponsive: set[str] = set()
        self.lagging: set[str] = set()
        self.running: dict[str, int] = {}
        self.owned_by = ""

    def _stored_version(self, key):
        stored = self._store.get(key)
        return stored.versioned.version if stored else 0

    def _reachable_member(self, admin):
        member = self._members.get(admin)
        if member is None or member.node in self.unresponsive:
            raise NodeUnreachable(f"{admin}: no answer in time")
        return member

    async def status(self, admin):
        member = self._reachable_member(admin)
        lag = 1 if member.node in self.lagging else 0
        return NodeStatus(
            node=member.node,
            incarnation=member.incarnation.number,
            service=member.service,
            availability_zone=member.place.availability_zone,
            config_version=max(0, self._stored_version(CONFIG_KEY) - lag),
            operator_versions=tuple(
                KnownVersion(key, max(0, self._stored_version(key) - lag))
                for key in (ZONES_KEY, UPSTREAMS_KEY)
            ),
            lease_valid=True,
            lease_left_s=1.2,
            upstream_up=True,
            running=self.running.get(member.node, 0),
            limit=member.slots,
        )

    async def locate(self, admin, service, key):
        member = self._reachable_member(admin)
        return SliceStatus(
            slice=slice_of(service, key, 256),
            known_by=member.node,
            owned_here=member.node == self.owned_by,
            token=7,
            lease_left_s=1.0,
        )


@dataclass
class OperatorConsole:
    """One operator's command line, with the output of the last command."""

    platform: FakePlatform
    nodes: FakeNodes
    now: float = 0.0
    operator: str = "eva"
    results: io.StringIO = field(default_factory=io.StringIO)
    messages: io.StringIO = field(default_factory=io.StringIO)
    ids: int = 0

    async def sleep(self, seconds):
        self.now += seconds

    def new_change_id(self):
        self.ids += 1
        return f"change-{self.operator}-{self.ids}"

    @asynccontextmanager
    async def open_session(self):
        yield Session(
            platform=self.platform,
            nodes=self.nodes,
            operator=self.operator,
            output=Output(self.results, self.messages),
            sleep=self.sleep,
            elapsed=lambda: self.now,
            now=lambda: f"2031-05-06T07:08:{self.ids:02d}+00:00",
            new_change_id=self.new_change_id,
        )

    def run(self, *arguments: str) -> int:
        """Runs one command and returns its exit code."""
        self.results.seek(0)
        self.results.truncate()
        self.messages.seek(0)
        self.messages.truncate()
        context = CommandContext(self.open_session, Output(self.results, self.messages))
        return run(list(arguments), context)

    def colleague(self, operator: str = "finn") -> OperatorConsole:
        """Returns another operator's command line for the same deployment."""
        platform = FakePlatform(self.platform.store)
        return OperatorConsole(platform, self.nodes, operator=operator)


def member_of(number: int, zone: str, service: str = "box-office") -> Member:
    """Builds a member of the example deployment."""
    node = f"{service}-{number}"
    port = number + (100 if service != "box-office" else 0)
    return Member(
        incarnation=Incarnation(node, 1),
        witnesses=(),
        service=service,
        place=Place("wa-perth", zone, node),
        peer=Address("127.0.0.1", 7000 + port),
        entry_host="127.0.0.1",
        admin=Address("127.0.0.1", 8000 + port),
        slots=12,
    )


def fremantle_members() -> tuple[Member, ...]:
    """Builds the members of the example deployment."""
    zones = ("perth-a", "perth-b", "perth-c")
    members = [member_of(n, zones[n % 3]) for n in range(1, 7)]
    members += [member_of(n, zones[n % 3], "show-schedule") for n in range(1, 5)]
    return tuple(members)


def build_console(members: tuple[Member, ...] | None = None) -> OperatorConsole:
    """Builds a deployment; the first two members are in the row of one slice."""
    members = fremantle_members() if members is None else members
    store = ObjectStore()
    for member in members:
        store.put(f"members/{member.node}", msgspec.json.encode(member), 0, "m")
    nodes = FakeNodes(store, members)
    if members:
        nodes.owned_by = members[0].node
        _put_row(store, tuple(member.incarnation for member in members[:2]))
    return OperatorConsole(FakePlatform(store), nodes)


def _put_row(store: ObjectStore, succession: tuple[Incarnation, ...]) -> None:
    """Writes the row of the slice of the key show-7."""
    slice_id = slice_of("box-office", "show-7", 256)
    row = Row(SliceId(slice_id.service, slice_id.index), 4, succession)
    chunk = Chunk("box-office", chunk_of(slice_id), (row,))
    key = f"slices/box-office/{chunk.number}"
    store.put(key, msgspec.json.encode(chunk), 0, "c")
