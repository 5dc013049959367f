"""Steps for ranges of keys and their owners."""

from __future__ import annotations

import random
from dataclasses import replace

from behave import given, then, when

from features.builders_fleet_types import SERVICE, a_member, a_view
from rosemarydeal.core.fleet import LAST_KEY, KeyRange
from rosemarydeal.policy.keyranges import balance, ownership_lease, proposals
from rosemarydeal.policy.keyranges import table as tables
from rosemarydeal.policy.keyranges.balance import OwnerLoad


def check_whole(table):
    expected = 0
    for keys in table.ranges:
        assert keys.first == expected, table.ranges
        assert keys.last >= keys.first
        expected = keys.last + 1
    assert expected == LAST_KEY + 1


def widths(table):
    totals = {}
    for keys in table.ranges:
        totals[keys.node] = totals.get(keys.node, 0) + keys.width
    return totals


@given("a fast, a usual and a slow upstream")
def step_speeds(context):
    paces = {"fast": 0.5, "usual": 1.0, "slow": 2.0}
    context.members = [a_member(node, pace=pace) for node, pace in paces.items()]


@when("the first table is made")
def step_first_table(context):
    context.assigned = tables.initial_table(SERVICE, context.members, "w")


@then("the ranges cover all keys once")
def step_cover(context):
    check_whole(context.assigned)


@then("the fast upstream has 4 times the keys of the slow one")
def step_fast(context):
    found = widths(context.assigned)
    assert abs(found["fast"] - 4 * found["slow"]) < 8, found


def random_change(rng, table, members):
    keys = rng.choice(table.ranges)
    heir = rng.choice([m for m in members if m.node != keys.node])
    kind = rng.randrange(3)
    if kind == 0:
        first = rng.randint(keys.first, keys.last)
        last = rng.randint(first, keys.last)
        part = replace(keys, first=first, last=last)
        return tables.move_ranges(table, [(part, heir, "")], "w")
    if kind == 1:
        lost = tables.owned_by(table, keys.node)
        heirs = [m for m in members if m.node != keys.node]
        return tables.reassign(table, lost, heirs, "w")
    reborn = replace(heir, born_ms=heir.born_ms + rng.randint(1, 9))
    return tables.renew_incarnation(table, reborn, "w")


@then("{count:d} random sequences of moves, losses and new lives keep the table whole")
def step_random(context, count):
    for seed in range(count):
        rng = random.Random(seed)
        members = [a_member(f"n{i}", slots=rng.randint(1, 20)) for i in range(5)]
        table = tables.initial_table(SERVICE, members, "w")
        for _ in range(12):
            changed = random_change(rng, table, members)
            check_whole(changed)
            before = {(k.node, k.incarnation, k.token) for k in table.ranges}
            for keys in changed.ranges:
                known = (keys.node, keys.incarnation, keys.token) in before
                assert known or keys.token > table.top_token, (seed, keys)
                assert keys.token <= changed.top_token
            change = tables.new_ranges(table, changed)
            top, suspicions = changed.top_token, changed.suspicions
            assert tables.apply_delta(table, change, top, suspicions, "w") == changed
            table = changed


@given("nodes a, b and c that own all keys")
def step_three(context):
    context.members = [a_member(node) for node in "abc"]
    context.assigned = tables.initial_table(SERVICE, context.members, "w")
    context.changes = {}


@when("b has been silent for {seconds:f} seconds")
def step_silent(context, seconds):
    context.changes = {"unresponsive_s": {"b": seconds}}


@then("a proposes a suspicion of b")
def step_suspects(context):
    view = a_view("a", context.members, **context.changes)
    proposal = proposals.propose(context.assigned, view)
    assert proposal.reason == "owner-silent"
    context.assigned = proposal.table
    assert [s.node for s in context.assigned.suspicions] == ["b"]


@then("nobody takes keys of b before the suspicion was waited out")
def step_waits(context):
    for node in "ac":
        view = a_view(node, context.members, **context.changes)
        assert proposals.propose(context.assigned, view) is None


@then("a takes the keys of b once the suspicion was waited out")
def step_takes(context):
    waited = {"lease_expired": frozenset({"b"})}
    view = a_view("a", context.members, **(context.changes | waited))
    proposal = proposals.propose(context.assigned, view)
    assert proposal.reason == "owner-gone"
    check_whole(proposal.table)
    assert set(widths(proposal.table)) == {"a", "c"}
    assert proposal.table.suspicions == ()


@when("a suspicion of b stands in the table")
def step_suspected(context):
    context.assigned = tables.add_suspicion(context.assigned, "b", "a", "w")


