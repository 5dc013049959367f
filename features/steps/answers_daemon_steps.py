"""Steps for answers that belong to another order, poll or call of the daemon."""

from __future__ import annotations

import asyncio

import msgspec
from behave import given, then, when

from features.builders_cut_answers import cut
from features.builders_daemon import (
    BODY_LIMIT,
    DEADLINE_S,
    OWN_BODY,
    RepeatingServer,
    ScriptedServer,
    a_guard,
    a_refusal,
    an_answer,
    an_order,
)
from features.builders_proxy import (
    running_server,
)
from features.builders_stutter import PAUSE
from rosemarydeal.cli.nodes import NodeReader
from rosemarydeal.core import (
    NotRun,
    SliceId,
    SliceStatus,
    Unknown,
)
from rosemarydeal.daemon import upstream
from rosemarydeal.daemon.guard import NoAnswer
from rosemarydeal.objects import (
    PlatformClient,
    PlatformConflict,
    PlatformSettings,
    PlatformUnavailable,
)
from rosemarydeal.policy.guard import UpstreamGone, UpstreamReported, UpstreamStarted
from rosemarydeal.proxy import (
    ProxyError,
    bytes_response,
    read_bytes,
)

POLLED_S = 2.0


FIRST = an_answer("o1", b"the answer to the first")


SECOND = an_answer("o2", OWN_BODY)


LARGE = an_answer("o1", b"x" * 1_500_000)


REPEATED = {
    "its answer": FIRST,
    "its refusal": a_refusal("o1"),
    "its answer that names no order": an_answer("", b"the answer to the first"),
    "its refusal that names no order": a_refusal(""),
}


def serve_orders(context, *request_ids):
    """Has a guard serve orders one after the other; keeps the replies."""

    async def go():
        replies = []
        async with context.server.guard() as guard:
            for request_id in request_ids:
                reply = await guard.serve(*an_order(request_id))
                if not isinstance(reply, NoAnswer):
                    body = await read_bytes(reply.body, BODY_LIMIT)
                    reply = (reply.status, body)
                replies.append(reply)
            context.free_connections = guard.state.admission.idle
            context.crash_suspects = len(guard.state.suspects.records)
        return replies

    context.replies = asyncio.run(go())


def is_unknown(reply):
    return isinstance(reply, NoAnswer) and isinstance(reply.outcome, Unknown)


@given(
    "an upstream of the daemon that repeats {answer} before it answers the next order"
)
def step_repeats(context, answer):
    copy = REPEATED[answer]
    context.server = ScriptedServer([[copy], [copy, PAUSE, SECOND]], [[SECOND]])


@given("an upstream of the daemon that breaks its answer off and then writes a refusal")
def step_filled(context):
    refusal = a_refusal("").replace(b"Length: 0", b"Length: 4") + b"Full"
    start = an_answer("o1", OWN_BODY[:1] + refusal)[: -len(refusal)]
    context.server = ScriptedServer([[start, PAUSE, refusal]])


@given("an upstream of the daemon that repeats a refusal while the order runs")
def step_repeats_refusal(context):
    refusal, answer = a_refusal("o1"), an_answer("o1", OWN_BODY)
    context.server = ScriptedServer([[refusal], [refusal, PAUSE, answer]], [[answer]])


@given("an upstream of the daemon that names each order in its answer")
def step_names_orders(context):
    context.server = ScriptedServer([[FIRST], [SECOND]])


@given("an upstream of the daemon that names no order in its answers")
def step_names_none(context):
    answers = [an_answer("", body) for body in (b"the first", OWN_BODY)]
    context.server = ScriptedServer(*([[answer]] for answer in answers))


@when("the guard serves two orders one after the other")
def step_two_orders(context):
    serve_orders(context, "o1", "o2")


@when("the guard serves the order twice, one after the other")
def step_order_twice(context):
    serve_orders(context, "o1", "o1")


@then("the second ends with its own answer or as unknown")
def step_own_or_unknown(context):
    reply = context.replies[1]
    assert reply == (200, OWN_BODY) or is_unknown(reply), reply


@then("the second attempt ends with the order's own answer")
def step_own_answer(context):
    assert context.replies[1] == (200, OWN_BODY), context.replies


@then("both end with their own answers over one connection")
def step_one_connection(context):
    assert context.replies[1] == (200, OWN_BODY), context.replies
    assert [number for number, _ in context.server.requests] == [0, 0]
    assert context.free_connections == 1


