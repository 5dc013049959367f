"""Takes callers' requests in and sees that each gets its own outcome.

A request is served by the guard of this process if it owns the key, else it
is passed on to the owner's process, one hop further at most.
"""

from __future__ import annotations

from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass, replace

import structlog

from rosemarydeal.core import (
    Address,
    Member,
    NotRun,
    Row,
    SliceId,
    Unknown,
    headers,
)
from rosemarydeal.core.clock import now
from rosemarydeal.policy import guard
from rosemarydeal.proxy import (
    BadMessage,
    ConnectFailed,
    Pool,
    PoolSettings,
    ProxyError,
    Request,
    Response,
    WholeBody,
    find_header,
    replace_header,
)
from rosemarydeal.settings import ServiceSettings

from .classify import Classified, classify, request_fingerprint
from .configuration import InForce
from .guard import GuardTask, Refused
from .metrics import Metrics
from .outcomes import outcome_response

__all__ = ["Entry", "Fleet"]

MAX_HOPS = 1
MAX_ATTEMPTS = 3
REPLAY_BYTES = 65_536
MS_PER_S = 1000.0

_log = structlog.get_logger()


@dataclass(frozen=True, slots=True)
class Fleet:
    """Answers what this process knows of the others.

    Attributes:
        node: Name of this process.
        service: Service that the upstream beside it serves.
        slice: Returns the slice of a key, given its base slice.
        row: Returns the newest known row of a slice.
        members: Returns the live members of a service.
        member: Returns the record of a node.
    """

    node: str
    service: str
    slice: Callable[[SliceId, str], SliceId]
    row: Callable[[SliceId], Row | None]
    members: Callable[[str], tuple[Member, ...]]
    member: Callable[[str], Member | None]


@dataclass(frozen=True, slots=True)
class _Buffered:
    """Holds the beginning of a request's body.

    Attributes:
        request: The request, to be sent with what follows the beginning.
        beginning: The bytes that were read.
        whole: Whether these are all, so that the request can be sent again.
    """

    request: Request
    beginning: bytes
    whole: bool


class Entry:
    """Routes the requests that arrive at one process."""

    def __init__(
        self,
        fleet: Fleet,
        own_guard: GuardTask,
        in_force: Callable[[], InForce],
        metrics: Metrics,
    ) -> None:
        self._fleet = fleet
        self._guard = own_guard
        self._in_force = in_force
        self._metrics = metrics
        self._pool = Pool(PoolSettings())

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
        reply = await self._route(request, settings, details)
        return self._finish(reply, details, arrived)

    async def close(self) -> None:
        """Closes the connections to other processes."""
        await self._pool.close()

    async def _route(
        self, request: Request, settings: ServiceSettings, details: Classified
    ) -> Response | Refused:
        """Serves a request here or at another process."""
        buffered = await _buffer(request)
        outcome = NotRun("no-owner", "Nobody serves the key just now.", 0.2)
        for node in self._candidates(settings, details)[:MAX_ATTEMPTS]:
            reply = await self._try(node, buffered, details)
            if not isinstance(reply, Refused):
                return reply
            outcome = reply.outcome
            if isinstance(outcome, Unknown) or not buffered.whole:
                break
        return Refused(outcome)

    def _candidates(
        self, settings: ServiceSettings, details: Classified
    ) -> tuple[str, ...]:
        """Returns the nodes to try, best first."""
        if details.hops >= MAX_HOPS:
            return (self._fleet.node,)
        if details.slice is None:
            return tuple(m.node for m in self._fleet.members(settings.name))
        row = self._fleet.row(self._fleet.slice(details.slice, details.key))
        return tuple(name.node for name in row.succession) if row else ()

    async def _try(
        self, node: str, buffered: _Buffered, details: Classified
    ) -> Response | Refused:
        """Tries one node."""
        if node == self._fleet.node:
            return await self._serve_here(buffered, details)
        member = self._fleet.member(node)
        if member is None:
            return Refused(NotRun("no-owner", f"{node} is not known."))
        address = Address(member.entry_host, self._port(details.service))
        try:
            response = await self._pool.send(
                address, _forwarded(buffered, details), details.deadline - now()
            )
        except ConnectFailed as error:
            return Refused(NotRun("connect-failed", error.detail, 0.2))
        except ProxyError as error:
            if getattr(error, "sent", True):
                return Refused(Unknown("connection-lost", error.detail))
            return Refused(NotRun("not-sent", error.detail, 0.2))
        return await _read_refusal(response)

    async def _serve_here(
        self, buffered: _Buffered, details: Classified
    ) -> Response | Refused:
        """Hands a request to the guard of this process."""
        if details.service != self._fleet.service:
            return Refused(NotRun("not-owner", "Another service's upstream is here."))
        slice_id = details.slice
        if slice_id is not None:
            slice_id = self._fleet.slice(slice_id, details.key)
        arrived = guard.RequestArrived(
            waiter=0,
            request_id=details.request_id,
            fingerprint=request_fingerprint(
                buffered.request, details.key, buffered.beginning
            ),
            tenant=details.tenant,
            slice=slice_id,
            idempotent=details.idempotent,
            deadline=details.deadline,
            ticket=details.ticket,
            resent=False,
        )
        request = replace(buffered.request, body=_body(buffered))
        return await self._guard.serve(request, arrived, details)

    def _port(self, service: str) -> int:
        """Returns the port of a service."""
        return self._in_force().deployment.services[service].port

    def _finish(
        self, reply: Response | Refused, details: Classified, arrived: float
    ) -> Response:
        """Counts an outcome and turns it into a response."""
        outcome, code = _outcome_labels(reply)
        service, tenant = details.service, details.tenant
        self._metrics.requests.labels(service, tenant, outcome, code).inc()
        took = now() - arrived
        self._metrics.latency.labels(service, tenant, outcome).observe(took)
        _log.info(
            "request",
            request_id=details.request_id,
            tenant=tenant,
            service=service,
            slice=details.slice.index if details.slice else None,
            outcome=outcome,
            code=code,
            hops=details.hops,
            seconds=round(took, 6),
        )
        if isinstance(reply, Refused):
            return outcome_response(reply.outcome)
        named = replace_header(reply.headers, headers.OUTCOME, headers.OUTCOME_ANSWER)
        return replace(reply, headers=named)


