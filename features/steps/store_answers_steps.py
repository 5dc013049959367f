"""Steps for copies of the store's answers that arrive late."""

from __future__ import annotations

import asyncio

import msgspec
from behave import given, then, when

from features.builders_node import run
from features.builders_proxy import raw_upstream
from rosemarydeal.core.fleet import Revision
from rosemarydeal.node.records import MEMBERS, RANGES
from rosemarydeal.platform.errors import HistoryGone, StoreConflict, StoreError
from rosemarydeal.platform.store import StoreClient, StoreSettings

KNOWN = Revision(0, 5)
WATCH_S = 0.2
OLD, NEW = {"slots": 1}, {"slots": 2}


def an_object(name, revision, content):
    return {"metadata": {"name": name, "rev": revision}, "spec": content}


def a_listing(*objects):
    return {"items": objects, "current_rev": 9, "truncated": False}


# Status and body of the own answer to each call.
ANSWERS = {
    "a read of vm-a": (200, an_object("vm-a", 5, OLD)),
    "a newer read of vm-a": (200, an_object("vm-a", 8, {"slots": 7})),
    "a read of vm-b": (200, an_object("vm-b", 5, OLD)),
    "a listing": (200, a_listing(an_object("vm-a", 5, OLD))),
    "a listing of another kind": (200, a_listing(an_object("box-office", 6, OLD))),
    "a watch": (200, {"events": [], "current_rev": 9}),
    "a replacement of vm-a": (200, an_object("vm-a", 9, NEW)),
    "a replacement of vm-b": (200, an_object("vm-b", 9, NEW)),
    "an unchanging replacement": (200, an_object("vm-a", 5, OLD)),
    "a conflict of vm-b": (409, an_object("vm-b", 7, OLD)),
    "a creation of vm-c": (201, an_object("vm-c", 9, NEW)),
    "a creation of vm-d": (201, an_object("vm-d", 8, NEW)),
    "a removal of vm-b": (200, an_object("vm-b", 9, None)),
}


def call(client, label):
    """Makes the call of a label."""
    content = msgspec.json.encode(NEW)
    match label:
        case "a listing":
            return client.list(MEMBERS)
        case "a listing of another kind":
            return client.list(RANGES)
        case "a watch":
            return client.watch(MEMBERS, KNOWN, WATCH_S)
        case "an unchanging replacement":
            unchanged = msgspec.json.encode(OLD)
            return client.replace(MEMBERS, "vm-a", unchanged, KNOWN)
    operation, name = label.split()[-3], label.split()[-1]
    match operation:
        case "read":
            return client.get(MEMBERS, name)
        case "replacement" | "conflict":
            return client.replace(MEMBERS, name, content, KNOWN)
        case "creation":
            return client.create(MEMBERS, name, content)
        case "removal":
            return client.remove(MEMBERS, name, KNOWN)


def answer_bytes(label):
    status, body = ANSWERS[label]
    encoded = msgspec.json.encode(body)
    return b"HTTP/1.1 %d X\r\ncontent-length: %d\r\n\r\n%s" % (
        status,
        len(encoded),
        encoded,
    )


async def exchange(labels):
    """Makes calls one after the other; returns what became of the last one.

    A call that is not the first one on its connection first gets a copy of the
    answer before.
    """
    answers = iter(labels)

    async def serve(reader, writer):
        before = b""
        while True:
            head = await reader.readuntil(b"\r\n\r\n")
            fields = dict(
                line.lower().split(b": ", 1)
                for line in head.split(b"\r\n")[1:]
                if b": " in line
            )
            await reader.readexactly(int(fields.get(b"content-length", 0)))
            writer.write(before)
            before = answer_bytes(next(answers))
            writer.write(before)
            await writer.drain()

    async with raw_upstream(serve) as address:
        client = StoreClient(StoreSettings(address))
        outcome = None
        try:
            for label in labels:
                try:
                    outcome = await call(client, label)
                except StoreError as error:
                    outcome = error
        finally:
            await client.close()
            # The store's side of the connections ends.
            await asyncio.sleep(0.02)
        return outcome


@given("a store that repeats an answer on a kept connection, before the next one")
def step_stuttering_store(context):
    context.loop = asyncio.new_event_loop()
    context.add_cleanup(context.loop.close)


@when("{later} follows {earlier}")
def step_follows(context, later, earlier):
    context.call = later
    context.outcome = run(context, exchange([earlier, later]))


@when("{label} is made alone")
def step_alone(context, label):
    context.call = label
    context.outcome = run(context, exchange([label]))


@then("it fails, and says that it is {outcome}")
def step_fails(context, outcome):
    error = context.outcome
    assert isinstance(error, StoreError), error
    # These two would say that the call had an effect, or had none, for certain.
    assert not isinstance(error, StoreConflict | HistoryGone), repr(error)
    maybe_done = getattr(error, "maybe_done", False)
    assert maybe_done == (outcome == "perhaps done"), repr(error)


@then("it gets its own answer")
def step_own(context):
    result = context.outcome
    assert not isinstance(result, StoreError), repr(result)
    _, body = ANSWERS[context.call]
    if "items" in body:
        names = [item["metadata"]["name"] for item in body["items"]]
        assert [stored.name for stored in result.objects] == names, result
    elif "metadata" in body and result is not None:
        assert result.name == body["metadata"]["name"], result
        assert result.revision.number == body["metadata"]["rev"], result
