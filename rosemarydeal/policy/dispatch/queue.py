"""Queue of the requests that wait for the upstream, with load shedding.

Requests wait here, never in a queue of the upstream itself.

Load pattern: more work than the upstream can do, in bursts of seconds or
permanently. Requests that can still meet their latency target go first, ordered
by rank and then by the time at which the target ends; the target of a retry after
a rejection is counted from the first arrival. Under a backlog a request that could
only be late is rejected at once, since it would take the place of one in time. A
request that cannot be answered before its deadline at the present speed of the
upstream is rejected on arrival, or as soon as that becomes known, with the time
after which capacity is expected. A rate limit of the upstream delays requests in the
same way as a lack of slots does.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Mapping, Sequence

from rosemarydeal.core.requests import NotServed
from rosemarydeal.policy.requests import planned_stop
from rosemarydeal.policy.requests.planned_stop import NO_STOP, PlannedStop, RequestTimes

from .cold_start import ColdStartLimiter
from .queued import Admission, Decision, QueuedRequest, Reject, Start, Started
from .rate_limit import RateLimiter
from .service_time import ServiceTimes

__all__ = [
    "Admission",
    "Decision",
    "DispatchQueue",
    "QueuedRequest",
    "Reject",
    "Start",
]

CODE_OVERLOADED = "overloaded"
CODE_NOT_IN_TIME = "not-in-time"
# Requests that would miss their target only fill slots that would be idle
# otherwise: they are accepted while the queue is at most this share of the slots.
LATE_QUEUE_SHARE = 0.25
# A caller that retries at once finds the same queue.
MIN_RETRY_AFTER_S = 0.1


class DispatchQueue:
    """Waiting and running requests of the upstream."""

    def __init__(
        self,
        cold: ColdStartLimiter,
        rate: RateLimiter,
        admits: Callable[[int], Admission],
    ) -> None:
        """Creates an empty, closed queue.

        Args:
            cold: Rate limiter for the upstream's cold start.
            rate: Rate limiter for the limit that the upstream states.
            admits: Returns whether requests for a key may run here now.
        """
        self._cold = cold
        self._rate = rate
        self._admits = admits
        self._service_times = ServiceTimes()
        self._waiting: dict[int, QueuedRequest] = {}
        self._running: dict[int, Started] = {}
        self._slots = 1
        self._open = False
        self._stop = NO_STOP

    @property
    def running(self) -> int:
        """Returns the number of requests at the upstream."""
        return len(self._running)

    @property
    def started(self) -> Mapping[int, str]:
        """Returns the ids of the requests at the upstream, by number."""
        return {number: entry.request_id for number, entry in self._running.items()}

    @property
    def waiting(self) -> int:
        """Returns the number of requests in the queue."""
        return len(self._waiting)

    @property
    def slots(self) -> int:
        """Returns the number of requests that may run at a time."""
        return self._slots

    @property
    def times(self) -> ServiceTimes:
        """Returns the measured service times."""
        return self._service_times

    @property
    def stop(self) -> PlannedStop:
        """Returns the planned stop of this process."""
        return self._stop

    def set_slots(self, slots: int) -> None:
        """Sets how many requests may run at a time."""
        self._slots = max(1, slots)

    def open(self) -> None:
        """Allows requests to be sent to the upstream."""
        self._open = True

    def close(self, outcome: NotServed) -> list[Decision]:
        """Stops sending requests to the upstream and rejects all that wait."""
        self._open = False
        rejected = [Reject(number, outcome) for number in self._waiting]
        self._waiting.clear()
        return rejected

    def begin_stop(self, stop: PlannedStop, now: float) -> list[Decision]:
        """Rejects, from now on, what can't be answered before a planned stop."""
        self._stop = stop
        return self.advance(now)

    def cut_at(self, request: QueuedRequest) -> float:
        """Returns when the first process on a request's way cuts its connections."""
        return min(self._stop.cut_at, request.cut_at)

    def latest_start(self, request: QueuedRequest, now: float) -> float:
        """Returns until when a request may be sent, with regard to planned stops."""
        cut_at = self.cut_at(request)
        if cut_at == math.inf:
            return math.inf
        high_s = self.high_service_time_s(request.route, now)
        times = RequestTimes(high_s, request.deadline)
        return planned_stop.latest_start(cut_at, times)

    def high_service_time_s(self, route: str, now: float) -> float | None:
        """Returns a high estimate of a service time, None without a measurement."""
        high_s = self._service_times.high_s(route)
        if high_s is None:
            return None
        running_s = [
            now - started.at
            for started in self._running.values()
            if started.route == route
        ]
        return max([high_s, *running_s])

    def offer(self, request: QueuedRequest, now: float) -> list[Decision]:
        """Queues a request, or rejects it at once."""
        self._service_times.record_arrival(request.rank, request.route, now)
        rejected = self._check_capacity(request, now)
        if rejected is not None:
            return [rejected]
        latest = self.latest_start(request, now)
        if latest < math.inf and now + self.expected_wait_s(request, now) > latest:
            return [self._reject_before_stop(request, now)]
        self._waiting[request.number] = request
        return self.advance(now)

    def remove(self, number: int) -> None:
        """Removes a waiting request whose caller has stopped waiting."""
        self._waiting.pop(number, None)

    def finish(self, number: int, now: float, completed: bool) -> list[Decision]:
        """Removes a running request and starts those that may run now.

        Args:
            number: Identifier of the request.
            now: The current time.
            completed: Whether it was answered, so that its service time counts.
        """
        started = self._running.pop(number, None)
        if started is not None:
            self._record_end(started, now - started.at, completed)
        return self.advance(now)

    def withdraw(self, number: int, now: float) -> list[Decision]:
        """Removes a started request that was not sent, and starts others.

        It counts neither as running nor, for the limits, as sent.
        """
        started = self._running.pop(number, None)
        if started is not None:
            self._cold.withdraw_sent(started.at)
            self._rate.withdraw_sent(started.at, now)
        return self.advance(now)

    def advance(self, now: float) -> list[Decision]:
        """Starts requests that may run and rejects those that would be too late."""
        decisions = self._reject_missed_starts(now)
        if not self._open:
            return decisions + self._reject_missed_deadlines(now)
        for request in self._ordered(now):
            if not self._may_send(now):
                break
            match self._admission(request):
                case Admission.RUN:
                    decisions.append(self._start(request, now))
                case Admission.ELSEWHERE:
                    decisions.append(self._remove_not_owned(request))
                case Admission.WAIT:
                    continue
        # Requests that might miss their deadline are started before they are
        # rejected, since no other request needed the slot.
        return decisions + self._reject_missed_deadlines(now)

    def wake_at(self, now: float) -> float | None:
        """Returns when to call `advance` next if no other event occurs."""
        if not self._waiting:
            return None
        wake_times = [
            request.deadline - self._service_time_s(request)
            for request in self._waiting.values()
        ]
        wake_times += [
            self.latest_start(request, now) for request in self._waiting.values()
        ]
        if self._open and len(self._running) < self._slots:
            wake_times.append(
                max(self._cold.next_send_at(now), self._rate.next_send_at(now))
            )
        return min(wake_times)

    def expected_wait_s(self, request: QueuedRequest, now: float) -> float:
        """Returns the expected queueing time of a request, in seconds."""
        priority = _priority(request)
        ahead = [
            other
            for other in self._waiting.values()
            if _priority(other) <= priority and other is not request
        ]
        urgent_per_s = self._service_times.request_rate_above(request.rank)
        limit_delay_s = self._rate.delay_s(len(ahead), now, urgent_per_s)
        return max(limit_delay_s, self._slot_wait_s(request, ahead))

    def limit_delay_s(self, now: float) -> float:
        """Returns how long the rate limit delays a request that arrives now."""
        return self._rate.delay_s(len(self._waiting), now)

    def _may_send(self, now: float) -> bool:
        """Returns whether the upstream accepts another request now."""
        running = len(self._running)
        return (
            running < self._slots
            and self._cold.may_send(now)
            and self._rate.may_send(running, now)
        )

    def _slot_wait_s(
        self, request: QueuedRequest, ahead: Sequence[QueuedRequest]
    ) -> float:
        """Returns the expected time until a slot is free for a request, in seconds."""
        work_ahead_s = sum(self._service_time_s(other) for other in ahead)
        free_slots = self._slots - len(self._running)
        if free_slots > len(self._waiting):
            return 0.0
        urgent_rate = self._service_times.work_rate_above(request.rank)
        shared_slots = max(0.2 * self._slots, self._slots - urgent_rate)
        residual_s = self._residual_s() if free_slots <= 0 else 0.0
        return work_ahead_s / shared_slots + residual_s

    def _residual_s(self) -> float:
        """Returns the expected time until a running request ends, in seconds."""
        service_times_s = [
            self._service_times.expected_s(started.route)
            for started in self._running.values()
        ]
        return 0.5 * sum(service_times_s) / len(service_times_s) / self._slots

    def _check_capacity(self, request: QueuedRequest, now: float) -> Reject | None:
        """Returns the rejection of a request for lack of capacity or ownership.

        Returns:
            The rejection, or None if the request is accepted.
        """
        if self._admission(request) is Admission.ELSEWHERE:
            return self._reject_not_owned(request)
        free_slot = len(self._running) < self._slots
        if not self._waiting and free_slot and self._rate.delay_s(0, now) <= 0:
            return None
        wait_s = self.expected_wait_s(request, now)
        finish_at = now + wait_s + self._service_time_s(request)
        in_time = finish_at <= request.target_at
        backlog = len(self._waiting) > LATE_QUEUE_SHARE * self._slots
        if finish_at <= request.deadline and (in_time or not backlog):
            return None
        return Reject(request.number, self._rejection(CODE_OVERLOADED, request, now))

    def _reject_missed_deadlines(self, now: float) -> list[Decision]:
        """Rejects requests that would miss their deadline if sent in their turn."""
        rejected = []
        ahead = 0
        for request in self._ordered(now):
            send_at = now + self._rate.delay_s(ahead, now)
            if send_at + 0.7 * self._service_time_s(request) <= request.deadline:
                ahead += self._admission(request) is Admission.RUN
                continue
            del self._waiting[request.number]
            outcome = self._rejection(CODE_NOT_IN_TIME, request, now)
            rejected.append(Reject(request.number, outcome))
        return rejected

    def _record_end(self, started: Started, seconds: float, completed: bool) -> None:
        """Updates the service times with a request that has ended."""
        if completed:
            self._service_times.record_service_time(started.route, seconds)
        else:
            self._service_times.record_unfinished(started.route, seconds)

    def _reject_missed_starts(self, now: float) -> list[Decision]:
        """Rejects requests that can't be answered before a planned stop any more."""
        missed = [
            request
            for request in self._waiting.values()
            if now > self.latest_start(request, now)
        ]
        for request in missed:
            del self._waiting[request.number]
        return [self._reject_before_stop(request, now) for request in missed]

    def _reject_before_stop(self, request: QueuedRequest, now: float) -> Reject:
        """Returns the rejection of a request that a planned stop would cut."""
        elsewhere = request.key is None and self._stop.cut_at < request.cut_at
        outcome = planned_stop.rejection(elsewhere, request.deadline - now)
        return Reject(request.number, outcome)

    def _ordered(self, now: float) -> list[QueuedRequest]:
        """Returns the waiting requests in the order in which they should run."""

        def sort_key(request: QueuedRequest) -> tuple[bool, int, float]:
            late = now + self._service_time_s(request) > request.target_at
            return late, *_priority(request)

        return sorted(self._waiting.values(), key=sort_key)

    def _admission(self, request: QueuedRequest) -> Admission:
        """Returns whether a request may run here now, by its key."""
        return Admission.RUN if request.key is None else self._admits(request.key)

    def _start(self, request: QueuedRequest, now: float) -> Start:
        """Moves a request from the waiting to the running ones."""
        del self._waiting[request.number]
        self._running[request.number] = Started(request.route, now, request.request_id)
        self._cold.record_sent(now)
        self._rate.record_sent(now)
        return Start(request.number)

    def _remove_not_owned(self, request: QueuedRequest) -> Reject:
        """Removes and rejects a waiting request whose key has another owner."""
        del self._waiting[request.number]
        return self._reject_not_owned(request)

    def _reject_not_owned(self, request: QueuedRequest) -> Reject:
        """Returns a rejection after which the sender looks the owner up again."""
        return Reject(request.number, NotServed("not-owner", elsewhere=True))

    def _service_time_s(self, request: QueuedRequest) -> float:
        """Returns the expected service time of a request, in seconds."""
        return self._service_times.expected_s(request.route)

    def _rejection(self, code: str, request: QueuedRequest, now: float) -> NotServed:
        """Returns the outcome of a rejected request.

        It has a retry time if capacity is expected within a third of the time left.
        """
        wait_s = self.expected_wait_s(request, now)
        capacity_after_s = max(
            MIN_RETRY_AFTER_S, wait_s - self._service_time_s(request)
        )
        max_retry_after_s = max(0.0, request.deadline - now) / 3.0
        retry_after_s = (
            capacity_after_s if capacity_after_s <= max_retry_after_s else None
        )
        # Only one upstream may run requests for a key.
        return NotServed(code, retry_after_s, elsewhere=request.key is None)


def _priority(request: QueuedRequest) -> tuple[int, float]:
    """Returns the sort key of a request among those that can meet their target."""
    return request.rank, request.target_at
