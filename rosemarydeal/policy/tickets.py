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
    "OwnershipRecord",
    "TicketStatus",
    "receive_ledger",
    "carve",
    "record_gained",
    "transfer_ledger",
    "check_ticket",
    "record_lost",
]

FIRST_TOKEN = TOKEN_RANKS
"""Token of a slice's very first owner: rank 0 of a row's first version."""


class TicketStatus(Enum):
    """Says what an unrecorded id means."""

    NEVER_RAN = "never ran"
    STALE_TICKET = "stale ticket"
    MAY_HAVE_RUN = "may have run"


@dataclass(frozen=True, slots=True)
class OwnershipRecord:
    """Holds what the guard knows of its right to a slice.

    Attributes:
        slice: The slice.
        token: Fencing token of the latest right; -1 before the first.
        owned: Whether the right is held.
        admitting: Whether new requests are admitted under it.
        gained_at: Moment of the latest right, in seconds.
        covers: Tickets whose first tries the ledger accounts for.
        complete_since: Moment from which the ledger holds every request of the slice.
        received_ledger: Ledger that a former owner passed on, until it is used.
        ledger_received_at: Moment at which it came.
        latest_ledger_token: Token of the latest ledger that was taken over.
        ledger_transferred: Whether the ledger went to the next owner.
    """

    slice: SliceId
    token: int = -1
    owned: bool = False
    admitting: bool = False
    gained_at: float = 0.0
    covers: tuple[TokenRange, ...] = ()
    complete_since: float = 0.0
    received_ledger: LedgerHandOver | None = None
    ledger_received_at: float = 0.0
    latest_ledger_token: int = -1
    ledger_transferred: bool = False


def record_gained(
    ownership: OwnershipRecord, gained: OwnershipGained, now: float
) -> OwnershipRecord:
    """Takes a right.

    The ledger goes on without a gap only where the new right follows right
    after the last one held here, or after that of a received ledger.

    Args:
        ownership: What is known of the slice.
        gained: The right.
        now: The moment, in seconds.

    Returns:
        What is known now.
    """
    if ownership.owned and ownership.admitting and gained.token <= ownership.token:
        return ownership
    follows = ownership.token >= 0 and gained.after_token == ownership.token
    updated = replace(
        ownership,
        token=max(gained.token, ownership.token),
        owned=True,
        admitting=True,
        gained_at=now,
        complete_since=_complete_since(ownership, gained, follows, now),
        ledger_transferred=False,
    )
    if gained.token <= ownership.token:
        return updated
    updated = replace(
        updated, covers=_extended_covers(ownership, gained.token, follows)
    )
    received_ledger = ownership.received_ledger
    if received_ledger is None:
        return updated
    updated = replace(
        updated, covers=(*received_ledger.covers, *updated.covers), received_ledger=None
    )
    if received_ledger.token != gained.after_token:
        return updated
    return replace(
        updated,
        complete_since=ownership.ledger_received_at - received_ledger.complete_s,
    )


def _complete_since(
    ownership: OwnershipRecord, gained: OwnershipGained, follows: bool, now: float
) -> float:
    """Returns from when on all requests of a slice came here, in seconds."""
    if gained.token == FIRST_TOKEN:
        return float("-inf")
    return ownership.complete_since if follows else now


def _extended_covers(
    ownership: OwnershipRecord, token: int, follows: bool
) -> tuple[TokenRange, ...]:
    """Returns the covered tickets with those of a new token."""
    if not follows or not ownership.covers or ownership.ledger_transferred:
        return (*ownership.covers, TokenRange(token, token))
    last = ownership.covers[-1]
    return (*ownership.covers[:-1], TokenRange(last.low, token))


def carve(base: OwnershipRecord, slice: SliceId) -> OwnershipRecord:
    """Returns what the owner of a base slice knows of one carved out of it."""
    if not base.owned:
        return OwnershipRecord(slice)
    return OwnershipRecord(
        slice, covers=base.covers, complete_since=base.complete_since
    )


def receive_ledger(
    ownership: OwnershipRecord, received_ledger: LedgerHandOver, now: float
) -> OwnershipRecord:
    """Takes the ledger of a former owner; only its first copy counts."""
    if received_ledger.token <= ownership.latest_ledger_token:
        return ownership
    ownership = replace(ownership, latest_ledger_token=received_ledger.token)
    if ownership.owned and ownership.token > received_ledger.token:
        return replace(ownership, covers=(*received_ledger.covers, *ownership.covers))
    return replace(ownership, received_ledger=received_ledger, ledger_received_at=now)


def record_lost(ownership: OwnershipRecord) -> OwnershipRecord:
    """Gives up a right; the covered tokens stay accounted for."""
    return replace(ownership, owned=False, admitting=False)


def transfer_ledger(ownership: OwnershipRecord) -> OwnershipRecord:
    """Gives the ledger to the next owner, who may run the covered tickets."""
    return replace(ownership, covers=(), ledger_transferred=True)


def check_ticket(
    ownership: OwnershipRecord,
    ticket: int | None,
    resent: bool,
    age_s: float | None,
    now: float,
    window_s: float,
) -> TicketStatus:
    """Says what it means that the ledger does not hold an id.

    Args:
        ownership: The right under which the request would run.
        ticket: Token that its first try was sent with, if known.
        resent: Whether an earlier try may have reached an upstream.
        age_s: Seconds since the id was made, if known.
        now: The moment, in seconds.
        window_s: Seconds for which callers may send an id again.

    Returns:
        Whether it never ran, may have run, or must get a newer ticket first.
    """
    if ticket is not None and any(c.low <= ticket <= c.high for c in ownership.covers):
        return TicketStatus.NEVER_RAN
    if not resent:
        return TicketStatus.NEVER_RAN if ticket is None else TicketStatus.STALE_TICKET
    if age_s is not None and age_s < now - ownership.complete_since:
        return TicketStatus.NEVER_RAN
    if ticket is None and now - ownership.complete_since > window_s:
        return TicketStatus.NEVER_RAN
    return TicketStatus.MAY_HAVE_RUN
