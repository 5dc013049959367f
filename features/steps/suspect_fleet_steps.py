"""Steps for simulated fleets whose upstreams end for other reasons than a request."""

from __future__ import annotations

from behave import given, then, when

from features.suspect_fleet import HARMLESS, FleetCase, SuspectFleet


@given("{count:d} simulated fleets in which an upstream ends every {pause:g} seconds")
def step_fleets(context, count, pause):
    context.fleet_seeds, context.end_every_s = range(count), pause


@when("a harmless request of {work:g} seconds comes often for 300 seconds")
def step_fleets_play(context, work):
    case = FleetCase(0, work, context.end_every_s)
    context.fleets = [SuspectFleet(case, seed).play() for seed in context.fleet_seeds]


@then("it is blocked in none of them")
def step_none_blocked(context):
    blocked = [fleet.blocked for fleet in context.fleets]
    assert not any(blocked), blocked
    # A fleet in which nothing runs blocks nothing.
    assert all(fleet.sent[HARMLESS] > 5000 for fleet in context.fleets)
