"""Leases that bound how long a process may use its ownership of keys.

A process renews its lease by reading the table from the store; the lease runs
from the time at which the read was requested. Before the keys of an unresponsive
process are reassigned, a suspicion against it is written to the table. A read
that shows the suspicion does not renew the lease, so the lease has expired once
`takeover_wait` has passed since that write.

Failures covered: a store that is unavailable or slow for up to nine seconds (seven
in a fleet of more than 40 nodes) ends no lease; a process that crashes without
notice loses its keys soon afterwards.
"""

from __future__ import annotations

from dataclasses import dataclass, replace

from rosemarydeal.core.fleet import RangeTable

__all__ = [
    "LEASE_S",
    "MAX_GRANT_S",
    "OwnershipLease",
    "grant_duration",
    "lease_expiry",
    "longest_hold",
    "renew",
    "renewal_period",
    "shared_read_delay",
    "takeover_wait",
]

# Outlasts a store outage of nine seconds: when the outage begins, the last renewal
# is at most one renewal period, the delay of a shared read and one response time old.
LEASE_S = 11.5
MIN_RENEWAL_PERIOD_S = 1.5
MAX_RENEWAL_PERIOD_S = 2.5
# Reads of a zone's owners that wait this long for each other, per node and at most.
SHARED_READ_DELAY_PER_NODE_S = 0.025
MAX_SHARED_READ_DELAY_S = 1.0
# Larger fleets renew less often, since all nodes share the store's request rate.
BASE_FLEET_NODES = 20
# The clocks that measure grants may run 2% slow. The margin covers a pause between
# the check of the clock and the send.
CLOCK_DRIFT = 0.02
SAFETY_MARGIN_S = 0.3
# Grants are renewed well before they expire, so that no work outlasts one. A short
# grant lets keys move soon even if a release is not answered.
MAX_GRANT_S = 5.0


@dataclass(frozen=True, slots=True)
class OwnershipLease:
    """Lease of a process on the keys that the table assigns to it.

    Attributes:
        renewed_at: When the last read that renewed it was requested; None before.
    """

    renewed_at: float | None = None


def renew(
    lease: OwnershipLease, table: RangeTable, node: str, requested_at: float
) -> OwnershipLease:
    """Renews the lease by a read of the table, unless the node is suspected.

    Args:
        lease: The lease before the read.
        table: The table that the read returned.
        node: This node.
        requested_at: When the read was requested.
    """
    if any(suspicion.node == node for suspicion in table.suspicions):
        return lease
    if lease.renewed_at is not None and requested_at < lease.renewed_at:
        return lease
    return replace(lease, renewed_at=requested_at)


def lease_expiry(lease: OwnershipLease) -> float:
    """Returns the time at which the lease expires unless it is renewed."""
    if lease.renewed_at is None:
        return 0.0
    return lease.renewed_at + LEASE_S - SAFETY_MARGIN_S


def renewal_period(nodes: int) -> float:
    """Returns the time between two reads that renew the lease, in seconds."""
    period_s = MIN_RENEWAL_PERIOD_S * max(1.0, nodes / BASE_FLEET_NODES)
    return min(MAX_RENEWAL_PERIOD_S, period_s)


def shared_read_delay(nodes: int) -> float:
    """Returns how long a read waits for the requests of other owners, in seconds."""
    return min(MAX_SHARED_READ_DELAY_S, SHARED_READ_DELAY_PER_NODE_S * nodes)


def grant_duration(lease: OwnershipLease, now: float, max_hold_s: float) -> float:
    """Returns how long a grant issued now may run, in seconds; 0 if none may be."""
    remaining_s = (lease_expiry(lease) - now) / (1.0 + CLOCK_DRIFT)
    return max(0.0, min(remaining_s, MAX_GRANT_S, max_hold_s))


def longest_hold(max_hold_s: float) -> float:
    """Returns how long an upstream may hold keys after a grant arrived, in seconds.

    Args:
        max_hold_s: Longest duration of a grant. Another process may have had a lower
            or a higher one in its settings.
    """
    return max(max_hold_s, MAX_GRANT_S) * (1.0 + CLOCK_DRIFT)


def takeover_wait() -> float:
    """Returns the age of a suspicion, in seconds, at which its keys may be taken."""
    return LEASE_S * (1.0 + CLOCK_DRIFT) + SAFETY_MARGIN_S
