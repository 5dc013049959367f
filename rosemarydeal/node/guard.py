"""Owns the way to the upstream of this VM: the only one there is.

Drives the dispatch queue, sends what it starts and tells each waiter how its
request ended.
"""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

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
from rosemarydeal.policy.dispatch.crash_suspects import (
    CrashSuspectCounter,
    request_fingerprint,
)
from rosemarydeal.policy.dispatch.queue import (
    Admission,
    Decision,
    DispatchQueue,
    QueuedRequest,
    Reject,
    Start,
)
from rosemarydeal.policy.requests import attempts

from .metrics import Metrics
from .upstream import UpstreamState, UpstreamWatch

__all__ = ["ZONE_OUT", "Guard", "GuardHooks"]

SILENCE_PERIOD_S = 0.25
# The pace changes many times a second; its mean is what counts.
PACE_WEIGHT = 0.03
# Keys of the last seconds show where a range should be cut.
ARRIVALS_KEPT_S = 1.5
MAX_ARRIVALS = 600
LEAVING = NotServed("upstream-leaving", elsewhere=True)
NO_UPSTREAM = NotServed("upstream-unknown", elsewhere=True)
ZONE_OUT = NotServed("zone-out", elsewhere=True)
# A process that is restarted is back after about this long.
ENDING = NotServed("process-ending", 0.8)
SUSPECT = NotServed("crash-suspect")
SUCCESSES = range(200, 300)

_log = structlog.get_logger()


@dataclass(frozen=True, slots=True)
class GuardHooks:
    """Connects the guard to the other tasks.

    Attributes:
        admits: Tells whether requests for a key may run here now.
        zone_out: Tells whether operators took this zone out.
        on_crash: Called with the requests that ran when the upstream crashed.
        on_acquitted: Called with a request that was blamed and has succeeded.
        service: Returns the settings of this upstream's service.
    """

    admits: Callable[[int], Admission]
    zone_out: Callable[[], bool]
    on_crash: Callable[[tuple[str, ...]], None]
    on_acquitted: Callable[[str], None]
    service: Callable[[], Service | None]


@dataclass(slots=True)
class _Served:
    """Is a request that waits or runs here."""

    request: RoutedRequest
    mark: str
    arrived: float
    give_up_at: float
    future: asyncio.Future[RequestOutcome]
    task: asyncio.Task[None] | None = None


