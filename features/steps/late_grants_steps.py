"""Steps for grants that are sent some time after they were decided."""

from __future__ import annotations

import asyncio
import json
import time
from dataclasses import replace
from types import SimpleNamespace

from behave import given, then, when

from features.builders_addresses import a_loopback_host
from features.builders_grants import terms_with_lease_left, upstream_state
from features.builders_node import run
from features.builders_rate_limit import captured_logs
from features.standin_endpoint import StandInEndpoint
from rosemarydeal.core import Address
from rosemarydeal.core.clock import now
from rosemarydeal.core.fleet import KeyRange, ObjectOrigin
from rosemarydeal.node.grants import CallGrantCarrier
from rosemarydeal.node.heartbeat_grants import HeartbeatGrantCarrier
from rosemarydeal.node.upstream import UpstreamState
from rosemarydeal.platform.upstream import UpstreamCallFailed, UpstreamClient
from rosemarydeal.policy.keyranges.ownership_lease import (
    CLOCK_DRIFT,
    LEASE_S,
    lease_expiry,
)
from rosemarydeal.proxy import HttpLimits, bytes_response, read_bytes, serve

KEYS = KeyRange(0, 9, "vm-a", "i-1@1", 1)
PORT = 9000
UPSTREAM_PORT = 9001
STEP_S = 0.1
STEPS_S = 1.0
MAX_CALL_BYTES = 4096
CALL_TIME_S = 0.6
# From the last look at the clock to the arrival at an upstream on the same machine.
ON_THE_WAY_S = 0.1
LINE_TIME_S = 0.3
HOLD_S = 5.1
ORIGINS = {origin.value for origin in ObjectOrigin}


@when("vm-b drains while the log is recorded")
def step_drains(context):
    deployment = context.deployment
    endpoint = deployment.endpoints["vm-b"]
    moved = [key for key in deployment.sample() if endpoint.held(key)]
    assert moved
    context.revision_before = deployment.store.revision

    def are_moved():
        return not any(map(endpoint.held, moved)) and all(
            map(deployment.holders, moved)
        )

    with captured_logs() as context.lines:
        endpoint.state = "draining"
        run(context, deployment.wait(are_moved))
        # The line follows the answer.
        run(context, asyncio.sleep(LINE_TIME_S))


@then('each line "{event}" names the later table, from whom it came and a lease')
def step_names(context, event):
    granted = [line for line in context.lines if line["event"] == event]
    granted = [line for line in granted if line.get("added", True)]
    assert granted, context.lines
    store = context.deployment.store
    for line in granted:
        era, number = line["revision"]
        assert era == store.era, line
        assert context.revision_before < number <= store.revision, line
        assert line["origin"] in ORIGINS, line
        assert 0.0 <= line["lease_age_s"] < LEASE_S, line
        assert 0.0 <= line["decided_ago_s"] < 1.0, line


class GrantTaker:
    """An upstream that takes each grant and notes when it ends by a slow clock."""

    def __init__(self):
        self.ends = []

    async def answer(self, request):
        body = await read_bytes(request.body, MAX_CALL_BYTES)
        held_s = json.loads(body)["hold_ms"] / 1000 * (1 + CLOCK_DRIFT)
        self.ends.append(now() + held_s)
        return bytes_response(200, b"")


@given("an upstream that takes grants")
def step_taker(context):
    context.taker = GrantTaker()


def grant_from(context, terms, after_decision):
    """Updates a carrier whose calls go to the taker; runs a function afterwards."""

    async def go():
        address = Address(a_loopback_host(1), PORT)
        server = await serve(context.taker.answer, address, HttpLimits())
        client = UpstreamClient(address, 1)
        watch = SimpleNamespace(state=upstream_state(KEYS))
        context.carrier = CallGrantCarrier(
            client, watch, 0.0, lambda: None, lambda: None
        )
        context.carrier.update([KEYS], terms)
        after_decision()
        await asyncio.sleep(CALL_TIME_S)
        context.grants = list(context.carrier._grants.values())
        await context.carrier.close()
        await client.close()
        await server.close()

    asyncio.run(go())


def stand_still(seconds, moment):
    """Blocks the event loop at once, or when a connection is being opened."""
    if moment == "before the call":
        time.sleep(seconds)
        return
    # The call's task runs first, up to the opening of its connection.
    asyncio.get_running_loop().call_soon(time.sleep, seconds)


