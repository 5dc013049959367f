"""Steps for answers whose status is not valid."""

from __future__ import annotations

import asyncio

from behave import given, then, when

from features.builders_proxy import raw_upstream
from features.builders_stutter import ScriptedUpstream, a_refusal, an_answer
from rosemarydeal.core.requests import Answered, OutcomeUnknown
from rosemarydeal.node.messages import AnswerReply
from rosemarydeal.platform.upstream import UpstreamCallFailed
from rosemarydeal.proxy import (
    BytesBody,
    Pool,
    PoolSettings,
    Request,
    ResponseBroken,
)

BODY = b"the body of the answer"
HEALTH_TIME_S = 1.0
INFORMATIONAL = b"HTTP/1.1 102 Processing\r\n\r\n"


@given('an upstream that answers with the status "{status}"')
def step_answers_with(context, status):
    line = status.encode() + b" Odd"
    headers = (b"Response-Signature: s-r1", b"Instance-Id: i-1")
    answer = an_answer("r1", BODY, line, headers)
    context.upstream = ScriptedUpstream([[answer]])


@given('an upstream whose health path answers with the status "{status}"')
def step_health_answers(context, status):
    line = status.encode() + b" Odd"
    answer = an_answer("", b"", line, (b"Instance-Id: i-1",))
    context.upstream = ScriptedUpstream([[answer]])


@given('an upstream that rejects with the status "{status}"')
def step_rejects_with(context, status):
    context.upstream = ScriptedUpstream([[a_refusal("r1", status.encode() + b" Odd")]])


@given("an upstream that writes {count:d} informational responses before its answer")
def step_informational(context, count):
    answer = INFORMATIONAL * count + an_answer("r1", BODY)
    context.upstream = ScriptedUpstream([[answer]])


@when("it is asked which instance it is")
def step_ask(context):
    async def go():
        async with context.upstream.client() as client:
            try:
                context.instance = await client.identify("/healthz", HEALTH_TIME_S)
            except UpstreamCallFailed as error:
                context.instance = error

    asyncio.run(go())


@when('the client without an id gets an answer with the status "{status}"')
def step_shared_client(context, status):
    async def answer(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(an_answer("", BODY, status.encode() + b" Odd"))
        await writer.drain()

    async def go():
        async with raw_upstream(answer) as address:
            pool = Pool(PoolSettings())
            request = Request(b"GET", b"/", (), BytesBody(b""), address)
            try:
                await pool.send(address, request, HEALTH_TIME_S)
                context.result = "answered"
            except ResponseBroken as error:
                context.result = error.code
            await pool.close()

    asyncio.run(go())


@then('the result is "{result}"')
def step_result(context, result):
    assert context.result == result, context.result


@then("it has not answered")
def step_no_instance(context):
    assert isinstance(context.instance, UpstreamCallFailed), context.instance


@then(
    "the replies of peers with the statuses {statuses}"
    " leave open whether the request has run"
)
def step_peer_replies(context, statuses):
    numbers = [int(status) for status in statuses.replace(" and", ",").split(", ")]
    for status in numbers:
        reply = AnswerReply(1, status, (), BODY, 0)
        outcome = reply.to_outcome()
        assert isinstance(outcome, OutcomeUnknown), (status, outcome)
    assert isinstance(AnswerReply(1, 200, (), BODY, 0).to_outcome(), Answered)
