"""Contains requests that crash the upstreams that run them.

Each fingerprint in flight when an upstream crashed becomes a suspect of that
crash, and all processes of the service are told. A suspect of two crashes is
blamed and refused. A suspect is tried by one process at a time, which claims
it first, and there beside requests that are not suspects. So a second crash
has one suspect of the first in flight, and nobody is blamed for another's. A
request that completes is cleared. Records only grow by crash and by clearance,
so notices may come in any order and more than once.
"""

from __future__ import annotations

from dataclasses import dataclass, field, replace

import immutables

from rosemarydeal.core.messages import CrashSuspectNotice

__all__ = [
    "Claim",
    "Record",
    "Suspects",
    "claim",
    "clear",
    "crash",
    "expire",
    "is_blamed",
    "is_suspect",
    "may_try",
    "needs_claim",
    "receive",
    "rebroadcast",
    "suspected",
]

CRASHES_TO_BLAME = 2
RECORDS_MAX = 10_000
REBROADCAST_PERIOD_S = 1.0
RETELL_FOR_S = 60.0
OWN_NOTICES_MAX = 16
CLAIM_PREFIX = "claim/"
CLAIM_SETTLES_S = 0.02
CLAIM_LASTS_S = 2.0


@dataclass(frozen=True, slots=True)
class Record:
    """Holds the crashes that a fingerprint was in flight at.

    Attributes:
        crashes: Ids of the crashes.
        cleared: Ids of the crashes that it was cleared of.
        at: Moment of the latest crash, in seconds.
    """

    crashes: frozenset[str]
    cleared: frozenset[str]
    at: float

    @property
    def standing(self) -> frozenset[str]:
        """Returns the crashes that it was not cleared of."""
        return self.crashes - self.cleared


@dataclass(frozen=True, slots=True)
class Claim:
    """Says which process alone may try a suspect, and since when."""

    node: str
    at: float


@dataclass(frozen=True, slots=True)
class Suspects:
    """Holds the records by fingerprint and what this process tells of them.

    Attributes:
        records: Records by fingerprint.
        own_crashes: Crashes of the upstream beside this process.
        notices: Notices that are told again, as they may get lost.
        made_at: Moments at which those were made.
        sent_at: Moment at which they were last told.
        claims: Processes that try suspects, by fingerprint.
    """

    records: immutables.Map[int, Record] = field(default_factory=immutables.Map)
    own_crashes: int = 0
    notices: tuple[CrashSuspectNotice, ...] = ()
    made_at: tuple[float, ...] = ()
    sent_at: float = 0.0
    claims: immutables.Map[int, Claim] = field(default_factory=immutables.Map)


def _standing(suspects: Suspects, fingerprint: int) -> frozenset[str]:
    """Returns the crashes that stand against a fingerprint."""
    record = suspects.records.get(fingerprint)
    return record.standing if record else frozenset()


def is_suspect(suspects: Suspects, fingerprint: int) -> bool:
    """Says whether a fingerprint was in flight at a crash and not cleared."""
    return bool(_standing(suspects, fingerprint))


def is_blamed(suspects: Suspects, fingerprint: int) -> bool:
    """Says whether requests with a fingerprint are refused."""
    return len(_standing(suspects, fingerprint)) >= CRASHES_TO_BLAME


def suspected(suspects: Suspects) -> tuple[int, ...]:
    """Returns all fingerprints in flight at a crash and not cleared, sorted."""
    return tuple(sorted(f for f in suspects.records if is_suspect(suspects, f)))


def crash(
    suspects: Suspects,
    service: str,
    node: str,
    seed: int,
    in_flight: tuple[int, ...],
    now: float,
) -> tuple[Suspects, CrashSuspectNotice]:
    """Records a crash of the upstream beside this process.

    Args:
        suspects: The records.
        service: Service of the upstream.
        node: Name of this process.
        seed: Number that tells this life of the process from others.
        in_flight: Fingerprints that the upstream ran.
        now: The moment, in seconds.

    Returns:
        The records and the notice for the other processes.
    """
    crash_id = f"{node}/{seed}/{suspects.own_crashes}"
    notice = CrashSuspectNotice(service, crash_id, tuple(sorted(set(in_flight))))
    suspects = replace(suspects, own_crashes=suspects.own_crashes + 1)
    suspects = _keep_telling(suspects, (notice,), now)
    return receive(suspects, notice, now), notice


def _keep_telling(
    suspects: Suspects, notices: tuple[CrashSuspectNotice, ...], now: float
) -> Suspects:
    """Adds notices to those that are told again for a while."""
    kept = (*suspects.notices, *notices)[-OWN_NOTICES_MAX:]
    made_at = (*suspects.made_at, *(now for _ in notices))[-OWN_NOTICES_MAX:]
    return replace(suspects, notices=kept, made_at=made_at)


