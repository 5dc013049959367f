"""Steps for the slots that started requests hold."""

from __future__ import annotations

import asyncio

from behave import given, then, when

from features.builders_fleet_types import a_queue, a_queued_request, a_rate_limiter
from features.builders_node import run
from features.builders_rate_limit import captured_logs
from features.builders_slots import SLOTS, SlotWorld, cancelled_in_one_turn
from features.slots_property import check_slots
from rosemarydeal.core.clock import now
from rosemarydeal.node.metrics import Metrics
from rosemarydeal.policy.dispatch.cold_start import ColdStartLimiter

COLD_S = 60.0
COLD_PER_S = 5.0
LIMIT_PER_S = 0.5


def start_world(context, prepare):
    """Starts a guard in an event loop of its own and prepares it."""
    context.loop = asyncio.new_event_loop()
    context.add_cleanup(context.loop.close)

    async def go():
        context.world = SlotWorld()
        await prepare(context.world)

    run(context, go())
    context.add_cleanup(lambda: run(context, context.world.close()))


@given("a guard all of whose slots are in use, and a request that waits")
def step_full_guard(context):
    context.execute_steps(
        "Given a guard all of whose slots are in use, and 1 requests that wait"
    )


@given("a guard all of whose slots are in use, and {count:d} requests that wait")
def step_full_guard_waiting(context, count):
    async def prepare(world):
        context.running = await world.fill()
        # Less than the lot would be rejected at once as late.
        long = {"time_left_s": 300.0, "target_s": 200.0}
        context.waiting = [world.arrive(**long) for _ in range(count)]
        await world.settle()
        assert world.guard.waiting == count, world.guard.waiting

    start_world(context, prepare)


@given("a guard whose upstream has restarted, with 2 requests sent and 3 that wait")
def step_restarted(context):
    async def prepare(world):
        world.restart_upstream()
        names = [world.arrive() for _ in range(5)]
        await world.settle()
        context.running, context.waiting = names[:2], names[2:]
        assert list(world.client.open) == context.running, world.client.open

    start_world(context, prepare)


def in_one_turn(context, end, ended, left):
    """Ends requests at the upstream and has callers leave in the same turn."""

    async def go():
        context.sent = context.world.client.sent
        context.sent_per_s = context.world.guard.sent_per_s
        for request_id in ended:
            end(request_id)
        for request_id in left:
            context.world.leave(request_id)
        await context.world.settle()

    run(context, go())


@when("an answer arrives and the caller that waits leaves in the same turn")
def step_answer_and_leave(context):
    answered = context.running[:1]
    in_one_turn(context, context.world.answer, answered, context.waiting)


@when("all answers arrive and all callers leave in the same turn")
def step_freeze(context):
    left = [*context.running, *context.waiting]
    in_one_turn(context, context.world.answer, context.running, left)


@when(
    "both are answered by a lost connection"
    " and the callers that wait leave in the same turn"
)
def step_lost_and_leave(context):
    in_one_turn(context, context.world.fail, context.running, context.waiting)


@then("the guard runs one request less than it has slots")
def step_one_less(context):
    assert context.world.guard.running == SLOTS - 1, context.world.guard.running


@then("the guard runs no request")
def step_runs_none(context):
    assert context.world.guard.running == 0, context.world.guard.running


@then("the request that was never sent does not count as sent")
def step_not_sent(context):
    assert context.world.client.sent == context.sent, context.world.client.sent
    assert context.world.guard.sent_per_s <= context.sent_per_s, context.sent_per_s


@then("a later request is sent at once")
def step_later(context):
    async def go():
        later = context.world.arrive()
        await context.world.settle()
        assert later in context.world.client.open, context.world.guard.running

    run(context, go())


def permitted(context):
    """Returns whether each limit permits a request now, and the rate that was sent."""
    cold, rate = context.cold, context.rate
    moment = now()
    return (
        cold.may_send(moment),
        rate.may_send(0, moment),
        rate.sent_per_s(moment),
        len(cold._sent),
    )


@given("a queue that starts a request")
@given("a queue with a stated limit and a cold upstream that starts a request")
def step_starting_queue(context):
    moment = now()
    context.cold, context.rate = ColdStartLimiter(), a_rate_limiter(LIMIT_PER_S, moment)
    context.cold.set_cold(moment + COLD_S, COLD_PER_S)
    # The first token has come.
    context.rate._refilled_at -= 1.0 / LIMIT_PER_S
    context.queue = a_queue(2, cold=context.cold, rate=context.rate)
    context.before = permitted(context)
    request = a_queued_request(1, moment, request_id="r1")
    assert context.queue.offer(request, moment)
    assert context.queue.running == 1


@when("the request is withdrawn before it is sent")
def step_withdrawn(context):
    context.queue.withdraw(1, now())


@then("the limits permit as many requests as before")
def step_permit(context):
    assert permitted(context) == context.before, permitted(context)


def with_slots(context, act):
    """Has something done with the owner of the queue's slots."""
    from rosemarydeal.node.slots import DispatchSlots

    async def go():
        context.slots = DispatchSlots(context.queue, lambda decisions: None)
        task = act(context.slots)
        for _ in range(3):
            await asyncio.sleep(0)
        context.slots.check()
        context.running = context.queue.running
        if task is not None:
            task.cancel()

    with captured_logs() as context.logged:
        asyncio.run(go())


@when("its task is cancelled in the turn in which it is made")
def step_cancelled(context):
    def act(slots):
        slots.start(1, asyncio.sleep(60.0)).cancel()

    with_slots(context, act)


@when("no task is made for it and the slots are checked")
def step_no_task(context):
    with_slots(context, lambda slots: None)


@when("its task runs and the slots are checked")
def step_task_runs(context):
    with_slots(context, lambda slots: slots.start(1, asyncio.sleep(60.0)))


@then("the queue counts no request as running")
def step_none_running(context):
    assert context.running == 0, context.running
    assert not context.logged, context.logged


@then("the slot is given back")
def step_given_back(context):
    assert context.running == 0, context.running


@then('"slots_leaked" is logged as an error with the id of the request')
def step_leak_logged(context):
    lines = [e for e in context.logged if e["event"] == "slots_leaked"]
    assert [e["log_level"] for e in lines] == ["error"], context.logged
    assert lines[0]["request_ids"] == ["r1"], lines


@then("the metrics page counts one leaked slot")
def step_leak_counted(context):
    metrics = Metrics()
    metrics.count_leaked_slots(context.slots.leaked)
    assert b"rosemarydeal_slots_leaked_total 1.0" in metrics.render()


@then("no leak is reported and the queue counts one request as running")
def step_no_leak(context):
    assert not context.logged, context.logged
    assert context.running == 1, context.running
    assert context.slots.leaked == 0


@when("a peer sends {count:d} requests and withdraws each in the same turn")
def step_withdrawn_by_peer(context, count):
    context.serving = asyncio.run(cancelled_in_one_turn(count))


@then("no peer's request is counted as being served")
def step_none_served(context):
    assert context.serving == 0, context.serving


@then("the queue counts as running exactly the requests that have a task")
def step_property(context):
    check_slots()
