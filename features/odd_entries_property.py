"""Property: whatever a faulty writer leaves in the store harms no other object.

Hypothesis generates odd objects of each kind; the product's store client and records
read them from the stand-in store, by listings and by watches.
"""

from __future__ import annotations

import asyncio
import math
from collections import Counter

import msgspec
from hypothesis import HealthCheck, Phase, given, settings
from hypothesis import strategies as st

from features.builders_fleet_types import SERVICE, a_member
from features.builders_node import a_configuration
from features.builders_odd_entries import nested
from features.standin_store import StandInStore
from rosemarydeal.core.fleet import Revision
from rosemarydeal.node import messages
from rosemarydeal.node.contents import encode_table
from rosemarydeal.node.records import KINDS, MEMBERS, RANGES, Records
from rosemarydeal.platform.names import CONFIGURATION_KIND, ZONES_OUT_KIND
from rosemarydeal.platform.store import StoreClient, StoreSettings
from rosemarydeal.policy.keyranges import table as tables

__all__ = ["check_odd_entries", "odd_objects"]

EXAMPLES = 150
WATCH_S = 0.05
NAMES = {
    MEMBERS: ("vm-a", "vm-b"),
    RANGES: (SERVICE, "lagerbok"),
    CONFIGURATION_KIND: ("main", "other"),
    ZONES_OUT_KIND: ("perth-a", "perth-b"),
}
# Bytes that close a bracket or a string of the answer around them are not among them:
# they make an answer that is none, which fails as a whole.
_ODD_VALUES = st.one_of(
    st.sampled_from((64, 65, 100, 900, 950, 1000, 1100, 5000)).map(nested),
    st.sampled_from((2**31, 2**53, 2**63 - 1, 2**63, 2**64, 10**30, 10**400)).flatmap(
        lambda number: st.sampled_from((b"%d" % number, b"-%d" % number))
    ),
    st.sampled_from((70000, 65536, 65535, 0, -1)).map(lambda n: b"%d" % n),
    st.sampled_from(
        (
            *(b"1e999", b"-1e300", b"1e-300", b"0.5", b"NaN", b"Infinity", b"9" * 5000),
            *(b"null", b"true", b'""', b"[]", b"{}", b"[[]]", b'{"a":1}', b"nul", b""),
            *(b'"\xff"', b'"\\ud800"', b'"\\u0000"', b'"a\\r\\nb: c"', b'"\x01"'),
            *(b'"%s"' % (b"a" * 100_000), b'"]}"', b'"\xc3\xb6 ?&/#"'),
        )
    ),
)


def _content(kind, name, number):
    """Returns a valid content, as a dictionary, that differs from number to number."""
    if kind == MEMBERS:
        port = 7000 + NAMES[MEMBERS].index(name)
        member = msgspec.to_builtins(a_member(name, slots=1 + number))
        return {**member, "peer": {"host": "127.0.0.1", "port": port}}
    if kind == RANGES:
        table = tables.initial_table(
            name, [a_member("vm-a")], f"w{number}", Revision(1, 0)
        )
        return msgspec.json.decode(encode_table(table))
    if kind == CONFIGURATION_KIND:
        return a_configuration(number + 1)
    return {"number": number}


def _paths(value, path=()):
    """Yields the path of each value within a value."""
    yield path
    items = value.items() if isinstance(value, dict) else ()
    if isinstance(value, list):
        items = enumerate(value)
    for key, child in items:
        yield from _paths(child, (*path, key))


def _encoded(value, path, odd):
    """Encodes a value in which the one at a path is replaced by odd bytes.

    The decoder's own encoder accepts no bytes that are no JSON.
    """
    if not path:
        return odd
    parts = []
    items = value.items() if isinstance(value, dict) else enumerate(value)
    for key, child in items:
        replaced = key == path[0]
        if replaced and path[1:] == () and odd is None:
            continue
        encoded = msgspec.json.encode(child)
        if replaced:
            encoded = _encoded(child, path[1:], odd)
        prefix = msgspec.json.encode(key) + b":" if isinstance(value, dict) else b""
        parts.append(prefix + encoded)
    opening, closing = (b"{", b"}") if isinstance(value, dict) else (b"[", b"]")
    return opening + b",".join(parts) + closing


