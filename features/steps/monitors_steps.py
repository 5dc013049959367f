"""Steps for the peers that a process monitors."""

from __future__ import annotations

import asyncio
import time
from unittest.mock import MagicMock

from behave import given, then, when

from features.builders_addresses import a_loopback_host
from features.builders_fleet_types import a_member, a_routed_request
from features.builders_node import run
from rosemarydeal.core import Address
from rosemarydeal.node.frames import FrameConnection
from rosemarydeal.node.links import Links
from rosemarydeal.node.messages import LoadReport, Ping, Pong
from rosemarydeal.policy.keyranges.proposals import SUSPECT_AFTER_S
from rosemarydeal.policy.membership.monitors import monitored_peers

HOST = a_loopback_host(201)
IDLE = LoadReport(0, 0, 1, 0, 100)
PEER_PORT = 9101
MONITOR_PORT = 9102
OTHER_PORT = 9103


@given("a fleet of {count:d} processes")
def step_fleet(context, count):
    context.nodes = [f"vm-{number:04d}" for number in range(count)]


@given("a fleet of {count:d} processes in {zones:d} zones")
def step_fleet_zones(context, count, zones):
    context.nodes = sorted(
        f"side-{number % zones}-{number:04d}" for number in range(count)
    )


def monitored_by_node(context):
    return {node: monitored_peers(node, context.nodes) for node in context.nodes}


@then("every process monitors {count:d} others")
def step_monitors(context, count):
    for node, peers in monitored_by_node(context).items():
        assert len(peers) == count and node not in peers, (node, peers)


@then("every process is monitored by {count:d} others")
def step_monitored(context, count):
    monitored = [
        peer for peers in monitored_by_node(context).values() for peer in peers
    ]
    for node in context.nodes:
        assert monitored.count(node) == count, (node, monitored.count(node))


@then("no loss of a zone leaves a process of another zone without a monitor")
def step_zone_lost(context):
    pairs = monitored_by_node(context).items()
    for lost in {node.split("-")[1] for node in context.nodes}:
        left = {
            peer
            for node, peers in pairs
            if node.split("-")[1] != lost
            for peer in peers
        }
        assert {n for n in context.nodes if n.split("-")[1] != lost} <= left


async def start_peer(context):
    """Starts a peer that answers pings or, like a paused process, nothing."""

    def on_message(connection, message):
        if isinstance(message, Ping):
            context.pings += 1
            if context.answering:
                connection.send(Pong((), IDLE))

    def connection():
        return FrameConnection(
            on_message, lambda _: None, lambda _: None, lambda _m, _n: None
        )

    loop = asyncio.get_running_loop()
    return await loop.create_server(connection, HOST, PEER_PORT)


async def start_links(node, port, members):
    hooks = MagicMock()
    hooks.crash_suspects.return_value = None
    hooks.known_revisions = lambda: ()
    hooks.pong = lambda: Pong((), IDLE)
    links = Links(node, f"{node}-1", hooks)
    await links.start(Address(HOST, port))
    links.set_members(members)
    return links


def start(context, *names):
    """Starts links of the named processes; only the one called a monitors the peer."""
    context.loop = asyncio.new_event_loop()
    context.pings = 0
    context.answering = True
    ports = {"peer": PEER_PORT, "a": MONITOR_PORT, "b": OTHER_PORT}
    members = {node: a_member_at(node, ports[node]) for node in ("peer", *names)}

    async def start_all():
        context.server = await start_peer(context)
        context.links = {
            node: await start_links(node, ports[node], members) for node in names
        }
        for node, links in context.links.items():
            for link in links._links.values():
                link.monitored = node == "a" or link.node != "peer"
        # The links are open.
        await asyncio.sleep(0.3)

    run(context, start_all())
    context.add_cleanup(end, context)


def a_member_at(node, port):
    member = a_member(node)
    return type(member)(
        **{name: getattr(member, name) for name in member.__slots__}
        | {"peer": Address(HOST, port)}
    )


