"""Steps for a store that is restored from a copy."""

from __future__ import annotations

import asyncio
import json
from contextlib import ExitStack
from dataclasses import replace
from unittest import mock

from behave import given, then, when

from features.builders_fleet_types import SERVICE
from features.builders_node import a_configuration, load, run, start_deployment
from features.restored_world import DEFAULT_PACE, KEYS, Pace, RestoredWorld
from rosemarydeal.core.clock import now
from rosemarydeal.core.fleet import GrantCarrier
from rosemarydeal.node.contents import encode_table, table_name
from rosemarydeal.node.records import RANGES
from rosemarydeal.policy.keyranges import proposals
from rosemarydeal.policy.keyranges.table_changes import TableChange, WriteResult

DOWN_S = 0.4
SETTLE_S = 3.0
# A failed request reveals a crash sooner than missed heartbeats.
LOAD_S = 0.3
# Changes reach all processes within this time.
SPREAD_S = 0.6
ZONE_OUT_S = 2.0
# Restores, restarts and cuts meet, and writes of several eras are still under way.
OFTEN = Pace(
    step_s=0.5, restore_part=0.03, restart_part=0.03, cut_part=0.04, late=(0.3, 0.7)
)
DAMAGED = Pace(damaged_part=0.01)
REMOVED = Pace(removed_part=0.01)
REMOVED_OFTEN = Pace(removed_part=0.03, late=(0.4, 0.5))
REVERTED = Pace(reverted_part=0.01, restart_part=0.0)
# Processes that restart, or are cut off, learn nothing of the change before.
REVERTED_OFTEN = Pace(reverted_part=0.01, restore_part=0.0, late=(0.0, 0.0))
# Steps so long that the store drops changes that some processes have missed.
REVERTED_SLOW = {
    "in steps of 2 s": Pace(
        reverted_part=0.02, restore_part=0.0, late=(0.0, 0.0), step_s=2.0
    ),
    "in steps of 1 s, with late writes": Pace(
        reverted_part=0.02, restore_part=0.0, step_s=1.0
    ),
}
# The lost writes are more than those after the restore.
LOST_VERSION = 12


@given(
    "a deployment of {count:d} VMs whose heartbeats carry the grants,"
    " of whose store a copy is taken"
)
def step_heartbeat_copy(context, count):
    start_deployment(context, count, GrantCarrier.HEARTBEAT)
    context.deployment.store.take_copy()


@given("a deployment of {count:d} VMs, of whose store a copy is taken")
def step_copy(context, count):
    start_deployment(context, count)
    context.deployment.store.take_copy()


async def restore(deployment):
    """Restores the store after it was unavailable for a moment."""
    store = deployment.store
    store.turns_away.add("*")
    await asyncio.sleep(DOWN_S)
    store.restore()
    store.turns_away.clear()


@when("the operator moves the route to /b/, and the store is restored")
def step_config_restore(context):
    async def go():
        store = context.deployment.store
        for version in range(2, LOST_VERSION + 1):
            store.put("config", "main", a_configuration(version, prefix="/b/"))
        await asyncio.sleep(SPREAD_S)
        await restore(context.deployment)
        store.calls.clear()

    run(context, go())


async def serves(deployment, name, path):
    return (await deployment.send_request(name, 1, f"{path}1")).status == 200


@then("each VM serves {new} and no longer {old}")
def step_serves_now(context, new, old):
    async def go():
        for name in context.deployment.nodes:
            assert await serves(context.deployment, name, new), name
            assert not await serves(context.deployment, name, old), name

    run(context, go())


@when("the operator writes the route /b/ again, and then moves it to /c/")
def step_written_again(context):
    async def go():
        store = context.deployment.store
        await asyncio.sleep(SPREAD_S)
        store.put("config", "main", a_configuration(LOST_VERSION, prefix="/b/"))
        await asyncio.sleep(SPREAD_S)
        store.put("config", "main", a_configuration(LOST_VERSION + 1, prefix="/c/"))

    run(context, go())


@then("{seconds:d} seconds later, each VM serves {new} and no longer {old}")
def step_serves_later(context, seconds, new, old):
    run(context, asyncio.sleep(seconds))
    step_serves_now(context, new, old)


@then("the store gets at most {count:d} calls in the next {seconds:d} seconds")
def step_calls(context, count, seconds):
    run(context, asyncio.sleep(seconds))
    calls = len(context.deployment.store.calls)
    assert calls <= count, calls


