"""Runs the background tasks of a process; no task ends without a log line.

A task that follows a kind of object, a peer or the upstream is started again after
an unexpected error, since the process would otherwise miss all later changes without
a sign. Only a failure that leaves a state which a running process can't repair ends
the process.
"""

from __future__ import annotations

import asyncio
import random
from collections import Counter
from collections.abc import Callable, Coroutine, Mapping

import structlog

__all__ = ["TaskFailures", "Tasks"]

RESTART_MIN_S = 0.2
RESTART_MAX_S = 5.0

_log = structlog.get_logger()


class TaskFailures:
    """Unexpected errors of the tasks of a process."""

    def __init__(self) -> None:
        """Creates empty counts."""
        self._counts: Counter[str] = Counter()
        self._fatal = asyncio.Event()

    @property
    def counts(self) -> Mapping[str, int]:
        """Returns the numbers of failures, by task."""
        return self._counts

    def note(self, task: str, error: BaseException, fatal: bool = False) -> None:
        """Logs and counts the failure of a task.

        Args:
            task: Name of the task.
            error: Its error.
            fatal: Whether the process has to end.
        """
        self._counts[task] += 1
        level = _log.critical if fatal else _log.error
        level("task_failed", task=task, ends_process=fatal, exc_info=error)
        if fatal:
            self._fatal.set()

    async def wait_fatal(self) -> None:
        """Waits for a failure after which the process has to end."""
        await self._fatal.wait()


class Tasks:
    """Background tasks of one component."""

    def __init__(self, failures: TaskFailures | None = None) -> None:
        """Creates an empty set.

        Args:
            failures: Failures of the process's tasks.
        """
        self._failures = failures or TaskFailures()
        self._running: set[asyncio.Task[None]] = set()

    def spawn(
        self, name: str, work: Coroutine[None, None, None], fatal: bool = False
    ) -> asyncio.Task[None]:
        """Starts a task that ends by itself; its failure is logged and counted.

        Args:
            name: Name of the task.
            work: The coroutine that it runs.
            fatal: Whether its failure ends the process.
        """

        def on_done(task: asyncio.Task[None]) -> None:
            self._running.discard(task)
            if not task.cancelled() and task.exception() is not None:
                self._failures.note(name, task.exception(), fatal)

        task = asyncio.create_task(work)
        self._running.add(task)
        task.add_done_callback(on_done)
        return task

    def keep_running(
        self, name: str, work: Callable[[], Coroutine[None, None, None]]
    ) -> asyncio.Task[None]:
        """Starts a task that runs until it is cancelled.

        Args:
            name: Name of the task.
            work: Returns the coroutine, which is started again when it has failed.
        """
        return self.spawn(name, self._restarted(name, work))

    async def close(self) -> None:
        """Cancels all tasks and waits until they have ended."""
        tasks = list(self._running)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _restarted(
        self, name: str, work: Callable[[], Coroutine[None, None, None]]
    ) -> None:
        """Runs a coroutine, and again with backoff when it has failed."""
        loop = asyncio.get_running_loop()
        pause_s = RESTART_MIN_S
        while True:
            started_at = loop.time()
            try:
                await work()
                return
            except Exception as error:
                self._failures.note(name, error)
            if loop.time() - started_at > RESTART_MAX_S:
                pause_s = RESTART_MIN_S
            await asyncio.sleep(pause_s * random.uniform(0.7, 1.3))
            pause_s = min(RESTART_MAX_S, 2 * pause_s)
