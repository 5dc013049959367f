"""Steps for node programs that end and start again under load."""

from __future__ import annotations

import asyncio

from behave import then, when

from features.builders_processes import new_log_directory
from features.restarts_soak import check_answered, check_orders, run_seed


@when(
    "processes of a deployment end and start again for {seconds:g} seconds,"
    " with seed {seed:d}"
)
def step_restarts(context, seconds, seed):
    directory = new_log_directory()
    context.ran, context.exchanges = asyncio.run(run_seed(seed, seconds, directory))


@then(
    "each request that a process had read was answered, unless the process was killed"
)
def step_answered(context):
    check_answered(context.exchanges)


@then("no order ran twice, or although its caller was told that it did not run")
def step_orders(context):
    check_orders(context.ran, context.exchanges)
