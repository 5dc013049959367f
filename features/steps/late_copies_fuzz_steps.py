"""Steps that fuzz the client of the upstream with copies and cuts of answers."""

from __future__ import annotations

from behave import then

from features.stutter_budget import check_stutter


@then("the client of the upstream passes its fixed budget of stutter for {name}")
def step_budget(context, name):
    check_stutter(name)
