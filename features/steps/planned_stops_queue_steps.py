"""Steps for the queue of a guard before a planned stop."""

from __future__ import annotations

from dataclasses import replace

import msgspec
from behave import given, then, when

from features.builders_fleet_types import a_queue, a_queued_request, a_routed_request
from rosemarydeal.node.messages import RunRequest, decode
from rosemarydeal.policy.dispatch.queue import Reject, Start
from rosemarydeal.policy.requests.planned_stop import CODE_STOP_TOO_NEAR, PlannedStop

NOW = 100.0
ORDER_LIMIT_S = 8.0
STEP_S = 0.02


def an_order(number, now, limit_s=ORDER_LIMIT_S, key=None):
    return a_queued_request(number, now, "order", 1, time_left_s=limit_s, key=key)


@given("an upstream of {slots:d} slot that worked {work} seconds on an order")
@given("an upstream of {slots:d} slots that worked {work} seconds on an order")
def step_upstream(context, slots, work):
    measured = {} if work == "unknown" else {"order": float(work)}
    context.queue = a_queue(slots)
    for route, seconds in measured.items():
        for _ in range(20):
            context.queue.times.record_service_time(route, seconds)


@when("an order of {limit:g} seconds arrives {left:g} seconds before its {whose} stops")
def step_arrives(context, limit, left, whose):
    order = an_order(1, NOW, limit)
    if whose == "guard":
        context.queue.begin_stop(PlannedStop(NOW + left), NOW)
    else:
        order = replace(order, cut_at=NOW + left)
    context.decisions = context.queue.offer(order, NOW)


@when(
    "an order runs and another waits from {first:g} to {last:g} seconds before a stop"
)
def step_waits(context, first, last):
    context.queue.begin_stop(PlannedStop(NOW + first), NOW)
    assert context.queue.offer(an_order(1, NOW), NOW) == [Start(1)]
    assert context.queue.offer(an_order(2, NOW), NOW) == []
    context.rejected_left_s = None
    moment = NOW
    while moment < NOW + first - last:
        moment = max(moment + STEP_S, context.queue.wake_at(moment) or moment)
        if context.queue.advance(moment):
            context.rejected_left_s = NOW + first - moment
            break
    context.decisions = context.queue.finish(1, NOW + first - last, True)


@then("the order that waits is rejected once it can't be answered before the stop")
def step_rejected_in_time(context):
    assert context.rejected_left_s is not None, "it was not rejected while it waited"
    assert 1.0 <= context.rejected_left_s <= 1.5, context.rejected_left_s
    assert context.decisions == [], context.decisions


@when(
    "an order has run for {seconds:g} seconds and another arrives {left:g} seconds"
    " before a stop"
)
def step_slower(context, seconds, left):
    context.queue.offer(an_order(1, NOW - seconds), NOW - seconds)
    context.queue.begin_stop(PlannedStop(NOW + left), NOW)
    context.decisions = context.queue.offer(an_order(2, NOW), NOW)


@then("the order is {decision} with regard to the stop")
def step_decided(context, decision):
    match context.decisions:
        case [Start()]:
            assert decision == "started"
        case [Reject(_, outcome)]:
            assert decision == "rejected"
            assert outcome.code == CODE_STOP_TOO_NEAR, outcome
            assert outcome.retry_after_s > 0.0, outcome
        case _:
            raise AssertionError(context.decisions)


@given("it worked {seconds:g} seconds on one of the last 10 orders")
def step_one_long(context, seconds):
    for measured in [seconds] + 9 * [context.queue.times.expected_s("order")]:
        context.queue.times.record_service_time("order", measured)


@when("{count:d} orders arrive {left:g} seconds before a stop")
def step_arrive(context, count, left):
    context.queue.begin_stop(PlannedStop(NOW + left), NOW)
    orders = [an_order(number, NOW) for number in range(count)]
    context.decisions = [
        context.queue.offer(replace(order, target_at=order.deadline), NOW)
        for order in orders
    ]


@then("only the last of them is rejected at once")
def step_last_rejected(context):
    first, *queued, last = context.decisions
    assert first == [Start(0)], first
    assert not any(queued), queued
    assert isinstance(last[0], Reject), last
    assert last[0].outcome.code == CODE_STOP_TOO_NEAR, last


@when("a request arrives in a frame without that field")
def step_earlier_frame(context):
    message = RunRequest.of(1, a_routed_request(cut_s=1.0))
    tag, number, fields = msgspec.msgpack.decode(msgspec.msgpack.encode(message))
    frame = msgspec.msgpack.encode([tag, number, fields[:-1]])
    context.request = decode(frame).to_request()
    assert decode(msgspec.msgpack.encode(message)).to_request().cut_s == 1.0


@then("it is decoded as one whose sender does not stop")
def step_no_stop(context):
    assert context.request == a_routed_request(), context.request
