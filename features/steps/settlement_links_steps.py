"""Steps for links that are lost while orders are pending on them."""

from __future__ import annotations

import asyncio

import msgspec
from behave import given, then, when

from features.builders_fleet_types import a_routed_request
from features.builders_lost_links import IDLE, STEP_S, EarlierPong, LostLinks
from features.builders_node import run
from features.builders_silent_links import silence
from features.builders_slots import SLOTS, SlotWorld
from rosemarydeal.core.requests import NotServed, OutcomeUnknown
from rosemarydeal.node import messages
from rosemarydeal.node.messages import (
    HEADER_BYTES,
    Pong,
    RunRequest,
    SettleRequests,
)
from rosemarydeal.policy.requests.settlement import (
    BEGUN,
    NEVER_BEGUN,
    PEER_LOST,
    ReceivedRequests,
)

SOON_S = 0.5
TIME_LEFT_S = 1.0


@given("a process that passes orders on over a link to another")
def step_links(context):
    context.loop = asyncio.new_event_loop()
    context.links = LostLinks()
    run(context, context.links.start())

    def close():
        run(context, context.links.close())
        context.loop.close()

    context.add_cleanup(close)


@when("an order waits at the other process")
def step_waits(context):
    context.order = run(context, context.links.send_order())


@when("an order has begun at the other process")
def step_has_begun(context):
    context.order = run(context, context.links.send_order())
    context.links.begin()


@when("a lookup waits at the other process")
def step_lookup_waits(context):
    context.order = run(context, context.links.send_order(idempotent=True))


@when("the link is lost, but the other process has yet to read a question on it")
def step_question_unread(context):
    async def go():
        links = context.links
        (former,) = links.receiver._accepted
        context.ask = lambda: links.receiver._on_request(
            former, SettleRequests((), links.sender._last_number)
        )
        silence(former)
        links.lose_link()
        await links.wait(lambda: links.sender.answers("guard"))

    run(context, go())


@when("it reads the question")
def step_reads_question(context):
    async def go():
        context.ask()
        await asyncio.sleep(5 * STEP_S)

    run(context, go())


@then("the order is still running over the link")
def step_still_running(context):
    assert not context.order.done(), context.order
    assert context.links.sender.is_up("guard")


@when("an order waits there whose caller leaves in a second")
def step_short(context):
    links = context.links
    context.order = run(context, links.send_order(time_left_s=TIME_LEFT_S))


@when("the link is lost")
def step_lost(context):
    context.links.lose_link()


@when("the link is lost, and the other process is replaced")
def step_replaced(context):
    async def go():
        links = context.links
        await links.receiver.close()
        await links.start_receiver("guard-2")

    run(context, go())


@when("the link is lost, and no process listens any more")
def step_ended(context):
    run(context, context.links.receiver.close())


@when("the link is lost, and the other process answers no more")
def step_silent(context):
    context.links.receiver._on_request = lambda connection, message: None
    context.links.lose_link()


@when("the link is lost, and an earlier version answers there")
def step_earlier(context):
    async def go():
        await context.links.receiver.close()
        await context.links.start_earlier_version()

    run(context, go())


@when("two orders are sent of which one is still on its way when the link is lost")
def step_on_its_way(context):
    async def go():
        links = context.links
        first = await links.send_order("r1")
        accept = links.receiver._accept
        links.receiver._accept = lambda connection, message: None
        second = await links.send_order("r2", arrives=False)
        links.receiver._accept = accept
        links.lose_link()
        return await first, await second

    context.outcomes = run(context, go())


@when("the other process reads it late")
def step_late(context):
    links = context.links
    number = links.sender._last_number
    order = a_routed_request("r2", idempotent=False)
    run(context, links.read_late(RunRequest.of(number, order)))


@then("the order is soon decided as never begun")
def step_never(context):
    assert _soon(context) == NEVER_BEGUN
    assert isinstance(NEVER_BEGUN, NotServed)


@then("both orders are decided as never begun")
def step_both_never(context):
    assert context.outcomes == (NEVER_BEGUN, NEVER_BEGUN), context.outcomes


@then("the order is soon decided as begun")
def step_begun(context):
    assert _soon(context) == BEGUN
    assert isinstance(BEGUN, OutcomeUnknown)


@then("the order is soon undecided")
def step_undecided(context):
    assert _soon(context) == PEER_LOST


@then("the order is undecided before its caller leaves")
def step_in_time(context):
    async def go():
        return await asyncio.wait_for(context.order, TIME_LEFT_S)

    assert run(context, go()) == PEER_LOST


@then("it can't begin any more")
def step_cannot_begin(context):
    context.links.begin()
    assert not context.links.begun, context.links.begun


@then("it does not begin")
def step_does_not_begin(context):
    assert "r2" not in context.links.permits, context.links.permits


@then("the next order arrives over the new link, and can begin")
def step_next(context):
    async def go():
        await context.links.wait(lambda: context.links.sender.answers("guard"))
        task = await context.links.send_order("r3")
        task.cancel()

    run(context, go())
    context.links.begin("r3")
    assert context.links.begun == ["r3"], context.links.begun


@when("a peer asks about an order that a guard runs, and one that waits there")
def step_guard(context):
    context.loop = asyncio.new_event_loop()
    context.add_cleanup(context.loop.close)

    async def go():
        world = context.world = SlotWorld()
        received = ReceivedRequests()
        running = await world.fill()
        world.answer(running[0])
        await world.settle()
        context.ids = [world.arrive(received.receive("p", n)) for n in (1, 2)]
        await world.settle()
        context.statement = received.settle("p", (1, 2), 2)
        context.sent = world.client.sent
        for request_id in running[1:]:
            world.answer(request_id)
        await world.settle()
        context.sent_later = world.client.sent - context.sent
        context.outcome = await asyncio.wait_for(
            world.callers[context.ids[1]], TIME_LEFT_S
        )
        later = world.arrive(received.receive("p", 3))
        await world.settle()
        assert later in world.client.open, "the slot of the withdrawn order is lost"
        assert world.guard.running <= SLOTS
        await world.close()

    run(context, go())


@then("the one that waits is stated as never begun, and is not sent")
def step_not_sent(context):
    assert context.statement.never == (2,), context.statement
    assert context.sent_later == 0, context.sent_later
    assert context.outcome == NEVER_BEGUN, context.outcome


@then("the one that runs is stated as begun")
def step_stated_begun(context):
    assert context.statement.begun == (1,), context.statement


@then("a process of an earlier version reads a pong that names a process")
def step_reads_pong(context):
    body = messages.encode(Pong((), IDLE, True, "guard-1"))[HEADER_BYTES:]
    assert msgspec.msgpack.decode(body, type=EarlierPong).load == IDLE


def _soon(context):
    """Returns the outcome of the order, which comes within a short time."""

    async def go():
        outcome = await asyncio.wait_for(context.order, SOON_S)
        await asyncio.sleep(STEP_S)
        return outcome

    return run(context, go())
