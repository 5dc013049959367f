"""Steps for keys that a process has released from its upstream."""

from __future__ import annotations

import asyncio
import time
from dataclasses import replace
from types import SimpleNamespace
from unittest import mock

from behave import given, then, when

from features.builders_grants import grant_terms, upstream_state
from features.builders_node import run
from rosemarydeal.core.clock import now
from rosemarydeal.core.fleet import KeyRange
from rosemarydeal.node.grants import CallGrantCarrier
from rosemarydeal.node.records import MEMBERS, RANGES
from rosemarydeal.platform.upstream import UpstreamCallFailed
from rosemarydeal.policy.keyranges import table as tables
from rosemarydeal.policy.keyranges.table_changes import TableChange

LATE_S = 1.0
UNREACHABLE_S = 60.0
# Later than the end of the scenario.
LOST_S = 60.0
RESUMES_AFTER_S = 0.2
# In place of the time after which unreachable members are removed.
REMOVE_AFTER_S = 1.0
REMOVE_AFTER = "rosemarydeal.node.membership.REMOVE_AFTER_S"
REMOVAL_CHECK_S = 2.4
TAKEOVER_S = 20.0
DOWN_S = 0.3
UNANNOUNCED_S = 0.5
# Covers the restore of the table and the end of the grants that were made before.
RESTORE_S = 6.0
KEYS = KeyRange(0, 9, "vm-a", "i-1@1", 1)
# By how much the clock of an upstream may run slow.
CLOCK_DRIFT = 0.02


@when(
    "the process of vm-b is closed between the release of its keys"
    " and the write of their owners"
)
def step_close_in_handover(context):
    async def go():
        deployment = context.deployment
        endpoint = deployment.endpoints["vm-b"]
        sample = [key for key in deployment.sample() if endpoint.held(key)]
        assert sample
        deployment.store.rejects_writes = True
        endpoint.state = "draining"
        await deployment.wait(
            lambda: not any(endpoint.held(key) for key in sample), 6.0
        )
        await deployment.nodes.pop("vm-b").close()
        context.regranted = []
        ends_at = asyncio.get_running_loop().time() + LATE_S
        while asyncio.get_running_loop().time() < ends_at:
            context.regranted += [key for key in sample if endpoint.held(key)]
            await asyncio.sleep(0.01)
        deployment.store.rejects_writes = False

    run(context, go())


@then("the upstream of vm-b holds none of the released keys afterwards")
def step_not_regranted(context):
    assert not context.regranted, sorted(set(context.regranted))


class SilentUpstream:
    """A client whose upstream applies grants just as their calls are given up.

    Args:
        unanswered: How many calls get no answer.
    """

    def __init__(self, unanswered=1_000):
        self.applied_at = 0.0
        self._unanswered = unanswered

    async def grant(self, keys, instance, hold_s, timeout_s):
        hold_s()
        self._unanswered -= 1
        if self._unanswered < 0:
            return
        await asyncio.sleep(timeout_s)
        self.applied_at = now()
        raise UpstreamCallFailed("no answer")

    async def release(self, keys, timeout_s):
        return ""


@given("an upstream that answers no grant, and applies it when the call is given up")
def step_silent(context):
    context.upstream = SilentUpstream()


@given(
    "an upstream that does not answer its first grant,"
    " and applies it when the call is given up"
)
def step_first_silent(context):
    context.upstream = SilentUpstream(unanswered=1)


def release_from(context, hold_s, make_calls):
    """Makes calls of a carrier whose last one is a release; notes when it ends."""

    async def go():
        watch = SimpleNamespace(state=upstream_state(KEYS))
        carrier = CallGrantCarrier(
            context.upstream, watch, 0.0, lambda: None, lambda: None
        )
        await make_calls(carrier)
        context.latest_end = context.upstream.applied_at + hold_s * (1 + CLOCK_DRIFT)
        context.released_at = now()
        await carrier.close()

    asyncio.run(go())


@when("a range is granted to it for {hold_s:d} second and then released")
def step_grant_and_release(context, hold_s):
    async def make_calls(carrier):
        carrier.update([KEYS], grant_terms(float(hold_s)))
        await carrier.release(KEYS)

    release_from(context, hold_s, make_calls)


