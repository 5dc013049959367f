"""Decides as a witness: vouches for holders and promises to successors.

A witness keeps nothing but timers. After its start it stays silent for so long
that whatever it has forgotten can no longer matter.
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
    "relinquish",
    "grant_lease",
    "promise",
    "prune",
    "unresponsive",
]

HOLDER_RETENTION_S = 30.0


@dataclass(frozen=True, slots=True)
class HolderRecord:
    """Remembers the last sign of a holder.

    Attributes:
        heard_at: When the holder last asked, in seconds.
        lapses_at: When the last word for it lapses, in seconds.
        reports: How often its silence was told to the successors.
    """

    last_request_at: float
    expires_at: float
    notices: int = 0


@dataclass(frozen=True, slots=True)
class WitnessState:
    """Holds the timers of one witness.

    Attributes:
        started_at: When this life of the witness began, in seconds.
        boot_id: Random number of this process run, above 0.
        hold_off_until: Moment before which it grants no lease, in seconds.
        holders: Last sign of each holder.
        promised: Per node, the newest incarnation number never to vouch for.
    """

    started_at: float
    hold_off_until: float
    boot_id: int
    holders: Map = Map()
    promised: Map = Map()

    def has_promised(self, incarnation: Incarnation) -> bool:
        """Returns whether the witness will never vouch for an incarnation."""
        return self.promised.get(incarnation.node, -1) >= incarnation.number


def grant_lease(
    state: WitnessState, request: LeaseRequest, settings: OwnershipSettings, now: float
) -> tuple[WitnessState, LeaseReply]:
    """Vouches for a holder unless a promise or the start's silence forbids it.

    An incarnation that was taken after this life of the witness began can't be
    one for which a promise was forgotten, so that it needs no silence.

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
    """Promises a successor not to vouch any more, or refuses.

    What an earlier life of the witness vouched for has lapsed by a lease after
    the start at the latest. Until a living holder would have been heard, the
    witness refuses.

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
    """Takes note that a holder discarded its incarnation by itself."""
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
    """Finds the holders whose silence is to be told to their successors.

    The notice is repeated after twice the silence each time, as it may get lost.
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
    """Forgets holders whose last word lapsed long ago."""
    expired = [
        incarnation
        for incarnation, record in state.holders.items()
        if record.expires_at + HOLDER_RETENTION_S < now
    ]
    holders = state.holders
    for incarnation in expired:
        holders = holders.delete(incarnation)
    return replace(state, holders=holders) if expired else state
