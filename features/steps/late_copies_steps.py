"""Steps for copies of answers, and answers that break off, at the upstream's client."""

from __future__ import annotations

import asyncio
from dataclasses import replace

from behave import given, then, when

from features.builders_stutter import (
    PAUSE,
    TIMEOUT_S,
    EchoedAnswer,
    ScriptedUpstream,
    a_call_answer,
    a_refusal,
    an_answer,
    an_upstream_request,
    run_requests,
)
from rosemarydeal.core.fleet import KeyRange
from rosemarydeal.core.requests import Answered, Failed, Rejected
from rosemarydeal.platform.upstream import GrantRefused

BODY = b"the body of the answer"
OTHER_BODY = b"another body"
QUOTES = {
    # An answer to a request that the connection has not carried.
    "the text of another response": b"an example:" + an_answer("r9", BODY),
    "a sentence that ends with a status": b"The store answered HTTP/1.1 503 Busy",
    "a page that quotes a status": b"<p>HTTP/1.1 200 OK</p>\r\n</html>",
    "a page that quotes a whole answer of another protocol": (
        b"HTTP/1.1 503 Full\r\nRetry-After: 1\r\n\r\n</html>"
    ),
    "a page that quotes a whole refusal of another request": (
        a_refusal("r9") + b"</html>"
    ),
    "a page that quotes a header of the protocol alone": (
        b"HTTP/1.1 503 Full, with this header\r\n\r\nNot-Executed: 1\r\n\r\n</html>"
    ),
}
KEYS = KeyRange(0, 9, "n", "l", 1)
OTHER_KEYS = KeyRange(10, 19, "n", "l", 2)
HOLD_S = 4.0
INSTANCE = "i-1"
# Work on released keys, which the answer to their release waits for.
RELEASE_S = 0.2
FIRST = an_answer("r1", BODY)
UNFRAMED = an_answer("r1", BODY, framed=False)
UNFRAMED_SECOND = an_answer("r2", BODY, framed=False)


@given("an upstream whose answer without a length contains a copy of an earlier answer")
def step_copy_inside(context):
    parts = [UNFRAMED_SECOND, PAUSE, FIRST, PAUSE, b"the rest"]
    context.upstream = ScriptedUpstream([[FIRST], parts])


@given("an upstream that sends an answer without a length twice")
def step_unframed_twice(context):
    context.upstream = ScriptedUpstream([[UNFRAMED, PAUSE, UNFRAMED]])


@given("an upstream whose answer without a length ends with a part of a status line")
def step_part_of_status_line(context):
    context.upstream = ScriptedUpstream([[UNFRAMED, PAUSE, b"HTTP/1."]])


@given("an upstream that ends its answer after the head, which states no length")
def step_only_head(context):
    answer = an_answer("r1", framed=False)
    context.upstream = ScriptedUpstream([[answer]])


@given("an upstream whose answer without a length comes in pieces")
def step_pieces(context):
    head = an_answer("r1", framed=False)
    parts = [head, PAUSE, BODY[:5], PAUSE, BODY[5:]]
    context.upstream = ScriptedUpstream([parts])


@given("an upstream that repeats a refusal of r1 while its next attempt runs")
def step_refusal_repeated(context):
    copies_first(context, a_refusal("r1"))


@given("an upstream that repeats a failure of r1 while its next attempt runs")
def step_failure_repeated(context):
    copies_first(context, an_answer("r1", b"", b"500 Failed"))


@given("an upstream that accepts one connection and repeats a refusal of r1")
def step_refusal_repeated_on_one(context):
    copies_first(context, a_refusal("r1"), limit=1)


@given("an upstream that {answers} r1, and answers it again while it runs again")
def step_answered_again(context, answers):
    first = {"fails": an_answer("r1", b"", b"500 Failed"), "refuses": a_refusal("r1")}
    copies_first(context, first[answers], again("r1"))


