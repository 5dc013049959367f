"""Steps for grants that heartbeats carry."""

from __future__ import annotations

import asyncio
import json
import time
from dataclasses import replace
from types import SimpleNamespace

from behave import given, then, when

from features.builders_grants import grant_terms
from features.grants_machine import check_grants
from rosemarydeal.core import Address
from rosemarydeal.core.fleet import Announcement, HeldKeys, KeyRange, ReleasedKeys
from rosemarydeal.node.grants import CallGrantCarrier
from rosemarydeal.platform import announcements
from rosemarydeal.platform.errors import Unreadable
from rosemarydeal.platform.upstream import UpstreamCallFailed
from rosemarydeal.policy.keyranges.heartbeat_grants import HeartbeatGrants
from rosemarydeal.proxy import BytesBody, Request, read_bytes

INCARNATION = "i@1"
START = 100.0
HOLD_S = 5.0
MAX_HOLD_S = 1.0
LONGEST_HOLD_S = 0.4
ROWS = {
    "text": "all",
    "reversed": [[9, 3, 1]],
    "overlapping": [[0, 9, 1], [5, 20, 2]],
    "out of range": [[0, 65536, 1]],
    "fractional": [[0, 9.5, 1]],
    "negative": [[0, 9, -1]],
    "too many": [[i, i, 1] for i in range(10_000)],
    "too short": [[0, 9]],
}


def a_heartbeat(holds=(), released=()):
    return Announcement(
        "i",
        1,
        "s",
        Address("127.0.0.1", 1),
        "z",
        8,
        False,
        0.0,
        1,
        tuple(holds),
        tuple(released),
    )


def a_range(first, last, token=1, handover=""):
    return KeyRange(first, last, "n", INCARNATION, token, handover)


def answer(context, holds=(), released=(), hold_s=HOLD_S, after_s=0.9):
    context.now += after_s
    context.statement = context.grants.answer(
        a_heartbeat(holds, released), INCARNATION, hold_s, context.now
    )


def stated(context):
    return [(keys.first, keys.last) for keys in context.statement.ranges]


@then("the grants of heartbeats hold under the budget of random faults")
def step_budget(context):
    check_grants()


@given("an upstream that is to hold the keys {first:d} to {last:d}")
def step_to_hold(context, first, last):
    context.now = START
    context.grants = HeartbeatGrants(START, MAX_HOLD_S)
    context.grants.set_wanted([a_range(first, last)])


@given("an upstream that holds the keys {first:d} to {last:d}")
def step_holds(context, first, last):
    step_to_hold(context, first, last)
    answer(context)
    answer(context, [HeldKeys(first, last, 1)])


@given("an upstream that is to hold {count:d} ranges")
def step_many(context, count):
    context.now = START
    context.grants = HeartbeatGrants(START, MAX_HOLD_S)
    context.held = [HeldKeys(65000 + i, 65000 + i, 40000 + i) for i in range(10)]
    wanted = [a_range(i * 200, i * 200 + 199, 30000, "f" * 16) for i in range(count)]
    wanted += [a_range(row.first, row.last, row.token) for row in context.held]
    context.grants.set_wanted(wanted)


@when("its heartbeat is answered")
def step_answered(context):
    answer(context, getattr(context, "held", ()))


@when("its next heartbeat still reports no keys")
def step_lost(context):
    answer(context)


@when("{count:d} heartbeats still report no keys")
def step_still_none(context, count):
    for _ in range(count):
        answer(context)


@when("its next heartbeat is answered with a hold of {seconds:d} second")
def step_short(context, seconds):
    answer(context, [HeldKeys(0, 99, 1)], hold_s=seconds, after_s=0.01)


@then("it is told to hold the keys {first:d} to {last:d}")
def step_told(context, first, last):
    assert stated(context) == [(first, last)], context.statement


@then("it is told to hold no keys")
def step_told_none(context):
    answer(context, [HeldKeys(0, 99, 1)])
    assert stated(context) == [], context.statement
    assert context.statement.hold_s > 0


@then("key {key:d} is not usable at once but {seconds:f} seconds later")
def step_usable(context, key, seconds):
    assert not context.grants.allows(key, 1, context.now)
    assert context.grants.allows(key, 1, context.now + seconds)


@then("key {key:d} is usable for {short:f} seconds and not for {long:f}")
def step_usable_for(context, key, short, long):
    assert context.grants.allows(key, 1, context.now + short)
    assert not context.grants.allows(key, 1, context.now + long)


class SilentUpstream:
    """A client whose calls get no answer."""

    async def release(self, keys, timeout_s):
        raise UpstreamCallFailed("no answer")


