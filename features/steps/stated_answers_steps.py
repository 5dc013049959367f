"""Steps for answers of which a statement is missing, or is one of another kind."""

from __future__ import annotations

import asyncio

from behave import given, then, when

from features.builders_stutter import (
    TIMEOUT_S,
    ScriptedUpstream,
    a_call_answer,
    an_answer,
)
from rosemarydeal.core.fleet import KeyRange
from rosemarydeal.core.requests import Answered, Rejected
from rosemarydeal.platform.upstream import UpstreamCallFailed

BODY = b"the body of the answer"
LENGTH = b"Content-Length: %d" % len(BODY)
KEYS = KeyRange(0, 9, "n", "l", 1)
HOLD_S = 4.0
INSTANCE = "i-1"
SIGNATURE = b"Response-Signature: s"
LACKING = {
    "no signature": b"\r\n".join(
        [b"HTTP/1.1 200 OK", b"Request-Id: r1", LENGTH, b"", BODY]
    ),
    "no id": b"\r\n".join([b"HTTP/1.1 200 OK", SIGNATURE, LENGTH, b"", BODY]),
    "an encoding": an_answer("r1", BODY, headers=(b"Content-Encoding: gzip",)),
}


@given("an upstream whose success has {lacking}")
def step_lacking(context, lacking):
    context.upstream = ScriptedUpstream([[LACKING[lacking]]])


@given("an upstream that answers 421 and states nothing else")
def step_misdirected(context):
    answer = an_answer("r1", b"", b"421 Misdirected")
    context.upstream = ScriptedUpstream([[answer]])


@given("an upstream that answers 500 without a length and without a body")
def step_empty_failure(context):
    answer = an_answer("r1", b"", b"500 Failed", framed=False)
    context.upstream = ScriptedUpstream([[answer]])


@given("an upstream that answers a grant with an answer to a request")
def step_signed_call(context):
    context.upstream = ScriptedUpstream([[a_call_answer(headers=(SIGNATURE,))]])


@when("a grant is sent")
def step_grant(context):
    async def go():
        async with context.upstream.client() as client:
            try:
                await client.grant(KEYS, INSTANCE, lambda: HOLD_S, TIMEOUT_S)
            except UpstreamCallFailed as error:
                return error
            return None

    context.error = asyncio.run(go())


@then("it is rejected")
def step_rejected(context):
    result = context.results[-1]
    assert isinstance(result, Rejected), result


@then("it is answered with the failure")
def step_failure(context):
    result = context.results[-1]
    assert isinstance(result, Answered) and result.status == 500, result


@then("the grant is not answered")
def step_grant_unanswered(context):
    assert context.error is not None
