"""Steps for node processes on loopback."""

from __future__ import annotations

import asyncio

from behave import given, then, when

from features.builders_node import load, run, start_deployment
from rosemarydeal.core.clock import now
from rosemarydeal.core.fleet import GrantCarrier
from rosemarydeal.core.requests import Failed
from rosemarydeal.node import store_watch
from rosemarydeal.node.records import MEMBERS, RANGES

ORDERS_AFTER_S = 1.9


@given(
    "a deployment of {count:d} VMs treated as a large fleet,"
    " and a store that is {seconds:d} seconds late"
)
def step_large_deployment(context, count, seconds):
    default = store_watch.FULL_WATCH_RATE_NODES
    store_watch.FULL_WATCH_RATE_NODES = 1
    context.add_cleanup(setattr, store_watch, "FULL_WATCH_RATE_NODES", default)
    start_deployment(context, count)
    context.deployment.store.stale_s = seconds


@given("a deployment of {count:d} VMs whose heartbeats carry the grants")
def step_heartbeat_deployment(context, count):
    start_deployment(context, count, GrantCarrier.HEARTBEAT)


@given("a deployment of {count:d} VMs")
@given("a deployment of {count:d} VM")
def step_deployment(context, count):
    start_deployment(context, count)


@when("each VM receives requests for {count:d} keys")
def step_requests(context, count):
    async def ask_all():
        deployment = context.deployment
        return {
            f"{name}-{key}": await deployment.send_request(
                name, key, request_id=f"{name}-{key}"
            )
            for name in deployment.nodes
            for key in list(deployment.sample())[:count]
        }

    context.answers = run(context, ask_all())


@then("each caller receives its own answer, signed by the upstream")
def step_own_answers(context):
    for identity, answer in context.answers.items():
        assert answer.status == 200, answer
        assert answer.body == b"ran " + identity.encode()
        assert answer.headers[b"response-signature"] == b"sig-" + identity.encode()


@then("each request ran once, at the upstream that holds its key")
def step_ran_once(context):
    ran = [r for e in context.deployment.endpoints.values() for r in e.ran]
    assert sorted(ran) == sorted(context.answers)


@then("the upstreams received the caller's service and no more than its time left")
def step_headers(context):
    for endpoint in context.deployment.endpoints.values():
        assert set(endpoint.caller_services) == {b"box-office"}
        assert all(0 < left <= 4000 for left in endpoint.times_left_ms)


def set_fault(context, identity, fault):
    for endpoint in context.deployment.endpoints.values():
        endpoint.faulty_answers[identity] = fault


@when("an upstream answers a non-idempotent request with another request's answer")
def step_foreign(context):
    set_fault(context, "o1", "foreign")
    request = context.deployment.send_request("vm-a", 9, "/order/1", request_id="o1")
    context.answer = run(context, request)


@then("its caller receives 502 and the request ran once")
def step_502(context):
    assert context.answer.status == 502, context.answer
    ran = [r for e in context.deployment.endpoints.values() for r in e.ran]
    assert ran.count("o1") == 1


@when("an upstream answers an idempotent request without a signature")
def step_unsigned(context):
    set_fault(context, "l1", "unsigned")
    context.answer = run(
        context, context.deployment.send_request("vm-a", 9, request_id="l1")
    )


@then("its caller receives its own answer")
def step_repeated(context):
    assert context.answer.status == 200, context.answer
    assert context.answer.body == b"ran l1"


@when("a request has a path without a route")
def step_no_route(context):
    context.answer = run(context, context.deployment.send_request("vm-a", 1, "/none/"))


@then("its caller receives the status {status:d}")
def step_status(context, status):
    assert context.answer.status == status, context.answer


@when("requests continue while the upstream of vm-b drains")
def step_drain(context):
    async def drain():
        context.deployment.endpoints["vm-b"].state = "draining"
        return await load(context.deployment, 3.5)

    context.answers = run(context, drain())


@then("no request failed")
def step_none_failed(context):
    failed = [a for a in context.answers if a.status != 200]
    assert len(context.answers) > 200
    assert not failed, (len(failed), failed[:3])


@then("vm-b holds no key, and got no request from 2 seconds after its acknowledgement")
def step_drained(context):
    endpoint = context.deployment.endpoints["vm-b"]
    assert not any(endpoint.held(key) for key in context.deployment.sample())
    assert endpoint.acknowledged_draining is not None
    assert endpoint.late_arrivals == 0


def table_revision(context):
    table = context.deployment.store.objects[RANGES, "box-office"]
    return table["metadata"]["rev"]


@then("all processes have the table written after it within {seconds:f} seconds")
def step_table_received(context, seconds):
    deployment = context.deployment

    def have_table():
        records = [node._records for node in deployment.nodes.values()]
        return all(
            r.last_change(RANGES).number >= table_revision(context) for r in records
        )

    written = deployment.wait(lambda: table_revision(context) > context.written, 2.0)
    run(context, written)
    run(context, deployment.wait(have_table, seconds))


@when("the upstream of vm-b crashes")
def step_crash(context):
    context.written = table_revision(context)

    async def crash():
        # A failed request reveals the crash sooner than missed heartbeats.
        await context.deployment.endpoints.pop("vm-b").stop()
        await load(context.deployment, 0.3)

    run(context, crash())


