"""Steps for the rate limits that upstreams state."""

from __future__ import annotations

import asyncio
import math

from behave import given, then, when

from features.builders_fleet_types import (
    a_queue,
    a_queued_request,
    a_rate_limiter,
    a_routed_request,
)
from features.builders_node import run
from features.builders_proxy import raw_upstream
from features.builders_rate_limit import (
    LimitedClient,
    a_limited_guard,
    captured_logs,
)
from rosemarydeal.core.requests import UpstreamNotice, UpstreamRequest
from rosemarydeal.platform.upstream import UpstreamClient
from rosemarydeal.policy.dispatch.queue import Reject, Start
from rosemarydeal.policy.dispatch.rate_limit import RateLimiter

OWN_HEAD = b"HTTP/1.1 200 OK\r\nrequest-id: r1\r\nresponse-signature: s\r\n"
END = b"content-length: 0\r\n\r\n"
TIMEOUT_S = 2.0
KEY = 4096
TIME_LEFT_MS = 700
OVERLOAD_S = 8.0
# After the restart the limit is broken within the seconds that are counted.
RESTART_AFTER_S = 4.5


@given("an upstream whose answers have the headers {headers}")
def step_headers(context, headers):
    context.headers = b""
    if headers != "none":
        context.headers = headers.replace("; ", "\r\n").encode() + b"\r\n"


