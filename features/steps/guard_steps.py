from behave import given, then, when

from features.builders_requests import SLICE, GuardDriver
from rosemarydeal.core import TOKEN_RANKS, NotRun, Unknown
from rosemarydeal.core.messages import LedgerHandOver, LedgerRecord, TokenRange
from rosemarydeal.policy import guard


@given("a guard that owns the key")
def step_owner(context):
    context.guard = GuardDriver()


@given("a guard that received order A in a hand-over with token 7 and gained token 8")
def step_handed(context):
    context.guard = GuardDriver(token=0)
    entry = LedgerRecord("A", 65, 1.0, True, 200)
    hand_over = LedgerHandOver(SLICE, 7, (TokenRange(7, 7),), 60.0, (entry,))
    context.guard.feed(guard.LedgerReceived(hand_over))
    context.guard.feed(guard.OwnershipGained(SLICE, 8, after_token=7))


@when("order {name} arrives from caller {caller:d}")
def step_arrives(context, name, caller):
    context.guard.arrive(caller, name)


@when("order {name} arrives again from caller {caller:d}")
def step_arrives_again(context, name, caller):
    context.guard.arrive(caller, name, resent=True, ticket=7)


@when("order {name} is sent again from caller {caller:d} with ticket {ticket:d}")
def step_resent(context, name, caller, ticket):
    context.guard.arrive(caller, name, resent=True, ticket=ticket)


@when("a different request arrives from caller {caller:d} under the id of order {name}")
def step_conflict(context, name, caller):
    context.guard.arrive(caller, name, fingerprint=-5)


@when("the upstream answers order {name}")
def step_answers(context, name):
    context.guard.answer(name)


@when("the connection of order {name} is lost after it was sent")
def step_lost(context, name):
    context.guard.fail(name)


@when("the connection of order {name} is lost before it was sent")
def step_not_sent(context, name):
    context.guard.fail(name, sent=False)


@when("the guard stops admitting requests")
def step_stop(context):
    context.guard.feed(guard.StopAdmitting(SLICE))


@when("the guard loses the slice")
def step_loses(context):
    context.guard.feed(guard.OwnershipLost(SLICE))


@then("the guard reports the slice idle")
def step_idle(context):
    assert context.guard.of(guard.ReportIdle) == [guard.ReportIdle(SLICE)]


@then("the guard dispatched {count:d} request")
@then("the guard dispatched {count:d} requests")
def step_dispatched(context, count):
    assert len(context.guard.of(guard.Dispatch)) == count


@then("callers {first:d} and {second:d} get the answer to order {name}")
def step_answer(context, first, second, name):
    assert context.guard.outcome_of(first) == name
    assert context.guard.outcome_of(second) == name


@then("caller {caller:d} gets outcome unknown with code {code}")
def step_unknown(context, caller, code):
    outcome = context.guard.outcome_of(caller)
    assert isinstance(outcome, Unknown) and outcome.code == code, outcome


@then("caller {caller:d} gets outcome not run with code {code}")
def step_not_run(context, caller, code):
    outcome = context.guard.outcome_of(caller)
    assert isinstance(outcome, NotRun) and outcome.code == code, outcome


@then("the guard has not reported the slice idle")
def step_not_idle(context):
    assert not context.guard.of(guard.ReportIdle)


@then("the guard hands over order {name} and reports the slice idle")
def step_hands_over(context, name):
    (action,) = context.guard.of(guard.HandOverLedger)
    assert [entry.request_id for entry in action.ledger.entries] == [name]
    assert context.guard.of(guard.ReportIdle)


@given("a guard that is the first owner of the key")
def step_first_owner(context):
    context.guard = GuardDriver(token=TOKEN_RANKS)


@given("a guard that is a later owner of the key without a received ledger")
def step_later_owner(context):
    context.guard = GuardDriver(token=TOKEN_RANKS + 1)


@when("order {name} is sent again without a ticket from caller {caller:d}")
def step_no_ticket(context, name, caller):
    context.guard.arrive(caller, name, resent=True, ticket=None)
