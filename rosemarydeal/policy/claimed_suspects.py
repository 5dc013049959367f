"""Containment of crashing requests, by claims of the processes that run them.

Each fingerprint in flight at a crash of an upstream becomes a suspect of that
crash and is broadcast to all processes of the service. A suspect of two crashes
is blocked: its requests are rejected. Only one process at a time may run a
suspect, after claiming it, and never together with another suspect. A second
crash therefore has at most one earlier suspect in flight, and no innocent
request is blocked. A request that gets an answer is cleared. Records are
grow-only sets of crashes and clearances, so notices may be reordered and
duplicated.

Processes of other services are not told, so a suspect runs wherever they send it.
In `dispatch.crash_suspects` they are told: all choose one upstream for a suspect, no
process claims it, and three crashes block it.
"""

from __future__ import annotations

from dataclasses import dataclass, field, replace

import immutables

from rosemarydeal.core.messages import CrashSuspectNotice

__all__ = [
    "Claim",
    "Record",
    "ClaimedSuspects",
    "apply_notice",
    "claim",
    "clear",
    "expire",
    "is_blocked",
    "is_claimable",
    "is_suspect",
    "may_run",
    "rebroadcast",
    "record_crash",
    "suspected",
]

CRASHES_TO_BLOCK = 2
RECORDS_MAX = 10_000
REBROADCAST_PERIOD_S = 1.0
REBROADCAST_WINDOW_S = 60.0
OWN_NOTICES_MAX = 16
CLAIM_PREFIX = "claim/"
CLAIM_SETTLE_S = 0.02
CLAIM_TTL_S = 2.0


@dataclass(frozen=True, slots=True)
class Record:
    """Crashes at which a fingerprint was in flight.

    Attributes:
        crashes: Ids of the crashes.
        cleared: Ids of the crashes of which it was cleared.
        last_crash_at: Time of the latest crash, in seconds.
    """

    crashes: frozenset[str]
    cleared: frozenset[str]
    last_crash_at: float

    @property
    def uncleared_crashes(self) -> frozenset[str]:
        """Returns the crashes of which it has not been cleared."""
        return self.crashes - self.cleared


@dataclass(frozen=True, slots=True)
class Claim:
    """Exclusive claim of a process to run a suspect, with its start in seconds."""

    node: str
    claimed_at: float


@dataclass(frozen=True, slots=True)
class ClaimedSuspects:
    """Crash records, claims, and the notices to rebroadcast.

    Attributes:
        records: Records by fingerprint.
        own_crashes: Number of crashes of the local upstream.
        notices: Notices that are rebroadcast, as messages may be lost.
        created_at: Times at which those notices were created.
        sent_at: Time of the latest rebroadcast.
        claims: Claims by fingerprint.
    """

    records: immutables.Map[int, Record] = field(default_factory=immutables.Map)
    own_crashes: int = 0
    notices: tuple[CrashSuspectNotice, ...] = ()
    created_at: tuple[float, ...] = ()
    sent_at: float = 0.0
    claims: immutables.Map[int, Claim] = field(default_factory=immutables.Map)


def _uncleared_crashes(suspects: ClaimedSuspects, fingerprint: int) -> frozenset[str]:
    """Returns the crashes of which a fingerprint has not been cleared."""
    record = suspects.records.get(fingerprint)
    return record.uncleared_crashes if record else frozenset()


def is_suspect(suspects: ClaimedSuspects, fingerprint: int) -> bool:
    """Returns whether a fingerprint was in flight at a crash and is not cleared."""
    return bool(_uncleared_crashes(suspects, fingerprint))


def is_blocked(suspects: ClaimedSuspects, fingerprint: int) -> bool:
    """Returns whether requests with a fingerprint are rejected."""
    return len(_uncleared_crashes(suspects, fingerprint)) >= CRASHES_TO_BLOCK


def suspected(suspects: ClaimedSuspects) -> tuple[int, ...]:
    """Returns all suspects, sorted."""
    return tuple(sorted(f for f in suspects.records if is_suspect(suspects, f)))


def record_crash(
    suspects: ClaimedSuspects,
    service: str,
    node: str,
    boot_id: int,
    in_flight: tuple[int, ...],
    now: float,
) -> tuple[ClaimedSuspects, CrashSuspectNotice]:
    """Records a crash of the local upstream.

    Args:
        suspects: The records.
        service: Service of the upstream.
        node: Name of this process.
        boot_id: Number that identifies this run of the process.
        in_flight: Fingerprints of the requests that the upstream was running.
        now: The current time, in seconds.

    Returns:
        The updated records and the notice for the other processes.
    """
    crash_id = f"{node}/{boot_id}/{suspects.own_crashes}"
    notice = CrashSuspectNotice(service, crash_id, tuple(sorted(set(in_flight))))
    suspects = replace(suspects, own_crashes=suspects.own_crashes + 1)
    suspects = _schedule_rebroadcast(suspects, (notice,), now)
    return apply_notice(suspects, notice, now), notice


def _schedule_rebroadcast(
    suspects: ClaimedSuspects, notices: tuple[CrashSuspectNotice, ...], now: float
) -> ClaimedSuspects:
    """Adds notices to those that are rebroadcast; the oldest may be dropped."""
    kept = (*suspects.notices, *notices)[-OWN_NOTICES_MAX:]
    created_at = (*suspects.created_at, *(now for _ in notices))[-OWN_NOTICES_MAX:]
    return replace(suspects, notices=kept, created_at=created_at)


