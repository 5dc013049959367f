"""Grants that are carried by the answers to an upstream's heartbeats.

Each answer states everything that the upstream is to hold; it releases what is left
out and reports the release in a later heartbeat. An answer may be lost, and then the
upstream still has the previous statement, so only its next heartbeat shows what it
holds. It sends heartbeats one after the other: when one arrives, the answers to all
earlier ones have been applied or never will be.

Load pattern: hot keys that are handed over while requests for them keep arriving.
The former owner serves them until the answer that leaves them out.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, replace

from rosemarydeal.core.fleet import (
    Announcement,
    GrantStatement,
    HeldKeys,
    KeyRange,
    ReleasedKeys,
)

from . import table as tables
from .ownership_lease import CLOCK_DRIFT

__all__ = ["HeartbeatGrants", "Release"]

# An upstream ignores an answer that arrives later than this after its heartbeat.
MAX_DELIVERY_S = 1.0
# Time for an answer to reach the upstream on the same VM.
DELIVERY_S = 0.02
# Shorter statements would expire before the next heartbeat.
MIN_HOLD_S = 0.5
# Heartbeats in a row without a stated range, after which its token counts as
# refused: the answers may have been lost, but hardly all of them.
REFUSED_AFTER_HEARTBEATS = 3
# Covers the delay between the check of a grant and the start of a request.
HOLD_MARGIN_S = 0.1
# An answer must not exceed 4 KiB; a row takes up to 45 bytes.
MAX_STATED_RANGES = 85


@dataclass(frozen=True, slots=True)
class _StatedRange:
    """A range in the last statement.

    Attributes:
        keys: The range.
        usable_from: When the statement has reached the upstream.
        usable_until: Until when the upstream certainly holds the keys if it has.
        missed: Heartbeats in a row that did not report the range.
    """

    keys: KeyRange
    usable_from: float
    usable_until: float
    missed: int = 0


@dataclass(slots=True)
class Release:
    """Release of a range, or of part of one, from the upstream.

    Attributes:
        keys: The range.
        may_hold_until: Latest time at which the upstream may hold the keys.
        parts: The released keys with their hand-over tokens, None until the
            upstream certainly holds none of them.
    """

    keys: KeyRange
    may_hold_until: float
    parts: tuple[tuple[KeyRange, str], ...] | None = None


class HeartbeatGrants:
    """The keys that one upstream holds, is to hold, and releases."""

    def __init__(self, started_at: float, max_hold_s: float) -> None:
        """Creates the state of a process that has just started.

        Args:
            started_at: Start of the process. The upstream may hold keys that the
                VM's former process stated until then.
            max_hold_s: Longest duration of one statement.
        """
        self._may_hold_until = started_at + max_hold_s * (1.0 + CLOCK_DRIFT)
        self._wanted: tuple[KeyRange, ...] | None = None
        self._stated: tuple[_StatedRange, ...] = ()
        self._held: tuple[HeldKeys, ...] = ()
        self._releases: list[Release] = []

    @property
    def refused(self) -> bool:
        """Returns whether the upstream ignores a range, having seen a higher token."""
        return any(s.missed >= REFUSED_AFTER_HEARTBEATS for s in self._stated)

    def may_hold(self, now: float) -> bool:
        """Returns whether the upstream may hold any key."""
        return now <= self._may_hold_until

    def allows(self, key: int, token: int, now: float) -> bool:
        """Returns whether the upstream holds a key under a token."""
        return any(
            stated.usable_from <= now < stated.usable_until - HOLD_MARGIN_S
            for stated in self._stated
            if key in stated.keys and stated.keys.token == token
        )

    def set_wanted(self, ranges: Sequence[KeyRange]) -> None:
        """Sets all ranges that the upstream is to hold from the next answer on."""
        self._wanted = tuple(ranges)

    def suspend(self) -> None:
        """Makes all keys unusable, as the upstream is silent; it may hold them."""
        self._stated = ()

    def forget(self) -> None:
        """Clears the state of an upstream that is gone; its releases have ended."""
        self._stated = ()
        self._held = ()
        for release in self._releases:
            _end(release, ())

    def begin_release(self, keys: KeyRange) -> Release:
        """Starts a release; the keys stay usable until an answer leaves them out."""
        release = Release(keys, self._may_hold_until)
        self._releases.append(release)
        return release

    def remove_release(self, release: Release) -> None:
        """Removes a release whose keys have been assigned anew."""
        self._releases.remove(release)

    def end_expired(self, now: float) -> None:
        """Ends the releases of keys whose last statement has expired."""
        for release in self._releases:
            if release.parts is None and now > release.may_hold_until:
                _end(release, ())

    def answer(
        self, heartbeat: Announcement, incarnation: str, hold_s: float, now: float
    ) -> GrantStatement | None:
        """Applies a heartbeat and returns the statement that answers it.

        Args:
            heartbeat: The newest heartbeat of the current incarnation.
            incarnation: That incarnation.
            hold_s: How long the upstream may hold its keys from now on, in seconds.
            now: The current time.

        Returns:
            The statement, or None to leave the upstream's grants as they are.
        """
        if heartbeat.holds is None:
            return None
        self._held = heartbeat.holds
        self._stated = tuple(self._confirm(stated) for stated in self._stated)
        for release in self._releases:
            if not _overlaps_any(release.keys, self._held):
                _end(release, heartbeat.released)
        return self._state(incarnation, hold_s, now)

    def _confirm(self, stated: _StatedRange) -> _StatedRange:
        """Compares a stated range with what the upstream reports."""
        if _is_held(stated.keys, self._held):
            return replace(stated, missed=0)
        return replace(stated, missed=stated.missed + 1)

    def _state(
        self, incarnation: str, hold_s: float, now: float
    ) -> GrantStatement | None:
        """Builds the next statement and records it."""
        if self._wanted is None:
            return None
        wanted = [keys for keys in self._wanted if keys.incarnation == incarnation]
        for release in self._releases:
            wanted = [
                part for keys in wanted for part in tables.subtract(keys, release.keys)
            ]
        if wanted and hold_s < MIN_HOLD_S:
            return None
        wanted.sort(key=lambda keys: not _is_held(keys, self._held))
        wanted = wanted[:MAX_STATED_RANGES]
        usable_until = now - MAX_DELIVERY_S + hold_s * (1.0 - CLOCK_DRIFT)
        self._stated = tuple(
            self._stated_range(keys, usable_until, now) for keys in wanted
        )
        self._may_hold_until = max(
            self._may_hold_until, now + hold_s * (1.0 + CLOCK_DRIFT)
        )
        rows = tuple(
            replace(keys, handover="") if _is_held(keys, self._held) else keys
            for keys in wanted
        )
        return GrantStatement(rows, max(hold_s, MIN_HOLD_S))

    def _stated_range(
        self, keys: KeyRange, usable_until: float, now: float
    ) -> _StatedRange:
        """Returns a range of the next statement with the times of its use."""
        for previous in self._stated:
            if tables.covers(previous.keys, keys):
                held = previous.missed == 0
                usable_from = previous.usable_from if held else now + DELIVERY_S
                return _StatedRange(keys, usable_from, usable_until, previous.missed)
        usable_from = now if _is_held(keys, self._held) else now + DELIVERY_S
        return _StatedRange(keys, usable_from, usable_until)


def _end(release: Release, released: Sequence[ReleasedKeys]) -> None:
    """Ends a release with the hand-over tokens that the upstream reported."""
    if release.parts is not None:
        return
    remaining = [release.keys]
    parts: list[tuple[KeyRange, str]] = []
    for row in reversed(released):
        left: list[KeyRange] = []
        for keys in remaining:
            first, last = max(keys.first, row.first), min(keys.last, row.last)
            if first > last:
                left.append(keys)
                continue
            part = replace(keys, first=first, last=last)
            parts.append((part, row.handover))
            left.extend(tables.subtract(keys, part))
        remaining = left
    parts.extend((keys, "") for keys in remaining)
    release.parts = tuple(sorted(parts, key=lambda part: part[0].first))


def _overlaps_any(keys: KeyRange, rows: Sequence[HeldKeys]) -> bool:
    """Returns whether any row contains a key of a range."""
    return any(row.first <= keys.last and keys.first <= row.last for row in rows)


def _is_held(keys: KeyRange, rows: Sequence[HeldKeys]) -> bool:
    """Returns whether rows of the same token contain all keys of a range."""
    remaining = [keys]
    for row in rows:
        if row.token == keys.token:
            held = replace(keys, first=row.first, last=row.last)
            remaining = [
                part for keys in remaining for part in tables.subtract(keys, held)
            ]
    return not remaining
