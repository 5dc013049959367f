"""Settings, events and actions of the entry, which accepts callers' requests.

The driver holds the connections to callers and guards. It passes each event to
the policy with the current time and executes the returned actions; all decisions
are made in the policy.
"""

from __future__ import annotations

from dataclasses import dataclass

from rosemarydeal.core import Member, NotRun, Row, SliceId, Unknown

from .interface import OwnershipGained, OwnershipLost, Tick

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
    """Limits on retries and hedges, and parameters of the choice of upstreams.

    Attributes:
        node: Name of this process.
        availability_zone: Availability zone of this process.
        retry_share: Retries allowed per accepted request, on average.
        retry_burst: Retries allowed at once.
        attempts_max: Attempts allowed per request, including hedges.
        retry_delay_s: Delay before an attempt that waits for a change of owner
            or for an upstream's recovery.
        hedge_quantile: Quantile of the latency after which a hedge is sent.
        hedge_share: Hedges allowed per accepted request, on average.
        hedge_burst: Hedges allowed at once.
        candidates: Number of upstreams that are compared for a request.
        outlier_factor: Ratio to the candidates' median latency above which an
            upstream is an outlier.
        panic_share: Share of outliers above which the measurements are taken to
            be wrong and no upstream is excluded.
        remote_zone_factor: Cost of an upstream in another availability zone,
            relative to one in the own zone.
        unresponsive_s: Seconds without an answer after which a node is suspected.
    """

    node: str = ""
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
    """A request of a caller was accepted.

    Attributes:
        request: Number that the driver assigned to the request. The policy
            returns one `Deliver` or `DeliverOutcome` for it unless the caller
            disconnects first.
        request_id: Id from the caller, or one that the driver generated.
        service: Requested service.
        slice: Slice of the key; None for a service without keys.
        idempotent: Whether the request may run more than once.
        deadline: Time after which the caller no longer needs an answer.
        ticket: Ticket of an earlier attempt, if the caller sent one.
        resent: Whether an earlier attempt may have reached an upstream.
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
    """The first part of the answer to an attempt was received.

    Attributes:
        request: Number of the request.
        attempt: Number of the attempt.
        status: HTTP status of the answer.
        latency: Seconds since the attempt was sent.
        busy: Requests that run or are queued at the guard; -1 if not reported.
    """

    request: int
    attempt: int
    status: int
    latency: float
    busy: int = -1


@dataclass(frozen=True, slots=True)
class AttemptRejected:
    """A guard replied with an outcome instead of an answer.

    Attributes:
        request: Number of the request.
        attempt: Number of the attempt.
        outcome: The guard's reply.
        row: The guard's row of the slice, if it is newer.
        busy: Requests that run or are queued at the guard; -1 if not reported.
    """

    request: int
    attempt: int
    outcome: NotRun | Unknown
    row: Row | None = None
    busy: int = -1


@dataclass(frozen=True, slots=True)
class AttemptFailed:
    """A guard can't be reached or its connection was lost.

    Attributes:
        request: Number of the request.
        attempt: Number of the attempt.
        sent: Whether any byte of the request may have reached the guard.
    """

    request: int
    attempt: int
    sent: bool


@dataclass(frozen=True, slots=True)
class CallerGone:
    """A caller no longer waits for the outcome of its request."""

    request: int


@dataclass(frozen=True, slots=True)
class MembersChanged:
    """The known members changed; `members` lists all of them."""

    members: tuple[Member, ...]


@dataclass(frozen=True, slots=True)
class RowsChanged:
    """Rows were received that may be newer than the known ones."""

    rows: tuple[Row, ...]


@dataclass(frozen=True, slots=True)
class LoadReported:
    """A load report about an upstream was received; its weight falls with age.

    Attributes:
        node: Process of the upstream.
        busy: Requests in progress at the upstream.
        healthy: State reported by its health endpoint.
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
    | OwnershipGained
    | OwnershipLost
    | Tick
)


@dataclass(frozen=True, slots=True)
class SendAttempt:
    """Sends a request to a node's guard.

    Attributes:
        request: Number of the request.
        attempt: Number of the attempt, unique within the request.
        node: Process to send it to.
        deadline: Deadline to send along.
        ticket: Ticket to send along, if any.
        resent: Whether to mark the request as one whose earlier attempt may
            have run.
    """

    request: int
    attempt: int
    node: str
    deadline: float
    ticket: int | None
    resent: bool


@dataclass(frozen=True, slots=True)
class CancelAttempt:
    """Cancels an attempt; no further events about it are needed."""

    request: int
    attempt: int


@dataclass(frozen=True, slots=True)
class Deliver:
    """Forwards the whole answer of an attempt to the caller."""

    request: int
    attempt: int


@dataclass(frozen=True, slots=True)
class DeliverOutcome:
    """Replies to the caller with an outcome instead of an answer.

    Attributes:
        request: Number of the request.
        outcome: The outcome.
        ticket: Ticket that the caller may send along when it resends the
            request, if any.
    """

    request: int
    outcome: NotRun | Unknown
    ticket: int | None


@dataclass(frozen=True, slots=True)
class SuspectNode:
    """Reports an unresponsive node, whose lease should be probed."""

    node: str


@dataclass(frozen=True, slots=True)
class RefreshRows:
    """Requests the newest row of a slice from peers or the platform."""

    slice: SliceId


EntryAction = (
    SendAttempt | CancelAttempt | Deliver | DeliverOutcome | SuspectNode | RefreshRows
)
