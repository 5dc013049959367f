"""Steps for the limits of request bodies."""

from __future__ import annotations

import asyncio
import tempfile
from pathlib import Path

from behave import given, then, when

from features.builders_node import a_configuration, run
from features.builders_node_programs import MEMORY_MB, SETTINGS, ProgramDeployment
from rosemarydeal.platform.node_settings import parse_identity
from rosemarydeal.proxy import BodyBuffers, NoBodyRoom, read_bytes

MB = 1 << 20
KB = 1000
KEY = 7
PAUSE_S = 0.05
FIRST, SECOND = "vm-a", "vm-b"
FREE_BYTES = 8 * KB
PIECE_BYTES = 10 * KB


async def upload(context, megabytes):
    """Uploads a body and returns the answer."""
    body = b"x" * (megabytes * MB)
    return await context.deployment.send_request("vm-a", KEY, "/order/1", body=body)


@then("an upload of {megabytes:d} MB is answered {status:d}")
def step_upload(context, megabytes, status):
    answer = run(context, upload(context, megabytes))
    assert answer.status == status, answer


@when("the operator changes the limit of bodies to {megabytes:d} MB")
def step_change(context, megabytes):
    context.version = getattr(context, "version", 1) + 1
    configuration = a_configuration(context.version)
    (limits,) = [r for r in configuration["resources"] if r["type"] == "limits"]
    limits["spec"]["max_body_bytes"] = megabytes * MB
    context.deployment.store.put("config", "main", configuration)


@then(
    "within {seconds:d} seconds an upload of {megabytes:d} MB is answered {status:d}"
    " on an open connection"
)
def step_follows(context, seconds, megabytes, status):
    async def go():
        loop = asyncio.get_running_loop()
        deadline = loop.time() + seconds
        while True:
            # A refusal closes its connection; this opens the next one.
            await upload(context, 0)
            answer = await upload(context, megabytes)
            if answer.status == status:
                return
            assert loop.time() < deadline, answer
            await asyncio.sleep(PAUSE_S)

    run(context, go())


@given("two processes with a memory of {megabytes:d} MB each")
def step_programs(context, megabytes):
    assert megabytes == MEMORY_MB
    context.loop = asyncio.new_event_loop()
    context.add_cleanup(context.loop.close)
    directory = tempfile.TemporaryDirectory()
    context.add_cleanup(directory.cleanup)
    context.deployment = ProgramDeployment(2, Path(directory.name))
    context.add_cleanup(lambda: run(context, context.deployment.close()))
    run(context, context.deployment.start())


@when(
    "{count:d} uploads of {megabytes:d} MB for keys of the {owner} arrive at once"
    " at the first, and a small one"
)
def step_many_uploads(context, count, megabytes, owner):
    deployment = context.deployment
    node = FIRST if owner == "first" else SECOND
    context.key = next(
        k for k in deployment.sample() if deployment.holders(k) == [node]
    )
    body = b"x" * (megabytes * MB)
    uploads = {f"u{number}": body for number in range(count)} | {"small": b"x"}

    async def one(request_id, content):
        return await deployment.send_request(
            FIRST, context.key, "/order/1", request_id, body=content
        )

    async def go():
        answers = await asyncio.gather(*(one(*item) for item in uploads.items()))
        return dict(zip(uploads, answers, strict=True))

    context.answers = run(context, go())


@then("each upload is answered 200, or 503 with a time to retry")
def step_answered_or_refused(context):
    for answer in context.answers.values():
        refused = answer.status == 503 and b"retry-after" in answer.headers
        assert answer.status == 200 or refused, answer


@then("the upstreams ran exactly those answered 200, among them the small one")
def step_ran(context):
    served = {name for name, a in context.answers.items() if a.status == 200}
    ran = [name for e in context.deployment.endpoints.values() for name in e.ran]
    assert sorted(ran) == sorted(served), (ran, served)
    assert len(served) > 1 and "small" in served, served
    assert len(served) < len(context.answers), "nothing was refused"


@then("no process used more than {megabytes:d} MB or ended")
def step_memory(context, megabytes):
    for program in context.deployment.nodes.values():
        assert program.alive
        assert program.peak_bytes < megabytes * KB * KB, program.peak_bytes


@then("a later upload of {megabytes:d} MB is answered {status:d}")
def step_later_upload(context, megabytes, status):
    body = b"x" * (megabytes * MB)
    sending = context.deployment.send_request(
        FIRST, context.key, "/order/1", "later", body=body
    )
    answer = run(context, sending)
    assert answer.status == status, answer


@given("a budget of {budget:d} kB for bodies beyond {free:d} kB each")
def step_budget(context, budget, free):
    context.buffers = BodyBuffers(budget * KB, free * KB)


async def pieces(length, read):
    """Yields a body in pieces and counts those that were asked for."""
    for _ in range(length // PIECE_BYTES):
        read.append(PIECE_BYTES)
        yield b"x" * PIECE_BYTES


@when("two bodies of {length:d} kB without a length are read and kept")
def step_read_bodies(context, length):
    buffers, context.read = context.buffers, []

    async def go():
        with buffers.room() as first, buffers.room() as second, buffers.room() as small:
            whole = await read_bytes(pieces(length * KB, []), MB, first.grow_to)
            assert len(whole) == length * KB
            try:
                body = pieces(length * KB, context.read)
                await read_bytes(body, MB, second.grow_to)
                context.refused = False
            except NoBodyRoom:
                context.refused = True
            small.grow_to(FREE_BYTES)
            context.small_read = True

    context.left = buffers.left_bytes
    asyncio.run(go())


@then("the second one is refused before it is kept whole")
def step_second_refused(context):
    assert context.refused
    assert sum(context.read) < 80 * KB, context.read


@then("a small body is read meanwhile")
def step_small_read(context):
    assert context.small_read


def grow_until_refused(rooms):
    """Lets bodies grow by a piece each in turn until all are refused."""
    growing = dict.fromkeys(rooms, PIECE_BYTES)
    while growing:
        for room, length in list(growing.items()):
            try:
                room.grow_to(length)
                growing[room] = length + PIECE_BYTES
            except NoBodyRoom:
                del growing[room]


@when("two bodies grow in turn until both are refused, and keep what they have")
def step_grow_until_refused(context):
    context.left = context.buffers.left_bytes
    context.rooms = [context.buffers.room() for _ in range(2)]
    grow_until_refused(context.rooms)
    assert context.buffers.left_bytes < context.left / 2


@then("a body of {length:d} kB has room meanwhile")
def step_short_room(context, length):
    with context.buffers.room() as room:
        room.grow_to(length * KB)
    for room in context.rooms:
        room.give_back()


@then("the room of each body is free again after its end")
def step_room_free(context):
    assert context.buffers.left_bytes == context.left


@given('a settings file with the limits "{limits}"')
def step_settings(context, limits):
    before, _, _ = SETTINGS.partition("[limits]")
    text = before + "[limits]\n" + limits
    context.identity = parse_identity(
        text.format(
            name=FIRST,
            zone="perth-a",
            host="127.0.0.1",
            service="box-office",
            bootstrap="true",
            store="127.0.0.1:9000",
            grants="call",
            grace_s=6.0,
        )
    )


@then("the process has a memory of {count:d} bytes")
def step_memory_bytes(context, count):
    assert context.identity.memory_bytes == count, context.identity
