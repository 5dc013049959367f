"""Drives the entry's policy: takes callers' requests in and routes them.

The task owns the policy's state, the requests whose callers wait and the
connections to other processes. A request that another process passed on goes
straight to the guard beside this process.
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
    replace_header,
)
from rosemarydeal.settings import ServiceSettings

from .classify import Classified, classify, request_fingerprint
from .configuration import InForce
from .forwarding import Buffered, body_of, buffer, forwarded, read_reply
from .guard import GuardTask, Refused, Reply
from .metrics import Metrics
from .outcomes import outcome_response
from .routes import asks_for_routes

__all__ = ["EntryTask", "Fleet"]

CODE_NO_MEMBER = "no-owner"

_log = structlog.get_logger()


@dataclass(frozen=True, slots=True)
class Fleet:
    """Answers what this process knows of the others.

    Attributes:
        node: Name of this process.
        service: Service that the upstream beside it serves.
        slice: Returns the slice of a key, given its base slice.
        member: Returns the record of a node.
        on_suspect: Called with a node that does not answer.
        on_refresh: Called with a slice whose row seems to be old.
        routes: Answers a caller's question for the routes of a service.
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
    """Is what a waiting caller gets."""

    reply: Reply
    ticket: int | None = None


@dataclass(slots=True)
class _Open:
    """Holds a request whose caller waits, with its tries."""

    buffered: Buffered
    details: Classified
    future: asyncio.Future[_Delivery]
    tries: dict[int, asyncio.Task[None]] = field(default_factory=dict)
    answers: dict[int, Response] = field(default_factory=dict)


