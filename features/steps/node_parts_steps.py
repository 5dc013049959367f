"""Steps for individual tasks of a node process."""

from __future__ import annotations

import asyncio
import time

from behave import given, then, when

from features.builders_fleet_types import a_routed_request, an_identity
from features.builders_node import (
    run,
)
from rosemarydeal.core import Address
from rosemarydeal.core.fleet import Announcement, Service
from rosemarydeal.core.requests import Answered, NotServed
from rosemarydeal.node.crash_watch import CrashHooks, fingerprint_of
from rosemarydeal.node.guard import Guard, GuardHooks
from rosemarydeal.node.metrics import Metrics
from rosemarydeal.node.upstream import UpstreamWatch
from rosemarydeal.policy.dispatch.crash_suspects import SuspectRecord
from rosemarydeal.policy.dispatch.queue import Admission
from rosemarydeal.proxy import HttpLimits, bytes_response, serve

IDLE_S = 0.2
SERVICE = Service("box-office", "/healthz", 80, 3.0, 15.0, True, 5.0)


async def pause_over_idle_end():
    """Returns the answer to a request that arrives as its connection times out."""

    async def answer(request):
        return bytes_response(200, b"ok")

    limits = HttpLimits(idle_time_s=IDLE_S)
    server = await serve(answer, Address("127.0.0.1", 0), limits)
    reader, writer = await asyncio.open_connection("127.0.0.1", server.address.port)
    await asyncio.sleep(IDLE_S / 2)
    writer.write(b"GET / HTTP/1.1\r\nhost: x\r\n\r\n")
    time.sleep(IDLE_S)  # noqa: ASYNC251 - the pause is what is tested
    received = await reader.read(4096)
    writer.close()
    await server.close()
    return received


@given("a server whose process pauses from before a request until its idle time-out")
def step_paused_server(context):
    context.loop = asyncio.new_event_loop()
    context.add_cleanup(context.loop.close)
    context.received = run(context, pause_over_idle_end())


@then("the caller receives its answer")
def step_gets_answer(context):
    assert context.received.startswith(b"HTTP/1.1 200"), context.received


@given("a guard whose upstream announced itself cold before the configuration arrived")
def step_cold_guard(context):
    context.loop = asyncio.new_event_loop()
    context.add_cleanup(context.loop.close)
    context.cold = run(context, requests_at_a_cold_guard())


def a_guard(services, sent, on_suspect_cleared=lambda _fingerprint, _crashes: None):
    """Returns a guard whose upstream answers at once and is cold for three seconds."""

    class Client:
        async def run(self, upstream_request):
            sent.append(upstream_request)
            return Answered(200, (), b"")

    identity = an_identity("vm-a", "127.0.0.1", Address("127.0.0.1", 1))
    hooks = GuardHooks(
        lambda key: Admission.RUN,
        lambda: False,
        CrashHooks(lambda records: None, on_suspect_cleared),
        lambda: services[0] if services else None,
    )
    watch = UpstreamWatch(
        identity, lambda new, old: guard.apply_upstream_state(new, old)
    )
    guard = Guard(identity, Client(), watch, hooks, Metrics())
    announcement = Announcement(
        "i", 1, identity.service, identity.upstream, "z", 12, False, 3.0, 1
    )
    watch.apply(announcement)
    return guard


async def requests_at_a_cold_guard():
    """Returns the first outcome and how many of 60 concurrent requests were sent."""
    services = []
    sent = []
    guard = a_guard(services, sent)
    early = await guard.serve(a_routed_request())
    services.append(SERVICE)
    guard.on_service_changed()
    requests = [
        a_routed_request(request_id=f"r{n}", time_left_s=0.5) for n in range(60)
    ]
    await asyncio.gather(*(guard.serve(request) for request in requests))
    return early, len(sent)


@then("it rejects requests until the configuration arrives")
def step_rejects_early(context):
    assert isinstance(context.cold[0], NotServed), context.cold


@then("it then starts at most {limit:d} of 60 requests in a second")
def step_cold_starts(context, limit):
    assert 0 < context.cold[1] <= limit, context.cold


@given("two guards, and a request that ran when another upstream crashed")
def step_two_guards(context):
    context.loop = asyncio.new_event_loop()
    context.add_cleanup(context.loop.close)
    context.request = a_routed_request()
    context.fingerprint = fingerprint_of(context.request)

    async def make_guards():
        other = a_guard([SERVICE], [])
        return a_guard([SERVICE], [], other.clear_suspect), other

    context.guards = run(context, make_guards())
    for guard in context.guards:
        guard.add_crash_suspects(
            [SuspectRecord(context.fingerprint, ("i-1@1", "i-2@1"), exclusive=True)]
        )


@when("the request succeeds at one guard and the other upstream crashes on it again")
def step_cleared(context):
    outcome = run(context, context.guards[0].serve(context.request))
    assert isinstance(outcome, Answered), outcome
    for guard in context.guards:
        guard.add_crash_suspects([SuspectRecord(context.fingerprint, ("i-3@1",))])


@then("the other guard still runs the request")
def step_still_served(context):
    outcome = run(context, context.guards[1].serve(context.request))
    assert isinstance(outcome, Answered), outcome
