"""Steps for requests that end the upstreams that run them."""

from __future__ import annotations

from dataclasses import replace

from behave import given, then, when

from features.builders_crashing import (
    CrashTrial,
    Fault,
    check_ends,
    check_innocent,
    check_late,
    check_mixed_ends,
)
from features.builders_node import run
from features.builders_node_programs import start_programs
from features.builders_processes import new_log_directory

SEED = 1
FAULTS = {
    "a lookup": Fault(),
    "an order": Fault(order=True),
    "a lookup of one key": Fault(keyed=True),
    "a lookup that succeeds with another body": Fault(other_body=True),
    "a lookup that succeeds for another service": Fault(other_caller=True),
    "a lookup amid restarts of the processes": Fault(restarts=True),
}
OFTEN = {
    "every 0.4 s": {"pause_s": 0.4},
    "every 0.1 s": {"pause_s": 0.1},
    "four at once every 1 s": {"pause_s": 1.0, "copies": 4},
}


@given("six processes, and {a_request} that ends each upstream that runs it")
def step_processes(context, a_request):
    context.fault = FAULTS[a_request]


@given("six processes, and a lookup of which one in {share:d} copies ends its upstream")
def step_mixed_processes(context, share):
    context.fault = Fault(share=share)


@when("it comes {often} for {seconds:g} seconds beside ordinary requests")
def step_comes(context, often, seconds):
    fault = replace(context.fault, **OFTEN[often])
    start_programs(context, CrashTrial(fault, SEED, new_log_directory()))
    run(context, context.deployment.run_fault(seconds))


@then("it reaches upstreams at most three times later than 3 s after the third end")
def step_late(context):
    check_late(context.deployment)


@then("at most five upstreams end under it")
def step_ends(context):
    check_ends(context.deployment)


@then("at most nine upstreams end under it")
def step_mixed_ends(context):
    check_mixed_ends(context.deployment)


@then("the ordinary requests are served as before, and none is a suspect")
def step_innocent(context):
    check_innocent(context.deployment)
