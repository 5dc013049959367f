"""Steps for the ownership of key ranges."""

from __future__ import annotations

import random
from dataclasses import replace

import msgspec
from behave import given, then, when

from features.builders_fleet_types import SERVICE, a_member, a_view
from rosemarydeal.core.fleet import LAST_KEY, KeyRange, Revision, StoredObject
from rosemarydeal.node.records import MEMBERS, Records
from rosemarydeal.platform.store import Listing
from rosemarydeal.policy.keyranges import balance, ownership_lease, proposals
from rosemarydeal.policy.keyranges import table as tables
from rosemarydeal.policy.keyranges.balance import OwnerLoad
from rosemarydeal.policy.keyranges.restored_ranges import RestoredRanges
from rosemarydeal.policy.keyranges.table_changes import (
    TableBase,
    TableChange,
    WriteResult,
)
from rosemarydeal.policy.keyranges.unsettled_transfers import UnsettledTransfers


def check_complete(table):
    expected = 0
    for keys in table.ranges:
        assert keys.first == expected, table.ranges
        assert keys.last >= keys.first
        expected = keys.last + 1
    assert expected == LAST_KEY + 1


def widths(table):
    key_counts = {}
    for keys in table.ranges:
        key_counts[keys.node] = key_counts.get(keys.node, 0) + keys.width
    return key_counts


@given("a fast, a normal and a slow upstream")
def step_speeds(context):
    slowdowns = {"fast": 0.5, "normal": 1.0, "slow": 2.0}
    context.members = [
        a_member(node, pace=slowdown) for node, slowdown in slowdowns.items()
    ]


@when("the first table is made")
def step_first_table(context):
    context.range_table = tables.initial_table(SERVICE, context.members, "w")


@then("the ranges cover all keys once")
def step_cover(context):
    check_complete(context.range_table)


@then("the fast upstream has 4 times the keys of the slow one")
def step_fast_share(context):
    key_counts = widths(context.range_table)
    assert abs(key_counts["fast"] - 4 * key_counts["slow"]) < 8, key_counts


def random_change(rng, table, members):
    keys = rng.choice(table.ranges)
    new_owner = rng.choice([m for m in members if m.node != keys.node])
    kind = rng.randrange(3)
    if kind == 0:
        first = rng.randint(keys.first, keys.last)
        last = rng.randint(first, keys.last)
        part = replace(keys, first=first, last=last)
        return tables.move_ranges(table, [(part, new_owner, "")], "w")
    if kind == 1:
        owned = tables.owned_by(table, keys.node)
        eligible = [m for m in members if m.node != keys.node]
        return tables.reassign(table, owned, eligible, "w")
    restarted = replace(new_owner, born_ms=new_owner.born_ms + rng.randint(1, 9))
    return tables.renew_incarnation(table, restarted, "w")


@then(
    "{count:d} random sequences of moves, losses and restarts keep the table complete"
)
def step_random(context, count):
    for seed in range(count):
        rng = random.Random(seed)
        members = [a_member(f"n{i}", slots=rng.randint(1, 20)) for i in range(5)]
        table = tables.initial_table(SERVICE, members, "w")
        for _ in range(12):
            changed = random_change(rng, table, members)
            check_complete(changed)
            before = {(k.node, k.incarnation, k.token) for k in table.ranges}
            for keys in changed.ranges:
                unchanged = (keys.node, keys.incarnation, keys.token) in before
                assert unchanged or keys.token > table.top_token, (seed, keys)
                assert keys.token <= changed.top_token
            delta = tables.new_ranges(table, changed)
            header = replace(changed, ranges=())
            assert tables.apply_delta(table, delta, header) == changed
            table = changed


@given("nodes a, b and c that own all keys")
def step_three_owners(context):
    context.members = [a_member(node) for node in "abc"]
    context.range_table = tables.initial_table(SERVICE, context.members, "w")
    context.changes = {}


@when("b has been unresponsive for {seconds:f} seconds")
def step_unresponsive(context, seconds):
    context.changes = {"unresponsive_s": {"b": seconds}}


@then("a proposes a suspicion against b")
def step_suspects(context):
    view = a_view("a", context.members, **context.changes)
    proposal = proposals.propose(context.range_table, view)
    assert proposal.reason == "owner-unresponsive"
    context.range_table = proposal.table
    assert [s.node for s in context.range_table.suspicions] == ["b"]


