"""Builds the terms of grants."""

from __future__ import annotations

from rosemarydeal.core import Address
from rosemarydeal.core.clock import now
from rosemarydeal.core.fleet import Announcement
from rosemarydeal.node.upstream import UpstreamState
from rosemarydeal.policy.keyranges.grant_terms import GrantTerms
from rosemarydeal.policy.keyranges.ownership_lease import (
    LEASE_S,
    SAFETY_MARGIN_S,
    OwnershipLease,
)


def grant_terms(hold_s):
    """Returns terms under a new lease that limit each grant to a duration."""
    return GrantTerms(OwnershipLease(now()), hold_s)


def terms_with_lease_left(left_s, max_hold_s=10.0):
    """Returns terms under a lease that has some seconds left."""
    renewed_at = now() + left_s - (LEASE_S - SAFETY_MARGIN_S)
    return GrantTerms(OwnershipLease(renewed_at), max_hold_s, decided_at=now())


def upstream_state(keys):
    """Returns the state of an upstream that runs and is to hold some keys."""
    instance, _, born_ms = keys.incarnation.rpartition("@")
    announcement = Announcement(
        instance=instance,
        born_ms=int(born_ms),
        service="box-office",
        address=Address("127.0.0.1", 1),
        zone="perth-a",
        slots=8,
        draining=False,
        cold_left_s=0.0,
        sequence=1,
    )
    assert announcement.incarnation == keys.incarnation
    return UpstreamState(announcement, now(), None, True)
