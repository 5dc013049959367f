"""Timers of open requests, in steps of a few milliseconds."""

from __future__ import annotations

from dataclasses import dataclass, field

import immutables

__all__ = ["Timers", "due", "schedule"]

STEP_S = 0.005


@dataclass(frozen=True, slots=True)
class Timers:
    """Numbers of requests by the time step at which they are due."""

    steps: immutables.Map[int, tuple[int, ...]] = field(default_factory=immutables.Map)

    @property
    def wake_at(self) -> float | None:
        """Earliest time at which a timer expires, None if there is none."""
        return min(self.steps) * STEP_S if self.steps else None


def schedule(timers: Timers, due_at: float, request: int) -> Timers:
    """Sets a timer for a request, which expires up to one step after `due_at`."""
    step = int(due_at / STEP_S) + 1
    requests = timers.steps.get(step, ())
    return Timers(timers.steps.set(step, (*requests, request)))


def due(timers: Timers, now: float) -> tuple[Timers, tuple[int, ...]]:
    """Removes the timers that have expired.

    Returns:
        The remaining timers and the requests, in the order in which they fell due.
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
