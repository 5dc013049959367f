"""Settings, events and actions of the guard of an upstream.

The driver, which runs beside the upstream, passes each event to the policy with
the current time and executes the returned actions. It holds the connections and
the bytes of requests and answers; all decisions are made in the policy.
"""

from __future__ import annotations

from dataclasses import dataclass, field

import immutables

from rosemarydeal.core import NotRun, SliceId, Unknown
from rosemarydeal.core.messages import CrashSuspectNotice, LedgerHandOver

from .interface import OwnershipGained, OwnershipLost, StopAdmitting, Tick

__all__ = [
    "BroadcastCrashSuspects",
    "CancelUpstream",
    "ConnectionClosed",
    "CrashSuspectsReceived",
    "Dispatch",
    "DropAnswer",
    "GuardAction",
    "GuardEvent",
    "GuardSettings",
    "HandOverLedger",
    "LedgerReceived",
    "ReleaseSuspect",
    "ReplyAnswer",
    "ReplyOutcome",
    "ReportIdle",
    "RequestArrived",
    "SettingsChanged",
    "UpstreamAnswered",
    "UpstreamFailed",
    "UpstreamGone",
    "UpstreamRejected",
    "UpstreamReported",
    "UpstreamStarted",
    "CallerGone",
]


@dataclass(frozen=True, slots=True)
class GuardSettings:
    """Limits under which a guard admits requests to its upstream.

    Attributes:
        node: Name of the process, used in crash ids.
        service: Service that the upstream serves.
        slots: Requests that the upstream runs at a time when warm.
        connections: Connections that the upstream accepts.
        new_connections_per_s: Rate at which connections may be opened.
        queue_length: Requests that may wait for a slot.
        window_s: Seconds for which the id of an ended request is kept.
        answer_bytes: Bytes of answers that are kept for resent requests.
        ledger_ids: Ids that are kept at most; further requests are rejected.
        cold_start_s: Seconds from a cold start to full load.
        cold_share: Share of the slots that a cold upstream gets at first.
        cold_latency_factor: Ratio to its latency history above which an upstream
            is taken to be cold.
        suspect_window_s: Seconds for which crash suspects are kept.
        default_weight: Weight of tenants that are not in `tenant_weights`.
        tenant_weights: Weights of the tenants under overload.
    """

    node: str = ""
    service: str = ""
    slots: int = 12
    connections: int = 80
    new_connections_per_s: float = 1000.0
    queue_length: int = 200
    window_s: float = 120.0
    answer_bytes: int = 32 * 1024 * 1024
    ledger_ids: int = 200_000
    cold_start_s: float = 20.0
    cold_share: float = 0.2
    cold_latency_factor: float = 2.2
    suspect_window_s: float = 3600.0
    default_weight: float = 1.0
    tenant_weights: immutables.Map[str, float] = field(default_factory=immutables.Map)

    def weight(self, tenant: str) -> float:
        """Returns the weight of a tenant under overload."""
        return self.tenant_weights.get(tenant, self.default_weight)


@dataclass(frozen=True, slots=True)
class RequestArrived:
    """A request arrived, and a caller waits for its outcome.

    Attributes:
        caller: Number that the driver assigned to the waiting caller. The guard
            replies to each caller exactly once unless it disconnects first.
        request_id: Id from the caller, or one generated at the entry.
        fingerprint: Hash of the request's content, the same when it is resent.
        tenant: Tenant of the caller.
        slice: Slice of the key; None for a service without keys.
        idempotent: Whether the request may run more than once.
        deadline: Time after which the caller no longer needs an answer.
        ticket: Ticket of the request's first attempt.
        resent: Whether an earlier attempt may have reached an upstream. A
            request with an id from the caller and without a ticket counts as
            resent unless the caller marks the attempt as the first.
        age_s: Seconds since the id was generated, None if unknown.
    """

    caller: int
    request_id: str
    fingerprint: int
    tenant: str
    slice: SliceId | None
    idempotent: bool
    deadline: float
    ticket: int | None = None
    resent: bool = False
    age_s: float | None = None


@dataclass(frozen=True, slots=True)
class UpstreamAnswered:
    """The whole answer was received.

    Attributes:
        request_id: The request that ran.
        status: HTTP status of the answer.
        size: Bytes of the answer, which the driver holds.
        latency: Seconds from the dispatch to the end of the answer.
        connection_kept: Whether its connection is free again, not closed.
    """

    request_id: str
    status: int
    size: int
    latency: float
    connection_kept: bool = True


