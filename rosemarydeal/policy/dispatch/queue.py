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
LATE_PART = 0.25
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
        self._times = ServiceTimes()
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
        return self._times

    def set_slots(self, slots: int) -> None:
        """Sets how many requests may run at a time."""
        self._slots = max(1, slots)

    def open(self) -> None:
        """Lets requests go to the upstream."""
        self._open = True

    def close(self, outcome: NotServed) -> list[Decision]:
        """Lets nothing go to the upstream any more and refuses what waits."""
        self._open = False
        refused = [Reject(number, outcome) for number in self._waiting]
        self._waiting.clear()
        return refused

    def offer(self, waiting: QueuedRequest, now: float) -> list[Decision]:
        """Takes a request in, or turns it away at once."""
        self._times.record_arrival(waiting.rank, waiting.route, now)
        refused = self._check_room(waiting, now)
        if refused is not None:
            return [refused]
        self._waiting[waiting.number] = waiting
        return self.advance(now)

    def remove(self, number: int) -> None:
        """Forgets a request that nobody waits for any more."""
        self._waiting.pop(number, None)

    def finish(self, number: int, now: float, completed: bool) -> list[Decision]:
        """Notes that a request has left the upstream, and lets others go."""
        route, since = self._running.pop(number, ("", now))
        if completed:
            self._times.record_service_time(route, now - since)
        return self.advance(now)

    def advance(self, now: float) -> list[Decision]:
        """Lets go what may run, and turns away what can't be in time."""
        if not self._open:
            return self._drop_hopeless(now)
        decisions: list[Decision] = []
        for waiting in self._ordered(now):
            if len(self._running) >= self._slots or not self._cold.may_send(now):
                break
            match self._admission(waiting):
                case Admission.RUN:
                    decisions.append(self._start(waiting, now))
                case Admission.ELSEWHERE:
                    decisions.append(self._send_elsewhere(waiting))
                case Admission.WAIT:
                    continue
        # What could start has started, even if it may end too late: nobody
        # else wanted the slot.
        return decisions + self._drop_hopeless(now)

    def wake_at(self, now: float) -> float | None:
        """Returns when to call `advance` again although nothing happens."""
        if not self._waiting:
            return None
        moments = [w.deadline - self._expected(w) for w in self._waiting.values()]
        if self._open and len(self._running) < self._slots:
            moments.append(self._cold.next_send_at(now))
        return min(moments)

    def expected_wait_s(self, waiting: QueuedRequest) -> float:
        """Returns how long a request would wait now, in seconds."""
        place = _place(waiting)
        ahead = sum(
            self._expected(other)
            for other in self._waiting.values()
            if _place(other) <= place and other is not waiting
        )
        free = self._slots - len(self._running)
        if free > len(self._waiting):
            return 0.0
        urgent = self._times.work_rate_above(waiting.rank)
        width = max(0.2 * self._slots, self._slots - urgent)
        residual = self._residual() if free <= 0 else 0.0
        return ahead / width + residual

    def _residual(self) -> float:
        """Returns how soon the next of the running requests ends, in seconds."""
        routes = [route for route, _ in self._running.values()]
        expected = [self._times.expected_s(route) for route in routes]
        return 0.5 * sum(expected) / len(expected) / self._slots

    def _check_room(self, waiting: QueuedRequest, now: float) -> Reject | None:
        """Refuses a request that can't be answered while somebody waits for it."""
        if self._admission(waiting) is Admission.ELSEWHERE:
            return self._not_here(waiting)
        if not self._waiting and len(self._running) < self._slots:
            return None
        done_at = now + self.expected_wait_s(waiting) + self._expected(waiting)
        in_time = done_at <= waiting.target_at
        backlog = len(self._waiting) > LATE_PART * self._slots
        if done_at <= waiting.deadline and (in_time or not backlog):
            return None
        return Reject(waiting.number, self._refusal(CODE_OVERLOADED, waiting, now))

    def _drop_hopeless(self, now: float) -> list[Decision]:
        """Turns away what would not be answered even if it ran now."""
        refused = []
        for waiting in list(self._waiting.values()):
            if now + 0.7 * self._expected(waiting) <= waiting.deadline:
                continue
            del self._waiting[waiting.number]
            outcome = self._refusal(CODE_NOT_IN_TIME, waiting, now)
            refused.append(Reject(waiting.number, outcome))
        return refused

    def _ordered(self, now: float) -> list[QueuedRequest]:
        """Returns what waits, in the order in which it should run."""

        def order(waiting: QueuedRequest) -> tuple[bool, int, float]:
            late = now + self._expected(waiting) > waiting.target_at
            return late, *_place(waiting)

        return sorted(self._waiting.values(), key=order)

    def _admission(self, waiting: QueuedRequest) -> Admission:
        """Tells whether a request's key allows it to run."""
        return Admission.RUN if waiting.key is None else self._admits(waiting.key)

    def _start(self, waiting: QueuedRequest, now: float) -> Start:
        """Moves a request from the queue to the upstream."""
        del self._waiting[waiting.number]
        self._running[waiting.number] = (waiting.route, now)
        self._cold.record_sent(now)
        return Start(waiting.number)

    def _send_elsewhere(self, waiting: QueuedRequest) -> Reject:
        """Turns a request away whose key has another owner."""
        del self._waiting[waiting.number]
        return self._not_here(waiting)

    def _not_here(self, waiting: QueuedRequest) -> Reject:
        """Builds the refusal that lets the caller's process look again."""
        return Reject(waiting.number, NotServed("not-owner", elsewhere=True))

    def _expected(self, waiting: QueuedRequest) -> float:
        """Returns how long a request is expected to run, in seconds."""
        return self._times.expected_s(waiting.route)

    def _refusal(self, code: str, waiting: QueuedRequest, now: float) -> NotServed:
        """Says when there will be room for a request that is turned away."""
        wait = self.expected_wait_s(waiting)
        room_after = max(MIN_RETRY_AFTER_S, wait - self._expected(waiting))
        most = max(0.0, waiting.deadline - now) / 3.0
        retry_after = room_after if room_after <= most else None
        # One upstream only may run a request for a key.
        return NotServed(code, retry_after, elsewhere=waiting.key is None)


def _place(waiting: QueuedRequest) -> tuple[int, float]:
    """Returns the place of a request among those that can be in time."""
    return waiting.rank, waiting.target_at
