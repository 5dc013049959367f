"""Steps for load reports and hot keys."""

from __future__ import annotations

from collections import Counter

from behave import given, then, when
from hypothesis import given as drawn
from hypothesis import settings
from hypothesis import strategies as st

from rosemarydeal.core import Incarnation, SliceId
from rosemarydeal.core.messages import LoadReport, SliceLoad
from rosemarydeal.policy.hotkeys import HotKeySketch
from rosemarydeal.policy.loads import LoadEstimates

SLICE = SliceId("box-office", 0)


def report(number, load=1.0, age=0.0, service_s=0.05):
    name = Incarnation(f"box-office-{number}", 1)
    return LoadReport(name, age, load / 12, (SliceLoad(SLICE, load),), service_s)


def estimates_after(reports):
    load_estimates = LoadEstimates()
    for second in range(reports):
        load_estimates = load_estimates.observe(report(1), float(second))
    return load_estimates


@given("no load estimates")
def step_no_estimates(context):
    context.load_estimates = LoadEstimates()


@then("the load of box-office-1 is reliable after {count:d} reports a second apart")
def step_reliable(context, count):
    name = Incarnation("box-office-1", 1)
    assert estimates_after(count).is_reliable(name, float(count))


@then("the load of box-office-1 is not reliable after {count:d} reports a second apart")
def step_too_few(context, count):
    name = Incarnation("box-office-1", 1)
    assert not estimates_after(count).is_reliable(name, float(count))


@then(
    "the load of box-office-1 is not reliable {seconds:d} seconds after its last report"
)
def step_too_old(context, seconds):
    name = Incarnation("box-office-1", 1)
    assert not estimates_after(5).is_reliable(name, 4.0 + seconds)


@when(
    "a report of load {first:g} aged 0 s is followed by one of load {delayed:g} "
    "aged 5 s"
)
def step_delayed(context, first, delayed):
    context.load_estimates = context.load_estimates.observe(report(1, first), 10.0)
    context.load_estimates = context.load_estimates.observe(
        report(1, delayed, age=5.0), 11.0
    )


@then("the estimated load is {load:g}")
def step_estimates(context, load):
    assert context.load_estimates.slices[SLICE].load == load


@when("3 members report {normal:g} s per request and box-office-4 reports {slow:g} s")
def step_service_times(context, normal, slow):
    for second in range(5):
        for number in (1, 2, 3, 4):
            service_s = slow if number == 4 else normal
            slow_report = report(number, service_s=service_s)
            context.load_estimates = context.load_estimates.observe(
                slow_report, float(second)
            )


@then("box-office-4 alone is a straggler")
def step_straggler(context):
    slow = [
        number
        for number in (1, 2, 3, 4)
        if context.load_estimates.straggler_since(
            Incarnation(f"box-office-{number}", 1)
        )
        is not None
    ]
    assert slow == [4], slow


@then("the hot key sketch keeps its error and memory bounds in 60 random streams")
def step_sketch(context):
    checked = Counter()

    @settings(max_examples=60, derandomize=True, deadline=None)
    @drawn(
        st.integers(2, 8),
        st.lists(
            st.tuples(st.integers(0, 40), st.integers(1, 5)), min_size=40, max_size=200
        ),
    )
    def check(capacity, stream):
        sketch, exact = HotKeySketch(capacity), Counter()
        for digest, weight in stream:
            sketch.offer(digest, weight)
            exact[digest] += weight
            assert len(sketch) <= 2 * capacity
        estimated = {hot.digest: hot.weight for hot in sketch.top(100)}
        error = sum(exact.values()) / capacity
        for digest, weight in exact.items():
            assert weight - error <= estimated.get(digest, 0) <= weight
            checked["inexact"] += estimated.get(digest, 0) < weight

    check()
    assert checked["inexact"] > 100, checked
