"""Steps for connections to the store that fall silent without a reset."""

from __future__ import annotations

from behave import then, when

from features.builders_node import run


@when("all open connections to the store fall silent")
def step_silent(context):
    context.deployment.store.silence_connections()


@then("all processes know within {seconds:f} seconds that only {zone} is out")
def step_zone_known(context, seconds, zone):
    nodes = context.deployment.nodes.values()

    def known():
        return all(node._records.zones_out == {zone} for node in nodes)

    run(context, context.deployment.wait(known, seconds))