@given("an upstream that answers twice, the second time after the next request")
def step_one_behind(context):
    context.upstream = ScriptedUpstream(
        [
            [FIRST],
            [an_answer("r1", b"ok"), PAUSE, SECOND],
            [],
            [an_answer("r2", b"ok")],
        ],
        [[THIRD], [SECOND]],
    )


@when("r1, r2, r3 and r2 again are sent")
def step_one_behind_sent(context):
    context.results = run_requests(context.upstream, "r1", "r2", "r3", "r2")


@then("all are answered with their own bodies")
def step_own_bodies(context):
    bodies = [getattr(result, "body", result) for result in context.results]
    assert bodies == [BODY, OTHER_BODY, OTHER_BODY, OTHER_BODY], context.results


@given("an upstream that refuses r1 on the second of two connections")
def step_two_connections(context):
    context.upstream = ScriptedUpstream(
        [[PAUSE, an_answer("r2", OTHER_BODY)], [FIRST]],
        [[PAUSE, PAUSE, PAUSE, a_refusal("r1")], [FIRST]],
        [[FIRST]],
    )


@when("r1 is sent again, with the first connection idle for longer than allowed")
def step_idle_too_long(context):
    async def go():
        async with context.upstream.client() as client:
            first = an_upstream_request("r1")
            other = asyncio.create_task(client.run(an_upstream_request("r2")))
            await asyncio.sleep(PAUSE / 2)
            assert isinstance(await client.run(first), Rejected)
            await other
            return await client.run(replace(first, max_idle_s=PAUSE))

    context.result = asyncio.run(go())


@then("it is sent over a third connection")
def step_third_connection(context):
    assert isinstance(context.result, Answered), context.result
    assert [number for number, _ in context.upstream.requests] == [0, 1, 2]


def again(request_id):
    """Returns a second answer, which has a body of its own."""
    return an_answer(request_id, b"ok")


def copies_first(context, first, second=None, **settings):
    """Prepares an upstream that answers with bytes, and then with a copy first."""
    context.upstream = ScriptedUpstream(
        [[first], [second or first, PAUSE, FIRST]], [[PAUSE, FIRST]], **settings
    )


@given("an upstream that answers r1 and then writes a refusal that names no request")
def step_unnamed_refusal(context):
    context.upstream = ScriptedUpstream([[FIRST], [a_refusal(""), PAUSE, FIRST]])


@given(
    "an upstream that answers {status} but does not say that it did not run the request"
)
def step_unproved_status(context, status):
    answer = an_answer("r1", b"", status.encode())
    context.upstream = ScriptedUpstream([[answer]])


LONG_BODY = b"the start of a long body, " + b"x" * 40
LONG_FIRST = an_answer("r1", LONG_BODY)


def broken_off(filler, extra=b"", chunked=False):
    """Returns an answer to r2 of which a filler takes the place of the last part."""
    body = LONG_BODY[:26]
    framing = b"Content-Length: %d" % len(body + filler)
    if chunked:
        framing = b"Transfer-Encoding: chunked"
        body = b"%x\r\n" % len(body + filler) + body
        extra = b"\r\n0\r\n\r\n" + extra
    head = an_answer("r2", framed=False, headers=(framing,))
    return [head + body, PAUSE, filler + extra]


SECOND_COPY = an_answer("r2", LONG_BODY)
# Without an id, and with a body that ends where that of the answer does.
WITH_BODY = b"Content-Length: 4\r\n\r\nFull"
OWN_BODY_REFUSAL = b"HTTP/1.1 503 Full\r\nNot-Executed: 1\r\n" + WITH_BODY
OWN_BODY_LIMIT = b"HTTP/1.1 500 Failed\r\nServer-Limit: 2\r\n" + WITH_BODY
BROKEN_OFF = {
    "a copy of an earlier answer, which just fits": (LONG_FIRST, b""),
    "a copy of an earlier answer, which is longer": (LONG_FIRST[:20], LONG_FIRST[20:]),
    "its second copy": (SECOND_COPY, b""),
    "its second copy, cut where the body ends": (SECOND_COPY[:50], SECOND_COPY[50:]),
    "its second copy, cut where the body ends, late": (SECOND_COPY[:50], b""),
    "its second copy, cut after its status line": (SECOND_COPY[:17], b""),
    "its second copy, cut in the name of a header": (SECOND_COPY[:22], b""),
    "its second copy, cut in its head": (SECOND_COPY[:30], b""),
    "a refusal without an id, which just fits": (a_refusal(""), b""),
    "a refusal without an id but with a body": (OWN_BODY_REFUSAL, b""),
    "such a refusal in pieces": (OWN_BODY_REFUSAL, b""),
    "a rate limit without an id but with a body": (OWN_BODY_LIMIT, b""),
}


