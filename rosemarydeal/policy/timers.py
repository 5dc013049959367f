"""Reminds of open requests at given moments, in steps of a few milliseconds."""

from __future__ import annotations

from dataclasses import dataclass, field

import immutables

__all__ = ["Timers", "due", "schedule"]

STEP_S = 0.005


@dataclass(frozen=True, slots=True)
class Timers:
    """Holds numbers of requests by the step at which they are due."""

    steps: immutables.Map[int, tuple[int, ...]] = field(default_factory=immutables.Map)

    @property
    def wake_at(self) -> float | None:
        """Returns the earliest moment at which something is due."""
        return min(self.steps) * STEP_S if self.steps else None


def schedule(timers: Timers, moment: float, request: int) -> Timers:
    """Reminds of a request at a moment or shortly after it."""
    step = int(moment / STEP_S) + 1
    requests = timers.steps.get(step, ())
    return Timers(timers.steps.set(step, (*requests, request)))


def due(timers: Timers, now: float) -> tuple[Timers, tuple[int, ...]]:
    """Takes out what is due.

    Returns:
        The rest and the requests, those due first in front.
    """
    last_step = int(now / STEP_S)
    due_steps = sorted(step for step in timers.steps if step <= last_step)
    if not due_steps:
        return timers, ()
    steps = timers.steps
    requests: list[int] = []
    for step in due_steps:
        requests.extend(steps[step])
        steps = steps.delete(step)
    return Timers(steps), tuple(requests)
