"""Finds out which requests crash the upstream, and runs suspects in turn.

When the upstream closes the connection of a run, a new connection shows whether it
still listens. The outcome of the run waits for that: a repetition at the next upstream
must not begin before all processes know the suspect.
"""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Awaitable, Callable, Iterable
from dataclasses import dataclass, replace
from functools import cached_property

import structlog

from rosemarydeal.core.clock import now
from rosemarydeal.core.requests import NotServed, RequestOutcome, RoutedRequest
from rosemarydeal.platform.upstream import UpstreamCallFailed, UpstreamClient
from rosemarydeal.policy.dispatch.crash_suspects import (
    KnownSuspects,
    SuspectRecord,
    SuspectStatus,
    request_fingerprint,
    suspect_fingerprint,
)
from rosemarydeal.policy.dispatch.lost_runs import LostRun, LostRuns

from .upstream import FORMER_INCARNATIONS, UpstreamState, UpstreamWatch

__all__ = [
    "CODE_SUSPECT",
    "SUSPECT",
    "CrashHooks",
    "CrashWatch",
    "TrackedRequest",
    "fingerprint_of",
]

# An upstream on the same VM accepts a connection within milliseconds.
CONNECT_TIME_S = 0.3
# Limits of the time that a suspect waits for its turn; the rest is for its run.
MAX_SUSPECT_WAIT_S = 1.0
SUSPECT_WAIT_SHARE = 0.5
SERVER_ERROR = 500
CODE_SUSPECT = "crash-suspect"
SUSPECT = NotServed(CODE_SUSPECT)
# Its turn may come by then, unless another suspect is blocked first.
SUSPECT_BUSY = NotServed(CODE_SUSPECT, MAX_SUSPECT_WAIT_S)

_log = structlog.get_logger()


@dataclass(frozen=True, slots=True)
class CrashHooks:
    """Callbacks to the peers.

    Attributes:
        on_crash: Called with the records of the requests charged with a crash.
        on_cleared: Called with the fingerprint of a suspect that was answered, and
            the crashes of which it is cleared.
    """

    on_crash: Callable[[list[SuspectRecord]], None]
    on_cleared: Callable[[str, tuple[str, ...]], None]


class TrackedRequest:
    """A request at the guard, whose fingerprint is computed when it is first needed.

    Attributes:
        request: The request.
        exclusive: Whether it runs as the only suspect.
    """

    def __init__(self, request: RoutedRequest) -> None:
        self.request = request
        self.exclusive = False

    @cached_property
    def fingerprint(self) -> str:
        """Returns the fingerprint under which it is a suspect."""
        return fingerprint_of(self.request)


