"""Steps for grants that are sent some time after they were decided."""

from __future__ import annotations

import asyncio

from behave import then, when

from features.builders_node import run
from features.builders_rate_limit import captured_logs
from rosemarydeal.core.fleet import ObjectOrigin
from rosemarydeal.policy.keyranges.ownership_lease import LEASE_S

LINE_TIME_S = 0.3
ORIGINS = {origin.value for origin in ObjectOrigin}


@when("vm-b drains while the log is recorded")
def step_drains(context):
    deployment = context.deployment
    endpoint = deployment.endpoints["vm-b"]
    moved = [key for key in deployment.sample() if endpoint.held(key)]
    assert moved
    context.revision_before = deployment.store.revision

    def are_moved():
        return not any(map(endpoint.held, moved)) and all(
            map(deployment.holders, moved)
        )

    with captured_logs() as context.lines:
        endpoint.state = "draining"
        run(context, deployment.wait(are_moved))
        # The line follows the answer.
        run(context, asyncio.sleep(LINE_TIME_S))


@then('each line "{event}" names the later table, from whom it came and a lease')
def step_names(context, event):
    granted = [line for line in context.lines if line["event"] == event]
    granted = [line for line in granted if line.get("added", True)]
    assert granted, context.lines
    store = context.deployment.store
    for line in granted:
        era, number = line["revision"]
        assert era == store.era, line
        assert context.revision_before < number <= store.revision, line
        assert line["origin"] in ORIGINS, line
        assert 0.0 <= line["lease_age_s"] < LEASE_S, line
        assert 0.0 <= line["decided_ago_s"] < 1.0, line
