"""Steps for answers that name several requests, and for the ids that are kept."""

from __future__ import annotations

from behave import given, then, when

from features.builders_stutter import ScriptedUpstream, an_answer, run_requests
from rosemarydeal.core.requests import Answered
from rosemarydeal.proxy.identification import MAX_REQUESTS

BODY = b"the body of the answer"
FIRST = an_answer("r1", BODY)
SECOND = an_answer("r2", BODY)


@given("an upstream whose answer to r2 names r1 as well")
def step_names_both(context):
    both = an_answer("r2", BODY, headers=(b"Request-Id: r1",))
    context.upstream = ScriptedUpstream([[FIRST], [both]])


@given("an upstream that writes an answer to r1 and r0 before its answer to r2")
def step_names_unknown(context):
    other = an_answer("r1", BODY, headers=(b"Request-Id: r0",))
    context.upstream = ScriptedUpstream([[FIRST], [other, SECOND]])


@given(
    "an upstream that writes the start of a failure, cut in the reason, before its "
    "answer"
)
def step_cut_failure(context):
    context.upstream = ScriptedUpstream([[b"HTTP/1.1 500 Fai" + FIRST]])


@given("an upstream that answers each request")
def step_answers(context):
    answers = [[an_answer(f"q{n}", BODY)] for n in range(MAX_REQUESTS + 1)]
    context.upstream = ScriptedUpstream(answers, answers[MAX_REQUESTS:])


@when("more requests are sent one after the other than a connection may identify")
def step_many(context):
    request_ids = [f"q{n}" for n in range(MAX_REQUESTS + 1)]
    context.results = run_requests(context.upstream, *request_ids)


@then("all are answered, and the last over another connection")
def step_another_connection(context):
    assert all(isinstance(result, Answered) for result in context.results)
    numbers = [number for number, _ in context.upstream.requests]
    assert numbers == [0] * MAX_REQUESTS + [1], numbers[-3:]