@st.composite
def odd_objects(draw, kind, name):
    """Generates the bytes of an odd object of a kind."""
    stored = {
        "metadata": {"name": name, "rev": "REVISION", "finalizers": []},
        "spec": {**_content(kind, name, 0), "novelty": 1},
        "status": None,
    }
    path = draw(st.sampled_from(list(_paths(stored))))
    odd = draw(_ODD_VALUES) if not path or draw(st.integers(0, 9)) else None
    return _encoded(stored, path, odd).replace(b'"REVISION"', b"REVISION")


class _World:
    """A store with one more writer than it should have, and a process's records."""

    def __init__(self):
        self.store, self.records = StandInStore(), Records()
        self.client = None
        self.seen = Counter()
        self._number = 0
        self._foreign_version = 0

    async def start(self):
        address = await self.store.start("127.0.0.1")
        self.client = StoreClient(StoreSettings(address))
        for kind in KINDS:
            for name in NAMES[kind]:
                self.write(kind, name)
            await self.list(kind)

    async def close(self):
        await self.client.close()
        await self.store.close()

    def write(self, kind, name):
        """Writes an object as it should be; returns its revision."""
        self._number += 1
        self.store.put(kind, name, _content(kind, name, self._number))

    async def list(self, kind):
        self.records.apply_listing(kind, await self.client.list(kind))

    async def follow(self, kind):
        """Applies the changes since the last call."""
        revision = self.records.revision(kind)
        self.records.apply_changes(
            kind, await self.client.watch(kind, revision, WATCH_S)
        )

    async def play(self, kind, odd_object, by_listing):
        """Has the process meet an odd object, a change of another, and its repair."""
        read = self.list if by_listing else self.follow
        first, second = NAMES[kind]
        self.store.put_odd(kind, first, odd_object)
        await read(kind)
        self.check_usable(kind)
        self._foreign_version = self.records.configuration.version
        self.seen["not used" if self.lacks(kind, first) else "used"] += 1
        self.write(kind, second)
        await read(kind)
        self.check_written(kind, second)
        self.write(kind, first)
        await read(kind)
        self.check_written(kind, first)
        self.check_usable(kind)

    def lacks(self, kind, name):
        """Returns whether the records took nothing over from the odd object."""
        stored = self.records.stored(kind, name)
        return stored is None or stored.revision.number < self.store.revision

    def check_written(self, kind, name):
        """Checks that the records have an object as the store has it."""
        expected = self.store.objects[kind, name]
        stored = self.records.stored(kind, name)
        revision = Revision(self.store.era, expected["metadata"]["rev"])
        assert stored.revision == revision, (kind, name, stored.revision)
        assert msgspec.json.decode(stored.content) == expected["spec"], stored
        match kind:
            case "rosemarydeal-members":
                slots = self.records.members[name].slots
                assert slots == expected["spec"]["slots"], slots
            case "rosemarydeal-ranges":
                writer = self.records.table(name).writer
                assert writer == expected["spec"]["writer"], writer
            case "config" if name == "main":
                # A foreign configuration that is valid may have a high version.
                version = self.records.configuration.version
                expected_version = expected["spec"]["version"]
                assert version == max(expected_version, self._foreign_version), version
            case "evacuations":
                assert name in self.records.zones_out

    def check_usable(self, kind):
        """Checks that what the records hold can be sent, and computed with."""
        assert self.records.revision(kind).number <= self.store.revision
        assert self.records.last_change(kind).number <= self.store.revision
        messages.decode(messages.encode(self.records.listing(kind))[4:])
        for member in self.records.members.values():
            assert 1 <= member.peer.port <= 65535, member
            assert math.isfinite(member.weight) and member.weight > 0, member
            member.incarnation.encode("ascii")


def check_odd_entries():
    """Checks the property with the budget of CI; returns how often what happened."""
    loop = asyncio.new_event_loop()
    seen = Counter()

    @settings(
        derandomize=True,
        deadline=None,
        max_examples=EXAMPLES,
        suppress_health_check=list(HealthCheck),
        database=None,
        phases=[Phase.generate],
    )
    @given(st.data())
    def check(data):
        world = _World()
        loop.run_until_complete(world.start())
        try:
            for kind in KINDS:
                odd_object = data.draw(odd_objects(kind, NAMES[kind][0]))
                by_listing = data.draw(st.booleans())
                loop.run_until_complete(world.play(kind, odd_object, by_listing))
        finally:
            seen.update(world.seen)
            loop.run_until_complete(world.close())

    try:
        check()
    finally:
        loop.close()
    return seen
