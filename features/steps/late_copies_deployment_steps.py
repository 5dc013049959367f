"""Steps for a deployment whose upstreams stutter."""

from __future__ import annotations

from collections import Counter

from behave import given, then, when

from features.builders_node import run, start_deployment
from features.builders_stutter_load import check_answers, check_orders, send_load


@given("a deployment of {count:d} VMs whose upstreams stutter with seed {seed:d}")
def step_stuttering(context, count, seed):
    context.seed = seed
    start_deployment(context, count, stutter_seed=seed)


@when("requests of both kinds arrive at all VMs for {seconds:g} seconds")
def step_load(context, seconds):
    context.sent = run(context, send_load(context.deployment, context.seed, seconds))


@then("each answer from an upstream is that of its request and whole")
def step_own_answers(context):
    check_answers(context.sent)


@then("no order ran twice, and none that was called not run ran")
def step_orders(context):
    check_orders(context.deployment, context.sent)


@then("most requests were answered")
def step_answered(context):
    statuses = Counter(s.answer.status if s.answer else None for s in context.sent)
    stutters = [e.stutter.counts for e in context.deployment.endpoints.values()]
    assert all(min(counts.values()) > 0 for counts in stutters), stutters
    assert statuses[200] > 0.5 * len(context.sent), statuses
