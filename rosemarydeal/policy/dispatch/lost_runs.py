"""Runs whose connection the upstream closed, until it is known whether it crashed.

A closed connection alone proves nothing: connections are reset, and answers cut off,
while the upstream runs on. That it crashed is known milliseconds or seconds later, when
it can't be reached or its successor announces itself. The runs that it cut off are
charged then, unless it has answered a request that was sent after they were lost.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

__all__ = ["LostRun", "LostRuns"]

# Above the time after which an upstream that announces nothing counts as gone.
KEPT_S = 30.0
# Bounds the memory while connections are reset; the oldest go first.
MAX_RUNS = 1024


@dataclass(frozen=True, slots=True)
class LostRun:
    """A run that ended with its connection.

    Attributes:
        fingerprint: The request.
        incarnation: Incarnation of the upstream that ran it.
        exclusive: Whether it ran as the only suspect.
        lost_at: When the connection was closed.
    """

    fingerprint: str
    incarnation: str
    exclusive: bool
    lost_at: float


class LostRuns:
    """The runs that may have crashed their upstream, in bounded memory."""

    def __init__(self) -> None:
        self._runs: deque[LostRun] = deque(maxlen=MAX_RUNS)

    def add(self, run: LostRun) -> None:
        """Adds a run that has just been lost."""
        self._runs.append(run)

    def note_answer(self, incarnation: str, sent_at: float) -> None:
        """Removes the runs that an incarnation has survived.

        Args:
            incarnation: Incarnation that has answered a request.
            sent_at: When that request was sent.
        """
        if self._runs:
            self._keep(
                lambda run: run.incarnation != incarnation or run.lost_at >= sent_at
            )

    def take(self, incarnation: str, now: float) -> tuple[LostRun, ...]:
        """Removes and returns the runs that were lost with an incarnation."""
        self._keep(lambda run: now - run.lost_at <= KEPT_S)
        taken = tuple(run for run in self._runs if run.incarnation == incarnation)
        self._keep(lambda run: run.incarnation != incarnation)
        return taken

    def _keep(self, condition) -> None:
        """Removes the runs that do not meet a condition."""
        self._runs = deque(filter(condition, self._runs), MAX_RUNS)
