import asyncio
import contextlib
from typing import get_args

import zmq
from behave import given, then, when
from hypothesis import given as given_values
from hypothesis import settings
from hypothesis import strategies as st

from features.builders_peers import key_pair, link, receive_one
from rosemarydeal.core.messages import Message, VersionsNotice
from rosemarydeal.peers import PeerMessageError, decode, encode

NOTICE = VersionsNotice((("config/current", 3),))


@then("any peer message decodes to the message that was encoded")
def step_round_trip(context):
    st.register_type_strategy(int, st.integers(-(2**63), 2**63 - 1))
    st.register_type_strategy(float, st.floats(allow_nan=False))

    @settings(derandomize=True, max_examples=300, deadline=None)
    @given_values(st.one_of([st.from_type(kind) for kind in get_args(Message)]))
    def check(message):
        assert decode(encode("voss-b-1", message)) == ("voss-b-1", message)

    check()


@then("arbitrary bytes decode to a message or raise a coded error")
def step_arbitrary(context):
    valid = encode("voss-b-1", NOTICE)

    @settings(derandomize=True, max_examples=300, deadline=None)
    @given_values(st.one_of(st.binary(), st.sampled_from(range(len(valid)))))
    def check(data):
        data = valid[:data] if isinstance(data, int) else data
        with contextlib.suppress(PeerMessageError):
            sender, message = decode(data)
            assert isinstance(message, Message)

    check()
    try:
        decode(valid[:-1])
    except PeerMessageError as error:
        assert error.code == "peer_message"
    else:
        raise AssertionError("a truncated message was accepted")


@given("a peer link that allows one key")
def step_link(context):
    context.allowed_keys = key_pair()
    context.server_keys = key_pair()


@when("an unknown peer and an allowed peer send messages to the link")
def step_unknown_key(context):
    async def run():
        server = link("server", context.server_keys, {context.allowed_keys.public})
        allowed = link("allowed", context.allowed_keys, set())
        unknown = link("unknown", key_pair(), set())
        await server.start()
        try:
            for sender in (unknown, allowed, unknown, allowed):
                sender.connect("server", server.address, context.server_keys.public)
                queued = sender.send("server", NOTICE)
                if sender is allowed:
                    assert queued
                    context.received.append(await receive_one(server))
            # Messages of the unknown peer are dropped once the server has rejected it.
            attempted = unknown.counters.sent + unknown.counters.dropped_send
            assert attempted == 2, unknown.counters
            context.total = server.counters.received
        finally:
            for peer in (server, allowed, unknown):
                await peer.close()

    context.received = []
    asyncio.run(run())


@then("the link receives only the messages of the allowed peer")
def step_allowed_only(context):
    assert [r.sender for r in context.received] == ["allowed", "allowed"]
    assert context.total == 2


@when("the allowed peer sends a malformed message before a valid one")
def step_malformed(context):
    async def run():
        server = link("server", context.server_keys, {context.allowed_keys.public})
        await server.start()
        zmq_context = zmq.Context()
        socket = zmq_context.socket(zmq.DEALER)
        socket.curve_publickey = context.allowed_keys.public.encode()
        socket.curve_secretkey = context.allowed_keys.secret.encode()
        socket.curve_serverkey = context.server_keys.public.encode()
        socket.connect(f"tcp://{server.address}")
        try:
            socket.send(b"\xc1 not msgpack")
            socket.send(encode("allowed", NOTICE))
            context.valid = await receive_one(server)
            context.counters = server.counters
        finally:
            zmq_context.destroy(linger=0)
            await server.close()

    asyncio.run(run())


@then("the link counts one malformed message and receives the valid one")
def step_counted(context):
    assert context.valid.message == NOTICE
    assert context.counters.malformed == 1
