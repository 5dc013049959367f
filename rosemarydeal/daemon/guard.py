"""Runs the guard policy, the only path to the upstream beside the process.

The task owns the policy's state, the connections to the upstream and the
bytes of requests and answers. Events are handled one at a time, in the order
in which they are posted.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, replace
from functools import partial

import structlog

from rosemarydeal.core import (
    Address,
    NotRun,
    SliceId,
    SliceOwnership,
    Unknown,
    key_hash,
)
from rosemarydeal.core.clock import now
from rosemarydeal.policy import guard
from rosemarydeal.policy.guard_state import (
    earlier_run_possible,
    include_earlier_attempts,
)
from rosemarydeal.policy.reporting import LocalLoad
from rosemarydeal.proxy import (
    BytesBody,
    ConnectFailed,
    Headers,
    Pool,
    ProxyError,
    Request,
    Response,
    ResponseBroken,
    SendFailed,
    find_header,
    replace_header,
    strip_hop_by_hop,
)

from .classify import RequestDetails
from .exchange import (
    break_off,
    find_rejection,
    keeps_connection,
    pool_settings,
    stream_body,
    task_result,
    upstream_request,
)
from .loadmeter import UpstreamLoadMeter

__all__ = ["GuardHooks", "GuardTask", "NoAnswer", "Reply"]

TICK_S = 0.05
MAX_STORED_ANSWER_BYTES = 1024 * 1024
MS_PER_S = 1000.0
LATE_ANSWER_MARGIN_S = 2.0

EXCLUDED_DETAIL = "Operators drain the upstream; its keys are moving."
EXCLUDED_RETRY_AFTER_S = 0.1

_log = structlog.get_logger()


@dataclass(frozen=True, slots=True)
class NoAnswer:
    """The outcome of a request without an answer."""

    outcome: NotRun | Unknown


Reply = Response | NoAnswer


@dataclass(frozen=True, slots=True)
class GuardHooks:
    """Connects the guard to the other tasks of the process.

    Attributes:
        may_admit: Returns whether operators allow new work here.
        slice_ownership: Returns the ownership of a slice if it is valid now.
        on_idle: Called when a slice that stopped admitting has drained.
        on_connect_failed: Called when no connection to the upstream can be opened.
        on_suspects: Called with crash suspects for all processes of the service.
        on_ledger: Called with the request ids of a slice that is handed over.
    """

    may_admit: Callable[[], bool]
    slice_ownership: Callable[[SliceId], SliceOwnership | None]
    on_idle: Callable[[SliceId], None]
    on_connect_failed: Callable[[], None]
    on_suspects: Callable[[guard.BroadcastCrashSuspects], None]
    on_ledger: Callable[[guard.HandOverLedger], None]


@dataclass(frozen=True, slots=True)
class _StoredAnswer:
    """A complete answer, stored for repeats of its request."""

    status: int
    headers: Headers
    body: bytes


@dataclass(slots=True)
class _Exchange:
    """A request at the guard, with the task that exchanges it with the upstream.

    Attributes:
        request: The request with its body.
        details: Fields read from the request.
        task: The task, once the request was dispatched.
        started_at: Time of the task's first step, in seconds.
    """

    request: Request
    details: RequestDetails
    task: asyncio.Task[guard.GuardEvent] | None = None
    started_at: float | None = None


class GuardTask:
    """Owns the guard of one upstream."""

    def __init__(
        self, settings: guard.GuardSettings, upstream: Address, hooks: GuardHooks
    ) -> None:
        self._state = guard.start(settings, now(), 0)
        self._upstream = upstream
        self._hooks = hooks
        self._pool = Pool(pool_settings(settings))
        self._waiters: dict[int, asyncio.Future[Reply]] = {}
        self._last_waiter = 0
        self._exchanges: dict[str, _Exchange] = {}
        self._answers: dict[str, _StoredAnswer] = {}
        self._load_meter = UpstreamLoadMeter(now())

    @property
    def state(self) -> guard.GuardState:
        """Returns the current state of the policy, for queries."""
        return self._state

    def post(self, event: guard.GuardEvent) -> None:
        """Feeds an event to the policy and performs its actions."""
        if isinstance(event, guard.SettingsChanged):
            self._replace_pool(event.settings)
        self._state, actions = guard.step(self._state, event, now())
        for action in actions:
            self._perform(action)

    def read_load(self) -> LocalLoad:
        """Returns the load of the upstream since the last call."""
        return self._load_meter.read(self._state.settings.slots, now())

    async def run(self) -> None:
        """Feeds periodic ticks to the policy until cancelled."""
        while True:
            await asyncio.sleep(TICK_S)
            self.post(guard.Tick())

    async def serve(
        self, request: Request, arrived: guard.RequestArrived, details: RequestDetails
    ) -> Reply:
        """Submits a request to the policy and waits for its outcome.

        Args:
            request: The request with its body.
            arrived: The event for the policy; its `caller` is set here.
            details: Fields read from the request.

        Returns:
            The answer, or the outcome without one.
        """
        if not self._hooks.may_admit():
            outcome = NotRun("moving", EXCLUDED_DETAIL, EXCLUDED_RETRY_AFTER_S)
            return NoAnswer(
                include_earlier_attempts(outcome, earlier_run_possible(arrived))
            )
        self._last_waiter += 1
        waiter = self._last_waiter
        future: asyncio.Future[Reply] = asyncio.get_running_loop().create_future()
        self._waiters[waiter] = future
        # The request of an id that is not live may be one that was just rejected.
        if arrived.request_id not in self._state.live:
            self._exchanges[arrived.request_id] = _Exchange(request, details)
        self.post(replace(arrived, caller=waiter))
        try:
            return await future
        except asyncio.CancelledError:
            self.post(guard.CallerGone(waiter))
            raise
        finally:
            del self._waiters[waiter]
            self._drop_idle_exchange(arrived.request_id)

    async def close(self) -> None:
        """Cancels all running exchanges and closes all connections."""
        tasks = [x.task for x in self._exchanges.values() if x.task is not None]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await self._pool.close()

    def _replace_pool(self, settings: guard.GuardSettings) -> None:
        """Replaces the connection pool if the limit of connections changed."""
        if settings.connections != self._state.settings.connections:
            old, self._pool = self._pool, Pool(pool_settings(settings))
            asyncio.get_running_loop().create_task(old.close())

    def _drop_idle_exchange(self, request_id: str) -> None:
        """Removes a request that neither waits for a reply nor runs."""
        exchange = self._exchanges.get(request_id)
        live = request_id in self._state.live
        if exchange is not None and exchange.task is None and not live:
            del self._exchanges[request_id]

    def _perform(self, action: guard.GuardAction) -> None:
        """Performs one action of the policy."""
        match action:
            case guard.Dispatch():
                self._dispatch(action)
            case guard.ReplyAnswer(waiter, request_id):
                self._reply(waiter, self._stored_reply(request_id))
            case guard.ReplyOutcome(waiter, outcome):
                self._reply(waiter, NoAnswer(outcome))
            case guard.CancelUpstream(request_id):
                self._cancel(request_id)
            case guard.DropAnswer(request_id):
                self._answers.pop(request_id, None)
            case guard.ReportIdle(slice_id):
                self._hooks.on_idle(slice_id)
            case guard.BroadcastCrashSuspects():
                self._hooks.on_suspects(action)
            case guard.HandOverLedger():
                self._hooks.on_ledger(action)

    def _reply(self, waiter: int, reply: Reply) -> None:
        """Passes a reply to a waiting caller, unless it already has one."""
        future = self._waiters.get(waiter)
        if future is not None and not future.done():
            future.set_result(reply)

    def _stored_reply(self, request_id: str) -> Reply:
        """Returns the stored answer to a request, or an unknown outcome without one."""
        stored = self._answers.get(request_id)
        if stored is None:
            detail = "The request ran, but its answer was too large to store."
            return NoAnswer(Unknown("answer-not-kept", detail))
        return Response(stored.status, stored.headers, BytesBody(stored.body))

    def _dispatch(self, action: guard.Dispatch) -> None:
        """Starts the exchange of a request with the upstream."""
        exchange = self._exchanges[action.request_id]
        exchange.task = asyncio.create_task(self._run(action, exchange))
        exchange.task.add_done_callback(partial(self._finish, action, exchange))

    def _cancel(self, request_id: str) -> None:
        """Cancels an exchange; its connection closes, so the upstream can stop."""
        exchange = self._exchanges.get(request_id)
        if exchange is not None and exchange.task is not None:
            exchange.task.cancel()

    async def _run(
        self, action: guard.Dispatch, exchange: _Exchange
    ) -> guard.GuardEvent:
        """Runs one exchange and returns its result for the policy."""
        exchange.started_at = now()
        try:
            return await self._exchange(action, exchange, exchange.started_at)
        except ProxyError as error:
            return self._failure(action.request_id, error)

    def _finish(
        self,
        action: guard.Dispatch,
        exchange: _Exchange,
        task: asyncio.Task[guard.GuardEvent],
    ) -> None:
        """Reports the result of an exchange to the policy, however its task ended.

        The policy counts the request as running until then.
        """
        self._exchanges.pop(action.request_id, None)
        started = exchange.started_at
        if started is not None:
            digest = key_hash(exchange.details.key)
            self._load_meter.add(action.slice, digest, now() - started)
        self.post(task_result(action.request_id, task, sent=started is not None))

    async def _exchange(
        self, action: guard.Dispatch, exchange: _Exchange, started: float
    ) -> guard.GuardEvent:
        """Sends a request if its slice is still owned and reads the answer."""
        expires = self._run_until(action)
        if expires is None:
            return guard.UpstreamFailed(action.request_id, sent=False, crashed=False)
        request = upstream_request(action, exchange.request, expires - started)
        timeout_s = action.deadline - started + LATE_ANSWER_MARGIN_S
        async with await self._pool.send(
            self._upstream, request, timeout_s
        ) as response:
            rejection = find_rejection(action.request_id, response)
            if rejection is not None:
                return rejection
            size = await self._read_answer(action, response)
        return guard.UpstreamAnswered(
            action.request_id,
            response.status,
            size,
            now() - started,
            keeps_connection(response),
        )

    def _run_until(self, action: guard.Dispatch) -> float | None:
        """Returns the time until which a request may run, None if it must not start."""
        if action.slice is None:
            return action.deadline
        slice_ownership = self._hooks.slice_ownership(action.slice)
        if slice_ownership is None or slice_ownership.token != action.token:
            return None
        return min(action.deadline, slice_ownership.valid_until)

    def _failure(self, request_id: str, error: ProxyError) -> guard.UpstreamFailed:
        """Returns the event for a connection error."""
        _log.info(
            "upstream_exchange_failed",
            request_id=request_id,
            code=error.code,
            detail=error.detail,
        )
        if isinstance(error, ConnectFailed):
            self._hooks.on_connect_failed()
        sent = getattr(error, "sent", True)
        lost = isinstance(error, SendFailed) or getattr(error, "closed", False)
        return guard.UpstreamFailed(request_id, sent, crashed=sent and lost)

    async def _read_answer(self, action: guard.Dispatch, response: Response) -> int:
        """Stores a small answer, or streams a large one to the caller.

        Returns:
            Size of the body, in bytes.
        """
        pieces: list[bytes] = []
        size = 0
        async for piece in response.body:
            pieces.append(piece)
            size += len(piece)
            if size > MAX_STORED_ANSWER_BYTES:
                return await self._stream(action, response, pieces, size)
        answer_headers = strip_hop_by_hop(response.headers)
        stored = _StoredAnswer(response.status, answer_headers, b"".join(pieces))
        self._answers[action.request_id] = stored
        return size

    async def _stream(
        self,
        action: guard.Dispatch,
        response: Response,
        pieces: list[bytes],
        size: int,
    ) -> int:
        """Streams a large answer to the first waiting caller.

        Returns:
            Size of the body, in bytes.
        """
        # A request of another kind may have used the id.
        self._answers.pop(action.request_id, None)
        live = self._state.live.get(action.request_id)
        waiter = live.callers[0] if live is not None and live.callers else 0
        queue: asyncio.Queue[bytes | ProxyError | None] = asyncio.Queue(1)
        body = stream_body(queue, pieces, lambda: self._cancel(action.request_id))
        length = find_header(response.headers, b"content-length")
        fields = strip_hop_by_hop(response.headers)
        if length is not None:
            fields = replace_header(fields, b"content-length", length)
        self._reply(waiter, Response(response.status, fields, body))
        try:
            async for piece in response.body:
                size += len(piece)
                await queue.put(piece)
            await queue.put(None)
        except ProxyError as error:
            break_off(queue, error)
            raise
        except asyncio.CancelledError:
            break_off(queue, ResponseBroken("the request was cancelled"))
            raise
        return size
