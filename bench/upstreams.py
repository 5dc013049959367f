"""Stands in for an upstream: slots, a queue, slowness, cold starts and loss."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum

from .clock import VirtualClock

__all__ = ["FakeUpstream", "Job", "JobOutcome", "UpstreamSpec"]


class JobOutcome(StrEnum):
    """Says how a job at an upstream ended."""

    DONE = "done"
    SHED = "shed"
    FAILED = "failed"
    CANCELLED = "cancelled"


@dataclass(frozen=True, slots=True)
class UpstreamSpec:
    """Describes an upstream of a workload.

    Attributes:
        slots: Requests that run at a time.
        connections: Requests that it accepts at a time, running or queued.
        cold_s: Seconds until a cold upstream is warm; 0: never cold.
        cold_share: Share of its slots that it bears when quite cold.
        cold_slowdown: Factor on the service time when quite cold.
    """

    slots: int
    connections: int
    cold_s: float = 0.0
    cold_share: float = 0.25
    cold_slowdown: float = 3.0


class Job:
    """Follows one request through an upstream."""

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
        """Tells whether the upstream answers at all."""
        return self._alive

    @property
    def running(self) -> int:
        """Returns how many jobs hold a slot."""
        return len(self._running)

    @property
    def outstanding(self) -> int:
        """Returns how many jobs run or wait."""
        return len(self._running) + len(self._queue)

    @property
    def warmth(self) -> float:
        """Returns 0 when quite cold, 1 when warm."""
        if not self.spec.cold_s:
            return 1.0
        return min(1.0, (self._clock.now - self._cold_since) / self.spec.cold_s)

    @property
    def current_capacity(self) -> float:
        """Returns how many jobs it bears at a time, fewer while cold."""
        share = self.spec.cold_share + (1 - self.spec.cold_share) * self.warmth
        return self.spec.slots * share

    def begin_cold_start(self) -> None:
        """Makes the upstream cold, as after a restart."""
        self._cold_since = self._clock.now

    def fail(self) -> None:
        """Loses the upstream with all that runs or waits there."""
        self._alive = False
        jobs = [*self._running, *self._queue]
        self._running.clear()
        self._queue.clear()
        for job in jobs:
            self._end(job, JobOutcome.FAILED)

    def recover(self) -> None:
        """Starts the upstream again, cold."""
        self._alive = True
        self.begin_cold_start()

    def submit(self, service_s: float, on_end: Callable[[JobOutcome], None]) -> Job:
        """Hands a request to the upstream.

        Args:
            service_s: Seconds that it takes on an undisturbed, warm upstream.
            on_end: Called once when the request ended here.

        Returns:
            The job, which `cancel` takes.
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
        """Withdraws a job; its slot is free at once."""
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
