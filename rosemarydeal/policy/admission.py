"""Limits what runs on the upstream: slots, connections and new connections.

The limit of requests that run at a time adapts under the ceiling that the
settings give: it falls when the upstream sheds work or slows down under a
full load, and grows back while answers come at their usual pace.
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from math import inf

from .guard_interface import GuardSettings

__all__ = [
    "Admission",
    "capacity",
    "close_connection",
    "expected_wait",
    "finish",
    "may_start",
    "refuse",
    "start",
]

SHED_FACTOR = 0.8
SLOWED_FACTOR = 0.95
SLOWED_RATIO = 2.0
SHORT_GAIN = 0.05
LONG_GAIN = 0.005
CONNECTION_BURST_S = 0.02
LEAST_SHARE = 0.25


@dataclass(frozen=True, slots=True)
class Admission:
    """Counts what runs and what the upstream is believed to bear.

    Attributes:
        limit: Requests that may run at a time, adapted.
        running: Requests that run.
        idle: Open connections that no request uses.
        allowance: New connections that may be opened at once.
        allowance_at: Moment for which the allowance was worked out.
        short_latency: Average latency over the latest answers, in seconds.
        long_latency: Average latency over many answers, in seconds.
    """

    limit: float
    running: int = 0
    idle: int = 0
    allowance: float = inf
    allowance_at: float = 0.0
    short_latency: float = 0.0
    long_latency: float = 0.0


def capacity(admission: Admission, settings: GuardSettings, share: float) -> int:
    """Returns how many requests may run at a time."""
    ceiling = min(settings.slots, settings.connections)
    return max(1, int(min(admission.limit, ceiling * share, ceiling)))


def _refilled(admission: Admission, settings: GuardSettings, now: float) -> float:
    """Returns the new connections that may be opened now."""
    rate = settings.new_connections_per_s
    most = max(1.0, rate * CONNECTION_BURST_S)
    grown = admission.allowance + rate * max(0.0, now - admission.allowance_at)
    return min(most, grown)


def may_start(
    admission: Admission, settings: GuardSettings, share: float, now: float
) -> bool:
    """Says whether one more request may be dispatched now."""
    if admission.running >= capacity(admission, settings, share):
        return False
    if admission.idle:
        return True
    if admission.running >= settings.connections:
        return False
    return _refilled(admission, settings, now) >= 1.0


def start(
    admission: Admission, settings: GuardSettings, now: float
) -> tuple[Admission, bool]:
    """Counts a dispatch.

    Returns:
        The counts and whether the request needs a new connection.
    """
    running = admission.running + 1
    if admission.idle:
        return replace(admission, running=running, idle=admission.idle - 1), False
    allowance = _refilled(admission, settings, now) - 1.0
    return replace(
        admission, running=running, allowance=allowance, allowance_at=now
    ), True


def finish(
    admission: Admission, settings: GuardSettings, latency: float, share: float
) -> Admission:
    """Counts an answer and adapts the limit to its latency."""
    full = admission.running >= capacity(admission, settings, share)
    first = admission.long_latency == 0.0
    short = (
        latency
        if first
        else admission.short_latency + SHORT_GAIN * (latency - admission.short_latency)
    )
    long = (
        latency
        if first
        else admission.long_latency + LONG_GAIN * (latency - admission.long_latency)
    )
    limit = admission.limit
    if full and short > SLOWED_RATIO * long:
        limit = max(settings.slots * LEAST_SHARE, limit * SLOWED_FACTOR ** (1 / limit))
    elif short <= SLOWED_RATIO * long:
        limit = min(float(settings.slots), limit + 1.0 / limit)
    return replace(
        admission,
        running=admission.running - 1,
        idle=admission.idle + 1,
        limit=max(1.0, limit),
        short_latency=short,
        long_latency=long,
    )


def refuse(admission: Admission) -> Admission:
    """Counts a request that the upstream shed; its connection stays."""
    return replace(
        admission,
        running=admission.running - 1,
        idle=admission.idle + 1,
        limit=max(1.0, admission.limit * SHED_FACTOR),
    )


def close_connection(admission: Admission, busy: bool) -> Admission:
    """Counts a connection that is gone, with the request on it if busy."""
    if busy:
        return replace(admission, running=max(0, admission.running - 1))
    return replace(admission, idle=max(0, admission.idle - 1))


def expected_wait(
    admission: Admission, settings: GuardSettings, share: float, ahead: int
) -> float:
    """Estimates the wait for a slot behind other requests, in seconds."""
    slots = capacity(admission, settings, share)
    return admission.short_latency * ahead / slots
