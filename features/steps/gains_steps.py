"""Steps for the previous owners that gains of a slice name."""

from __future__ import annotations

from behave import given, then, when

from features.builders_gains import ObservedGains

PAUSE_S = 4.0
BETWEEN_PAUSES_S = 6.0


@given("3 ownership simulations after start-up, with seeds {a:d}, {b:d} and {c:d}")
def step_simulations(context, a, b, c):
    context.gains = [ObservedGains(seed) for seed in (a, b, c)]
    for gains in context.gains:
        gains.scene.start_up()


@when("the owner of slice {index:d} is paused beyond its lease {times:d} times in each")
def step_paused(context, index, times):
    for gains in context.gains:
        for _ in range(times):
            scene = gains.scene
            scene.world.pause(scene.owner(index), PAUSE_S)
            scene.world.advance(BETWEEN_PAUSES_S)


@then("each gain that names the token of the previous owner names the latest one")
def step_right(context):
    wrong = [each for gains in context.gains for each in gains.wrong]
    assert not wrong, (len(wrong), wrong)


@then("{count:d} gains or more name it")
def step_named(context, count):
    named = sum(gains.named for gains in context.gains)
    assert named >= count, named
