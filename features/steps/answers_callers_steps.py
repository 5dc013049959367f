"""Steps for answers towards callers, and what the caller library takes for its own."""

from __future__ import annotations

import asyncio

from behave import given, then, when

from features.builders_caller import caller_of
from features.builders_daemon import (
    BODY_LIMIT,
    DEADLINE_S,
    OWN_BODY,
    RepeatingServer,
    an_answer,
)
from features.builders_proxy import (
    exchange_raw,
    request,
    running_server,
)
from features.builders_stutter import ScriptedUpstream
from features.builders_stutter import an_answer as a_platform_answer
from rosemarydeal.caller import Call
from rosemarydeal.core import (
    Answer,
    Unknown,
)
from rosemarydeal.core.requests import Failed, NotServed
from rosemarydeal.platform import callers
from rosemarydeal.proxy import (
    BodyBuffers,
    BytesBody,
    Response,
    ResponseBroken,
    bytes_response,
    find_header,
)


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


@given("a platform's caller whose request id is not ASCII")
def step_odd_id(context):
    context.request_id = b"r-\xe9\xff"


@when("the process rejects its request")
def step_rejects(context):
    headers = ((b"host", b"h.example"), (b"request-id", context.request_id))
    sent = request(headers=headers)
    caller = asyncio.run(
        callers.decode_request(sent, BODY_LIMIT, BodyBuffers(0).room())
    )
    context.response = callers.respond(caller.request_id, NotServed("no-upstream"))


@then("the response names the id as the caller sent it")
def step_names_id(context):
    named = find_header(context.response.headers, b"request-id")
    assert named == context.request_id, context.response.headers


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
