"""Steps for the exchange of versions between peers."""

from __future__ import annotations

from behave import given, then, when

from features.versions_world import VersionsWorld

OBJECTS = 200


@given(
    "a versions world of {nodes:d} processes in {zones:d} availability zones "
    "with {percent:d}% loss"
)
def make_world(context, nodes, zones, percent):
    context.versions = VersionsWorld(nodes, zones, OBJECTS, percent / 100)


@when('the versions world publishes a change of "{key}"')
def publish(context, key):
    context.versions.publish(key)


@when("{seconds:g} seconds of the versions world pass")
def pass_time(context, seconds):
    context.versions.bytes = 0
    context.seconds = seconds
    context.versions.advance(seconds)


@when('every process of the versions world reads the first "{key}" again')
def read_stale(context, key):
    context.versions.stale_read(key)


@when("all processes but one of the versions world restart without the platform")
def restart_all_but_one(context):
    for name in sorted(context.versions.states)[1:]:
        context.versions.restart(name)


@then("{count:d} processes of the versions world watch the platform")
def check_watchers(context, count):
    assert len(context.versions.watchers) == count, context.versions.watchers


@then('{count:d} processes of the versions world lack the newest "{key}"')
def check_lagging(context, count, key):
    assert context.versions.lagging(key) == count, context.versions.lagging(key)
    assert context.versions.regressions == 0


@then("a process of the versions world sent at most {limit:d} bytes a second")
def check_bytes(context, limit):
    rate = context.versions.bytes / context.seconds / len(context.versions.states)
    assert 0 < rate <= limit, rate
