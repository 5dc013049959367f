"""Decides when a new process may use the keys that a table assigns to its node.

Its predecessor may have been killed with a write in flight that gives released keys
to another owner, and the store may carry that out as long as its condition holds.

Invariant: a predecessor's writes have the condition of a revision that the store had
reached before this process first read from it. Once the table has a later revision,
each of them has either been carried out, and the table shows it, or fails.
"""

from __future__ import annotations

import random
from collections.abc import Callable

from rosemarydeal.core.fleet import Revision

__all__ = ["StartBarrier"]

# Processes that start together wait for the write of one of them: the longest delay per
# node, and its limits.
WRITE_DELAY_PER_NODE_S = 0.0125
MIN_WRITE_DELAY_S = 0.05
MAX_WRITE_DELAY_S = 0.6
# Least part of the longest delay, so that the later ones learn of the first write.
MIN_DELAY_PART = 0.25


class StartBarrier:
    """Tracks whether the table has changed since the first read of a new process."""

    def __init__(self, draw: Callable[[float, float], float] = random.uniform) -> None:
        """Creates a barrier that is not passed.

        Args:
            draw: Returns a random number between two others.
        """
        self._draw = draw
        self._position: Revision | None = None
        self._table: Revision | None = None

    @property
    def passed(self) -> bool:
        """Returns whether no write of a predecessor can be carried out any more."""
        if self._position is None or self._table is None:
            return False
        return self._table > self._position

    @property
    def has_position(self) -> bool:
        """Returns whether this process has read from the store."""
        return self._position is not None

    def note_position(self, revision: Revision) -> None:
        """Notes a revision that this process has read from the store.

        Args:
            revision: That of the table, or that of the store as a whole.
        """
        if self._position is None or revision < self._position:
            self._position = revision

    def note_table(self, revision: Revision) -> None:
        """Notes the revision of the table, from whomever this process has it."""
        if self._table is None or revision > self._table:
            self._table = revision

    def write_delay(self, nodes: int) -> float:
        """Returns how long to wait for the write of another one, in seconds.

        Args:
            nodes: Number of nodes of the fleet.
        """
        longest_s = WRITE_DELAY_PER_NODE_S * nodes
        longest_s = min(MAX_WRITE_DELAY_S, max(MIN_WRITE_DELAY_S, longest_s))
        return self._draw(MIN_DELAY_PART * longest_s, longest_s)
