"""Steps for configurations that change among disturbances."""

from __future__ import annotations

import asyncio

from behave import then, when

from features.builders_processes import new_log_directory
from features.configurations_soak import check_probes, run_seed


@when(
    "the configuration changes for {seconds:g} seconds among disturbances,"
    " with seed {seed:d}"
)
def step_changes(context, seconds, seed):
    directory = new_log_directory()
    running = run_seed(seed, seconds, directory)
    context.confirmed, context.probes = asyncio.run(running)


@then("each version is in force in time, and no process goes back to an older one")
def step_in_time(context):
    check_probes(context.confirmed, context.probes)
