"""Steps for node processes on loopback."""

from __future__ import annotations

import asyncio
import time

from behave import given, then, when

from features.builders_fleet_types import an_identity, an_order
from features.builders_node import Deployment, a_configuration
from rosemarydeal.core import Address
from rosemarydeal.core.fleet import Announcement, Service
from rosemarydeal.core.requests import Answered, NotServed
from rosemarydeal.node import following
from rosemarydeal.node.guard import Guard, GuardHooks
from rosemarydeal.node.metrics import Metrics
from rosemarydeal.node.process import NodeProcess
from rosemarydeal.node.records import RANGES
from rosemarydeal.node.upstream import UpstreamWatch
from rosemarydeal.platform.errors import StoreUnavailable
from rosemarydeal.policy.dispatch.queue import Admission
from rosemarydeal.proxy import HttpLimits, serve, whole_response

# All processes share one thread, which a load of 100 requests a second fills by a
# fifth on a quiet machine.
LOAD_PAUSE_S = 0.03
LEAST_REQUESTS = 201
IDLE_S = 0.2


def run(context, work):
    return context.loop.run_until_complete(work)


def close(context):
    context.watcher.cancel()
    run(context, asyncio.gather(context.watcher, return_exceptions=True))
    run(context, context.deployment.close())
    run(context, asyncio.sleep(0.05))
    context.loop.close()


async def watch_holders(deployment, doubled):
    """Notes each key that two upstreams hold at a time."""
    while True:
        for key in deployment.sample():
            holders = deployment.holders(key)
            if len(holders) > 1:
                doubled.append((key, holders))
        await asyncio.sleep(0.005)


@given(
    "a deployment of {count:d} VMs that counts as large,"
    " and a store that is {seconds:d} seconds late"
)
def step_large_deployment(context, count, seconds):
    usual = following.GATHER_FLEET
    following.GATHER_FLEET = 1
    context.add_cleanup(setattr, following, "GATHER_FLEET", usual)
    step_deployment(context, count)
    context.deployment.store.stale_s = seconds


@given("a deployment of {count:d} VMs")
@given("a deployment of {count:d} VM")
def step_deployment(context, count):
    context.loop = asyncio.new_event_loop()
    context.deployment = Deployment(count)
    context.doubled = []
    run(context, context.deployment.start())
    watching = watch_holders(context.deployment, context.doubled)
    context.watcher = context.loop.create_task(watching)
    context.add_cleanup(close, context)


async def load(deployment, seconds):
    """Asks without pause from all VMs; returns the answers."""
    answers = []
    loop = asyncio.get_running_loop()
    ends = loop.time() + seconds
    key, tasks = 0, []

    async def one(name, key):
        answers.append(await deployment.ask(name, key))

    while loop.time() < ends or len(tasks) < LEAST_REQUESTS * (seconds > 1.0):
        for name in deployment.nodes:
            key = (key + 4099) % 65536
            tasks.append(asyncio.create_task(one(name, key)))
        await asyncio.sleep(LOAD_PAUSE_S)
    await asyncio.gather(*tasks)
    return answers


@when("each VM is asked for {count:d} keys")
def step_ask(context, count):
    async def ask_all():
        deployment = context.deployment
        return {
            f"{name}-{key}": await deployment.ask(name, key, identity=f"{name}-{key}")
            for name in deployment.nodes
            for key in list(deployment.sample())[:count]
        }

    context.answers = run(context, ask_all())


@then("each caller got its own answer, signed by the upstream")
def step_own_answers(context):
    for identity, answer in context.answers.items():
        assert answer.status == 200, answer
        assert answer.body == b"ran " + identity.encode()
        assert answer.headers[b"response-signature"] == b"sig-" + identity.encode()


@then("each request ran once, at the upstream that holds its key")
def step_ran_once(context):
    ran = [r for e in context.deployment.endpoints.values() for r in e.ran]
    assert sorted(ran) == sorted(context.answers)


@then("the upstreams got the caller's service and a shrinking deadline")
def step_headers(context):
    for endpoint in context.deployment.endpoints.values():
        assert set(endpoint.callers) == {b"box-office"}
        assert all(0 < left <= 4000 for left in endpoint.deadlines)


def break_next(context, identity, how):
    for endpoint in context.deployment.endpoints.values():
        endpoint.broken[identity] = how


