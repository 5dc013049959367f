"""Steps for answers of other servers than the platform's upstream."""

from __future__ import annotations

import asyncio
from dataclasses import replace
from types import SimpleNamespace
from unittest.mock import MagicMock

import msgspec
from behave import given, then, when

from features.builders_caller import caller_of
from features.builders_cut_answers import cut, cut_first_answers
from features.builders_daemon import (
    DEADLINE_S,
    RepeatingServer,
    ScriptedServer,
    a_guard,
    a_refusal,
    an_answer,
    an_order,
)
from features.builders_fleet_types import a_routed_request
from features.builders_node import run, start_deployment
from features.builders_proxy import (
    exchange_raw,
    pool,
    raw_upstream,
    request,
    running_server,
)
from features.builders_stutter import PAUSE, ScriptedUpstream
from features.builders_stutter import an_answer as a_platform_answer
from rosemarydeal.caller import Call
from rosemarydeal.cli.nodes import NodeReader
from rosemarydeal.core import (
    Address,
    Answer,
    NotRun,
    SliceId,
    SliceStatus,
    Unknown,
)
from rosemarydeal.core.requests import Failed, NotServed, OutcomeUnknown
from rosemarydeal.daemon import upstream
from rosemarydeal.daemon.guard import NoAnswer
from rosemarydeal.node.frames import FrameConnection
from rosemarydeal.node.links import Links
from rosemarydeal.node.messages import (
    AnswerReply,
    Hello,
    RunRequest,
    StoreRelayReply,
    StoreRelayRequest,
)
from rosemarydeal.node.records import RANGES
from rosemarydeal.objects import (
    PlatformClient,
    PlatformConflict,
    PlatformSettings,
    PlatformUnavailable,
)
from rosemarydeal.platform import callers
from rosemarydeal.policy.guard import UpstreamGone, UpstreamReported, UpstreamStarted
from rosemarydeal.proxy import (
    BytesBody,
    ConnectionSettings,
    ProxyError,
    Response,
    ResponseBroken,
    bytes_response,
    find_header,
    read_bytes,
)

BODY_LIMIT = 1 << 16
POLLED_S = 2.0
OWN_BODY = b"the answer to the second"
FIRST = an_answer("o1", b"the answer to the first")
SECOND = an_answer("o2", OWN_BODY)
# Longer than the answers that the guard stores.
FIRST_NAMED = a_platform_answer("r1", OWN_BODY)
SECOND_NAMED = a_platform_answer("r2", OWN_BODY)
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


class FailingBody:
    """Yields one piece and then fails, as a body does that breaks off."""

    def __init__(self):
        self._pieces = [OWN_BODY]

    def __aiter__(self):
        return self

    async def __anext__(self):
        if not self._pieces:
            raise ResponseBroken("the upstream closed the connection")
        return self._pieces.pop()


LENGTH = (b"content-length", b"%d" % (2 * len(OWN_BODY)))
FAILING_HEADERS = {
    "an answer without a length": (),
    "an answer with a length": (LENGTH,),
}


@given("a server whose handler fails midway in {answer}")
def step_fails_midway(context, answer):
    async def handle(_):
        return Response(200, FAILING_HEADERS[answer], FailingBody())

    context.handler = handle


@when("a caller that speaks {version} reads the answer")
def step_reads(context, version):
    async def go():
        async with running_server(context.handler) as server:
            address = server.address
            reader, writer = await asyncio.open_connection(address.host, address.port)
            writer.write(b"GET / %s\r\nHost: a\r\n\r\n" % version.encode())
            try:
                return await reader.read()
            except ConnectionResetError:
                return None
            finally:
                writer.close()

    context.received = asyncio.run(go())


@then("the caller sees that it is not whole")
def step_not_whole(context):
    if context.received is None:
        return
    head, _, body = context.received.partition(b"\r\n\r\n")
    if b"content-length" in head.lower():
        assert len(body) < int(LENGTH[1])
    else:
        assert b"chunked" in head.lower(), context.received
        assert not body.endswith(b"0\r\n\r\n"), context.received


async def streamed(*pieces):
    for piece in pieces:
        yield piece


