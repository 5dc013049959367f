import asyncio
import itertools

from behave import then
from hypothesis import given, settings
from hypothesis import strategies as st

from features.builders_caller import DROP_CONNECTION, caller_of, fleet, table_of
from features.builders_proxy import raw_upstream
from rosemarydeal.caller import Call
from rosemarydeal.core import TOKEN_RANKS, Answer, NotRun, Unknown
from rosemarydeal.core import headers as names
from rosemarydeal.core.codes import CODES, find_code

BOOKING = Call("POST", "/shows/7/seats", b"row 4")
OK = Answer(200, (), b"seat 4")
SHORT_DEADLINE_S = 0.05


def always(outcome):
    return lambda request: outcome


@then("the caller sends requests directly to the owner of their key")
def step_direct_to_owner(context):
    async def check():
        async with (
            fleet(always(OK)) as (entries, addresses),
            caller_of(addresses[:1]) as caller,
        ):
            entries[0].table = table_of(addresses, first=2)
            for _ in range(4):
                reply = await caller.send(BOOKING)
                assert reply.outcome.body == OK.body, reply
                assert reply.ticket == TOKEN_RANKS
            assert [len(entry.requests) for entry in entries] == [0, 0, 4]
            assert entries[0].routes_requests == 1

    asyncio.run(check())


@then("the caller caches the owner that answered a forwarded request")
def step_caches_owner(context):
    async def check():
        async with (
            fleet(always(OK)) as (entries, addresses),
            caller_of(addresses[:1], routes_pause_s=99.0) as caller,
        ):
            entries[0].table = table_of(addresses, first=1)
            entries[1].owner = addresses[2]
            for _ in range(3):
                await caller.send(BOOKING)
            assert [len(entry.requests) for entry in entries] == [0, 1, 2]

    asyncio.run(check())


@then("the caller replaces its table with a newer one and never with an older one")
def step_newer_table(context):
    async def check():
        async with (
            fleet(always(OK)) as (entries, addresses),
            caller_of(addresses[:1]) as caller,
        ):
            for version, first, expected in ((3, 1, 3), (5, 2, 5), (4, 0, 5)):
                for entry in entries:
                    entry.table = table_of(addresses, first, version)
                await caller.refresh_routes()
                assert caller.routes_version == expected
            await caller.send(BOOKING)
            assert [len(entry.requests) for entry in entries] == [0, 0, 1]

    asyncio.run(check())


@then("the caller uses its seeds without a table")
def step_seeds(context):
    async def check():
        async with fleet(always(OK)) as (entries, addresses):
            async with raw_upstream(always(None)) as closed:
                pass
            async with caller_of([closed, *addresses]) as caller:
                reply = await caller.send(BOOKING)
                assert (reply.outcome.body, reply.ticket) == (OK.body, None)
                assert sum(len(entry.requests) for entry in entries) == 1

    asyncio.run(check())


def outcomes():
    codes = [code for code in CODES if not code.under_load]
    rejections = [
        NotRun(code.name, code.meaning)
        if code.outcome == "not-run"
        else Unknown(code.name, code.meaning)
        for code in codes
    ]
    later = NotRun("from-later", find_code("from-later", "not-run").meaning)
    return st.sampled_from([OK, DROP_CONNECTION, later, *rejections])


def expected_sends(script, max_sends):
    for number, outcome in enumerate(script, 1):
        retried = isinstance(outcome, NotRun) and (
            find_code(outcome.code, "not-run").worth_retrying
        )
        if not retried or number == max_sends:
            return number
    raise AssertionError("the script is too short")


@then("the caller retries only requests that did not run")
def step_retries(context):
    async def one(script):
        responses = iter(script)
        async with (
            fleet(lambda request: next(responses)) as (entries, addresses),
            caller_of(addresses, attempts=4) as caller,
        ):
            for entry in entries:
                entry.table = table_of(addresses, first=0)
            reply = await caller.send(BOOKING)
        sends = sum(len(entry.requests) for entry in entries)
        assert sends == reply.attempts == expected_sends(script, 4), (script, reply)
        match script[sends - 1]:
            case Answer():
                assert reply.outcome.body == OK.body, reply
            case str():
                assert isinstance(reply.outcome, Unknown), reply
            case last:
                assert reply.outcome == last, (reply, last)

    @settings(derandomize=True, max_examples=60, deadline=None)
    @given(st.lists(outcomes(), min_size=4, max_size=4))
    def check(script):
        asyncio.run(one(script))

    check()


BROKEN = (
    b"",
    b"HTTP/1.1 200 OK\r\nRosemarydeal-Outcome: answer\r\nContent-Length: 9\r\n\r\nab",
    b"HTTP/1.1 200 OK\r\nRosemarydeal-Outcome: not-run\r\n bad\r\n\r\n",
)


@then("the caller reports a broken connection as an unknown outcome")
def step_broken(context):
    async def one(raw):
        posts = []

        async def serve_one(reader, writer):
            head = await reader.readuntil(b"\r\n\r\n")
            if head.startswith(b"POST"):
                posts.append(head)
                writer.write(raw)
                await writer.drain()

        async with (
            raw_upstream(serve_one) as address,
            caller_of([address]) as caller,
        ):
            reply = await caller.send(BOOKING)
        assert isinstance(reply.outcome, Unknown), (raw, reply)
        assert len(posts) == 1

    for raw in BROKEN:
        asyncio.run(one(raw))


