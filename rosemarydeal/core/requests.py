"""Immutable types of a request on its path from its caller to an upstream and back."""

from __future__ import annotations

from dataclasses import dataclass

from .fleet import UpstreamLoad

__all__ = [
    "Answered",
    "CallerRequest",
    "UpstreamRequest",
    "RequestOutcome",
    "Failed",
    "NotServed",
    "RoutedRequest",
    "Rejected",
    "OutcomeUnknown",
    "UpstreamNotice",
    "UpstreamResult",
]

Headers = tuple[tuple[bytes, bytes], ...]


@dataclass(frozen=True, slots=True)
class CallerRequest:
    """Request as its caller sent it.

    Attributes:
        request_id: Identifier of this attempt of the caller.
        host: Requested host, without port, in lower case.
        method: HTTP method.
        target: Path and query.
        headers: End-to-end headers.
        body: Complete body.
        time_left_s: Time that the caller waits; None if unspecified.
        key: Key of the request, if any.
    """

    request_id: str
    host: str
    method: bytes
    target: bytes
    headers: Headers
    body: bytes
    time_left_s: float | None
    key: int | None


@dataclass(frozen=True, slots=True)
class RoutedRequest:
    """Request that a process routes to another process, or to itself, for execution.

    Attributes:
        request_id: Identifier of the caller's attempt.
        method: HTTP method.
        target: Path and query.
        headers: End-to-end headers.
        body: Complete body.
        caller_service: Service on the VM from which the request came.
        service: Service that is to run it.
        route: Name of its route; requests of a route are similar.
        key: Key of the request, if the service is keyed.
        idempotent: Whether it may run more than once.
        priority: Rank; 0 is the most urgent.
        target_s: Time left until the latency target.
        time_left_s: Time left until the caller stops waiting.
        cut_s: Time left until the process that the caller is connected to cuts its
            connections; None unless it is stopping.
    """

    request_id: str
    method: bytes
    target: bytes
    headers: Headers
    body: bytes
    caller_service: str
    service: str
    route: str
    key: int | None
    idempotent: bool
    priority: int
    target_s: float
    time_left_s: float
    cut_s: float | None = None


@dataclass(frozen=True, slots=True)
class UpstreamRequest:
    """Routed request as it is sent to the upstream.

    Attributes:
        request: The request.
        instance: Instance of the upstream that is to run it.
        time_left_s: Time left until the caller stops waiting, in seconds.
        max_idle_s: Longest idle time of a connection that is reused for it, in
            seconds; None for any time.
    """

    request: RoutedRequest
    instance: str
    time_left_s: float
    max_idle_s: float | None = None


@dataclass(frozen=True, slots=True)
class UpstreamNotice:
    """What an upstream asks of its callers in an answer.

    Attributes:
        rate_limit_per_s: Requests per second that it accepts; infinite if the answer
            states no limit, None if the stated limit can't be read.
        leaving: Whether it is about to leave.
        unreadable: Start of a stated limit that can't be read, or empty.
    """

    rate_limit_per_s: float | None
    leaving: bool = False
    unreadable: str = ""


@dataclass(frozen=True, slots=True)
class Answered:
    """Complete answer of the upstream.

    Attributes:
        status: HTTP status.
        headers: End-to-end headers.
        body: Complete body.
        load: Load that the answer reports.
        notice: What the upstream asks of its callers; None if the answer does not
            name the request.
        leaving_incarnation: Incarnation of the upstream if it leaves, or empty.
    """

    status: int
    headers: Headers
    body: bytes
    load: UpstreamLoad | None = None
    notice: UpstreamNotice | None = None
    leaving_incarnation: str = ""


@dataclass(frozen=True, slots=True)
class Rejected:
    """Rejection by the upstream, which did not run the request.

    Attributes:
        status: HTTP status.
        load: Load that the answer reports.
        notice: What the upstream asks of its callers; None if the answer does not
            name the request.
    """

    status: int
    load: UpstreamLoad | None = None
    notice: UpstreamNotice | None = None


@dataclass(frozen=True, slots=True)
class Failed:
    """Failure without an answer.

    Attributes:
        code: Code of the failure.
        sent: Whether the upstream may have received, and run, the request.
        timed_out: Whether the time ran out.
        refused: Whether nothing listens at the upstream's address.
        closed: Whether the upstream closed the connection before its answer ended.
    """

    code: str
    sent: bool
    timed_out: bool = False
    refused: bool = False
    closed: bool = False


UpstreamResult = Answered | Rejected | Failed


@dataclass(frozen=True, slots=True)
class NotServed:
    """Outcome of a request that has not run and never will.

    Attributes:
        code: Reason; one of the codes of docs/CODES.md.
        retry_after_s: Time after which there is capacity again; None if unknown.
        elsewhere: Whether another process may still serve it.
        reached: Whether it reached an upstream, which rejected it.
    """

    code: str
    retry_after_s: float | None = None
    elsewhere: bool = False
    reached: bool = False


@dataclass(frozen=True, slots=True)
class OutcomeUnknown:
    """Outcome of a request that may have run, but gets no answer."""

    code: str
    timed_out: bool = False


RequestOutcome = Answered | NotServed | OutcomeUnknown