ANSWERS = {
    "a body": lambda: bytes_response(200, OWN_BODY),
    "a streamed body": lambda: Response(200, (), streamed(OWN_BODY)),
    "204 with a length": lambda: Response(204, (LENGTH,), BytesBody(b"")),
    "304 with a length": lambda: Response(304, (LENGTH,), BytesBody(b"")),
}


@given("a server whose handler gives {answer}")
def step_gives(context, answer):
    async def handle(received):
        if received.target == b"/other":
            return bytes_response(200, b"the other answer")
        return ANSWERS[answer]()

    context.handler = handle


@when("a caller sends {method} and another request on the same connection")
def step_two_on_one(context, method):
    first = b"%s / HTTP/1.1\r\nHost: a\r\n\r\n" % method.encode()
    other = b"GET /other HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"

    async def go():
        async with running_server(context.handler) as server:
            return await exchange_raw(server.address, first, other)

    context.received = asyncio.run(go())


@then("the caller reads a head {kind}, and then the answer to the other request")
def step_head_and_other(context, kind):
    head, _, rest = context.received.partition(b"\r\n\r\n")
    has_length = b"content-length" in head.lower()
    match kind:
        case "with its length":
            assert has_length, context.received
        case "without a length":
            assert not has_length, context.received
    assert rest.startswith(b"HTTP/1.1 200"), context.received
    assert rest.endswith(b"the other answer"), context.received


@given("a server that limits the bodies of requests")
def step_limited(context):
    context.limits = {"body_bytes": 10}


@when("a caller sends HEAD with a longer body")
def step_head_with_body(context):
    sent = b"HEAD / HTTP/1.1\r\nHost: a\r\nContent-Length: 20\r\n\r\n" + b"x" * 20

    async def go():
        async with running_server(**context.limits) as server:
            return await exchange_raw(server.address, sent)

    context.received = asyncio.run(go())


@then("the caller reads a rejection without a body")
def step_rejection(context):
    head, _, body = context.received.partition(b"\r\n\r\n")
    assert head.startswith(b"HTTP/1.1 413"), context.received
    assert not body, context.received


@given("an upstream of the daemon that stops its answer {where} and closes")
def step_cut(context, where):
    context.server = ScriptedServer([[cut(FIRST, where)]])


@when("the guard serves an order")
def step_one_order(context):
    serve_orders(context, "o1")


@then("it ends as unknown")
def step_ends_unknown(context):
    assert is_unknown(context.replies[0]), context.replies


@given(
    "a deployment of {count:d} VMs whose upstreams stop each first answer {where}"
    " and close"
)
def step_cut_deployment(context, count, where):
    start_deployment(context, count)
    deployment = context.deployment

    async def replace_servers():
        context.cut = [
            await cut_first_answers(endpoint, deployment.hosts[name], where)
            for name, endpoint in deployment.endpoints.items()
        ]
        await deployment.wait(lambda: all(map(deployment.serves, deployment.sample())))

    run(context, replace_servers())


@when("callers at both VMs send orders and lookups for keys of both")
def step_cut_requests(context):
    async def send_all():
        sent = {
            (path, f"{name}{path}{key}"): context.deployment.send_request(
                name, key, path, request_id=f"{name}{path}{key}"
            )
            for name in context.deployment.nodes
            for path in ("/order/1", "/a/1")
            for key in list(context.deployment.sample())[::5]
        }
        return dict(zip(sent, await asyncio.gather(*sent.values()), strict=True))

    context.answers = run(context, send_all())


@then("each order ends with 502, and each lookup with 502 or its own whole answer")
def step_cut_answers(context):
    assert all(context.cut), "an upstream cut no answer"
    for (path, identity), answer in context.answers.items():
        own = answer.status == 200 and answer.body == b"ran " + identity.encode()
        # A repeat of a lookup is within the retry budget or not made.
        may_be_answered = path.startswith("/a/")
        assert answer.status == 502 or own and may_be_answered, (identity, answer)


PIECE = b"p" * 65_536
PIECES = 64
LONG_BODY = PIECE * PIECES


async def slow_pieces():
    for _ in range(PIECES):
        await asyncio.sleep(PAUSE / 10)
        yield PIECE


def long_request(sent):
    """Builds a request whose body is longer than what the sockets hold."""
    length = (b"content-length", b"%d" % len(LONG_BODY))
    headers = (length, (b"request-id", b"r1"))
    if sent == "held back for a 100":
        headers += ((b"expect", b"100-continue"),)
    built = request(b"POST", b"/long", LONG_BODY, headers)
    return replace(built, body=slow_pieces()) if sent == "in pieces" else built


