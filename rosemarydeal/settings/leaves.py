"""Defines the inherited settings, each with its unit, bounds and default.

`Effective` is what a process works with for one service, place and key. The
same types give the checks of settings files and the schema for editors.
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
    """Bounds what an upstream and its guard take on.

    Attributes:
        slots: Requests that an upstream runs at a time.
        connections: Connections that an upstream accepts.
        new_connections_per_s: Connections opened to an upstream per second.
        queue_length: Requests that may wait at a guard.
        header_bytes: Bytes of a request's line and headers together.
        body_bytes: Bytes of a request's or an answer's body.
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
    """Describes how fast an upstream may be loaded after its start.

    Attributes:
        duration_s: Seconds from the start until the full load is allowed.
        initial_share: Share of the slots that is allowed at the start.
    """

    duration_s: Annotated[float, Meta(ge=0, le=86_400)] = 30.0
    initial_share: Share = 0.1


@dataclass(frozen=True, slots=True)
class Deadlines:
    """Bounds how long a request may take.

    Attributes:
        default_ms: Milliseconds for a request that names no deadline.
        max_ms: Milliseconds that a request may ask for at most.
    """

    default_ms: Annotated[int, Meta(ge=1, le=3_600_000)] = 5_000
    max_ms: Annotated[int, Meta(ge=1, le=3_600_000)] = 60_000


@dataclass(frozen=True, slots=True)
class Ledger:
    """Bounds the memory of request ids that a guard keeps.

    Attributes:
        window_s: Seconds for which the answer to a request id is kept.
        bytes: Bytes that the answers of one guard may take.
    """

    window_s: Annotated[float, Meta(gt=0, le=604_800)] = 600.0
    bytes: Annotated[int, Meta(ge=65_536, le=1 << 36)] = 33_554_432


@dataclass(frozen=True, slots=True)
class Hedging:
    """Controls second copies of slow idempotent requests.

    Attributes:
        enabled: Whether requests are hedged at all.
        quantile: Quantile of the latency after which a copy is sent.
        budget_share: Copies as a share of the requests, at most.
    """

    enabled: bool = True
    quantile: Annotated[float, Meta(gt=0, lt=1)] = 0.95
    budget_share: Share = 0.05


@dataclass(frozen=True, slots=True)
class Retries:
    """Controls repeats of idempotent requests and of refusals.

    Attributes:
        attempts: Attempts for one request, the first included.
        budget_share: Repeats as a share of the requests, at most.
    """

    attempts: Annotated[int, Meta(ge=1, le=10)] = 3
    budget_share: Share = 0.1


@dataclass(frozen=True, slots=True)
class Ownership:
    """Times the lease; the same for the whole deployment.

    Attributes:
        lease_s: Seconds for which witnesses vouch for a process.
        ask_interval_s: Seconds between two requests to the witnesses.
        silence_s: Seconds of silence after which a witness gives a holder up.
        window_s: Seconds within which a majority of witnesses must promise.
        clock_drift: Bound on a clock's rate error, as a ratio.
        dispatch_margin_s: Seconds before a lease's end without new dispatch.
    """

    lease_s: Annotated[float, Meta(ge=0.5, le=60)] = 1.5
    ask_interval_s: Annotated[float, Meta(ge=0.05, le=20)] = 0.4
    silence_s: Annotated[float, Meta(ge=0.1, le=60)] = 1.0
    window_s: Annotated[float, Meta(ge=0.05, le=20)] = 0.5
    clock_drift: Annotated[float, Meta(ge=0, le=0.2)] = 0.02
    dispatch_margin_s: Annotated[float, Meta(ge=0, le=10)] = 0.05


@dataclass(frozen=True, slots=True)
class Moves:
    """Bounds planned changes of ownership.

    Attributes:
        per_minute: Slices that a service moves per minute for balance.
    """

    per_minute: Annotated[float, Meta(ge=0, le=1e6)] = 6.0


@dataclass(frozen=True, slots=True)
class Effective:
    """Holds the settings that apply to one service, place and key.

    Attributes:
        limits: What an upstream and its guard take on.
        cold_start: How fast an upstream is loaded after its start.
        deadlines: How long a request may take.
        ledger: The memory of request ids.
        hedging: Second copies of slow idempotent requests.
        retries: Repeats of requests.
        ownership: Timing of the lease.
        moves: Planned changes of ownership.
    """

    limits: Limits = field(default_factory=Limits)
    cold_start: ColdStart = field(default_factory=ColdStart)
    deadlines: Deadlines = field(default_factory=Deadlines)
    ledger: Ledger = field(default_factory=Ledger)
    hedging: Hedging = field(default_factory=Hedging)
    retries: Retries = field(default_factory=Retries)
    ownership: Ownership = field(default_factory=Ownership)
    moves: Moves = field(default_factory=Moves)
