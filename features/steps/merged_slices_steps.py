"""Steps for orders whose key's slice is carved out, lost and merged back."""

from __future__ import annotations

from behave import given, then, when

from features.builders_control import NORMAL_LOAD
from features.builders_merged_slices import FollowingGuards
from features.builders_requests import SLICE, GuardDriver
from features.steps.control_steps import HOT
from rosemarydeal.core import TOKEN_RANKS, MemberPhase, SliceId, Unknown
from rosemarydeal.core.messages import LedgerHandOver, TokenRange
from rosemarydeal.policy import guard

ORDER = "order-1"
CARVED = SliceId(SLICE.service, SLICE.index, 259)
BASE_TOKEN, CARVED_TOKEN, MERGED_TOKEN, NEXT_TOKEN = (
    version * TOKEN_RANKS for version in (1, 2, 3, 4)
)


def even_load(node, slice_id):
    return NORMAL_LOAD if slice_id.carved < 0 else 0.0


@given("guards that follow the rows of the control group")
def step_guards(context):
    context.following = FollowingGuards(context.group, HOT)


@when("an order runs at the owner of a carved slice, and that process is lost")
def step_order_runs(context):
    following = context.following
    context.carved = following.carved_elsewhere()
    assert context.carved is not None, following.owned
    node, context.ticket = following.owned[context.carved]
    following.send(context.carved, ORDER, ticket=context.ticket).answer(ORDER)
    assert following.dispatches(ORDER) == 1
    context.group.set_phase(node, MemberPhase.LOST)


@when("the order is sent again each second for {seconds:d} seconds of even load")
def step_sent_again(context, seconds):
    context.sent_again = []
    for _ in range(seconds):
        context.group.run(1.0, even_load)
        driver = context.following.send(
            context.carved, ORDER, ticket=context.ticket, resent=True
        )
        context.sent_again.append(driver.actions[-1])


@then("the order has run once, and the outcome of each repeat is unknown")
def step_ran_once(context):
    count = context.following.dispatches(ORDER)
    assert count == 1, f"the order ran {count} times"
    outcomes = [getattr(action, "outcome", action) for action in context.sent_again]
    assert all(isinstance(outcome, Unknown) for outcome in outcomes), outcomes


@then("{seconds:d} seconds later its slice is merged back")
def step_merged_back(context, seconds):
    assert context.carved in context.following.owned, "merged too early"
    context.group.run(seconds, even_load)
    assert context.carved not in context.following.owned, context.following.owned


@given("a guard that runs an order under a slice that is then merged back")
def step_runs_merged(context):
    context.guard = GuardDriver(token=BASE_TOKEN)
    context.guard.feed(guard.OwnershipGained(CARVED, CARVED_TOKEN))
    context.guard.arrive(1, ORDER, slice=CARVED, ticket=CARVED_TOKEN)
    context.guard.feed(guard.OwnershipGained(SLICE, MERGED_TOKEN, BASE_TOKEN))
    context.guard.feed(guard.OwnershipLost(CARVED))


@when("the upstream of the merged slice answers the order")
def step_merged_answered(context):
    context.guard.answer(ORDER)


@when("the base slice is to be handed over")
def step_base_stops(context):
    context.guard.feed(guard.StopAdmitting(SLICE))


@when("the base slice is handed over to another guard")
def step_base_handed_over(context):
    step_base_stops(context)
    (action,) = context.guard.of(guard.HandOverLedger)
    context.guard.feed(guard.OwnershipLost(SLICE))
    context.next_guard = GuardDriver(token=0)
    context.next_guard.feed(guard.LedgerReceived(action.ledger))
    context.next_guard.feed(guard.OwnershipGained(SLICE, NEXT_TOKEN, MERGED_TOKEN))


@when("the order of the merged slice is sent again to that guard")
def step_merged_sent_again(context):
    context.next_guard.arrive(1, ORDER, ticket=CARVED_TOKEN, resent=True)


@then("the order of the merged slice has run once")
def step_merged_ran_once(context):
    assert len(context.guard.of(guard.Dispatch)) == 1
    again = context.next_guard.of(guard.Dispatch)
    assert not again, again
    assert isinstance(context.next_guard.outcome_of(1), Unknown)


@then("the base slice is not reported idle")
def step_base_not_idle(context):
    assert not context.guard.of(guard.ReportIdle), "released while an order runs"


@then("the base slice is reported idle, and the order is handed over with it")
def step_base_idle(context):
    assert context.guard.of(guard.ReportIdle) == [guard.ReportIdle(SLICE)]
    (action,) = context.guard.of(guard.HandOverLedger)
    assert [record.request_id for record in action.ledger.entries] == [ORDER]


@given("a guard that owns a base slice under tokens {first:d} to {last:d}")
def step_owns_base(context, first, last):
    context.guard = GuardDriver(token=0)
    ledger = LedgerHandOver(SLICE, first, (TokenRange(first, first),), 60.0, ())
    context.guard.feed(guard.LedgerReceived(ledger))
    middle = (first + last) // 2 // TOKEN_RANKS * TOKEN_RANKS
    context.guard.feed(guard.OwnershipGained(SLICE, middle, first))
    context.guard.feed(guard.OwnershipGained(SLICE, last, middle))


@when("it gains a carved slice under token {token:d} after the loss of its owner")
@when("it gains a carved slice under token {token:d}, that of the base slice")
def step_gains_carved(context, token):
    context.guard.feed(guard.OwnershipGained(CARVED, token))


@when("an order with ticket {ticket:d} is sent to it again for the carved slice")
def step_carved_sent_again(context, ticket):
    context.guard.arrive(1, ORDER, slice=CARVED, ticket=ticket, resent=True)


@then("the order of the carved slice is not run, and its outcome is unknown")
def step_carved_unknown(context):
    assert not context.guard.of(guard.Dispatch), "an order ran again"
    assert isinstance(context.guard.outcome_of(1), Unknown)


@then("the order of the carved slice is run")
def step_carved_run(context):
    assert len(context.guard.of(guard.Dispatch)) == 1, context.guard.outcome_of(1)
