"""Steps for requests whose links are lost while their outcome is pending."""

from __future__ import annotations

import asyncio

from behave import then, when

from features import lost_links_soak
from features.builders_processes import new_log_directory
from features.settlement_world import run_worlds
from rosemarydeal.policy.requests.settlement import BEGUN, NEVER_BEGUN


@when("{count:d} drawn worlds of lost links make {steps:d} steps each")
def step_worlds(context, count, steps):
    # Each world checks after each step that nothing begins that was told never to.
    context.counts = run_worlds(1, count, steps)


@then("requests were told never to have begun, and none of them began")
def step_never(context):
    assert context.counts[NEVER_BEGUN.code] > 1000, context.counts


@then("some were told to have begun, and some arrived too late or were withdrawn")
def step_begun(context):
    for name in (BEGUN.code, "late", "withdrawn", "begun"):
        assert context.counts[name] > 100, (name, context.counts)


@when(
    "processes stand still again and again for {seconds:g} seconds, with seed {seed:d}"
)
def step_stand_still(context, seconds, seed):
    pauses = lost_links_soak.Pauses()
    work = lost_links_soak.run_seed(seed, seconds, new_log_directory(), pauses)
    context.counts = lost_links_soak.summary(*asyncio.run(work))


@then("no order ran twice, or although its caller was told that it did not")
def step_truthful(context):
    lost_links_soak.check_runs(context.counts)


@then("nine of ten orders that were left undecided reached an upstream")
def step_undecided(context):
    lost_links_soak.check_undecided(context.counts)
