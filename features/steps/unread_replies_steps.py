"""Steps for replies to a peer that does not read them yet."""

from __future__ import annotations

import asyncio
import logging
from unittest.mock import MagicMock

import structlog
from behave import given, then, when

from features.builders_addresses import a_loopback_host
from features.builders_fleet_types import a_routed_request
from features.builders_node import run
from rosemarydeal.core import Address
from rosemarydeal.core.requests import Answered, NotServed
from rosemarydeal.node import messages
from rosemarydeal.node.links import Links
from rosemarydeal.node.memory import unread_answers
from rosemarydeal.node.messages import (
    AnswerReply,
    CancelRequest,
    Hello,
    LoadReport,
    NotServedReply,
    OutcomeUnknownReply,
    RunRequest,
)

KB, MB = 1000, 1_000_000
HOST, PORT = a_loopback_host(1), 9005
# Much longer than replies take that become ready at once.
READY_S = 0.3
RECEIVE_S = 5.0
TIME_LEFT_S = 8.0
SHORT_TIME_S = 0.6
LOAD = LoadReport(0, 0, 8, 0, 100)
OUTCOMES = {
    "that one was not run": NotServed("x"),
    "that one has failed": RuntimeError("the guard failed"),
}


class UnreadPeer:
    """A peer that sends requests, and reads the replies when a test says so."""

    async def connect(self):
        self._reader, self._writer = await asyncio.open_connection(HOST, PORT)
        self._writer.transport.pause_reading()
        self._writer.write(messages.encode(Hello("b", "b-1", "a")))
        self._numbers = 0

    def ask(self, outcome_name, time_left_s=TIME_LEFT_S):
        """Sends a request that ends in an outcome."""
        self._numbers += 1
        request = a_routed_request(outcome_name, time_left_s=time_left_s)
        self._writer.write(messages.encode(RunRequest.of(self._numbers, request)))

    def cancel(self, number):
        self._writer.write(messages.encode(CancelRequest(number)))

    def close(self):
        self._writer.transport.abort()

    async def read(self, count):
        """Reads a number of replies; fails if they do not come."""
        self._writer.transport.resume_reading()
        replies = []
        async with asyncio.timeout(RECEIVE_S):
            while len(replies) < count:
                head = await self._reader.readexactly(messages.HEADER_BYTES)
                body = await self._reader.readexactly(int.from_bytes(head, "big"))
                replies.append(messages.decode(body))
        return replies


@given("a process whose answers are sent over the link to a peer")
def step_process(context):
    structlog.configure(
        wrapper_class=structlog.make_filtering_bound_logger(logging.CRITICAL)
    )
    context.loop = asyncio.new_event_loop()
    context.add_cleanup(context.loop.close)
    context.answers = unread_answers()
    context.room_bytes = context.answers.left_bytes
    hooks = MagicMock()
    hooks.load = lambda: LOAD

    async def serve(request, _permit):
        outcome = OUTCOMES.get(request.request_id)
        if isinstance(outcome, Exception):
            raise outcome
        return outcome or Answered(200, (), b"x" * int(request.request_id), None)

    hooks.serve = serve
    context.links = Links("a", "a-1", hooks, answers=context.answers)
    run(context, context.links.start(Address(HOST, PORT)))

    async def close():
        await context.links.close()
        # Tasks of closed connections end meanwhile.
        await asyncio.sleep(0.05)

    context.add_cleanup(lambda: run(context, close()))
    context.peer = a_connected_peer(context)


def a_connected_peer(context):
    peer = UnreadPeer()
    run(context, peer.connect())
    context.add_cleanup(peer.close)
    return peer


def receive(context, *outcome_names):
    """Returns the replies that the peer reads after all were ready."""

    async def go():
        for name in outcome_names:
            context.peer.ask(name)
        await asyncio.sleep(READY_S)
        return await context.peer.read(len(outcome_names))

    context.replies = run(context, go())


@when(
    "the peer reads only after an answer of 24 MB and an answer of {size:d} {unit} were"
    " ready"
)
def step_two_answers(context, size, unit):
    context.expected = str(size * {"KB": KB, "MB": MB}[unit])
    receive(context, str(24 * MB), context.expected)


@when("the peer reads only after an answer of 24 MB and that one {outcome} were ready")
def step_other_outcome(context, outcome):
    context.expected = f"that one {outcome}"
    receive(context, str(24 * MB), context.expected)


@then("the peer receives both")
def step_both(context):
    first, second = context.replies
    assert (first.number, len(first.body)) == (1, 24 * MB)
    assert second.number == 2
    match context.expected:
        case "that one was not run":
            assert isinstance(second, NotServedReply), second
        case "that one has failed":
            assert isinstance(second, OutcomeUnknownReply), second
        case length:
            assert len(second.body) == int(length), second


@when("the peer reads only after an answer of 24 MB and 200 of 1 KB were ready")
def step_many_replies(context):
    receive(context, str(24 * MB), *[str(KB)] * 200)


@then("the peer receives all in the order in which they became ready")
def step_all_in_order(context):
    assert [reply.number for reply in context.replies] == list(range(1, 202))
    assert all(isinstance(reply, AnswerReply) for reply in context.replies)


@when("the peer reads only after {count:d} answers of 24 MB were ready")
def step_many_large(context, count):
    receive(context, *[str(24 * MB)] * count)


@then(
    "the peer receives {answers:d} answers, and {refused:d} times that there was no"
    " memory"
)
def step_no_memory(context, answers, refused):
    bodies = [r.body for r in context.replies if isinstance(r, AnswerReply)]
    assert [len(body) for body in bodies] == [24 * MB] * answers
    codes = [
        r.outcome.code for r in context.replies if isinstance(r, OutcomeUnknownReply)
    ]
    assert codes == ["no-memory"] * refused, codes


@then("the answers hold no room any more")
def step_no_room(context):
    run(context, asyncio.sleep(0))
    assert context.answers.left_bytes == context.room_bytes


@when(
    "a peer reads none of 3 answers of 24 MB, and another one reads an answer of 24 MB"
)
def step_two_peers(context):
    for _ in range(3):
        context.peer.ask(str(24 * MB))
    run(context, asyncio.sleep(READY_S))
    assert context.answers.left_bytes < context.room_bytes
    context.peer = a_connected_peer(context)
    receive(context, str(24 * MB))


@then("the other one receives it")
def step_other_receives(context):
    (reply,) = context.replies
    assert len(reply.body) == 24 * MB


@when("{event} while an answer of 12 MB waits for its turn")
def step_given_up(context, event):
    async def go():
        context.peer.ask(str(24 * MB))
        context.peer.ask(str(12 * MB), SHORT_TIME_S)
        await asyncio.sleep(READY_S)
        assert context.answers.left_bytes < context.room_bytes
        assert context.links.serving == 1
        if event == "the request is cancelled":
            context.peer.cancel(2)
        elif event == "the peer closes the link":
            context.peer.close()
        await asyncio.sleep(SHORT_TIME_S if "time" in event else READY_S / 3)

    run(context, go())


@then("no request is served any more")
def step_none_served(context):
    assert context.links.serving == 0
