"""Steps that fuzz the ownership policy."""

from __future__ import annotations

from behave import then

from features.ownership_budget import run_budget


@then("the ownership machine runs its fixed budget without a failure")
def run_machine(context):
    run_budget()
