from behave import given, then, when

from features.builders_requests import GuardDriver, hash_of
from features.requests_budget import check_crashes, check_faults
from rosemarydeal.core.messages import CrashSuspectNotice
from rosemarydeal.policy import guard


@when("three guards and an entry run through random faults")
def step_faults(context):
    context.totals = check_faults()


@then("every outcome was correct, and answers outnumbered unknown outcomes")
def step_counts(context):
    print("outcomes under faults:", dict(sorted(context.totals.items())))
    answers, unknown = context.totals["answer"], context.totals["unknown"]
    total = answers + context.totals["not run"] + unknown
    assert answers > 0.3 * total, context.totals
    assert unknown < 0.5 * total, context.totals
    assert answers > unknown, context.totals


@then("in ten fleets one request crashes two upstreams, and only it is blocked")
def step_crashes_contained(context):
    check_crashes()


def send_crash_notices(driver):
    for number in (1, 2):
        notice = CrashSuspectNotice("box-office", f"crash-{number}", (hash_of("A"),))
        driver.feed(guard.CrashSuspectsReceived(notice))


@given("a guard that received notices of two crashes with order A in flight")
def step_notices_received(context):
    context.guard = GuardDriver()
    send_crash_notices(context.guard)


@when("the guard receives the same two notices again")
def step_notices_repeated(context):
    send_crash_notices(context.guard)


@when("an operator releases order A")
def step_release(context):
    context.guard.feed(guard.ReleaseSuspect(hash_of("A")))


@then("the guard broadcasts that order A is cleared of 2 crashes")
def step_cleared_broadcast(context):
    notices = [
        action.notice for action in context.guard.of(guard.BroadcastCrashSuspects)
    ]
    assert {n.crash_id for n in notices} == {"crash-1", "crash-2"}
    assert all(n.cleared == (hash_of("A"),) for n in notices)
