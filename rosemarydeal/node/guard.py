"""Dispatches requests to the upstream of this VM.

All requests to that upstream pass through the guard. It drives the dispatch
queue, sends the requests that the queue starts and returns their outcomes.
"""

from __future__ import annotations

import asyncio
import math
from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass, replace
from functools import partial

import structlog

from rosemarydeal.core.clock import now
from rosemarydeal.core.fleet import NodeIdentity, Service, UpstreamLoad
from rosemarydeal.core.requests import (
    Answered,
    Failed,
    NotServed,
    OutcomeUnknown,
    Rejected,
    RequestOutcome,
    RoutedRequest,
    UpstreamRequest,
    UpstreamResult,
)
from rosemarydeal.platform.upstream import UpstreamClient
from rosemarydeal.policy.dispatch.cold_start import ColdStartLimiter
from rosemarydeal.policy.dispatch.crash_suspects import KnownSuspects, SuspectRecord
from rosemarydeal.policy.dispatch.queue import (
    Admission,
    Decision,
    DispatchQueue,
    QueuedRequest,
    Reject,
    Start,
)
from rosemarydeal.policy.dispatch.rate_limit import RateLimiter
from rosemarydeal.policy.requests import attempts
from rosemarydeal.policy.requests.planned_stop import CODE_STOP_TOO_NEAR, PlannedStop
from rosemarydeal.policy.requests.settlement import NEVER_BEGUN, Permit
from rosemarydeal.policy.routing import leaving

from .crash_watch import CODE_SUSPECT, SUSPECT, CrashHooks, CrashWatch, TrackedRequest
from .metrics import Metrics
from .slots import DispatchSlots
from .stop_log import log_rejection_at_guard
from .tasks import TaskFailures
from .upstream import UpstreamState, UpstreamWatch
from .upstream_notices import UpstreamNotices

__all__ = ["ZONE_OUT", "Guard", "GuardHooks"]

HEARTBEAT_CHECK_PERIOD_S = 0.25
# Weight of one answer in the mean slowdown, which changes many times a second.
SLOWDOWN_WEIGHT = 0.03
# Recent keys show where a range should be split.
ARRIVALS_KEPT_S = 1.5
MAX_ARRIVALS = 600
LEAVING = NotServed("upstream-leaving", elsewhere=True)
NO_UPSTREAM = NotServed("upstream-unknown", elsewhere=True)
ZONE_OUT = NotServed("zone-out", elsewhere=True)
# A restarted process is back after about 0.8 s.
PROCESS_ENDING = NotServed("process-ending", 0.8)

_log = structlog.get_logger()


@dataclass(frozen=True, slots=True)
class GuardHooks:
    """Callbacks that connect the guard to the other tasks.

    Attributes:
        admits: Returns whether requests for a key may run here now.
        zone_out: Returns whether operators took this zone out.
        crashes: Tell the peers of requests that crash the upstream.
        service: Returns the settings of this upstream's service.
    """

    admits: Callable[[int], Admission]
    zone_out: Callable[[], bool]
    crashes: CrashHooks
    service: Callable[[], Service | None]


@dataclass(slots=True)
class _ActiveRequest:
    """A request that is queued or running here.

    Attributes:
        tracked: The request, for the case that it crashes the upstream.
        permit: Lets a peer's request begin; None for an own one.
    """

    tracked: TrackedRequest
    permit: Permit | None
    arrived_at: float
    deadline: float
    future: asyncio.Future[RequestOutcome]
    task: asyncio.Task[None] | None = None

    @property
    def request(self) -> RoutedRequest:
        """Returns the request."""
        return self.tracked.request


