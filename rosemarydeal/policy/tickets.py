"""Tells whether an earlier owner of a slice may have run a request.

The first try of a non-idempotent request is bound to a fencing token of its
slice, its ticket. An owner knows the ids of the tokens that it served itself
and of those that a clean hand-over accounts for. A request that is sent again
with any other ticket may have run elsewhere, so nobody may run it.
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from enum import Enum

from rosemarydeal.core import TOKEN_RANKS, SliceId
from rosemarydeal.core.messages import LedgerHandOver, TokenRange

from .interface import OwnershipGained

__all__ = [
    "SliceRight",
    "Verdict",
    "accept",
    "carve",
    "gain",
    "give_away",
    "judge",
    "lose",
]

FIRST_TOKEN = TOKEN_RANKS
"""Token of a slice's very first owner: rank 0 of a row's first version."""


class Verdict(Enum):
    """Says what an unrecorded id means."""

    NEVER_RAN = "never ran"
    STALE_TICKET = "stale ticket"
    MAY_HAVE_RUN = "may have run"


@dataclass(frozen=True, slots=True)
class SliceRight:
    """Holds what the guard knows of its right to a slice.

    Attributes:
        slice: The slice.
        token: Fencing token of the latest right; -1 before the first.
        held: Whether the right is held.
        admitting: Whether new requests are admitted under it.
        gained_at: Moment of the latest right, in seconds.
        covers: Tickets whose first tries the ledger accounts for.
        since: Moment from which the ledger holds every request of the slice.
        handed: Ledger that a former owner passed on, until it is used.
        handed_at: Moment at which it came.
        adopted: Token of the latest ledger that was taken over.
        given_away: Whether the ledger went to the next owner.
    """

    slice: SliceId
    token: int = -1
    held: bool = False
    admitting: bool = False
    gained_at: float = 0.0
    covers: tuple[TokenRange, ...] = ()
    since: float = 0.0
    handed: LedgerHandOver | None = None
    handed_at: float = 0.0
    adopted: int = -1
    given_away: bool = False


def gain(right: SliceRight, gained: OwnershipGained, now: float) -> SliceRight:
    """Takes a right.

    The ledger goes on without a gap only where the new right follows right
    after the last one held here, or after that of a received ledger.

    Args:
        right: What is known of the slice.
        gained: The right.
        now: The moment, in seconds.

    Returns:
        What is known now.
    """
    if right.held and right.admitting and gained.token <= right.token:
        return right
    follows = right.token >= 0 and gained.after_token == right.token
    fresh = replace(
        right,
        token=max(gained.token, right.token),
        held=True,
        admitting=True,
        gained_at=now,
        since=_known_since(right, gained, follows, now),
        given_away=False,
    )
    if gained.token <= right.token:
        return fresh
    fresh = replace(fresh, covers=_grown(right, gained.token, follows))
    handed = right.handed
    if handed is None:
        return fresh
    fresh = replace(fresh, covers=(*handed.covers, *fresh.covers), handed=None)
    if handed.token != gained.after_token:
        return fresh
    return replace(fresh, since=right.handed_at - handed.complete_s)


def _known_since(
    right: SliceRight, gained: OwnershipGained, follows: bool, now: float
) -> float:
    """Returns from when on all requests of a slice came here, in seconds."""
    if gained.token == FIRST_TOKEN:
        return float("-inf")
    return right.since if follows else now


def _grown(right: SliceRight, token: int, follows: bool) -> tuple[TokenRange, ...]:
    """Returns the covered tickets with those of a new token."""
    if not follows or not right.covers or right.given_away:
        return (*right.covers, TokenRange(token, token))
    last = right.covers[-1]
    return (*right.covers[:-1], TokenRange(last.low, token))


def carve(base: SliceRight, slice: SliceId) -> SliceRight:
    """Returns what the owner of a base slice knows of one carved out of it."""
    if not base.held:
        return SliceRight(slice)
    return SliceRight(slice, covers=base.covers, since=base.since)


def accept(right: SliceRight, handed: LedgerHandOver, now: float) -> SliceRight:
    """Takes the ledger of a former owner; only its first copy counts."""
    if handed.token <= right.adopted:
        return right
    right = replace(right, adopted=handed.token)
    if right.held and right.token > handed.token:
        return replace(right, covers=(*handed.covers, *right.covers))
    return replace(right, handed=handed, handed_at=now)


def lose(right: SliceRight) -> SliceRight:
    """Gives up a right; the covered tokens stay accounted for."""
    return replace(right, held=False, admitting=False)


def give_away(right: SliceRight) -> SliceRight:
    """Gives the ledger to the next owner, who may run the covered tickets."""
    return replace(right, covers=(), given_away=True)


def judge(
    right: SliceRight,
    ticket: int | None,
    resent: bool,
    age_s: float | None,
    now: float,
    window_s: float,
) -> Verdict:
    """Says what it means that the ledger does not hold an id.

    Args:
        right: The right under which the request would run.
        ticket: Token that its first try was sent with, if known.
        resent: Whether an earlier try may have reached an upstream.
        age_s: Seconds since the id was made, if known.
        now: The moment, in seconds.
        window_s: Seconds for which callers may send an id again.

    Returns:
        Whether it never ran, may have run, or must get a newer ticket first.
    """
    if ticket is not None and any(c.low <= ticket <= c.high for c in right.covers):
        return Verdict.NEVER_RAN
    if not resent:
        return Verdict.NEVER_RAN if ticket is None else Verdict.STALE_TICKET
    if age_s is not None and age_s < now - right.since:
        return Verdict.NEVER_RAN
    if ticket is None and now - right.since > window_s:
        return Verdict.NEVER_RAN
    return Verdict.MAY_HAVE_RUN