class Guard:
    """Serves orders of this process and of others at the upstream."""

    def __init__(
        self,
        identity: NodeIdentity,
        client: UpstreamClient,
        watch: UpstreamWatch,
        hooks: GuardHooks,
        metrics: Metrics,
    ) -> None:
        self._identity = identity
        self._client = client
        self._watch = watch
        self._hooks = hooks
        self._metrics = metrics
        self._cold = ColdStartLimiter()
        self._queue = DispatchQueue(self._cold, hooks.admits)
        self._crash_suspects = CrashSuspectCounter()
        self._served: dict[int, _Served] = {}
        self._count = 0
        self._pace = 1.0
        self._closed_to_new = False
        self._arrivals: deque[tuple[float, int]] = deque(maxlen=MAX_ARRIVALS)
        self._timer: asyncio.TimerHandle | None = None
        self._idle: list[asyncio.Future[None]] = []

    @property
    def running(self) -> int:
        """Returns the number of requests at the upstream."""
        return self._queue.running

    @property
    def waiting(self) -> int:
        """Returns the number of requests that wait."""
        return self._queue.waiting

    @property
    def slots(self) -> int:
        """Returns the number of requests that may run at a time."""
        return self._queue.slots

    @property
    def demand(self) -> float:
        """Returns the work that arrives, as a share of what the slots can do."""
        return self._queue.times.demand(now()) / self.slots

    @property
    def pace(self) -> float:
        """Returns how long work takes at the upstream, 1.0 as usual, smoothed."""
        return self._pace

    def set_pace(self, pace: float) -> None:
        """Sets the pace that was measured before any request ran."""
        self._pace = pace

    @property
    def recent_keys(self) -> dict[int, float]:
        """Returns how often each key was asked for lately."""
        since = now() - ARRIVALS_KEPT_S
        counts: dict[int, float] = {}
        for moment, key in self._arrivals:
            if moment >= since:
                counts[key] = counts.get(key, 0.0) + 1.0
        return counts

    def end(self) -> None:
        """Takes no more orders, since the process is about to end."""
        self._closed_to_new = True

    async def serve(self, request: RoutedRequest) -> RequestOutcome:
        """Runs an order at the upstream, or says that it did not run."""
        refusal = self._refusal(request)
        if refusal is not None:
            self._note(request, "refused", refusal.code, 0.0)
            return refusal
        self._count += 1
        number = self._count
        moment = now()
        served = _Served(
            request,
            request_fingerprint(request.method, request.target, request.body),
            moment,
            moment + request.time_left_s,
            asyncio.get_running_loop().create_future(),
        )
        if self._crash_suspects.is_suspect(served.mark, moment):
            self._note(request, "refused", SUSPECT.code, 0.0)
            return SUSPECT
        self._served[number] = served
        if request.key is not None:
            self._arrivals.append((moment, request.key))
        waiting = QueuedRequest(
            number,
            request.route,
            request.priority,
            request.key,
            moment,
            moment + request.target_s,
            served.give_up_at,
        )
        self._perform(self._queue.offer(waiting, moment))
        try:
            return await served.future
        finally:
            self._forget(number, served)

    def take_state(self, state: UpstreamState, old: UpstreamState | None) -> None:
        """Follows the upstream's life."""
        moment = now()
        service = self._hooks.service()
        announced = state.announcement
        self._queue.set_slots(announced.slots)
        per_s = service.cold_per_s if service is not None else 0.0
        left = announced.cold_left_s
        reborn = old is None or old.life != state.life or not old.alive
        if reborn and state.alive and service is not None and old is not None:
            left = max(left, service.cold_period_s)
        if state.alive:
            self._cold.set_cold(moment + left, per_s)
        if (
            old is not None
            and old.alive
            and (not state.alive or old.life != state.life)
        ):
            self._note_crash()
        if state.accepting:
            self._queue.open()
            self.advance()
        elif not state.alive:
            self._perform(self._queue.close(NO_UPSTREAM))

    def follow_service(self) -> None:
        """Follows a change of what a cold upstream of the service bears."""
        service = self._hooks.service()
        if service is not None:
            self._cold.set_cold(self._cold.cold_until, service.cold_per_s)

    def set_cold_again(self, period_s: float, per_s: float) -> None:
        """Takes it that the upstream may be cold, as after a zone's return."""
        self._cold.set_cold(now() + period_s, per_s)

    def close_for(self, outcome: NotServed) -> None:
        """Lets nothing go to the upstream any more."""
        self._perform(self._queue.close(outcome))

    def reopen(self) -> None:
        """Lets requests go to the upstream again, if it takes any."""
        state = self._watch.state
        if state is not None and state.accepting:
            self._queue.open()
            self.advance()

    def take_blame(self, marks: tuple[str, ...]) -> None:
        """Counts a crash of another upstream."""
        self._crash_suspects.record_crash(marks, now())

    def acquit(self, mark: str) -> None:
        """Forgets the crashes that a request is blamed for: it succeeded at a peer."""
        self._crash_suspects.clear(mark)

    def runs_in(self, first: int, last: int) -> int:
        """Returns the number of requests that run for keys of a range."""
        return sum(
            1
            for served in self._served.values()
            if served.task is not None
            and served.request.key is not None
            and first <= served.request.key <= last
        )

    def advance(self) -> None:
        """Lets the queue go on."""
        self._perform(self._queue.advance(now()))

    async def watch_upstream(self) -> None:
        """Looks again and again whether the upstream is silent, until cancelled."""
        while True:
            await asyncio.sleep(SILENCE_PERIOD_S)
            self._watch.check_silence()

    def _refusal(self, request: RoutedRequest) -> NotServed | None:
        """Returns why no order is taken now, if none is."""
        if request.service != self._identity.service:
            return NotServed("other-service", elsewhere=True)
        if self._closed_to_new:
            return ENDING
        state = self._watch.state
        # What a cold upstream bears is known with the configuration only.
        if state is None or not state.alive or self._hooks.service() is None:
            return NO_UPSTREAM
        if self._hooks.zone_out():
            return ZONE_OUT
        if state.leaving_since is None:
            return None
        left_for = now() - state.leaving_since
        if request.key is None or left_for > self._identity.bounds.drain_s / 2:
            return LEAVING
        return None

    def _perform(self, decisions: list[Decision]) -> None:
        """Carries decisions of the queue out."""
        for decision in decisions:
            served = self._served.get(decision.number)
            if served is None or served.future.done():
                continue
            match decision:
                case Start(number):
                    served.task = asyncio.create_task(self._run(number, served))
                case Reject(_, outcome):
                    self._note(
                        served.request, "refused", outcome.code, now() - served.arrived
                    )
                    served.future.set_result(outcome)
        self._schedule()

    def _schedule(self) -> None:
        """Sets the timer for the queue's next decision without an event."""
        moment = now()
        wake_at = self._queue.wake_at(moment)
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if wake_at is not None:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(max(0.02, wake_at - moment), self.advance)

    async def _run(self, number: int, served: _Served) -> None:
        """Sends a request to the upstream and ends it."""
        state = self._watch.state
        left = served.give_up_at - now()
        dispatched = UpstreamRequest(
            served.request,
            state.announcement.instance,
            left,
            attempts.max_idle_s(served.request.idempotent),
        )
        started = now()
        result: UpstreamResult | None = None
        try:
            result = await self._client.run(dispatched)
        finally:
            completed = isinstance(result, Answered)
            decisions = self._queue.finish(number, now(), completed)
            self._perform(decisions)
        ending = self._ending(served, result)
        load = result.load if isinstance(result, Answered | Rejected) else None
        self._note(
            served.request, *attempts.outcome_labels(ending), now() - started, load
        )
        if not served.future.done():
            served.future.set_result(ending)

    def _ending(self, served: _Served, result: UpstreamResult) -> RequestOutcome:
        """Turns the upstream's result into the ending that the caller gets."""
        match result:
            case Answered(status, load=load):
                if status in SUCCESSES and self._crash_suspects.clear(served.mark):
                    self._hooks.on_acquitted(served.mark)
                if load is not None:
                    self._pace += PACE_WEIGHT * (load.slowdown - self._pace)
                return result
            case Rejected(status):
                return NotServed(
                    f"upstream-rejected-{status}", elsewhere=True, reached=True
                )
            case Failed(code, sent, timed_out):
                if not sent:
                    if code == "connect-failed":
                        self._watch.note_connect_failed()
                    return NotServed(code, elsewhere=True)
                return OutcomeUnknown(code, timed_out)

    def _note_crash(self) -> None:
        """Blames what runs for the upstream's crash, here and at the peers."""
        marks = tuple(s.mark for s in self._served.values() if s.task is not None)
        if marks:
            _log.warning("upstream_crashed", running=len(marks))
            self._crash_suspects.record_crash(marks, now())
            self._hooks.on_crash(marks)

    def _forget(self, number: int, served: _Served) -> None:
        """Drops a request; one that nobody waits for is cut."""
        self._served.pop(number, None)
        self._queue.remove(number)
        if served.task is not None and not served.task.done():
            served.task.cancel()

    def _note(
        self,
        request: RoutedRequest,
        outcome: str,
        code: str,
        seconds: float,
        load: UpstreamLoad | None = None,
    ) -> None:
        """Writes an ending into log and metrics."""
        self._metrics.count_dispatch(request.service, outcome, code, seconds)
        _log.info(
            "dispatch",
            request_id=request.request_id,
            key=request.key,
            route=request.route,
            rank=request.priority,
            outcome=outcome,
            code=code,
            seconds=round(seconds, 4),
            running=self.running,
            waiting=self.waiting,
            slots=self.slots,
            slowdown=load.slowdown if load is not None else None,
        )