@when("the range is split during that call, and its second part is released")
def step_split_and_release(context):
    parts = [replace(KEYS, last=4), replace(KEYS, first=5)]

    async def make_calls(carrier):
        carrier.update([KEYS], grant_terms(LATE_S))
        await asyncio.sleep(0.05)
        carrier.update(parts, grant_terms(LATE_S))
        release = asyncio.create_task(carrier.release(parts[1]))
        carrier.update(parts[:1], grant_terms(LATE_S))
        await release

    release_from(context, LATE_S, make_calls)


@then("the release takes until the latest end of the grant by the upstream's clock")
def step_waited_out(context):
    early_s = context.latest_end - context.released_at
    assert early_s <= 0, early_s


@when("vm-b retires with its upstream, and vm-a assigns keys to it afterwards")
def step_assigned_after_retiring(context):
    async def go():
        deployment = context.deployment
        endpoint, node = deployment.endpoints["vm-b"], deployment.nodes.pop("vm-b")
        other = deployment.nodes["vm-a"]
        member = other._records.members["vm-b"]
        endpoint.state = "draining"
        await deployment.wait(lambda: not node._ownership.owned, 6.0)
        remove = node._membership.retire

        async def remove_and_assign():
            await remove()
            context.retired_at = time.monotonic()
            base = other._records.table_base("box-office")
            keys = next(k for k in base.table.ranges if k.node == "vm-a")
            changed = tables.move_ranges(base.table, [(keys, member, "")], "writer")
            await other._ownership._table_writer.write(
                TableChange(base, changed, "hand-over")
            )

        node._membership.retire = remove_and_assign
        await node.shut_down()
        context.taken = [
            taken for taken in endpoint.taken if taken[0] > context.retired_at
        ]

    run(context, go())


@then("the upstream of vm-b has taken no keys since")
def step_none_taken(context):
    assert not context.taken, context.taken


@when("vm-a drains while the store rejects writes, and vm-b ends before they succeed")
def step_target_ends(context):
    async def go():
        deployment = context.deployment
        node = deployment.nodes["vm-a"]
        context.released = [
            key for key in deployment.sample() if deployment.holders(key) == ["vm-a"]
        ]
        deployment.store.rejects_writes = True
        deployment.endpoints["vm-a"].state = "draining"
        await deployment.wait(
            lambda: not any(map(deployment.endpoints["vm-a"].held, context.released)),
            6.0,
        )
        await deployment.nodes.pop("vm-b").close()
        await deployment.endpoints.pop("vm-b").stop()
        await deployment.wait(
            lambda: node._links.unreachable_since("vm-b") is not None, 6.0
        )
        # A write that was begun before still names vm-b.
        await asyncio.sleep(LATE_S)
        deployment.store.rejects_writes = False

    run(context, go())


@then("the keys that vm-a released are assigned to vm-c within {seconds:d} seconds")
def step_assigned_elsewhere(context, seconds):
    deployment = context.deployment
    records = deployment.nodes["vm-c"]._records

    def assigned():
        table = records.table("box-office")
        owners = {tables.lookup(table, key).node for key in context.released}
        return owners == {"vm-c"}

    assert context.released
    run(context, deployment.wait(assigned, seconds))


@when(
    "the upstream of vm-b resumes while the write that gives its keys away"
    " has no {result}"
)
def step_resumes_in_write(context, result):
    late_s = {"answer": LATE_S, "effect": LOST_S}[result]

    async def go():
        deployment = context.deployment
        node, endpoint = deployment.nodes["vm-b"], deployment.endpoints["vm-b"]
        ownership, links, store = node._ownership, node._links, deployment.store
        await deployment.wait(lambda: not ownership._writing)
        # Nobody takes the keys before the upstream has ceased to hold them.
        unreachable_since = links.unreachable_since
        loop_now = asyncio.get_running_loop().time()
        links.unreachable_since = lambda _: loop_now - UNREACHABLE_S
        endpoint.fall_silent()
        await deployment.wait(lambda: not node._watch.state.alive)
        await deployment.wait(lambda: not ownership.may_hold_silently)
        # Peers that call the store instead have no answer from it either.
        store.late_writes_s[RANGES] = late_s
        links.relay_store_call = no_reply
        links.unreachable_since = unreachable_since
        await deployment.wait(lambda: not store.late_writes_s)
        endpoint.pause_announcing(RESUMES_AFTER_S)
        await asyncio.sleep(2 * LATE_S)

    run(context, go())


async def no_reply(*_):
    return None