@when("an upstream answers an order with another request's answer")
def step_foreign(context):
    break_next(context, "o1", "foreign")
    ask = context.deployment.ask("vm-a", 9, "/order/1", identity="o1")
    context.answer = run(context, ask)


@then("its caller is told 502 and the order ran once")
def step_502(context):
    assert context.answer.status == 502, context.answer
    ran = [r for e in context.deployment.endpoints.values() for r in e.ran]
    assert ran.count("o1") == 1


@when("an upstream answers a lookup without its signature")
def step_unsigned(context):
    break_next(context, "l1", "unsigned")
    context.answer = run(context, context.deployment.ask("vm-a", 9, identity="l1"))


@then("its caller gets its own answer")
def step_repeated(context):
    assert context.answer.status == 200, context.answer
    assert context.answer.body == b"ran l1"


@when("a request names a path that no route has")
def step_no_route(context):
    context.answer = run(context, context.deployment.ask("vm-a", 1, "/none/"))


@then("it is answered {status:d}")
def step_status(context, status):
    assert context.answer.status == status, context.answer


@when("a VM starts while the store turns it away")
def step_alone(context):
    deployment = context.deployment
    deployment.store.turns_away.add("*")
    deployment.hosts["vm-z"] = "127.0.1.200"
    identity = an_identity("vm-z", "127.0.1.200", deployment.address)

    async def start():
        deployment.nodes["vm-z"] = NodeProcess(identity)
        await deployment.nodes["vm-z"].start()
        await asyncio.sleep(0.3)
        return await deployment.ask("vm-z", 1)

    context.answer = run(context, start())


@then("it is not ready, and answers 503")
def step_not_ready(context):
    assert context.answer.status == 503
    assert not context.deployment.nodes["vm-z"].ready


@when("requests go on while the upstream of vm-b drains")
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


@then("vm-b holds no key, and got nothing 2 seconds after its acknowledgement")
def step_drained(context):
    endpoint = context.deployment.endpoints["vm-b"]
    assert not any(endpoint.held(key) for key in context.deployment.sample())
    assert endpoint.acknowledged_draining is not None
    assert endpoint.arrived_after_drain == 0


def table_revision(context):
    table = context.deployment.store.objects[RANGES, "box-office"]
    return table["metadata"]["rev"]


@then("all processes know the table that is written then within {seconds:f} seconds")
def step_table_known(context, seconds):
    deployment = context.deployment

    def known():
        records = [node._records for node in deployment.nodes.values()]
        return all(r.changed(RANGES) >= table_revision(context) for r in records)

    written = deployment.wait(lambda: table_revision(context) > context.written, 2.0)
    run(context, written)
    run(context, deployment.wait(known, seconds))


@when("the upstream of vm-b crashes")
def step_crash(context):
    context.written = table_revision(context)

    async def crash():
        # A request that meets the crash shows it; silence alone takes longer.
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
            answer = await deployment.ask("vm-a", key)
            assert answer.status == 200, (key, answer)

    run(context, served())


@when("the store turns vm-b away and its upstream drains")
def step_turned_away(context):
    async def drain():
        turn_away(context.deployment, "vm-b")
        await asyncio.sleep(0.5)
        context.deployment.endpoints["vm-b"].state = "draining"

    run(context, drain())


def turn_away(deployment, name):
    """Has the store refuse a VM, whose calls all come from one address here."""
    client = deployment.nodes[name].store

    async def refuse(*_args, **_kwargs):
        raise StoreUnavailable("turned away")

    client._call = refuse


@then("vm-b holds no key within {seconds:d} seconds")
def step_no_key(context, seconds):
    endpoint = context.deployment.endpoints["vm-b"]
    sample = context.deployment.sample()
    empty = context.deployment.wait(
        lambda: not any(endpoint.held(key) for key in sample), seconds
    )
    run(context, empty)


@then("vm-b holds keys within {seconds:d} seconds")
def step_holds(context, seconds):
    endpoint = context.deployment.endpoints["vm-b"]
    sample = context.deployment.sample()
    run(
        context,
        context.deployment.wait(
            lambda: any(endpoint.held(key) for key in sample), seconds
        ),
    )


@when("the store is out for {seconds:d} seconds while requests go on")
def step_out(context, seconds):
    async def outage():
        context.deployment.store.turns_away.add("*")
        answers = await load(context.deployment, float(seconds))
        context.deployment.store.turns_away.clear()
        return answers

    context.answers = run(context, outage())