@given("an upstream that breaks an answer {framing} off and then writes {copy}")
def step_broken_off(context, framing, copy):
    filler, extra = BROKEN_OFF[copy]
    parts = broken_off(filler, extra, framing == "with chunks")
    if copy.endswith("in pieces"):
        parts[-1:] = [filler[:30], PAUSE, filler[30:]]
    context.upstream = ScriptedUpstream([[LONG_FIRST], parts])


@given("an upstream whose answer's body is {text}")
def step_text(context, text):
    context.body = QUOTES[text]
    context.upstream = ScriptedUpstream([[an_answer("r1", context.body)]])


@then("it is answered with the text")
def step_text_answered(context):
    result = context.results[-1]
    assert isinstance(result, Answered) and result.body == context.body, result


SECOND = an_answer("r2", OTHER_BODY)
THIRD = an_answer("r3", OTHER_BODY)
EARLIER_COPIES = {
    "a copy of its answer": (FIRST, [FIRST]),
    "a copy of its answer in pieces": (FIRST, [FIRST[:30], PAUSE, FIRST[30:], PAUSE]),
    "two copies of its answer": (FIRST, [FIRST, FIRST]),
    "a copy of its refusal": (a_refusal("r1"), [a_refusal("r1")]),
    "a copy that is cut in its body": (FIRST, [FIRST[:-1]]),
    "a copy without a length": (FIRST, [UNFRAMED]),
    "an answer to a request that was not sent": (FIRST, [an_answer("r0", BODY)]),
}


@given("an upstream that writes {copies} before its next answer")
def step_copies(context, copies):
    first, before = EARLIER_COPIES[copies]
    context.upstream = ScriptedUpstream(
        [[first], [*before, SECOND], [THIRD]], [[THIRD]]
    )


@when("three requests are sent")
def step_three(context):
    context.results = run_requests(context.upstream, "r1", "r2", "r3")


@then("the second is answered with its own body")
def step_second_body(context):
    result = context.results[1]
    assert isinstance(result, Answered) and result.body == OTHER_BODY, result


@then("the third is answered over another connection")
def step_not_reused(context):
    assert isinstance(context.results[2], Answered), context.results[2]
    assert [number for number, _ in context.upstream.requests] == [0, 0, 1]


CUT_REFUSALS = {
    "in the reason": b"HTTP/1.1 503 Fu",
    "in the not-run header": b"HTTP/1.1 503 Full\r\nNot-Executed: 1",
    "after a line": b"HTTP/1.1 503 Full\r\nNot-Executed: 1\r\n",
    "in the name of a header": b"HTTP/1.1 503 Full\r\nNot-Executed: 1\r\nRequ",
    "within the status": b"HTTP/1.1 50",
}


@given("an upstream that writes the start of a refusal, cut {where}, before an answer")
def step_cut_refusal(context, where):
    context.upstream = ScriptedUpstream([[CUT_REFUSALS[where] + FIRST]])


CUT_ANSWERS = {
    "in the status line": b"HTTP/1.1 200",
    "after the status line": b"HTTP/1.1 200 OK\r\n",
    "in the name of a header": FIRST[: FIRST.index(b"Content-Le") + 10],
    "in the length": FIRST[: FIRST.index(b"Content-Length: ") + 17],
    "after the length": FIRST[: FIRST.index(b"\r\n\r\n") + 2],
    "before the last line end": FIRST[: FIRST.index(b"\r\n\r\n") + 3],
    "before the end of the body": FIRST[:-1],
    "before the last chunk": UNFRAMED.replace(
        b"\r\n\r\n" + BODY, b"\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nthe\r\n"
    ),
}


