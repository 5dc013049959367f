"""Steps for upstreams that start with an earlier time, or that fall silent."""

from __future__ import annotations

import asyncio
import socket
from dataclasses import replace
from types import SimpleNamespace

from behave import given, then, when

from features.builders_fleet_types import a_routed_request
from features.builders_grants import grant_terms, upstream_state
from features.builders_node import run
from features.builders_rate_limit import a_limited_guard, an_announcement
from rosemarydeal.core import Address
from rosemarydeal.core.clock import now
from rosemarydeal.core.fleet import KeyRange
from rosemarydeal.core.requests import Failed
from rosemarydeal.node.crash_watch import fingerprint_of
from rosemarydeal.node.grants import CallGrantCarrier
from rosemarydeal.platform.upstream import UpstreamCallFailed, UpstreamClient
from rosemarydeal.policy.dispatch.crash_suspects import SuspectStatus

JUMP_MS = 500
LATER_MS = 10_000
# Shorter than the time after which an upstream counts as silent.
HEARTBEAT_PAUSE_S = 0.8
ACKNOWLEDGED = 200
REFUSED = 409
LATE_HEARTBEATS_S = 1.5
KEYS = KeyRange(0, 9, "vm-a", "i-1@1", 1)
# A queue that is shorter than this accepts no connection.
CONNECTIONS = 3
# Longer than a call waits for an answer.
CALL_S = 0.7


@when(
    "the upstream of {name} restarts under {identity},"
    " and its clock has jumped back by half a second"
)
def step_restart_earlier(context, name, identity):
    endpoint = context.deployment.endpoints[name]
    context.name, context.endpoint = name, endpoint
    context.statuses = []
    exchange = endpoint._exchange

    async def recorded(call, body, instance=None):
        status, content = await exchange(call, body, instance)
        if context.deployment.nodes[name]._watch.state.announcement.born_ms != (
            endpoint._born
        ):
            context.statuses.append(status)
        return status, content

    async def go():
        context.former = endpoint.announcement()
        context.former_instance = endpoint.instance
        endpoint._exchange = recorded
        endpoint.restart(-JUMP_MS, renamed=identity == "another id")

    run(context, go())


def is_current(context):
    watch = context.deployment.nodes[context.name]._watch
    endpoint = context.endpoint
    return watch.is_current(f"{endpoint.instance}@{endpoint._born}")


@when(
    "the upstream of {name} restarts at once under {identity},"
    " and its health path names {named}"
)
def step_restart_at_once(context, name, identity, named):
    endpoint = context.deployment.endpoints[name]
    context.name, context.endpoint = name, endpoint
    endpoint.names_instance = named == "its instance"

    async def go():
        endpoint.restart(renamed=identity == "another id")

    run(context, go())


@when(
    "the upstream of {name} drains, and a late heartbeat of an unknown start arrives"
    " that states a later time under {identity}"
)
def step_late_unknown(context, name, identity):
    endpoint = context.deployment.endpoints[name]
    ownership = context.deployment.nodes[name]._ownership

    async def go():
        late = endpoint.announcement(
            seq=100_000, born=endpoint._born + LATER_MS, state="draining", holds=[]
        )
        endpoint.state = "draining"
        await context.deployment.wait(lambda: ownership._hand_overs.released, 3.0)
        # Its next heartbeat reports the releases.
        endpoint.pause_announcing(HEARTBEAT_PAUSE_S)
        instance = endpoint.instance
        sender = instance if identity == "the same id" else "i-never-seen"
        context.late = [await endpoint.call("heartbeat", late, sender)]

    run(context, go())


@then("the late heartbeat is refused")
def step_late_unknown_refused(context):
    assert context.late == [REFUSED], context.late


@then("it is the current upstream of {name} within {seconds:g} seconds")
def step_current(context, name, seconds):
    run(context, context.deployment.wait(lambda: is_current(context), seconds))


@then("until then none of its heartbeats was acknowledged")
def step_none_acknowledged(context):
    assert ACKNOWLEDGED not in context.statuses, context.statuses


@when("{count:d} late heartbeats of its former start arrive within 1.5 seconds")
def step_late_heartbeats(context, count):
    endpoint = context.endpoint

    async def go():
        context.late = []
        for number in range(count):
            body = context.former | {"seq": 100_000 + number}
            current, endpoint.instance = endpoint.instance, context.former_instance
            call = asyncio.create_task(endpoint.call("heartbeat", body))
            await asyncio.sleep(0)
            endpoint.instance = current
            context.late.append(await call)
            await asyncio.sleep(LATE_HEARTBEATS_S / count)

    run(context, go())


@then("each of them is refused, and the upstream stays the current one")
def step_late_refused(context):
    assert set(context.late) == {REFUSED}, context.late
    assert is_current(context)


@when("an upstream that never announced itself to {name} departs")
def step_foreign_departure(context, name):
    endpoint = context.deployment.endpoints[name]
    current, endpoint.instance = endpoint.instance, "i-never-seen"
    context.status = run(context, endpoint.call("deregister", {}))
    endpoint.instance = current


