"""Ownership simulations for scenarios, with queries on their state."""

from __future__ import annotations

from features.ownership_constants import KEYS, SERVICE, SLICES
from features.ownership_world import World, WorldSettings
from rosemarydeal.core import Incarnation, Row, SliceId
from rosemarydeal.policy import interface as api
from rosemarydeal.policy import ownership

__all__ = ["Scene"]

STEP_S = 0.02
STARTUP_S = 6.0


class Scene:
    """One simulation with the operations and queries that scenarios need."""

    def __init__(self, seed: int = 1, **settings) -> None:
        self.world = World(seed, WorldSettings(**settings))

    def start_up(self) -> None:
        """Runs the simulation until start-up is complete and all keys are served."""
        self.world.advance(STARTUP_S)
        assert self.world.unserved() == []

    def owner(self, index: int) -> str | None:
        """Returns the node that owns a base slice now."""
        world = self.world
        for (name, digest), (until, _) in world.oracle.ownerships.items():
            if digest % SLICES == index and digest != KEYS[0] and until > world.now:
                return name
        return None

    def row(self, index: int) -> Row:
        """Returns the newest stored row of a base slice."""
        _, chunk = self.world.platform.read((SERVICE, 0))
        return next(r for r in chunk.rows if r.slice == SliceId(SERVICE, index))

    def lose_owner(self, index: int) -> str:
        """Kills the process that owns a slice."""
        name = self.owner(index)
        self.world.kill(name)
        return name

    def time_until_served(self, limit: float) -> float:
        """Returns the seconds until every key is served again, at most the limit."""
        started_at = self.world.now
        while self.world.unserved() and self.world.now - started_at < limit:
            self.world.advance(STEP_S)
        return self.world.now - started_at

    def suspect(self, name: str) -> None:
        """Makes every other node suspect a node."""
        for other, node in self.world.nodes.items():
            if other != name:
                self.world.feed(other, node.run, api.NodeSuspected(name))

    def drain(self, name: str) -> None:
        """Requests a node to hand over all slices that it owns."""
        run = self.world.nodes[name].run
        self.world.feed(name, run, api.DrainRequested())

    def incarnation(self, name: str) -> Incarnation | None:
        """Returns the newest incarnation that a node holds or requests, if any."""
        leases = self.world.nodes[name].state.leases
        return leases[-1].incarnation if leases else None

    def owners_during(self, index: int, seconds: float) -> set[str | None]:
        """Returns the owners of a base slice over some seconds, with None for gaps."""
        until = self.world.now + seconds
        owners = {self.owner(index)}
        while self.world.now < until:
            self.world.advance(STEP_S)
            owners.add(self.owner(index))
        return owners

    def describe(self, name: str, index: int) -> ownership.Description:
        """Returns the standing of a node in a base slice."""
        node = self.world.nodes[name]
        return ownership.describe(
            node.state, SliceId(SERVICE, index), node.local(self.world.now)
        )
