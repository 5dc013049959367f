"""Lease of one incarnation, derived from the replies of its witnesses.

A lease starts when its request was sent, so that neither network delay nor a
pause of the holder extends it.
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from enum import StrEnum

from immutables import Map

from rosemarydeal.core import Incarnation
from rosemarydeal.core.messages import LeaseReply, LeaseRequest

from .ownership_settings import OwnershipSettings

__all__ = [
    "Lease",
    "LeaseStage",
    "has_expired",
    "lease_expiry",
    "record",
    "request_renewal",
]

PENDING_REQUESTS_MAX = 16


class LeaseStage(StrEnum):
    """Progress of an incarnation from the first request to a held lease."""

    REQUESTING = "asking"
    ANNOUNCING = "announcing"
    HELD = "held"


@dataclass(frozen=True, slots=True)
class Lease:
    """Lease requests of one incarnation and the replies to them.

    Attributes:
        incarnation: The incarnation, which belongs to this process run only.
        witnesses: Its witness set, which never changes.
        stage: Whether the platform's member object contains it yet.
        started_at: When the first request was due, in seconds.
        sequence: Number of the next request; starts at random.
        witness_boot_ids: Boot ids of witnesses in their hold-off, received before
            the incarnation was created.
        requested: When each recent request was sent, by number.
        latest_granted: Sending time of the newest request that each witness
            granted.
        last_reply_at: When each witness last replied, in seconds.
        refused: Witnesses that will never again grant the incarnation a lease.
        next_request_at: When the next request is due, in seconds.
    """

    incarnation: Incarnation
    witnesses: tuple[str, ...]
    stage: LeaseStage
    started_at: float
    sequence: int
    witness_boot_ids: Map = Map()
    requested: Map = Map()
    latest_granted: Map = Map()
    last_reply_at: Map = Map()
    refused: frozenset[str] = frozenset()
    next_request_at: float = 0.0


def request_renewal(
    lease: Lease, settings: OwnershipSettings, now: float
) -> tuple[Lease, LeaseRequest | None]:
    """Creates the next request to the witnesses if one is due.

    Args:
        lease: The lease to renew.
        settings: Times of the protocol.
        now: Present time, in seconds.

    Returns:
        The lease and the message for every witness, or None.
    """
    if now < lease.next_request_at:
        return lease, None
    requested = lease.requested.set(lease.sequence, now)
    oldest = lease.sequence - PENDING_REQUESTS_MAX
    if oldest in requested:
        requested = requested.delete(oldest)
    renewed = replace(
        lease,
        requested=requested,
        sequence=lease.sequence + 1,
        next_request_at=now + settings.ask_interval_s,
    )
    return renewed, LeaseRequest(lease.incarnation, lease.sequence)


def record(lease: Lease, sender: str, reply: LeaseReply, now: float) -> Lease:
    """Records a witness's reply.

    Args:
        lease: The lease that the reply is about.
        sender: The witness.
        reply: Its reply.
        now: Present time, in seconds.
    """
    sent_at = lease.requested.get(reply.sequence)
    if sender not in lease.witnesses or sent_at is None:
        return lease
    lease = replace(lease, last_reply_at=lease.last_reply_at.set(sender, now))
    if not reply.granted:
        if reply.retry_after_s < 0.0:
            return replace(lease, refused=lease.refused | {sender})
        return lease
    latest = max(sent_at, lease.latest_granted.get(sender, sent_at))
    return replace(lease, latest_granted=lease.latest_granted.set(sender, latest))


def lease_expiry(lease: Lease, settings: OwnershipSettings) -> float | None:
    """Returns when the lease expires, in seconds; None before a first majority."""
    majority = len(lease.witnesses) // 2 + 1
    if len(lease.latest_granted) < majority:
        return None
    newest_first = sorted(lease.latest_granted.values(), reverse=True)
    return newest_first[majority - 1] + settings.lease_s


def has_expired(lease: Lease, settings: OwnershipSettings, now: float) -> bool:
    """Returns whether the lease was granted and has expired."""
    expiry = lease_expiry(lease, settings)
    return expiry is not None and now >= expiry
