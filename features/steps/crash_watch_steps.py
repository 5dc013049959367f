"""Steps for runs that an upstream cuts off, and for suspects of its crashes."""

from __future__ import annotations

import asyncio
import hashlib
from unittest import mock

import msgspec
from behave import given, then, when

from features.builders_crash_watch import (
    BLOCKING,
    LOST,
    REFUSED,
    UNANSWERED,
    CrashWorld,
    an_entry,
)
from features.builders_fleet_types import a_member, a_routed_request
from features.builders_mixed_crashes import MixedCrashes
from features.builders_node import run, start_deployment
from features.builders_slots import SLOTS
from rosemarydeal.core.clock import now
from rosemarydeal.core.requests import Answered, NotServed
from rosemarydeal.node.crash_watch import fingerprint_of
from rosemarydeal.node.messages import CrashSuspects, SuspectCleared
from rosemarydeal.policy.dispatch.crash_suspects import SuspectRecord, SuspectStatus

# The peers open their links to a new process after its own.
LINKED_S = 1.0
CLEARED_TAG = 17
BODY = b"a body that is hashed"


class EarlierCleared(msgspec.Struct, frozen=True, array_like=True, tag=CLEARED_TAG):
    """A clearance as processes of an earlier version read it."""

    fingerprint: str


def new_world(context):
    """Creates a guard within an event loop of its own."""
    context.loop = asyncio.new_event_loop()
    context.add_cleanup(context.loop.close)

    async def create():
        return CrashWorld()

    context.world = run(context, create())
    context.guard = context.world.guard
    context.add_cleanup(lambda: run(context, context.world.close()))


def outcome(context, request_id):
    """Returns the outcome of a request that has one."""
    task = context.world.outcomes[request_id]
    assert task.done(), f"{request_id} has no outcome"
    return task.result()


@given("a guard whose upstream closes the connection of a run")
def step_guard(context):
    new_world(context)
    run(context, context.world.arrive("r1"))


@when("the upstream refuses a new connection")
def step_refuses(context):
    run(context, context.world.end("r1", LOST))
    run(context, context.world.end_check(REFUSED))


@when("the upstream accepts no connection in time")
def step_unanswered(context):
    run(context, context.world.end("r1", LOST))
    run(context, context.world.end_check(UNANSWERED))


@when("it accepts none in time but announces itself")
def step_announces(context):
    run(context, context.world.end("r1", LOST))
    run(context, context.world.announce(sequence=2))
    run(context, context.world.end_check(UNANSWERED))


@when("it accepts a connection and answers the next run")
def step_answers(context):
    run(context, context.world.end("r1", LOST))
    run(context, context.world.end_check())
    run(context, context.world.arrive("r2"))
    run(context, context.world.end("r2"))


@when("it accepts a connection, and its successor comes")
def step_successor(context):
    run(context, context.world.end("r1", LOST))
    run(context, context.world.end_check())
    run(context, context.world.announce("j", 2))


@when("its successor has come before the run is lost")
def step_late(context):
    run(context, context.world.announce("j", 2))
    run(context, context.world.end("r1", LOST))


@when("it was leaving, and refuses a new connection")
def step_leaving(context):
    run(context, context.world.announce(sequence=2, draining=True))
    step_refuses(context)


@when("it was leaving, and ended before the run is lost")
def step_left(context):
    run(context, context.world.announce(sequence=2, draining=True))
    context.guard._watch.report_connect_failed(context.world.state.incarnation)
    run(context, context.world.end("r1", LOST))


@when("the caller leaves before the upstream is gone")
def step_caller_leaves(context):
    run(context, context.world.end("r1", LOST))
    context.world.outcomes["r1"].cancel()
    run(context, context.world.settle())
    run(context, context.world.end_check(REFUSED))


@when("the upstream ends later")
def step_ends_later(context):
    run(context, context.world.announce("j", 2))


@then("the run is {charged} with a crash")
def step_charged(context, charged):
    expected = {context.world.fingerprint("r1")} if charged == "charged" else set()
    assert context.world.charged == expected, context.world.charged


@then("the upstream is in use")
def step_in_use(context):
    assert context.world.state.alive


@then("the upstream is gone, and may hold")
def step_silent(context):
    state = context.world.state
    assert (state.alive, state.silent) == (False, True), state


@given("a guard that runs a suspect, at which another suspect arrives")
def step_two_suspects(context):
    new_world(context)
    for request_id in ("r1", "r2", "r3"):
        context.world.suspect(request_id)
    run(context, context.world.arrive("r1"))
    run(context, context.world.arrive("r2"))
    assert list(context.world.client.open) == ["r1"], context.world.client.open


