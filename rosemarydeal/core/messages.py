"""Defines the messages that the system's own processes exchange.

Each message is a frozen data class; `rosemarydeal.peers` encodes it with its
class name as the kind, so adding a message means adding a class and its name.
"""

from __future__ import annotations

from dataclasses import dataclass

from .data import Address, Incarnation, Row, SliceId

__all__ = [
    "ClearAsk",
    "ClearReply",
    "Cleared",
    "KnownRequest",
    "JoinAsk",
    "LedgerHandOver",
    "LoadReport",
    "Message",
    "PromiseAsk",
    "PromiseReply",
    "RecordsAsk",
    "RecordsReply",
    "SilenceNotice",
    "SliceLoad",
    "SuspectNotice",
    "TokenRange",
    "VersionsNotice",
    "VouchAsk",
    "VouchEnd",
    "VouchReply",
]


@dataclass(frozen=True, slots=True)
class VouchAsk:
    """Asks a witness to vouch for the sender's incarnation for a lease.

    Attributes:
        incarnation: The incarnation.
        sequence: Number of the request.
        since_life: The witness's life that the sender knew of before it took
            the incarnation, 0 when it knew none.
    """

    incarnation: Incarnation
    sequence: int
    since_life: int = 0


@dataclass(frozen=True, slots=True)
class VouchReply:
    """Answers a vouch request.

    Attributes:
        incarnation: The incarnation asked about.
        sequence: Number of the request.
        granted: Whether the witness vouches for a lease from now on.
        wait: Seconds until the witness may vouch, -1 when it never will.
        life: The witness's present life, told while it has to wait, else 0.
    """

    incarnation: Incarnation
    sequence: int
    granted: bool
    wait: float = 0.0
    life: int = 0


@dataclass(frozen=True, slots=True)
class VouchEnd:
    """Tells a witness that the sender discarded its incarnation for good."""

    incarnation: Incarnation


@dataclass(frozen=True, slots=True)
class SilenceNotice:
    """Tells a successor that a witness stopped hearing an incarnation."""

    incarnation: Incarnation


@dataclass(frozen=True, slots=True)
class PromiseAsk:
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
        lapse_after: Seconds until the witness's last word for it lapses.
        heard_ago: Seconds since the witness last heard the holder, -1 if never.
        retry_after: Seconds after which a refusing witness may promise.
    """

    target: Incarnation
    round: int
    promised: bool
    lapse_after: float
    heard_ago: float = -1.0
    retry_after: float = 0.0


@dataclass(frozen=True, slots=True)
class ClearAsk:
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
class Cleared:
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
class ClearReply:
    """Acknowledges versions: the sender holds no older right in these slices."""

    incarnation: Incarnation
    cleared: tuple[Cleared, ...]


@dataclass(frozen=True, slots=True)
class VersionsNotice:
    """Tells which versions of the platform's objects the sender knows."""

    versions: tuple[tuple[str, int], ...]


@dataclass(frozen=True, slots=True)
class RecordsAsk:
    """Asks a peer for objects that it knows in newer versions."""

    keys: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class JoinAsk:
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
class SuspectNotice:
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
class KnownRequest:
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
    entries: tuple[KnownRequest, ...]


Message = (
    VouchAsk
    | VouchReply
    | VouchEnd
    | SilenceNotice
    | PromiseAsk
    | PromiseReply
    | ClearAsk
    | ClearReply
    | VersionsNotice
    | RecordsAsk
    | JoinAsk
    | RecordsReply
    | LoadReport
    | SuspectNotice
    | LedgerHandOver
)