async def move_keys(deployment):
    """Has the upstream of vm-b leave, until it holds no keys."""
    endpoint = deployment.endpoints["vm-b"]
    endpoint.state = "draining"
    sample = deployment.sample()
    await deployment.wait(lambda: not any(endpoint.held(key) for key in sample), 4.0)
    await deployment.wait(lambda: all(deployment.serves(key) for key in sample), 4.0)


@when("the keys of vm-b move to the others, and the store is restored")
def step_keys_move(context):
    async def go():
        await move_keys(context.deployment)
        await restore(context.deployment)

    run(context, go())


@when("vm-a misses the result of its hand-over, and the store is restored")
def step_missed_result(context):
    async def go():
        deployment = context.deployment
        node, endpoint = deployment.nodes["vm-a"], deployment.endpoints["vm-b"]
        ownership, records = node._ownership, node._records
        await deployment.wait(lambda: not ownership._writing)
        era, apply = deployment.store.era, records.apply

        def apply_unless_missed(stored, *details, **named_details):
            missed = stored.kind == RANGES and stored.revision.era == era
            return not missed and apply(stored, *details, **named_details)

        records.apply = apply_unless_missed
        deployment.store.lose_answers = 1
        keys = ownership.owned[0]
        ownership._start_hand_over(((keys, records.members["vm-b"]),))
        await deployment.wait(lambda: endpoint.held(keys.first))
        await restore(deployment)
        await asyncio.sleep(SETTLE_S)

    run(context, go())


@when("the store is restored, and a write of the former era is carried out then")
def step_late_write(context):
    async def go():
        deployment, store = context.deployment, context.deployment.store
        await deployment.wait(lambda: deployment.nodes["vm-a"]._ownership.owned)
        former = store.objects[RANGES, SERVICE]["spec"]
        await restore(deployment)
        await deployment.wait(lambda: len(current_tables(deployment)) == 1, SETTLE_S)
        (context.base,) = current_tables(deployment)
        # Its condition is the revision that was given out again.
        revision = store.objects[RANGES, SERVICE]["metadata"]["rev"]
        body = {"metadata": {"rev": revision}, "spec": former | {"writer": "late"}}
        written = store._write("PUT", RANGES, SERVICE, {}, json.dumps(body))
        assert written.status == 200, written
        await asyncio.sleep(SPREAD_S)

    run(context, go())


def current_tables(deployment):
    """Returns the tables that the VMs know, if each knows one of the present era."""
    bases = {node._records.table_base(SERVICE) for node in deployment.nodes.values()}
    in_force = all(base.current and base.table for base in bases)
    restored = all(base.era == deployment.store.era for base in bases)
    return bases if in_force and restored else set()


@then("all VMs still know the table that was restored")
def step_same_restored(context):
    (base,) = current_tables(context.deployment)
    assert base.table.top_token == context.base.table.top_token, base
    assert base.revision == context.base.revision, base


@when("the upstream of vm-c crashes")
def step_other_crash(context):
    run(context, context.deployment.endpoints.pop("vm-c").stop())
    run(context, load(context.deployment, LOAD_S))


@when(
    "the store is restored, and the upstream of vm-c {leaves}"
    " before the tables are listed"
)
def step_leaves_before_listing(context, leaves):
    async def go():
        deployment = context.deployment
        node, endpoint = deployment.nodes["vm-c"], deployment.endpoints["vm-c"]
        ownership = node._ownership
        await deployment.wait(lambda: not ownership._writing)
        listed = asyncio.Event()
        with ExitStack() as stack:
            for other in deployment.nodes.values():
                stack.enter_context(listed_later(other.store, RANGES, listed))
            await restore(deployment)
            await deployment.wait(lambda: node.store.era == deployment.store.era)
            assert node._records.era(RANGES) < deployment.store.era
            loading = None
            if leaves == "crashes":
                await deployment.endpoints.pop("vm-c").stop()
                loading = asyncio.create_task(load(deployment, LOAD_S))
            else:
                endpoint.state = "draining"
            await deployment.wait(lambda: not node._watch.state.accepting)
            # Its attempt to give the keys away shows that the store was restored.
            await deployment.wait(
                lambda: node._records.era(RANGES) == deployment.store.era
            )
            listed.set()
            if loading is not None:
                await loading

    run(context, go())


