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
    "end",
    "grant_lease",
    "promise",
    "prune",
    "unresponsive",
]

FORGET_S = 30.0


@dataclass(frozen=True, slots=True)
class HolderRecord:
    """Remembers the last sign of a holder.

    Attributes:
        heard_at: When the holder last asked, in seconds.
        lapses_at: When the last word for it lapses, in seconds.
        reports: How often its silence was told to the successors.
    """

    heard_at: float
    lapses_at: float
    reports: int = 0


@dataclass(frozen=True, slots=True)
class WitnessState:
    """Holds the timers of one witness.

    Attributes:
        started_at: When this life of the witness began, in seconds.
        boot_id: Random number of this process run, above 0.
        hold_off_until: Moment before which it grants no lease, in seconds.
        heard: Last sign of each holder.
        promised: Per node, the newest incarnation number never to vouch for.
    """

    started_at: float
    hold_off_until: float
    boot_id: int
    heard: Map = Map()
    promised: Map = Map()

    def has_promised(self, incarnation: Incarnation) -> bool:
        """Returns whether the witness will never vouch for an incarnation."""
        return self.promised.get(incarnation.node, -1) >= incarnation.number


def grant_lease(
    state: WitnessState, ask: LeaseRequest, settings: OwnershipSettings, now: float
) -> tuple[WitnessState, LeaseReply]:
    """Vouches for a holder unless a promise or the start's silence forbids it.

    An incarnation that was taken after this life of the witness began can't be
    one for which a promise was forgotten, so that it needs no silence.

    Args:
        state: The witness.
        ask: The holder's request.
        settings: Times of the protocol.
        now: Present time, in seconds.
    """
    name = ask.incarnation
    if state.has_promised(name):
        return state, LeaseReply(name, ask.sequence, False, -1.0)
    before = state.heard.get(name)
    if now < state.hold_off_until and ask.known_boot_id != state.boot_id:
        heard = HolderRecord(now, before.lapses_at if before else now)
        wait = state.hold_off_until - now
        reply = LeaseReply(name, ask.sequence, False, wait, state.boot_id)
    else:
        heard = HolderRecord(now, now + settings.lease_grant_s)
        reply = LeaseReply(name, ask.sequence, True)
    return replace(state, heard=state.heard.set(name, heard)), reply


def promise(
    state: WitnessState, ask: PromiseRequest, settings: OwnershipSettings, now: float
) -> tuple[WitnessState, PromiseReply]:
    """Promises a successor not to vouch any more, or refuses.

    What an earlier life of the witness vouched for has lapsed by a lease after
    the start at the latest. Until a living holder would have been heard, the
    witness refuses.

    Args:
        state: The witness.
        ask: The successor's request.
        settings: Times of the protocol.
        now: Present time, in seconds.
    """
    name = ask.target
    heard = state.heard.get(name)
    ago = now - heard.heard_at if heard else -1.0
    forgotten_until = state.started_at + settings.lease_grant_s
    rest = max(0.0, forgotten_until - now, heard.lapses_at - now if heard else 0.0)
    if state.has_promised(name):
        return state, PromiseReply(name, ask.round, True, rest, ago)
    deaf_until = state.started_at + settings.silence_s
    wait = max(deaf_until - now, settings.silence_s - ago if heard else 0.0)
    if wait > 0.0:
        return state, PromiseReply(name, ask.round, False, rest, ago, wait)
    promised = state.promised.set(name.node, name.number)
    reply = PromiseReply(name, ask.round, True, rest, ago)
    return replace(state, promised=promised), reply


def end(state: WitnessState, incarnation: Incarnation) -> WitnessState:
    """Takes note that a holder discarded its incarnation by itself."""
    if state.has_promised(incarnation):
        return state
    return replace(
        state,
        heard=state.heard.delete(incarnation)
        if incarnation in state.heard
        else state.heard,
        promised=state.promised.set(incarnation.node, incarnation.number),
    )


def unresponsive(
    state: WitnessState, settings: OwnershipSettings, now: float
) -> tuple[WitnessState, tuple[Incarnation, ...]]:
    """Finds the holders whose silence is to be told to their successors.

    The notice is repeated after twice the silence each time, as it may get lost.
    """
    found = tuple(
        sorted(
            name
            for name, heard in state.heard.items()
            if now - heard.heard_at >= settings.silence_s * 2**heard.reports
        )
    )
    heard = state.heard
    for name in found:
        heard = heard.set(name, replace(heard[name], reports=heard[name].reports + 1))
    return replace(state, heard=heard) if found else state, found


def prune(state: WitnessState, now: float) -> WitnessState:
    """Forgets holders whose last word lapsed long ago."""
    old = [n for n, heard in state.heard.items() if heard.lapses_at + FORGET_S < now]
    heard = state.heard
    for name in old:
        heard = heard.delete(name)
    return replace(state, heard=heard) if old else state
