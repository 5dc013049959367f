"""Simulates owners of keys while their store is restored from copies.

The nodes run the product's records, proposals, leases and restored ranges in virtual
time. Their processes restart, are cut off from the store and from each other, and
learn of writes late. The world checks that no key is held by two upstreams, and that
each upstream takes keys with a token above those of all others.
"""

from __future__ import annotations

import random
from dataclasses import dataclass, field

from features.builders_fleet_types import SERVICE, a_member, a_view
from rosemarydeal.core.fleet import KeyRange, RangeTable, Revision, StoredObject
from rosemarydeal.node.contents import encode_table, table_name
from rosemarydeal.node.records import RANGES, Records
from rosemarydeal.platform.store import Listing
from rosemarydeal.policy.keyranges import ownership_lease, proposals
from rosemarydeal.policy.keyranges import table as tables
from rosemarydeal.policy.keyranges.restored_ranges import RestoredRanges

NODES = ("a", "b", "c")
KEYS = range(0, 65536, 4096)
STEP_S = 0.25
MAX_HOLD_S = 10.0


@dataclass
class Hold:
    """A key that an upstream holds."""

    token: int
    until: float


class Store:
    """The table in the store, its history position, and a copy."""

    def __init__(self):
        self.era, self.number, self.up = 1, 1, True
        self.content, self.written_at = None, 0
        self.copy = (1, None, 0)

    def take_copy(self):
        self.copy = (self.number, self.content, self.written_at)

    def restore(self):
        self.number, self.content, self.written_at = self.copy
        self.era += 1
        self.up = True

    def listing(self):
        objects = ()
        if self.content is not None:
            revision = Revision(self.era, self.written_at)
            objects = (
                StoredObject(RANGES, table_name(SERVICE), revision, self.content),
            )
        return Listing(objects, Revision(self.era, self.number))

    def write(self, content, number):
        """Writes if the stored revision number is the given one; ignores the era."""
        if (self.written_at if self.content is not None else 0) != number:
            return None
        self.number += 1
        self.content, self.written_at = content, self.number
        revision = Revision(self.era, self.number)
        return StoredObject(RANGES, table_name(SERVICE), revision, content)


@dataclass
class Node:
    """A process, and the upstream beside it, which outlives the process."""

    name: str
    holds: dict[int, Hold] = field(default_factory=dict)
    cut_until: float = 0.0

    def __post_init__(self):
        self.restart()

    def restart(self):
        self.records = Records()
        self.restored = RestoredRanges(self.name)
        self.lease = ownership_lease.OwnershipLease()
        self.suspicions = {}
        self.renew_at = 0.0

    @property
    def table(self) -> RangeTable | None:
        return self.records.table(SERVICE)

    def is_outdated(self):
        return self.records.is_table_outdated(SERVICE)

    def update(self, now):
        valid = now < ownership_lease.lease_expiry(self.lease)
        self.restored.update(self.table, self.is_outdated(), valid, now)

    def usable(self, now) -> list[KeyRange]:
        if self.table is None:
            return []
        return self.restored.usable(tables.owned_by(self.table, self.name), now)


