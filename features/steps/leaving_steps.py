"""Steps for upstreams that state in their answers that they leave."""

from __future__ import annotations

import asyncio
import math
import time
from dataclasses import replace

from behave import given, then, when

from features.builders_fleet_types import a_routed_request, an_identity
from features.builders_node import load, run
from features.builders_rate_limit import (
    LimitedClient,
    a_limited_guard,
    an_announcement,
)
from rosemarydeal.core import Address
from rosemarydeal.core.clock import now
from rosemarydeal.core.fleet import Departure
from rosemarydeal.core.requests import Answered, NotServed, UpstreamNotice
from rosemarydeal.node.upstream import CallResult, UpstreamWatch

LOAD_S = 4.5
RESTART_AFTER_S = 1.0
# Of a departure after the stop of the process has begun.
DEPARTS_AFTER_S = {"shortly after": 1.0, "1.8 s after": 1.8}
# Longer than the time within which the requests must be rejected.
TIME_LEFT_S = 5.0


@when("requests continue while the answers of vm-b state that it leaves")
def step_leaves(context):
    context.deployment.endpoints["vm-b"].leaving = True
    context.answers = run(context, load(context.deployment, LOAD_S))


@when(
    "the answers of vm-b state that it leaves, and its process restarts a second later"
)
def step_leaves_restart(context):
    deployment = context.deployment

    async def restart():
        await asyncio.sleep(RESTART_AFTER_S)
        await deployment.nodes["vm-b"].close()
        await deployment.start_node("vm-b")

    async def go():
        deployment.endpoints["vm-b"].leaving = True
        entries = [name for name in deployment.nodes if name != "vm-b"]
        await asyncio.gather(load(deployment, LOAD_S, entries), restart())

    run(context, go())


@then("vm-b gets no request from {seconds:d} seconds after the first such answer")
def step_no_late(context, seconds):
    arrivals = context.deployment.endpoints["vm-b"].arrivals
    stated_at = context.deployment.endpoints["vm-b"].first_stated_at
    assert stated_at is not None
    late = [t - stated_at for t in arrivals if t > stated_at + seconds]
    assert not late, (len(late), late[:3])


@when("its upstream restarts while a request runs, whose answer states that it leaves")
def step_late_statement(context):
    async def go():
        context.client.blocked = asyncio.Event()
        context.client.notice = UpstreamNotice(math.inf, leaving=True)
        running = asyncio.create_task(context.guard.serve(a_routed_request()))
        await asyncio.sleep(0.01)
        identity = context.guard._identity
        successor = an_announcement(identity, "j", born_ms=2)
        context.guard._watch.apply_confirmed(successor)
        context.client.blocked.set()
        await running
        context.client.notice = UpstreamNotice(math.inf)
        context.outcome = await context.guard.serve(a_routed_request(key=None))

    asyncio.run(go())


@then("the guard still accepts requests")
def step_accepts(context):
    assert isinstance(context.outcome, Answered), context.outcome


@given("a guard whose upstream is full and leaves")
def step_full(context):
    context.client = LimitedClient()
    context.guard = a_limited_guard(context.client)


@then(
    "the waiting requests are rejected within {seconds:d} seconds, to be sent elsewhere"
)
def step_rejected(context, seconds):
    guard = context.guard

    async def go():
        context.client.blocked = asyncio.Event()
        checks = asyncio.create_task(guard.check_heartbeats())
        request = a_routed_request(time_left_s=TIME_LEFT_S, target_s=TIME_LEFT_S)
        tasks = [
            asyncio.create_task(guard.serve(replace(request, request_id=f"r{n}")))
            for n in range(16)
        ]
        await asyncio.sleep(0.01)
        sent = len(context.client.sent)
        announcement = an_announcement(guard._identity, sequence=2, draining=True)
        guard._watch.apply(announcement)
        done, running = await asyncio.wait(tasks, timeout=seconds)
        checks.cancel()
        for task in running:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        return sent, [task.result() for task in done], len(context.client.sent)

    sent, outcomes, sent_in_all = asyncio.run(go())
    assert sent_in_all == sent, (sent, sent_in_all)
    assert len(outcomes) == 16 - sent, outcomes
    assert all(isinstance(o, NotServed) and o.elsewhere for o in outcomes), outcomes