@when("a request is answered by it")
def step_answered(context):
    async def answer(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(OWN_HEAD + context.headers + END)

    async def go():
        async with raw_upstream(answer) as address:
            client = UpstreamClient(address, 1)
            request = UpstreamRequest(a_routed_request(), "i", TIMEOUT_S)
            context.notice = (await client.run(request)).notice
            await client.close()

    asyncio.run(go())


@then("its notice has the limit {limit} and leaving is {leaving}")
def step_notice(context, limit, leaving):
    expected = {"none": math.inf, "unknown": None}
    limit = expected[limit] if limit in expected else float(limit)
    assert context.notice.rate_limit_per_s == limit, context.notice
    assert bool(context.notice.unreadable) == (limit is None), context.notice
    assert context.notice.leaving == (leaving == "yes"), context.notice


@given("a guard whose upstream states limits")
def step_guard(context):
    context.client = LimitedClient()
    context.guard = a_limited_guard(context.client)


@when('its answers state 9.5, 9.5, "many" and no limit')
def step_states(context):
    async def go():
        for notice in (
            UpstreamNotice(9.5),
            UpstreamNotice(9.5),
            UpstreamNotice(None, unreadable="many"),
            UpstreamNotice(None, unreadable="many"),
            UpstreamNotice(math.inf),
        ):
            context.client.notice = notice
            await context.guard.serve(a_routed_request())

    with captured_logs() as context.logged:
        asyncio.run(go())


@then("the limit is logged as 9.5 and then as none, with the rate sent")
def step_logged(context):
    lines = [e for e in context.logged if e["event"] == "rate_limit_changed"]
    assert [(e["before"], e["per_s"]) for e in lines] == [(None, 9.5), (9.5, None)]
    assert all(e["sent_per_s"] > 0 for e in lines), lines


@then("the unreadable limit is logged once and changed nothing")
def step_logged_once(context):
    lines = [e for e in context.logged if e["event"] == "rate_limit_unreadable"]
    assert [e["value"] for e in lines] == ["many"], lines


@given(
    "a queue of {slots:d} slots whose upstream states a limit"
    " of {limit:d} requests a second"
)
def step_limited_queue(context, slots, limit):
    context.service_s = 0.1
    routes = {"lookup": context.service_s, "order": context.service_s}
    context.queue = a_queue(slots, routes, rate=a_rate_limiter(limit))


@then("no {window:d} seconds have more than {limit:d} starts")
def step_window(context, window, limit):
    starts = context.starts
    most = max(sum(1 for t in starts if s <= t < s + window) for s in starts)
    assert most <= limit, most


@then("at least {count:d} requests were started")
def step_started(context, count):
    assert len(context.starts) >= count, len(context.starts)


@when(
    "{count:d} lookups arrive together with {left:f} seconds left"
    " and a target of {target:f} s"
)
def step_together(context, count, left, target):
    context.decisions = []
    for number in range(count):
        request = a_queued_request(number, 1.0, target_s=target, time_left_s=left)
        context.decisions += context.queue.offer(request, 1.0)


@then("the last one is rejected with a retry time between {low:f} and {high:f} seconds")
def step_retry_time(context, low, high):
    rejection = context.decisions[-1]
    assert isinstance(rejection, Reject), context.decisions
    assert low <= rejection.outcome.retry_after_s <= high, rejection


@when("3 lookups and an order arrive together")
def step_lookups_and_order(context):
    for number in range(3):
        context.queue.offer(a_queued_request(number, 0.0), 0.0)
    context.queue.offer(a_queued_request(3, 0.0, "order", rank=1), 0.0)


@then("the order is the next to be sent")
def step_order_sent(context):
    assert context.queue.advance(0.3) == [Start(3)]


@given("a limiter to which answers state {statements}")
def step_limiter(context, statements):
    context.limiter = RateLimiter()
    for index, statement in enumerate(statements.split(", then ")):
        match statement.split():
            case ["nothing", "yet"]:
                pass
            case ["a", "new", "incarnation"]:
                context.limiter.reset()
            case ["no", "limit", *rest]:
                sent_at = index - 1.5 if rest[-1:] == ["before"] else index - 0.5
                context.limiter.apply(math.inf, sent_at, index)
            case [limit]:
                context.limiter.apply(float(limit), index - 0.5, index)
    context.stated_until = index


@then("it permits {low:d} to {high:d} requests in the next 4 seconds")
def step_permits(context, low, high):
    """Tries to send a hundred requests a second; none of them ends."""
    limiter, sent = context.limiter, 0
    for step in range(400):
        now = context.stated_until + step / 100
        if limiter.may_send(sent, now):
            limiter.record_sent(now)
            sent += 1
    assert low <= sent <= high, sent


@when(
    "an upstream states a limit of {limit:d} requests a second"
    " while {rate:d} a second arrive"
)
def step_overload(context, limit, rate):
    run(context, overload(context, limit, rate, restart=False))


@when(
    "its process restarts while an upstream states a limit"
    " of {limit:d} requests a second"
)
def step_overload_restart(context, limit):
    run(context, overload(context, limit, 60, restart=True))


async def overload(context, limit, rate, restart):
    """Sends requests for one key at a fixed rate from all VMs.

    The keys stay where they are, as too few of them are requested to cut a range.
    """
    deployment = context.deployment
    context.limited = deployment.holders(KEY)[0]
    endpoint = deployment.endpoints[context.limited]
    entries = [name for name in deployment.nodes if name != context.limited]
    endpoint.rate_limit = limit
    loop = asyncio.get_running_loop()
    context.stated_at = started = loop.time()
    tasks = []
    restarted = not restart
    while loop.time() < started + OVERLOAD_S:
        if not restarted and loop.time() > started + RESTART_AFTER_S:
            restarted = True
            await deployment.nodes[context.limited].close()
            await deployment.start_node(context.limited)
        tasks.append(
            loop.create_task(
                deployment.send_request(
                    entries[len(tasks) % len(entries)], KEY, time_left_ms=TIME_LEFT_MS
                )
            )
        )
        await asyncio.sleep(1.0 / rate)
    await asyncio.gather(*tasks)


@then(
    "from {grace:d} seconds after that, it gets at most one and a half times that,"
    " and 5, in {window:d} seconds"
)
def step_within_limit(context, grace, window):
    endpoint = context.deployment.endpoints[context.limited]
    allowed = 1.5 * endpoint.rate_limit * window + 5
    counted = [t for t in endpoint.arrivals if t >= context.stated_at + grace]
    most = max(sum(1 for t in counted if s <= t < s + window) for s in counted)
    assert most <= allowed, (most, allowed)
    # The limit is also used: a closed upstream would pass the check above.
    assert len(counted) >= 0.5 * endpoint.rate_limit * (OVERLOAD_S - grace), counted