def end(context):
    async def close_all():
        for links in context.links.values():
            await links.close()
        context.server.close()
        await asyncio.sleep(0.05)

    run(context, close_all())
    context.loop.close()


@given("links from a monitor and from another process to a peer")
def step_monitor_and_other(context):
    start(context, "a", "b")


@when("the peer stops answering for {seconds:d} seconds")
def step_silent(context, seconds):
    context.answering = False
    run(context, asyncio.sleep(seconds))


@when("the peer answers again for {seconds:d} seconds")
def step_answers_again(context, seconds):
    context.answering = True
    run(context, asyncio.sleep(seconds))


@then("both processes have found the peer unreachable for long enough to suspect it")
def step_unreachable_for(context):
    loop_now = context.loop.time()
    since = {n: links.unreachable_since("peer") for n, links in context.links.items()}
    unreachable_s = {n: loop_now - (s or loop_now) for n, s in since.items()}
    assert min(unreachable_s.values()) >= SUSPECT_AFTER_S, unreachable_s


@then("both processes have found the peer reachable")
def step_both_reachable(context):
    for node, links in context.links.items():
        assert links.is_up("peer"), node
        assert links.unreachable_since("peer") is None, node


@given("links from another process alone to a peer that answers")
def step_alone(context):
    start(context, "b")


@given("links from a monitor to a peer that answers")
def step_answers(context):
    start(context, "a")


@when(
    "a request waits on the link for {seconds:f} seconds, as the peer answers nothing"
)
def step_request_waits(context, seconds):
    context.answering = False
    context.hellos = context.links["b"].sent["Hello"]
    request = a_routed_request(time_left_s=seconds)
    run(context, context.links["b"].run_on_peer("peer", request))


@then("the link is still open, and was tested over another connection")
def step_still_open(context):
    links = context.links["b"]
    assert links.is_up("peer") and not links.found_silent
    # One test takes 0.5 s, and the next one begins a second later.
    assert 1 <= links.sent["Hello"] - context.hellos <= 2, links.sent


@when("{seconds:d} seconds pass for the links")
def step_links_pass(context, seconds):
    run(context, asyncio.sleep(seconds))


@when("the process of the monitor is paused for {seconds:d} seconds")
def step_paused(context, seconds):
    async def pause():
        await asyncio.sleep(0.2)
        time.sleep(seconds)  # noqa: ASYNC251 - the pause is what is tested
        await asyncio.sleep(0.4)

    run(context, pause())


@then("the monitor has found the peer unreachable")
def step_monitor_found(context):
    assert context.links["a"].sent["PeerUnresponsive"], context.links["a"].sent


@then("the other process has found the peer unreachable")
def step_other_found(context):
    # It has opened a second link to the peer, and one to the monitor.
    assert context.links["b"].sent["Hello"] > 2, context.links["b"].sent


@then("it has sent at most {count:d} pings")
def step_pings(context, count):
    assert 1 <= context.pings <= count, context.pings


@then("the monitor has found the peer reachable")
def step_reachable(context):
    links = context.links["a"]
    assert links.is_up("peer")
    assert not links.sent["PeerUnresponsive"], links.sent


@when("vm-a pings vm-b rarely and a request of vm-a is answered by vm-b")
def step_answer_load(context):
    deployment = context.deployment
    links = deployment.nodes["vm-a"]._links
    links._links["vm-b"].monitored = False

    async def ask():
        await asyncio.sleep(1.0)
        context.sent_at = context.loop.time()
        for key in deployment.sample():
            await deployment.send_request("vm-a", key)

    run(context, ask())


@then("vm-a has the load that vm-b reported with the answer")
def step_has_load(context):
    state = context.deployment.nodes["vm-a"]._links.peer_state("vm-b")
    assert state.reported_at > context.sent_at, state
