"""Steps for the time that the check of a body takes."""

from __future__ import annotations

import time

from behave import given, then, when

from rosemarydeal.proxy.embedded_heads import MAX_HEAD_BYTES, BodyCheck
from rosemarydeal.proxy.message import Framing

# Shortest latency target of the deployments, in seconds.
SHORTEST_TARGET_S = 0.12
RUNS = 5
NO_END = b"\r\n\r\nx"
LINES = {
    "status lines and the start of a header": b"HTTP/1.1 200 OK\r\nb:",
    "status lines within headers": b"HTTP/1.1 200\r\nb: c\r\nd:",
}


@given("a body of {lines}, of which none ends it")
def step_body(context, lines):
    line = LINES[lines]
    context.body = line * (MAX_HEAD_BYTES // len(line)) + NO_END


@when("the body is checked")
def step_checked(context):
    times = []
    for _ in range(RUNS):
        check = BodyCheck(
            Framing.LENGTH, True, b"request-id", {b"r1"}, {b"not-executed"}
        )
        started = time.thread_time()
        check.check(context.body)
        check.check_end(False)
        times.append(time.thread_time() - started)
    context.seconds = min(times)


@then("that takes less than a sixth of the shortest latency target")
def step_quick(context):
    assert context.seconds < SHORTEST_TARGET_S / 6, context.seconds