@given("an upstream that answers before it has read a long body, and reads on later")
def step_early_answer(context):
    context.received = {}

    async def serve_connection(reader, writer):
        received = context.received[len(context.received)] = bytearray()
        answers = [FIRST_NAMED, SECOND_NAMED]
        for answer in answers if len(context.received) == 1 else answers[1:]:
            received += await reader.readuntil(b"\r\n\r\n")
            writer.write(answer)
            await asyncio.sleep(4 * PAUSE)
            if answer is FIRST_NAMED:
                received += await reader.read(len(LONG_BODY))
                while len(received) < len(LONG_BODY) and not reader.at_eof():
                    received += await reader.read(len(LONG_BODY) - len(received))

    context.serve_connection = serve_connection


@when("a request with a body {sent} and another one are sent")
def step_long_and_another(context, sent):
    connection = ConnectionSettings(identifying_header=b"request-id")

    async def go():
        async with (
            raw_upstream(context.serve_connection) as address,
            pool(connection=connection) as (connections, _),
        ):
            other = request(headers=((b"request-id", b"r2"),))
            for sent_request in (long_request(sent), other):
                response = await connections.send(address, sent_request, DEADLINE_S)
                await read_bytes(response.body, BODY_LIMIT)
            await asyncio.sleep(8 * PAUSE)

    asyncio.run(go())


@then("the upstream receives the rest of the body or the end of the connection")
def step_rest_of_body(context):
    first = bytes(context.received[0])
    assert first.count(b"r1") == 1, first[:200]
    after_head = first.partition(b"\r\n\r\n")[2][: len(LONG_BODY)]
    assert not after_head.strip(b"p"), after_head.strip(b"p")[:200]
    assert any(b"r2" in received for received in context.received.values())


@given("a platform's caller whose request id is not ASCII")
def step_odd_id(context):
    context.request_id = b"r-\xe9\xff"


@when("the process rejects its request")
def step_rejects(context):
    headers = ((b"host", b"h.example"), (b"request-id", context.request_id))
    sent = request(headers=headers)
    caller = asyncio.run(callers.decode_request(sent, BODY_LIMIT))
    context.response = callers.respond(caller.request_id, NotServed("no-upstream"))


@then("the response names the id as the caller sent it")
def step_names_id(context):
    named = find_header(context.response.headers, b"request-id")
    assert named == context.request_id, context.response.headers


def an_answer_reply(number, body):
    return AnswerReply(number, 200, (), body, 0)


class ScriptedPeer:
    """Replies to numbered messages as a script says; one function for each link."""

    def __init__(self, *links):
        self._links = iter(links)

    async def start(self):
        loop = asyncio.get_running_loop()
        return await loop.create_server(self._make_connection, "127.0.0.1", 0)

    def _make_connection(self):
        on_message = next(self._links)

        def receive(connection, message):
            if isinstance(message, Hello):
                connection.peer = message.node
            elif isinstance(message, RunRequest | StoreRelayRequest):
                on_message(connection, message)

        ignore = MagicMock()
        return FrameConnection(receive, ignore, ignore, ignore)


async def with_peer(context, calls):
    """Makes calls over links to the scenario's peer; returns their result."""
    server = await context.peer.start()
    address = Address(*server.sockets[0].getsockname()[:2])
    hooks = MagicMock()
    hooks.known_revisions = lambda: ()
    links = Links("a", "a-1", hooks)
    links.set_members({"b": SimpleNamespace(peer=address)})
    try:
        return await calls(links)
    finally:
        await links.close()
        server.close()


async def wait_up(links):
    deadline = asyncio.get_running_loop().time() + DEADLINE_S
    while not links.is_up("b"):
        assert asyncio.get_running_loop().time() < deadline, "the link is not up"
        await asyncio.sleep(PAUSE / 10)


@given("a peer that replies to a request after it was given up")
def step_late_reply(context):
    received = []

    def on_message(connection, message):
        received.append(message.number)
        if len(received) == 2:
            connection.send(an_answer_reply(received[0], b"the first"))
            connection.send(an_answer_reply(received[1], OWN_BODY))

    context.peer = ScriptedPeer(on_message)


