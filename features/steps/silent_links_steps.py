"""Steps for links between processes that fall silent without a reset."""

from __future__ import annotations

import asyncio
import re

from behave import given, then, when

from features.builders_node import run
from features.builders_node_programs import start_programs
from features.builders_processes import new_log_directory
from features.builders_silent_links import SilentLinksDeployment, SilentLinksPrograms
from features.silent_links_soak import run_rounds

SETTLE_S = 3.0


@given("{count:d} programs whose links can fall silent")
def step_programs(context, count):
    start_programs(context, SilentLinksPrograms(count, new_log_directory()))


@when(
    "the open links of {count:d} programs fall silent, and a route is added"
    " {pauses} seconds later"
)
def step_rounds(context, count, pauses):
    pauses_s = [float(number) for number in re.findall(r"[\d.]+", pauses)]
    context.rounds = run(context, run_rounds(context.deployment, pauses_s, count))


@then("each change is in force everywhere within {seconds:f} seconds")
def step_in_force(context, seconds):
    late = [
        {name: round(delay, 2) for name, delay in delays.items() if delay > seconds}
        for delays in context.rounds
    ]
    assert not any(late), late


@given("a deployment of {count:d} VMs whose links can fall silent")
def step_deployment(context, count):
    context.loop = asyncio.new_event_loop()
    context.deployment = SilentLinksDeployment(count)

    def close():
        run(context, context.deployment.close())
        run(context, asyncio.sleep(0.05))
        context.loop.close()

    context.add_cleanup(close)
    run(context, context.deployment.start())
    run(context, asyncio.sleep(SETTLE_S))


@when("all open links fall silent")
def step_silent(context):
    context.deployment.silence_links(list(context.deployment.nodes))