@given("an upstream that stops its answer {where} and closes")
def step_cut_answer(context, where):
    context.upstream = ScriptedUpstream([[CUT_ANSWERS[where]]])


@when("one request is sent")
def step_one(context):
    context.results = run_requests(context.upstream, "r1")


@when("two requests are sent over the same connection")
def step_two(context):
    context.results = run_requests(context.upstream, "r1", "r2")
    assert [number for number, _ in context.upstream.requests] == [0, 0]


@when("r1 is sent twice, one after the other")
def step_same_twice(context):
    context.results = run_requests(context.upstream, "r1", "r1")


@then("the second is not answered, as it may have run")
@then("it is not answered, as it may have run")
def step_unknown(context):
    result = context.results[-1]
    assert isinstance(result, Failed) and result.sent, result
    assert not result.timed_out, result


@then("it is answered with the whole body")
def step_whole(context):
    result = context.results[-1]
    assert isinstance(result, Answered) and result.body == BODY, result


@then("the second attempt ends with its own answer")
def step_own_answer(context):
    result = context.results[-1]
    assert isinstance(result, Answered) and result.status == 200, result
    assert result.body == BODY, result


GRANT_ANSWER = a_call_answer()
CALL_ANSWERS = {
    "grant": GRANT_ANSWER,
    "probe": a_call_answer(headers=(b"Server-Load: 0,0,8",)),
    "release": a_call_answer(headers=(b"Handover: h0",)),
}
RELEASED = a_call_answer(headers=(b"Handover: h1",))


@given(
    "an upstream that repeats its answer to a {call} while it still works on the keys"
)
def step_call_repeated(context, call):
    answer = CALL_ANSWERS[call]
    context.upstream = ScriptedUpstream(
        [[answer], [answer, RELEASE_S, RELEASED]], [[RELEASE_S, RELEASED]]
    )


@when("the {call} is answered and the keys are released")
def step_call_and_release(context, call):
    async def go():
        async with context.upstream.client() as client:
            match call:
                case "grant":
                    await client.grant(KEYS, INSTANCE, lambda: HOLD_S, TIMEOUT_S)
                case "probe":
                    await client.probe("/healthz", TIMEOUT_S)
                case "release":
                    assert await client.release(OTHER_KEYS, TIMEOUT_S) == "h0"
            started = asyncio.get_running_loop().time()
            context.handover = await client.release(KEYS, TIMEOUT_S)
            context.seconds = asyncio.get_running_loop().time() - started

    asyncio.run(go())


@given("an upstream that echoes the ids of calls and repeats its answer to a grant")
def step_echoed_call_repeated(context):
    released = EchoedAnswer(1, (b"Handover: h1",))
    context.upstream = ScriptedUpstream(
        [[EchoedAnswer(0)], [EchoedAnswer(0), RELEASE_S, released]]
    )


@given("an upstream that repeats its answer to a grant before it refuses the next one")
def step_grant_repeated(context):
    refused = a_call_answer(b"409 Conflict")
    context.upstream = ScriptedUpstream(
        [[GRANT_ANSWER], [GRANT_ANSWER, PAUSE, refused]], [[PAUSE, refused]]
    )


@when("two grants are sent")
def step_two_grants(context):
    async def go():
        async with context.upstream.client() as client:
            await client.grant(KEYS, INSTANCE, lambda: HOLD_S, TIMEOUT_S)
            try:
                await client.grant(OTHER_KEYS, INSTANCE, lambda: HOLD_S, TIMEOUT_S)
            except GrantRefused:
                context.refused = True

    context.refused = False
    asyncio.run(go())


@then("the second is refused")
def step_refused(context):
    assert context.refused
