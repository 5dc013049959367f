"""Bounds how long a process may use its ownership of keys.

A process confirms its ownership by reads of the table from the store; each
confirmed read gives it a tenure from the moment at which the read was asked
for. Whoever wants the keys of a silent process records a suspicion in the table
first. A read that shows the suspicion confirms nothing, so that the tenure of
the silent process has ended once `takeover_wait` has passed since the write.

Trouble that it answers: a store that is out or slow for up to nine seconds
ends no tenure; a process that is gone without a word loses its keys soon after.
"""

from __future__ import annotations

from dataclasses import dataclass, replace

from rosemarydeal.core.fleet import RangeTable

__all__ = [
    "LEASE_S",
    "OwnershipLease",
    "renew",
    "renewal_period",
    "grant_duration",
    "takeover_wait",
    "lease_expiry",
]

# Store outages of nine seconds are planned for, a confirmation is at most a
# period and an answer's time old when one begins.
LEASE_S = 11.5
MIN_RENEWAL_PERIOD_S = 1.5
MAX_RENEWAL_PERIOD_S = 3.0
# Fleets of more nodes confirm less often, since the store's rate is shared.
BASE_FLEET_NODES = 20
# Clocks that measure holds may run 2% slow; the rest covers a pause between
# the check of the clock and the send.
CLOCK_DRIFT = 0.02
SAFETY_MARGIN_S = 0.3
# A grant is renewed well before its end, so that no work outlasts it; a short
# one lets keys move soon although a release got no answer.
MAX_GRANT_S = 5.0


@dataclass(frozen=True, slots=True)
class OwnershipLease:
    """Is what a process knows of its right to the keys that the table gives it.

    Attributes:
        renewed_at: When the last read that renewed it was requested.
    """

    renewed_at: float | None = None


def renew(
    lease: OwnershipLease, table: RangeTable, node: str, requested_at: float
) -> OwnershipLease:
    """Takes the result of a read of the table into account.

    Args:
        lease: The lease before the read.
        table: The table as the read showed it.
        node: This node.
        requested_at: When the read was requested.
    """
    if any(suspicion.node == node for suspicion in table.suspicions):
        return lease
    if lease.renewed_at is not None and requested_at < lease.renewed_at:
        return lease
    return replace(lease, renewed_at=requested_at)


def lease_expiry(lease: OwnershipLease) -> float:
    """Returns the moment at which the right ends unless it is confirmed anew."""
    if lease.renewed_at is None:
        return 0.0
    return lease.renewed_at + LEASE_S - SAFETY_MARGIN_S


def renewal_period(nodes: int) -> float:
    """Returns the time between two reads that renew the lease, in seconds."""
    period_s = MIN_RENEWAL_PERIOD_S * max(1.0, nodes / BASE_FLEET_NODES)
    return min(MAX_RENEWAL_PERIOD_S, period_s)


def grant_duration(lease: OwnershipLease, now: float, max_hold_s: float) -> float:
    """Returns how long a grant given now may run, in seconds; 0 for not at all."""
    remaining_s = (lease_expiry(lease) - now) / (1.0 + CLOCK_DRIFT)
    return max(0.0, min(remaining_s, MAX_GRANT_S, max_hold_s))


def takeover_wait() -> float:
    """Returns how long a suspicion stands before its keys may be given away."""
    return LEASE_S * (1.0 + CLOCK_DRIFT) + SAFETY_MARGIN_S