@then("both end with their own answers over two connections")
def step_two_connections(context):
    assert context.replies == [(200, b"the first"), (200, OWN_BODY)], context.replies
    assert [number for number, _ in context.server.requests] == [0, 1]


@then("the guard counts no free connection")
def step_no_free_connection(context):
    assert context.free_connections == 0


def an_object(version, change_id, value=b""):
    """Returns the bytes of a store's answer with an object or its new version."""
    headers = (b'ETag: "%d"' % version, b"Change-Id: " + change_id)
    return an_answer("", value, headers=headers)


CONFLICT = an_answer("", b"", b"412 Precondition Failed")


CALL_ANSWERS = {"write": an_object(3, b"w1"), "read": an_object(3, b"w0", b"value")}


NAMED = {"no call": b"", "the call": b"call-id"}


def with_store_client(context, calls):
    """Makes calls with a client of the scenario's store; returns their result."""

    async def go():
        async with context.server.listen() as address:
            client = PlatformClient(PlatformSettings(address))
            try:
                return await calls(client)
            finally:
                await client.close()

    return asyncio.run(go())


@given("a store that repeats its answer to a {call}, and names {named} in its answers")
def step_store_repeats(context, call, named):
    # The write that conflicts is read back.
    answers = [CALL_ANSWERS[call], CONFLICT, an_object(9, b"other", b"other")]
    context.server = RepeatingServer(answers, NAMED[named])


OBJECTS = [an_object(3, b"w0", b"value"), an_object(9, b"other", b"other")]


@given("a store that repeats its answer before it answers the next read")
def step_store_repeats_read(context):
    context.server = RepeatingServer(OBJECTS)


@given("a store that names the call in its answers")
def step_store_names(context):
    context.server = RepeatingServer(OBJECTS, b"call-id", repeats=False)


@when("the {call} is answered and an object is written that another writer has changed")
def step_call_and_write(context, call):
    async def calls(client):
        if call == "write":
            await client.put("a", b"value", 2, "w1")
        else:
            await client.get("a")
        try:
            return await client.put("b", b"value", 2, "w2")
        except (PlatformConflict, PlatformUnavailable) as error:
            return error.code

    context.result = with_store_client(context, calls)


@then("the write is a conflict")
def step_conflict(context):
    assert context.result == "platform_conflict", context.result


@when("two objects are read one after the other")
def step_two_reads(context):
    async def calls(client):
        return [await client.get("a"), await client.get("b")]

    context.result = with_store_client(context, calls)


@then("each read returns its own object")
def step_own_objects(context):
    assert [found.value for found in context.result] == [b"value", b"other"]


@then("both calls went over one connection")
def step_shared_connection(context):
    assert context.server.connections == 1


@given("a busy upstream of the daemon that repeats its answer about its health")
def step_busy(context):
    load = b'{"running": 6, "slots": 8}'
    context.server = RepeatingServer([an_answer(""), an_answer("", load)])


@when("its health and load are polled")
def step_polled(context):
    async def go():
        reported = asyncio.get_running_loop().create_future()

        def on_event(event):
            if isinstance(event, UpstreamReported):
                reported.set_result(event)

        async with context.server.listen() as address:
            task = upstream.UpstreamTask(address, on_event, lambda: None)
            task.announce(upstream.Announcement("life"))
            polls = asyncio.create_task(task.run())
            context.report = await asyncio.wait_for(reported, POLLED_S)
            polls.cancel()
            await asyncio.gather(polls, return_exceptions=True)

    asyncio.run(go())


@then("its load is reported")
def step_load_reported(context):
    assert context.report.healthy and context.report.load == 0.75, context.report


@given("an upstream of the daemon that returns what it is sent")
def step_echo(context):
    context.server = None


@when("an order with the id of one that has just been rejected reaches the guard")
def step_reused_id(context):
    async def echo_slowly(received):
        body = await read_bytes(received.body, BODY_LIMIT)
        await asyncio.sleep(PAUSE)
        return bytes_response(200, body)

    async def go():
        async with running_server(echo_slowly) as server:
            guard = a_guard(server.address, slots=1)
            running = asyncio.create_task(guard.serve(*an_order("o1", b"running")))
            queued = asyncio.create_task(guard.serve(*an_order("o2", b"rejected")))
            await asyncio.sleep(0)
            # The queued order is rejected, but its task has not run since.
            guard.post(UpstreamGone())
            guard.post(UpstreamStarted(False))
            reply = await guard.serve(*an_order("o2", b"the second order"))
            context.rejected = await queued
            context.body = await read_bytes(reply.body, BODY_LIMIT)
            await running
            await guard.close()

    asyncio.run(go())


