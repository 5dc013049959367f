"""Detection of requests that an earlier owner of a slice may have run.

The first attempt of a non-idempotent request is bound to a fencing token of its
slice, its ticket. The ledger of an owner covers the tokens under which it
served the slice itself, and those covered by a ledger that it received in a
hand-over. A request that is resent with any other ticket may have run elsewhere
and must not be run.
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
    "carve",
    "check_ticket",
    "receive_ledger",
    "record_gained",
    "record_lost",
    "transfer_ledger",
]

FIRST_TOKEN = TOKEN_RANKS
"""Token of a slice's first owner: rank 0 of a row's first version."""


class TicketStatus(Enum):
    """Conclusion about a request whose id is not in the ledger."""

    NEVER_RAN = "never ran"
    STALE_TICKET = "stale ticket"
    MAY_HAVE_RUN = "may have run"


@dataclass(frozen=True, slots=True)
class OwnershipRecord:
    """Ownership of a slice, and the tickets that the ledger covers.

    Attributes:
        slice: The slice.
        token: Fencing token of the latest ownership; -1 before the first.
        owned: Whether the slice is owned.
        admitting: Whether new requests are admitted.
        gained_at: Time at which the latest ownership was gained, in seconds.
        covers: Tickets whose first attempts are all in the ledger.
        complete_since: Time since which the ledger holds every request of the
            slice, in seconds.
        received_ledger: Ledger received from a former owner, until it is applied.
        ledger_received_at: Time at which it was received, in seconds.
        latest_ledger_token: Token of the latest received ledger; -1 if none.
        ledger_transferred: Whether the ledger was sent to the next owner.
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
    """Records that the ownership was gained.

    The ledger has no gap only if the new token directly follows the latest one
    held here, or that of a received ledger.

    Args:
        ownership: The record of the slice.
        gained: The event.
        now: The current time, in seconds.

    Returns:
        The updated record.
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
    """Returns the time since which the ledger is complete, in seconds."""
    if gained.token == FIRST_TOKEN:
        return float("-inf")
    return ownership.complete_since if follows else now


def _extended_covers(
    ownership: OwnershipRecord, token: int, follows: bool
) -> tuple[TokenRange, ...]:
    """Returns the covered tickets, extended by a new token."""
    if not follows or not ownership.covers or ownership.ledger_transferred:
        return (*ownership.covers, TokenRange(token, token))
    last = ownership.covers[-1]
    return (*ownership.covers[:-1], TokenRange(last.low, token))


def carve(base: OwnershipRecord, slice: SliceId) -> OwnershipRecord:
    """Returns the record of a slice carved out of an owned base slice."""
    return OwnershipRecord(
        slice, covers=base.covers, complete_since=base.complete_since
    )


def receive_ledger(
    ownership: OwnershipRecord, received_ledger: LedgerHandOver, now: float
) -> OwnershipRecord:
    """Records the ledger of a former owner; ignores further copies."""
    if received_ledger.token <= ownership.latest_ledger_token:
        return ownership
    ownership = replace(ownership, latest_ledger_token=received_ledger.token)
    if ownership.owned and ownership.token > received_ledger.token:
        return replace(ownership, covers=(*received_ledger.covers, *ownership.covers))
    return replace(ownership, received_ledger=received_ledger, ledger_received_at=now)


def record_lost(ownership: OwnershipRecord) -> OwnershipRecord:
    """Records that the ownership was lost; the covered tickets stay covered."""
    return replace(ownership, owned=False, admitting=False)


def transfer_ledger(ownership: OwnershipRecord) -> OwnershipRecord:
    """Records that the ledger was sent to the next owner.

    The tickets are no longer covered here, as the next owner may run them.
    """
    return replace(ownership, covers=(), ledger_transferred=True)


def check_ticket(
    ownership: OwnershipRecord,
    ticket: int | None,
    resent: bool,
    age_s: float | None,
    now: float,
    window_s: float,
) -> TicketStatus:
    """Checks whether a request whose id is not in the ledger may have run.

    Args:
        ownership: The ownership under which the request would run.
        ticket: Token under which its first attempt was sent, if known.
        resent: Whether an earlier attempt may have reached an upstream.
        age_s: Seconds since the id was generated, if known.
        now: The current time, in seconds.
        window_s: Seconds for which callers may resend an id.

    Returns:
        Whether it never ran, may have run, or needs a newer ticket first.
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
