"""Observes which previous owner each gain of a slice names in the simulation."""

from __future__ import annotations

from features.ownership_scenarios import Scene
from rosemarydeal.policy.interface import OwnershipGained

__all__ = ["ObservedGains"]


class ObservedGains:
    """A simulation whose gains are compared with the tokens granted before.

    Attributes:
        scene: The simulation.
        named: Number of gains that name the token of the previous owner.
        wrong: Gains that name another token than the latest, each with the latest.
    """

    def __init__(self, seed: int) -> None:
        self.scene = Scene(seed=seed)
        self.named = 0
        self.wrong = []
        self._latest = {}
        self._carry_out = self.scene.world.carry_out
        self.scene.world.carry_out = self._observe

    def _observe(self, node, action) -> None:
        """Compares a gain with the latest token, and carries the action out."""
        if isinstance(action, OwnershipGained):
            latest = self._latest.get(action.slice, -1)
            if action.after_token >= 0:
                self.named += 1
                if action.after_token != latest:
                    self.wrong.append((node.name, action, latest))
            self._latest[action.slice] = max(latest, action.token)
        self._carry_out(node, action)