@then("it ends with the answer to its own content")
def step_own_content(context):
    assert isinstance(context.rejected.outcome, NotRun), context.rejected
    assert context.body == b"the second order", context.body


@given("an upstream of the daemon that answers an order and then at length")
def step_at_length(context):
    context.server = ScriptedServer([[an_answer("o1", OWN_BODY)]], [[PAUSE, LARGE]])


@when("two callers send a lookup with the id of an order that was answered")
def step_lookup_with_id(context):
    async def body_of(reply):
        reply = await reply
        if isinstance(reply, NoAnswer):
            return reply.outcome.code.encode()
        return await read_bytes(reply.body, 2 * len(LARGE))

    async def go():
        async with context.server.guard() as guard:
            await guard.serve(*an_order("o1"))
            lookups = [guard.serve(*an_order("o1", b"q", True)) for _ in range(2)]
            return await asyncio.gather(*map(body_of, lookups))

    context.replies = asyncio.run(go())


@then("neither receives the answer to the order")
def step_not_the_order(context):
    assert OWN_BODY not in context.replies, [reply[:40] for reply in context.replies]
    assert LARGE.partition(b"\r\n\r\n")[2] in context.replies


@given("an upstream of the daemon that stops midway in a large answer")
def step_stops_midway(context):
    context.server = ScriptedServer([[LARGE[:-1000], DEADLINE_S]])


@when("a lookup's deadline passes while its answer is passed on")
def step_deadline_midway(context):
    async def go():
        async with context.server.guard() as guard:
            ticks = asyncio.create_task(guard.run())
            order = an_order("o1", idempotent=True, deadline_s=4 * PAUSE)
            reply = await guard.serve(*order)
            try:
                async with asyncio.timeout(DEADLINE_S / 2):
                    await read_bytes(reply.body, 2 * len(LARGE))
            except (ProxyError, TimeoutError) as error:
                context.error = error
            ticks.cancel()
            await asyncio.gather(ticks, return_exceptions=True)

    context.error = None
    asyncio.run(go())


@then("its answer breaks off")
def step_breaks_off(context):
    assert isinstance(context.error, ProxyError), repr(context.error)


@given("an upstream of the daemon that stops its answer {where} and closes")
def step_cut(context, where):
    context.server = ScriptedServer([[cut(FIRST, where)]])


@when("the guard serves an order")
def step_one_order(context):
    serve_orders(context, "o1")


@then("it ends as unknown")
def step_ends_unknown(context):
    assert is_unknown(context.replies[0]), context.replies


@given("a process of the daemon that repeats its answer about a key")
def step_status_repeats(context):
    context.located = [SliceStatus(SliceId("box-office", index)) for index in (1, 2)]
    bodies = map(msgspec.json.encode, context.located)
    context.server = RepeatingServer([an_answer("", body) for body in bodies])


@when("the operators' command line asks about two keys")
def step_two_keys(context):
    async def go():
        async with context.server.listen() as address:
            reader = NodeReader("")
            try:
                return [await reader.locate(address, "box-office", key) for key in "ab"]
            finally:
                await reader.close()

    context.result = asyncio.run(go())


@then("it shows the status of each key")
def step_each_key(context):
    assert context.result == context.located, context.result


FAULTS = {
    "has two lengths": an_answer("o1", OWN_BODY, headers=(b"Content-Length: 1",)),
    "is no HTTP": b"\x00\x01\x02 no answer\r\n\r\n",
    "repeats itself to its end": b"HTTP/1.1 200 OK\r\n\r\nbody HTTP/1.1",
    "breaks off in its body": FIRST[:-1],
    "breaks off in its head": FIRST[:20],
}


@given("an upstream of the daemon whose answer {fault}")
def step_faulty(context, fault):
    pauses = (PAUSE,) if fault in ("has two lengths", "is no HTTP") else ()
    context.server = ScriptedServer([[FAULTS[fault], *pauses]])


@then("it ends as unknown, {code}, with {number:d} crash suspects")
def step_crash_suspects(context, code, number):
    assert is_unknown(context.replies[0]), context.replies
    assert context.replies[0].outcome.code == code, context.replies
    assert context.crash_suspects == number, context.crash_suspects