@dataclass(frozen=True, slots=True)
class UpstreamRejected:
    """The upstream shed the request and did not run it.

    Attributes:
        request_id: The request.
        retry_after: Seconds after which it is worth sending again.
        connection_kept: Whether its connection is free again, not closed.
    """

    request_id: str
    retry_after: float
    connection_kept: bool = True


@dataclass(frozen=True, slots=True)
class UpstreamFailed:
    """A request failed without an answer.

    Attributes:
        request_id: The request.
        sent: Whether any byte of it may have reached the upstream.
        crashed: Whether the upstream itself broke the connection.
    """

    request_id: str
    sent: bool
    crashed: bool


@dataclass(frozen=True, slots=True)
class ConnectionClosed:
    """An idle connection to the upstream was closed."""


@dataclass(frozen=True, slots=True)
class CallerGone:
    """A caller no longer waits for the outcome of its request."""

    caller: int


@dataclass(frozen=True, slots=True)
class UpstreamStarted:
    """The upstream accepts requests; if `cold`, its load is ramped up."""

    cold: bool


@dataclass(frozen=True, slots=True)
class UpstreamGone:
    """The upstream left or exited; each running request fails with its own event."""


@dataclass(frozen=True, slots=True)
class UpstreamReported:
    """A report of the upstream's health and load endpoints was received.

    Attributes:
        load: Share of the upstream's capacity in use.
        healthy: State reported by the health endpoint.
        age: Seconds since the report was made.
    """

    load: float
    healthy: bool
    age: float


@dataclass(frozen=True, slots=True)
class CrashSuspectsReceived:
    """A peer's notice of requests in flight at a crash was received."""

    notice: CrashSuspectNotice


@dataclass(frozen=True, slots=True)
class ReleaseSuspect:
    """An operator allowed requests with a fingerprint to run again."""

    fingerprint: int


@dataclass(frozen=True, slots=True)
class SettingsChanged:
    """New settings apply from now on."""

    settings: GuardSettings


@dataclass(frozen=True, slots=True)
class LedgerReceived:
    """The ledger of a slice was received from its former owner."""

    ledger: LedgerHandOver


GuardEvent = (
    RequestArrived
    | UpstreamAnswered
    | UpstreamRejected
    | UpstreamFailed
    | ConnectionClosed
    | CallerGone
    | OwnershipGained
    | OwnershipLost
    | StopAdmitting
    | UpstreamStarted
    | UpstreamGone
    | UpstreamReported
    | CrashSuspectsReceived
    | ReleaseSuspect
    | SettingsChanged
    | LedgerReceived
    | Tick
)


@dataclass(frozen=True, slots=True)
class Dispatch:
    """Sends a request to the upstream once, if the process still owns the slice.

    The driver checks the ownership against the clock immediately before sending.
    If it has expired, the driver sends nothing and reports
    `UpstreamFailed(sent=False)`.

    Attributes:
        request_id: The request.
        slice: Its slice; no ownership is needed if None.
        token: Fencing token to send along, 0 without a slice.
        deadline: Deadline to send to the upstream.
        new_connection: Whether to open a connection instead of reusing one.
    """

    request_id: str
    slice: SliceId | None
    token: int
    deadline: float
    new_connection: bool


@dataclass(frozen=True, slots=True)
class ReplyAnswer:
    """Replies to a caller with the whole answer that the driver holds."""

    caller: int
    request_id: str


@dataclass(frozen=True, slots=True)
class ReplyOutcome:
    """Replies to a caller with an outcome instead of an answer."""

    caller: int
    outcome: NotRun | Unknown


@dataclass(frozen=True, slots=True)
class CancelUpstream:
    """Cancels a dispatched request; the driver still reports its result."""

    request_id: str


@dataclass(frozen=True, slots=True)
class DropAnswer:
    """Allows the driver to discard the bytes of an answer."""

    request_id: str


@dataclass(frozen=True, slots=True)
class ReportIdle:
    """Reports that after `StopAdmitting` the last request of a slice has ended."""

    slice: SliceId


@dataclass(frozen=True, slots=True)
class BroadcastCrashSuspects:
    """Sends a notice of crash suspects to all processes of the service."""

    notice: CrashSuspectNotice


@dataclass(frozen=True, slots=True)
class HandOverLedger:
    """Sends a slice's ledger to the next owner, before the slice is released."""

    slice: SliceId
    ledger: LedgerHandOver


GuardAction = (
    Dispatch
    | ReplyAnswer
    | ReplyOutcome
    | CancelUpstream
    | DropAnswer
    | ReportIdle
    | BroadcastCrashSuspects
    | HandOverLedger
)
