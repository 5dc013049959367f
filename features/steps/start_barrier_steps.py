"""Steps for processes that start while a predecessor's write may be carried out."""

from __future__ import annotations

import asyncio
import time
from statistics import mean

from behave import given, then, when

from features.builders_barrier import StartOfAll
from features.builders_node import run
from rosemarydeal.core.fleet import NO_REVISION, Revision
from rosemarydeal.node.records import RANGES
from rosemarydeal.policy.keyranges.start_barrier import StartBarrier

SEEDS = range(20)
# A process is started again after a short delay.
RESTART_S = 0.3
SETTLE_S = 1.5
# Later than the end of the scenario.
LOST_S = 60.0


@when(
    "the process of vm-b is killed as it writes a hand-over,"
    " which the store carries out {late_s:d} seconds later"
)
def step_killed_in_hand_over(context, late_s):
    async def go():
        deployment = context.deployment
        store, ownership = deployment.store, deployment.nodes["vm-b"]._ownership
        await deployment.wait(lambda: not ownership._writing)
        store.late_writes_s[RANGES] = float(late_s)
        new_owner = deployment.nodes["vm-b"]._records.members["vm-a"]
        ownership._start_hand_over(((ownership.owned[0], new_owner),))
        await deployment.wait(lambda: not store.late_writes_s)
        await deployment.nodes.pop("vm-b").close()
        await asyncio.sleep(RESTART_S)
        await deployment.start_node("vm-b")
        await deployment.wait(lambda: store.late_statuses, late_s + 2.0)
        await asyncio.sleep(SETTLE_S)

    run(context, go())


@then("the late write was refused by the store")
def step_late_refused(context):
    statuses = context.deployment.store.late_statuses
    assert statuses == [409], statuses


@when("the process of vm-b starts again while the store rejects all writes")
def step_start_without_writes(context):
    async def go():
        deployment = context.deployment
        await deployment.nodes.pop("vm-b").close()
        deployment.store.rejects_writes = True
        context.restarted_at = time.monotonic()
        await deployment.start_node("vm-b")
        await asyncio.sleep(2.0)

    run(context, go())


@then("the upstream of vm-b takes no keys until the store accepts writes")
def step_none_taken(context):
    deployment = context.deployment
    endpoint = deployment.endpoints["vm-b"]

    def taken():
        return [taken for taken in endpoint.taken if taken[0] > context.restarted_at]

    assert not taken(), taken()
    deployment.store.rejects_writes = False
    run(context, deployment.wait(taken, 3.0))


@given("a process that first read the store at revision {number:d}")
def step_first_read(context, number):
    context.barrier = StartBarrier()
    context.barrier.note_position(Revision(1, number))


@given("a process that found no table when it listed the store at revision {number:d}")
def step_listed_without_table(context, number):
    context.barrier = StartBarrier()
    context.barrier.note_table(NO_REVISION)
    context.barrier.note_position(Revision(1, number))
    # The read that renews its lease finds the table that was created since.
    context.barrier.note_position(Revision(1, number + 1))


@then("its barrier is {passed} by a table of revision {number:d}")
def step_passed(context, passed, number):
    context.barrier.note_table(Revision(1, number))
    assert context.barrier.passed == (passed == "passed")


@then("its barrier is passed by a table of revision {number:d} of the next era")
def step_passed_by_era(context, number):
    context.barrier.note_table(Revision(2, number))
    assert context.barrier.passed


@when(
    "the process of vm-b starts again, and the store loses its first write of the table"
)
def step_lost_write(context):
    async def go():
        deployment = context.deployment
        await deployment.nodes.pop("vm-b").close()
        deployment.store.late_writes_s[RANGES] = LOST_S
        context.restarted_at = time.monotonic()
        await deployment.start_node("vm-b")
        await deployment.wait(lambda: not deployment.store.late_writes_s)

    run(context, go())


@then("the upstream of vm-b takes keys again within {seconds:d} seconds")
def step_taken_again(context, seconds):
    endpoint = context.deployment.endpoints["vm-b"]

    def taken():
        return any(taken[0] > context.restarted_at for taken in endpoint.taken)

    run(context, context.deployment.wait(taken, seconds))


@then(
    "{nodes:d} processes that start within {spread_s:g} seconds"
    " write the table at most {writes:d} times on average"
)
def step_start_of_all(context, nodes, spread_s, writes):
    context.starts = [StartOfAll(nodes, spread_s, seed).run() for seed in SEEDS]
    attempts = mean(start.attempts for start in context.starts)
    assert attempts <= writes, attempts


@then("each of them waits at most {seconds:g} seconds for the barrier")
def step_wait(context, seconds):
    longest = max(max(start.waits) for start in context.starts)
    assert longest <= seconds, longest
