"""Steps for orders that are sent again and may have run before."""

from __future__ import annotations

import asyncio
from contextlib import asynccontextmanager
from dataclasses import replace

from behave import given, then, when

from features.builders import incarnation
from features.builders_caller import caller_of, fleet
from features.builders_daemon import a_guard, an_order
from features.builders_proxy import LOOPBACK
from rosemarydeal.caller import Call
from rosemarydeal.core import Address, NotRun, Row, SliceId, Unknown
from rosemarydeal.policy import entry

SLICE = SliceId("box-office", 2)
FIRST, SECOND = "box-office-1", "box-office-2"
TICKET = 256
RETRIED_AT = 1.0


@given("an entry whose table names two processes")
def step_entry(context):
    context.entry = entry.start(entry.EntrySettings(), 1)
    row = Row(SLICE, 2, (incarnation(FIRST), incarnation(SECOND)))
    context.actions = []
    feed(context, entry.RowsChanged((row,)), 0.0)


def feed(context, event, now):
    context.entry, actions = entry.step(context.entry, event, now)
    context.actions += actions


@when("an order that may have run is rejected by the first as {code}")
def step_rejected(context, code):
    order = entry.RequestAccepted(
        1, "o1", "box-office", SLICE, False, 8.0, ticket=TICKET, resent=True
    )
    feed(context, order, 0.0)
    feed(context, entry.AttemptRejected(1, 1, NotRun(code, "")), 0.0)
    feed(context, entry.Tick(), RETRIED_AT)


@then("it is sent to the second as an order that may have run, without a new ticket")
def step_sent_again(context):
    sent = [a for a in context.actions if isinstance(a, entry.SendAttempt)]
    assert [a.node for a in sent] == [FIRST, SECOND], sent
    assert sent[1].resent and sent[1].ticket == TICKET, sent[1]


def outcome_of(context):
    delivered = [a for a in context.actions if isinstance(a, entry.DeliverOutcome)]
    assert len(delivered) == 1, context.actions
    return delivered[0].outcome


@then("the outcome for its caller is unknown")
def step_unknown(context):
    assert isinstance(outcome_of(context), Unknown), outcome_of(context)


@then("the outcome for its caller is not run")
def step_not_run(context):
    assert isinstance(outcome_of(context), NotRun), outcome_of(context)


@given("a guard whose upstream operators have excluded")
def step_excluded(context):
    context.make_guard = lambda: a_guard(LOOPBACK, may_admit=lambda: False)


@when("an order that may have run reaches it")
def step_reaches(context):
    async def go():
        guard = context.make_guard()
        request, arrived, details = an_order("o1")
        try:
            return await guard.serve(request, replace(arrived, resent=True), details)
        finally:
            await guard.close()

    context.reply = asyncio.run(go())


@then("its reply is unknown")
def step_reply_unknown(context):
    assert isinstance(context.reply.outcome, Unknown), context.reply


@given("an entry that nothing listens at for the caller library")
def step_no_entry(context):
    context.entries = no_entry


@given("an entry that rejects as {code} for the caller library")
def step_rejecting_entry(context, code):
    context.entries = lambda: fleet(lambda _: NotRun(code, ""), 1)


@asynccontextmanager
async def no_entry():
    server = await asyncio.start_server(lambda *_: None, "127.0.0.1", 0)
    address = Address(*server.sockets[0].getsockname()[:2])
    server.close()
    yield [], [address]


@when("a call that may have run is sent again")
def step_call_again(context):
    call = Call("POST", "/orders", request_id="o1", ticket=TICKET)

    async def go():
        async with (
            context.entries() as (_, addresses),
            caller_of(addresses, attempts=2) as caller,
        ):
            return await caller.send(call)

    context.reply = asyncio.run(go())


@then("its reply is unknown, with the id and the ticket to send it again")
def step_unknown_reply(context):
    reply = context.reply
    assert isinstance(reply.outcome, Unknown), reply
    assert (reply.request_id, reply.ticket) == ("o1", TICKET), reply


@then("its reply is not run")
def step_not_run_reply(context):
    assert isinstance(context.reply.outcome, NotRun), context.reply
