"""Steps for the placement of slices."""

from __future__ import annotations

from collections import Counter

from behave import given, then, when

from features.builders_placement import fleet, propose_until_stable
from rosemarydeal.policy.placement import plan


@given(
    "a placement of {slices:d} slices over box-office-1..{count:d} "
    "in {zones:d} availability zones"
)
def step_fleet(context, slices, count, zones):
    context.view = fleet(slices, count, zones)


@when("the placement is proposed and written")
def step_propose(context):
    context.view = propose_until_stable(context.view)


@then("the placement owns between {least:d} and {most:d} slices per member")
def step_balanced(context, least, most):
    owned = Counter(row.owner for row in context.view.rows())
    assert set(owned) == set(context.view.eligible()), owned
    assert least <= min(owned.values()) <= max(owned.values()) <= most, owned


@then("the placement has the owner and successors of each slice in different zones")
def step_spread(context):
    members = context.view.live()
    for row in context.view.rows():
        zones = {members[name].place.availability_zone for name in row.succession}
        assert len(zones) == len(row.succession) == 3, row


@then("the placement proposes nothing more")
def step_nothing(context):
    assert not plan(context.view, 0)


@then("the placement's first plan assigns {count:d} slices")
def step_first_plan(context, count):
    rows = plan(context.view, 0).rows
    owned = Counter(row.owner for row in rows)
    assert len(rows) == count
    assert max(owned.values()) <= -(-count // 40), owned