@when("the first one is answered")
def step_first_answered(context):
    run(context, context.world.end("r1"))


@then("the second one was sent only after that")
def step_second_sent(context):
    assert list(context.world.client.open) == ["r2"], context.world.client.open


@when("the caller of the second one leaves, and a third one arrives")
def step_second_leaves(context):
    context.world.outcomes["r2"].cancel()
    run(context, context.world.arrive("r3"))


@then("the third one is sent")
def step_third_sent(context):
    assert list(context.world.client.open) == ["r3"], context.world.client.open


@when("a peer blocks the second one")
def step_blocked(context):
    context.world.block("r2")


@then("the second one is rejected as not run")
def step_rejected(context):
    assert outcome(context, "r2") == NotServed("crash-suspect"), outcome(context, "r2")
    assert context.world.client.sent == 1, context.world.client.sent


@when("the first one is not answered for {seconds:d} seconds")
def step_unanswered_long(context, seconds):
    run(context, asyncio.sleep(seconds))


@then("the second one is rejected with a time after which to retry")
def step_waited(context):
    rejection = outcome(context, "r2")
    assert rejection.code == "crash-suspect", rejection
    assert rejection.retry_after_s > 0, rejection


def fill(context, *request_ids):
    """Has requests run in all slots of an upstream, and others wait for these."""
    run(context, context.world.arrive("first"))
    run(context, context.world.end("first"))
    free = SLOTS - context.world.guard.running
    context.running = [f"running-{number}" for number in range(free)]
    for request_id in (*context.running, *request_ids):
        run(context, context.world.arrive(request_id))


@given("a guard with a full queue, in which a suspect runs and another waits its turn")
def step_full_suspects(context):
    new_world(context)
    run(context, context.world.arrive("warm-up"))
    run(context, context.world.end("warm-up"))
    for request_id in ("r1", "r2"):
        context.world.suspect(request_id)
    run(context, context.world.arrive("r1"))
    fill(context, "waits", "r2")
    assert context.world.guard.waiting == 1, context.world.guard.waiting


@then("the second one is rejected at once")
def step_rejected_at_once(context):
    assert outcome(context, "r2") == NotServed("crash-suspect"), outcome(context, "r2")
    assert "waits" in context.world.client.open


@given("a guard with a full queue, in which a request waits")
def step_full(context):
    new_world(context)
    fill(context, "r2")
    assert context.world.guard.waiting == 1, context.world.guard.waiting


@when("a peer blocks the request")
def step_waiting_blocked(context):
    context.world.block("r2")


@when("the running requests are answered")
def step_all_answered(context):
    for request_id in context.running:
        run(context, context.world.end(request_id))
        assert isinstance(outcome(context, request_id), Answered)


@then("the request is rejected as not run")
def step_waiting_rejected(context):
    assert outcome(context, "r2") == NotServed("crash-suspect"), outcome(context, "r2")
    assert "r2" not in context.world.client.open
    assert context.world.client.sent == 1 + SLOTS, context.world.client.sent


@then("one rejection is counted")
def step_counted(context):
    counts = context.guard._metrics._dispatches
    assert [n for labels, n in counts.items() if "crash-suspect" in labels] == [1]


@then("no slot is in use")
def step_no_slot(context):
    guard = context.world.guard
    assert (guard.running, guard.waiting) == (0, 0), (guard.running, guard.waiting)


@given("a guard that is sent suspects without crashes, three times")
def step_earlier_version(context):
    new_world(context)
    context.fingerprint = context.world.fingerprint("r1")
    for _ in range(3):
        message = CrashSuspects((context.fingerprint,))
        context.world.guard.add_crash_suspects(message.to_records())


@given("a guard that runs a request, which a peer makes a suspect then")
def step_suspect_later(context):
    new_world(context)
    context.fingerprint = context.world.fingerprint("r1")
    run(context, context.world.arrive("r1"))
    context.world.suspect("r1")


@when("a peer of an earlier version clears the suspect")
def step_earlier_clears(context):
    cleared = msgspec.convert([CLEARED_TAG, context.fingerprint], SuspectCleared)
    context.world.guard.clear_suspect(cleared.fingerprint, cleared.crashes)


@then("the suspect is clear")
def step_clear(context):
    status = context.world.guard.crash_suspects.status(context.fingerprint, now())
    assert status is SuspectStatus.CLEAR, status


