"""Defines the settings, events and actions of the guard of an upstream.

The driver beside the upstream feeds events in with the time and carries out
the actions that come back. It keeps the bytes of requests and answers, knows
connections and sockets, and decides nothing itself.
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
    "WaiterGone",
]


@dataclass(frozen=True, slots=True)
class GuardSettings:
    """Limits under which a guard admits requests to its upstream.

    Attributes:
        node: Name of the process, used in crash ids.
        service: Service that the upstream serves.
        slots: Requests that the upstream runs at a time when warm.
        connections: Connections that the upstream holds.
        new_connections_per_s: Rate at which connections may be opened.
        queue_length: Requests that may wait for a slot.
        window_s: Seconds for which the id of an ended request is kept.
        answer_bytes: Bytes of answers that are kept for repeats.
        ledger_ids: Ids that are kept at most; more are refused.
        cold_start_s: Seconds from a cold start to full load.
        cold_share: Share of the slots that a cold upstream bears at first.
        cold_latency_factor: Latency over its history that reveals cold.
        suspect_window_s: Seconds for which crash suspects are kept.
        default_weight: Weight of tenants that `tenant_weights` leaves out.
        tenant_weights: Shares of the tenants under overload.
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
    """Says that a caller waits for the outcome of a request.

    Attributes:
        waiter: Number by which the driver knows the waiting caller; the guard
            replies to each waiter exactly once unless it goes first.
        request_id: The caller's id, or one made at the entry.
        fingerprint: Hash of what is asked; a repeat has the same.
        tenant: Tenant that asks.
        slice: Slice of the key; None for a service without keys.
        idempotent: Whether the request may run more than once.
        deadline: Moment after which the caller has no use for an answer.
        ticket: Ticket that the request's first try was sent with.
        resent: Whether an earlier try may have reached an upstream. A
            caller's own id without a ticket counts as resent unless the
            caller marks the try as its first.
        age_s: Seconds since the id was made, where the id tells.
    """

    waiter: int
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
    """Says that the whole answer came; its connection is free again.

    Attributes:
        request_id: The request that ran.
        status: HTTP status of the answer.
        size: Bytes of the answer, which the driver holds.
        latency: Seconds from the dispatch to the whole answer.
    """

    request_id: str
    status: int
    size: int
    latency: float


@dataclass(frozen=True, slots=True)
class UpstreamRejected:
    """Says that the upstream shed the request and did not run it."""

    request_id: str
    retry_after: float


@dataclass(frozen=True, slots=True)
class UpstreamFailed:
    """Says that no answer will come.

    Attributes:
        request_id: The request.
        sent: Whether any byte of it may have reached the upstream.
        crashed: Whether the upstream broke the connection by itself.
    """

    request_id: str
    sent: bool
    crashed: bool


@dataclass(frozen=True, slots=True)
class ConnectionClosed:
    """Says that an idle connection to the upstream was closed."""


@dataclass(frozen=True, slots=True)
class WaiterGone:
    """Says that a caller does not wait any more."""

    waiter: int


@dataclass(frozen=True, slots=True)
class UpstreamStarted:
    """Says that the upstream takes requests; `cold` asks for the ramp."""

    cold: bool


@dataclass(frozen=True, slots=True)
class UpstreamGone:
    """Says that the upstream withdrew or ended; running requests fail one by one."""


@dataclass(frozen=True, slots=True)
class UpstreamReported:
    """Delivers what the upstream's health and load endpoints say.

    Attributes:
        load: Share of its capacity in use.
        healthy: What its health endpoint claims.
        age: Seconds since the report was made.
    """

    load: float
    healthy: bool
    age: float


@dataclass(frozen=True, slots=True)
class CrashSuspectsReceived:
    """Delivers a peer's notice about requests in flight at a crash."""

    notice: CrashSuspectNotice


@dataclass(frozen=True, slots=True)
class ReleaseSuspect:
    """Says that an operator lets a fingerprint run again."""

    fingerprint: int


@dataclass(frozen=True, slots=True)
class SettingsChanged:
    """Puts new settings in force."""

    settings: GuardSettings


@dataclass(frozen=True, slots=True)
class LedgerReceived:
    """Delivers what the former owner of a slice knows of its requests."""

    ledger: LedgerHandOver


GuardEvent = (
    RequestArrived
    | UpstreamAnswered
    | UpstreamRejected
    | UpstreamFailed
    | ConnectionClosed
    | WaiterGone
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
    """Sends a request to the upstream, once, if the slice's right still holds.

    The driver checks the right with the clock right before; if it is gone it
    sends nothing and reports `UpstreamFailed(sent=False)`.

    Attributes:
        request_id: The request.
        slice: Its slice; None needs no right.
        token: Fencing token to send along, 0 without a slice.
        deadline: Moment to pass on to the upstream.
        new_connection: Whether to open a connection rather than reuse one.
    """

    request_id: str
    slice: SliceId | None
    token: int
    deadline: float
    new_connection: bool


@dataclass(frozen=True, slots=True)
class ReplyAnswer:
    """Gives a waiter the whole answer that the driver holds for a request."""

    waiter: int
    request_id: str


@dataclass(frozen=True, slots=True)
class ReplyOutcome:
    """Gives a waiter an outcome without an answer."""

    waiter: int
    outcome: NotRun | Unknown


@dataclass(frozen=True, slots=True)
class CancelUpstream:
    """Cancels a dispatched request; the driver reports how it ended."""

    request_id: str


@dataclass(frozen=True, slots=True)
class DropAnswer:
    """Lets the driver drop the bytes of an answer."""

    request_id: str


@dataclass(frozen=True, slots=True)
class ReportIdle:
    """Says that no request of a slice runs after `StopAdmitting`."""

    slice: SliceId


@dataclass(frozen=True, slots=True)
class BroadcastCrashSuspects:
    """Sends a notice to all processes of the service."""

    notice: CrashSuspectNotice


@dataclass(frozen=True, slots=True)
class HandOverLedger:
    """Sends a slice's requests to its next owner, before the release."""

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