@then("a read by b confirms nothing")
def step_unconfirmed(context):
    before = ownership_lease.OwnershipLease(100.0)
    assert ownership_lease.renew(before, context.assigned, "b", 105.0) == before
    other = ownership_lease.renew(before, context.assigned, "c", 105.0)
    assert other.renewed_at == 105.0


@then("the longest tenure of b ends before its keys may be taken")
def step_longest(context):
    written_at = 200.0
    # The last read that did not show the suspicion was asked for before it.
    longest = ownership_lease.renew(
        ownership_lease.OwnershipLease(), replace_free(context), "b", written_at
    )
    ends = ownership_lease.lease_expiry(longest)
    last_hold = ownership_lease.grant_duration(longest, ends - 0.001, 10.0)
    slow = 1.0 + ownership_lease.CLOCK_DRIFT
    assert ends + last_hold * slow < written_at + ownership_lease.takeover_wait()


def replace_free(context):
    return tables.remove_suspicion(context.assigned, "b", "w")


@then("b proposes to remove the suspicion")
def step_denies(context):
    view = a_view("b", context.members)
    proposal = proposals.propose(context.assigned, view)
    assert proposal.reason == "suspicion-denied"
    assert proposal.table.suspicions == ()


@then("b hands its keys over when it reaches nobody")
def step_gives_up(context):
    silent = {"a": 5.0, "c": 5.0}
    view = a_view("b", context.members, links_up=0, unresponsive_s=silent)
    proposal = proposals.propose(context.assigned, view)
    assert isinstance(proposal, proposals.HandOver)
    assert {heir.node for _, heir in proposal.parts} == {"a"}


@when("the upstream of b is draining")
def step_draining(context):
    context.members[1] = replace(context.members[1], accepting=False)


@then("b hands over exactly its keys, to a and c")
def step_hands_over(context):
    view = a_view("b", context.members)
    proposal = proposals.propose(context.assigned, view)
    given_keys = sorted((k.first, k.last) for k, _ in proposal.parts)
    owned = tables.owned_by(context.assigned, "b")[0]
    assert given_keys[0][0] == owned.first and given_keys[-1][1] == owned.last
    assert sum(last - first + 1 for first, last in given_keys) == owned.width
    assert {heir.node for _, heir in proposal.parts} == {"a", "c"}


@when("the upstream of b is gone")
def step_gone(context):
    context.members[1] = replace(context.members[1], accepting=False)
    context.changes = {"alive": False, "accepting": False}


@then("b writes a table in which a and c own all keys")
def step_given_away(context):
    view = a_view("b", context.members, **context.changes)
    proposal = proposals.propose(context.assigned, view)
    check_whole(proposal.table)
    assert set(widths(proposal.table)) == {"a", "c"}


@when("the upstream of b has started anew")
def step_reborn(context):
    context.members[1] = replace(context.members[1], born_ms=2000)


@then("b writes a table with its new life and a token above all others")
def step_new_life(context):
    view = a_view("b", context.members)
    proposal = proposals.propose(context.assigned, view)
    owned = tables.owned_by(proposal.table, "b")
    assert all(keys.incarnation == context.members[1].incarnation for keys in owned)
    assert all(keys.token > context.assigned.top_token for keys in owned)


@when("node d joins")
def step_joins(context):
    context.members.append(a_member("d"))


@then("exactly one of a, b and c hands a quarter of all keys to d")
def step_welcomed(context):
    found = [
        proposals.propose(context.assigned, a_view(node, context.members))
        for node in "abc"
    ]
    given_parts = [p.parts for p in found if isinstance(p, proposals.HandOver)]
    assert len(given_parts) == 1, found
    ((keys, heir),) = given_parts[0]
    assert heir.node == "d"
    # Half of the widest range is the most that is given at once.
    assert 0.15 < keys.width / (LAST_KEY + 1) <= 0.26


@given("an owner with three times its capacity on 200 neighbouring keys")
def step_hot(context):
    rng = random.Random(5)
    context.ranges = [KeyRange(10_000, 30_000, "a", "l", 1)]
    context.arrivals = {}
    for _ in range(300):
        key = rng.randrange(20_000, 20_200)
        context.arrivals[key] = context.arrivals.get(key, 0.0) + 1.0


@when("it decides what to give away")
def step_decides(context):
    (context.transfer,) = balance.plan_transfers(
        OwnerLoad("a", 3.0), [OwnerLoad("b", 0.1)], context.ranges, context.arrivals
    )


@then("it gives between {low:d} and {high:d} percent of that work to the idle owner")
def step_gives(context, low, high):
    keys = context.transfer.keys
    given_work = sum(w for key, w in context.arrivals.items() if key in keys)
    part = 100 * given_work / sum(context.arrivals.values())
    assert context.transfer.new_owner == "b"
    assert low <= part <= high, part