@then("no process takes keys of b before its lease has expired")
def step_not_reassigned(context):
    for node in "ac":
        view = a_view(node, context.members, **context.changes)
        assert proposals.propose(context.range_table, view) is None


@then("a takes the keys of b once its lease has expired")
def step_reassigned(context):
    expired = {"lease_expired": frozenset({"b"})}
    view = a_view("a", context.members, **(context.changes | expired))
    proposal = proposals.propose(context.range_table, view)
    assert proposal.reason == "owner-gone"
    check_complete(proposal.table)
    assert set(widths(proposal.table)) == {"a", "c"}
    assert proposal.table.suspicions == ()


@when("the table contains a suspicion against b")
def step_suspected(context):
    context.range_table = tables.add_suspicion(context.range_table, "b", "a", "w")


@then("a read by b does not renew its lease")
def step_not_renewed(context):
    before = ownership_lease.OwnershipLease(100.0)
    assert ownership_lease.renew(before, context.range_table, "b", 105.0) == before
    other = ownership_lease.renew(before, context.range_table, "c", 105.0)
    assert other.renewed_at == 105.0


@then("the longest possible lease of b expires before its keys may be taken")
def step_longest_lease(context):
    written_at = 200.0
    # The last read without the suspicion was requested before the write.
    longest = ownership_lease.renew(
        ownership_lease.OwnershipLease(), unsuspected_table(context), "b", written_at
    )
    expiry = ownership_lease.lease_expiry(longest)
    last_grant_s = ownership_lease.grant_duration(longest, expiry - 0.001, 10.0)
    drift_factor = 1.0 + ownership_lease.CLOCK_DRIFT
    assert (
        expiry + last_grant_s * drift_factor
        < written_at + ownership_lease.takeover_wait()
    )


def unsuspected_table(context):
    return tables.remove_suspicion(context.range_table, "b", "w")


@then("b proposes to remove the suspicion")
def step_refutes(context):
    view = a_view("b", context.members)
    proposal = proposals.propose(context.range_table, view)
    assert proposal.reason == "suspicion-refuted"
    assert proposal.table.suspicions == ()


@then("b hands its keys over if it reaches no peer")
def step_unreachable(context):
    unresponsive = {"a": 5.0, "c": 5.0}
    view = a_view("b", context.members, links_up=0, unresponsive_s=unresponsive)
    proposal = proposals.propose(context.range_table, view)
    assert isinstance(proposal, proposals.HandOver)
    assert {new_owner.node for _, new_owner in proposal.parts} == {"a"}


@when("the upstream of b is draining")
def step_draining(context):
    context.members[1] = replace(context.members[1], accepting=False)


@then("b hands over exactly its keys, to a and c")
def step_hands_over(context):
    view = a_view("b", context.members)
    proposal = proposals.propose(context.range_table, view)
    transferred = sorted((k.first, k.last) for k, _ in proposal.parts)
    owned = tables.owned_by(context.range_table, "b")[0]
    assert transferred[0][0] == owned.first and transferred[-1][1] == owned.last
    assert sum(last - first + 1 for first, last in transferred) == owned.width
    assert {new_owner.node for _, new_owner in proposal.parts} == {"a", "c"}


@when("the upstream of b is gone")
def step_gone(context):
    context.members[1] = replace(context.members[1], accepting=False)
    context.changes = {"alive": False, "accepting": False}


@then("b writes a table in which a and c own all keys")
def step_crash_reassigned(context):
    view = a_view("b", context.members, **context.changes)
    proposal = proposals.propose(context.range_table, view)
    check_complete(proposal.table)
    assert set(widths(proposal.table)) == {"a", "c"}


@when("the upstream of b has restarted")
def step_restarted(context):
    context.members[1] = replace(context.members[1], born_ms=2000)


@then("b writes a table with its new incarnation and a token above all others")
def step_new_incarnation(context):
    view = a_view("b", context.members)
    proposal = proposals.propose(context.range_table, view)
    owned = tables.owned_by(proposal.table, "b")
    assert all(keys.incarnation == context.members[1].incarnation for keys in owned)
    assert all(keys.token > context.range_table.top_token for keys in owned)


@when("node d joins")
def step_joins(context):
    context.members.append(a_member("d"))