@then("all keys are served again within {seconds:d} seconds")
def step_served_again(context, seconds):
    deployment = context.deployment

    async def served():
        await deployment.wait(
            lambda: all(deployment.serves(key) for key in deployment.sample()), seconds
        )
        for key in deployment.sample():
            answer = await deployment.send_request("vm-a", key)
            assert answer.status == 200, (key, answer)

    run(context, served())


@when("the process of vm-b is killed and started again")
def step_restart(context):
    async def restart():
        await context.deployment.nodes["vm-b"].close()
        await asyncio.sleep(0.5)
        await context.deployment.start_node("vm-b")

    run(context, restart())


@when("late, foreign and malformed announcements arrive")
def step_announcements(context):
    endpoint = context.deployment.endpoints["vm-a"]

    async def send():
        late = endpoint.announcement(seq=1, state="draining")
        foreign = endpoint.announcement(service="other", state="draining", seq=10**6)
        unreadable = endpoint.announcement(born="yesterday", seq=10**6)
        return [
            await endpoint.call("heartbeat", body)
            for body in (late, foreign, unreadable, ["not", "an", "object"])
        ]

    statuses = run(context, send())
    assert statuses[0] == 200 and set(statuses[1:]) == {400}, statuses


@then("the upstream still serves its keys")
def step_still(context):
    answer = run(context, context.deployment.send_request("vm-a", 77))
    assert answer.status == 200, answer


@when("vm-b is lost and another VM joins at its address")
def step_reused(context):
    async def reuse():
        deployment = context.deployment
        await deployment.endpoints.pop("vm-b").stop()
        await deployment.nodes.pop("vm-b").close()
        await deployment.replace("vm-b", "vm-x")

    run(context, reuse())


@then("another upstream was given a hand-over token of vm-b")
def step_handover_token(context):
    endpoints = context.deployment.endpoints
    received = [e.handovers_received for n, e in endpoints.items() if n != "vm-b"]
    assert any(received), received


@when("the answers to the next {count:d} heartbeats of vm-b are lost while it drains")
def step_lost_heartbeats(context, count):
    endpoint = context.deployment.endpoints["vm-b"]
    endpoint.lose_answers = count
    endpoint.state = "draining"


@when("the upstream of vm-b restarts and announces itself each {seconds:d} seconds")
def step_restart_upstream(context, seconds):
    endpoint = context.deployment.endpoints["vm-b"]
    endpoint.announce_s = seconds

    async def restart():
        endpoint.restart()

    run(context, restart())


@then("vm-b holds keys within {seconds:f} seconds of its first heartbeat")
def step_first_heartbeat(context, seconds):
    endpoint = context.deployment.endpoints["vm-b"]
    sample = context.deployment.sample()
    held = context.deployment.wait(
        lambda: any(endpoint.held(key) for key in sample), seconds
    )
    run(context, held)


@when("vm-b stops before its upstream has released its keys")
def step_stop_early(context):
    endpoint = context.deployment.endpoints["vm-b"]
    # The answers that leave the keys out do not reach the upstream.
    endpoint.lose_answers = 1000
    endpoint.state = "draining"

    async def stop():
        await asyncio.sleep(0.5)
        await context.deployment.nodes.pop("vm-b").shut_down()

    run(context, stop())


@then("the member of vm-b is still in the store")
def step_member_stays(context):
    assert (MEMBERS, "vm-b") in context.deployment.store.objects


@when("the upstream of vm-b answers no connection but keeps announcing itself")
def step_connect_timeout(context):
    guard = context.deployment.nodes["vm-b"]._guard

    async def fail(_request):
        return Failed("connect-failed", False)

    async def ask():
        guard._client.run = fail
        for key in context.deployment.sample():
            await context.deployment.send_request("vm-b", key)

    run(context, ask())


@then("vm-b still owns its keys")
def step_still_owns(context):
    node = context.deployment.nodes["vm-b"]
    assert node._ownership.owned and node._watch.state.alive


@when(
    "the process of {name} ends while its upstream works on a key,"
    " and {count:d} orders for it arrive"
)
def step_end_while_working(context, name, count):
    deployment = context.deployment

    async def end():
        key = next(k for k in deployment.sample() if name in deployment.holders(k))
        deployment.endpoints[name].work_on(key)
        ending = asyncio.create_task(deployment.nodes[name].shut_down())
        # The keys are being released then, and requests are still accepted.
        await asyncio.sleep(ORDERS_AFTER_S)
        sends = [
            deployment.send_request(name, key, "/order/1", f"waiting-{number}")
            for number in range(count)
        ]
        context.answers = await asyncio.gather(*sends, return_exceptions=True)
        await ending

    run(context, end())


@then("the {count:d} orders are answered 503 and have not run")
def step_answered_503(context, count):
    statuses = [getattr(answer, "status", answer) for answer in context.answers]
    assert statuses == [503] * count, statuses
    ran = [r for e in context.deployment.endpoints.values() for r in e.ran]
    assert not [r for r in ran if r.startswith("waiting")], ran


@when("the process of vm-a starts again")
def step_starts_again(context):
    deployment = context.deployment

    async def start_again():
        await deployment.nodes["vm-a"].close()
        await deployment.start_node("vm-a")
        node = deployment.nodes["vm-a"]
        await deployment.wait(lambda: node.ready and node._records.complete)

    run(context, start_again())


@then("{name} may spend {part} of the fixed retries")
def step_fixed_retries(context, name, part):
    budget = context.deployment.nodes[name]._entry._budget("box-office")
    spent = budget.try_spend(now(), processes=2, share=1.0)
    assert spent == (part == "its part"), spent
