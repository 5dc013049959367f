"""Model of an upstream: slots, a queue, slowdown, cold starts and loss."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum

from .clock import VirtualClock

__all__ = ["FakeUpstream", "Job", "JobOutcome", "UpstreamSpec"]


class JobOutcome(StrEnum):
    """Outcome of a job at an upstream."""

    DONE = "done"
    SHED = "shed"
    FAILED = "failed"
    CANCELLED = "cancelled"


@dataclass(frozen=True, slots=True)
class UpstreamSpec:
    """Parameters of an upstream.

    Attributes:
        slots: Number of requests that it runs concurrently.
        connections: Number of requests that it accepts, running or queued.
        cold_s: Length of a cold start, in seconds; 0: never cold.
        cold_share: Share of its slots that it can use when fully cold.
        cold_slowdown: Factor on the service time when fully cold.
    """

    slots: int
    connections: int
    cold_s: float = 0.0
    cold_share: float = 0.25
    cold_slowdown: float = 3.0


class Job:
    """One request at an upstream."""

    __slots__ = ("ended", "on_end", "running", "service_s")

    def __init__(self, service_s: float, on_end: Callable[[JobOutcome], None]) -> None:
        self.service_s = service_s
        self.on_end = on_end
        self.running = False
        self.ended = False


class FakeUpstream:
    """Runs jobs in virtual time, first come, first served."""

    def __init__(
        self, clock: VirtualClock, name: str, availability_zone: str, spec: UpstreamSpec
    ) -> None:
        self.name = name
        self.availability_zone = availability_zone
        self.spec = spec
        self.slow_factor = 1.0
        self.over_capacity_starts = 0
        self.busy_s = 0.0
        self._clock = clock
        self._alive = True
        self._cold_since = float("-inf")
        self._running: set[Job] = set()
        self._queue: deque[Job] = deque()

    @property
    def alive(self) -> bool:
        """Returns whether the upstream is running."""
        return self._alive

    @property
    def running(self) -> int:
        """Returns the number of jobs that hold a slot."""
        return len(self._running)

    @property
    def outstanding(self) -> int:
        """Returns the number of running and queued jobs."""
        return len(self._running) + len(self._queue)

    @property
    def warmth(self) -> float:
        """Returns the progress of the cold start, from 0 (cold) to 1 (warm)."""
        if not self.spec.cold_s:
            return 1.0
        return min(1.0, (self._clock.now - self._cold_since) / self.spec.cold_s)

    @property
    def current_capacity(self) -> float:
        """Returns the number of jobs that it can run now; lower while cold."""
        share = self.spec.cold_share + (1 - self.spec.cold_share) * self.warmth
        return self.spec.slots * share

    def begin_cold_start(self) -> None:
        """Starts a cold start, as after a restart."""
        self._cold_since = self._clock.now

    def fail(self) -> None:
        """Stops the upstream; running and queued jobs fail."""
        self._alive = False
        jobs = [*self._running, *self._queue]
        self._running.clear()
        self._queue.clear()
        for job in jobs:
            self._end(job, JobOutcome.FAILED)

    def recover(self) -> None:
        """Restarts the upstream, cold."""
        self._alive = True
        self.begin_cold_start()

    def submit(self, service_s: float, on_end: Callable[[JobOutcome], None]) -> Job:
        """Submits a job to the upstream.

        Args:
            service_s: Service time on a warm upstream without slowdown, in seconds.
            on_end: Called once with the outcome.

        Returns:
            The job, for use with `cancel`.
        """
        job = Job(service_s, on_end)
        if not self._alive:
            self._end(job, JobOutcome.FAILED)
        elif self.outstanding >= self.spec.connections:
            self._end(job, JobOutcome.SHED)
        else:
            self._queue.append(job)
            self._start_next()
        return job

    def cancel(self, job: Job) -> None:
        """Cancels a job; its slot is free at once."""
        if job.ended:
            return
        if job.running:
            self._running.discard(job)
        else:
            self._queue.remove(job)
        self._end(job, JobOutcome.CANCELLED)
        self._start_next()

    def _start_next(self) -> None:
        while self._queue and len(self._running) < self.spec.slots:
            job = self._queue.popleft()
            job.running = True
            self._running.add(job)
            if len(self._running) > self.current_capacity:
                self.over_capacity_starts += 1
            factor = self.slow_factor
            factor *= 1 + (self.spec.cold_slowdown - 1) * (1 - self.warmth)
            duration = job.service_s * factor
            self.busy_s += duration
            self._clock.after(duration, self._finish, job)

    def _finish(self, job: Job) -> None:
        if job.ended:
            return
        self._running.discard(job)
        self._end(job, JobOutcome.DONE)
        self._start_next()

    def _end(self, job: Job, end: JobOutcome) -> None:
        job.ended = True
        job.running = False
        job.on_end(end)