@given("two overloaded owners and two idle ones")
def step_pairs(context):
    demands = {"a": 3.0, "b": 2.5, "c": 0.1, "d": 0.2}
    context.burdens = [OwnerLoad(node, demand) for node, demand in demands.items()]


@then("together they give to both heirs, and none beyond the mean by a tenth")
def step_no_heir_overfilled(context):
    ranges = [KeyRange(0, 999, "a", "l", 1)]
    arrivals = dict.fromkeys(range(0, 1000, 10), 1.0)
    filled = {burden.node: burden.demand for burden in context.burdens}
    mean = sum(filled.values()) / len(filled)
    for own in context.burdens[:2]:
        others = [b for b in context.burdens if b is not own]
        for transfer in balance.plan_transfers(own, others, ranges, arrivals):
            work = sum(w for key, w in arrivals.items() if key in transfer.keys)
            filled[transfer.new_owner] += own.demand * work / sum(arrivals.values())
    assert 0.9 * mean <= min(filled["c"], filled["d"]), (mean, filled)
    assert max(filled["c"], filled["d"]) <= 1.1 * mean, (mean, filled)


def demands_of(table, work):
    found = dict.fromkeys({keys.node for keys in table.ranges}, 0.0)
    for key, amount in work.items():
        found[tables.lookup(table, key).node] += amount
    return found


@given(
    "{count:d} owners, and {busy:d} busy keys of {work:d} owners' work"
    " that lie close together"
)
def step_hot_spot(context, count, busy, work):
    context.members = [a_member(f"n{i:02}") for i in range(count)]
    context.assigned = tables.initial_table(SERVICE, context.members, "w")
    context.work = dict.fromkeys(range(0, LAST_KEY, 64), 0.3 * count / 1024)
    context.work |= dict.fromkeys(range(30_000, 30_000 + busy), work / busy)


@when("all owners decide at the same time what to give away, {rounds:d} times")
def step_rounds(context, rounds):
    heirs = {member.node: member for member in context.members}
    for _ in range(rounds):
        found = demands_of(context.assigned, context.work)
        burdens = [OwnerLoad(node, demand) for node, demand in found.items()]
        moved = []
        for own in burdens:
            ranges = tables.owned_by(context.assigned, own.node)
            arrivals = {
                key: amount
                for key, amount in context.work.items()
                if any(key in keys for keys in ranges)
            }
            others = [b for b in burdens if b is not own]
            planned = balance.plan_transfers(own, others, ranges, arrivals)
            moved += [(t.keys, heirs[t.new_owner], "h") for t in planned]
        context.assigned = tables.move_ranges(context.assigned, moved, "w")
        check_whole(context.assigned)


@then("no owner has more than {most:f} times its capacity")
def step_spread(context, most):
    found = demands_of(context.assigned, context.work)
    assert max(found.values()) <= most, sorted(found.values())[-5:]


@given("two owners with demands of {one:f} and {other:f}")
def step_even(context, one, other):
    context.burdens = [OwnerLoad("a", one), OwnerLoad("b", other)]


@then("nothing is given away")
def step_nothing(context):
    ranges = [KeyRange(0, 999, "a", "l", 1)]
    arrivals = dict.fromkeys(range(0, 1000, 10), 1.0)
    own, other = context.burdens
    assert not balance.plan_transfers(own, [other], ranges, arrivals)


@when("each of them gives its keys away and gets a share back, {count:d} times")
def step_restarts(context, count):
    for turn in range(count):
        node = "abc"[turn % 3]
        others = [m for m in context.members if m.node != node]
        owned = tables.owned_by(context.assigned, node)
        away = tables.assign_evenly(context.assigned, owned, others)
        parts = [(keys, heir, f"h{turn}") for keys, heir in away]
        context.assigned = tables.move_ranges(context.assigned, parts, "w")
        check_whole(context.assigned)
        for other in others:
            view = a_view(other.node, context.members)
            proposal = proposals.propose(context.assigned, view)
            if isinstance(proposal, proposals.HandOver):
                back = [(keys, heir, f"b{turn}") for keys, heir in proposal.parts]
                context.assigned = tables.move_ranges(context.assigned, back, "w")


@then("the table has at most {most:d} ranges")
def step_short(context, most):
    assert len(context.assigned.ranges) <= most, len(context.assigned.ranges)


@then("an owner with demand {own:f} gives its keys to others with {b:f} and {c:f}")
def step_room(context, own, b, c):
    assert balance.can_absorb(
        OwnerLoad("a", own), [OwnerLoad("b", b), OwnerLoad("c", c)]
    )


@then("an owner with demand {own:f} keeps them beside others with {b:f} and {c:f}")
def step_no_room(context, own, b, c):
    assert not balance.can_absorb(
        OwnerLoad("a", own), [OwnerLoad("b", b), OwnerLoad("c", c)]
    )
