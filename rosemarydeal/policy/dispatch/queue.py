"""Orders the requests that wait for the upstream, and turns away the rest.

Load pattern: more work than the upstream can do, in bursts of seconds or for
long. What can still be answered within its target goes first, the more urgent
rank before the less urgent one, then the one whose target ends first; a caller
that was turned away and came back is counted from its first arrival. Under a
backlog a request that could only be late is turned away at once, since it would
take the place of one in time. What can't be answered at all, by the pace at
which the upstream works now, is turned away on arrival, or as soon as that
becomes known, with the time after which there will be room.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum, auto

from rosemarydeal.core.requests import NotServed

from .cold_start import ColdStartLimiter
from .service_time import ServiceTimes

__all__ = ["Admission", "DispatchQueue", "Reject", "Start", "QueuedRequest"]

# Requests wait in our queue, never in the upstream's own.
CODE_OVERLOADED = "overloaded"
CODE_NOT_IN_TIME = "not-in-time"
# Late requests fill slots that would be idle otherwise, and no more of them
# wait than this part of the slots.
LATE_QUEUE_SHARE = 0.25
# A caller that comes back at once meets the same queue.
MIN_RETRY_AFTER_S = 0.1


class Admission(Enum):
    """Says whether the keys of a request allow it to run now."""

    RUN = auto()
    WAIT = auto()
    ELSEWHERE = auto()


@dataclass(frozen=True, slots=True)
class QueuedRequest:
    """Is a request that waits.

    Attributes:
        number: Number by which the queue's user knows it.
        route: Its route, whose requests run for about the same time.
        rank: The route's priority; 0 is the most urgent.
        key: Key that it is about, if any.
        arrived: When it came.
        target_at: When its answer begins to be worth less.
        deadline: When nobody waits for its answer any more.
    """

    number: int
    route: str
    rank: int
    key: int | None
    arrived: float
    target_at: float
    deadline: float


@dataclass(frozen=True, slots=True)
class Start:
    """Says that a request goes to the upstream now."""

    number: int


@dataclass(frozen=True, slots=True)
class Reject:
    """Says that a request is turned away."""

    number: int
    outcome: NotServed


Decision = Start | Reject


class DispatchQueue:
    """Holds what waits and counts what runs."""

    def __init__(
        self, cold: ColdStartLimiter, admits: Callable[[int], Admission]
    ) -> None:
        """Makes an empty queue.

        Args:
            cold: Limits the upstream's cold start.
            admits: Tells whether requests for a key may run.
        """
        self._cold = cold
        self._admits = admits
        self._service_times = ServiceTimes()
        self._waiting: dict[int, QueuedRequest] = {}
        self._running: dict[int, tuple[str, float]] = {}
        self._slots = 1
        self._open = False

    @property
    def running(self) -> int:
        """Returns the number of requests at the upstream."""
        return len(self._running)

    @property
    def waiting(self) -> int:
        """Returns the number of requests that wait."""
        return len(self._waiting)

    @property
    def slots(self) -> int:
        """Returns the number of requests that may run at a time."""
        return self._slots

    @property
    def times(self) -> ServiceTimes:
        """Returns the measured service times."""
        return self._service_times

    def set_slots(self, slots: int) -> None:
        """Sets how many requests may run at a time."""
        self._slots = max(1, slots)

    def open(self) -> None:
        """Lets requests go to the upstream."""
        self._open = True

    def close(self, outcome: NotServed) -> list[Decision]:
        """Lets nothing go to the upstream any more and refuses what waits."""
        self._open = False
        rejected = [Reject(number, outcome) for number in self._waiting]
        self._waiting.clear()
        return rejected

    def offer(self, request: QueuedRequest, now: float) -> list[Decision]:
        """Takes a request in, or turns it away at once."""
        self._service_times.record_arrival(request.rank, request.route, now)
        rejected = self._check_capacity(request, now)
        if rejected is not None:
            return [rejected]
        self._waiting[request.number] = request
        return self.advance(now)

    def remove(self, number: int) -> None:
        """Forgets a request that nobody waits for any more."""
        self._waiting.pop(number, None)

    def finish(self, number: int, now: float, completed: bool) -> list[Decision]:
        """Notes that a request has left the upstream, and lets others go."""
        route, started_at = self._running.pop(number, ("", now))
        if completed:
            self._service_times.record_service_time(route, now - started_at)
        return self.advance(now)

    def advance(self, now: float) -> list[Decision]:
        """Lets go what may run, and turns away what can't be in time."""
        if not self._open:
            return self._reject_missed_deadlines(now)
        decisions: list[Decision] = []
        for request in self._ordered(now):
            if len(self._running) >= self._slots or not self._cold.may_send(now):
                break
            match self._admission(request):
                case Admission.RUN:
                    decisions.append(self._start(request, now))
                case Admission.ELSEWHERE:
                    decisions.append(self._remove_not_owned(request))
                case Admission.WAIT:
                    continue
        # What could start has started, even if it may end too late: nobody
        # else wanted the slot.
        return decisions + self._reject_missed_deadlines(now)

    def wake_at(self, now: float) -> float | None:
        """Returns when to call `advance` again although nothing happens."""
        if not self._waiting:
            return None
        wake_times = [
            request.deadline - self._service_time_s(request)
            for request in self._waiting.values()
        ]
        if self._open and len(self._running) < self._slots:
            wake_times.append(self._cold.next_send_at(now))
        return min(wake_times)

    def expected_wait_s(self, request: QueuedRequest) -> float:
        """Returns how long a request would wait now, in seconds."""
        priority = _priority(request)
        work_ahead_s = sum(
            self._service_time_s(other)
            for other in self._waiting.values()
            if _priority(other) <= priority and other is not request
        )
        free_slots = self._slots - len(self._running)
        if free_slots > len(self._waiting):
            return 0.0
        urgent_rate = self._service_times.work_rate_above(request.rank)
        shared_slots = max(0.2 * self._slots, self._slots - urgent_rate)
        residual_s = self._residual_s() if free_slots <= 0 else 0.0
        return work_ahead_s / shared_slots + residual_s

    def _residual_s(self) -> float:
        """Returns how soon the next of the running requests ends, in seconds."""
        routes = [route for route, _ in self._running.values()]
        service_times_s = [self._service_times.expected_s(route) for route in routes]
        return 0.5 * sum(service_times_s) / len(service_times_s) / self._slots

    def _check_capacity(self, request: QueuedRequest, now: float) -> Reject | None:
        """Refuses a request that can't be answered while somebody waits for it."""
        if self._admission(request) is Admission.ELSEWHERE:
            return self._reject_not_owned(request)
        if not self._waiting and len(self._running) < self._slots:
            return None
        finish_at = now + self.expected_wait_s(request) + self._service_time_s(request)
        in_time = finish_at <= request.target_at
        backlog = len(self._waiting) > LATE_QUEUE_SHARE * self._slots
        if finish_at <= request.deadline and (in_time or not backlog):
            return None
        return Reject(request.number, self._rejection(CODE_OVERLOADED, request, now))

    def _reject_missed_deadlines(self, now: float) -> list[Decision]:
        """Turns away what would not be answered even if it ran now."""
        rejected = []
        for request in list(self._waiting.values()):
            if now + 0.7 * self._service_time_s(request) <= request.deadline:
                continue
            del self._waiting[request.number]
            outcome = self._rejection(CODE_NOT_IN_TIME, request, now)
            rejected.append(Reject(request.number, outcome))
        return rejected

    def _ordered(self, now: float) -> list[QueuedRequest]:
        """Returns what waits, in the order in which it should run."""

        def sort_key(request: QueuedRequest) -> tuple[bool, int, float]:
            late = now + self._service_time_s(request) > request.target_at
            return late, *_priority(request)

        return sorted(self._waiting.values(), key=sort_key)

    def _admission(self, request: QueuedRequest) -> Admission:
        """Tells whether a request's key allows it to run."""
        return Admission.RUN if request.key is None else self._admits(request.key)

    def _start(self, request: QueuedRequest, now: float) -> Start:
        """Moves a request from the queue to the upstream."""
        del self._waiting[request.number]
        self._running[request.number] = (request.route, now)
        self._cold.record_sent(now)
        return Start(request.number)

    def _remove_not_owned(self, request: QueuedRequest) -> Reject:
        """Turns a request away whose key has another owner."""
        del self._waiting[request.number]
        return self._reject_not_owned(request)

    def _reject_not_owned(self, request: QueuedRequest) -> Reject:
        """Builds the refusal that lets the caller's process look again."""
        return Reject(request.number, NotServed("not-owner", elsewhere=True))

    def _service_time_s(self, request: QueuedRequest) -> float:
        """Returns how long a request is expected to run, in seconds."""
        return self._service_times.expected_s(request.route)

    def _rejection(self, code: str, request: QueuedRequest, now: float) -> NotServed:
        """Says when there will be room for a request that is turned away."""
        wait_s = self.expected_wait_s(request)
        capacity_after_s = max(
            MIN_RETRY_AFTER_S, wait_s - self._service_time_s(request)
        )
        max_retry_after_s = max(0.0, request.deadline - now) / 3.0
        retry_after_s = (
            capacity_after_s if capacity_after_s <= max_retry_after_s else None
        )
        # One upstream only may run a request for a key.
        return NotServed(code, retry_after_s, elsewhere=request.key is None)


def _priority(request: QueuedRequest) -> tuple[int, float]:
    """Returns the place of a request among those that can be in time."""
    return request.rank, request.target_at
