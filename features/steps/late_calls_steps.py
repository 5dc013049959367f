"""Steps for simulated fleets whose calls to upstreams take effect late."""

from __future__ import annotations

import logging
from collections import Counter

import structlog
from behave import given, then, when

from features.builders_rate_limit import captured_logs
from features.late_calls_world import LateCalls, Violation, run_world
from rosemarydeal.core.fleet import KeyRange
from rosemarydeal.policy.keyranges.unanswered_grants import UnansweredGrants

SECONDS = 60.0
# Enough hand-overs and unanswered calls for the deliberate defects to be found.
MIN_HAND_OVERS = 150
MIN_UNANSWERED = 1000


@when(
    "{fleets:d} fleets of three VMs run for 60 s, with calls that take effect up to"
    " {late_s:d} s late, {restarts:g} restarts and {moves:g} hand-overs a second"
)
def step_run_fleets(context, fleets, late_s, restarts, moves):
    faults = LateCalls(late_s=late_s, restarts_per_s=restarts, moves_per_s=moves)
    structlog.configure(
        wrapper_class=structlog.make_filtering_bound_logger(logging.CRITICAL)
    )
    context.violations, context.counts = [], Counter()
    for seed in range(fleets):
        try:
            context.counts += run_world(seed, faults, SECONDS)
        except Violation as error:
            context.violations.append((seed, str(error)))


@then(
    "no upstream took a key that another one held, or under a token below that of"
    " another"
)
def step_no_violation(context):
    assert not context.violations, context.violations[:3]
    assert context.counts["hand-overs"] >= MIN_HAND_OVERS, context.counts
    assert context.counts["unanswered"] >= MIN_UNANSWERED, context.counts


@given("grants of a former process for all keys, whose tokens are not known")
def step_former_grants(context):
    context.grants = UnansweredGrants(predecessor_until=5.0)


@when(
    "a range is taken under token {token:d},"
    " and the former tokens turn out to be {top_token:d} at most"
)
def step_taken_before(context, token, top_token):
    context.keys = KeyRange(10, 19, "vm-a", "i-1@1", token)
    context.grants.supersede(context.keys)
    context.grants.limit_tokens(top_token)


@then("no former grant can take effect on the range, but on the keys beside it")
def step_only_beside(context):
    assert context.grants.until(context.keys) == 0.0
    for key in (9, 20):
        beside = KeyRange(key, key, "vm-a", "i-1@1", 1)
        assert context.grants.until(beside) == 5.0, key


@when(
    "{fleets:d} fleets of three VMs run for 60 s,"
    " with half of the calls unanswered for up to {late_s:d} s"
)
def step_run_logged(context, fleets, late_s):
    with captured_logs() as lines:
        for seed in range(fleets):
            run_world(seed, LateCalls(late_s=late_s), SECONDS)
    context.released = [line for line in lines if line["event"] == "keys_released"]


@then(
    "at most a fifth of the ranges that are released wait for the end of earlier grants"
)
def step_few_wait(context):
    waited = [line for line in context.released if line["waited_for_grants_s"] > 0.0]
    assert len(context.released) >= MIN_HAND_OVERS
    assert 5 * len(waited) <= len(context.released), len(waited)
