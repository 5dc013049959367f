from dataclasses import fields

from behave import then

from rosemarydeal.daemon.configuration import ownership_settings
from rosemarydeal.settings import Effective, Ownership


@then("the ownership policy has every time of the lease that the settings give")
def step_times(context):
    given = Ownership(3.0, 0.7, 2.0, 0.9, 0.03, 0.08)
    taken = ownership_settings(Effective(ownership=given))
    for field in fields(Ownership):
        wanted = getattr(given, field.name)
        assert wanted != getattr(Ownership(), field.name), field.name
        assert getattr(taken, field.name) == wanted, field.name
