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
