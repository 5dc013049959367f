"""Steps for orders whose key's slice is carved out, lost and merged back."""

from __future__ import annotations

from behave import given, then, when

from features.builders_control import NORMAL_LOAD
from features.builders_merged_slices import FollowingGuards
from features.steps.control_steps import HOT
from rosemarydeal.core import MemberPhase, Unknown

ORDER = "order-1"


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