@then("a peer of an earlier version reads a clearance with crashes")
def step_earlier_reads(context):
    sent = msgspec.msgpack.encode(SuspectCleared("f", ("i-1@1",)))
    assert msgspec.msgpack.decode(sent, type=EarlierCleared) == EarlierCleared("f")


@then("the suspect still runs in its turn")
def step_still_runs(context):
    status = context.world.guard.crash_suspects.status(context.fingerprint, now())
    assert status is SuspectStatus.SUSPECT, status


@given("a deployment of three VMs, two of which have blocked a request")
def step_deployment(context):
    start_deployment(context, 3)
    context.request = a_routed_request()
    record = SuspectRecord(fingerprint_of(context.request), BLOCKING, True)
    for name in ("vm-a", "vm-b"):
        context.deployment.nodes[name]._guard.add_crash_suspects([record])


@when("the process of the third one starts again")
def step_third_restarts(context):
    deployment = context.deployment

    async def restart():
        await deployment.nodes["vm-c"].close()
        await deployment.start_node("vm-c")
        links = deployment.nodes["vm-c"]._links
        await deployment.wait(lambda: {"vm-a", "vm-b"} <= links.up)
        await asyncio.sleep(LINKED_S)

    run(context, restart())


@then("the third one rejects the request as well")
def step_third_rejects(context):
    guard = context.deployment.nodes["vm-c"]._guard
    outcome = run(context, guard.serve(context.request))
    assert outcome == NotServed("crash-suspect"), outcome


@given("ten entries in three zones that know 60 upstreams and a suspect")
def step_entries(context):
    zones = ("perth-a", "perth-b", "perth-c")
    members = {
        f"vm-{n}": a_member(f"vm-{n}", zone=zones[n % len(zones)]) for n in range(60)
    }
    context.entries = [
        an_entry(members, f"vm-{n}", zones[n % len(zones)]) for n in range(10)
    ]


@when("each of them chooses the upstream of the suspect, and again after one is tried")
def step_choose(context):
    context.chosen = []
    for entry, progress in context.entries:
        first = entry._choose_node(progress, set())
        context.chosen.append((first, entry._choose_node(progress, {first})))


@then("all of them choose the same upstream, and then the same other one")
def step_same(context):
    assert len(set(context.chosen)) == 1, context.chosen
    assert len(set(context.chosen[0])) == 2, context.chosen


@when("another request with a body is answered by the VM that it is sent to")
def step_with_body(context):
    deployment = context.deployment
    key = next(
        key for key in deployment.sample() if deployment.endpoints["vm-a"].held(key)
    )
    hashed = hashlib.blake2b
    context.updates = []

    class CountedHash:
        def __init__(self, **settings):
            self._hash = hashed(**settings)

        def update(self, part):
            context.updates.append(part)
            self._hash.update(part)

        def hexdigest(self):
            return self._hash.hexdigest()

    with mock.patch("hashlib.blake2b", CountedHash):
        answer = run(context, deployment.send_request("vm-a", key, body=BODY))
    assert answer.status == 200, answer


@then("its body was hashed once by the entry and once by the guard")
def step_hashed_twice(context):
    assert context.updates.count(BODY) == 2, context.updates.count(BODY)


@given("{count:d} guards, whose upstreams one in {share:d} copies of a request crashes")
def step_mixed(context, count, share):
    context.loop = asyncio.new_event_loop()
    context.add_cleanup(context.loop.close)

    async def create():
        return [MixedCrashes(seed, share) for seed in range(count)]

    context.mixed = run(context, create())


@when("{copies:d} copies come to each, beside a harmless request that comes as often")
def step_mixed_comes(context, copies):
    async def play():
        for mixed in context.mixed:
            await mixed.play(copies)
            await mixed.close()

    run(context, play())


@then("each guard sees at most {limit:d} crashes and blocks the request")
def step_mixed_blocked(context, limit):
    ended = [mixed.ended for mixed in context.mixed]
    assert max(ended) <= limit, ended
    statuses = {mixed.status(mixed.culprit) for mixed in context.mixed}
    assert statuses == {SuspectStatus.BLOCKED}, statuses


@then("the harmless request is never blocked, and is clear at the end")
def step_harmless(context):
    rejected = [mixed.harmless_rejected for mixed in context.mixed]
    assert not any(rejected), rejected
    statuses = {mixed.status(mixed.harmless) for mixed in context.mixed}
    assert statuses == {SuspectStatus.CLEAR}, statuses