@given("a peer that closes the link, and replies on the next one")
def step_next_link(context):
    received = []

    def close_link(connection, message):
        received.append(message.number)
        connection.abort()

    def on_message(connection, message):
        connection.send(an_answer_reply(received[0], b"the first"))
        connection.send(an_answer_reply(message.number, OWN_BODY))

    context.peer = ScriptedPeer(close_link, on_message)


@when("a process has two requests run by the peer, and gives the first up")
@when("a process has two requests run by the peer over both links")
def step_two_requests(context):
    async def calls(links):
        outcomes = []
        for request_id in ("r1", "r2"):
            await wait_up(links)
            routed = a_routed_request(request_id, time_left_s=4 * PAUSE)
            outcomes.append(await links.run_on_peer("b", routed))
        return outcomes

    context.outcomes = asyncio.run(with_peer(context, calls))


@then("the first ends as unknown")
def step_first_unknown(context):
    assert context.outcomes[0] == OutcomeUnknown("peer-lost"), context.outcomes


@then("the second ends with its own answer from the peer")
def step_own_from_peer(context):
    assert isinstance(context.outcomes[0], OutcomeUnknown), context.outcomes
    assert context.outcomes[1].body == OWN_BODY, context.outcomes


@given("a peer that replies to a relayed call after it was given up")
def step_late_relay(context):
    received = []

    def on_message(connection, message):
        received.append(message.number)
        if len(received) == 2:
            for number, done in zip(received, (True, False), strict=True):
                connection.send(StoreRelayReply(number, RANGES, None, done))

    context.peer = ScriptedPeer(on_message)


@when("a process relays two calls of the store, and gives the first up")
def step_two_relays(context):
    async def calls(links):
        await wait_up(links)
        call = StoreRelayRequest(0, RANGES, "box-office", b"")
        return [await links.relay_store_call("b", call, 2 * PAUSE) for _ in range(2)]

    context.outcomes = asyncio.run(with_peer(context, calls))


@then("the second call ends with its own reply")
def step_own_relay(context):
    assert context.outcomes[0] is None, context.outcomes
    assert not context.outcomes[1].done, context.outcomes


ANSWERED = (b"Rosemarydeal-Outcome: answer",)
ENTRY_ANSWERS = {
    "answer": an_answer("", b"the answer to the first", headers=ANSWERED),
    "rejection": an_answer(
        "",
        b"{}",
        b"503 Full",
        (b"Rosemarydeal-Outcome: not-run", b"Rosemarydeal-Code: draining"),
    ),
}
NAMED_REQUEST = {"no request": b"", "the request": b"idempotency-key"}


@given("an entry that repeats its {answer}, and names {named} in its answers")
def step_entry_repeats(context, answer, named):
    own = an_answer("", OWN_BODY, headers=ANSWERED)
    answers = [ENTRY_ANSWERS[answer], own]
    context.server = RepeatingServer(answers, NAMED_REQUEST[named])


@when("the caller library sends two requests one after the other")
def step_caller_two(context):
    async def go():
        async with (
            context.server.listen() as address,
            caller_of([address], attempts=1) as caller,
        ):
            calls = [Call("POST", "/orders", deadline_s=DEADLINE_S)] * 2
            return [(await caller.send(call)).outcome for call in calls]

    context.outcomes = asyncio.run(go())


@then("the second outcome is its own answer or unknown")
def step_own_outcome(context):
    outcome = context.outcomes[1]
    own = isinstance(outcome, Answer) and outcome.body == OWN_BODY
    assert own or isinstance(outcome, Unknown), context.outcomes


@given("an upstream whose {answer} names {header} in its Connection header")
def step_hidden(context, answer, header):
    hidden = (b"Connection: " + header.encode(),)
    answers = {
        "success": a_platform_answer("r1", OWN_BODY, headers=hidden),
        "refusal": a_platform_answer(
            "r1", b"", b"503 Full", (b"Not-Executed: 1", *hidden)
        ),
    }
    context.upstream = ScriptedUpstream([[answers[answer]]])


@then("the result of the request is {end}")
def step_hidden_end(context, end):
    result = context.results[-1]
    if end == "a failure":
        assert isinstance(result, Failed) and result.sent, result
    else:
        assert result.status == 200 and result.body == OWN_BODY, result


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
