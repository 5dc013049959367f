"""Steps for the assignment of slices by all processes."""

from __future__ import annotations

import random
from collections import Counter

from behave import given, then, when
from hypothesis import given as given_values
from hypothesis import settings
from hypothesis import strategies as st

from features.builders import member
from features.builders_control import NORMAL_LOAD, ControlGroup
from features.builders_placement import ZONES
from rosemarydeal.core import MemberPhase, SliceId, rendezvous_order
from rosemarydeal.core.messages import SliceLoad
from rosemarydeal.policy.control import LocalLoad, UpstreamsDrained, ZonesChanged
from rosemarydeal.policy.fleet import may_get_work
from rosemarydeal.policy.interface import Tick

HOT = SliceId("box-office", 7)
HOT_KEYS = ((7 + 256, 2.0), (7 + 512, 2.0))


def even_load(node, slice_id):
    return NORMAL_LOAD if slice_id.carved < 0 else 0.0


def carved_slices(group):
    return [slice_id for slice_id in group.owners() if slice_id.carved >= 0]


@given("a control group of {count:d} processes over {slices:d} slices")
def step_group(context, count, slices):
    context.group = ControlGroup(count, slices)
    context.group.run(3.0)


@given("a control group of {count:d} processes whose first proposer is unresponsive")
def step_unresponsive(context, count):
    nodes = [f"box-office-{number}" for number in range(1, count + 1)]
    first = rendezvous_order("box-office/0", nodes)[0]
    context.group = ControlGroup(count)
    assert not context.group.writes
    context.group.unresponsive.add(first)
    context.group.run(20.0)


@when("every process of the control group also measures load of a slice of another")
def step_moved_slice_load(context):
    group = context.group
    for node in group.states:
        owners = group.owners()
        other = next(s for s, owner in owners.items() if owner != node)
        own = next(s for s, owner in owners.items() if owner == node)
        slices = (SliceLoad(other, 9.0), SliceLoad(own, 1.0))
        group.step(node, LocalLoad(0.5, slices, 0.05))
    group.run(5.0)


@then("each process of the control group reports only the load of its own slices")
def step_own_only(context):
    owners = context.group.owners()
    reports = [message for _, message in context.group.sent]
    assert len(reports) >= 5
    for report in reports:
        assert report.slices
        for load in report.slices:
            assert owners[load.slice] == report.incarnation.node, report


@given("a control group whose {count:d} processes start 1 second apart")
def step_staggered(context, count):
    context.group = ControlGroup(0)
    for number in range(1, count + 1):
        context.group.join(number)
        context.group.run(1.0)
    context.group.run(5.0)


@when("the control group is joined by box-office-{number:d}")
def step_join(context, number):
    context.group.join(number)


@when("the control group serves no load for {seconds:d} seconds")
def step_idle(context, seconds):
    context.group.run(
        seconds, lambda holder, slice_id: 0.0, service_s=lambda holder: 0.0
    )


@then("the control group owns between {least:d} and {most:d} slices each")
def step_owns(context, least, most):
    group = context.group
    owned = Counter(group.owners().values())
    assert set(owned) == set(group.states), owned
    assert least <= min(owned.values()) <= max(owned.values()) <= most, owned


@then("the control group made at most {count:d} writes")
def step_writes(context, count):
    assert 0 < context.group.writes <= count, context.group.writes


@when("the control group reads the first version of every record again")
def step_stale_records(context):
    group = context.group
    context.writes = group.writes
    first_reads = {}
    for read in group.history:
        first_reads.setdefault(read.chunk.number, read)
    older = [r for n, r in first_reads.items() if r.version < group.chunks[n].version]
    assert older
    for read in older:
        group.broadcast(read)
    group.broadcast(Tick())
    group.run(5.0)


@then("the control group writes nothing")
def step_no_writes(context):
    assert context.group.writes == context.writes


@when("the control group serves even load for {seconds:d} seconds")
def step_even(context, seconds):
    context.group.run(seconds, even_load)


@when(
    "the control group serves even load with random variation for {seconds:d} seconds"
)
def step_random_load(context, seconds):
    source = random.Random(4)

    def load(holder, slice_id):
        requests = sum(source.random() < 0.1 for _ in range(20))
        return sum(source.expovariate(1 / 0.05) for _ in range(requests))

    context.group.run(seconds, load)


@when(
    "the control group serves load doubled on the slices of {node} "
    "for {seconds:d} seconds"
)
def step_doubled(context, node, seconds):
    owners = context.group.owners()
    context.load = lambda holder, slice_id: (
        NORMAL_LOAD * (2 if owners[slice_id] == node else 1)
    )
    context.group.run(seconds, context.load)