def rebroadcast(
    suspects: Suspects, now: float
) -> tuple[Suspects, tuple[CrashSuspectNotice, ...]]:
    """Returns the notices that are to be told again now."""
    if not suspects.notices or now - suspects.sent_at < REBROADCAST_PERIOD_S:
        return suspects, ()
    fresh = sum(1 for moment in suspects.made_at if now - moment <= RETELL_FOR_S)
    notices = suspects.notices[len(suspects.notices) - fresh :]
    made_at = suspects.made_at[len(suspects.made_at) - fresh :]
    told = replace(suspects, notices=notices, made_at=made_at, sent_at=now)
    return told, notices


def receive(suspects: Suspects, notice: CrashSuspectNotice, now: float) -> Suspects:
    """Merges a notice into the records."""
    if notice.crash_id.startswith(CLAIM_PREFIX):
        node = notice.crash_id.removeprefix(CLAIM_PREFIX)
        return _hear_claim(suspects, node, notice.suspects, now)
    records = suspects.records
    crash_id = frozenset({notice.crash_id})
    for fingerprint in notice.suspects:
        record = records.get(fingerprint) or Record(frozenset(), frozenset(), now)
        grown = replace(record, crashes=record.crashes | crash_id, at=now)
        records = records.set(fingerprint, grown)
    for fingerprint in notice.cleared:
        record = records.get(fingerprint) or Record(frozenset(), frozenset(), now)
        records = records.set(
            fingerprint, replace(record, cleared=record.cleared | crash_id)
        )
    return _bounded(replace(suspects, records=records))


def needs_claim(suspects: Suspects, fingerprint: int, now: float) -> bool:
    """Says whether nobody claims a suspect, so that it may be claimed."""
    held = suspects.claims.get(fingerprint)
    return held is None or now - held.at > CLAIM_LASTS_S


def claim(
    suspects: Suspects, service: str, node: str, fingerprint: int, now: float
) -> tuple[Suspects, CrashSuspectNotice]:
    """Claims a suspect for this process, so that no other one tries it.

    Returns:
        The records and the notice for the other processes.
    """
    notice = CrashSuspectNotice(service, CLAIM_PREFIX + node, (fingerprint,))
    return _hear_claim(suspects, node, (fingerprint,), now), notice


def _hear_claim(
    suspects: Suspects, node: str, fingerprints: tuple[int, ...], now: float
) -> Suspects:
    """Takes a claim in; of two at the same time the lower name wins."""
    claims = suspects.claims
    for fingerprint in fingerprints:
        held = claims.get(fingerprint)
        free = needs_claim(suspects, fingerprint, now)
        if free or node < held.node:
            claims = claims.set(fingerprint, Claim(node, now))
    return replace(suspects, claims=claims)


def may_try(suspects: Suspects, node: str, fingerprint: int, now: float) -> bool:
    """Says whether this process holds a claim that rivals would have met."""
    held = suspects.claims.get(fingerprint)
    if held is None or held.node != node:
        return False
    return CLAIM_SETTLES_S <= now - held.at <= CLAIM_LASTS_S


def _bounded(suspects: Suspects) -> Suspects:
    """Drops the oldest records beyond the bound, blamed ones last."""
    excess = len(suspects.records) - RECORDS_MAX
    if excess <= 0:
        return suspects
    ranked = sorted(
        suspects.records.items(),
        key=lambda item: (len(item[1].standing) >= CRASHES_TO_BLAME, item[1].at),
    )
    records = suspects.records
    for fingerprint, _ in ranked[:excess]:
        records = records.delete(fingerprint)
    return replace(suspects, records=records)


def clear(
    suspects: Suspects, service: str, fingerprint: int, now: float
) -> tuple[Suspects, tuple[CrashSuspectNotice, ...]]:
    """Clears a fingerprint of every crash that is known.

    Returns:
        The records and a notice for each crash.
    """
    standing = _standing(suspects, fingerprint)
    if not standing:
        return suspects, ()
    record = suspects.records[fingerprint]
    cleared = replace(record, cleared=record.cleared | standing)
    notices = tuple(
        CrashSuspectNotice(service, crash_id, (), (fingerprint,))
        for crash_id in sorted(standing)
    )
    records = suspects.records.set(fingerprint, cleared)
    suspects = _keep_telling(replace(suspects, records=records), notices, now)
    return suspects, notices


def expire(suspects: Suspects, now: float, window_s: float) -> Suspects:
    """Forgets records without a crash for the length of the window."""
    old = [f for f, record in suspects.records.items() if now - record.at > window_s]
    records, claims = suspects.records, suspects.claims
    for fingerprint in old:
        records = records.delete(fingerprint)
        claims = claims.delete(fingerprint) if fingerprint in claims else claims
    return replace(suspects, records=records, claims=claims) if old else suspects