@when(
    "keys are to be granted with {left_s:g} s left of the lease,"
    " and the process stands still for {pause_s:g} s {moment}"
)
def step_stand_still(context, left_s, pause_s, moment):
    terms = terms_with_lease_left(left_s)
    context.lease_end = lease_expiry(terms.lease)
    grant_from(context, terms, lambda: stand_still(pause_s, moment))


@then("the upstream holds the keys until the end of the lease at the latest")
def step_held_until(context):
    late_s = [end - context.lease_end for end in context.taker.ends]
    assert all(late <= ON_THE_WAY_S for late in late_s), late_s


@then("the process uses them until then at the latest")
def step_used_until(context):
    late_s = [grant.valid_until - context.lease_end for grant in context.grants]
    assert all(late <= 0 for late in late_s), late_s


@when(
    "keys are to be granted, and another owner gets them while the connection is opened"
)
def step_given_away(context):
    terms = terms_with_lease_left(5.0)
    loop_turn = lambda: asyncio.get_running_loop().call_soon(  # noqa: E731
        lambda: context.carrier.update([], terms)
    )
    grant_from(context, terms, loop_turn)


@then("the upstream takes no keys, and a withheld grant is counted")
def step_none(context):
    assert not context.taker.ends, context.taker.ends
    assert context.carrier.withheld == 1, context.carrier.withheld


@given("a process whose upstream is to hold keys, with {left_s:g} s left of its lease")
def step_stating(context, left_s):
    async def update():
        context.carrier.update([KEYS], terms)

    terms = terms_with_lease_left(left_s)
    context.lease_end = lease_expiry(terms.lease)
    watch = SimpleNamespace(state=upstream_state(KEYS))
    context.carrier = HeartbeatGrantCarrier(watch, 0.0, lambda: None, lambda: None)
    asyncio.run(update())


@when("it stands still for {pause_s:g} s, and then answers a heartbeat")
def step_answer_late(context, pause_s):
    async def answer():
        heartbeat = replace(context.carrier._watch.state.announcement, holds=())
        context.answered_at = now()
        context.statement = context.carrier.answer(heartbeat)

    time.sleep(pause_s)
    asyncio.run(answer())


@then("the hold that it states ends with the lease at the latest")
def step_stated_end(context):
    hold_s = context.statement.hold_s * (1 + CLOCK_DRIFT)
    assert context.answered_at + hold_s <= context.lease_end + ON_THE_WAY_S


@given("an upstream that ends after it has announced itself")
def step_ended(context):
    context.endpoint = StandInEndpoint("vm-a", a_loopback_host(1), "box-office", "a")
    announcement = upstream_state(KEYS).announcement
    named = replace(announcement, instance=context.endpoint.instance)
    keys = replace(KEYS, incarnation=named.incarnation)
    state = UpstreamState(named, now(), None, True)
    context.keys, context.watch = keys, UpstreamWatchStandIn(state)


class UpstreamWatchStandIn:
    """A watch whose state a test sets."""

    def __init__(self, state):
        self.state = state

    def is_current(self, incarnation):
        return self.state.incarnation == incarnation

    def report_call_refused(self):
        """Changes nothing, as announcements arrived a short time ago."""


@when(
    "its keys are to be granted, and {seconds:g} s later the next one listens there"
    " under {same}"
)
def step_next_listens(context, seconds, same):
    async def go():
        endpoint = context.endpoint
        if same == "another id":
            endpoint.instance += "-next"
        client = UpstreamClient(Address(a_loopback_host(1), UPSTREAM_PORT), 1)
        carrier = CallGrantCarrier(
            client, context.watch, 0.0, lambda: None, lambda: None
        )
        terms = terms_with_lease_left(8.0)
        started = now()
        server = None
        context.taken_after = {}
        for announced in (False, True):
            until = now() + STEPS_S
            while now() < until:
                if server is None and now() >= started + seconds:
                    server = await serve(
                        endpoint.answer,
                        Address(a_loopback_host(1), UPSTREAM_PORT),
                        HttpLimits(),
                    )
                carrier.update([context.keys], terms)
                await asyncio.sleep(STEP_S)
            context.taken_after[announced] = len(endpoint.taken)
            context.watch.state = replace(context.watch.state, last_heartbeat_at=now())
        await carrier.close()
        await client.close()
        await server.close()

    asyncio.run(go())


@then("the next one takes no keys within 1 s, as long as it has not announced itself")
def step_none_before(context):
    assert not context.taken_after[False], context.endpoint.taken


@then("the next one takes its keys once an announcement has arrived")
def step_after(context):
    assert not context.taken_after[False], context.endpoint.taken
    assert context.taken_after[True], context.endpoint.taken


