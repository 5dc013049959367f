"""Runs the entry policy: accepts requests of callers and routes them.

The task owns the policy's state, the requests whose callers wait and the
connections to other processes. A request forwarded by another process goes
directly to the guard of this process.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field, replace

import structlog

from rosemarydeal.core import Address, Member, NotRun, SliceId, Unknown, headers
from rosemarydeal.core.clock import now
from rosemarydeal.policy import entry, guard
from rosemarydeal.policy.entry_state import EntryState
from rosemarydeal.proxy import (
    BadMessage,
    Pool,
    PoolSettings,
    ProxyError,
    Request,
    Response,
    find_header,
    replace_header,
)
from rosemarydeal.settings import ServiceSettings

from .classify import RequestDetails, classify, request_fingerprint
from .configuration import ActiveConfiguration
from .forwarding import (
    BufferedRequest,
    buffer_request,
    forwarded_request,
    full_body,
    read_reply,
)
from .guard import GuardTask, NoAnswer, Reply
from .metrics import Metrics
from .outcomes import outcome_response
from .routes import is_routes_request

__all__ = ["EntryTask", "FleetView"]

CODE_NO_OWNER = "no-owner"

_log = structlog.get_logger()


@dataclass(frozen=True, slots=True)
class FleetView:
    """Access to the other processes of the fleet.

    Attributes:
        node: Name of this process.
        service: Service of the upstream beside it.
        slice: Returns the slice of a key, given its base slice.
        member: Returns the member record of a node, None if it is unknown.
        on_suspect: Called with a node that does not answer.
        on_refresh: Called with a slice whose row may be stale.
        routes: Answers a caller's request for the routing table of a service.
    """

    node: str
    service: str
    slice: Callable[[SliceId, str], SliceId]
    member: Callable[[str], Member | None]
    on_suspect: Callable[[str], None]
    on_refresh: Callable[[SliceId], None]
    routes: Callable[[ServiceSettings, Request], Response]


@dataclass(frozen=True, slots=True)
class _Delivery:
    """The reply for a waiting caller, with the ticket of the request."""

    reply: Reply
    ticket: int | None = None


@dataclass(slots=True)
class _PendingRequest:
    """A request whose caller waits, with its attempts and their answers."""

    buffered: BufferedRequest
    details: RequestDetails
    future: asyncio.Future[_Delivery]
    attempts: dict[int, asyncio.Task[None]] = field(default_factory=dict)
    answers: dict[int, Response] = field(default_factory=dict)


class EntryTask:
    """Owns the routing of the requests that arrive at one process."""

    def __init__(
        self,
        fleet: FleetView,
        own_guard: GuardTask,
        configuration: Callable[[], ActiveConfiguration],
        metrics: Metrics,
        seed: int,
    ) -> None:
        self._fleet = fleet
        self._guard = own_guard
        self._configuration = configuration
        self._metrics = metrics
        self._state = entry.start(entry.EntrySettings(), seed)
        self._pool = Pool(PoolSettings())
        self._pending: dict[int, _PendingRequest] = {}
        self._last_number = 0
        self._timer: asyncio.TimerHandle | None = None
        self._next_tick_at: float | None = None

    @property
    def state(self) -> EntryState:
        """Returns the current state of the policy, for queries."""
        return self._state

    def post(self, event: entry.EntryEvent) -> None:
        """Feeds an event to the policy and performs its actions."""
        self._state, actions = entry.step(self._state, event, now())
        for action in actions:
            self._perform(action)
        self._schedule()

    def configure(self, settings: entry.EntrySettings) -> None:
        """Replaces the settings of the policy."""
        self._state = replace(self._state, settings=settings)

    async def handle(self, service: str, request: Request) -> Response:
        """Answers one request of a caller or of another process.

        Args:
            service: Service whose port received the request.
            request: The request.

        Returns:
            The upstream's answer, or a problem response with a code; it names the
            request if the request has an id.
        """
        response = await self._answer(service, request)
        request_id = find_header(request.headers, headers.IDEMPOTENCY_KEY)
        fields = replace_header(response.headers, headers.IDEMPOTENCY_KEY, request_id)
        return replace(response, headers=fields)

    async def _answer(self, service: str, request: Request) -> Response:
        """Routes one request and returns the response to it."""
        arrived_at = now()
        configuration = self._configuration()
        settings = configuration.deployment.services[service]
        if is_routes_request(request):
            return self._fleet.routes(settings, request)
        try:
            details = classify(
                request,
                settings,
                configuration.deployment,
                configuration.by_service[service],
                arrived_at,
            )
        except BadMessage as error:
            return outcome_response(NotRun(error.code, error.detail))
        buffered = await buffer_request(request)
        if details.hops:
            delivery = _Delivery(await self._serve_forwarded(buffered, details))
        else:
            delivery = await self._serve_caller(buffered, details)
        return self._finish(delivery, details, arrived_at)

    async def close(self) -> None:
        """Cancels all attempts and closes the connections to other processes."""
        if self._timer is not None:
            self._timer.cancel()
        attempts = [
            task
            for pending in self._pending.values()
            for task in pending.attempts.values()
        ]
        for task in attempts:
            task.cancel()
        await asyncio.gather(*attempts, return_exceptions=True)
        await self._pool.close()

    async def _serve_caller(
        self, buffered: BufferedRequest, details: RequestDetails
    ) -> _Delivery:
        """Routes a request by the policy and waits for its outcome."""
        self._last_number += 1
        number = self._last_number
        future: asyncio.Future[_Delivery] = asyncio.get_running_loop().create_future()
        self._pending[number] = _PendingRequest(buffered, details, future)
        slice_id = self._resolve_slice(details)
        accepted = entry.RequestAccepted(
            number,
            details.request_id,
            details.service,
            slice_id,
            details.idempotent and buffered.complete,
            details.deadline,
            details.ticket,
            details.resent,
        )
        self.post(accepted)
        try:
            return await future
        finally:
            if not future.done() or future.cancelled():
                self.post(entry.CallerGone(number))
            self._discard(number)

    def _discard(self, number: int) -> None:
        """Removes a request and cancels its running attempts."""
        pending = self._pending.pop(number)
        for task in pending.attempts.values():
            task.cancel()

    async def _serve_forwarded(
        self, buffered: BufferedRequest, details: RequestDetails
    ) -> Reply:
        """Passes a request forwarded by another process to the guard here."""
        return await self._serve_locally(
            buffered, details, details.ticket, details.resent
        )

    async def _serve_locally(
        self,
        buffered: BufferedRequest,
        details: RequestDetails,
        ticket: int | None,
        resent: bool,
    ) -> Reply:
        """Passes a request to the guard of this process."""
        if details.service != self._fleet.service:
            return NoAnswer(
                NotRun("not-owner", "The upstream here serves another service.")
            )
        fingerprint = request_fingerprint(
            buffered.request, details.key, buffered.prefix
        )
        arrived = guard.RequestArrived(
            caller=0,
            request_id=details.request_id,
            fingerprint=fingerprint,
            tenant=details.tenant,
            slice=self._resolve_slice(details),
            idempotent=details.idempotent,
            deadline=details.deadline,
            ticket=ticket,
            resent=resent,
            age_s=details.id_age_s,
        )
        request = replace(buffered.request, body=full_body(buffered))
        return await self._guard.serve(request, arrived, details)

    def _resolve_slice(self, details: RequestDetails) -> SliceId | None:
        """Returns the slice of a request's key: its carved slice if it has one."""
        if details.slice is None:
            return None
        return self._fleet.slice(details.slice, details.key)

    def _perform(self, action: entry.EntryAction) -> None:
        """Performs one action of the policy."""
        match action:
            case entry.SendAttempt(request=number, attempt=attempt):
                pending = self._pending[number]
                pending.attempts[attempt] = asyncio.create_task(
                    self._run_attempt(action, pending)
                )
            case entry.CancelAttempt(request=number, attempt=attempt):
                self._cancel_attempt(number, attempt)
            case entry.Deliver(request=number, attempt=attempt):
                pending = self._pending[number]
                _deliver(pending, _Delivery(pending.answers.pop(attempt)))
            case entry.DeliverOutcome(request=number, outcome=outcome, ticket=ticket):
                _deliver(self._pending[number], _Delivery(NoAnswer(outcome), ticket))
            case entry.SuspectNode(node=node):
                self._fleet.on_suspect(node)
            case entry.RefreshRows(slice=slice_id):
                self._fleet.on_refresh(slice_id)

    def _cancel_attempt(self, number: int, attempt: int) -> None:
        """Cancels an attempt; its guard then cancels the work."""
        pending = self._pending.get(number)
        task = pending.attempts.pop(attempt, None) if pending is not None else None
        if task is not None:
            task.cancel()

    async def _run_attempt(
        self, action: entry.SendAttempt, pending: _PendingRequest
    ) -> None:
        """Makes one attempt and reports its result to the policy."""
        started = now()
        try:
            reply = await self._send(action, pending)
        except ProxyError as error:
            sent = getattr(error, "sent", True)
            self._count_attempt(pending.details.service, error.code)
            self.post(entry.AttemptFailed(action.request, action.attempt, sent))
            return
        if isinstance(reply, NoAnswer):
            self._count_attempt(pending.details.service, reply.outcome.code)
            rejected = entry.AttemptRejected(
                action.request, action.attempt, reply.outcome
            )
            self.post(rejected)
            return
        self._count_attempt(pending.details.service, "answered")
        pending.answers[action.attempt] = reply
        answered = entry.AttemptAnswered(
            action.request, action.attempt, reply.status, now() - started
        )
        self.post(answered)
        undelivered = pending.answers.pop(action.attempt, None)
        if undelivered is not None:
            await undelivered.aclose()

    async def _send(self, action: entry.SendAttempt, pending: _PendingRequest) -> Reply:
        """Sends an attempt to the guard here or to another process."""
        details = pending.details
        if action.node == self._fleet.node:
            return await self._serve_locally(
                pending.buffered, details, action.ticket, action.resent
            )
        member = self._fleet.member(action.node)
        if member is None:
            return NoAnswer(
                NotRun(CODE_NO_OWNER, f"{action.node} is not a known member.")
            )
        port = self._configuration().deployment.services[details.service].port
        request = forwarded_request(pending.buffered, details, action, now())
        address = Address(member.entry_host, port)
        remaining_s = action.deadline - now()
        reply = await read_reply(await self._pool.send(address, request, remaining_s))
        return reply if isinstance(reply, NoAnswer) else _with_owner(reply, address)

    def _count_attempt(self, service: str, result: str) -> None:
        """Counts an attempt by its result."""
        self._metrics.attempts.labels(service, result).inc()

    def _schedule(self) -> None:
        """Sets the timer to the time of the policy's next tick."""
        next_tick_at = entry.wake_at(self._state)
        if next_tick_at == self._next_tick_at:
            return
        self._next_tick_at = next_tick_at
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if next_tick_at is not None:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(max(0.0, next_tick_at - now()), self._tick)

    def _tick(self) -> None:
        """Feeds a tick to the policy when the timer fires."""
        self._next_tick_at = None
        self.post(entry.Tick())

    def _finish(
        self, delivery: _Delivery, details: RequestDetails, arrived_at: float
    ) -> Response:
        """Records the outcome of a request and builds the response."""
        reply = delivery.reply
        outcome, code = _outcome_labels(reply)
        self._record_outcome(details, outcome, code, now() - arrived_at)
        if isinstance(reply, NoAnswer):
            response = outcome_response(reply.outcome)
            if delivery.ticket is None:
                return response
            ticket = b"%d" % delivery.ticket
            fields = replace_header(response.headers, headers.TICKET, ticket)
            return replace(response, headers=fields)
        fields = replace_header(reply.headers, headers.OUTCOME, headers.OUTCOME_ANSWER)
        return replace(reply, headers=fields)

    def _record_outcome(
        self, details: RequestDetails, outcome: str, code: str, seconds: float
    ) -> None:
        """Records a finished request in the metrics and the log."""
        service, tenant = details.service, details.tenant
        self._metrics.requests.labels(service, tenant, outcome, code).inc()
        self._metrics.latency.labels(service, tenant, outcome).observe(seconds)
        slice_id = self._resolve_slice(details)
        row = self._state.rows.get(slice_id) if slice_id is not None else None
        _log.info(
            "request",
            request_id=details.request_id,
            tenant=tenant,
            service=service,
            slice=slice_id.index if slice_id is not None else None,
            version=row.version if row is not None else None,
            outcome=outcome,
            code=code,
            hops=details.hops,
            seconds=round(seconds, 6),
        )


def _deliver(pending: _PendingRequest, delivery: _Delivery) -> None:
    """Passes the reply to a waiting caller."""
    if not pending.future.done():
        pending.future.set_result(delivery)


def _with_owner(response: Response, owner: Address) -> Response:
    """Adds the address of the owner's entry, for the caller's next requests."""
    name = str(owner).encode("ascii")
    fields = replace_header(response.headers, headers.OWNER, name)
    return replace(response, headers=fields)


def _outcome_labels(reply: Reply) -> tuple[str, str]:
    """Returns outcome and code of a reply for metrics and logs."""
    match reply:
        case NoAnswer(NotRun(code)):
            return "not-run", code
        case NoAnswer(Unknown(code)):
            return "unknown", code
        case _:
            return "answer", ""
