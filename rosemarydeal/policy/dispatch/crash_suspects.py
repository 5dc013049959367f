"""Containment of crashing requests, by one upstream that runs all of them in turn.

Load pattern: a request that crashes every upstream that runs it, and that its caller
sends again at any process. Each run whose connection the upstream closed when it
crashed is charged with that crash, and makes its request a suspect at all processes.

A suspect runs at one upstream at a time: all processes choose the same one, and its
process runs one suspect after the other. One that is answered in its turn is cleared
everywhere, and the crashes are remembered for a minute: with each of them, the next
clearance takes four times as many answers without a crash in between. One that was
running at several crashes, and was the only suspect running at one of these, is
blocked: it is rejected for as long as it keeps coming. A popular request that runs
beside the crashes of another one is answered when its turn comes.

Records are sets of crashed incarnations, so that they can be sent more than once and
in any order. Crashes of which a request was cleared are not charged to it again.

The older daemon has `policy.claimed_suspects`: two crashes block there, and processes
claim the suspects.
"""

from __future__ import annotations

import hashlib
from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass, replace
from enum import Enum, auto

__all__ = [
    "UNNAMED",
    "KnownSuspects",
    "SuspectRecord",
    "SuspectStatus",
    "request_fingerprint",
    "suspect_fingerprint",
    "suspect_node",
]

# The platform allows three crashes under one request.
CRASHES_TO_BLOCK = 3
# What a caller sends again after a minute is a new request, which may run again.
SUSPECT_TTL_S = 60.0
# In a large fleet each process is sent a small part of the repetitions.
BLOCKED_TTL_S = 600.0
# Bounds the memory if many upstreams crash within that time; the oldest go first.
MAX_SUSPECTS = 4096
# Bounds the memory of a request that is in use everywhere during a series of crashes.
MAX_CRASHES = 8
# If one in eight runs crashes, 16 answers come in a row in 12 % of the cases.
ANSWERS_FACTOR = 4
# Bounds how long a harmless request runs in turn that was near several crashes.
MAX_ANSWERS_TO_CLEAR = 32
# Crash in a record from a process that names none; it may stand for several.
UNNAMED = "unnamed"
# Bounds what a process that starts is sent by each of its peers.
MAX_SHARED = 256


class SuspectStatus(Enum):
    """How a request may run.

    Attributes:
        CLEAR: Like any other.
        SUSPECT: When it is its turn among the suspects.
        BLOCKED: Not at all.
    """

    CLEAR = auto()
    SUSPECT = auto()
    BLOCKED = auto()


@dataclass(frozen=True, slots=True)
class SuspectRecord:
    """The crashes that a request is charged with.

    Attributes:
        fingerprint: The request.
        crashes: The incarnations that crashed while they ran it.
        exclusive: Whether it was the only suspect running at one of them.
        age_s: Time since the last crash, or since a blocked one came last.
    """

    fingerprint: str
    crashes: tuple[str, ...]
    exclusive: bool = False
    age_s: float = 0.0


@dataclass(frozen=True, slots=True)
class _Entry:
    """A record, with the time from which its age counts.

    Attributes:
        answers: Answers in its turn, here, since the last crash.
    """

    crashes: frozenset[str]
    exclusive: bool
    last_at: float
    answers: int = 0

    @property
    def blocked(self) -> bool:
        """Returns whether the request is rejected."""
        return self.exclusive and len(self.crashes) >= CRASHES_TO_BLOCK


def request_fingerprint(method: bytes, target: bytes, body: bytes) -> str:
    """Returns a digest that is the same for all attempts of a request."""
    return _digest(method, target, body)


def suspect_fingerprint(service: str, caller_service: str, request: str) -> str:
    """Returns a digest that is the same whenever a caller sends a request again.

    Args:
        service: Service that runs it.
        caller_service: Service on the VM from which it comes. The same request of
            another caller may be harmless.
        request: Digest of its method, target and body.
    """
    return _digest(service.encode(), caller_service.encode(), request.encode())


def suspect_node(fingerprint: str, nodes: Iterable[str]) -> str | None:
    """Returns the node that runs a suspect, the same at all processes.

    Args:
        fingerprint: The suspect.
        nodes: Nodes that can run it.
    """
    marked = fingerprint.encode()
    return max(nodes, key=lambda node: _digest(marked, node.encode()), default=None)


@dataclass(frozen=True, slots=True)
class _Cleared:
    """The crashes of which a request was cleared, the latest last."""

    crashes: tuple[str, ...]
    last_at: float