class CrashWatch:
    """Charges the crashes of the upstream to the requests that it was running."""

    def __init__(
        self, client: UpstreamClient, watch: UpstreamWatch, hooks: CrashHooks
    ) -> None:
        self._client = client
        self._watch = watch
        self._hooks = hooks
        self._suspects = KnownSuspects()
        self._lost = LostRuns()
        self._suspect_runs = asyncio.Lock()
        self._check: asyncio.Task[None] | None = None
        self._answered_at = 0.0
        self._left: deque[str] = deque(maxlen=FORMER_INCARNATIONS)

    @property
    def suspects(self) -> KnownSuspects:
        """Returns the suspects that this process knows."""
        return self._suspects

    async def run(
        self,
        request: RoutedRequest,
        serve: Callable[[TrackedRequest], Awaitable[RequestOutcome]],
    ) -> RequestOutcome:
        """Runs a request at the upstream: a suspect in its turn, others at once.

        Args:
            request: The request.
            serve: Runs it.
        """
        tracked = TrackedRequest(request)
        if not self._suspects.any:
            return await serve(tracked)
        match self._suspects.status(tracked.fingerprint, now()):
            case SuspectStatus.SUSPECT:
                return await self._run_suspect(tracked, serve)
            case SuspectStatus.BLOCKED:
                return self._reject(tracked)
        return await serve(tracked)

    async def confirm(self, tracked: TrackedRequest, incarnation: str) -> None:
        """Waits until it is known whether the upstream crashed under a request.

        Args:
            tracked: A request whose connection the upstream has closed.
            incarnation: Incarnation that ran it.
        """
        fingerprint, exclusive = tracked.fingerprint, tracked.exclusive
        _log.info(
            "run_lost",
            request_id=tracked.request.request_id,
            fingerprint=fingerprint,
            incarnation=incarnation,
            exclusive=exclusive,
        )
        self._lost.add(LostRun(fingerprint, incarnation, exclusive, now()))
        if not self._is_running(incarnation):
            if incarnation not in self._left:
                self._charge(incarnation)
            return
        if self._check is None or self._check.done():
            self._check = asyncio.create_task(self._check_listens(incarnation))
        # The others wait for the same check if the caller of this one leaves.
        await asyncio.shield(self._check)

    def note_answer(
        self, tracked: TrackedRequest, status: int, incarnation: str, sent_at: float
    ) -> None:
        """Counts an answer to a suspect, which may clear it.

        Args:
            tracked: The request.
            status: Status of the answer.
            incarnation: Incarnation that gave it.
            sent_at: When the request was sent.
        """
        self._answered_at = now()
        self._lost.note_answer(incarnation, sent_at)
        # What was sent before the request was a suspect may differ from what crashed.
        if status >= SERVER_ERROR or not tracked.exclusive:
            return
        crashes = self._suspects.note_answer(tracked.fingerprint, now())
        if crashes:
            _log.info(
                "crash_suspect_cleared",
                request_id=tracked.request.request_id,
                fingerprint=tracked.fingerprint,
            )
            self._hooks.on_cleared(tracked.fingerprint, crashes)

    def note_state(self, state: UpstreamState, old: UpstreamState | None) -> None:
        """Charges a crash if the upstream has ended without having left."""
        if old is None or not old.alive:
            return
        if state.alive and state.incarnation == old.incarnation:
            return
        if old.leaving_since is None:
            self._charge(old.incarnation)
        else:
            self._left.append(old.incarnation)

    def is_blocked(self, tracked: TrackedRequest) -> bool:
        """Returns whether a request is rejected as it crashes upstreams."""
        if not self._suspects.blocked_count:
            return False
        status = self._suspects.status(tracked.fingerprint, now())
        return status is SuspectStatus.BLOCKED

    def merge(self, records: Iterable[SuspectRecord]) -> None:
        """Adds suspects that a peer knows."""
        self._suspects.merge(records, now())

    def clear(self, fingerprint: str, crashes: tuple[str, ...] = ()) -> None:
        """Clears a suspect that was answered at a peer of crashes, of all if empty."""
        self._suspects.clear(fingerprint, crashes, now())

    async def _run_suspect(
        self,
        tracked: TrackedRequest,
        serve: Callable[[TrackedRequest], Awaitable[RequestOutcome]],
    ) -> RequestOutcome:
        """Runs a suspect when no other one runs here."""
        arrived_at, request = now(), tracked.request
        wait_s = min(MAX_SUSPECT_WAIT_S, SUSPECT_WAIT_SHARE * request.time_left_s)
        try:
            async with asyncio.timeout(wait_s):
                await self._suspect_runs.acquire()
        except TimeoutError:
            _log.info("crash_suspect_waited", request_id=request.request_id)
            return SUSPECT_BUSY
        try:
            tracked.request = _delayed(request, now() - arrived_at)
            match self._suspects.status(tracked.fingerprint, now()):
                case SuspectStatus.BLOCKED:
                    return self._reject(tracked)
                case SuspectStatus.SUSPECT:
                    tracked.exclusive = True
                    return await serve(tracked)
        finally:
            self._suspect_runs.release()
        return await serve(tracked)

    def _reject(self, tracked: TrackedRequest) -> NotServed:
        """Rejects a blocked request."""
        self._suspects.note_rejected(tracked.fingerprint, now())
        _log.info(
            "crash_suspect_rejected",
            request_id=tracked.request.request_id,
            fingerprint=tracked.fingerprint,
        )
        return SUSPECT

    def _is_running(self, incarnation: str) -> bool:
        """Returns whether an incarnation runs, as far as is known."""
        return self._watch.is_current(incarnation) and self._watch.state.alive

    async def _check_listens(self, incarnation: str) -> None:
        """Marks the upstream as gone if it accepts no connection."""
        began_at = now()
        try:
            await self._client.check_listens(CONNECT_TIME_S)
        except UpstreamCallFailed as error:
            state = self._watch.state
            if error.refused:
                self._watch.report_connect_failed(incarnation)
            elif max(state.last_heartbeat_at, self._answered_at) < began_at:
                self._watch.report_unreachable(incarnation)

    def _charge(self, incarnation: str) -> None:
        """Charges the crash of an incarnation to the runs that were lost with it."""
        moment = now()
        lost = self._lost.take(incarnation, moment)
        fingerprints = sorted({run.fingerprint for run in lost})
        _log.warning(
            "upstream_crashed",
            incarnation=incarnation,
            fingerprints=fingerprints,
            exclusive=[run.fingerprint for run in lost if run.exclusive],
        )
        if not lost:
            return
        self._suspects.merge(
            [SuspectRecord(r.fingerprint, (incarnation,), r.exclusive) for r in lost],
            moment,
        )
        self._hooks.on_crash(self._suspects.records(fingerprints, moment))


def fingerprint_of(request: RoutedRequest) -> str:
    """Returns the fingerprint under which a request is a suspect."""
    return suspect_fingerprint(
        request.service,
        request.caller_service,
        request_fingerprint(request.method, request.target, request.body),
    )


def _delayed(request: RoutedRequest, waited_s: float) -> RoutedRequest:
    """Returns a request with the time left after a wait."""
    return replace(
        request,
        target_s=request.target_s - waited_s,
        time_left_s=request.time_left_s - waited_s,
        cut_s=None if request.cut_s is None else request.cut_s - waited_s,
    )
