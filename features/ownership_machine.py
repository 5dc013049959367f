"""Fuzzing of the ownership policy: a state machine whose rules inject faults.

Each rule injects one fault or performs one operator action and lets some time pass.
At the end all faults are removed, and each key must have an owner within a limit.
"""

from __future__ import annotations

from hypothesis import strategies as st
from hypothesis.stateful import rule

from features import ownership_proposer as proposer
from features.ownership_constants import KEYS, SERVICE, SLICES
from features.ownership_steered import SteeredMachine, picks
from rosemarydeal.core import SliceId
from rosemarydeal.policy import interface as api

__all__ = ["OwnershipMachine"]

short = st.sampled_from([0.02, 0.1, 0.3, 0.8])


class OwnershipMachine(SteeredMachine):
    """Runs one ownership simulation under all kinds of faults."""

    # Time.

    @rule(duration=st.sampled_from([0.05, 0.3, 0.8, 1.2, 2.0, 3.0]))
    def wait(self, duration):
        self.world.advance(duration)

    # Processes.

    @rule(n=picks, duration=st.sampled_from([0.3, 0.9, 1.3, 1.6, 2.5, 12.0]))
    def pause(self, n, duration):
        self.world.pause(self.owner(n).name, duration)
        self.world.advance(0.1)

    @rule(n=picks, after=short)
    def lose(self, n, after):
        self.world.kill(self.owner(n).name)
        self.world.advance(after)

    @rule(n=picks, after=short)
    def lose_any(self, n, after):
        self.world.kill(self.pick(n).name)
        self.world.advance(after)

    @rule(after=short)
    def return_all(self, after):
        for name, node in sorted(self.world.nodes.items()):
            if not node.alive:
                self.world.start(name)
        self.world.advance(after)

    @rule(n=picks, after=short)
    def restart(self, n, after):
        name = self.pick(n).name
        self.world.kill(name)
        self.world.start(name)
        self.world.advance(after)

    @rule(n=picks, which=picks, after=short)
    def restart_witness(self, n, which, after):
        name = self.witness(self.owner(n), which).name
        self.world.kill(name)
        self.world.start(name)
        self.world.advance(after)

    @rule()
    def restart_all(self):
        for name in sorted(self.world.nodes):
            self.world.kill(name)
            self.world.start(name)
        self.world.advance(0.3)

    @rule(n=picks, after=short)
    def lose_zone(self, n, after):
        zone = self.pick(n).zone
        for name, node in sorted(self.world.nodes.items()):
            if node.zone == zone:
                self.world.kill(name)
        self.world.advance(after)

    # Upstreams and operators.

    @rule(n=picks, after=short)
    def upstream_dies(self, n, after):
        self.world.lose_upstream(self.owner(n).name)
        self.world.advance(after)

    @rule(after=short)
    def upstreams_return(self, after):
        for _, node in sorted(self.world.nodes.items()):
            node.upstream = True
            self.feed(node, api.UpstreamReady())
        self.world.advance(after)

    @rule(n=picks, after=short)
    def drain(self, n, after):
        self.feed(self.owner(n), api.DrainRequested())
        self.world.advance(after)

    @rule(n=picks, carved=st.booleans(), shift=picks, after=short)
    def move(self, n, carved, shift, after):
        slice_id = SliceId(SERVICE, KEYS[0] % SLICES, KEYS[0] if carved else -1)
        proposer.move(self.world, self.pick(n).name, slice_id, shift)
        self.world.advance(after)

    @rule(n=picks, after=short)
    def carve(self, n, after):
        proposer.carve(self.world, self.pick(n).name)
        self.world.advance(after)

    @rule(n=picks, after=short)
    def merge(self, n, after):
        proposer.merge(self.world, self.pick(n).name)
        self.world.advance(after)

    @rule(n=picks, of=picks, after=short)
    def suspect(self, n, of, after):
        node, suspected = self.pick(n), self.owner(of)
        if node is not suspected:
            self.feed(node, api.NodeSuspected(suspected.name))
        self.world.advance(after)

    # Network.

    @rule(
        loss=st.sampled_from([0.0, 0.1, 0.4]),
        duplicates=st.sampled_from([0.0, 0.5]),
        delay=st.sampled_from([0.0, 0.3, 1.5, 6.0]),
        after=short,
    )
    def disturb(self, loss, duplicates, delay, after):
        self.world.loss = loss
        self.world.duplicates = duplicates
        self.world.max_delay_s = delay
        self.world.advance(after)

    @rule(n=picks, out=st.booleans(), into=st.booleans(), after=short)
    def cut_off(self, n, out, into, after):
        name = self.owner(n).name
        for other in self.world.nodes:
            if out:
                self.world.blocked.add((name, other))
            if into:
                self.world.blocked.add((other, name))
        self.world.advance(after)

    @rule(n=picks, which=picks, after=short)
    def cut_from_witness(self, n, which, after):
        owner = self.owner(n)
        witness = self.witness(owner, which)
        self.world.blocked.add((owner.name, witness.name))
        self.world.advance(after)

    @rule(side=st.integers(1, 62), after=short)
    def split(self, side, after):
        names = sorted(self.world.nodes)
        for i, one in enumerate(names):
            for j, other in enumerate(names):
                if (side >> i) & 1 != (side >> j) & 1:
                    self.world.blocked.add((one, other))
        self.world.advance(after)

    @rule(after=short)
    def reconnect(self, after):
        self.world.blocked.clear()
        self.world.off_platform.clear()
        self.world.slow.clear()
        self.world.advance(after)

    # Platform.

    @rule(n=picks, after=short)
    def cut_from_platform(self, n, after):
        self.world.off_platform.add(self.pick(n).name)
        self.world.advance(after)

    @rule(down=st.booleans(), after=short)
    def platform(self, down, after):
        self.world.platform.down = down
        self.world.advance(after)

    @rule(
        slow=st.sampled_from([0.0, 0.5, 3.0]),
        stale=st.sampled_from([0.0, 0.5]),
        lost=st.sampled_from([0.0, 0.3]),
        after=short,
    )
    def trouble_platform(self, slow, stale, lost, after):
        self.world.slow_platform_s = slow
        self.world.stale_reads = stale
        self.world.answer_loss = lost
        self.world.advance(after)

    @rule()
    def stop_proposers(self):
        self.world.proposing = not self.world.proposing
