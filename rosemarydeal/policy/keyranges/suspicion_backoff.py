"""Delays further suspicions of a process against an owner that refuted earlier ones.

Load pattern: a link is cut between two processes only. The one suspects the other,
which reaches most peers and refutes it. Each suspicion and each refutation is a write
that all processes read, so that the next one is written after a delay, which doubles.
Other processes may suspect the owner meanwhile: if it has failed, one of them does.
"""

from __future__ import annotations

import random
from dataclasses import dataclass

from rosemarydeal.core.fleet import RangeTable

__all__ = ["SuspicionBackoff"]

FIRST_DELAY_S = 1.0
# Bounds how much later the keys of an owner that then fails are taken over.
MAX_DELAY_S = 8.0
# Share by which delays vary, so that several processes don't suspect in step.
JITTER = 0.25
# After this time without a refutation, the next one counts as the first.
FORGET_AFTER_S = 60.0


@dataclass(frozen=True, slots=True)
class _Refuted:
    """Refutations by one node.

    Attributes:
        count: Number of refutations in a row.
        last_at: Time of the last one.
        delayed_until: Time before which the node is not suspected again.
    """

    count: int
    last_at: float
    delayed_until: float


class SuspicionBackoff:
    """Suspicions of one node that were refuted, by suspected node."""

    def __init__(self, node: str, rng: random.Random | None = None) -> None:
        """Creates a backoff that delays nothing.

        Args:
            node: The node that suspects.
            rng: Source of the jitter.
        """
        self._node = node
        self._rng = rng or random.Random()
        self._pending: frozenset[tuple[str, int]] = frozenset()
        self._refuted: dict[str, _Refuted] = {}
        self._count = 0

    @property
    def refuted_count(self) -> int:
        """Returns the number of suspicions that were refuted."""
        return self._count

    def delayed(self, now: float) -> frozenset[str]:
        """Returns the nodes that must not be suspected again yet."""
        return frozenset(
            node
            for node, refuted in self._refuted.items()
            if now < refuted.delayed_until
        )

    def update(self, table: RangeTable, now: float) -> tuple[str, ...]:
        """Applies a change of the table.

        Args:
            table: The table.
            now: The current time.

        Returns:
            The nodes that have refuted a suspicion of this node since the last call.
        """
        pending = frozenset(
            (suspicion.node, suspicion.number)
            for suspicion in table.suspicions
            if suspicion.by == self._node
        )
        owners = {keys.node for keys in table.ranges}
        # A suspected node that owns nothing any more has been replaced.
        gone = {node for node, _ in self._pending - pending} & owners
        self._pending = pending
        for node in gone:
            self._record(node, now)
        return tuple(sorted(gone))

    def _record(self, node: str, now: float) -> None:
        """Records a refutation and delays the next suspicion."""
        self._count += 1
        former = self._refuted.get(node)
        if former is None or now - former.last_at > FORGET_AFTER_S:
            count = 1
        else:
            count = former.count + 1
        delay_s = min(MAX_DELAY_S, FIRST_DELAY_S * 2.0 ** (count - 1))
        delay_s *= self._rng.uniform(1.0 - JITTER, 1.0 + JITTER)
        self._refuted[node] = _Refuted(count, now, now + delay_s)
