"""Steps for exclusive ownership, run in the ownership simulation."""

from __future__ import annotations

from behave import given, then, when

from features.builders import incarnation
from features.ownership_constants import SERVICE
from features.ownership_proposer import move, up_members
from features.ownership_scenarios import Scene
from rosemarydeal.core import SliceId
from rosemarydeal.core.messages import LeaseRequest, PromiseRequest
from rosemarydeal.policy import witness
from rosemarydeal.policy.ownership import OwnershipSettings


@given(
    "an ownership simulation with {nodes:d} processes in {zones:d} availability zones"
)
def make_world(context, nodes, zones):
    context.scene = Scene(nodes=nodes, zones=zones)


@given("an ownership simulation after start-up")
def make_started(context):
    context.scene = Scene()
    context.scene.start_up()


@when("{seconds:g} seconds of the ownership simulation pass")
def pass_time(context, seconds):
    context.scene.world.advance(seconds)


@when("the owner of slice {index:d} is lost")
def lose_owner(context, index):
    context.scene.lose_owner(index)


@when("the platform of the ownership simulation goes down")
def stop_platform(context):
    context.scene.world.platform.down = True


@then("every key of the ownership simulation is served")
def all_served(context):
    assert context.scene.world.unserved() == []


@then("every key of the ownership simulation is served again within {limit:g} seconds")
def served_within(context, limit):
    taken = context.scene.time_until_served(limit + 1.0)
    assert taken <= limit, taken


@then("the stored row of slice {index:d} starts with the current owner")
def row_starts_with_owner(context, index):
    context.scene.world.advance(1.0)
    owner = context.scene.owner(index)
    row = context.scene.row(index)
    assert owner is not None and row.owner.node == owner, (owner, row)


@when("all others suspect the owner of slice {index:d}")
def suspect_owner(context, index):
    context.scene.suspect(context.scene.owner(index))


@then(
    "the owner of slice {index:d} keeps serving for {seconds:g} seconds "
    "without interruption"
)
def keeps_serving(context, index, seconds):
    owner = context.scene.owner(index)
    assert context.scene.owners_during(index, seconds) == {owner}


@given("a witness that started {seconds:g} seconds ago")
def make_witness(context, seconds):
    context.settings = OwnershipSettings()
    hold_off_until = context.settings.startup_hold_off_s
    context.witness = witness.WitnessState(0.0, hold_off_until, boot_id=7)
    context.witness_now = seconds


@when("a successor requests a promise about an incarnation unknown to it")
def request_promise(context):
    request = PromiseRequest(incarnation(), 1)
    _, context.reply = witness.promise(
        context.witness, request, context.settings, context.witness_now
    )


@then("it promises and reports leases that expire in at least {expiry:g} seconds")
def check_promise(context, expiry):
    assert context.reply.promised and context.reply.expires_after_s >= expiry, (
        context.reply
    )


@then("it grants a lease to an incarnation created since and to no other")
def check_grants(context):
    granted = []
    for boot_id in (0, 6, 7):
        request = LeaseRequest(incarnation(number=boot_id), 1, known_boot_id=boot_id)
        _, reply = witness.grant_lease(
            context.witness, request, context.settings, context.witness_now
        )
        granted.append(reply.granted)
    assert granted == [False, False, True], granted


@when("the owner of slice {index:d} is paused for {seconds:g} seconds")
def pause_owner(context, index, seconds):
    context.victim = context.scene.owner(index)
    context.old_incarnation = context.scene.incarnation(context.victim)
    context.scene.world.pause(context.victim, seconds)


@then(
    "{seconds:g} seconds later the paused process owns nothing "
    "under its old incarnation"
)
def check_old_incarnation(context, seconds):
    context.scene.world.advance(seconds)
    state = context.scene.world.nodes[context.victim].state
    held = {serving.incarnation for serving in state.serving.values()}
    assert context.old_incarnation not in held, held
    assert context.scene.incarnation(context.victim) != context.old_incarnation


@when("the availability zone without the owner of slice {index:d} is lost")
def lose_other_zone(context, index):
    world = context.scene.world
    zone = world.nodes[context.scene.owner(index)].zone
    for name, node in world.nodes.items():
        if node.zone != zone:
            world.kill(name)


@when("the owner of slice {index:d} is isolated from all other processes")
def isolate_owner(context, index):
    world = context.scene.world
    context.victim = context.scene.owner(index)
    for name in world.nodes:
        world.blocked |= {(context.victim, name), (name, context.victim)}
    world.advance(1.6)


@then("the isolated process owns nothing")
def isolated_owns_nothing(context):
    assert not context.scene.world.nodes[context.victim].state.serving


@when("the isolated process is reachable again and is given slice {index:d}")
def give_to_isolated(context, index):
    world, victim = context.scene.world, context.victim
    world.blocked.clear()
    proposer = next(name for name in world.nodes if name != victim)
    for _ in range(30):
        world.advance(0.1)
        up = [name.node for name in up_members(world.nodes[proposer])]
        if victim in up:
            break
    move(world, proposer, SliceId(SERVICE, index), up.index(victim))
    for _ in range(40):
        world.advance(0.1)
        if context.scene.owner(index) == victim:
            break
    assert context.scene.owner(index) == victim, context.scene.row(index)


@when("the owner of slice {index:d} is isolated from the platform")
def isolate_from_platform(context, index):
    context.scene.world.off_platform.add(context.scene.owner(index))


@when(
    "all incarnations in the row of slice {index:d} are lost "
    "and replaced after 1 second"
)
def lose_succession(context, index):
    world = context.scene.world
    names = [name.node for name in context.scene.row(index).succession]
    for name in names:
        world.kill(name)
    world.advance(1.0)
    for name in names:
        world.start(name)


@when("all processes of the ownership simulation restart")
def restart_all(context):
    for name in context.scene.world.nodes:
        context.scene.world.kill(name)
        context.scene.world.start(name)


@when("the upstream of the owner of slice {index:d} dies")
def lose_upstream(context, index):
    context.scene.world.lose_upstream(context.scene.owner(index))


@when("the owner of slice {index:d} is drained")
def drain_owner(context, index):
    context.victim = context.scene.owner(index)
    context.scene.drain(context.victim)


@then("the drained process owns nothing after {seconds:g} seconds")
def drained_owns_nothing(context, seconds):
    context.scene.world.advance(seconds)
    assert not context.scene.world.nodes[context.victim].state.serving


@when(
    "every reply of the platform is lost for {seconds:g} seconds "
    "after the owner is lost"
)
def lose_replies(context, seconds):
    context.scene.world.answer_loss = 1.0
    context.scene.lose_owner(0)
    context.scene.world.advance(seconds)
    context.scene.world.answer_loss = 0.0


@then("no member of the ownership simulation used more than {count:d} incarnations")
def check_incarnations(context, count):
    for node in context.scene.world.nodes.values():
        if node.alive:
            assert len(node.state.own_numbers) <= count, (
                node.name,
                node.state.own_numbers,
            )
