"""Inherited settings, each with its unit, bounds and default.

`Effective` holds the settings of one service, place and key. The checks of
settings files and the schema for editors are derived from the same types.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Annotated

from msgspec import Meta

__all__ = [
    "ColdStart",
    "Deadlines",
    "Effective",
    "Hedging",
    "Ledger",
    "Limits",
    "Moves",
    "Ownership",
    "Retries",
]

Share = Annotated[float, Meta(ge=0.0, le=1.0)]


@dataclass(frozen=True, slots=True)
class Limits:
    """Limits of an upstream and its guard.

    Attributes:
        slots: Requests that an upstream runs concurrently.
        connections: Connections that an upstream accepts.
        new_connections_per_s: Connections opened to an upstream per second.
        queue_length: Requests that may be queued at a guard.
        header_bytes: Bytes of a request's start line and headers together.
        body_bytes: Bytes of a request or response body.
        connections_per_caller: Connections from one caller address.
        header_time_s: Seconds that a caller may take to send its headers.
    """

    slots: Annotated[int, Meta(ge=1, le=100_000)] = 16
    connections: Annotated[int, Meta(ge=1, le=1_000_000)] = 100
    new_connections_per_s: Annotated[float, Meta(gt=0, le=1e6)] = 500.0
    queue_length: Annotated[int, Meta(ge=0, le=1_000_000)] = 200
    header_bytes: Annotated[int, Meta(ge=256, le=1_048_576)] = 16_384
    body_bytes: Annotated[int, Meta(ge=0, le=1 << 40)] = 16_777_216
    connections_per_caller: Annotated[int, Meta(ge=1, le=1_000_000)] = 100
    header_time_s: Annotated[float, Meta(gt=0, le=3600)] = 10.0


@dataclass(frozen=True, slots=True)
class ColdStart:
    """Load limits of an upstream after its start.

    Attributes:
        duration_s: Seconds from the start until the full load is allowed.
        initial_share: Share of the slots that may be used at the start.
    """

    duration_s: Annotated[float, Meta(ge=0, le=86_400)] = 30.0
    initial_share: Share = 0.1


@dataclass(frozen=True, slots=True)
class Deadlines:
    """Time limits of requests.

    Attributes:
        default_ms: Milliseconds for a request without a deadline.
        max_ms: Longest deadline that a request may set, in milliseconds.
    """

    default_ms: Annotated[int, Meta(ge=1, le=3_600_000)] = 5_000
    max_ms: Annotated[int, Meta(ge=1, le=3_600_000)] = 60_000


@dataclass(frozen=True, slots=True)
class Ledger:
    """Limits of a guard's ledger of request ids.

    Attributes:
        window_s: Seconds for which the answer to a request id is kept.
        bytes: Bytes that the kept answers of one guard may take.
    """

    window_s: Annotated[float, Meta(gt=0, le=604_800)] = 600.0
    bytes: Annotated[int, Meta(ge=65_536, le=1 << 36)] = 33_554_432


@dataclass(frozen=True, slots=True)
class Hedging:
    """Hedging of slow idempotent requests.

    Attributes:
        enabled: Whether requests are hedged.
        quantile: Quantile of the latency after which a second copy is sent.
        budget_share: Maximum number of copies, as a share of the requests.
    """

    enabled: bool = True
    quantile: Annotated[float, Meta(gt=0, lt=1)] = 0.95
    budget_share: Share = 0.05


@dataclass(frozen=True, slots=True)
class Retries:
    """Retries of idempotent requests and of rejected requests.

    Attributes:
        attempts: Attempts for one request, including the first.
        budget_share: Maximum number of retries, as a share of the requests.
    """

    attempts: Annotated[int, Meta(ge=1, le=10)] = 3
    budget_share: Share = 0.1


@dataclass(frozen=True, slots=True)
class Ownership:
    """Timing of ownership leases; the same in the whole deployment.

    Attributes:
        lease_s: Seconds for which witnesses grant a lease.
        ask_interval_s: Seconds between two lease requests to the witnesses.
        silence_s: Seconds without a lease request until a holder is unresponsive.
        window_s: Seconds within which a majority of witnesses must promise.
        clock_drift: Upper bound of a clock's rate error, as a ratio.
        dispatch_margin_s: Seconds before a lease's end without new dispatches.
    """

    lease_s: Annotated[float, Meta(ge=0.5, le=60)] = 1.5
    ask_interval_s: Annotated[float, Meta(ge=0.05, le=20)] = 0.4
    silence_s: Annotated[float, Meta(ge=0.1, le=60)] = 1.0
    window_s: Annotated[float, Meta(ge=0.05, le=20)] = 0.5
    clock_drift: Annotated[float, Meta(ge=0, le=0.2)] = 0.02
    dispatch_margin_s: Annotated[float, Meta(ge=0, le=10)] = 0.05


@dataclass(frozen=True, slots=True)
class Moves:
    """Limits of planned ownership transfers.

    Attributes:
        per_minute: Slices of a service moved per minute to balance load.
    """

    per_minute: Annotated[float, Meta(ge=0, le=1e6)] = 6.0


@dataclass(frozen=True, slots=True)
class Effective:
    """Settings that apply to one service, place and key.

    Attributes:
        limits: Limits of an upstream and its guard.
        cold_start: Load limits of an upstream after its start.
        deadlines: Time limits of requests.
        ledger: Limits of the ledger of request ids.
        hedging: Hedging of slow idempotent requests.
        retries: Retries of requests.
        ownership: Timing of ownership leases.
        moves: Limits of planned ownership transfers.
    """

    limits: Limits = field(default_factory=Limits)
    cold_start: ColdStart = field(default_factory=ColdStart)
    deadlines: Deadlines = field(default_factory=Deadlines)
    ledger: Ledger = field(default_factory=Ledger)
    hedging: Hedging = field(default_factory=Hedging)
    retries: Retries = field(default_factory=Retries)
    ownership: Ownership = field(default_factory=Ownership)
    moves: Moves = field(default_factory=Moves)