@given("a process that does not know its upstream yet")
def step_unknown_upstream(context):
    context.identity = an_identity("vm-a", "127.0.0.1", Address("127.0.0.1", 1))
    context.watch = UpstreamWatch(context.identity, lambda new, old: None)


@when("the upstream departs, and announces itself as ready afterwards")
def step_departs_first(context):
    context.departed_at = now()
    context.result = context.watch.apply(Departure("i", 1))
    context.watch.apply(an_announcement(context.identity))


@then("the process takes the upstream as leaving since then")
def step_departure_kept(context):
    assert context.result is CallResult.APPLIED, context.result
    leaving_since = context.watch.state.leaving_since
    assert leaving_since is not None, "acknowledged and forgotten"
    assert leaving_since - context.departed_at < 0.1, leaving_since


@then("not its next life under the same name")
def step_next_life(context):
    context.watch.apply_confirmed(an_announcement(context.identity, born_ms=2))
    assert context.watch.state.leaving_since is None


@when(
    "the process of vm-b restarts,"
    " and its upstream departs before it announces itself again"
)
def step_departs_after_restart(context):
    deployment = context.deployment
    endpoint = deployment.endpoints["vm-b"]

    async def go():
        endpoint.pause_announcing(RESTART_AFTER_S)
        await deployment.nodes["vm-b"].close()
        await deployment.start_node("vm-b")
        status = await endpoint.call("deregister", {"born": endpoint.born_ms})
        assert status == 200, status
        endpoint.first_stated_at = time.monotonic()
        entries = [name for name in deployment.nodes if name != "vm-b"]
        await load(deployment, LOAD_S, entries)

    run(context, go())


@then("vm-b gets no request from {seconds:d} seconds after its departure")
def step_no_late_departure(context, seconds):
    step_no_late(context, seconds)


@when(
    "the upstream of vm-b departs {moment} its process stops,"
    " and the next process starts"
)
def step_departs_around_stop(context, moment):
    deployment = context.deployment
    endpoint, node = deployment.endpoints["vm-b"], deployment.nodes["vm-b"]

    async def depart():
        status = await endpoint.call("deregister", {"born": endpoint.born_ms})
        assert status == 200, status

    async def go():
        if moment == "shortly before":
            await depart()
            await asyncio.sleep(RESTART_AFTER_S)
        stopping = asyncio.create_task(node.shut_down())
        if moment in DEPARTS_AFTER_S:
            await asyncio.sleep(DEPARTS_AFTER_S[moment])
            await depart()
        await stopping
        await deployment.start_node("vm-b")
        watch = deployment.nodes["vm-b"]._watch
        await deployment.wait(lambda: watch.state is not None)
        await asyncio.sleep(RESTART_AFTER_S)

    run(context, go())


@then("the next process takes the upstream as leaving")
def step_next_takes_leaving(context):
    state = context.deployment.nodes["vm-b"]._watch.state
    assert state.leaving_since is not None, "acknowledged and forgotten"


@given("a process that knows its upstream")
def step_known_upstream(context):
    step_unknown_upstream(context)
    context.watch.apply(an_announcement(context.identity))


@when(
    "the upstream departs, another one is taken, and the first one is confirmed again"
)
def step_taken_again(context):
    context.departed_at = now()
    context.result = context.watch.apply(Departure("i", 1))
    context.watch.apply_confirmed(an_announcement(context.identity, "j", born_ms=2))
    context.watch.apply_confirmed(an_announcement(context.identity, sequence=2))


@when("a departure without a start arrives, and the upstream starts twice afterwards")
def step_departs_without_start(context):
    context.watch.apply(Departure("i", None))
    context.watch.apply(an_announcement(context.identity))
    assert not context.watch.state.accepting
    context.watch.apply_confirmed(an_announcement(context.identity, born_ms=2))


@then("the process takes the upstream as staying")
def step_staying(context):
    assert context.watch.state.accepting
