import asyncio
import contextlib
import sys
import uuid
from pathlib import Path

from behave import given, then, when

from features.builders_fleet import free_network
from features.builders_proxy import pool, request
from rosemarydeal.core import Address, headers
from rosemarydeal.daemon import log
from rosemarydeal.demo.fleet import DeploymentFleet, FleetPlan
from rosemarydeal.proxy import ConnectFailed, find_header, read_bytes

SERVICE = "box-office"
TIMEOUT_S = 20.0
POLL_S = 0.05


async def until(check):
    async with asyncio.timeout(TIMEOUT_S):
        while True:
            if check():
                return
            await asyncio.sleep(POLL_S)


async def send(fleet, vm, method, path, body=b""):
    port = fleet.settings.services[SERVICE].port
    address = Address(vm.settings.entry_host, port)
    fields = (
        (b"host", b"test"),
        (b"content-length", b"%d" % len(body)),
        (headers.IDEMPOTENCY_KEY, uuid.uuid4().hex.encode("ascii")),
        (headers.ATTEMPT, headers.ATTEMPT_FIRST),
    )
    async with pool() as (connections, _):
        to_send = request(method, path, body, fields)
        response = await connections.send(address, to_send, TIMEOUT_S)
        async with response:
            await read_bytes(response.body, 1 << 20)
    return find_header(response.headers, headers.OUTCOME)


def all_slices_served(fleet):
    statuses = [s.process.status() for s in fleet.running(SERVICE)]
    return sum(s.owned for s in statuses) == fleet.settings.services[SERVICE].slices


@given("a joining fleet of four VMs")
def step_fleet(context):
    log.configure("critical", sys.stderr)

    async def start():
        plan = FleetPlan(Path("examples/fremantle.json"), free_network(), {SERVICE: 4})
        fleet = DeploymentFleet(plan)
        await fleet.start()
        await until(lambda: all_slices_served(fleet))
        return fleet

    context.joining_loop = asyncio.Runner()
    context.add_cleanup(context.joining_loop.close)
    context.joining = context.joining_loop.run(start())
    context.add_cleanup(lambda: context.joining_loop.run(context.joining.stop()))


@when("the platform of the joining fleet fails and a lost VM restarts")
def step_outage(context):
    async def run(fleet):
        await fleet.platform.stop()
        vm = fleet.vms[0]
        await vm.kill()
        await vm.start()
        return vm

    context.vm = context.joining_loop.run(run(context.joining))


@then("the restarted VM receives the configuration in force from its seeds")
def step_config(context):
    process = context.vm.process
    wait = until(lambda: process.status().config_version == 1)
    context.joining_loop.run(wait)
    assert not process.status().platform_reachable


@then("the restarted VM answers lookups of callers")
def step_lookups(context):
    async def answers():
        async with asyncio.timeout(TIMEOUT_S):
            while True:
                lookup = (b"GET", b"/shows/7/seats")
                # The service's port opens shortly after the configuration arrives.
                with contextlib.suppress(ConnectFailed):
                    outcome = await send(context.joining, context.vm, *lookup)
                    if outcome == headers.OUTCOME_ANSWER:
                        return
                await asyncio.sleep(POLL_S)

    context.joining_loop.run(answers())


@then("the restarted VM owns no slice until the platform is back")
def step_owns_nothing(context):
    process = context.vm.process
    assert process.status().owned == 0

    async def back():
        await context.joining.platform.start()
        await until(lambda: process.status().lease_valid)
        await until(lambda: all_slices_served(context.joining))

    context.joining_loop.run(back())


@when("a poisoned request crashes an upstream of the joining fleet")
def step_poison(context):
    fleet = context.joining
    poisoned = (b"POST", b"/shows/7/orders", b"poison")
    run = send(fleet, fleet.vms[0], *poisoned)
    outcome = context.joining_loop.run(run)
    assert outcome == headers.OUTCOME_UNKNOWN, outcome
    assert fleet.counts.crashes == 1


@then("the other guards of the joining fleet hold it as a crash suspect")
def step_suspects(context):
    def all_know_suspect():
        statuses = [s.process.status() for s in context.joining.running(SERVICE)]
        return all(len(status.suspects) == 1 for status in statuses)

    context.joining_loop.run(until(all_know_suspect))
