"""Ledger of the ids of non-idempotent requests, so that none runs twice.

An id is recorded before its request is dispatched and kept for a window after
the request ended. Ids are never dropped early: when the ledger is full, new
requests are rejected. When the stored answers exceed their size limit, the
oldest are dropped; their ids stay recorded.
"""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import dataclass, field, replace
from enum import Enum

import immutables

from rosemarydeal.core import SliceId
from rosemarydeal.core.messages import LedgerRecord

from .guard_interface import GuardSettings

__all__ = [
    "Entry",
    "EntryState",
    "Ledger",
    "expire",
    "has_capacity",
    "merge",
    "record",
    "record_outcome",
    "records_of",
    "remove",
]


class EntryState(Enum):
    """State of a dispatched request."""

    SENT = "sent"
    ANSWERED = "answered"
    LOST = "lost"


@dataclass(frozen=True, slots=True)
class Entry:
    """Entry of one id.

    Attributes:
        request_id: The id.
        fingerprint: Hash of the request's content.
        slice: Slice of the key, if any.
        state: Whether the request is running, was answered, or may have run.
        changed_at: Time of the last change of state, in seconds.
        position: Position in the expiry order.
        status: HTTP status of the answer.
        size: Bytes of the answer while it is stored.
        answer_kept: Whether the driver stores the answer.
    """

    request_id: str
    fingerprint: int
    slice: SliceId | None
    state: EntryState
    changed_at: float
    position: int
    status: int = 0
    size: int = 0
    answer_kept: bool = False


@dataclass(frozen=True, slots=True)
class Ledger:
    """Recorded ids and their expiry order.

    Attributes:
        entries: Entries by id.
        expiry_order: Ids by position, ordered by the last change.
        first_position: Lowest position that may be in use.
        next_position: Position for the next change.
        oldest_answer: Lowest position whose answer may still be stored.
        answer_bytes: Bytes of all stored answers.
    """

    entries: immutables.Map[str, Entry] = field(default_factory=immutables.Map)
    expiry_order: immutables.Map[int, str] = field(default_factory=immutables.Map)
    first_position: int = 0
    next_position: int = 0
    oldest_answer: int = 0
    answer_bytes: int = 0

    def find(self, request_id: str) -> Entry | None:
        """Returns the entry of an id."""
        return self.entries.get(request_id)


def has_capacity(ledger: Ledger, settings: GuardSettings) -> bool:
    """Returns whether the ledger can hold one more id."""
    return len(ledger.entries) < settings.ledger_ids


def _put(ledger: Ledger, entry: Entry) -> Ledger:
    """Stores an entry as the last to expire."""
    previous = ledger.entries.get(entry.request_id)
    expiry_order = (
        ledger.expiry_order
        if previous is None
        else ledger.expiry_order.delete(previous.position)
    )
    entry = replace(entry, position=ledger.next_position)
    return replace(
        ledger,
        entries=ledger.entries.set(entry.request_id, entry),
        expiry_order=expiry_order.set(ledger.next_position, entry.request_id),
        next_position=ledger.next_position + 1,
    )


def record(
    ledger: Ledger, request_id: str, fingerprint: int, slice: SliceId | None, now: float
) -> Ledger:
    """Records an id as dispatched; must be called before the dispatch."""
    return _put(
        ledger,
        Entry(
            request_id, fingerprint, slice, EntryState.SENT, now, ledger.next_position
        ),
    )


def remove(ledger: Ledger, request_id: str) -> Ledger:
    """Removes an id; only valid if the request did not run or the id expired."""
    entry = ledger.entries.get(request_id)
    if entry is None:
        return ledger
    return replace(
        ledger,
        entries=ledger.entries.delete(request_id),
        expiry_order=ledger.expiry_order.delete(entry.position),
    )