class Guard:
    """Runs requests of this process and of its peers at the upstream."""

    def __init__(
        self,
        identity: NodeIdentity,
        client: UpstreamClient,
        watch: UpstreamWatch,
        hooks: GuardHooks,
        metrics: Metrics,
        failures: TaskFailures | None = None,
    ) -> None:
        self._identity = identity
        self._failures = failures or TaskFailures()
        self._client = client
        self._watch = watch
        self._hooks = hooks
        self._metrics = metrics
        self._cold_limiter = ColdStartLimiter()
        self._rate_limiter = RateLimiter()
        self._notices = UpstreamNotices(watch, self._rate_limiter)
        self._queue = DispatchQueue(
            self._cold_limiter, self._rate_limiter, hooks.admits
        )
        self._dispatch_slots = DispatchSlots(self._queue, self._apply_decisions)
        self._crash_watch = CrashWatch(client, watch, hooks.crashes)
        self._active: dict[int, _ActiveRequest] = {}
        self._last_number = 0
        self._slowdown = 1.0
        self._stopping = False
        self._arrivals: deque[tuple[float, int]] = deque(maxlen=MAX_ARRIVALS)
        self._timer: asyncio.TimerHandle | None = None
        self._idle: list[asyncio.Future[None]] = []

    @property
    def running(self) -> int:
        """Returns the number of requests running at the upstream."""
        return self._queue.running

    @property
    def waiting(self) -> int:
        """Returns the number of queued requests."""
        return self._queue.waiting

    @property
    def slots(self) -> int:
        """Returns the number of requests that may run concurrently."""
        return self._queue.slots

    @property
    def dispatch_slots(self) -> DispatchSlots:
        """Returns the owner of the slots that are in use."""
        return self._dispatch_slots

    @property
    def crash_suspects(self) -> KnownSuspects:
        """Returns the requests that may crash upstreams."""
        return self._crash_watch.suspects

    @property
    def demand(self) -> float:
        """Returns the work that arrives, as a share of the slots' capacity."""
        return self._queue.times.demand(now()) / self.slots

    @property
    def limit_demand(self) -> float:
        """Returns the requests that arrive, as a share of the stated rate limit.

        It is 0 without a limit.
        """
        return self._rate_limiter.demand(self._queue.times.request_rate(now()))

    @property
    def limit_delay_s(self) -> float:
        """Returns how long the rate limit delays a request that arrives now."""
        return self._queue.limit_delay_s(now())

    @property
    def slowdown(self) -> float:
        """Returns the smoothed slowdown factor of the upstream; 1.0 is normal."""
        return self._slowdown

    @property
    def rate_limit_per_s(self) -> float:
        """Returns the rate limit stated by the upstream, infinite without one."""
        return self._rate_limiter.per_s

    @property
    def sent_per_s(self) -> float:
        """Returns the mean rate of requests sent to the upstream in recent seconds."""
        return self._rate_limiter.sent_per_s(now())

    def set_slowdown(self, slowdown: float) -> None:
        """Sets the slowdown that was measured before the first request."""
        self._slowdown = slowdown

    @property
    def recent_keys(self) -> dict[int, float]:
        """Returns the number of recent requests by key."""
        since = now() - ARRIVALS_KEPT_S
        counts: dict[int, float] = {}
        for moment, key in self._arrivals:
            if moment >= since:
                counts[key] = counts.get(key, 0.0) + 1.0
        return counts

    def apply_settings(self, settings: NodeIdentity) -> None:
        """Applies changed settings."""
        self._identity = settings

    def begin_stop(self, stop: PlannedStop) -> None:
        """Rejects, from now on, what can't be answered before a planned stop."""
        self._apply_decisions(self._queue.begin_stop(stop, now()))

    def stop_accepting(self) -> None:
        """Rejects all new requests; called when the process is about to end."""
        self._stopping = True

    def reject_waiting(self) -> None:
        """Rejects the queued requests, which the process won't live to run."""
        self.close_queue(PROCESS_ENDING)

    async def serve(
        self, request: RoutedRequest, permit: Permit | None = None
    ) -> RequestOutcome:
        """Runs a request at the upstream, or returns why it was not run.

        Args:
            request: The request.
            permit: Lets a peer's request begin, until that is withdrawn.
        """
        outcome = await self._crash_watch.run(request, partial(self._serve, permit))
        if isinstance(outcome, NotServed) and outcome.code == CODE_SUSPECT:
            self._record_outcome(request, "refused", CODE_SUSPECT, 0.0)
        return outcome

    async def _serve(
        self, permit: Permit | None, tracked: TrackedRequest
    ) -> RequestOutcome:
        """Runs a request that is no suspect of a crash, or whose turn it is."""
        request = tracked.request
        rejection = self._rejection(request)
        if rejection is not None:
            self._record_outcome(request, "refused", rejection.code, 0.0)
            return rejection
        self._last_number += 1
        number = self._last_number
        moment = now()
        active = _ActiveRequest(
            tracked,
            permit,
            moment,
            moment + request.time_left_s,
            asyncio.get_running_loop().create_future(),
        )
        self._active[number] = active
        if request.key is not None:
            self._arrivals.append((moment, request.key))
        queued = QueuedRequest(
            number,
            request.route,
            request.priority,
            request.key,
            moment,
            moment + request.target_s,
            active.deadline,
            request.request_id,
            math.inf if request.cut_s is None else moment + request.cut_s,
        )
        try:
            self._apply_decisions(self._queue.offer(queued, moment))
            outcome = await active.future
            if isinstance(outcome, NotServed) and outcome.code == CODE_STOP_TOO_NEAR:
                log_rejection_at_guard(self._queue, queued, request.request_id)
            return outcome
        finally:
            self._discard(number, active)

    def apply_upstream_state(
        self, state: UpstreamState, old: UpstreamState | None
    ) -> None:
        """Applies a change of the upstream's state to the queue and cold limit."""
        moment = now()
        service = self._hooks.service()
        announcement = state.announcement
        self._queue.set_slots(announcement.slots)
        cold_per_s = service.cold_per_s if service is not None else 0.0
        cold_left_s = announcement.cold_left_s
        restarted = old is None or old.incarnation != state.incarnation or not old.alive
        if restarted and state.alive and service is not None and old is not None:
            cold_left_s = max(cold_left_s, service.cold_period_s)
        if old is not None and old.incarnation != state.incarnation:
            self._rate_limiter.reset()
        if state.alive:
            self._cold_limiter.set_cold(moment + cold_left_s, cold_per_s)
        self._crash_watch.note_state(state, old)
        if state.accepting:
            self._queue.open()
            self.advance()
        elif not state.alive:
            self._apply_decisions(self._queue.close(NO_UPSTREAM))

    def on_service_changed(self) -> None:
        """Applies a changed cold rate of the service."""
        service = self._hooks.service()
        if service is not None:
            self._cold_limiter.set_cold(
                self._cold_limiter.cold_until, service.cold_per_s
            )

    def mark_cold(self, cold_period_s: float, cold_per_s: float) -> None:
        """Treats the upstream as cold, for example after its zone is back in use."""
        self._cold_limiter.set_cold(now() + cold_period_s, cold_per_s)

    def close_queue(self, outcome: NotServed) -> None:
        """Stops dispatching and rejects all queued requests with an outcome."""
        self._apply_decisions(self._queue.close(outcome))

    def reopen_queue(self) -> None:
        """Resumes dispatching if the upstream accepts requests."""
        state = self._watch.state
        if state is not None and state.accepting:
            self._queue.open()
            self.advance()

    def add_crash_suspects(self, records: Iterable[SuspectRecord]) -> None:
        """Adds requests that may crash upstreams, which a peer knows."""
        self._crash_watch.merge(records)

    def clear_suspect(self, fingerprint: str, crashes: tuple[str, ...] = ()) -> None:
        """Clears a suspect that was answered at a peer of crashes, of all if empty."""
        self._crash_watch.clear(fingerprint, crashes)

    def runs_in(self, first: int, last: int) -> int:
        """Returns the number of running requests for the keys of a range."""
        return sum(
            1
            for active in self._active.values()
            if active.task is not None
            and active.request.key is not None
            and first <= active.request.key <= last
        )

    def advance(self) -> None:
        """Starts or rejects the queued requests that are due."""
        self._apply_decisions(self._queue.advance(now()))

    async def check_heartbeats(self) -> None:
        """Checks regularly for missed heartbeats of the upstream, until cancelled."""
        while True:
            await asyncio.sleep(HEARTBEAT_CHECK_PERIOD_S)
            self._watch.check_heartbeat()
            self._check_leaving()

    def _check_leaving(self) -> None:
        """Rejects the requests that still wait when an upstream is about to leave."""
        state = self._watch.state
        if state is None or state.leaving_since is None or not self.waiting:
            return
        leaving_for_s = now() - state.leaving_since
        if not leaving.may_dispatch(leaving_for_s, self._identity.bounds.drain_s):
            self.close_queue(LEAVING)

    def _rejection(self, request: RoutedRequest) -> NotServed | None:
        """Returns why a request can't be accepted now, or None if it can."""
        if request.service != self._identity.service:
            return NotServed("other-service", elsewhere=True)
        if self._stopping:
            return PROCESS_ENDING
        state = self._watch.state
        # The cold rate is part of the configuration.
        if state is None or not state.alive or self._hooks.service() is None:
            return NO_UPSTREAM
        if self._hooks.zone_out():
            return ZONE_OUT
        if state.leaving_since is None:
            return None
        leaving_for_s = now() - state.leaving_since
        drain_s = self._identity.bounds.drain_s
        if request.key is None or not leaving.may_accept(leaving_for_s, drain_s):
            return LEAVING
        return None

    def _apply_decisions(self, decisions: list[Decision]) -> None:
        """Starts and rejects requests as the queue decided."""
        pending = deque(decisions)
        while pending:
            match pending.popleft():
                case Start(number):
                    pending.extend(self._start(number))
                case Reject(number, outcome):
                    self._reject(number, outcome)
        self._schedule()

    def _start(self, number: int) -> list[Decision]:
        """Runs a request, unless its caller has left or it was blocked meanwhile.

        Returns:
            What the queue decides when a request is withdrawn.
        """
        active = self._active.get(number)
        if active is None or active.future.done():
            self._remove_left()
            return self._queue.withdraw(number, now())
        if self._crash_watch.is_blocked(active.tracked):
            # Whoever waits for this outcome counts it.
            active.future.set_result(SUSPECT)
            return self._queue.withdraw(number, now())
        if active.permit is not None and not active.permit.try_begin():
            active.future.set_result(NEVER_BEGUN)
            return self._queue.withdraw(number, now())
        active.task = self._dispatch_slots.start(number, self._run(number, active))
        return []

    def _reject(self, number: int, outcome: NotServed) -> None:
        """Rejects a request unless its caller has left."""
        active = self._active.get(number)
        if active is None or active.future.done():
            return
        waited_s = now() - active.arrived_at
        self._record_outcome(active.request, "refused", outcome.code, waited_s)
        active.future.set_result(outcome)

    def _remove_left(self) -> None:
        """Removes the waiting requests whose callers have left."""
        for number, active in self._active.items():
            if active.future.done():
                self._queue.remove(number)

    def _schedule(self) -> None:
        """Sets the timer for the queue's next time-based decision."""
        moment = now()
        wake_at = self._queue.wake_at(moment)
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if wake_at is not None:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(max(0.02, wake_at - moment), self.advance)

    async def _run(self, number: int, active: _ActiveRequest) -> None:
        """Sends a request to the upstream and completes it with the outcome."""
        started = now()
        incarnation = ""
        result: UpstreamResult | None = None
        try:
            state = self._watch.state
            incarnation = state.incarnation
            upstream_request = UpstreamRequest(
                active.request,
                state.announcement.instance,
                active.deadline - started,
                attempts.max_idle_s(active.request.idempotent),
            )
            result = await self._client.run(upstream_request)
            self._notices.apply(result, incarnation, started)
            if isinstance(result, Failed) and result.sent and result.closed:
                # Nothing more is sent meanwhile in the place of this request.
                await self._crash_watch.confirm(active.tracked, incarnation)
        except Exception as error:
            # The caller waits for an outcome, and the request may have been sent.
            self._failures.note("dispatch", error)
            result = result or Failed("dispatch-failed", sent=True)
        finally:
            completed = isinstance(result, Answered)
            self._dispatch_slots.finish(number, completed)
        if isinstance(result, Answered):
            self._crash_watch.note_answer(
                active.tracked, result.status, incarnation, started
            )
        outcome = self._outcome(result, incarnation)
        load = result.load if isinstance(result, Answered | Rejected) else None
        self._record_outcome(
            active.request, *attempts.outcome_labels(outcome), now() - started, load
        )
        if not active.future.done():
            active.future.set_result(outcome)

    def _outcome(self, result: UpstreamResult, incarnation: str) -> RequestOutcome:
        """Converts the result of an incarnation of the upstream into an outcome."""
        match result:
            case Answered(load=load, notice=notice):
                if load is not None:
                    self._slowdown += SLOWDOWN_WEIGHT * (load.slowdown - self._slowdown)
                if notice is not None and notice.leaving:
                    return replace(result, leaving_incarnation=incarnation)
                return result
            case Rejected(status):
                return NotServed(
                    f"upstream-rejected-{status}", elsewhere=True, reached=True
                )
            case Failed(code, sent, timed_out, refused):
                if not sent:
                    if refused:
                        self._watch.report_connect_failed(incarnation)
                    return NotServed(code, elsewhere=True)
                return OutcomeUnknown(code, timed_out)

    def _discard(self, number: int, active: _ActiveRequest) -> None:
        """Removes a request and cancels it if it still runs."""
        self._active.pop(number, None)
        self._queue.remove(number)
        if active.task is not None and not active.task.done():
            active.task.cancel()

    def _record_outcome(
        self,
        request: RoutedRequest,
        outcome: str,
        code: str,
        seconds: float,
        load: UpstreamLoad | None = None,
    ) -> None:
        """Records an outcome in the log and the metrics."""
        self._metrics.count_dispatch(request.service, outcome, code, seconds)
        _log.info(
            "dispatch",
            request_id=request.request_id,
            key=request.key,
            route=request.route,
            priority=request.priority,
            outcome=outcome,
            code=code,
            seconds=round(seconds, 4),
            running=self.running,
            waiting=self.waiting,
            slots=self.slots,
            slowdown=load.slowdown if load is not None else None,
        )
