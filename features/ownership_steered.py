"""Fuzzing of the ownership policy with rules that inject sequences of faults.

Random single faults produce these sequences too rarely. This machine has only the
rules with a sequence; `OwnershipMachine` adds the single faults.
"""

from __future__ import annotations

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, rule

from features import ownership_proposer as proposer
from features.ownership_constants import KEYS, SERVICE, SLICES
from features.ownership_world import World, WorldSettings
from rosemarydeal.core import SliceId
from rosemarydeal.policy import interface as api
from rosemarydeal.policy.ownership import OwnershipSettings

__all__ = ["SteeredMachine", "picks"]

RECOVERY_LIMIT_S = 5.0
STEP_S = 0.05

picks = st.integers(min_value=0, max_value=59)


class SteeredMachine(RuleBasedStateMachine):
    """Runs one ownership simulation under rare sequences of events."""

    world: World

    @initialize(
        seed=st.integers(0, 2**32),
        nodes=st.integers(4, 6),
        drift=st.sampled_from([0.02, 0.1]),
        interval_s=st.sampled_from([0.4, 0.15]),
        skewed=st.booleans(),
    )
    def begin(self, seed, nodes, drift, interval_s, skewed):
        policy = OwnershipSettings(clock_drift=drift, ask_interval_s=interval_s)
        settings = WorldSettings(nodes=nodes, drift=drift, skewed=skewed, policy=policy)
        self.world = World(seed, settings)
        self.world.advance(5.0)
        assert not self.world.unserved(), "not served after the start"

    # Choice of the node that a fault affects.

    def pick(self, number: int):
        names = sorted(self.world.nodes)
        return self.world.nodes[names[number % len(names)]]

    def owner(self, number: int):
        """Returns an owner or, if there is none, any node."""
        now = self.world.now
        ownerships = self.world.oracle.ownerships
        names = sorted({n for (n, _), (until, _) in ownerships.items() if until > now})
        if not names:
            return self.pick(number)
        return self.world.nodes[names[number % len(names)]]

    def witness(self, node, number: int):
        """Returns a witness of a node's incarnation or, if it has none, any node."""
        if not node.alive or not node.state.leases:
            return self.pick(number)
        witnesses = node.state.leases[-1].witnesses
        return self.world.nodes[witnesses[number % len(witnesses)]]

    def feed(self, node, event) -> None:
        self.world.feed(node.name, node.run, event)

    # Sequences of faults.

    def suspect_everywhere(self, owner) -> None:
        for name, node in sorted(self.world.nodes.items()):
            if name != owner.name:
                self.feed(node, api.NodeSuspected(owner.name))

    def restart_node(self, name: str) -> None:
        self.world.kill(name)
        self.world.start(name)

    @rule(n=picks, which=picks)
    def promise_in_two_rounds(self, n, which):
        """Gets promises of two witnesses in turn; the first restarts in between."""
        owner = self.owner(n)
        first, second = self.witness(owner, which), self.witness(owner, which + 1)
        for witness, restarted in ((first, True), (second, False)):
            link = (owner.name, witness.name)
            self.world.blocked.add(link)
            self.world.advance(1.15)
            self.suspect_everywhere(owner)
            self.world.advance(0.1)
            if restarted:
                self.restart_node(witness.name)
            self.world.blocked.discard(link)
            self.world.advance(3.0)

    @rule(n=picks, which=picks)
    def drop_majority_promise(self, n, which):
        """Restarts one of two witnesses right after both have promised."""
        owner = self.owner(n)
        witnesses = [self.witness(owner, which), self.witness(owner, which + 1)]
        links = {(owner.name, witness.name) for witness in witnesses}
        self.world.blocked |= links
        self.world.advance(1.05)
        self.suspect_everywhere(owner)
        self.world.advance(0.05)
        self.restart_node(witnesses[0].name)
        self.world.blocked -= links
        self.world.advance(1.5)

    @rule(n=picks)
    def isolate(self, n):
        """Blocks an owner's lease requests until a successor has taken over."""
        owner = self.owner(n)
        links = {(owner.name, name) for name in self.world.nodes}
        self.world.blocked |= links
        self.world.advance(2.2)
        self.world.blocked -= links

    @rule(n=picks, which=picks)
    def restart_two_witnesses(self, n, which):
        """Restarts two witnesses that just granted a lease and isolates the third."""
        owner = self.owner(n)
        names = {self.witness(owner, which + step).name for step in (0, 1)}
        third = self.witness(owner, which + 2).name
        cut = (owner.name, third)
        links = {(name, other) for name in cut for other in self.world.nodes}
        self.world.blocked |= links
        for name in sorted(names - {owner.name}):
            self.restart_node(name)
        self.world.advance(1.02)
        self.suspect_everywhere(owner)
        self.world.advance(0.6)
        self.world.blocked -= links

    @rule(n=picks, delay=st.sampled_from([0.6, 1.0]))
    def answer_late(self, n, delay):
        """Delays all messages to an owner, then blocks all messages from it."""
        self.world.blocked.clear()
        self.world.loss = self.world.max_delay_s = 0.0
        self.world.advance(1.0)
        owner = self.owner(n)
        for name in self.world.nodes:
            self.world.slow[(name, owner.name)] = delay
        self.world.advance(2.0)
        for name in self.world.nodes:
            self.world.blocked.add((owner.name, name))
        self.world.advance(2.5)

    @rule(n=picks)
    def release_in_outage(self, n):
        """Releases slices by message while the platform is down."""
        owner = self.owner(n)
        self.world.platform.down = True
        self.world.lose_upstream(owner.name)
        self.world.advance(0.5)
        owner.upstream = True
        self.feed(owner, api.UpstreamReady())
        self.world.advance(1.0)
        self.world.platform.down = False

    @rule(n=picks, mover=picks, shift=picks)
    def move_twice_while_cut_off(self, n, mover, shift):
        """Moves a slice twice while its owner is isolated and receives neither row."""
        owner, name = self.owner(n), self.pick(mover).name
        links = {(other, owner.name) for other in self.world.nodes}
        self.world.blocked |= links
        self.world.off_platform.add(owner.name)
        for step in (0, 3):
            proposer.move(self.world, name, SliceId(SERVICE, 0), shift + step)
            self.world.advance(0.3)
        self.world.advance(0.4)
        self.world.blocked -= links
        self.world.off_platform.discard(owner.name)

    @rule(n=picks, shift=picks)
    def carve_move_merge(self, n, shift):
        """Carves the first key out, moves it and merges it back."""
        name = self.pick(n).name
        slice_id = SliceId(SERVICE, KEYS[0] % SLICES, KEYS[0])
        proposer.carve(self.world, name)
        self.world.advance(0.6)
        proposer.move(self.world, name, slice_id, shift)
        self.world.advance(0.6)
        proposer.merge(self.world, name)
        self.world.advance(0.6)

    def teardown(self):
        if not hasattr(self, "world"):
            return
        world = self.world
        world.proposing = True
        world.heal()
        healed_at = world.now
        while world.unserved() and world.now - healed_at <= RECOVERY_LIMIT_S:
            world.advance(STEP_S)
        taken = world.now - healed_at
        assert taken <= RECOVERY_LIMIT_S, (
            f"unserved {world.unserved()} after {taken:.2f}"
        )
        world.advance(1.0)
        assert world.oracle.dispatched > 0