@then("the other VMs serve all keys within {seconds:d} seconds")
def step_others_serve(context, seconds):
    async def go():
        deployment = context.deployment
        sample = deployment.sample()

        def served_by_others():
            holders = [deployment.holders(key) for key in sample]
            return all(len(names) == 1 and "vm-c" not in names for names in holders)

        await deployment.wait(served_by_others, seconds)
        for key in sample:
            answer = await deployment.send_request("vm-a", key)
            assert answer.status == 200, (key, answer)

    run(context, go())


def listed_later(store, kind, event):
    """Holds back a client's listings of a kind until an event."""
    list_now = store.list

    async def list_later(listed_kind):
        if listed_kind == kind:
            await event.wait()
        return await list_now(listed_kind)

    return mock.patch.object(store, "list", list_later)


@when("the keys of vm-b move to the others, and the store is restored as vm-b restarts")
def step_keys_move_restart(context):
    async def go():
        deployment = context.deployment
        await move_keys(deployment)
        endpoint = deployment.endpoints["vm-b"]
        await deployment.nodes["vm-b"].close()
        await restore(deployment)
        endpoint.state = "ready"
        endpoint.restart()
        await deployment.start_node("vm-b")

    run(context, go())


@then("each upstream took keys with tokens above those of all others")
def step_tokens(context):
    taken = sorted(
        (moment, first, last, token, name)
        for name, endpoint in context.deployment.endpoints.items()
        for moment, first, last, token in endpoint.taken
    )
    for key in context.deployment.sample():
        highest, holder = 0, None
        for _, first, last, token, name in taken:
            if not first <= key <= last:
                continue
            assert name == holder or token > highest, (key, token, name, highest)
            highest, holder = max(highest, token), name


@when(
    "a peer restores the table before vm-a does so in a hand-over, as its upstream ends"
)
def step_peer_restores(context):
    async def go():
        deployment = context.deployment
        store, node = deployment.store, deployment.nodes["vm-a"]
        ownership = node._ownership
        owners = [other._ownership for other in deployment.nodes.values()]
        await deployment.wait(lambda: not any(o._writing for o in owners))
        for owner in owners:
            owner._writing = True
        store.take_copy()
        await restore(deployment)
        await deployment.wait(lambda: ownership._is_outdated(), SETTLE_S)
        context.reasons = []

        async def write(change):
            context.reasons.append(change.reason)
            if len(context.reasons) == 1:
                spec = json.loads(encode_table(change.table))
                store.put(RANGES, table_name(SERVICE, store.era), spec)
                await deployment.endpoints.pop("vm-a").stop()
                node._watch.report_connect_failed(node._watch.state.incarnation)
                await deployment.wait(lambda: not ownership._is_outdated(), SETTLE_S)
            return WriteResult.NOT_WRITTEN

        with mock.patch.object(ownership._table_writer, "write", write):
            await deployment.wait(lambda: may_restore(ownership), SETTLE_S)
            await ownership._hand_overs._write_restored(ownership._table_base())

    run(context, go())


def may_restore(ownership):
    """Returns whether it is this process's turn to restore the table."""
    view = ownership._view(now())
    return proposals.propose(ownership.table, view) is not None


@then("vm-a writes nothing else as a part of the restore")
def step_restored_only(context):
    assert context.reasons == ["store-restored"], context.reasons


@when("vm-a writes a table as the store is restored from a copy {copy}")
def step_write_meets_restore(context, copy):
    async def go():
        deployment = context.deployment
        store, node = deployment.store, deployment.nodes["vm-a"]
        owners = [other._ownership for other in deployment.nodes.values()]
        await deployment.wait(lambda: not any(o._writing for o in owners))
        for owner in owners:
            owner._writing = True
        table = node._records.table(SERVICE)
        if copy == "from before any table":
            del store.objects[RANGES, SERVICE]
        store.take_copy()
        if copy in ("from before any table", "from before the last table"):
            spec = json.loads(encode_table(replace(table, writer="last")))
            store.put(RANGES, SERVICE, spec)
            await deployment.wait(
                lambda: node._records.table(SERVICE).writer == "last", SETTLE_S
            )
        base = node._records.table_base(SERVICE)
        changed = replace(base.table, writer="test")
        store.restore()
        if copy == "that vm-a has heard of":
            await deployment.wait(lambda: node.store.era == store.era)
        writer = node._ownership._table_writer
        context.result = await writer.write(TableChange(base, changed, "test"))

    run(context, go())


@then("the write counts as {result}")
def step_write_result(context, result):
    expected = {"not written": WriteResult.NOT_WRITTEN, "unknown": WriteResult.UNKNOWN}
    assert context.result is expected[result], context.result


