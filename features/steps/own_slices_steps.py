"""Steps for slices that the process of an entry serves itself."""

from __future__ import annotations

from behave import given, then, when

from features.builders import incarnation
from rosemarydeal.core import TOKEN_RANKS, NotRun, Row, SliceId
from rosemarydeal.policy import entry
from rosemarydeal.policy.interface import OwnershipGained, OwnershipLost

SLICE = SliceId("box-office", 2)
LOST, OWN = "box-office-1", "box-office-3"
RANK = 1
SUCCESSION = (incarnation(LOST), incarnation(OWN))
ORDER = entry.RequestAccepted(
    1, "o1", "box-office", SLICE, idempotent=False, deadline=8.0
)
NOT_OWNER = NotRun("not-owner", "Another process owns the key.")
MOVING = NotRun("moving", "The key is being handed over.")


def row(version):
    return entry.RowsChanged((Row(SLICE, version, SUCCESSION),))


def gained(version):
    return OwnershipGained(SLICE, version * TOKEN_RANKS + RANK)


def rejected(attempt, outcome):
    return entry.AttemptRejected(1, attempt, outcome)


def feed(context, *events):
    """Feeds events to the entry; keeps the attempts that it sends."""
    for event in events:
        context.entry, actions = entry.step(context.entry, event, context.now)
        context.sent += [a for a in actions if isinstance(a, entry.SendAttempt)]


@given("an entry whose table names a lost owner first and its own process second")
def step_entry(context):
    context.entry = entry.start(entry.EntrySettings(node=OWN), 1)
    context.sent = []
    context.now = 0.0
    context.version = 1
    feed(context, row(1))


@when("its process has gained the slice and an order for the key arrives")
def step_gained(context):
    feed(context, gained(1), ORDER)


@when(
    "its process has gained the slice, a newer row names both again, and an order"
    " arrives"
)
def step_gained_and_row(context):
    context.version = 2
    feed(context, gained(1), row(2), ORDER)


@when("its process has gained and lost the slice and an order for the key arrives")
def step_gained_and_lost(context):
    feed(context, gained(1), OwnershipLost(SLICE), ORDER)


@when("its process has gained the slice and rejects an order as moving")
def step_moving(context):
    feed(context, gained(1), ORDER, rejected(1, MOVING))
    context.now = 1.0
    feed(context, entry.Tick())


@when("an order has been rejected by all and its process gains the slice")
def step_parked(context):
    feed(context, ORDER, rejected(1, NOT_OWNER))
    context.now = 1.0
    feed(context, entry.Tick(), rejected(2, NOT_OWNER))
    assert [attempt.node for attempt in context.sent] == [LOST, OWN], context.sent
    feed(context, gained(1))
    assert len(context.sent) == 3, context.sent


@then("the order is sent to the own process with the ticket of its rank")
def step_sent_to_own(context):
    sent = context.sent[-1]
    ticket = context.version * TOKEN_RANKS + RANK
    assert (sent.node, sent.ticket) == (OWN, ticket), context.sent


@then("the order is sent to the owner in the table")
def step_sent_to_owner(context):
    assert context.sent[-1].node == LOST, context.sent


LOOKUP_S = 8.0


def a_lookup(context, number):
    deadline = context.now + LOOKUP_S
    return entry.RequestAccepted(
        number, f"l{number}", "box-office", SLICE, idempotent=True, deadline=deadline
    )


@given("an entry at a third process, whose table names a silent owner first")
def step_third(context):
    step_entry(context)
    context.entry = entry.start(entry.EntrySettings(node="box-office-2"), 1)
    feed(context, row(1))


@when("a lookup has waited at the owner until its deadline")
def step_waited(context):
    feed(context, a_lookup(context, 1))
    context.now = 1.0
    feed(context, entry.Tick())
    context.now = LOOKUP_S
    feed(context, entry.Tick())


@then("the next lookup is sent to the successor")
def step_next_lookup(context):
    feed(context, a_lookup(context, 2))
    assert [attempt.node for attempt in context.sent] == [LOST, OWN], context.sent


@when("the successor has answered the lookup after one that the owner did not answer")
def step_successor_answers(context):
    step_waited(context)
    step_next_lookup(context)
    feed(context, entry.AttemptAnswered(2, 1, 200, 0.01))


@then("a lookup long after it is sent to the successor")
def step_long_after(context):
    context.now += 30.0
    feed(context, a_lookup(context, 3))
    assert [a.node for a in context.sent] == [LOST, OWN, OWN], context.sent
