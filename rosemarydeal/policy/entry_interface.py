"""Defines the settings, events and actions of the entry for callers' requests.

The driver holds callers and connections to guards. It feeds events in with
the time and carries out the actions that come back; it decides nothing itself.
"""

from __future__ import annotations

from dataclasses import dataclass

from rosemarydeal.core import Member, NotRun, Row, SliceId, Unknown

from .interface import Tick

__all__ = [
    "AttemptAnswered",
    "AttemptFailed",
    "AttemptRejected",
    "CallerGone",
    "CancelAttempt",
    "Deliver",
    "DeliverOutcome",
    "EntryAction",
    "EntryEvent",
    "EntrySettings",
    "LoadReported",
    "MembersChanged",
    "RefreshRows",
    "RequestAccepted",
    "RowsChanged",
    "SendAttempt",
    "SuspectNode",
]


@dataclass(frozen=True, slots=True)
class EntrySettings:
    """Bounds on what the entry spends to get an answer.

    Attributes:
        availability_zone: Availability zone of this process.
        retry_share: Retries per accepted request, on average.
        retry_burst: Retries that may be spent at once.
        attempts_max: Tries of one request, hedges included.
        retry_delay_s: Wait before a try that needs the fleet to settle.
        hedge_quantile: Quantile of the latency after which a hedge goes out.
        hedge_share: Hedges per accepted request, on average.
        hedge_burst: Hedges that may be spent at once.
        candidates: Upstreams that are compared for a request.
        outlier_factor: Latency over the service's own that marks an outlier.
        panic_share: Share of outliers above which the view is not believed.
        remote_zone_factor: How much worse a far upstream counts than a near one.
        unresponsive_s: Seconds without an answer after which a node is suspected.
    """

    availability_zone: str = ""
    retry_share: float = 0.1
    retry_burst: float = 10.0
    attempts_max: int = 4
    retry_delay_s: float = 0.05
    hedge_quantile: float = 0.97
    hedge_share: float = 0.04
    hedge_burst: float = 10.0
    candidates: int = 4
    outlier_factor: float = 3.0
    panic_share: float = 0.5
    remote_zone_factor: float = 1.2
    unresponsive_s: float = 1.0


@dataclass(frozen=True, slots=True)
class RequestAccepted:
    """Says that a caller asks for something.

    Attributes:
        request: Number by which the driver knows the waiting caller; it gets
            one `Deliver` or `DeliverOutcome` unless the caller goes first.
        request_id: The caller's id, or one that the driver made.
        service: Service that is asked.
        slice: Slice of the key; None for a service without keys.
        idempotent: Whether the request may run more than once.
        deadline: Moment after which the caller has no use for an answer.
        ticket: Ticket of an earlier try that the caller sends along.
        resent: Whether an earlier try may have reached an upstream.
    """

    request: int
    request_id: str
    service: str
    slice: SliceId | None
    idempotent: bool
    deadline: float
    ticket: int | None = None
    resent: bool = False


@dataclass(frozen=True, slots=True)
class AttemptAnswered:
    """Says that the answer to a try has begun to come.

    Attributes:
        request: Number of the request.
        attempt: Number of the try.
        status: HTTP status of the answer.
        latency: Seconds since the try.
        busy: Requests that run or wait at the guard; -1 when not told.
    """

    request: int
    attempt: int
    status: int
    latency: float
    busy: int = -1


@dataclass(frozen=True, slots=True)
class AttemptRejected:
    """Says that a guard replied with an outcome in place of an answer.

    Attributes:
        request: Number of the request.
        attempt: Number of the try.
        outcome: What the guard replied.
        row: The guard's row of the slice, when it is newer.
        busy: Requests that run or wait at the guard; -1 when not told.
    """

    request: int
    attempt: int
    outcome: NotRun | Unknown
    row: Row | None = None
    busy: int = -1


@dataclass(frozen=True, slots=True)
class AttemptFailed:
    """Says that a guard can't be reached or its connection was lost.

    Attributes:
        request: Number of the request.
        attempt: Number of the try.
        sent: Whether any byte of the request may have reached the guard.
    """

    request: int
    attempt: int
    sent: bool


@dataclass(frozen=True, slots=True)
class CallerGone:
    """Says that a caller does not wait any more."""

    request: int


@dataclass(frozen=True, slots=True)
class MembersChanged:
    """Gives all members that are known now."""

    members: tuple[Member, ...]


@dataclass(frozen=True, slots=True)
class RowsChanged:
    """Gives rows that may be newer than the known ones."""

    rows: tuple[Row, ...]


@dataclass(frozen=True, slots=True)
class LoadReported:
    """Delivers a report about an upstream; a hint that ages.

    Attributes:
        node: Process beside the upstream.
        busy: Requests that it had in hand.
        healthy: What its health endpoint claims.
        age: Seconds since the report was made.
    """

    node: str
    busy: int
    healthy: bool
    age: float


EntryEvent = (
    RequestAccepted
    | AttemptAnswered
    | AttemptRejected
    | AttemptFailed
    | CallerGone
    | MembersChanged
    | RowsChanged
    | LoadReported
    | Tick
)


@dataclass(frozen=True, slots=True)
class SendAttempt:
    """Sends a request to a node's guard.

    Attributes:
        request: Number of the request.
        attempt: Number of the try, unique within the request.
        node: Process to send it to.
        deadline: Moment to pass on.
        ticket: Ticket to pass on, if any.
        resent: Whether to tell that an earlier try may have run.
    """

    request: int
    attempt: int
    node: str
    deadline: float
    ticket: int | None
    resent: bool


@dataclass(frozen=True, slots=True)
class CancelAttempt:
    """Withdraws a try; nothing more about it needs to be reported."""

    request: int
    attempt: int


@dataclass(frozen=True, slots=True)
class Deliver:
    """Passes the answer of a try on to the caller, to its end."""

    request: int
    attempt: int


@dataclass(frozen=True, slots=True)
class DeliverOutcome:
    """Gives the caller an outcome without an answer.

    Attributes:
        request: Number of the request.
        outcome: The outcome.
        ticket: Ticket that the caller may send along with a repeat, if any.
    """

    request: int
    outcome: NotRun | Unknown
    ticket: int | None


@dataclass(frozen=True, slots=True)
class SuspectNode:
    """Says that a node is silent, so that its lease is worth probing."""

    node: str


@dataclass(frozen=True, slots=True)
class RefreshRows:
    """Asks for a newer row of a slice from peers or the platform."""

    slice: SliceId


EntryAction = (
    SendAttempt | CancelAttempt | Deliver | DeliverOutcome | SuspectNode | RefreshRows
)
