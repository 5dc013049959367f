import asyncio
import sys
from pathlib import Path

from behave import given, then

from features.builders_caller import caller_of
from features.builders_fleet import free_network
from features.builders_proxy import pool, request
from rosemarydeal.caller import Call
from rosemarydeal.core import Address, Answer, NotRun
from rosemarydeal.core import headers as names
from rosemarydeal.core.routes import ROUTES_PATH, decode_routes
from rosemarydeal.daemon import log
from rosemarydeal.demo.fleet import DeploymentFleet, FleetPlan
from rosemarydeal.proxy import find_header, read_bytes

SERVICE = "box-office"
REQUEST_TIMEOUT_S = 5.0
START_TIMEOUT_S = 20.0
KEYS = 12
# Slices may still move between the upstreams just after the start.
ROUNDS_UNTIL_STEADY = 20
ROUND_S = 0.3


async def start_fleet():
    plan = FleetPlan(Path("examples/fremantle.json"), free_network(), {SERVICE: 3})
    fleet = DeploymentFleet(plan)
    await fleet.start()
    port = fleet.settings.services[SERVICE].port
    entries = [Address(vm.settings.entry_host, port) for vm in fleet.vms]
    async with asyncio.timeout(START_TIMEOUT_S), caller_of(entries) as caller:
        for number in range(KEYS):
            while True:
                reply = await caller.send(Call("GET", f"/shows/{number}/seats"))
                if isinstance(reply.outcome, Answer):
                    break
    return fleet, entries


@given("a small running fleet for callers")
def step_fleet(context):
    log.configure("error", sys.stderr)
    context.caller_loop = asyncio.Runner()
    context.add_cleanup(context.caller_loop.close)
    context.fleet, context.entries = context.caller_loop.run(start_fleet())
    context.add_cleanup(lambda: context.caller_loop.run(context.fleet.stop()))


@then("callers of the fleet reach the owner of each key in one hop")
def step_one_hop(context):
    async def find_forwarded(caller):
        forwarded = []
        for number in range(KEYS):
            reply = await caller.send(Call("GET", f"/shows/{number}/seats"))
            assert isinstance(reply.outcome, Answer), reply
            owner = find_header(reply.outcome.headers, names.OWNER)
            if owner is not None or reply.attempts != 1 or not reply.ticket:
                forwarded.append((number, owner, reply))
        return forwarded

    async def check():
        for _ in range(ROUNDS_UNTIL_STEADY):
            async with caller_of(context.entries[:1]) as caller:
                await caller.refresh_routes()
                assert caller.routes_version > 0
                forwarded = await find_forwarded(caller)
            if not forwarded:
                return
            await asyncio.sleep(ROUND_S)
        raise AssertionError(forwarded)

    context.caller_loop.run(check())


async def fetch_routes(connections, entry, query):
    target = f"{ROUTES_PATH}{query}".encode()
    response = await connections.send(entry, request(target=target), REQUEST_TIMEOUT_S)
    return response.status, await read_bytes(response.body, 1 << 22)


@then("the fleet sends no table to a caller that has the latest one")
def step_no_change(context):
    async def check():
        entry = context.entries[0]
        async with pool() as (connections, _):
            status, body = await fetch_routes(connections, entry, "?after=0")
            first = decode_routes(body)
            assert status == 200 and first.table.service == SERVICE
            query = f"?service={SERVICE}&after={first.version}"
            status, body = await fetch_routes(connections, entry, query)
            repeated = decode_routes(body)
            changed = repeated.version != first.version
            assert (repeated.table is not None) == changed, repeated
            status, _ = await fetch_routes(connections, entry, "?service=other")
            assert status == 404

    context.caller_loop.run(check())


@then("the fleet names the owner that answered a forwarded request")
def step_owner(context):
    async def check():
        owner_headers = set()
        async with pool() as (connections, _):
            for entry in context.entries:
                sent = request(target=b"/shows/7/seats")
                response = await connections.send(entry, sent, REQUEST_TIMEOUT_S)
                await read_bytes(response.body, 1 << 16)
                owner_headers.add(find_header(response.headers, names.OWNER))
        owners = owner_headers - {None}
        assert None in owner_headers and len(owners) == 1, owner_headers
        assert owners.pop().decode() in [str(entry) for entry in context.entries]

    context.caller_loop.run(check())


@then("a request that is sent to the fleet again runs once")
def step_once(context):
    async def check():
        async with caller_of(context.entries) as caller:
            first = await caller.send(Call("POST", "/shows/3/bookings", b"row 4"))
            assert isinstance(first.outcome, Answer), first
            repeated = Call(
                "POST",
                "/shows/3/bookings",
                b"row 4",
                request_id=first.request_id,
                ticket=first.ticket,
            )
            second = await caller.send(repeated)
            assert second.outcome.body == first.outcome.body, second
        ran = context.fleet.counts.runs[first.request_id]
        assert ran == 1, ran

    context.caller_loop.run(check())


@then("the fleet rejects a request without a key as not run")
def step_no_key(context):
    async def check():
        async with caller_of(context.entries) as caller:
            reply = await caller.send(Call("GET", "/shows"))
            assert isinstance(reply.outcome, NotRun), reply
            assert (reply.outcome.code, reply.attempts) == ("key-missing", 1)

    context.caller_loop.run(check())


@then("the fleet names the request in each kind of response")
def step_names_request(context):
    targets = [b"/shows/1/seats", b"/", f"{ROUTES_PATH}?service={SERVICE}".encode()]
    identity = ((names.IDEMPOTENCY_KEY, b"named"),)

    async def check():
        async with pool() as (connections, _):
            for target in targets:
                sent = request(target=target, headers=identity)
                response = await connections.send(
                    context.entries[0], sent, REQUEST_TIMEOUT_S
                )
                await read_bytes(response.body, 1 << 22)
                named = find_header(response.headers, names.IDEMPOTENCY_KEY)
                assert named == b"named", (target, response)

    context.caller_loop.run(check())
