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

import structlog

from rosemarydeal.core.clock import now
from rosemarydeal.core.requests import NotServed, RequestOutcome, RoutedRequest
from rosemarydeal.platform.upstream import UpstreamCallFailed, UpstreamClient
from rosemarydeal.policy.dispatch.crash_suspects import (
    KnownSuspects,
    SuspectRecord,
    Verdict,
    suspect_fingerprint,
)
from rosemarydeal.policy.dispatch.lost_runs import LostRun, LostRuns

from .upstream import FORMER_INCARNATIONS, UpstreamState, UpstreamWatch

__all__ = ["CODE_SUSPECT", "SUSPECT", "CrashHooks", "CrashWatch", "fingerprint_of"]

# An upstream on the same VM accepts a connection within milliseconds.
CONNECT_TIME_S = 0.3
# Limits of the time that a suspect waits for its turn; the rest is for its run.
MAX_TURN_WAIT_S = 1.0
TURN_WAIT_SHARE = 0.5
SERVER_ERROR = 500
CODE_SUSPECT = "crash-suspect"
SUSPECT = NotServed(CODE_SUSPECT)
# Its turn may come by then, unless another suspect is condemned first.
TURN_TAKEN = NotServed(CODE_SUSPECT, MAX_TURN_WAIT_S)

_log = structlog.get_logger()


@dataclass(frozen=True, slots=True)
class CrashHooks:
    """Callbacks to the peers.

    Attributes:
        on_crash: Called with the records of the requests charged with a crash.
        on_cleared: Called with the fingerprint of a suspect that was answered.
    """

    on_crash: Callable[[list[SuspectRecord]], None]
    on_cleared: Callable[[str], None]


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
        self._turn = asyncio.Lock()
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
        serve: Callable[[RoutedRequest, bool], Awaitable[RequestOutcome]],
    ) -> RequestOutcome:
        """Runs a request at the upstream: a suspect in its turn, others at once.

        Args:
            request: The request.
            serve: Runs it; its second argument tells whether it runs in turn.
        """
        if not self._suspects.any:
            return await serve(request, False)
        fingerprint, arrived_at = fingerprint_of(request), now()
        verdict = self._suspects.verdict(fingerprint, arrived_at)
        if verdict is Verdict.SUSPECT:
            return await self._run_suspect(request, fingerprint, serve)
        if verdict is Verdict.CONDEMNED:
            return self._reject(request, fingerprint)
        return await serve(request, False)

    async def confirm(
        self, request: RoutedRequest, incarnation: str, in_turn: bool
    ) -> None:
        """Waits until it is known whether the upstream crashed under a request.

        Args:
            request: A request whose connection the upstream has closed.
            incarnation: Incarnation that ran it.
            in_turn: Whether it ran as the only suspect.
        """
        lost = LostRun(fingerprint_of(request), incarnation, in_turn, now())
        _log.info(
            "run_lost",
            request_id=request.request_id,
            fingerprint=lost.fingerprint,
            incarnation=incarnation,
            in_turn=in_turn,
        )
        self._lost.add(lost)
        if not self._is_running(incarnation):
            if incarnation not in self._left:
                self._charge(incarnation)
            return
        if self._check is None or self._check.done():
            self._check = asyncio.create_task(self._check_listens(incarnation))
        # The others wait for the same check if the caller of this one leaves.
        await asyncio.shield(self._check)

    def note_answer(
        self, request: RoutedRequest, status: int, incarnation: str, sent_at: float
    ) -> None:
        """Clears a suspect that the upstream has answered.

        Args:
            request: The request.
            status: Status of the answer.
            incarnation: Incarnation that gave it.
            sent_at: When the request was sent.
        """
        self._answered_at = now()
        self._lost.note_answer(incarnation, sent_at)
        if status >= SERVER_ERROR or not self._suspects.any:
            return
        fingerprint = fingerprint_of(request)
        if self._suspects.clear(fingerprint):
            _log.info(
                "crash_suspect_cleared",
                request_id=request.request_id,
                fingerprint=fingerprint,
            )
            self._hooks.on_cleared(fingerprint)

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

    def is_condemned(self, request: RoutedRequest) -> bool:
        """Returns whether a request is rejected as it crashes upstreams."""
        if not self._suspects.condemned_count:
            return False
        verdict = self._suspects.verdict(fingerprint_of(request), now())
        return verdict is Verdict.CONDEMNED

    def merge(self, records: Iterable[SuspectRecord]) -> None:
        """Adds suspects that a peer knows."""
        self._suspects.merge(records, now())

    def clear(self, fingerprint: str) -> None:
        """Clears a suspect that was answered at a peer."""
        self._suspects.clear(fingerprint)

    async def _run_suspect(
        self,
        request: RoutedRequest,
        fingerprint: str,
        serve: Callable[[RoutedRequest, bool], Awaitable[RequestOutcome]],
    ) -> RequestOutcome:
        """Runs a suspect when no other one runs here."""
        arrived_at = now()
        wait_s = min(MAX_TURN_WAIT_S, TURN_WAIT_SHARE * request.time_left_s)
        try:
            async with asyncio.timeout(wait_s):
                await self._turn.acquire()
        except TimeoutError:
            _log.info("crash_suspect_waited", request_id=request.request_id)
            return TURN_TAKEN
        try:
            verdict = self._suspects.verdict(fingerprint, now())
            if verdict is Verdict.CONDEMNED:
                return self._reject(request, fingerprint)
            delayed = _delayed(request, now() - arrived_at)
            if verdict is Verdict.SUSPECT:
                return await serve(delayed, True)
        finally:
            self._turn.release()
        return await serve(delayed, False)

    def _reject(self, request: RoutedRequest, fingerprint: str) -> NotServed:
        """Rejects a condemned request."""
        self._suspects.note_rejected(fingerprint, now())
        _log.info(
            "crash_suspect_rejected",
            request_id=request.request_id,
            fingerprint=fingerprint,
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
            in_turn=[run.fingerprint for run in lost if run.in_turn],
        )
        if not lost:
            return
        self._suspects.merge(
            [SuspectRecord(r.fingerprint, (incarnation,), r.in_turn) for r in lost],
            moment,
        )
        self._hooks.on_crash(self._suspects.records(fingerprints, moment))


def fingerprint_of(request: RoutedRequest) -> str:
    """Returns the fingerprint under which a request is a suspect."""
    return suspect_fingerprint(
        request.service,
        request.caller_service,
        request.method,
        request.target,
        request.body,
    )


def _delayed(request: RoutedRequest, waited_s: float) -> RoutedRequest:
    """Returns a request with the time left after a wait."""
    return replace(
        request,
        target_s=request.target_s - waited_s,
        time_left_s=request.time_left_s - waited_s,
        cut_s=None if request.cut_s is None else request.cut_s - waited_s,
    )