def record_outcome(
    ledger: Ledger,
    request_id: str,
    state: EntryState,
    now: float,
    limit_bytes: int,
    status: int = 0,
    size: int = 0,
) -> tuple[Ledger, tuple[str, ...]]:
    """Records the outcome of a dispatched request.

    Args:
        ledger: The ledger.
        request_id: The id.
        state: Answered, or lost without an answer.
        now: The current time, in seconds.
        limit_bytes: Bytes of answers that may be stored.
        status: HTTP status of the answer.
        size: Bytes of the answer.

    Returns:
        The new ledger and the ids whose answers are no longer stored.
    """
    entry = ledger.entries.get(request_id)
    if entry is None:
        return ledger, ()
    keep_answer = state is EntryState.ANSWERED and size <= limit_bytes
    settled = replace(
        entry,
        state=state,
        changed_at=now,
        status=status,
        size=size if keep_answer else 0,
        answer_kept=keep_answer,
    )
    ledger = _put(ledger, settled)
    ledger = replace(ledger, answer_bytes=ledger.answer_bytes + settled.size)
    return _drop_oldest_answers(ledger, limit_bytes)


def _drop_oldest_answers(
    ledger: Ledger, limit_bytes: int
) -> tuple[Ledger, tuple[str, ...]]:
    """Drops the oldest answers down to the limit; their ids stay recorded."""
    dropped = []
    position = max(ledger.oldest_answer, ledger.first_position)
    while ledger.answer_bytes > limit_bytes and position < ledger.next_position:
        entry = ledger.entries.get(ledger.expiry_order.get(position, ""))
        if entry is not None and entry.answer_kept:
            without_answer = replace(entry, size=0, answer_kept=False)
            ledger = replace(
                ledger,
                entries=ledger.entries.set(without_answer.request_id, without_answer),
                answer_bytes=ledger.answer_bytes - entry.size,
            )
            dropped.append(entry.request_id)
        position += 1
    return replace(ledger, oldest_answer=position), tuple(dropped)


def expire(
    ledger: Ledger, now: float, window_s: float
) -> tuple[Ledger, tuple[str, ...]]:
    """Removes ended requests that are older than the window.

    Args:
        ledger: The ledger.
        now: The current time, in seconds.
        window_s: Seconds for which an ended request is kept.

    Returns:
        The new ledger and the ids whose answers are no longer stored.
    """
    dropped = []
    while ledger.first_position < ledger.next_position:
        entry = ledger.entries.get(ledger.expiry_order.get(ledger.first_position, ""))
        if entry is not None:
            if now - entry.changed_at <= window_s:
                break
            if entry.state is EntryState.SENT:
                ledger = _put(ledger, replace(entry, changed_at=now))
            else:
                if entry.answer_kept:
                    dropped.append(entry.request_id)
                ledger = remove(ledger, entry.request_id)
                ledger = replace(ledger, answer_bytes=ledger.answer_bytes - entry.size)
        ledger = replace(ledger, first_position=ledger.first_position + 1)
    return ledger, tuple(dropped)


def records_of(
    ledger: Ledger, slices: Collection[SliceId], now: float
) -> tuple[LedgerRecord, ...]:
    """Returns the records of some slices, for a hand-over."""
    return tuple(
        LedgerRecord(
            entry.request_id,
            entry.fingerprint,
            now - entry.changed_at,
            entry.state is EntryState.ANSWERED,
            entry.status,
        )
        for entry in ledger.entries.values()
        if entry.slice in slices
    )


def merge(
    ledger: Ledger, slice: SliceId, records: tuple[LedgerRecord, ...], now: float
) -> Ledger:
    """Adds the records of a slice's former owner; existing entries take precedence."""
    for known in sorted(records, key=lambda known: -known.age):
        if known.request_id in ledger.entries:
            continue
        state = EntryState.ANSWERED if known.answered else EntryState.LOST
        entry = Entry(
            known.request_id,
            known.fingerprint,
            slice,
            state,
            now - known.age,
            ledger.next_position,
            known.status,
        )
        ledger = _put(ledger, entry)
    return ledger