@when(
    "perth-b is taken out, the store is restored,"
    " and a second later it is taken out again"
)
def step_zone(context):
    async def go():
        deployment = context.deployment
        endpoint = deployment.endpoints["vm-b"]
        loop = asyncio.get_running_loop()
        out_at = loop.time()
        deployment.store.put("evacuations", "perth-b", {})
        await asyncio.sleep(ZONE_OUT_S)
        assert not any(endpoint.held(key) for key in deployment.sample())
        await restore(deployment)
        context.held = []
        again_at = loop.time() + 1.0
        while loop.time() < out_at + 3 * ZONE_OUT_S:
            if again_at is not None and loop.time() > again_at:
                again_at = None
                deployment.store.put("evacuations", "perth-b", {})
            context.held += [k for k in deployment.sample() if endpoint.held(k)]
            await asyncio.sleep(0.02)

    run(context, go())


@then("vm-b held no key from 2 seconds after it was first taken out")
def step_zone_unused(context):
    assert not context.held, context.held[:3]


@then("{count:d} simulated fleets whose store is restored keep one owner for each key")
def step_simulated(context, count):
    restores = handovers = served = late_accepted = late_refused = 0
    steps = 400
    for seed in range(count):
        world = RestoredWorld(seed)
        try:
            world.run(steps)
        except AssertionError as error:
            raise AssertionError(f"seed {seed}: {error}") from error
        restores += world.restores
        handovers += world.handovers
        served += world.served
        late_accepted += world.late_accepted
        late_refused += world.late_refused
    assert restores > count and handovers > count, (restores, handovers)
    assert late_accepted > 0 and late_refused > count, (late_accepted, late_refused)
    # Keys are held most of the time, or the checks above would show nothing.
    share = served / (count * steps * len(KEYS))
    assert share > 0.5, share


@then(
    "{count:d} simulated fleets whose upstreams fall silent keep one owner for each key"
)
def step_simulated_silences(context, count):
    reassigned = back_unsettled = late_accepted = 0
    for seed in range(count):
        world = run_silences(seed)
        reassigned += world.reassigned
        back_unsettled += world.back_unsettled
        late_accepted += world.late_accepted
    assert reassigned > count, reassigned
    assert back_unsettled > 0 and late_accepted > count, (back_unsettled, late_accepted)


@then(
    "fleet {seed:d} of those whose upstreams fall silent keeps one owner for each key"
)
def step_simulated_silences_of_seed(context, seed):
    run_silences(seed)


@then(
    "{count:d} simulated fleets whose store is restored often"
    " keep one owner for each key"
)
def step_simulated_often(context, count):
    restores = late_accepted = late_refused = served = 0
    for seed in range(count):
        world = run_silences(seed, OFTEN, 1000)
        restores += world.restores
        late_accepted += world.late_accepted
        late_refused += world.late_refused
        served += world.served
    assert restores > 10 * count, restores
    # The store is restored each 25 s, and each restore makes some owners wait for 12 s.
    assert served > 0.15 * count * 1000 * len(KEYS), served
    assert late_accepted > count and late_refused > count, (late_accepted, late_refused)


@then(
    "{count:d} simulated fleets whose table is {replaced} keep one owner for each key"
)
def step_simulated_replaced(context, count, replaced):
    pace = {
        "damaged": DAMAGED,
        "removed": REMOVED,
        "removed often": REMOVED_OFTEN,
        "reverted": REVERTED,
        "reverted, and processes restart or are cut off": REVERTED_OFTEN,
    }[replaced]
    times = served = 0
    for seed in range(count):
        world = run_silences(seed, pace)
        times += world.replaced
        served += world.served
    assert times > count and served > 0, (times, served)


@then(
    "fleet {seed:d} {silences} silences, whose table is reverted {pace},"
    " keeps one owner for each key"
)
def step_simulated_slow(context, seed, silences, pace):
    world = run_fleet(seed, silences == "with", REVERTED_SLOW[pace])
    assert world.replaced > 0 and world.served > 0, (world.replaced, world.served)


def run_silences(seed, pace=DEFAULT_PACE, steps=400):
    """Runs a simulated fleet whose upstreams fall silent, and returns it."""
    return run_fleet(seed, True, pace, steps)


def run_fleet(seed, silences, pace, steps=400):
    """Runs a simulated fleet, and returns it."""
    world = RestoredWorld(seed, silences=silences, pace=pace)
    try:
        world.run(steps)
    except AssertionError as error:
        raise AssertionError(f"seed {seed}: {error}") from error
    return world