@then("exactly one of a, b and c hands a quarter of all keys to d")
def step_joined_share(context):
    proposed = [
        proposals.propose(context.range_table, a_view(node, context.members))
        for node in "abc"
    ]
    hand_overs = [p.parts for p in proposed if isinstance(p, proposals.HandOver)]
    assert len(hand_overs) == 1, proposed
    ((keys, new_owner),) = hand_overs[0]
    assert new_owner.node == "d"
    # At most half of the widest range is transferred at once.
    assert 0.15 < keys.width / (LAST_KEY + 1) <= 0.26


@given("an owner with three times its capacity on 200 adjacent keys")
def step_hot_keys(context):
    rng = random.Random(5)
    context.ranges = [KeyRange(10_000, 30_000, "a", "l", 1)]
    context.arrivals = {}
    for _ in range(300):
        key = rng.randrange(20_000, 20_200)
        context.arrivals[key] = context.arrivals.get(key, 0.0) + 1.0


@when("it plans its transfers")
def step_plans(context):
    (context.transfer,) = balance.plan_transfers(
        OwnerLoad("a", 3.0), [OwnerLoad("b", 0.1)], context.ranges, context.arrivals
    )


@then(
    "it transfers between {low:d} and {high:d} percent of that work to the idle owner"
)
def step_transfers(context, low, high):
    keys = context.transfer.keys
    work = sum(amount for key, amount in context.arrivals.items() if key in keys)
    percent = 100 * work / sum(context.arrivals.values())
    assert context.transfer.new_owner == "b"
    assert low <= percent <= high, percent


@given("an owner with half its slots in use and requests at twice its rate limit")
def step_limited_owner(context):
    context.own = balance.owner_load("a", 0.5, 2.0, 1.0)


@given("an owner at three times the capacity of its slots")
def step_slots_exceeded(context):
    context.own = balance.owner_load("a", 3.0, 0.0, 1.0)


@when("it plans transfers to an owner with a tenth of its slots in use")
def step_to_unlimited(context):
    context.other = balance.owner_load("b", 0.1, 0.0, 1.0)


@when("it plans transfers to an owner with little work, but half its rate limit in use")
def step_to_limited(context):
    context.other = balance.owner_load("b", 0.05, 0.5, 1.0)


def transferred_percent(context, own):
    """Returns the share of an owner's work that it plans to transfer."""
    ranges = [KeyRange(0, 999, "a", "l", 1)]
    arrivals = dict.fromkeys(range(0, 1000, 10), 1.0)
    planned = balance.plan_transfers(own, [context.other], ranges, arrivals)
    return sum(sum(key in t.keys for key in arrivals) for t in planned)


@then("the new owner gets between {low:d} and {high:d} percent of the work")
def step_transferred(context, low, high):
    percent = transferred_percent(context, context.own)
    assert low <= percent <= high, percent


@then("the new owner gets at most {high:d} percent of the work")
def step_transferred_most(context, high):
    percent = transferred_percent(context, context.own)
    assert percent <= high, percent


@then("an owner within its rate limit plans none")
def step_within_limit(context):
    own = balance.owner_load("a", 0.5, 0.7, 1.0)
    assert transferred_percent(context, own) == 0


@given("two overloaded owners and two idle ones")
def step_pairs(context):
    demands = {"a": 3.0, "b": 2.5, "c": 0.1, "d": 0.2}
    context.loads = [OwnerLoad(node, demand) for node, demand in demands.items()]


@then("their transfers fill both idle owners to within a tenth of the mean")
def step_not_overfilled(context):
    ranges = [KeyRange(0, 999, "a", "l", 1)]
    arrivals = dict.fromkeys(range(0, 1000, 10), 1.0)
    demands = {load.node: load.demand for load in context.loads}
    mean = sum(demands.values()) / len(demands)
    for own in context.loads[:2]:
        others = [load for load in context.loads if load is not own]
        for transfer in balance.plan_transfers(own, others, ranges, arrivals):
            work = sum(
                amount for key, amount in arrivals.items() if key in transfer.keys
            )
            demands[transfer.new_owner] += own.demand * work / sum(arrivals.values())
    assert 0.9 * mean <= min(demands["c"], demands["d"]), (mean, demands)
    assert max(demands["c"], demands["d"]) <= 1.1 * mean, (mean, demands)