@given("a process that has just started, whose upstream answers no release")
def step_restarted(context):
    state = SimpleNamespace(alive=True, incarnation=INCARNATION)
    watch = SimpleNamespace(state=state)
    context.carrier = CallGrantCarrier(
        SilentUpstream(), watch, LONGEST_HOLD_S, lambda: None, lambda: None
    )


@when("the release of its keys begins")
def step_begins(context):
    async def release():
        context.carrier.update([a_range(0, 99)], grant_terms(0.0))
        started = time.monotonic()
        context.parts = await context.carrier.release(a_range(0, 99))
        context.seconds = time.monotonic() - started

    asyncio.run(release())


@then("it ends after the longest hold of 0.4 seconds and not before")
def step_waited_out(context):
    assert context.parts == ((a_range(0, 99), ""),)
    assert LONGEST_HOLD_S <= context.seconds < 2 * LONGEST_HOLD_S, context.seconds


@when("the release of the keys {first:d} to {last:d} begins")
@when("the release of the keys {first:d} to {last:d} begins and the upstream is silent")
def step_release(context, first, last):
    context.release = context.grants.begin_release(a_range(first, last))


@then("the release ends after {late:f} seconds, not after {early:f}")
def step_ends(context, late, early):
    context.grants.end_expired(context.now + early)
    assert context.release.parts is None
    context.grants.end_expired(context.now + late)
    assert context.release.parts == ((context.release.keys, ""),)


@then("key 15 is usable until the next answer, which leaves the keys 10 to 29 out")
def step_usable_until(context):
    assert context.grants.allows(15, 1, context.now)
    answer(context, [HeldKeys(0, 99, 1)])
    assert stated(context) == [(0, 9), (30, 99)], context.statement
    assert not context.grants.allows(15, 1, context.now + 0.1)
    assert context.grants.allows(5, 1, context.now)


@when("the upstream reports that it still works on the keys 10 to 29")
def step_works(context):
    answer(context, [HeldKeys(0, 99, 1)], after_s=0.1)


@then("the release has not ended")
def step_not_ended(context):
    assert context.release.parts is None


@when(
    'the upstream reports the keys 10 to 19 released with "{one}"'
    ' and 20 to 29 with "{other}"'
)
def step_reports(context, one, other):
    rows = [ReleasedKeys(10, 19, one), ReleasedKeys(20, 29, other)]
    answer(context, [HeldKeys(0, 9, 1), HeldKeys(30, 99, 1)], rows, after_s=0.1)


@then('the release ended with "{one}" for 10 to 19 and "{other}" for 20 to 29')
def step_parts(context, one, other):
    keys = context.release.keys
    expected = (
        (replace(keys, last=19), one),
        (replace(keys, first=20), other),
    )
    assert context.release.parts == expected, context.release


@then("no token counts as refused")
def step_not_refused(context):
    assert not context.grants.refused


@then("a token counts as refused")
def step_refused(context):
    assert context.grants.refused


@then("an answer without a lease leaves its grants as they are")
def step_no_lease(context):
    answer(context, [HeldKeys(0, 99, 1)], hold_s=0.0)
    assert context.statement is None


@then("an answer of a process that knows no table leaves its grants as they are")
def step_no_table(context):
    context.grants = HeartbeatGrants(START, MAX_HOLD_S)
    answer(context, [HeldKeys(0, 99, 1)])
    assert context.statement is None


@when("another upstream owns its keys")
def step_owns_nothing(context):
    context.grants.set_wanted([])


@then("the encoded answer has at most {size:d} bytes")
def step_size(context, size):
    response = announcements.acknowledge(context.statement)
    body = asyncio.run(read_bytes(response.body, 1 << 20))
    assert len(json.loads(body)["holds"]) > 50
    assert len(body) <= size, len(body)


@then("ranges that it holds are stated before others")
def step_held_first(context):
    first = stated(context)[: len(context.held)]
    assert first == [(row.first, row.last) for row in context.held]


@given("a heartbeat whose rows are {rows}")
def step_rows(context, rows):
    fields = {
        "service": "s",
        "addr": "127.0.0.1:1",
        "zone": "z",
        "slots": 8,
        "state": "ready",
        "cold_left_ms": 0,
        "seq": 1,
        "born": 1,
        "holds": ROWS[rows],
    }
    target = b"/v1/instances/i/heartbeat"
    body = BytesBody(json.dumps(fields).encode())
    context.call = Request(b"POST", target, (), body, Address("127.0.0.1", 1))


@then("it is rejected as unreadable")
def step_rejected(context):
    try:
        call = asyncio.run(announcements.decode_call(context.call))
    except Unreadable:
        return
    raise AssertionError(call)