def _outcome_labels(reply: Response | Refused) -> tuple[str, str]:
    """Returns outcome and code for metrics and logs."""
    match reply:
        case Refused(NotRun(code)):
            return "not-run", code
        case Refused(Unknown(code)):
            return "unknown", code
        case _:
            return "answer", ""


async def _buffer(request: Request) -> _Buffered:
    """Reads the beginning of a body, so that a small one can be sent again."""
    if isinstance(request.body, WholeBody):
        return _Buffered(request, request.body.data, True)
    pieces: list[bytes] = []
    size = 0
    async for piece in request.body:
        pieces.append(piece)
        size += len(piece)
        if size > REPLAY_BYTES:
            return _Buffered(request, b"".join(pieces), False)
    return _Buffered(request, b"".join(pieces), True)


def _body(buffered: _Buffered) -> AsyncIterator[bytes]:
    """Returns the body to send: from memory, or with what still comes."""
    if buffered.whole:
        return WholeBody(buffered.beginning)
    return _continued(buffered.beginning, buffered.request.body)


async def _continued(
    beginning: bytes, rest: AsyncIterator[bytes]
) -> AsyncIterator[bytes]:
    """Yields what was read of a body and then what still comes."""
    yield beginning
    async for piece in rest:
        yield piece


def _forwarded(buffered: _Buffered, details: Classified) -> Request:
    """Returns the request as another process gets it."""
    left_ms = max(1, int((details.deadline - now()) * MS_PER_S))
    kept = replace_header(
        buffered.request.headers, headers.DEADLINE_MS, b"%d" % left_ms
    )
    kept = replace_header(kept, headers.HOPS, b"%d" % (details.hops + 1))
    request_id = details.request_id.encode("latin-1")
    kept = replace_header(kept, headers.IDEMPOTENCY_KEY, request_id)
    return replace(buffered.request, headers=kept, body=_body(buffered))


async def _read_refusal(response: Response) -> Response | Refused:
    """Turns another process's refusal into its outcome."""
    outcome = find_header(response.headers, headers.OUTCOME)
    if outcome not in (headers.OUTCOME_NOT_RUN, headers.OUTCOME_UNKNOWN):
        return response
    await response.aclose()
    code = (find_header(response.headers, headers.CODE) or b"").decode("latin-1")
    if outcome == headers.OUTCOME_UNKNOWN:
        return Refused(Unknown(code))
    retry_after = find_header(response.headers, headers.RETRY_AFTER) or b"0"
    return Refused(NotRun(code, "", float(retry_after)))
