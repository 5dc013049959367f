"""Steps for suspicions that are refuted again and again."""

from __future__ import annotations

import asyncio
import random

from behave import then, when

from features.builders_fleet_types import a_view
from features.builders_node import run
from features.builders_tables import written_tables
from rosemarydeal.policy.keyranges import proposals
from rosemarydeal.policy.keyranges import table as tables
from rosemarydeal.policy.keyranges.suspicion_backoff import SuspicionBackoff

STEP_S = 0.1
UNREACHABLE = {"unresponsive_s": {"b": 60.0}}


def suspicion(context, node, backoff, moment):
    """Returns the table with a suspicion by a node, None if it proposes none."""
    view = a_view(
        node,
        context.members,
        **UNREACHABLE,
        suspicions_delayed=backoff.delayed(moment),
    )
    proposal = proposals.propose(context.range_table, view)
    return proposal.table if proposal is not None else None


@when("b refutes each suspicion of a at once, for {seconds:d} seconds")
def step_refutes(context, seconds):
    context.backoff = SuspicionBackoff("a", random.Random(1))
    context.suspected = 0
    context.now = 0.0
    while context.now < seconds:
        suspecting = suspicion(context, "a", context.backoff, context.now)
        if suspecting is not None:
            context.suspected += 1
            context.backoff.update(suspecting, context.now)
            refuted = tables.remove_suspicion(suspecting, "b", "w")
            assert context.backoff.update(refuted, context.now) == ("b",)
            context.range_table = refuted
        context.now += STEP_S


@then("a has suspected b at most {count:d} times")
def step_suspected(context, count):
    assert 2 <= context.suspected <= count, context.suspected


@then("after each refutation c suspects b at once, if b is unresponsive")
def step_other_suspects(context):
    backoff = SuspicionBackoff("c", random.Random(1))
    assert suspicion(context, "c", backoff, context.now) is not None


@then("a suspects b at once if it was reachable for a minute")
def step_forgotten(context):
    moment = context.now + 60.0
    assert suspicion(context, "a", context.backoff, moment) is not None


@when(
    "vm-a can't reach vm-c, which refutes the suspicions of vm-a,"
    " for {seconds:d} seconds"
)
def step_unreachable(context, seconds):
    async def go():
        deployment = context.deployment
        node = deployment.nodes["vm-a"]
        context.first_revision = deployment.store.revision
        since = asyncio.get_running_loop().time() - 60.0
        node._links.unreachable_since = {"vm-c": since}.get
        await asyncio.sleep(seconds)

    run(context, go())


@then("vm-a has written at most {count:d} suspicions")
def step_written(context, count):
    written = written_tables(context.deployment.store, context.first_revision)
    numbers = {s.number for table in written for s in table.suspicions}
    context.numbers = numbers
    assert 2 <= len(numbers) <= count, len(numbers)


@then("the metrics of vm-a count the refuted ones")
def step_counted(context):
    node = context.deployment.nodes["vm-a"]
    response = run(context, node._answer_metrics(None))
    lines = response.body.data.decode().splitlines()
    name = "rosemarydeal_suspicions_refuted "
    counts = [float(line.split()[1]) for line in lines if line.startswith(name)]
    assert counts and counts[0] >= len(context.numbers) - 1, counts
