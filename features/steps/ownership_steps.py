"""Steps for sole ownership: scenarios in the ownership world."""

from __future__ import annotations

from behave import given, then, when

from features.ownership_scenarios import Scene


@given("an ownership world with {nodes:d} processes in {zones:d} availability zones")
def make_world(context, nodes, zones):
    context.scene = Scene(nodes=nodes, zones=zones)


@given("a settled ownership world")
def make_settled(context):
    context.scene = Scene()
    context.scene.settle()


@when("{seconds:g} seconds of the ownership world pass")
def pass_time(context, seconds):
    context.scene.world.advance(seconds)


@when("the owner of slice {index:d} is lost")
def lose_owner(context, index):
    context.scene.lose_owner(index)


@when("the platform of the ownership world goes down")
def stop_platform(context):
    context.scene.world.platform.down = True


@then("every key of the ownership world is served")
def all_served(context):
    assert context.scene.world.unserved() == []


@then("every key of the ownership world is served again within {limit:g} seconds")
def served_within(context, limit):
    taken = context.scene.time_until_served(limit + 1.0)
    assert taken <= limit, taken


@then("the record of slice {index:d} names the present owner first")
def record_names(context, index):
    context.scene.world.advance(1.0)
    owner = context.scene.owner(index)
    row = context.scene.row(index)
    assert owner is not None and row.owner.node == owner, (owner, row)


@when("all others suspect the owner of slice {index:d}")
def suspect_owner(context, index):
    context.scene.suspect(context.scene.owner(index))


@then("the owner of slice {index:d} serves on for {seconds:g} seconds without a gap")
def serves_on(context, index, seconds):
    owner = context.scene.owner(index)
    assert context.scene.owners_during(index, seconds) == {owner}