def demands_of(table, work):
    demands = dict.fromkeys({keys.node for keys in table.ranges}, 0.0)
    for key, amount in work.items():
        demands[tables.lookup(table, key).node] += amount
    return demands


@given("{count:d} owners, and {busy:d} adjacent keys with the work of {work:d} owners")
def step_hot_spot(context, count, busy, work):
    context.members = [a_member(f"n{i:02}") for i in range(count)]
    context.range_table = tables.initial_table(SERVICE, context.members, "w")
    context.work = dict.fromkeys(range(0, LAST_KEY, 64), 0.3 * count / 1024)
    context.work |= dict.fromkeys(range(30_000, 30_000 + busy), work / busy)


@when("all owners plan their transfers at the same time, {rounds:d} times")
def step_rounds(context, rounds):
    members = {member.node: member for member in context.members}
    for _ in range(rounds):
        demands = demands_of(context.range_table, context.work)
        loads = [OwnerLoad(node, demand) for node, demand in demands.items()]
        moving = []
        for own in loads:
            ranges = tables.owned_by(context.range_table, own.node)
            arrivals = {
                key: amount
                for key, amount in context.work.items()
                if any(key in keys for keys in ranges)
            }
            others = [load for load in loads if load is not own]
            planned = balance.plan_transfers(own, others, ranges, arrivals)
            moving += [
                (transfer.keys, members[transfer.new_owner], "h")
                for transfer in planned
            ]
        context.range_table = tables.move_ranges(context.range_table, moving, "w")
        check_complete(context.range_table)


@then("no owner has more than {limit:f} times its capacity")
def step_demand_limit(context, limit):
    demands = demands_of(context.range_table, context.work)
    assert max(demands.values()) <= limit, sorted(demands.values())[-5:]


@given("two owners with demands of {one:f} and {other:f}")
def step_similar(context, one, other):
    context.loads = [OwnerLoad("a", one), OwnerLoad("b", other)]


@then("no transfer is planned")
def step_no_transfer(context):
    ranges = [KeyRange(0, 999, "a", "l", 1)]
    arrivals = dict.fromkeys(range(0, 1000, 10), 1.0)
    own, other = context.loads
    assert not balance.plan_transfers(own, [other], ranges, arrivals)


@when("the nodes in turn transfer their keys and get a share back, {count:d} times")
def step_restarts(context, count):
    for turn in range(count):
        node = "abc"[turn % 3]
        others = [member for member in context.members if member.node != node]
        owned = tables.owned_by(context.range_table, node)
        transfers = tables.assign_evenly(context.range_table, owned, others)
        moving = [(keys, new_owner, f"h{turn}") for keys, new_owner in transfers]
        context.range_table = tables.move_ranges(context.range_table, moving, "w")
        check_complete(context.range_table)
        for other in others:
            view = a_view(other.node, context.members)
            proposal = proposals.propose(context.range_table, view)
            if isinstance(proposal, proposals.HandOver):
                returned = [
                    (keys, new_owner, f"b{turn}") for keys, new_owner in proposal.parts
                ]
                context.range_table = tables.move_ranges(
                    context.range_table, returned, "w"
                )


@then("the table has at most {limit:d} ranges")
def step_short(context, limit):
    assert len(context.range_table.ranges) <= limit, len(context.range_table.ranges)


@then("others with demands {b:f} and {c:f} can absorb an owner with demand {own:f}")
def step_can_absorb(context, own, b, c):
    assert balance.can_absorb(
        OwnerLoad("a", own), [OwnerLoad("b", b), OwnerLoad("c", c)]
    )


@then("others with demands {b:f} and {c:f} cannot absorb an owner with demand {own:f}")
def step_cannot_absorb(context, own, b, c):
    assert not balance.can_absorb(
        OwnerLoad("a", own), [OwnerLoad("b", b), OwnerLoad("c", c)]
    )


@when("a has not heard of b")
def step_not_heard(context):
    context.members = [member for member in context.members if member.node != "b"]


@when("the member of b has been removed")
def step_removed(context):
    context.changes = {"removed": frozenset({"b"})}


@then("a takes the keys of b")
def step_takes(context):
    view = a_view("a", context.members, **context.changes)
    proposal = proposals.propose(context.range_table, view)
    assert proposal.reason == "owner-gone"
    assert not tables.owned_by(proposal.table, "b")


