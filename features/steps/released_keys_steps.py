"""Steps for keys that a process has released from its upstream."""

from __future__ import annotations

import asyncio

from behave import then, when

from features.builders_node import run

LATE_S = 1.0


@when(
    "the process of vm-b is closed between the release of its keys"
    " and the write of their owners"
)
def step_close_in_handover(context):
    async def go():
        deployment = context.deployment
        endpoint = deployment.endpoints["vm-b"]
        sample = [key for key in deployment.sample() if endpoint.held(key)]
        assert sample
        deployment.store.rejects_writes = True
        endpoint.state = "draining"
        await deployment.wait(
            lambda: not any(endpoint.held(key) for key in sample), 6.0
        )
        await deployment.nodes.pop("vm-b").close()
        context.regranted = []
        ends_at = asyncio.get_running_loop().time() + LATE_S
        while asyncio.get_running_loop().time() < ends_at:
            context.regranted += [key for key in sample if endpoint.held(key)]
            await asyncio.sleep(0.01)
        deployment.store.rejects_writes = False

    run(context, go())


@then("the upstream of vm-b holds none of the released keys afterwards")
def step_not_regranted(context):
    assert not context.regranted, sorted(set(context.regranted))