@then("its departure is refused")
def step_departure_refused(context):
    assert context.status == REFUSED, context.status


@when("the upstream of {name} falls silent and answers no release")
def step_silent(context, name):
    context.deployment.endpoints[name].releases_answered.clear()
    fall_silent(context, name)


@when("the upstream of {name} falls silent and answers releases")
def step_silent_releasing(context, name):
    fall_silent(context, name)


def fall_silent(context, name):
    """Waits until the process has given the keys of a silent upstream away."""
    deployment = context.deployment
    deployment.endpoints[name].fall_silent()
    owned = deployment.nodes[name]._ownership
    run(context, deployment.wait(lambda: not owned.owned, 12.0))


@when("the upstream of {name} crashes while no requests arrive")
def step_crash(context, name):
    endpoint = context.deployment.endpoints[name]

    async def go():
        await endpoint.stop()
        endpoint.holds = []

    run(context, go())


class UnreleasingUpstream:
    """A client whose upstream answers grants, and no release."""

    async def grant(self, keys, instance, hold_s, timeout_s):
        hold_s()

    async def release(self, keys, timeout_s):
        await asyncio.sleep(timeout_s)
        raise UpstreamCallFailed("no answer")


@given("an upstream that answers grants and no release")
def step_unreleasing(context):
    context.upstream = UnreleasingUpstream()


@when(
    "a range is granted to it for {hold_s:g} seconds,"
    " it falls silent, and the grant expires"
)
def step_granted_and_silent(context, hold_s):
    async def go():
        watch = SimpleNamespace(state=upstream_state(KEYS))
        carrier = CallGrantCarrier(
            context.upstream,
            watch,
            0.0,
            lambda: None,
            lambda: None,
        )
        carrier.update([KEYS], grant_terms(hold_s))
        await asyncio.sleep(2 * hold_s)
        watch.state = replace(watch.state, alive=False, silent=True)
        carrier.clear(silent=True)
        started = now()
        await carrier.release(KEYS)
        context.seconds = now() - started
        await carrier.close()

    asyncio.run(go())


@then("the release of the range takes less than {seconds:g} seconds")
def step_release_short(context, seconds):
    assert context.seconds < seconds, context.seconds


@given("an upstream that accepts no connection in time")
def step_no_connection(context):
    listener = socket.create_server(("127.0.0.1", 0), backlog=0)
    context.add_cleanup(listener.close)
    context.address = Address(*listener.getsockname())
    for _ in range(CONNECTIONS):
        waiting = socket.socket()
        waiting.setblocking(False)
        waiting.connect_ex(listener.getsockname())
        context.add_cleanup(waiting.close)


@when("a range is granted to it for 1 second")
def step_grant_unsent(context):
    async def go():
        client = UpstreamClient(context.address, 1)
        watch = SimpleNamespace(state=upstream_state(KEYS))
        carrier = CallGrantCarrier(
            client,
            watch,
            0.0,
            lambda: None,
            lambda: None,
        )
        carrier.update([KEYS], grant_terms(1.0))
        await asyncio.sleep(CALL_S)
        latest = max(grant.may_hold_until for grant in carrier._grants.values())
        context.may_hold = latest > now()
        await carrier.close()
        await client.close()

    asyncio.run(go())


@then("it holds no keys")
def step_holds_none(context):
    assert not context.may_hold


class UndecidedClient:
    """A client whose request waits for the result that a test sets."""

    def __init__(self):
        self.started = asyncio.Event()
        self.result = None

    async def run(self, upstream_request):
        self.result = asyncio.get_running_loop().create_future()
        self.started.set()
        return await self.result


async def refuse(context, successor=None):
    """Sends a request, whose connection is refused after a successor is known."""
    serving = asyncio.create_task(context.guard.serve(a_routed_request("r1")))
    await context.client.started.wait()
    if successor is not None:
        context.guard._watch.apply_confirmed(successor)
    refused = Failed("connect-failed", sent=False, refused=True)
    context.client.result.set_result(refused)
    context.outcome = await serving


@given("a guard that sends a request to its upstream")
def step_guard(context):
    context.client = UndecidedClient()
    context.guard = a_limited_guard(context.client)


@when(
    "the successor of the upstream announces itself,"
    " and then the connection turns out to be refused"
)
def step_refused_late(context):
    successor = an_announcement(context.guard._identity, "j", born_ms=2)
    asyncio.run(refuse(context, successor))


@when("the connection turns out to be refused")
def step_refused(context):
    asyncio.run(refuse(context))


@then("the successor is the current upstream, and runs")
def step_successor_runs(context):
    state = context.guard._watch.state
    assert state.incarnation == "j@2", state
    assert state.alive, state


@then("the request is no crash suspect")
def step_no_suspect(context):
    fingerprint = fingerprint_of(a_routed_request("r1"))
    status = context.guard.crash_suspects.status(fingerprint, now())
    assert status is SuspectStatus.CLEAR, status


@then("the upstream is gone")
def step_gone(context):
    assert not context.guard._watch.state.alive


@then("no request counts as running at the crash")
def step_none_counted(context):
    assert not context.guard.crash_suspects.any
