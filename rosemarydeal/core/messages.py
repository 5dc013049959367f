"""Defines the messages that the system's own processes exchange.

Each message is a frozen data class; `rosemarydeal.peers` encodes it with its
class name as the kind, so adding a message means adding a class and its name.
"""

from __future__ import annotations

from dataclasses import dataclass

from .data import Address, Incarnation, Row, SliceId

__all__ = [
    "CrashSuspectNotice",
    "JoinRequest",
    "LeaseRelinquished",
    "LeaseReply",
    "LeaseRequest",
    "LedgerHandOver",
    "LedgerRecord",
    "LoadReport",
    "Message",
    "PromiseReply",
    "PromiseRequest",
    "RecordsReply",
    "RecordsRequest",
    "RevokeAck",
    "RevokeReply",
    "RevokeRequest",
    "SliceLoad",
    "TokenRange",
    "UnresponsiveNotice",
    "VersionsNotice",
]


@dataclass(frozen=True, slots=True)
class LeaseRequest:
    """Asks a witness to vouch for the sender's incarnation for a lease.

    Attributes:
        incarnation: The incarnation.
        sequence: Number of the request.
        known_boot_id: The witness's life that the sender knew of before it took
            the incarnation, 0 when it knew none.
    """

    incarnation: Incarnation
    sequence: int
    known_boot_id: int = 0


@dataclass(frozen=True, slots=True)
class LeaseReply:
    """Answers a vouch request.

    Attributes:
        incarnation: The incarnation asked about.
        sequence: Number of the request.
        granted: Whether the witness vouches for a lease from now on.
        retry_after_s: Seconds until the witness may vouch, -1 when it never will.
        boot_id: The witness's present life, told while it has to wait, else 0.
    """

    incarnation: Incarnation
    sequence: int
    granted: bool
    retry_after_s: float = 0.0
    boot_id: int = 0


@dataclass(frozen=True, slots=True)
class LeaseRelinquished:
    """Tells a witness that the sender discarded its incarnation for good."""

    incarnation: Incarnation


@dataclass(frozen=True, slots=True)
class UnresponsiveNotice:
    """Tells a successor that a witness stopped hearing an incarnation."""

    incarnation: Incarnation


@dataclass(frozen=True, slots=True)
class PromiseRequest:
    """Asks a witness to stop vouching for a silent incarnation."""

    target: Incarnation
    round: int


@dataclass(frozen=True, slots=True)
class PromiseReply:
    """Promises never to vouch for an incarnation again, or refuses.

    Attributes:
        target: The incarnation asked about.
        round: The round of the question.
        promised: Whether the witness gives the promise.
        expires_after_s: Seconds until the witness's last word for it lapses.
        last_heartbeat_age_s: Seconds since the holder last sent a request to the
            witness, -1 if it never did.
        retry_after_s: Seconds after which a refusing witness may promise.
    """

    target: Incarnation
    round: int
    promised: bool
    expires_after_s: float
    last_heartbeat_age_s: float = -1.0
    retry_after_s: float = 0.0


@dataclass(frozen=True, slots=True)
class RevokeRequest:
    """Asks a retiring incarnation to acknowledge newer rows.

    Attributes:
        target: The retiring incarnation.
        rows: Rows as the platform holds them.
        carved: Carved slices that exist beside these rows; an older right in
            any other slice carved out of them is to be given up as well.
    """

    target: Incarnation
    rows: tuple[Row, ...]
    carved: tuple[SliceId, ...] = ()


@dataclass(frozen=True, slots=True)
class RevokeAck:
    """Says that a process holds no right in a slice older than a version.

    Attributes:
        slice: The slice.
        version: The version; a sender that releases version v gives v + 1.
        token: Fencing token under which the sender last served, -1 if never.
    """

    slice: SliceId
    version: int
    token: int = -1


@dataclass(frozen=True, slots=True)
class RevokeReply:
    """Acknowledges versions: the sender holds no older right in these slices."""

    incarnation: Incarnation
    acks: tuple[RevokeAck, ...]


@dataclass(frozen=True, slots=True)
class VersionsNotice:
    """Tells which versions of the platform's objects the sender knows."""

    versions: tuple[tuple[str, int], ...]


@dataclass(frozen=True, slots=True)
class RecordsRequest:
    """Asks a peer for objects that it knows in newer versions."""

    keys: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class JoinRequest:
    """Asks a seed for objects on behalf of a process that nobody knows yet.

    Attributes:
        peer: Address of the sender for messages between processes.
        public_key: CURVE public key of the sender, in Z85.
        prefixes: Beginnings of the keys of the objects asked for.
    """

    peer: Address
    public_key: str
    prefixes: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class RecordsReply:
    """Passes platform objects on, each with its version, compressed by zlib."""

    records: tuple[tuple[str, int, bytes], ...]


@dataclass(frozen=True, slots=True)
class SliceLoad:
    """Gives the load of one slice, in busy seconds per second."""

    slice: SliceId
    load: float
    hot_keys: tuple[tuple[int, float], ...] = ()


@dataclass(frozen=True, slots=True)
class LoadReport:
    """Reports the load of an upstream and of its slices to a proposer.

    Attributes:
        incarnation: The process that reports.
        age: Seconds since the end of the interval that was measured.
        utilisation: Busy slots over all slots of the upstream.
        slices: Load of the slices that it owns, heaviest first.
        service_s: Mean seconds that a request took at the upstream, 0: unknown.
    """

    incarnation: Incarnation
    age: float
    utilisation: float
    slices: tuple[SliceLoad, ...]
    service_s: float = 0.0


@dataclass(frozen=True, slots=True)
class CrashSuspectNotice:
    """Tells of requests that were in flight when an upstream crashed."""

    service: str
    crash_id: str
    suspects: tuple[int, ...]
    cleared: tuple[int, ...] = ()


@dataclass(frozen=True, slots=True)
class TokenRange:
    """Gives a closed range of tickets."""

    low: int
    high: int


@dataclass(frozen=True, slots=True)
class LedgerRecord:
    """Tells that a non-idempotent request ran, or may have run.

    Attributes:
        request_id: The id that the caller or the entry gave it.
        fingerprint: Hash of what was asked.
        age: Seconds since it ended.
        answered: Whether its upstream answered it.
        status: HTTP status of the answer, 0 without one.
    """

    request_id: str
    fingerprint: int
    age: float
    answered: bool
    status: int = 0


@dataclass(frozen=True, slots=True)
class LedgerHandOver:
    """Passes on what the former owner of a slice knows of its requests.

    Attributes:
        slice: The slice that is handed over.
        token: Fencing token under which the sender last served it.
        covers: Tickets whose first tries the entries account for in full.
        complete_s: Seconds for which the entries hold every request.
        entries: The requests that ran or may have run.
    """

    slice: SliceId
    token: int
    covers: tuple[TokenRange, ...]
    complete_s: float
    entries: tuple[LedgerRecord, ...]


Message = (
    LeaseRequest
    | LeaseReply
    | LeaseRelinquished
    | UnresponsiveNotice
    | PromiseRequest
    | PromiseReply
    | RevokeRequest
    | RevokeReply
    | VersionsNotice
    | RecordsRequest
    | JoinRequest
    | RecordsReply
    | LoadReport
    | CrashSuspectNotice
    | LedgerHandOver
)
