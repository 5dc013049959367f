"""Messages that the processes of the system exchange.

Each message is a frozen data class. `rosemarydeal.peers` encodes it as the
array of its fields, tagged with the position of its class in the union
`Message`. The order of the fields and of the union is therefore part of the
wire format.
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
    """Request to a witness to grant a lease to the sender's incarnation.

    Attributes:
        incarnation: Incarnation that the lease is for.
        sequence: Number of the request.
        known_boot_id: Boot id of the witness that the sender had received
            before it created the incarnation, 0 if none.
    """

    incarnation: Incarnation
    sequence: int
    known_boot_id: int = 0


@dataclass(frozen=True, slots=True)
class LeaseReply:
    """Reply of a witness to a `LeaseRequest`.

    Attributes:
        incarnation: Incarnation that the lease is for.
        sequence: Number of the request.
        granted: Whether the witness grants a lease that starts now.
        retry_after_s: Seconds until the witness may grant a lease, -1 if it
            never will.
        boot_id: Boot id of the witness if it refuses because of its startup
            hold-off, else 0.
    """

    incarnation: Incarnation
    sequence: int
    granted: bool
    retry_after_s: float = 0.0
    boot_id: int = 0


@dataclass(frozen=True, slots=True)
class LeaseRelinquished:
    """Notice to a witness that the sender permanently gave up an incarnation."""

    incarnation: Incarnation


@dataclass(frozen=True, slots=True)
class UnresponsiveNotice:
    """Notice to a successor that a witness finds an incarnation unresponsive."""

    incarnation: Incarnation


@dataclass(frozen=True, slots=True)
class PromiseRequest:
    """Request to a witness to grant an unresponsive incarnation no more leases."""

    target: Incarnation
    round: int


@dataclass(frozen=True, slots=True)
class PromiseReply:
    """Reply of a witness to a `PromiseRequest`.

    Attributes:
        target: Incarnation that the promise is about.
        round: Round of the request.
        promised: Whether the witness promises never to grant it a lease again.
        expires_after_s: Seconds until the last lease that the witness granted
            expires.
        last_heartbeat_age_s: Seconds since the witness last received a lease
            request of the incarnation, -1 if it never did.
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
    """Request to a retiring incarnation to release ownership under older rows.

    Attributes:
        target: The retiring incarnation.
        rows: The newer rows, as stored on the platform.
        carved: Carved slices that exist beside these rows. Ownership of any
            other slice carved out of them must be released as well.
    """

    target: Incarnation
    rows: tuple[Row, ...]
    carved: tuple[SliceId, ...] = ()


@dataclass(frozen=True, slots=True)
class RevokeAck:
    """Statement that a process owns a slice under no row below a version.

    Attributes:
        slice: The slice.
        version: The version; a sender that releases version v sends v + 1.
        token: Fencing token under which the sender last served the slice, -1
            if it never did.
    """

    slice: SliceId
    version: int
    token: int = -1


@dataclass(frozen=True, slots=True)
class RevokeReply:
    """Acknowledgement that the sender released ownership under older rows."""

    incarnation: Incarnation
    acks: tuple[RevokeAck, ...]


@dataclass(frozen=True, slots=True)
class VersionsNotice:
    """Versions of platform objects that the sender holds."""

    versions: tuple[tuple[str, int], ...]


@dataclass(frozen=True, slots=True)
class RecordsRequest:
    """Request to a peer for objects that it holds in newer versions."""

    keys: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class JoinRequest:
    """Request to a seed for objects, from a process unknown to its peers.

    Attributes:
        peer: Address of the sender for messages between processes.
        public_key: CURVE public key of the sender, in Z85.
        prefixes: Key prefixes of the requested objects.
    """

    peer: Address
    public_key: str
    prefixes: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class RecordsReply:
    """Platform objects: the key, version and zlib-compressed content of each."""

    records: tuple[tuple[str, int, bytes], ...]


@dataclass(frozen=True, slots=True)
class SliceLoad:
    """Load of one slice, in busy seconds per second.

    Attributes:
        slice: The slice.
        load: Its load.
        hot_keys: Hashes and loads of its hottest keys.
    """

    slice: SliceId
    load: float
    hot_keys: tuple[tuple[int, float], ...] = ()


@dataclass(frozen=True, slots=True)
class LoadReport:
    """Report to a proposer of the load of an upstream and of its slices.

    Attributes:
        incarnation: Incarnation of the reporting process.
        age: Seconds since the end of the measured interval.
        utilisation: Busy slots over all slots of the upstream.
        slices: Load of the slices that the process owns, heaviest first.
        service_s: Mean seconds that a request took at the upstream, 0 if
            unknown.
    """

    incarnation: Incarnation
    age: float
    utilisation: float
    slices: tuple[SliceLoad, ...]
    service_s: float = 0.0


@dataclass(frozen=True, slots=True)
class CrashSuspectNotice:
    """Notice of requests that were in flight when an upstream crashed.

    Attributes:
        service: Service of the upstream.
        crash_id: Id of the crash, or the claim of a node to run the suspects.
        suspects: Fingerprints of the requests.
        cleared: Fingerprints that are no longer suspects of the crash.
    """

    service: str
    crash_id: str
    suspects: tuple[int, ...]
    cleared: tuple[int, ...] = ()


@dataclass(frozen=True, slots=True)
class TokenRange:
    """Closed range of tickets."""

    low: int
    high: int


@dataclass(frozen=True, slots=True)
class LedgerRecord:
    """Record of a non-idempotent request that ran or may have run.

    Attributes:
        request_id: Id that the caller or the entry gave to the request.
        fingerprint: Hash of the request's content.
        age: Seconds since it ended.
        answered: Whether the upstream answered it.
        status: HTTP status of the answer, 0 without one.
    """

    request_id: str
    fingerprint: int
    age: float
    answered: bool
    status: int = 0


@dataclass(frozen=True, slots=True)
class LedgerHandOver:
    """Ledger of a slice, sent by its former owner to the new one.

    Attributes:
        slice: The slice that is handed over.
        token: Fencing token under which the sender last served it.
        covers: Tickets for which the entries contain every first attempt that
            ran or may have run.
        complete_s: Seconds before the sending for which the entries contain
            every such request of the slice.
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
