"""Steps for connections to the store that fall silent without a reset."""

from __future__ import annotations

from behave import then, when

from features.builders_node import run


@when("all open connections to the store fall silent")
def step_silent(context):
    context.deployment.store.silence_connections()


@when(
    "each answer of the store takes {seconds:f} seconds, and a VM starts that reaches"
    " no other"
)
def step_slow(context, seconds):
    deployment = context.deployment

    async def start():
        deployment.store.answer_s = seconds
        for name in list(deployment.nodes):
            await deployment.nodes.pop(name).close()
        await deployment.join("vm-z")

    run(context, start())


@then("it is ready within {seconds:f} seconds")
def step_ready(context, seconds):
    node = context.deployment.nodes["vm-z"]
    run(context, context.deployment.wait(lambda: node.ready, seconds))


@then("all processes know within {seconds:f} seconds that only {zone} is out")
def step_zone_known(context, seconds, zone):
    nodes = context.deployment.nodes.values()

    def known():
        return all(node._records.zones_out == {zone} for node in nodes)

    run(context, context.deployment.wait(known, seconds))
