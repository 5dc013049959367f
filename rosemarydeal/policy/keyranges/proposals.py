"""Decides which change to a service's table this process proposes now.

An owner transfers its own keys without waiting for a lease to expire when its
upstream leaves, is gone, or is in an availability zone that operators took out. One
that is gone only by its silence may still hold keys, and has to release them first.
Keys of an unresponsive process are reassigned by the first of the others by name,
once a suspicion has been recorded for long enough that its lease has expired.

When the store was restored from a copy, its table may lack changes that are in force.
It is written again as a process knew it, and nobody takes keys over or uses keys that
it did not own before until all leases of the former era have expired.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Mapping
from dataclasses import dataclass, replace

from rosemarydeal.core.fleet import (
    LAST_KEY,
    NO_REVISION,
    KeyRange,
    Member,
    RangeTable,
    Revision,
)

from . import table as tables

__all__ = [
    "HandOver",
    "OWNER_GONE",
    "OwnershipView",
    "RestoredTable",
    "UPSTREAM_GONE",
    "WriteTable",
    "eligible_owners",
    "propose",
    "renew_tokens",
    "still_owned",
]

# Reasons of changes that take keys from an owner without its release.
UPSTREAM_GONE = "upstream-gone"
OWNER_GONE = "owner-gone"
# Members of a starting deployment appear within a second or two.
STARTUP_SETTLE_S = 1.2
# A restarted process is back sooner, and a healthy peer does not pause for longer.
SUSPECT_AFTER_S = 2.0
# Added per rank, so that a process proposes only if those before it did not.
RANK_DELAY_S = 1.0
# Peers' changes of the former era arrive before.
RESTORE_SETTLE_S = 0.3
# A process without records of the former era leaves the restore to others, which may
# all have restarted, however.
RESTORE_COPY_AFTER_S = 3.0
# Covers an attempt to connect that times out, and a second one.
LINKS_SETTLE_S = 1.0
# A new member should own keys soon, but only after its peers have linked to it.
JOIN_SETTLE_S = 0.6


@dataclass(frozen=True, slots=True)
class RestoredTable:
    """What a process knows of its table since the store was restored.

    Attributes:
        position: Revision of the store, after that of any table before.
        outdated_s: How long the table is known not to have been written in this era,
            None if it has been.
        stored_top_token: Highest token of the copy.
        remembered: Whether the table was received in a former era, and not from the
            copy.
        settled: Whether all leases of the former era have expired since the table
            was restored.
        unusable: Whether own ranges may not be used until then.
        replaced: Whether this process knows no table, and there may have been one: the
            store holds something else in its place, or is not used for the first time.
    """

    position: Revision = NO_REVISION
    outdated_s: float | None = None
    stored_top_token: int = 0
    remembered: bool = False
    settled: bool = True
    unusable: bool = False
    replaced: bool = False


@dataclass(frozen=True, slots=True)
class OwnershipView:
    """Input for the choice of a proposal.

    Attributes:
        node: This node.
        service: Its service.
        incarnation: Incarnation of its upstream, empty if none is known.
        accepting: Whether its upstream accepts new work.
        alive: Whether its upstream is running.
        may_hold: Whether its upstream, if it is not alive, may still hold keys.
        members: Members of the service, by node.
        removed: Nodes whose members have been removed from the store, and that have
            ended. One that is just missing from the members may not be heard of yet,
            or be alive.
        zones_out: Availability zones that operators took out.
        unresponsive_s: How long members have been unreachable, by node.
        links_up: Number of other processes that are reachable, of all services.
        nodes: Number of processes of all services, including this one.
        lease_expired: Suspected nodes whose lease is certain to have expired.
        members_stable_s: Time since the members last changed.
        store_ready: Whether the store answers and all objects have been read.
        writer: Unique name for the write.
        restored: State of the table since a restore of the store.
        suspicions_delayed: Nodes that have refuted suspicions of this node, and must
            not be suspected by it again yet.
        linking_s: How long this process has known its peers, and linked to them.
    """

    node: str
    service: str
    incarnation: str
    accepting: bool
    alive: bool
    members: tuple[Member, ...]
    removed: frozenset[str]
    zones_out: frozenset[str]
    unresponsive_s: Mapping[str, float]
    links_up: int
    nodes: int
    lease_expired: frozenset[str]
    members_stable_s: float
    store_ready: bool
    writer: str
    restored: RestoredTable = RestoredTable()
    suspicions_delayed: frozenset[str] = frozenset()
    may_hold: bool = False
    linking_s: float = math.inf


@dataclass(frozen=True, slots=True)
class WriteTable:
    """Proposal to write a table."""

    table: RangeTable
    reason: str


@dataclass(frozen=True, slots=True)
class HandOver:
    """Proposal to release ranges from the own upstream and transfer them."""

    parts: tuple[tuple[KeyRange, Member], ...]


Proposal = WriteTable | HandOver | None
_Step = Callable[[RangeTable, OwnershipView, Member | None], Proposal]


def eligible_owners(table: RangeTable | None, view: OwnershipView) -> list[Member]:
    """Returns the other members that are eligible to own keys now.

    A suspected one does not renew its lease, and transfers the keys that it gets
    while it reaches few peers.

    Args:
        table: The current table, or None if there is none yet.
        view: The rest of the input.
    """
    suspected = _suspected(table)
    return [
        member
        for member in view.members
        if member.node != view.node
        and member.accepting
        and member.incarnation
        and member.zone not in view.zones_out
        and member.node not in view.unresponsive_s
        and member.node not in suspected
    ]


def propose(table: RangeTable | None, view: OwnershipView) -> Proposal:
    """Returns the change that is due, or None.

    Args:
        table: The current table, or None if there is none yet.
        view: The rest of the input.
    """
    if not view.store_ready:
        return None
    own = _own_member(view)
    if table is None:
        return _first_table(view, own)
    if view.restored.outdated_s is not None:
        return _restore(table, view, own)
    for step in _steps(view.restored):
        proposal = step(table, view, own)
        if proposal is not None:
            return proposal
    return None


def _steps(restored: RestoredTable) -> tuple[_Step, ...]:
    """Returns the changes that may be due, in order of their urgency."""
    if restored.unusable:
        return (_refute_suspicion, _suspect)
    own_keys = (_refute_suspicion, _leave, _renew_incarnation)
    if not restored.settled:
        return (*own_keys, _suspect, _share_with_joined)
    return (*own_keys, _settle, _take_over, _suspect, _share_with_joined)


def renew_tokens(table: RangeTable, member: Member, writer: str) -> RangeTable:
    """Returns the table with new tokens for all ranges of a member."""
    token = table.top_token + 1
    ranges = tuple(
        replace(keys, token=token, incarnation=member.incarnation, handover="")
        if keys.node == member.node
        else keys
        for keys in table.ranges
    )
    return replace(table, ranges=ranges, top_token=token, writer=writer)


def still_owned(table: RangeTable, part: KeyRange, node: str) -> bool:
    """Returns whether a node still owns part of a range under the same token."""
    current = tables.lookup(table, part.first)
    return current.node == node and current.token == part.token and part.last in current


def _suspected(table: RangeTable | None) -> frozenset[str]:
    """Returns the nodes against which the table contains a suspicion."""
    return frozenset(s.node for s in table.suspicions) if table else frozenset()


def _own_member(view: OwnershipView) -> Member | None:
    """Returns the own member if it is eligible to own keys now."""
    for member in view.members:
        if member.node == view.node:
            eligible = (
                view.accepting
                and member.accepting
                and member.incarnation == view.incarnation
                and member.zone not in view.zones_out
            )
            return member if eligible else None
    return None


def _first_table(view: OwnershipView, own: Member | None) -> Proposal:
    """Creates the table once the members have registered."""
    if own is None:
        return None
    initial_owners = [own, *eligible_owners(None, view)]
    initial_owners.sort(key=lambda member: member.node)
    rank = initial_owners.index(own)
    restored = view.restored
    # A process that knows the replaced table writes it again before.
    settle_s = RESTORE_COPY_AFTER_S if restored.replaced else STARTUP_SETTLE_S
    if view.members_stable_s < settle_s + rank * RANK_DELAY_S:
        return None
    table = tables.initial_table(
        view.service, initial_owners, view.writer, restored.position, restored.replaced
    )
    return WriteTable(table, "first-table")


def _restore(table: RangeTable, view: OwnershipView, own: Member | None) -> Proposal:
    """Writes a table again that the store has lost, or of which it has a copy."""
    if own is None:
        return None
    restored = view.restored
    wait_s = RESTORE_SETTLE_S if restored.remembered else RESTORE_COPY_AFTER_S
    if not _is_my_turn(table, view, own, restored.outdated_s - wait_s):
        return None
    top_token = max(table.top_token, restored.stored_top_token)
    changed = tables.restore(table, top_token, restored.position, view.writer)
    return WriteTable(changed, "store-restored")


def _settle(table: RangeTable, view: OwnershipView, own: Member | None) -> Proposal:
    """Ends the precautions after a restore, once former leases have expired."""
    if own is None or not table.restored_token:
        return None
    if not _is_my_turn(table, view, own, view.members_stable_s):
        return None
    settled = replace(table, restored_token=0, writer=view.writer)
    return WriteTable(settled, "restore-settled")


def _refute_suspicion(
    table: RangeTable, view: OwnershipView, own: Member | None
) -> Proposal:
    """Refutes a suspicion, or transfers the keys if most peers are unreachable.

    A process that has just started waits for its links first.
    """
    suspected = _suspected(table)
    if view.node not in suspected:
        return None
    others = view.nodes - 1
    if 2 * view.links_up >= others:
        if own is None:
            # Nothing but its upstream is a reason to transfer the keys.
            return None
        cleared = tables.remove_suspicion(table, view.node, view.writer)
        return WriteTable(cleared, "suspicion-refuted")
    if view.linking_s < LINKS_SETTLE_S:
        # Links that are not up yet are no sign of unreachable peers. The lease is not
        # renewed meanwhile, and the peers' wait for its end goes on.
        return None
    if view.restored.unusable:
        # The keys may be those of another owner, which this node can't release.
        return None
    suspected_by = next(s.by for s in table.suspicions if s.node == view.node)
    # It has written to the store, though it may be unreachable from here.
    suspecting = [
        member
        for member in view.members
        if member.node == suspected_by
        and member.accepting
        and member.zone not in view.zones_out
        and member.node not in suspected
    ]
    eligible = eligible_owners(table, view) or suspecting
    return _transfer_own_ranges(table, view, eligible)


def _leave(table: RangeTable, view: OwnershipView, own: Member | None) -> Proposal:
    """Transfers all own keys if the own upstream cannot serve them."""
    if own is not None or not view.incarnation:
        return None
    member = next((m for m in view.members if m.node == view.node), None)
    if view.accepting and (member is None or member.zone not in view.zones_out):
        # The published record does not reflect the state of the upstream yet.
        return None
    return _transfer_own_ranges(table, view, eligible_owners(table, view))


def _transfer_own_ranges(
    table: RangeTable, view: OwnershipView, eligible: list[Member]
) -> Proposal:
    """Transfers all own ranges, each to the member with the fewest keys per weight."""
    owned = tables.owned_by(table, view.node)
    if not owned or not eligible:
        return None
    if not view.alive and not view.may_hold:
        changed = tables.reassign(table, owned, eligible, view.writer)
        return WriteTable(changed, UPSTREAM_GONE)
    return HandOver(tuple(tables.assign_evenly(table, owned, eligible)))


def _renew_incarnation(
    table: RangeTable, view: OwnershipView, own: Member | None
) -> Proposal:
    """Assigns the own ranges to the current incarnation of the upstream."""
    if own is None:
        return None
    stale = [
        keys
        for keys in tables.owned_by(table, view.node)
        if keys.incarnation != own.incarnation
    ]
    if not stale:
        return None
    return WriteTable(
        tables.renew_incarnation(table, own, view.writer), "upstream-restarted"
    )


def _take_over(table: RangeTable, view: OwnershipView, own: Member | None) -> Proposal:
    """Reassigns the keys of owners that are gone or whose lease has expired."""
    suspected = _suspected(table)
    if own is None or view.node in suspected:
        # A suspected process could not renew its lease on the keys.
        return None
    eligible = [own, *eligible_owners(table, view)]
    former_owners = {
        keys.node
        for keys in table.ranges
        if keys.node in view.removed or keys.node in (view.lease_expired & suspected)
    }
    if not former_owners or not _is_my_turn(table, view, own, view.members_stable_s):
        return None
    orphaned = [keys for keys in table.ranges if keys.node in former_owners]
    changed = tables.reassign(table, orphaned, eligible, view.writer)
    for node in former_owners:
        changed = tables.remove_suspicion(changed, node, view.writer)
    return WriteTable(changed, OWNER_GONE)


def _suspect(table: RangeTable, view: OwnershipView, own: Member | None) -> Proposal:
    """Records a suspicion against an unresponsive owner."""
    if own is None:
        return None
    suspected = _suspected(table)
    for node in sorted({keys.node for keys in table.ranges}):
        unresponsive_s = view.unresponsive_s.get(node, 0.0)
        if node == view.node or node in suspected or unresponsive_s < SUSPECT_AFTER_S:
            continue
        if node in view.suspicions_delayed:
            continue
        if _is_my_turn(table, view, own, unresponsive_s - SUSPECT_AFTER_S):
            changed = tables.add_suspicion(table, node, view.node, view.writer)
            return WriteTable(changed, "owner-unresponsive")
    return None


def _share_with_joined(
    table: RangeTable, view: OwnershipView, own: Member | None
) -> Proposal:
    """Transfers keys from the owner with the most per weight to one without keys."""
    if own is None or view.members_stable_s < JOIN_SETTLE_S:
        return None
    owners = {keys.node for keys in table.ranges}
    others = eligible_owners(table, view)
    without_keys = [member for member in others if member.node not in owners]
    if not without_keys or view.node not in owners:
        return None
    key_counts: dict[str, int] = {}
    for keys in table.ranges:
        key_counts[keys.node] = key_counts.get(keys.node, 0) + keys.width
    eligible = {member.node: member for member in [own, *others]}
    keys_per_weight = {
        node: key_counts[node] / member.weight
        for node, member in eligible.items()
        if node in key_counts
    }
    largest_owner = max(keys_per_weight, key=lambda node: (keys_per_weight[node], node))
    if largest_owner != view.node:
        return None
    total = sum(member.weight for member in eligible.values())
    fair_width = int((LAST_KEY + 1) * without_keys[0].weight / total)
    keys = max(tables.owned_by(table, view.node), key=lambda owned: owned.width)
    width = min(fair_width, keys.width // 2)
    if width < 1:
        return None
    part = replace(keys, first=keys.last - width + 1)
    return HandOver(((part, without_keys[0]),))


def _is_my_turn(
    table: RangeTable, view: OwnershipView, own: Member, elapsed_s: float
) -> bool:
    """Returns whether this process may propose now, given its rank."""
    members = [own, *eligible_owners(table, view)]
    eligible = sorted(members, key=lambda member: member.node)
    return elapsed_s >= eligible.index(own) * RANK_DELAY_S
