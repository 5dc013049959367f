"""Steps for answers that the platform's store writes once more, late."""

from __future__ import annotations

import asyncio
import json

from behave import given, then, when

from features.builders_proxy import raw_upstream
from features.builders_stutter import PAUSE
from rosemarydeal.core.fleet import Revision
from rosemarydeal.platform.store import (
    StoreClient,
    StoreConflict,
    StoreError,
    StoreSettings,
    StoreUnavailable,
)

KIND = "tables"
OLD, NEW, OTHERS = {"owner": "a"}, {"owner": "b"}, {"owner": "c"}
# The revisions of the first answer, of the condition of the write, and of the object
# that another writer has changed meanwhile.
FIRST_REVISION, CONDITION, CHANGED = 5, 6, 9
TIMEOUT_S = 2.0


def an_object_answer(name, revision, spec, status=b"200 OK"):
    """Returns the bytes of the store's answer with one object."""
    content = {"metadata": {"name": name, "rev": revision}, "spec": spec}
    body = json.dumps(content).encode()
    length = b"Content-Length: %d" % len(body)
    return b"\r\n".join([b"HTTP/1.1 " + status, length, b"", body])


REFUSED = an_object_answer("x", CHANGED, OTHERS, b"409 Conflict")
FIRST_ANSWERS = {
    "a read of another object": an_object_answer("y", FIRST_REVISION, OLD),
    "a read of the object": an_object_answer("x", FIRST_REVISION, OLD),
    "an earlier write of the object": an_object_answer("x", CONDITION, OLD),
}


def a_store(first, second):
    """Returns a server that repeats its first answer before the second."""

    async def serve(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(first)
        await reader.readuntil(b"\r\n\r\n")
        writer.write(first)
        await asyncio.sleep(PAUSE)
        writer.write(second)

    return serve


def run_calls(context, make_calls):
    """Makes calls to the store of a scenario; returns the last one's result."""

    async def go():
        async with raw_upstream(context.store) as address:
            client = StoreClient(StoreSettings(address, TIMEOUT_S))
            try:
                return await make_calls(client)
            except (StoreConflict, StoreError, StoreUnavailable) as error:
                return error
            finally:
                await client.close()

    return asyncio.run(go())


@given("a store that repeats its answer to {call} before it refuses a write")
def step_repeats_before_write(context, call):
    context.first_call = call
    context.store = a_store(FIRST_ANSWERS[call], REFUSED)


@when("both calls are made over one connection")
def step_both_calls(context):
    content = json.dumps(NEW).encode()

    async def make_calls(client):
        match context.first_call:
            case "a read of another object":
                await client.get(KIND, "y")
            case "a read of the object":
                await client.get(KIND, "x")
            case "an earlier write of the object":
                await client.create(KIND, "x", json.dumps(OLD).encode())
        return await client.replace(KIND, "x", content, Revision(0, CONDITION))

    context.result = run_calls(context, make_calls)


@then("the write is not acknowledged")
def step_not_acknowledged(context):
    assert isinstance(context.result, Exception), context.result


@given("a store that repeats its answer to a read before it answers the next read")
def step_repeats_before_read(context):
    first = FIRST_ANSWERS["a read of another object"]
    context.store = a_store(first, an_object_answer("x", CHANGED, OTHERS))


@when("two objects are read over one connection")
def step_two_reads(context):
    async def make_calls(client):
        await client.get(KIND, "y")
        return await client.get(KIND, "x")

    context.result = run_calls(context, make_calls)


@then("the second read does not return the first object")
def step_not_first(context):
    assert getattr(context.result, "name", "x") == "x", context.result
