"""Steps for the limits of request bodies."""

from __future__ import annotations

import asyncio

from behave import then, when

from features.builders_node import a_configuration, run

MB = 1 << 20
KEY = 7
PAUSE_S = 0.05


async def upload(context, megabytes):
    """Uploads a body and returns the answer."""
    body = b"x" * (megabytes * MB)
    return await context.deployment.send_request("vm-a", KEY, "/order/1", body=body)


@then("an upload of {megabytes:d} MB is answered {status:d}")
def step_upload(context, megabytes, status):
    answer = run(context, upload(context, megabytes))
    assert answer.status == status, answer


@when("the operator changes the limit of bodies to {megabytes:d} MB")
def step_change(context, megabytes):
    context.version = getattr(context, "version", 1) + 1
    configuration = a_configuration(context.version)
    (limits,) = [r for r in configuration["resources"] if r["type"] == "limits"]
    limits["spec"]["max_body_bytes"] = megabytes * MB
    context.deployment.store.put("config", "main", configuration)


@then(
    "within {seconds:d} seconds an upload of {megabytes:d} MB is answered {status:d}"
    " on an open connection"
)
def step_follows(context, seconds, megabytes, status):
    async def go():
        loop = asyncio.get_running_loop()
        deadline = loop.time() + seconds
        while True:
            # A refusal closes its connection; this opens the next one.
            await upload(context, 0)
            answer = await upload(context, megabytes)
            if answer.status == status:
                return
            assert loop.time() < deadline, answer
            await asyncio.sleep(PAUSE_S)

    run(context, go())
