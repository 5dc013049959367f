"""Steps for a store that is restored from a copy."""

from __future__ import annotations

import asyncio

from behave import given, then, when

from features.builders_node import a_configuration, load, run, start_deployment
from features.restored_world import KEYS, RestoredWorld
from rosemarydeal.core.fleet import GrantCarrier
from rosemarydeal.node.records import RANGES

DOWN_S = 0.4
SETTLE_S = 3.0
# A failed request reveals a crash sooner than missed heartbeats.
LOAD_S = 0.3
# Changes reach all processes within this time.
SPREAD_S = 0.6
ZONE_OUT_S = 2.0
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


@when("the upstream of vm-c crashes")
def step_other_crash(context):
    run(context, context.deployment.endpoints.pop("vm-c").stop())
    run(context, load(context.deployment, LOAD_S))


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


def run_silences(seed):
    """Runs a simulated fleet whose upstreams fall silent, and returns it."""
    world = RestoredWorld(seed, silences=True)
    try:
        world.run(400)
    except AssertionError as error:
        raise AssertionError(f"seed {seed}: {error}") from error
    return world