@when("vm-a can't reach vm-b for as long as members are kept")
def step_unreachable_for_long(context):
    async def go():
        links = context.deployment.nodes["vm-a"]._links
        unreachable_since = links.unreachable_since
        since = asyncio.get_running_loop().time()

        def unreachable(node):
            return since if node == "vm-b" else unreachable_since(node)

        links.unreachable_since = unreachable
        await asyncio.sleep(REMOVE_AFTER_S + 2 * REMOVAL_CHECK_S)
        links.unreachable_since = unreachable_since

    with mock.patch(REMOVE_AFTER, REMOVE_AFTER_S):
        run(context, go())


@then("the member of vm-b was never removed")
def step_never_removed(context):
    removed = [
        event["object"]["metadata"]["name"]
        for _, kind, event in context.deployment.store.events
        if kind == MEMBERS and event["deleted"]
    ]
    assert "vm-b" not in removed, removed


@when("vm-b ends without notice, and its keys are taken over")
def step_ended(context):
    async def go():
        deployment = context.deployment
        await deployment.nodes.pop("vm-b").close()
        await deployment.endpoints.pop("vm-b").stop()
        await deployment.wait(
            lambda: all(map(deployment.serves, deployment.sample())), TAKEOVER_S
        )

    run(context, go())


@then("vm-a removes the member of vm-b")
def step_member_removed(context):
    deployment = context.deployment
    with mock.patch(REMOVE_AFTER, REMOVE_AFTER_S):
        run(
            context,
            deployment.wait(
                lambda: (MEMBERS, "vm-b") not in deployment.store.objects,
                2 * REMOVAL_CHECK_S,
            ),
        )


@when(
    "the upstream of vm-b refuses a grant,"
    " and listens again before it announces its next life"
)
def step_next_life(context):
    async def go():
        deployment = context.deployment
        endpoint = deployment.endpoints["vm-b"]
        grants = deployment.nodes["vm-b"]._ownership._grants
        endpoint.fall_silent()
        await endpoint.stop_listening()
        endpoint.holds = []
        for grant in grants._grants.values():
            grant.renew_at = 0.0
        await asyncio.sleep(DOWN_S)
        context.former = {token for _, _, _, token in endpoint.taken}
        endpoint.taken.clear()
        await endpoint.listen()
        await asyncio.sleep(UNANNOUNCED_S)
        endpoint.restart()

    run(context, go())


@then("its next life has taken no keys under a token of the former one")
def step_new_tokens(context):
    deployment = context.deployment
    endpoint = deployment.endpoints["vm-b"]
    run(context, deployment.wait(lambda: endpoint.taken, 3.0))
    tokens = {token for _, _, _, token in endpoint.taken}
    assert context.former and not tokens & context.former, tokens


@when("a write that gives keys of vm-a away is carried out without an answer")
def step_carried_out(context):
    async def go():
        deployment = context.deployment
        node, endpoint = deployment.nodes["vm-a"], deployment.endpoints["vm-a"]
        ownership, links, store = node._ownership, node._links, deployment.store
        await deployment.wait(lambda: not ownership._writing)
        unreachable_since = links.unreachable_since
        loop_now = asyncio.get_running_loop().time()
        links.unreachable_since = lambda _: loop_now - UNREACHABLE_S
        endpoint.fall_silent()
        await deployment.wait(lambda: not node._watch.state.alive)
        await deployment.wait(lambda: not ownership.may_hold_silently)
        store.take_copy()
        context.given_away = ownership.owned[0].first
        store.late_writes_s[RANGES] = RESUMES_AFTER_S
        links.relay_store_call = no_reply
        links.unreachable_since = unreachable_since
        await deployment.wait(lambda: not store.late_writes_s)
        context.missing = miss_tables(node._records)
        endpoint.pause_announcing(RESUMES_AFTER_S)
        await deployment.wait(lambda: deployment.holders(context.given_away))

    run(context, go())


def miss_tables(records):
    """Makes records miss the tables of this era; returns what ends that."""
    apply, known = records.apply, records.table_base("box-office")

    def apply_others(stored, *args, **kwargs):
        missed = stored.kind == RANGES and stored.revision.era == known.era
        return False if missed else apply(stored, *args, **kwargs)

    records.apply = apply_others

    def end():
        records.apply = apply

    return end


@when("{lost}, so that vm-a never learns of that write")
def step_write_lost(context, lost):
    async def go():
        store = context.deployment.store
        if lost == "the store is restored":
            store.restore()
        else:
            context.missing()
            store.put(RANGES, "box-office", {"service": "box-office", "odd": True})
        await asyncio.sleep(RESTORE_S)

    run(context, go())
