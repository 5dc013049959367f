"""Steps for keys that are taken from owners without a release."""

from __future__ import annotations

import asyncio
from dataclasses import replace
from unittest import mock

from behave import then, when

from features.builders_fleet_types import an_identity
from features.builders_node import load, run
from features.builders_rate_limit import captured_logs
from rosemarydeal.core import Address
from rosemarydeal.core.clock import now
from rosemarydeal.node.process import NodeProcess
from rosemarydeal.node.records import MEMBERS

TAKEN_S = 20.0
ANSWERED_S = 6.0
LOAD_S = 0.3
# Time for the others to take the keys, were the owner taken for ended.
OBSERVED_S = 4.0
LATE_S = 0.5
CUT_MS = 700


async def taken(context, lines):
    """Waits until a table was written that takes keys on a proof; returns its line."""

    def written():
        return [e for e in lines if e["event"] == "table_written" and e.get("proofs")]

    await context.deployment.wait(written, TAKEN_S)
    return written()[0]


@when("keys are taken as the upstream of vm-b crashes")
def step_taken_crash(context):
    async def go():
        endpoint = context.deployment.endpoints.pop("vm-b")
        context.source = context.deployment.nodes["vm-b"]._watch.state.incarnation
        with captured_logs() as lines:
            await endpoint.stop()
            await load(context.deployment, LOAD_S)
            context.line = await taken(context, lines)

    run(context, go())


@when("keys are taken as another VM joins at the address of vm-b")
def step_taken_address(context):
    async def go():
        deployment = context.deployment
        with captured_logs() as lines:
            await deployment.endpoints.pop("vm-b").stop()
            await deployment.nodes.pop("vm-b").close()
            await deployment.replace("vm-b", "vm-x")
            context.line = await taken(context, lines)
        context.source = "vm-x"

    run(context, go())


@when("keys are taken as the process and the upstream of vm-b crash")
def step_taken_lease(context):
    async def go():
        deployment = context.deployment
        with captured_logs() as lines:
            await deployment.endpoints.pop("vm-b").stop()
            await deployment.nodes.pop("vm-b").close()
            context.line = await taken(context, lines)
        suspected = [e for e in lines if e.get("reason") == "owner-unresponsive"]
        assert suspected, lines
        context.source = None

    run(context, go())


@then(
    'the line "table_written" names vm-b, the basis "{basis}", its age and "{source}"'
)
def step_names_basis(context, basis, source):
    (proof,) = context.line["proofs"]
    assert (proof["member"], proof["basis"]) == ("vm-b", basis), proof
    assert 0.0 <= proof["age_s"] < TAKEN_S, proof
    expected = (context.source,) if context.source else ("vm-a", "vm-c")
    assert proof["source"] in expected, (proof, source)


@when(
    "the upstream of vm-b closes its listening socket,"
    " and works on a request for {seconds:d} s"
)
def step_closes_listener(context, seconds):
    async def go():
        deployment = context.deployment
        endpoint = deployment.endpoints["vm-b"]
        key = next(key for key in deployment.sample() if endpoint.held(key))
        endpoint.work_s = seconds
        working = asyncio.create_task(deployment.send_request("vm-b", key))
        await deployment.wait(lambda: key in endpoint._running_keys)
        endpoint.fall_silent()
        endpoint._server._listener.close()
        others = [deployment.send_request("vm-b", key) for _ in range(6)]
        await asyncio.gather(*others, return_exceptions=True)
        context.answer = await asyncio.wait_for(working, ANSWERED_S)
        # The process of this upstream ends with its last work.
        await deployment.endpoints.pop("vm-b").stop()

    run(context, go())


@when(
    "the upstream of vm-b closes its listening socket,"
    " and its only request is cut at its deadline"
)
def step_cut_behind_closed_listener(context):
    async def go():
        deployment = context.deployment
        endpoint, node = deployment.endpoints["vm-b"], deployment.nodes["vm-b"]
        key = next(key for key in deployment.sample() if endpoint.held(key))
        endpoint.work_s = OBSERVED_S
        cut = asyncio.create_task(
            deployment.send_request("vm-b", key, time_left_ms=CUT_MS)
        )
        await deployment.wait(lambda: key in endpoint._running_keys)
        endpoint.fall_silent()
        endpoint._server._listener.close()
        # The connection of the calls is idle, and an upstream that ends closes it.
        await node._client._calls.close()
        await asyncio.gather(cut, return_exceptions=True)
        await deployment.send_request("vm-b", key)
        await asyncio.sleep(OBSERVED_S)

    run(context, go())


@then("that request is answered")
def step_answered(context):
    assert context.answer.status == 200, context.answer


@when(
    "the member of vm-b is removed, while its upstream drains"
    " and it can't write it again for {seconds:d} s"
)
def step_member_removed_draining(context, seconds):
    async def go():
        deployment = context.deployment
        node, endpoint = deployment.nodes["vm-b"], deployment.endpoints["vm-b"]
        other = deployment.nodes["vm-a"]
        endpoint.releases_answered.clear()
        endpoint.state = "draining"
        await deployment.wait(lambda: not other._records.members["vm-b"].accepting)
        with mock.patch.object(node._membership, "_write", rejected):
            deployment.store.remove(MEMBERS, "vm-b")
            await asyncio.sleep(seconds)
        endpoint.releases_answered.set()

    async def rejected(_member):
        await asyncio.sleep(LATE_S)
        node = context.deployment.nodes["vm-b"]
        node._membership.publish()

    run(context, go())


@when(
    "the process of vm-b starts again under another name,"
    " beside the same upstream, which drains"
)
def step_renamed(context):
    async def go():
        deployment = context.deployment
        await deployment.nodes.pop("vm-b").close()
        deployment.endpoints["vm-b"].state = "draining"
        deployment._names[deployment._names.index("vm-b")] = "vm-x"
        deployment.hosts["vm-x"] = deployment.hosts.pop("vm-b")
        endpoint = deployment.endpoints["vm-b"]
        await deployment.start_node("vm-x")
        await asyncio.sleep(OBSERVED_S)
        # Until its last grant has run out.
        await deployment.wait(lambda: not any(map(endpoint.held, deployment.sample())))

    run(context, go())


@when("a process starts with a longest hold of {seconds:g} s in its settings")
def step_low_hold(context, seconds):
    async def go():
        identity = an_identity("vm-a", "127.0.0.1", Address("127.0.0.1", 1))
        bounds = replace(identity.bounds, max_hold_s=seconds)
        context.started_at = now()
        context.ownership = NodeProcess(replace(identity, bounds=bounds))._ownership

    asyncio.run(go())


@then("its upstream may hold keys of a predecessor for {seconds:d} s")
def step_predecessor(context, seconds):
    later = context.started_at + seconds
    with mock.patch("rosemarydeal.node.grants.now", lambda: later):
        assert context.ownership._grants.may_hold