@when("only {node} reports doubled load for {seconds:d} seconds")
def step_one_reporter(context, node, seconds):
    context.group.run(
        seconds,
        lambda holder, slice_id: 2 * NORMAL_LOAD,
        reporting=lambda holder: holder == node,
    )


@when(
    "the control group serves with {node} slowed by a factor of {factor:d} "
    "for {seconds:d} seconds"
)
def step_slowed(context, node, factor, seconds):
    context.group.run(
        seconds,
        lambda holder, slice_id: NORMAL_LOAD * (factor if holder == node else 1),
        service_s=lambda holder: 0.05 * (factor if holder == node else 1),
    )


@when("the control group serves two hot keys in one slice for {seconds:d} seconds")
def step_hot(context, seconds):
    def hot_keys(slice_id):
        carved = carved_slices(context.group)
        remaining = [
            (digest, load)
            for digest, load in HOT_KEYS
            if SliceId("box-office", 7, digest) not in carved
        ]
        return tuple(remaining) if slice_id == HOT else ()

    def load(holder, slice_id):
        if slice_id.carved >= 0:
            return 2.0
        return NORMAL_LOAD + sum(load for _, load in hot_keys(slice_id))

    context.group.run(seconds, load, hot_keys=hot_keys)


@then("the control group has a carved slice on another owner than its base")
def step_carved(context):
    owners = context.group.owners()
    carved = carved_slices(context.group)
    assert carved and any(owners[c] != owners[HOT] for c in carved), carved


@then("the control group has carved slices only on the owner of their base")
def step_carved_at_base(context):
    owners = context.group.owners()
    carved = carved_slices(context.group)
    assert carved and all(owners[c] == owners[HOT] for c in carved), carved


@then("the control group has no carved slice")
def step_merged(context):
    assert not carved_slices(context.group), carved_slices(context.group)


@then("the control group moved {count:d} slices")
def step_moved(context, count):
    assert len(context.group.moves) == count, context.group.moves


@then("the control group moved between {least:d} and {most:d} slices")
def step_moved_between(context, least, most):
    assert least <= len(context.group.moves) <= most, len(context.group.moves)


@then("the control group moved no slice twice")
def step_no_repeated_moves(context):
    assert max(Counter(context.group.moves).values()) == 1


@then("the control group's highest share is at most {ratio:g} of the mean")
def step_share(context, ratio):
    shares = Counter()
    for slice_id, owner in context.group.owners().items():
        shares[owner] += context.load(owner, slice_id)
    mean = sum(shares.values()) / len(shares)
    assert max(shares.values()) <= ratio * mean, shares


@when("the control group is notified that {zone} is out")
def step_zone_out(context, zone):
    context.group.broadcast(ZonesChanged(frozenset({zone})))


@when("the control group is notified that {upstream} drains")
def step_drained(context, upstream):
    context.group.broadcast(UpstreamsDrained(frozenset({upstream})))


@when("the control group is notified that all are back")
def step_all_back(context):
    context.group.broadcast(ZonesChanged(frozenset()))
    context.group.broadcast(UpstreamsDrained(frozenset()))


@when("the control group runs for {seconds:d} seconds")
def step_run(context, seconds):
    context.group.run(seconds)


@then("the control group assigns no slice to {first} or {second}")
def step_assigns_none(context, first, second):
    owners = context.group.owners()
    assert len(owners) == 256, len(owners)
    assert not {first, second} & set(owners.values()), Counter(owners.values())
    successions = {
        name.node
        for read in context.group.chunks.values()
        for row in read.chunk.rows
        for name in row.succession
    }
    assert not {first, second} & successions, successions


@then("a member may get work exactly if it is up and neither zone nor upstream is out")
def step_may_get_work(context):
    nodes = ("box-office-1", "box-office-2")

    @settings(derandomize=True, max_examples=200, deadline=None)
    @given_values(
        st.sampled_from(nodes),
        st.sampled_from(ZONES),
        st.sampled_from(list(MemberPhase)),
        st.frozensets(st.sampled_from(ZONES)),
        st.frozensets(st.sampled_from(nodes)),
    )
    def check(node, zone, phase, zones_out, drained):
        record = member(node, zone, phase=phase)
        expected = phase is MemberPhase.UP
        expected = expected and zone not in zones_out and node not in drained
        assert may_get_work(record, zones_out, drained) == expected

    check()
