from behave import given, then, when

from features.builders_requests import GuardDriver, hash_of
from features.requests_budget import check_crashes, check_faults
from rosemarydeal.core.messages import CrashSuspectNotice
from rosemarydeal.policy import guard


@when("guards and an entry go through random faults")
def step_faults(context):
    context.totals = check_faults()


@then("every caller was told the truth and most work was answered")
def step_counts(context):
    print("outcomes under faults:", dict(sorted(context.totals.items())))
    answers, unknown = context.totals["answer"], context.totals["unknown"]
    total = answers + context.totals["not run"] + unknown
    assert answers > 0.3 * total, context.totals
    assert unknown < 0.5 * total, context.totals
    assert answers > unknown, context.totals


@then("one request that crashes upstreams crashes two, and only it is blamed")
def step_crashes_contained(context):
    check_crashes()


def send_crash_notices(driver):
    for number in (1, 2):
        notice = CrashSuspectNotice("box-office", f"crash-{number}", (hash_of("A"),))
        driver.feed(guard.CrashSuspectsReceived(notice))


@given("a guard that was told of two crashes with order A in flight")
def step_notices_received(context):
    context.guard = GuardDriver()
    send_crash_notices(context.guard)


@when("the guard is told of the same two crashes again")
def step_notices_repeated(context):
    send_crash_notices(context.guard)


@when("the operator releases order A")
def step_release(context):
    context.guard.feed(guard.ReleaseSuspect(hash_of("A")))


@then("the guard told its peers that order A is cleared of 2 crashes")
def step_cleared_broadcast(context):
    notices = [
        action.notice for action in context.guard.of(guard.BroadcastCrashSuspects)
    ]
    assert {n.crash_id for n in notices} == {"crash-1", "crash-2"}
    assert all(n.cleared == (hash_of("A"),) for n in notices)