@given("records with a listing of the members at revision {revision:d}")
def step_listed(context, revision):
    context.records = Records()
    context.records.apply_listing(MEMBERS, Listing((), Revision(0, revision)))


@then("a member that existed at revision {revision:d} has been removed")
def step_existed(context, revision):
    assert context.records.is_member_removed("b", Revision(0, revision))


@then("a member that existed at revision {revision:d} may not have been heard of")
def step_may_exist(context, revision):
    assert not context.records.is_member_removed("b", Revision(0, revision))


@when("a member is received and removed again")
def step_received(context):
    content = msgspec.json.encode(a_member("b"))
    context.records.apply(StoredObject(MEMBERS, "b", Revision(0, 30), content))
    assert "b" in context.records.members
    context.records.apply(StoredObject(MEMBERS, "b", Revision(0, 31), None))


@then("that member has been removed, whatever the revision")
def step_known_removed(context):
    assert context.records.is_member_removed("b", Revision(0, 1000))


@when("a suspicion against it is refuted, and a second one is recorded")
def step_suspected_twice(context):
    table = tables.add_suspicion(context.range_table, "b", "a", "w")
    context.first_suspicion = table.suspicions[0]
    table = tables.remove_suspicion(table, "b", "w")
    context.range_table = tables.add_suspicion(table, "b", "a", "w")


@then("a process that missed the refutation tells the suspicions apart")
def step_distinct(context):
    assert context.range_table.suspicions[0] != context.first_suspicion


ERA = 2
FORMER, RESTORED = Revision(ERA - 1, 0), Revision(ERA, 1)
# When the former era's tables and the restored one are received.
BEFORE, RESTORED_AT = 10.0, 20.0
TAKEOVER_S = ownership_lease.takeover_wait()


def a_restored_table(known):
    return tables.restore(known, known.top_token, RESTORED, "w")


def ranges_of(node, former, restored, lease_valid=True):
    """Returns a node's ranges since a restore; without a table it has restarted."""
    ranges = RestoredRanges(node)
    if former is not None:
        ranges.update(former, False, True, BEFORE)
        ranges.update(former, True, lease_valid, RESTORED_AT)
    ranges.update(restored, False, lease_valid, RESTORED_AT)
    return ranges


def usable(ranges, restored, node, now):
    return ranges.usable(tables.owned_by(restored, node), now)


@given("a table of a former era in which a owns the keys, and one in which b owns them")
def step_two_tables(context):
    a, b = a_member("a"), a_member("b")
    context.owned_by_a = tables.initial_table(SERVICE, [a], "w", FORMER)
    context.owned_by_b = tables.reassign(
        context.owned_by_a, context.owned_by_a.ranges, [b], "w"
    )


@when("the store is restored, and a writes the table again as it knew it")
def step_restored(context):
    context.restored = a_restored_table(context.owned_by_a)
    context.restored_to_b = a_restored_table(context.owned_by_b)


@then("b uses none of the keys that it did not know to own, for {seconds:d} seconds")
def step_b_waits(context, seconds):
    ranges = ranges_of("b", context.owned_by_a, context.restored_to_b)
    early, late = RESTORED_AT + seconds, RESTORED_AT + TAKEOVER_S
    assert usable(ranges, context.restored_to_b, "b", early) == []
    assert usable(ranges, context.restored_to_b, "b", late) != []


@when("b learns that something else has replaced that table before its wait ends")
def step_replaced_before_end(context):
    context.ranges = ranges_of("b", context.owned_by_a, context.restored_to_b)
    replaced_at = RESTORED_AT + TAKEOVER_S - 1.0
    context.ranges.update(context.restored_to_b, True, True, replaced_at)


@then("b uses none of the keys while it knows no later table")
def step_none_while_outdated(context):
    late = RESTORED_AT + 2 * TAKEOVER_S
    assert usable(context.ranges, context.restored_to_b, "b", late) == []


@then("a goes on with its keys if its lease was valid, and waits if it had expired")
def step_a_goes_on(context):
    for lease_valid in (True, False):
        ranges = ranges_of("a", context.owned_by_a, context.restored, lease_valid)
        used = usable(ranges, context.restored, "a", RESTORED_AT)
        assert bool(used) == lease_valid, used


