"""Steps for cut answers on the whole path, early answers, and replies of peers."""

from __future__ import annotations

import asyncio
from dataclasses import replace
from types import SimpleNamespace
from unittest.mock import MagicMock

from behave import given, then, when

from features.builders_cut_answers import cut_first_answers
from features.builders_daemon import (
    BODY_LIMIT,
    DEADLINE_S,
    OWN_BODY,
)
from features.builders_fleet_types import a_routed_request
from features.builders_node import run, start_deployment
from features.builders_proxy import (
    pool,
    raw_upstream,
    request,
)
from features.builders_stutter import PAUSE
from features.builders_stutter import an_answer as a_platform_answer
from rosemarydeal.core import (
    Address,
)
from rosemarydeal.core.requests import OutcomeUnknown
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
from rosemarydeal.proxy import (
    ConnectionSettings,
    read_bytes,
)


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


# Longer than the answers that the guard stores.
FIRST_NAMED = a_platform_answer("r1", OWN_BODY)
SECOND_NAMED = a_platform_answer("r2", OWN_BODY)


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
    hooks.crash_suspects.return_value = None
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