class RestoredWorld:
    """Three owners, their store, and the oracle."""

    def __init__(self, seed):
        self.rng = random.Random(seed)
        self.now = 100.0
        self.store = Store()
        self.nodes = {name: Node(name) for name in NODES}
        self.members = [a_member(name) for name in NODES]
        self.highest = {}
        self.restores = self.handovers = self.served = 0
        self.deliveries = []
        self.down_until = None

    def run(self, steps):
        for _ in range(steps):
            self.now += STEP_S * self.rng.uniform(0.2, 1.5)
            self.disturb()
            for _, name, stored in [d for d in self.deliveries if d[0] <= self.now]:
                node = self.nodes[name]
                if self.now >= node.cut_until:
                    node.records.apply(stored, changed=True)
                    node.update(self.now)
            self.deliveries = [d for d in self.deliveries if d[0] > self.now]
            for node in self.rng.sample(list(self.nodes.values()), len(NODES)):
                self.step(node)
            self.check()

    def disturb(self):
        """Restores the store, restarts processes and cuts nodes off, now and then."""
        rng = self.rng
        if self.down_until is not None:
            if self.now >= self.down_until:
                self.down_until = None
                self.store.restore()
                self.restores += 1
        elif rng.random() < 0.01:
            self.store.up = False
            self.down_until = self.now + rng.choice((0.3, 2.0, 6.0, 14.0))
        if self.store.up and rng.random() < 0.05:
            self.store.take_copy()
        if rng.random() < 0.01:
            rng.choice(list(self.nodes.values())).restart()
        if rng.random() < 0.02:
            node = rng.choice(list(self.nodes.values()))
            node.cut_until = self.now + rng.choice((1.0, 4.0, 20.0))

    def reaches_store(self, node):
        return self.store.up and self.now >= node.cut_until

    def step(self, node):
        """Lists or renews, grants, and proposes as the process does."""
        if self.reaches_store(node):
            self.read(node)
        self.grant(node)
        if self.reaches_store(node) and node.records.listed(RANGES):
            self.propose(node)

    def read(self, node):
        """Lists the table in a new era; renews the lease by a read otherwise."""
        listing = self.store.listing()
        if listing.revision.era > node.records.era(RANGES) or self.rng.random() < 0.1:
            node.records.apply_listing(RANGES, listing)
            node.update(self.now)
        elif self.now >= node.renew_at and node.table is not None:
            node.renew_at = self.now + ownership_lease.renewal_period(len(NODES))
            for stored in listing.objects:
                node.records.apply(stored)
            node.update(self.now)
            if not node.is_outdated():
                node.lease = ownership_lease.renew(
                    node.lease, node.table, node.name, self.now
                )

    def grant(self, node):
        """Grants the usable ranges to the upstream for as long as the lease allows."""
        hold_s = ownership_lease.grant_duration(node.lease, self.now, MAX_HOLD_S)
        if hold_s <= 0:
            return
        for keys in node.usable(self.now):
            for key in KEYS:
                if key in keys:
                    self.take(node, key, Hold(keys.token, self.now + hold_s))

    def take(self, node, key, hold):
        """Has an upstream take a key; its token must be above those of all others."""
        holder, token = self.highest.get(key, (node.name, 0))
        assert hold.token > token or holder == node.name, (key, node.name, hold)
        self.highest[key] = (node.name, max(token, hold.token))
        node.holds[key] = hold

    def view(self, node):
        """Builds the input of a proposal."""
        current = {(s.node, s.number) for s in node.table.suspicions}
        node.suspicions = {s: node.suspicions.get(s, self.now) for s in current}
        unresponsive_s = {
            other.name: 10.0
            for other in self.nodes.values()
            if other is not node and self.now < other.cut_until
        }
        outdated_s = node.restored.outdated_s(self.now)
        owned = tables.owned_by(node.table, node.name)
        return a_view(
            node.name,
            self.members,
            unresponsive_s=unresponsive_s,
            lease_expired=frozenset(
                name
                for (name, _), since in node.suspicions.items()
                if self.now - since >= ownership_lease.takeover_wait()
            ),
            writer=f"w{self.rng.random()}",
            restored=proposals.RestoredTable(
                node.records.era(RANGES),
                outdated_s,
                node.records.stored_top_token(SERVICE),
                node.restored.remembered,
                node.restored.is_settled(self.now),
                len(node.usable(self.now)) < len(owned),
            ),
        )

    def propose(self, node):
        """Carries out the change that is due, or a hand-over for balance."""
        if node.table is None:
            first = tables.initial_table(
                SERVICE, self.members, "first", node.records.era(RANGES)
            )
            self.write(node, first)
            return
        view = self.view(node)
        match proposals.propose(node.table, view):
            case proposals.WriteTable(changed):
                self.write(node, changed)
            case proposals.HandOver(parts):
                self.hand_over(node, parts)
            case None:
                outdated = view.restored.outdated_s is not None
                if outdated or view.restored.unusable or self.rng.random() > 0.1:
                    return
                owned = tables.owned_by(node.table, node.name)
                eligible = proposals.eligible_owners(view)
                if owned and eligible:
                    part = (self.rng.choice(owned), self.rng.choice(eligible))
                    self.hand_over(node, (part,))

    def hand_over(self, node, parts):
        """Releases ranges from the upstream, then writes their new owners."""
        for keys, _ in parts:
            for key in [key for key in node.holds if key in keys]:
                del node.holds[key]
        moved = [(keys, owner, "h") for keys, owner in parts]
        self.write(node, tables.move_ranges(node.table, moved, f"h{self.now}"))
        self.handovers += 1

    def write(self, node, changed):
        """Writes a table over the recorded revision; the others learn of it late."""
        base = node.records.stored(RANGES, table_name(SERVICE))
        if changed.era != node.records.era(RANGES):
            return
        number = base.revision.number if base is not None and base.content else 0
        stored = self.store.write(encode_table(changed), number)
        if stored is None:
            return
        node.records.apply(stored, changed=True)
        node.update(self.now)
        for name in NODES:
            if name != node.name and self.rng.random() < 0.7:
                delay_s = self.rng.choice((0.01, 0.5, 3.0))
                self.deliveries.append((self.now + delay_s, name, stored))

    def check(self):
        """Checks that no key is held by two upstreams."""
        for key in KEYS:
            holders = [
                node.name
                for node in self.nodes.values()
                if key in node.holds and node.holds[key].until > self.now
            ]
            assert len(holders) <= 1, (self.now, key, holders)
            self.served += len(holders)