def rebroadcast(
    suspects: ClaimedSuspects, now: float
) -> tuple[ClaimedSuspects, tuple[CrashSuspectNotice, ...]]:
    """Returns the notices to rebroadcast now, if the period has passed."""
    if not suspects.notices or now - suspects.sent_at < REBROADCAST_PERIOD_S:
        return suspects, ()
    recent = sum(
        1 for created in suspects.created_at if now - created <= REBROADCAST_WINDOW_S
    )
    notices = suspects.notices[len(suspects.notices) - recent :]
    created_at = suspects.created_at[len(suspects.created_at) - recent :]
    updated = replace(suspects, notices=notices, created_at=created_at, sent_at=now)
    return updated, notices


def apply_notice(
    suspects: ClaimedSuspects, notice: CrashSuspectNotice, now: float
) -> ClaimedSuspects:
    """Merges a notice into the records."""
    if notice.crash_id.startswith(CLAIM_PREFIX):
        node = notice.crash_id.removeprefix(CLAIM_PREFIX)
        return _apply_claim(suspects, node, notice.suspects, now)
    records = suspects.records
    crash_id = frozenset({notice.crash_id})
    for fingerprint in notice.suspects:
        record = records.get(fingerprint) or Record(frozenset(), frozenset(), now)
        updated = replace(record, crashes=record.crashes | crash_id, last_crash_at=now)
        records = records.set(fingerprint, updated)
    for fingerprint in notice.cleared:
        record = records.get(fingerprint) or Record(frozenset(), frozenset(), now)
        records = records.set(
            fingerprint, replace(record, cleared=record.cleared | crash_id)
        )
    return _evict_excess(replace(suspects, records=records))


def is_claimable(suspects: ClaimedSuspects, fingerprint: int, now: float) -> bool:
    """Returns whether a suspect has no unexpired claim."""
    current = suspects.claims.get(fingerprint)
    return current is None or now - current.claimed_at > CLAIM_TTL_S


def claim(
    suspects: ClaimedSuspects, service: str, node: str, fingerprint: int, now: float
) -> tuple[ClaimedSuspects, CrashSuspectNotice]:
    """Claims a suspect for this process, so that no other process runs it.

    Returns:
        The updated records and the notice for the other processes.
    """
    notice = CrashSuspectNotice(service, CLAIM_PREFIX + node, (fingerprint,))
    return _apply_claim(suspects, node, (fingerprint,), now), notice


def _apply_claim(
    suspects: ClaimedSuspects, node: str, fingerprints: tuple[int, ...], now: float
) -> ClaimedSuspects:
    """Records a claim; of two concurrent claims the lower node name wins."""
    claims = suspects.claims
    for fingerprint in fingerprints:
        current = claims.get(fingerprint)
        free = is_claimable(suspects, fingerprint, now)
        if free or node < current.node:
            claims = claims.set(fingerprint, Claim(node, now))
    return replace(suspects, claims=claims)


def may_run(suspects: ClaimedSuspects, node: str, fingerprint: int, now: float) -> bool:
    """Returns whether this process holds a claim old enough to be uncontested.

    A concurrent claim of another process arrives within the settling time.
    """
    current = suspects.claims.get(fingerprint)
    if current is None or current.node != node:
        return False
    return CLAIM_SETTLE_S <= now - current.claimed_at <= CLAIM_TTL_S


def _evict_excess(suspects: ClaimedSuspects) -> ClaimedSuspects:
    """Evicts the oldest records beyond the limit, blocked fingerprints last."""
    excess = len(suspects.records) - RECORDS_MAX
    if excess <= 0:
        return suspects
    ranked = sorted(
        suspects.records.items(),
        key=lambda item: (
            len(item[1].uncleared_crashes) >= CRASHES_TO_BLOCK,
            item[1].last_crash_at,
        ),
    )
    records = suspects.records
    for fingerprint, _ in ranked[:excess]:
        records = records.delete(fingerprint)
    return replace(suspects, records=records)


def clear(
    suspects: ClaimedSuspects, service: str, fingerprint: int, now: float
) -> tuple[ClaimedSuspects, tuple[CrashSuspectNotice, ...]]:
    """Clears a fingerprint of all recorded crashes.

    Returns:
        The updated records and a notice for each crash.
    """
    uncleared_crashes = _uncleared_crashes(suspects, fingerprint)
    if not uncleared_crashes:
        return suspects, ()
    record = suspects.records[fingerprint]
    cleared = replace(record, cleared=record.cleared | uncleared_crashes)
    notices = tuple(
        CrashSuspectNotice(service, crash_id, (), (fingerprint,))
        for crash_id in sorted(uncleared_crashes)
    )
    records = suspects.records.set(fingerprint, cleared)
    suspects = _schedule_rebroadcast(replace(suspects, records=records), notices, now)
    return suspects, notices


def expire(suspects: ClaimedSuspects, now: float, window_s: float) -> ClaimedSuspects:
    """Removes records without a crash within the window, and claims that have ended."""
    old = {
        f
        for f, record in suspects.records.items()
        if now - record.last_crash_at > window_s
    }
    # A claim may have come without a record, or outlive it.
    ended = [
        f
        for f, held in suspects.claims.items()
        if f in old or now - held.claimed_at > CLAIM_TTL_S
    ]
    if not old and not ended:
        return suspects
    records, claims = suspects.records, suspects.claims
    for fingerprint in old:
        records = records.delete(fingerprint)
    for fingerprint in ended:
        claims = claims.delete(fingerprint)
    return replace(suspects, records=records, claims=claims)
