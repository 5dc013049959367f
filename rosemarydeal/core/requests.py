"""Immutable types of a request's way from its caller to an upstream and back."""

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
    "UpstreamResult",
]

Headers = tuple[tuple[bytes, bytes], ...]


@dataclass(frozen=True, slots=True)
class CallerRequest:
    """Is a request as its caller sent it.

    Attributes:
        request_id: Identity of this attempt of the caller.
        host: Host that it names, without port, in lower case.
        method: HTTP method.
        target: Path and query.
        headers: End-to-end headers.
        body: Whole body.
        time_left_s: How long the caller waits; None if it doesn't say.
        key: Key that it is about, if any.
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
    """Is a request that a process asks another, or itself, to have run.

    Attributes:
        request_id: Identity of the caller's attempt.
        method: HTTP method.
        target: Path and query.
        headers: End-to-end headers.
        body: Whole body.
        caller_service: Service on the VM where the request began.
        service: Service that is to run it.
        route: Name of its route, whose requests are alike.
        key: Key that it is about, if the service is keyed.
        idempotent: Whether it may run more than once.
        priority: Rank; 0 is the most urgent.
        target_s: Time that is left until an answer is worth less.
        time_left_s: Time that is left until nobody waits for an answer.
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


@dataclass(frozen=True, slots=True)
class UpstreamRequest:
    """Is a routed request on its way to the upstream.

    Attributes:
        request: The request.
        instance: The upstream's instance that is meant.
        time_left_s: Time until nobody waits for the answer, in seconds.
        max_idle_s: How long a kept connection that carries it may have
            rested, in seconds; None for any time.
    """

    request: RoutedRequest
    instance: str
    time_left_s: float
    max_idle_s: float | None = None


@dataclass(frozen=True, slots=True)
class Answered:
    """Is the upstream's own whole answer."""

    status: int
    headers: Headers
    body: bytes
    load: UpstreamLoad | None = None


@dataclass(frozen=True, slots=True)
class Rejected:
    """Says that the upstream told that it did not run the request."""

    status: int
    load: UpstreamLoad | None = None


@dataclass(frozen=True, slots=True)
class Failed:
    """Says that no answer came.

    Attributes:
        code: What happened.
        sent: Whether the upstream may have seen, and run, the request.
        timed_out: Whether the time ran out.
    """

    code: str
    sent: bool
    timed_out: bool = False


UpstreamResult = Answered | Rejected | Failed


@dataclass(frozen=True, slots=True)
class NotServed:
    """Says that a request has not run and never will.

    Attributes:
        code: Why; one of the codes of docs/CODES.md.
        retry_after_s: Time after which there will be room, None if unknown.
        elsewhere: Whether another process may still serve it.
        reached: Whether it arrived at an upstream, which rejected it.
    """

    code: str
    retry_after_s: float | None = None
    elsewhere: bool = False
    reached: bool = False


@dataclass(frozen=True, slots=True)
class OutcomeUnknown:
    """Says that a request may have run, and that no answer will come."""

    code: str
    timed_out: bool = False


RequestOutcome = Answered | NotServed | OutcomeUnknown
