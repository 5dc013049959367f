"""Property: the queue counts as running exactly the requests that have a task.

Hypothesis generates turns of the event loop: arrivals, answers, lost connections,
restarts of the upstream and callers that leave, in any order within one turn. Batches
of them are what a process finds after a freeze.
"""

from __future__ import annotations

import asyncio
import math

from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from features.builders_rate_limit import captured_logs
from features.builders_slots import SLOTS, SlotWorld

__all__ = ["check_slots"]

EXAMPLES = 200
MAX_TURNS = 25
MAX_BATCH = 30

_EVENTS = st.one_of(
    st.tuples(st.just("arrive"), st.sampled_from((0.02, 0.5, 30.0))),
    st.tuples(st.just("leave"), st.integers(0, 40)),
    st.tuples(st.just("answer"), st.sampled_from((math.inf, math.inf, 200.0))),
    st.tuples(st.just("answer-and-leave"), st.integers(0, 40)),
    st.tuples(st.just("fail"), st.none()),
    st.tuples(st.just("restart"), st.none()),
    st.tuples(st.just("freeze"), st.none()),
)
_TURNS = st.lists(
    st.lists(_EVENTS, min_size=1, max_size=MAX_BATCH), min_size=1, max_size=MAX_TURNS
)


def _present(world):
    """Returns the ids of the callers that still wait."""
    return [name for name, caller in world.callers.items() if not caller.done()]


def _leave(world, index):
    """Has one of the callers leave that still wait."""
    present = _present(world)
    if present:
        world.leave(present[index % len(present)])


def _apply(world, event):
    """Carries out an event."""
    oldest = next(iter(world.client.open), None)
    match event:
        case "arrive", seconds:
            world.arrive(time_left_s=seconds, target_s=seconds)
        case "leave", index:
            _leave(world, index)
        case "answer", limit_per_s if oldest:
            world.answer(oldest, limit_per_s)
        case "answer-and-leave", index if oldest:
            world.answer(oldest)
            _leave(world, index)
        case "fail", _ if oldest:
            world.fail(oldest)
        case "restart", _:
            world.restart_upstream()
        case "freeze", _:
            # All answers and departures of the pause are found in the same turn.
            for request_id in list(world.client.open):
                world.answer(request_id)
            for request_id in _present(world):
                world.leave(request_id)


async def _run(turns):
    """Carries out the turns and checks the count after each."""
    world = SlotWorld()
    for turn in turns:
        for event in turn:
            _apply(world, event)
        await asyncio.sleep(0)
        assert world.guard.running == world.tasks, (world.guard.running, world.tasks)
        assert world.tasks <= SLOTS, world.tasks
    await world.settle()
    assert world.guard.running == len(world.client.open), world.client.open
    await world.close()
    assert world.guard.running == world.guard.waiting == world.tasks == 0
    later = world.arrive(time_left_s=30.0)
    await world.settle()
    assert later in world.client.open or world.guard.waiting, "the guard is stuck"
    await world.close()


def check_slots():
    """Checks the property; raises an error with the shortest failing turns."""

    @settings(
        derandomize=True,
        max_examples=EXAMPLES,
        deadline=None,
        suppress_health_check=list(HealthCheck),
    )
    @given(_TURNS)
    def check(turns):
        with captured_logs():
            asyncio.run(_run(turns))

    check()
