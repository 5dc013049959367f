"""Remembers the ids of non-idempotent requests so that none runs twice.

An id is recorded before its request is dispatched and kept for a window after
it ended. Ids are never dropped early: when the room for ids is used up, new
requests are refused. Answers are dropped oldest first when their bytes
exceed the bound; the id of such a request stays known.
"""

from __future__ import annotations

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
    "adopt",
    "expire",
    "has_room",
    "known_requests",
    "record",
    "settle",
    "withdraw",
]


class EntryState(Enum):
    """Says what is known of a request that was dispatched."""

    SENT = "sent"
    ANSWERED = "answered"
    LOST = "lost"


@dataclass(frozen=True, slots=True)
class Entry:
    """Holds what is known of one id.

    Attributes:
        request_id: The id.
        fingerprint: Hash of what was asked.
        slice: Slice of the key, if any.
        state: Whether it runs, was answered, or may have run.
        at: Moment of the last change of state.
        order: Position in the order of expiry.
        status: HTTP status of the answer.
        size: Bytes of the answer while it is kept.
        kept: Whether the driver holds the answer.
    """

    request_id: str
    fingerprint: int
    slice: SliceId | None
    state: EntryState
    at: float
    order: int
    status: int = 0
    size: int = 0
    kept: bool = False


@dataclass(frozen=True, slots=True)
class Ledger:
    """Holds the known ids and the order in which they expire.

    Attributes:
        entries: What is known by id.
        order: Ids by position, the longest unchanged first.
        first: First position that may be in use.
        last: Position that the next change takes.
        oldest_answer: First position whose answer may still be kept.
        answer_bytes: Bytes of all kept answers.
    """

    entries: immutables.Map[str, Entry] = field(default_factory=immutables.Map)
    order: immutables.Map[int, str] = field(default_factory=immutables.Map)
    first: int = 0
    last: int = 0
    oldest_answer: int = 0
    answer_bytes: int = 0

    def find(self, request_id: str) -> Entry | None:
        """Returns what is known of an id."""
        return self.entries.get(request_id)


def has_room(ledger: Ledger, settings: GuardSettings) -> bool:
    """Says whether one more id can be kept for the whole window."""
    return len(ledger.entries) < settings.ledger_ids


def _put(ledger: Ledger, entry: Entry) -> Ledger:
    """Stores an entry as the last to expire."""
    old = ledger.entries.get(entry.request_id)
    order = ledger.order if old is None else ledger.order.delete(old.order)
    entry = replace(entry, order=ledger.last)
    return replace(
        ledger,
        entries=ledger.entries.set(entry.request_id, entry),
        order=order.set(ledger.last, entry.request_id),
        last=ledger.last + 1,
    )


def record(
    ledger: Ledger, request_id: str, fingerprint: int, slice: SliceId | None, now: float
) -> Ledger:
    """Records an id as dispatched; to be called before the dispatch."""
    return _put(
        ledger, Entry(request_id, fingerprint, slice, EntryState.SENT, now, ledger.last)
    )


def withdraw(ledger: Ledger, request_id: str) -> Ledger:
    """Forgets an id whose request certainly did not run."""
    entry = ledger.entries.get(request_id)
    if entry is None:
        return ledger
    return replace(
        ledger,
        entries=ledger.entries.delete(request_id),
        order=ledger.order.delete(entry.order),
    )


def settle(
    ledger: Ledger,
    request_id: str,
    state: EntryState,
    now: float,
    room_bytes: int,
    status: int = 0,
    size: int = 0,
) -> tuple[Ledger, tuple[str, ...]]:
    """Records how a dispatched request ended.

    Args:
        ledger: The ledger.
        request_id: The id.
        state: Answered, or lost without an answer.
        now: The moment, in seconds.
        room_bytes: Bytes of answers that may be kept.
        status: HTTP status of the answer.
        size: Bytes of the answer.

    Returns:
        The ledger and the ids whose answers are not kept any more.
    """
    entry = ledger.entries.get(request_id)
    if entry is None:
        return ledger, ()
    keeps = state is EntryState.ANSWERED and size <= room_bytes
    ended = replace(
        entry,
        state=state,
        at=now,
        status=status,
        size=size if keeps else 0,
        kept=keeps,
    )
    ledger = _put(ledger, ended)
    ledger = replace(ledger, answer_bytes=ledger.answer_bytes + ended.size)
    return _shrink(ledger, room_bytes)


def _shrink(ledger: Ledger, room_bytes: int) -> tuple[Ledger, tuple[str, ...]]:
    """Drops the oldest answers until the rest fits; their ids stay."""
    dropped = []
    position = max(ledger.oldest_answer, ledger.first)
    while ledger.answer_bytes > room_bytes and position < ledger.last:
        entry = ledger.entries.get(ledger.order.get(position, ""))
        if entry is not None and entry.kept:
            bare = replace(entry, size=0, kept=False)
            ledger = replace(
                ledger,
                entries=ledger.entries.set(bare.request_id, bare),
                answer_bytes=ledger.answer_bytes - entry.size,
            )
            dropped.append(entry.request_id)
        position += 1
    return replace(ledger, oldest_answer=position), tuple(dropped)


def expire(
    ledger: Ledger, now: float, window_s: float
) -> tuple[Ledger, tuple[str, ...]]:
    """Forgets ended requests that are older than the window.

    Args:
        ledger: The ledger.
        now: The moment, in seconds.
        window_s: Seconds for which an ended request is known.

    Returns:
        The ledger and the ids whose answers are not kept any more.
    """
    dropped = []
    while ledger.first < ledger.last:
        entry = ledger.entries.get(ledger.order.get(ledger.first, ""))
        if entry is not None:
            if now - entry.at <= window_s:
                break
            if entry.state is EntryState.SENT:
                ledger = _put(ledger, replace(entry, at=now))
            else:
                if entry.kept:
                    dropped.append(entry.request_id)
                ledger = withdraw(ledger, entry.request_id)
                ledger = replace(ledger, answer_bytes=ledger.answer_bytes - entry.size)
        ledger = replace(ledger, first=ledger.first + 1)
    return ledger, tuple(dropped)


def known_requests(
    ledger: Ledger, slice: SliceId, now: float
) -> tuple[LedgerRecord, ...]:
    """Returns the requests of a slice that ran or may have run."""
    return tuple(
        LedgerRecord(
            entry.request_id,
            entry.fingerprint,
            now - entry.at,
            entry.state is EntryState.ANSWERED,
            entry.status,
        )
        for entry in ledger.entries.values()
        if entry.slice == slice
    )


def adopt(
    ledger: Ledger, slice: SliceId, known: tuple[LedgerRecord, ...], now: float
) -> Ledger:
    """Takes over what the former owner of a slice knows; newer news stays."""
    for request in sorted(known, key=lambda request: -request.age):
        if request.request_id in ledger.entries:
            continue
        state = EntryState.ANSWERED if request.answered else EntryState.LOST
        entry = Entry(
            request.request_id,
            request.fingerprint,
            slice,
            state,
            now - request.age,
            ledger.last,
            request.status,
        )
        ledger = _put(ledger, entry)
    return ledger
