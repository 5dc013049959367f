"""Owns the slots of the upstream that started requests hold.

A request that the queue has started holds a slot until its task ends. The slot is
given back on every way out: by the task itself, by the end of a task that was
cancelled before its first step, and at once if no task is made since the caller has
left. A regular check compares the queue with the tasks that exist.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from functools import partial

import structlog

from rosemarydeal.core.clock import now
from rosemarydeal.policy.dispatch.queue import Decision, DispatchQueue

__all__ = ["DispatchSlots"]

CHECK_PERIOD_S = 1.0

_log = structlog.get_logger()


class DispatchSlots:
    """Tasks of the started requests, each of which holds a slot of the queue."""

    def __init__(
        self, queue: DispatchQueue, apply: Callable[[list[Decision]], None]
    ) -> None:
        """Creates the owner of a queue's slots.

        Args:
            queue: Counts the slots in use.
            apply: Carries out the decisions that follow from a free slot.
        """
        self._queue = queue
        self._apply = apply
        self._tasks: dict[int, asyncio.Task[None]] = {}
        self._leaked = 0

    @property
    def tasks(self) -> int:
        """Returns the number of tasks that hold a slot."""
        return len(self._tasks)

    @property
    def leaked(self) -> int:
        """Returns how many slots without a task were found since the start."""
        return self._leaked

    def start(self, number: int, work: Coroutine[None, None, None]) -> asyncio.Task:
        """Starts the task of a request, which calls `finish` when it ends.

        Args:
            number: Identifier of the request.
            work: Runs the request at the upstream.
        """
        task = asyncio.create_task(work)
        self._tasks[number] = task
        task.add_done_callback(partial(self._on_done, number))
        return task

    def finish(self, number: int, completed: bool) -> None:
        """Gives back the slot of a request that has run.

        Args:
            number: Identifier of the request.
            completed: Whether it was answered.
        """
        self._tasks.pop(number, None)
        self._apply(self._queue.finish(number, now(), completed))

    async def check_regularly(self) -> None:
        """Checks the slots regularly, until cancelled."""
        while True:
            await asyncio.sleep(CHECK_PERIOD_S)
            self.check()

    def check(self) -> None:
        """Gives back the slots that no task holds, which would stay in use for ever."""
        leaked = self._queue.started.keys() - self._tasks.keys()
        if not leaked:
            return
        self._leaked += len(leaked)
        _log.error(
            "slots_leaked",
            request_ids=[self._queue.started[number] for number in sorted(leaked)],
            running=self._queue.running,
            tasks=self.tasks,
            slots=self._queue.slots,
        )
        for number in leaked:
            self.finish(number, completed=False)

    def _on_done(self, number: int, task: asyncio.Task[None]) -> None:
        """Gives back the slot of a task that was cancelled before its first step."""
        if self._tasks.pop(number, None) is not None:
            self._apply(self._queue.withdraw(number, now()))
