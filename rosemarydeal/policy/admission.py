"""Concurrency limit of the upstream: slots, connections and new connections.

The limit adapts below the configured ceiling. It decreases when the upstream
sheds requests, or when latency rises while the limit is reached, and increases
again while latency is normal.
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from math import inf

from .guard_interface import GuardSettings

__all__ = [
    "Admission",
    "can_dispatch",
    "capacity",
    "close_connection",
    "expected_wait",
    "record_answer",
    "record_dispatch",
    "record_shed",
]

SHED_BACKOFF_FACTOR = 0.8
SLOW_BACKOFF_FACTOR = 0.95
SLOW_LATENCY_RATIO = 2.0
SHORT_LATENCY_GAIN = 0.05
LONG_LATENCY_GAIN = 0.005
CONNECTION_BURST_S = 0.02
MIN_LIMIT_SHARE = 0.25


@dataclass(frozen=True, slots=True)
class Admission:
    """Running requests, connections, and the adaptive concurrency limit.

    Attributes:
        limit: Adaptive limit of requests that run at the same time.
        running: Requests that are running.
        idle: Open connections without a request.
        connection_allowance: New connections that may be opened immediately.
        allowance_updated_at: Time of the last update of the allowance.
        short_latency: Moving average of latency over recent answers, in
            seconds.
        long_latency: Moving average of latency over many answers, in seconds.
    """

    limit: float
    running: int = 0
    idle: int = 0
    connection_allowance: float = inf
    allowance_updated_at: float = 0.0
    short_latency: float = 0.0
    long_latency: float = 0.0


def capacity(admission: Admission, settings: GuardSettings, share: float) -> int:
    """Returns the number of requests that may run at the same time."""
    ceiling = min(settings.slots, settings.connections)
    return max(1, int(min(admission.limit, ceiling * share, ceiling)))


def _refilled_allowance(
    admission: Admission, settings: GuardSettings, now: float
) -> float:
    """Returns the number of new connections that may be opened now."""
    rate = settings.new_connections_per_s
    burst = max(1.0, rate * CONNECTION_BURST_S)
    refilled = admission.connection_allowance + rate * max(
        0.0, now - admission.allowance_updated_at
    )
    return min(burst, refilled)


def can_dispatch(
    admission: Admission, settings: GuardSettings, share: float, now: float
) -> bool:
    """Returns whether one more request may be dispatched now."""
    if admission.running >= capacity(admission, settings, share):
        return False
    if admission.idle:
        return True
    if admission.running >= settings.connections:
        return False
    return _refilled_allowance(admission, settings, now) >= 1.0


def record_dispatch(
    admission: Admission, settings: GuardSettings, now: float
) -> tuple[Admission, bool]:
    """Records a dispatch.

    Returns:
        The new state and whether the request needs a new connection.
    """
    running = admission.running + 1
    if admission.idle:
        return replace(admission, running=running, idle=admission.idle - 1), False
    connection_allowance = _refilled_allowance(admission, settings, now) - 1.0
    return replace(
        admission,
        running=running,
        connection_allowance=connection_allowance,
        allowance_updated_at=now,
    ), True


def record_answer(
    admission: Admission,
    settings: GuardSettings,
    latency: float,
    share: float,
    connection_kept: bool,
) -> Admission:
    """Records an answer and adapts the limit to its latency."""
    at_limit = admission.running >= capacity(admission, settings, share)
    is_first = admission.long_latency == 0.0
    short = (
        latency
        if is_first
        else admission.short_latency
        + SHORT_LATENCY_GAIN * (latency - admission.short_latency)
    )
    long = (
        latency
        if is_first
        else admission.long_latency
        + LONG_LATENCY_GAIN * (latency - admission.long_latency)
    )
    limit = admission.limit
    if at_limit and short > SLOW_LATENCY_RATIO * long:
        limit = max(
            settings.slots * MIN_LIMIT_SHARE, limit * SLOW_BACKOFF_FACTOR ** (1 / limit)
        )
    elif short <= SLOW_LATENCY_RATIO * long:
        limit = min(float(settings.slots), limit + 1.0 / limit)
    return replace(
        admission,
        running=admission.running - 1,
        idle=admission.idle + connection_kept,
        limit=max(1.0, limit),
        short_latency=short,
        long_latency=long,
    )


def record_shed(admission: Admission, connection_kept: bool) -> Admission:
    """Records a request that the upstream shed."""
    return replace(
        admission,
        running=admission.running - 1,
        idle=admission.idle + connection_kept,
        limit=max(1.0, admission.limit * SHED_BACKOFF_FACTOR),
    )


def close_connection(admission: Admission, busy: bool) -> Admission:
    """Records a closed connection, and the end of its request if it was busy."""
    if busy:
        return replace(admission, running=max(0, admission.running - 1))
    return replace(admission, idle=max(0, admission.idle - 1))


def expected_wait(
    admission: Admission, settings: GuardSettings, share: float, ahead: int
) -> float:
    """Estimates the wait for a slot behind `ahead` other requests, in seconds."""
    slots = capacity(admission, settings, share)
    return admission.short_latency * ahead / slots
