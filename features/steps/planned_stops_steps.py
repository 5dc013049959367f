"""Steps for processes that are stopped as planned while orders come in."""

from __future__ import annotations

import asyncio

from behave import given, then, when

from features.builders_node import run
from features.builders_planned_stops import StopTrial, check_answered, check_not_run
from features.builders_processes import new_log_directory


@given("processes whose upstreams work {work:g} seconds on an order of 8 seconds")
def step_processes(context, work):
    context.loop = asyncio.new_event_loop()
    context.add_cleanup(context.loop.close)
    context.trial = StopTrial(work, new_log_directory())
    context.add_cleanup(lambda: run(context, context.trial.close()))
    run(context, context.trial.start())


@given("the store rejects all calls")
def step_store_away(context):
    context.trial.deployment.store.turns_away.add("*")


@when("one of them gets {signals} while uploads of orders end until it is gone")
def step_stopped(context, signals):
    run(context, context.trial.stop_under_uploads("vm-a", signals.split()))


@when("all of them get SIGTERM in turn while callers send on kept connections")
def step_in_turn(context):
    run(context, context.trial.stop_in_turn())


@then("each request that was passed on or read whole is answered before the stop")
def step_answered(context):
    check_answered(context.trial)


@then("an order whose caller was told that it did not run did not run")
def step_not_run(context):
    check_not_run(context.trial)


@then("each rejected caller is told to close its connection")
def step_closes(context):
    rejected = [e for e in context.trial.exchanges if e.status == 503]
    assert rejected, "no caller was rejected"
    assert all(entry.closes for entry in rejected), rejected