class RefusedOnce:
    """A client whose first grant is refused after a while."""

    def __init__(self, delay_s):
        self.granted = []
        self._delay_s = delay_s

    async def grant(self, keys, instance, hold_s, timeout_s):
        if not self._delay_s:
            hold_s()
            self.granted.append(keys)
            return
        delay_s, self._delay_s = self._delay_s, 0.0
        await asyncio.sleep(delay_s)
        raise UpstreamCallFailed("refused", sent=False, refused=True)


@given("an upstream whose connection takes {seconds:g} s to be refused")
def step_refused_late(context, seconds):
    context.client = RefusedOnce(seconds)
    context.watch = UpstreamWatchStandIn(upstream_state(KEYS))


@when("its successor announces itself meanwhile")
def step_successor(context):
    async def go():
        carrier = CallGrantCarrier(
            context.client, context.watch, 0.0, lambda: None, lambda: None
        )
        terms = terms_with_lease_left(8.0)
        carrier.update([KEYS], terms)
        await asyncio.sleep(STEP_S)
        context.successor_keys = replace(KEYS, incarnation="i-2@2", token=2)
        context.watch.state = upstream_state(context.successor_keys)
        # The table names the successor after the refusal.
        await asyncio.sleep(CALL_TIME_S)
        carrier.update([context.successor_keys], terms)
        await asyncio.sleep(STEP_S)
        await carrier.close()

    asyncio.run(go())


@then(
    "the successor is granted its keys after the refusal without a further announcement"
)
def step_successor_granted(context):
    assert context.client.granted == [context.successor_keys], context.client.granted


@when(
    "grants to the upstream of vm-b take effect {late_s:g} s late,"
    " the process beside it restarts, and its upstream {then_}"
)
def step_former_process_late(context, late_s, then_):
    async def go():
        deployment = context.deployment
        endpoint = deployment.endpoints["vm-b"]
        await late_grants(endpoint, deployment, late_s)
        await deployment.nodes.pop("vm-b").close()
        if then_ == "drained before":
            endpoint.state = "draining"
        if then_ != "drains and answers no grant":
            endpoint.late_grants_s = None
        await deployment.start_node("vm-b")
        ownership = deployment.nodes["vm-b"]._ownership
        await deployment.wait(lambda: ownership.owned and ownership._watch.state)
        endpoint.state = "draining"

    context.leaving = "vm-b"
    run(context, go())


@when(
    "grants to the upstream of vm-b take effect {late_s:g} s late for a while,"
    " and its upstream drains"
)
def step_own_late(context, late_s):
    async def go():
        deployment = context.deployment
        endpoint = deployment.endpoints["vm-b"]
        await late_grants(endpoint, deployment, late_s)
        endpoint.late_grants_s = None
        endpoint.state = "draining"

    context.leaving = "vm-b"
    run(context, go())


@when(
    "grants to the upstream of vm-b take effect {late_s:g} s late for a while,"
    " and its upstream drains {pause_s:g} s after the first"
)
def step_own_in_flight(context, late_s, pause_s):
    async def go():
        deployment = context.deployment
        endpoint = deployment.endpoints["vm-b"]
        await late_grants(endpoint, deployment, late_s)
        await asyncio.sleep(pause_s)
        endpoint.late_grants_s = None
        endpoint.state = "draining"

    context.leaving = "vm-b"
    run(context, go())


async def late_grants(endpoint, deployment, late_s):
    """Waits until an upstream has got grants that take effect later."""
    endpoint.late_grants_s = late_s
    await deployment.wait(lambda: endpoint.late_grants)


@then("all keys are served by others within {seconds:d} seconds")
def step_served_by_others(context, seconds):
    deployment = context.deployment

    def served():
        holders = [deployment.holders(key) for key in deployment.sample()]
        return all(len(h) == 1 and h != [context.leaving] for h in holders)

    run(context, deployment.wait(served, seconds))
    # The longest that a grant may be late and in effect.
    run(context, asyncio.sleep(HOLD_S))


@then("no upstream took a key under a token below that of another")
def step_tokens_rise(context):
    taken = sorted(
        (moment, name, first, last, token)
        for name, endpoint in context.deployment.endpoints.items()
        for moment, first, last, token in endpoint.taken
    )
    lower = [
        (one, other)
        for i, one in enumerate(taken)
        for other in taken[:i]
        if one[1] != other[1]
        and one[2] <= other[3]
        and other[2] <= one[3]
        and one[4] <= other[4]
    ]
    assert not lower, lower[:3]