@then("the caller treats a response without an outcome as an unknown outcome")
def step_missing(context):
    async def serve_one(reader, writer):
        while True:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(b"HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n")

    async def check():
        async with (
            raw_upstream(serve_one) as address,
            caller_of([address]) as caller,
        ):
            reply = await caller.send(Call("POST", "/shows/7/seats"))
        assert reply.outcome.code == "outcome-missing", reply
        assert isinstance(reply.outcome, Unknown)

    asyncio.run(check())


@then("the caller returns the last outcome by the deadline")
def step_deadline(context):
    async def never_answer(reader, writer):
        await reader.read()

    async def check():
        expired = Call("POST", "/shows/7/seats", deadline_s=0.0)
        short = Call("POST", "/shows/7/seats", deadline_s=SHORT_DEADLINE_S)
        async with (
            raw_upstream(never_answer) as address,
            caller_of([address], routes_time_s=0.001) as caller,
        ):
            reply = await caller.send(expired)
            assert reply.outcome.code == "deadline-passed"
            assert isinstance(reply.outcome, NotRun) and not reply.attempts
            reply = await caller.send(short)
            assert isinstance(reply.outcome, Unknown), reply
            assert reply.outcome.code == "upstream-timeout"
        async with (
            fleet(always(NotRun("no-owner", retry_after=60.0))) as (entries, seeds),
            caller_of(seeds) as caller,
        ):
            reply = await caller.send(Call("GET", "/shows/7/seats", deadline_s=2.0))
            assert reply.outcome.code == "no-owner" and reply.attempts == 1

    asyncio.run(check())


@then("all attempts of a call carry one id and a decreasing deadline")
def step_same_id(context):
    async def check():
        script = itertools.chain([NotRun("no-owner")] * 3, itertools.repeat(OK))
        async with (
            fleet(lambda request: next(script), count=1) as ((entry,), addresses),
            caller_of(addresses, tenant="touring") as caller,
        ):
            reply = await caller.send(BOOKING)
            assert reply.attempts == 4
            assert (
                entry.header(names.IDEMPOTENCY_KEY) == [reply.request_id.encode()] * 4
            )
            remaining = [int(value) for value in entry.header(names.DEADLINE_MS)]
            assert (
                remaining == sorted(remaining, reverse=True)
                and 0 < remaining[-1] <= 5000
            )
            assert entry.header(names.ATTEMPT) == [names.ATTEMPT_FIRST] * 4
            assert entry.header(names.TENANT) == [b"touring"] * 4
            other = await caller.send(BOOKING)
            assert other.request_id != reply.request_id

    asyncio.run(check())


@then("the caller drops a stale ticket")
def step_stale(context):
    async def check():
        script = iter([NotRun("stale-ticket"), OK])
        async with (
            fleet(lambda request: next(script)) as (entries, addresses),
            caller_of(addresses[:1]) as caller,
        ):
            entries[0].table = table_of(addresses, first=1, version=7)
            reply = await caller.send(BOOKING)
            assert isinstance(reply.outcome, Answer) and reply.ticket is None
            first_ticket = b"%d" % (7 * TOKEN_RANKS)
            assert entries[1].header(names.TICKET) == [first_ticket, None]

    asyncio.run(check())


@then("a call that is sent again carries its earlier id and ticket")
def step_resend(context):
    async def check():
        async with (
            fleet(always(Unknown("owner-changed"))) as (entries, addresses),
            caller_of(addresses[:1]) as caller,
        ):
            entries[0].table = table_of(addresses, first=1, version=7)
            resent = Call("POST", "/shows/7/seats", request_id="order-1", ticket=1024)
            reply = await caller.send(resent)
            assert (reply.request_id, reply.ticket) == ("order-1", 1024)
            assert entries[1].header(names.IDEMPOTENCY_KEY) == [b"order-1"]
            assert entries[1].header(names.TICKET) == [b"1024"]
            assert entries[1].header(names.ATTEMPT) == [names.ATTEMPT_RESENT]

    asyncio.run(check())


@then("the caller returns the ticket received with an unknown outcome")
def step_ticket_back(context):
    async def check():
        async with (
            fleet(always(Unknown("owner-changed")), count=1) as ((entry,), addresses),
            caller_of(addresses) as caller,
        ):
            for sent, kept in ((2048, 2048), (10**30, None)):
                entry.ticket = sent
                reply = await caller.send(BOOKING)
                assert isinstance(reply.outcome, Unknown)
                assert reply.ticket == kept, reply

    asyncio.run(check())


@then("the caller limits retries under overload to a share of its requests")
def step_budget(context):
    async def check():
        async with (
            fleet(always(NotRun("overloaded")), count=1) as ((entry,), addresses),
            caller_of(addresses, retry_share=0.1, retry_burst=5.0) as caller,
        ):
            for _ in range(200):
                reply = await caller.send(BOOKING)
                assert reply.outcome.code == "overloaded"
            assert 200 < len(entry.requests) <= 200 + 5 + 20 + 1, len(entry.requests)

    asyncio.run(check())