@when("the store turns vm-b away and the operator moves the route to /b/")
def step_moved_away(context):
    turn_away(context.deployment, "vm-b")
    moved = a_configuration(version=4, prefix="/b/")
    context.deployment.store.put("config", "main", moved)


@when("the store drops its history and the operator moves the route to /b/")
def step_dropped(context):
    store = context.deployment.store
    store.put("config", "main", a_configuration(version=4, prefix="/b/"))
    store.drop_history()


@then("{name} serves /b/ and no longer /a/ within {seconds:d} seconds")
def step_new_route(context, name, seconds):
    async def asked():
        await asyncio.sleep(seconds)
        new = await context.deployment.ask(name, 5, "/b/1")
        old = await context.deployment.ask(name, 5, "/a/1")
        return new.status, old.status

    assert run(context, asked()) == (200, 404)


@when("the operator takes perth-b out")
def step_zone_out(context):
    context.deployment.store.put("evacuations", "perth-b", {})


@when("the operator takes perth-b back")
def step_zone_back(context):
    context.deployment.store.remove("evacuations", "perth-b")


@when("the answers to the next {count:d} writes are lost while vm-b drains")
def step_lost_answers(context, count):
    context.deployment.store.lose_answers = count
    context.deployment.endpoints["vm-b"].state = "draining"


@then("no key was ever held by two upstreams")
def step_one_owner(context):
    assert not context.doubled, context.doubled[:3]


@when("the process of vm-b is killed and started again")
def step_restart(context):
    async def restart():
        await context.deployment.nodes["vm-b"].close()
        await asyncio.sleep(0.5)
        await context.deployment.start_node("vm-b")

    run(context, restart())


@when("announcements come that are late, foreign, or unreadable")
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
    answer = run(context, context.deployment.ask("vm-a", 77))
    assert answer.status == 200, answer


@when("vm-b is lost and another VM of its name's address joins")
def step_reused(context):
    async def reuse():
        deployment = context.deployment
        await deployment.endpoints.pop("vm-b").stop()
        await deployment.nodes.pop("vm-b").close()
        await deployment.replace("vm-b", "vm-x")

    run(context, reuse())


async def pause_over_idle_end():
    """Returns what a caller gets whose request and idle end come in one turn."""

    async def answer(request):
        return whole_response(200, b"ok")

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


@given("a server whose process pauses from before a request until its idle time")
def step_paused_server(context):
    context.loop = asyncio.new_event_loop()
    context.add_cleanup(context.loop.close)
    context.received = run(context, pause_over_idle_end())


@then("the caller gets its answer")
def step_gets_answer(context):
    assert context.received.startswith(b"HTTP/1.1 200"), context.received


@given("a guard whose upstream announced itself cold before the configuration came")
def step_cold_guard(context):
    context.loop = asyncio.new_event_loop()
    context.add_cleanup(context.loop.close)
    context.cold = run(context, orders_at_a_cold_guard())


async def orders_at_a_cold_guard():
    """Returns the first ending and how many of 60 orders were sent at once."""
    services = []
    sent = []

    class Client:
        async def run(self, dispatched):
            sent.append(dispatched)
            return Answered(200, (), b"")

    identity = an_identity("vm-a", "127.0.0.1", Address("127.0.0.1", 1))
    hooks = GuardHooks(
        lambda key: Admission.RUN,
        lambda: False,
        lambda marks: None,
        lambda: services[0] if services else None,
    )
    watch = UpstreamWatch(identity, lambda new, old: guard.take_state(new, old))
    guard = Guard(identity, Client(), watch, hooks, Metrics())
    announced = Announcement(
        "i", 1, identity.service, identity.upstream, "z", 12, False, 3.0, 1
    )
    watch.take(announced)
    early = await guard.serve(an_order())
    services.append(Service("box-office", "/healthz", 80, 3.0, 15.0, True, 5.0))
    guard.follow_service()
    orders = [an_order(request_id=f"r{n}", time_left_s=0.5) for n in range(60)]
    await asyncio.gather(*(guard.serve(order) for order in orders))
    return early, len(sent)


@then("it takes no order until the configuration is there")
def step_no_order(context):
    assert isinstance(context.cold[0], NotServed), context.cold


@then("then it starts at most {most:d} of 60 orders in a second")
def step_cold_starts(context, most):
    assert 0 < context.cold[1] <= most, context.cold