@then("a process that has restarted since waits for {seconds:d} seconds")
def step_restarted_waits(context, seconds):
    ranges = ranges_of("a", None, context.restored)
    assert usable(ranges, context.restored, "a", RESTORED_AT + seconds) == []


@given("a table that was restored, whose owner b has been removed")
def step_restored_removed(context):
    context.members = [a_member("a")]
    owned_by_b = tables.initial_table(SERVICE, [a_member("b")], "w", FORMER)
    context.restored = a_restored_table(owned_by_b)
    context.ranges = ranges_of("a", owned_by_b, context.restored)


@then("a proposes no takeover for {seconds:d} seconds, and one afterwards")
def step_no_takeover(context, seconds):
    def proposed(now):
        state = proposals.RestoredTable(
            RESTORED, settled=context.ranges.is_settled(now), remembered=True
        )
        view = a_view("a", context.members, removed=frozenset("b"), restored=state)
        return proposals.propose(context.restored, view)

    assert proposed(RESTORED_AT + seconds) is None
    settled = proposed(RESTORED_AT + TAKEOVER_S)
    assert settled.reason == "restore-settled", settled
    context.restored = settled.table
    assert proposed(RESTORED_AT + TAKEOVER_S).reason == "owner-gone"


@given("a restored table with a suspicion against a, which may not use its keys yet")
def step_restored_suspected(context):
    context.members = [a_member(node) for node in "abc"]
    known = tables.initial_table(SERVICE, context.members, "w", FORMER)
    context.restored = tables.add_suspicion(a_restored_table(known), "a", "b", "w")


@then("a hands nothing over although it reaches few peers")
def step_hands_nothing_over(context):
    state = proposals.RestoredTable(RESTORED, settled=False, unusable=True)
    view = a_view("a", context.members, links_up=0, restored=state)
    assert proposals.propose(context.restored, view) is None
    usable_state = replace(state, unusable=False)
    view = a_view("a", context.members, links_up=0, restored=usable_state)
    assert isinstance(proposals.propose(context.restored, view), proposals.HandOver)


@given("an owner of two adjacent ranges with different tokens")
def step_two_ranges(context):
    a, b = a_member("a"), a_member("b")
    table = tables.initial_table(SERVICE, [a, b], "w", FORMER)
    moving = [(keys, a, "") for keys in tables.owned_by(table, "b")]
    context.former = tables.move_ranges(table, moving, "w")
    assert len(context.former.ranges) == 2


@when("the store is restored, and the table with both ranges joined")
def step_joined(context):
    restored = a_restored_table(context.former)
    whole = replace(restored.ranges[0], last=LAST_KEY)
    context.restored = replace(restored, ranges=(whole,))


@then("it goes on with the joined range")
def step_joined_used(context):
    ranges = ranges_of("a", context.former, context.restored)
    assert usable(ranges, context.restored, "a", RESTORED_AT) != []


@given("an owner a, whose write that gives keys to b has no answer")
def step_unanswered_write(context):
    a, b = a_member("a"), a_member("b")
    table = tables.initial_table(SERVICE, [a, b], "w", FORMER)
    context.keys = tables.owned_by(table, "a")
    moved = tables.move_ranges(table, [(keys, b, "") for keys in context.keys], "w1")
    context.change = TableChange(TableBase(table, FORMER, FORMER.era), moved, "test")
    context.unsettled = UnsettledTransfers("a")
    context.unsettled.begin(context.change)
    context.unsettled.end(context.change, WriteResult.UNKNOWN)


@when("the same write is repeated, and is not sent")
def step_repeated_write(context):
    repeated = replace(context.change, table=replace(context.change.table, writer="w2"))
    context.unsettled.begin(repeated)
    context.unsettled.end(repeated, WriteResult.NOT_WRITTEN)


@then("the keys are withheld until the table has a later revision")
def step_withheld_until_later(context):
    base = context.change.base
    context.unsettled.settle(base)
    later = Revision(base.revision.era, base.revision.number + 1)
    context.unsettled.settle(replace(base, revision=later, current=False))
    assert context.unsettled.keys == context.keys, context.unsettled.keys
    context.unsettled.settle(replace(base, revision=later))
    assert not context.unsettled.pending and context.unsettled.keys == ()
