from dataclasses import fields

from behave import then

from rosemarydeal.daemon.configuration import (
    ActiveConfiguration,
    control_settings,
    ownership_settings,
)
from rosemarydeal.settings import (
    Effective,
    HeaderKey,
    Ledger,
    Ownership,
    ServiceSettings,
)


@then("the ownership policy uses every value of the lease settings")
def step_times(context):
    group = Ownership(3.0, 0.7, 2.0, 0.9, 0.03, 0.08)
    policy_settings = ownership_settings(Effective(ownership=group))
    for field in fields(Ownership):
        expected = getattr(group, field.name)
        assert expected != getattr(Ownership(), field.name), field.name
        assert getattr(policy_settings, field.name) == expected, field.name


@then("the placement waits for the configured window of ids before it merges slices")
def step_window(context):
    own = Effective(ledger=Ledger(window_s=321.0))
    service = ServiceSettings("box-office", 80, HeaderKey("x-seat"), 256, ())
    placement = control_settings(ActiveConfiguration(own=own), service)
    assert placement.rebalance.merge_quiet_s == 321.0, placement.rebalance