class EntryTask:
    """Owns the routing of the requests that arrive at one process."""

    def __init__(
        self,
        fleet: Fleet,
        own_guard: GuardTask,
        in_force: Callable[[], InForce],
        metrics: Metrics,
        seed: int,
    ) -> None:
        self._fleet = fleet
        self._guard = own_guard
        self._in_force = in_force
        self._metrics = metrics
        self._state = entry.start(entry.EntrySettings(), seed)
        self._pool = Pool(PoolSettings())
        self._open: dict[int, _Open] = {}
        self._count = 0
        self._timer: asyncio.TimerHandle | None = None
        self._wakes_at: float | None = None

    @property
    def state(self) -> EntryState:
        """Returns the policy's present state, for queries."""
        return self._state

    def post(self, event: entry.EntryEvent) -> None:
        """Takes one step of the policy and carries out what it asks for."""
        self._state, actions = entry.step(self._state, event, now())
        for action in actions:
            self._perform(action)
        self._schedule()

    def configure(self, settings: entry.EntrySettings) -> None:
        """Puts other bounds in force."""
        self._state = replace(self._state, settings=settings)

    async def handle(self, service: str, request: Request) -> Response:
        """Answers one request of a caller or of another process's entry.

        Args:
            service: Service whose port the request came to.
            request: The request.

        Returns:
            The upstream's whole answer, or a problem with a code.
        """
        arrived = now()
        in_force = self._in_force()
        settings = in_force.deployment.services[service]
        if asks_for_routes(request):
            return self._fleet.routes(settings, request)
        try:
            details = classify(
                request,
                settings,
                in_force.deployment,
                in_force.by_service[service],
                arrived,
            )
        except BadMessage as error:
            return outcome_response(NotRun(error.code, error.detail))
        buffered = await buffer(request)
        if details.hops:
            delivery = _Delivery(await self._serve_passed_on(buffered, details))
        else:
            delivery = await self._serve_caller(buffered, details)
        return self._finish(delivery, details, arrived)

    async def close(self) -> None:
        """Ends all tries and closes the connections to other processes."""
        if self._timer is not None:
            self._timer.cancel()
        tries = [task for held in self._open.values() for task in held.tries.values()]
        for task in tries:
            task.cancel()
        await asyncio.gather(*tries, return_exceptions=True)
        await self._pool.close()

    async def _serve_caller(self, buffered: Buffered, details: Classified) -> _Delivery:
        """Lets the policy route a request and waits for its outcome."""
        self._count += 1
        number = self._count
        future: asyncio.Future[_Delivery] = asyncio.get_running_loop().create_future()
        self._open[number] = _Open(buffered, details, future)
        slice_id = self._resolved(details)
        accepted = entry.RequestAccepted(
            number,
            details.request_id,
            details.service,
            slice_id,
            details.idempotent and buffered.whole,
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
            self._forget(number)

    def _forget(self, number: int) -> None:
        """Drops a request and cuts its tries that still run."""
        held = self._open.pop(number)
        for task in held.tries.values():
            task.cancel()

    async def _serve_passed_on(self, buffered: Buffered, details: Classified) -> Reply:
        """Hands a request that another process passed on to the guard here."""
        return await self._serve_here(buffered, details, details.ticket, details.resent)

    async def _serve_here(
        self,
        buffered: Buffered,
        details: Classified,
        ticket: int | None,
        resent: bool,
    ) -> Reply:
        """Hands a request to the guard of this process."""
        if details.service != self._fleet.service:
            return Refused(NotRun("not-owner", "Another service's upstream is here."))
        fingerprint = request_fingerprint(
            buffered.request, details.key, buffered.beginning
        )
        arrived = guard.RequestArrived(
            caller=0,
            request_id=details.request_id,
            fingerprint=fingerprint,
            tenant=details.tenant,
            slice=self._resolved(details),
            idempotent=details.idempotent,
            deadline=details.deadline,
            ticket=ticket,
            resent=resent,
            age_s=details.id_age_s,
        )
        request = replace(buffered.request, body=body_of(buffered))
        return await self._guard.serve(request, arrived, details)

    def _resolved(self, details: Classified) -> SliceId | None:
        """Returns the slice of a request, a carved one where it is known."""
        if details.slice is None:
            return None
        return self._fleet.slice(details.slice, details.key)

    def _perform(self, action: entry.EntryAction) -> None:
        """Carries out one action."""
        match action:
            case entry.SendAttempt(request=number, attempt=attempt):
                held = self._open[number]
                held.tries[attempt] = asyncio.create_task(self._try(action, held))
            case entry.CancelAttempt(request=number, attempt=attempt):
                self._cancel(number, attempt)
            case entry.Deliver(request=number, attempt=attempt):
                held = self._open[number]
                _deliver(held, _Delivery(held.answers.pop(attempt)))
            case entry.DeliverOutcome(request=number, outcome=outcome, ticket=ticket):
                _deliver(self._open[number], _Delivery(Refused(outcome), ticket))
            case entry.SuspectNode(node=node):
                self._fleet.on_suspect(node)
            case entry.RefreshRows(slice=slice_id):
                self._fleet.on_refresh(slice_id)

    def _cancel(self, number: int, attempt: int) -> None:
        """Withdraws a try; its guard cancels the work."""
        held = self._open.get(number)
        task = held.tries.pop(attempt, None) if held is not None else None
        if task is not None:
            task.cancel()

    async def _try(self, action: entry.SendAttempt, held: _Open) -> None:
        """Makes one try and reports how it ended."""
        started = now()
        try:
            reply = await self._send(action, held)
        except ProxyError as error:
            sent = getattr(error, "sent", True)
            self._count_try(held.details.service, error.code)
            self.post(entry.AttemptFailed(action.request, action.attempt, sent))
            return
        if isinstance(reply, Refused):
            self._count_try(held.details.service, reply.outcome.code)
            refused = entry.AttemptRejected(
                action.request, action.attempt, reply.outcome
            )
            self.post(refused)
            return
        self._count_try(held.details.service, "answered")
        held.answers[action.attempt] = reply
        answered = entry.AttemptAnswered(
            action.request, action.attempt, reply.status, now() - started
        )
        self.post(answered)
        late = held.answers.pop(action.attempt, None)
        if late is not None:
            await late.aclose()

    async def _send(self, action: entry.SendAttempt, held: _Open) -> Reply:
        """Sends a try to the guard here or to another process."""
        details = held.details
        if action.node == self._fleet.node:
            return await self._serve_here(
                held.buffered, details, action.ticket, action.resent
            )
        member = self._fleet.member(action.node)
        if member is None:
            return Refused(NotRun(CODE_NO_MEMBER, f"{action.node} is not known."))
        port = self._in_force().deployment.services[details.service].port
        request = forwarded(held.buffered, details, action, now())
        address = Address(member.entry_host, port)
        left_s = action.deadline - now()
        reply = await read_reply(await self._pool.send(address, request, left_s))
        return reply if isinstance(reply, Refused) else _name_owner(reply, address)

    def _count_try(self, service: str, result: str) -> None:
        """Counts how a try ended."""
        self._metrics.attempts.labels(service, result).inc()

    def _schedule(self) -> None:
        """Sets the timer for the policy's next tick."""
        wakes_at = entry.wake_at(self._state)
        if wakes_at == self._wakes_at:
            return
        self._wakes_at = wakes_at
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if wakes_at is not None:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(max(0.0, wakes_at - now()), self._tick)

    def _tick(self) -> None:
        """Tells the policy that the time it waits for has come."""
        self._wakes_at = None
        self.post(entry.Tick())

    def _finish(
        self, delivery: _Delivery, details: Classified, arrived: float
    ) -> Response:
        """Counts an outcome and turns it into a response."""
        reply = delivery.reply
        outcome, code = _outcome_labels(reply)
        self._note(details, outcome, code, now() - arrived)
        if isinstance(reply, Refused):
            response = outcome_response(reply.outcome)
            if delivery.ticket is None:
                return response
            ticket = b"%d" % delivery.ticket
            named = replace_header(response.headers, headers.TICKET, ticket)
            return replace(response, headers=named)
        named = replace_header(reply.headers, headers.OUTCOME, headers.OUTCOME_ANSWER)
        return replace(reply, headers=named)

    def _note(
        self, details: Classified, outcome: str, code: str, seconds: float
    ) -> None:
        """Writes a request into metrics and log."""
        service, tenant = details.service, details.tenant
        self._metrics.requests.labels(service, tenant, outcome, code).inc()
        self._metrics.latency.labels(service, tenant, outcome).observe(seconds)
        slice_id = self._resolved(details)
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


def _deliver(held: _Open, delivery: _Delivery) -> None:
    """Ends the wait of a caller."""
    if not held.future.done():
        held.future.set_result(delivery)


def _name_owner(response: Response, owner: Address) -> Response:
    """Tells the caller which entry answered, so that it can go there at once."""
    name = str(owner).encode("ascii")
    fields = replace_header(response.headers, headers.OWNER, name)
    return replace(response, headers=fields)


def _outcome_labels(reply: Reply) -> tuple[str, str]:
    """Returns outcome and code for metrics and logs."""
    match reply:
        case Refused(NotRun(code)):
            return "not-run", code
        case Refused(Unknown(code)):
            return "unknown", code
        case _:
            return "answer", ""
