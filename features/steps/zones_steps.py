"""Steps for taking availability zones out and back in."""

from __future__ import annotations

from behave import given, then, when

from features.builders_control import NORMAL_LOAD, ControlGroup
from rosemarydeal.core import MemberPhase, rendezvous_order
from rosemarydeal.policy.control import judge_zones
from rosemarydeal.policy.zones import ZoneSettings, may_admit_when_out

SLOTS = 12


def names(text):
    return frozenset(text.replace(" and ", ", ").split(", "))


def nodes_in(group, zones):
    return {
        node
        for node, read in group.members.items()
        if read.member.place.availability_zone in zones
    }


def owned(group, nodes):
    return [slice_id for slice_id, owner in group.owners().items() if owner in nodes]


def even_load(node, slice_id):
    return NORMAL_LOAD


def run(context, seconds):
    context.group.run(seconds, context.load)


def start_moving(context, nodes):
    context.leaving = owned(context.group, nodes)
    assert context.leaving
    context.before = len(context.group.moves)


@given("a zone group of {count:d} processes over {slices:d} slices under even load")
def step_group(context, count, slices):
    context.group, context.load = ControlGroup(count, slices), even_load
    run(context, 20.0)


@given(
    "a zone group of {count:d} processes over {slices:d} slices "
    "at a utilisation of {busy:g}"
)
def step_busy(context, count, slices, busy):
    context.group = ControlGroup(count, slices)
    context.group.run(3.0)
    context.load = lambda node, slice_id: busy * SLOTS * count / slices
    run(context, 20.0)


@given("a zone group of {count:d} processes over {slices:d} slices without reports")
def step_unreported(context, count, slices):
    context.group = ControlGroup(count, slices)
    context.group.run(3.0)


@when("the zone group takes out the zone of its first proposer")
def step_out_proposer(context):
    group = context.group
    first = rendezvous_order("box-office/0", list(group.states))[0]
    context.zone = group.members[first].member.place.availability_zone
    start_moving(context, nodes_in(group, {context.zone}))
    group.take_zones_out(frozenset({context.zone}))


@when("box-office-1 of the zone group restarts without the operators' orders")
def step_restart(context):
    group = context.group
    found = group.members["box-office-1"].member
    zones_event, group.zones_event = group.zones_event, None
    group.join(1, incarnation=found.incarnation.number + 1)
    group.unresponsive |= set(group.states) - {"box-office-1"}
    group.zones_event = zones_event


@when("the zone group takes out {zones}")
def step_out(context, zones):
    start_moving(context, nodes_in(context.group, names(zones)))
    context.group.take_zones_out(names(zones))


@when("the zone group loses {node} and brings {zone} back {seconds:d} seconds later")
def step_return(context, node, zone, seconds):
    context.group.set_phase(node, MemberPhase.LOST)
    run(context, float(seconds))
    context.group.take_zones_out(frozenset())


@when("the zone group drains {node}")
def step_drain(context, node):
    start_moving(context, {node})
    context.group.set_phase(node, MemberPhase.DRAINING)


@when("the zone group checks taking out {zones}")
def step_check(context, zones):
    context.verdicts = [
        judge_zones(state, names(zones), forced)
        for state in context.group.states.values()
        for forced in (False, True)
        if state.proposers[0].rank == 0
    ]


@then("the zone group owns no slice in that zone after {seconds:g} seconds")
def step_that_empty(context, seconds):
    run(context, float(seconds))
    assert not owned(context.group, nodes_in(context.group, {context.zone}))


@then("the zone group owns no slice in {zone} after {seconds:g} seconds")
def step_empty(context, zone, seconds):
    run(context, float(seconds))
    assert not owned(context.group, nodes_in(context.group, {zone}))


@then("the zone group owns no slice at {node} after {seconds:g} seconds")
def step_node_empty(context, node, seconds):
    run(context, float(seconds))
    assert not owned(context.group, {node})


@then("the zone group moved its slices in at least {count:d} batches")
def step_batches(context, count):
    moments = set(context.group.move_times[context.before :])
    assert len(moments) >= count, moments


@then("the zone group moved no more than the slices of {what}")
def step_only(context, what):
    moves = context.group.moves[context.before :]
    assert sorted(moves) == sorted(context.leaving)


@then("the zone group names no successor in {zone} after {seconds:d} seconds")
def step_successors(context, zone, seconds):
    run(context, float(seconds))
    gone = nodes_in(context.group, {zone})
    for read in context.group.chunks.values():
        for row in read.chunk.rows:
            assert not gone & {name.node for name in row.succession}, row


@then("{node} gets no slice of the zone group for {seconds:d} seconds")
def step_gets_nothing_for(context, node, seconds):
    run(context, float(seconds))
    assert not owned(context.group, {node})


@then(
    "{node} gets between {minimum:d} and {maximum:d} slices of the zone group "
    "within {seconds:d} seconds"
)
def step_gets(context, node, minimum, maximum, seconds):
    run(context, float(seconds))
    assert minimum <= len(owned(context.group, {node})) <= maximum


@then("{node} gets no slice of the zone group")
def step_gets_nothing(context, node):
    assert not owned(context.group, {node})


@then('the zone group answers {allowed} with code "{code}" and {forced} when forced')
def step_verdict(context, allowed, code, forced):
    unforced, with_force = context.verdicts
    assert unforced.allowed == (allowed == "yes"), unforced
    assert unforced.code == code, unforced
    assert with_force.allowed == (forced == "yes"), with_force


@then('the zone group answers {allowed} with code "" and {forced} when forced')
def step_verdict_plain(context, allowed, forced):
    step_verdict(context, allowed, "", forced)


@then(
    "a process admits work {early:g} seconds after its zone was taken out "
    "but not {late:g}"
)
def step_deadline(context, early, late):
    settings = ZoneSettings()
    assert may_admit_when_out(10.0, 10.0 + early, settings)
    assert not may_admit_when_out(10.0, 10.0 + late, settings)
    assert may_admit_when_out(None, 10.0 + late, settings)
