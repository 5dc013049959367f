"""Steps for the slots and the callers of the daemon's guard."""

from __future__ import annotations

import asyncio

from behave import given, then, when

from features.builders_daemon_slots import (
    SHORT_DEADLINE_S,
    broken_body,
    daemon_slots,
    settle,
)
from features.builders_rate_limit import captured_logs
from rosemarydeal.core import Unknown

KINDS = {"an order": False, "a lookup": True}


@given("a guard of the daemon with one slot")
def step_guard(context):
    context.loop = asyncio.new_event_loop()
    context.add_cleanup(context.loop.close)
    context.run = context.loop.run_until_complete
    world = daemon_slots()
    context.slots = context.run(world.__aenter__())
    context.add_cleanup(lambda: context.run(world.__aexit__(None, None, None)))


@when("a pause outlasts the deadline of a lookup in the turn of its dispatch")
def step_paused(context):
    async def go():
        slots = context.slots
        slots.arrive("lookup", idempotent=True, deadline_s=SHORT_DEADLINE_S)
        await asyncio.sleep(0)
        assert slots.running == ["lookup"], slots.running
        slots.pause_beyond_deadline()
        await settle()

    context.run(go())
    assert not context.slots.pool.sent, context.slots.pool.sent


@when("an order is sent whose exchange ends with an unforeseen error")
def step_failed(context):
    async def go():
        context.slots.arrive("failed", body=broken_body(LookupError()))
        await settle()

    with captured_logs() as context.logged:
        context.run(go())
    assert context.slots.pool.sent == ["failed"], context.slots.pool.sent


@then("no request holds the slot of the daemon's guard")
def step_no_slot(context):
    assert context.slots.running == [], context.slots.running
    assert context.slots.guard.state.admission.running == 0


@then("the caller of the failed order gets outcome unknown")
def step_unknown(context):
    reply = context.run(context.slots.callers["failed"])
    assert isinstance(reply.outcome, Unknown), reply


@then("the failure is logged with the id of the order")
def step_logged(context):
    errors = [x for x in context.logged if x["event"] == "upstream_exchange_broken"]
    assert [x["request_id"] for x in errors] == ["failed"], context.logged


@then("the daemon's guard sends a later order")
def step_later(context):
    async def go():
        context.slots.arrive("later")
        await settle()
        assert context.slots.pool.sent[-1:] == ["later"], context.slots.pool.sent
        context.slots.answer("later")
        return await context.slots.callers["later"]

    reply = context.run(go())
    assert reply.status == 200, reply


@when("an order holds the slot and the caller of {kind} that waits leaves")
def step_waiting_left(context, kind):
    async def go():
        context.slots.arrive("held")
        context.slots.arrive("left", idempotent=KINDS[kind])
        await settle()
        context.slots.leave("left")
        await settle()

    context.run(go())


@when("the order is answered")
def step_answered(context):
    async def go():
        context.slots.answer("held")
        await settle()

    context.run(go())


@then("nothing but the order was sent to the daemon's upstream")
def step_only_order(context):
    assert context.slots.pool.sent == ["held"], context.slots.pool.sent


def send_and_leave(context, idempotent):
    """Sends a request whose caller leaves while it runs."""

    async def go():
        context.slots.arrive("left", idempotent)
        await settle()
        assert context.slots.pool.sent == ["left"], context.slots.pool.sent
        context.slots.leave("left")
        await settle()

    context.run(go())


@when("a lookup is sent and its caller leaves")
def step_lookup_left(context):
    send_and_leave(context, idempotent=True)


@when("an order is sent and its caller leaves")
def step_order_left(context):
    send_and_leave(context, idempotent=False)


@then("it still runs at the daemon's upstream")
def step_still_runs(context):
    assert list(context.slots.pool.open) == ["left"], context.slots.pool.open


@when("a lookup is sent for two callers and the first leaves")
def step_first_of_two(context):
    async def go():
        context.slots.arrive("shared", idempotent=True)
        await settle()
        first = context.slots.callers["shared"]
        context.slots.arrive("shared", idempotent=True)
        await settle()
        first.cancel()
        await settle()

    context.run(go())


@then("the second caller gets the answer")
def step_second_answered(context):
    async def go():
        context.slots.answer("shared")
        return await context.slots.callers["shared"]

    reply = context.run(go())
    assert reply.status == 200, reply


@when(
    "an order is answered and {turns:d} turns later the caller of a lookup that waits "
    "leaves"
)
def step_left_after_answer(context, turns):
    async def go():
        context.slots.arrive("held")
        context.slots.arrive("left", idempotent=True)
        await settle()
        context.slots.answer("held")
        await settle(turns)
        context.slots.leave("left")
        await settle()

    context.run(go())