class KnownSuspects:
    """The suspects that a process knows, in bounded memory."""

    def __init__(self) -> None:
        # All in the order of their times.
        self._suspects: OrderedDict[str, _Entry] = OrderedDict()
        self._blocked: OrderedDict[str, _Entry] = OrderedDict()
        self._cleared: OrderedDict[str, _Cleared] = OrderedDict()

    @property
    def any(self) -> bool:
        """Returns whether there are suspects; without, no fingerprint is needed."""
        return bool(self._suspects or self._blocked)

    @property
    def count(self) -> int:
        """Returns the number of suspects that are not blocked."""
        return len(self._suspects)

    @property
    def blocked_count(self) -> int:
        """Returns the number of requests that are rejected."""
        return len(self._blocked)

    def status(self, fingerprint: str, now: float) -> SuspectStatus:
        """Returns how a request that comes now may run."""
        self.expire(now)
        if fingerprint in self._blocked:
            return SuspectStatus.BLOCKED
        return (
            SuspectStatus.SUSPECT
            if fingerprint in self._suspects
            else SuspectStatus.CLEAR
        )

    def note_rejected(self, fingerprint: str, now: float) -> None:
        """Notes that a blocked request has come again."""
        entry = self._blocked.pop(fingerprint, None)
        if entry is not None:
            self._put(fingerprint, _Entry(entry.crashes, entry.exclusive, now))

    def merge(self, records: Iterable[SuspectRecord], now: float) -> None:
        """Adds crashes, which may be known already."""
        self.expire(now)
        for record in records:
            fingerprint = record.fingerprint
            known = self._blocked.get(fingerprint) or self._suspects.get(fingerprint)
            crashes = frozenset(record.crashes) - set(self._cleared_of(fingerprint))
            if not crashes:
                continue
            exclusive = record.exclusive
            last_at = now - record.age_s
            if known is not None:
                if crashes <= known.crashes and exclusive <= known.exclusive:
                    continue
                crashes, exclusive = (
                    crashes | known.crashes,
                    exclusive or known.exclusive,
                )
                last_at = max(last_at, known.last_at)
            kept = frozenset(sorted(crashes)[:MAX_CRASHES])
            self._blocked.pop(fingerprint, None)
            self._suspects.pop(fingerprint, None)
            self._put(fingerprint, _Entry(kept, exclusive, last_at))
        for entries in (self._suspects, self._blocked):
            while len(entries) > MAX_SUSPECTS:
                entries.popitem(last=False)

    def note_answer(self, fingerprint: str, now: float) -> tuple[str, ...]:
        """Notes that a suspect was answered in its turn.

        Returns:
            The crashes of which it is cleared by that, if any.
        """
        self.expire(now)
        entries = self._blocked if fingerprint in self._blocked else self._suspects
        entry = entries.get(fingerprint)
        if entry is None:
            return ()
        needed = ANSWERS_FACTOR ** len(self._cleared_of(fingerprint))
        if entry.answers + 1 < min(needed, MAX_ANSWERS_TO_CLEAR):
            entries[fingerprint] = replace(entry, answers=entry.answers + 1)
            return ()
        crashes = tuple(sorted(entry.crashes))
        self.clear(fingerprint, crashes, now)
        return crashes

    def clear(self, fingerprint: str, crashes: Iterable[str], now: float) -> None:
        """Clears a request of crashes, whether it is charged with them yet or not.

        Args:
            fingerprint: The request.
            crashes: The crashes; all that it is charged with if empty.
            now: Current time.
        """
        self.expire(now)
        suspect = self._suspects.pop(fingerprint, None)
        entry = self._blocked.pop(fingerprint, None) or suspect
        charged = frozenset[str]() if entry is None else entry.crashes
        cleared = tuple(crashes) or tuple(sorted(charged))
        if entry is not None and not charged <= set(cleared):
            left = charged.difference(cleared)
            self._put(fingerprint, replace(entry, crashes=left, answers=0))
        self._remember(fingerprint, cleared, now)

    def records(self, fingerprints: Iterable[str], now: float) -> list[SuspectRecord]:
        """Returns the records of some requests."""
        known = {**self._suspects, **self._blocked}
        return [
            _record(fingerprint, known[fingerprint], now)
            for fingerprint in fingerprints
            if fingerprint in known
        ]

    def shared_records(self, now: float) -> list[SuspectRecord]:
        """Returns the latest records, for a process that may know none."""
        self.expire(now)
        latest = [*self._suspects, *self._blocked][-MAX_SHARED:]
        return self.records(latest, now)

    def expire(self, now: float) -> None:
        """Removes the records that are too old."""
        for entries, ttl_s in (
            (self._suspects, SUSPECT_TTL_S),
            (self._blocked, BLOCKED_TTL_S),
        ):
            while entries and now - next(iter(entries.values())).last_at > ttl_s:
                entries.popitem(last=False)
        cleared = self._cleared
        while cleared and now - next(iter(cleared.values())).last_at > SUSPECT_TTL_S:
            cleared.popitem(last=False)

    def _cleared_of(self, fingerprint: str) -> tuple[str, ...]:
        """Returns the crashes of which a request was cleared."""
        cleared = self._cleared.get(fingerprint)
        return () if cleared is None else cleared.crashes

    def _remember(self, fingerprint: str, crashes: tuple[str, ...], now: float) -> None:
        """Keeps the crashes of which a request was cleared."""
        known = self._cleared_of(fingerprint)
        added = tuple(c for c in crashes if c not in known and c != UNNAMED)
        if not added:
            return
        self._cleared[fingerprint] = _Cleared((*known, *added)[-MAX_CRASHES:], now)
        self._cleared.move_to_end(fingerprint)
        if len(self._cleared) > MAX_SUSPECTS:
            self._cleared.popitem(last=False)

    def _put(self, fingerprint: str, entry: _Entry) -> None:
        """Adds an entry, keeping the order of times."""
        entries = self._blocked if entry.blocked else self._suspects
        newest = next(reversed(entries.values()), None)
        entries[fingerprint] = entry
        if newest is not None and newest.last_at > entry.last_at:
            ordered = sorted(entries.items(), key=lambda item: item[1].last_at)
            entries.clear()
            entries.update(ordered)


def _record(fingerprint: str, entry: _Entry, now: float) -> SuspectRecord:
    """Returns an entry as it is sent to other processes."""
    crashes = tuple(sorted(entry.crashes))
    return SuspectRecord(fingerprint, crashes, entry.exclusive, now - entry.last_at)


def _digest(*parts: bytes) -> str:
    """Returns a digest of a sequence of byte strings."""
    digest = hashlib.blake2b(digest_size=12)
    for part in parts:
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.hexdigest()
