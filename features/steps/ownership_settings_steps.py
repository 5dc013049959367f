from dataclasses import fields

from behave import then

from rosemarydeal.daemon.configuration import ownership_settings
from rosemarydeal.settings import Effective, Ownership


@then("the ownership policy uses every value of the lease settings")
def step_times(context):
    group = Ownership(3.0, 0.7, 2.0, 0.9, 0.03, 0.08)
    policy_settings = ownership_settings(Effective(ownership=group))
    for field in fields(Ownership):
        expected = getattr(group, field.name)
        assert expected != getattr(Ownership(), field.name), field.name
        assert getattr(policy_settings, field.name) == expected, field.name
