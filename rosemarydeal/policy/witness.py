"""Witness: grants leases to holders and promises to their successors.

A witness keeps its state in memory only. After its start it grants no lease
until the leases and promises of its previous process run no longer matter.
"""

from __future__ import annotations

from dataclasses import dataclass, replace

from immutables import Map

from rosemarydeal.core import Incarnation
from rosemarydeal.core.messages import (
    LeaseReply,
    LeaseRequest,
    PromiseReply,
    PromiseRequest,
)

from .ownership_settings import OwnershipSettings

__all__ = [
    "HolderRecord",
    "WitnessState",
    "grant_lease",
    "promise",
    "prune",
    "relinquish",
    "unresponsive",
]

HOLDER_RETENTION_S = 30.0


@dataclass(frozen=True, slots=True)
class HolderRecord:
    """Last lease request of a holder and last lease granted to it.

    Attributes:
        last_request_at: When the holder last requested a lease, in seconds.
        expires_at: When the last lease granted to it expires, in seconds.
        notices: Number of times it was reported as unresponsive.
    """

    last_request_at: float
    expires_at: float
    notices: int = 0


@dataclass(frozen=True, slots=True)
class WitnessState:
    """State of one witness.

    Attributes:
        started_at: When this process run began, in seconds.
        boot_id: Random number of this process run, above 0.
        hold_off_until: End of the startup hold-off, in seconds.
        holders: Record of each holder, by incarnation.
        promised: Newest incarnation number of each node that it promised never to
            grant a lease.
    """

    started_at: float
    hold_off_until: float
    boot_id: int
    holders: Map = Map()
    promised: Map = Map()

    def has_promised(self, incarnation: Incarnation) -> bool:
        """Returns whether it promised to grant an incarnation no more leases."""
        return self.promised.get(incarnation.node, -1) >= incarnation.number


def grant_lease(
    state: WitnessState, request: LeaseRequest, settings: OwnershipSettings, now: float
) -> tuple[WitnessState, LeaseReply]:
    """Grants a holder a lease unless a promise or the startup hold-off forbids it.

    The hold-off does not apply to an incarnation created after this process run
    began, as no promise about it can have been lost in the restart.

    Args:
        state: The witness.
        request: The holder's request.
        settings: Times of the protocol.
        now: Present time, in seconds.
    """
    incarnation = request.incarnation
    if state.has_promised(incarnation):
        return state, LeaseReply(incarnation, request.sequence, False, -1.0)
    previous = state.holders.get(incarnation)
    if now < state.hold_off_until and request.known_boot_id != state.boot_id:
        record = HolderRecord(now, previous.expires_at if previous else now)
        retry_after_s = state.hold_off_until - now
        reply = LeaseReply(
            incarnation, request.sequence, False, retry_after_s, state.boot_id
        )
    else:
        record = HolderRecord(now, now + settings.lease_grant_s)
        reply = LeaseReply(incarnation, request.sequence, True)
    return replace(state, holders=state.holders.set(incarnation, record)), reply


def promise(
    state: WitnessState,
    request: PromiseRequest,
    settings: OwnershipSettings,
    now: float,
) -> tuple[WitnessState, PromiseReply]:
    """Promises a successor to grant a holder no more leases, or refuses.

    Leases granted by a previous process run expire within one lease length after
    the start. The witness refuses until a live holder would have sent a request.

    Args:
        state: The witness.
        request: The successor's request.
        settings: Times of the protocol.
        now: Present time, in seconds.
    """
    incarnation = request.target
    record = state.holders.get(incarnation)
    age_s = now - record.last_request_at if record else -1.0
    old_leases_expire_at = state.started_at + settings.lease_grant_s
    expires_after_s = max(
        0.0, old_leases_expire_at - now, record.expires_at - now if record else 0.0
    )
    if state.has_promised(incarnation):
        return state, PromiseReply(
            incarnation, request.round, True, expires_after_s, age_s
        )
    may_promise_at = state.started_at + settings.silence_s
    retry_after_s = max(
        may_promise_at - now, settings.silence_s - age_s if record else 0.0
    )
    if retry_after_s > 0.0:
        return state, PromiseReply(
            incarnation, request.round, False, expires_after_s, age_s, retry_after_s
        )
    promised = state.promised.set(incarnation.node, incarnation.number)
    reply = PromiseReply(incarnation, request.round, True, expires_after_s, age_s)
    return replace(state, promised=promised), reply


def relinquish(state: WitnessState, incarnation: Incarnation) -> WitnessState:
    """Records that a holder relinquished its incarnation."""
    if state.has_promised(incarnation):
        return state
    return replace(
        state,
        holders=state.holders.delete(incarnation)
        if incarnation in state.holders
        else state.holders,
        promised=state.promised.set(incarnation.node, incarnation.number),
    )


def unresponsive(
    state: WitnessState, settings: OwnershipSettings, now: float
) -> tuple[WitnessState, tuple[Incarnation, ...]]:
    """Returns the unresponsive holders to report to their successors.

    A notice is repeated with exponential backoff, as it may be lost.
    """
    overdue = tuple(
        sorted(
            incarnation
            for incarnation, record in state.holders.items()
            if now - record.last_request_at >= settings.silence_s * 2**record.notices
        )
    )
    holders = state.holders
    for incarnation in overdue:
        holders = holders.set(
            incarnation,
            replace(holders[incarnation], notices=holders[incarnation].notices + 1),
        )
    return replace(state, holders=holders) if overdue else state, overdue


def prune(state: WitnessState, now: float) -> WitnessState:
    """Removes holders whose last lease expired long ago."""
    expired = [
        incarnation
        for incarnation, record in state.holders.items()
        if record.expires_at + HOLDER_RETENTION_S < now
    ]
    holders = state.holders
    for incarnation in expired:
        holders = holders.delete(incarnation)
    return replace(state, holders=holders) if expired else state
