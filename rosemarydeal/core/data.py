"""Immutable data types shared by all packages.

The types have no behaviour beyond small derived properties, so that packages
can exchange them without depending on each other.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

__all__ = [
    "Address",
    "Answer",
    "Chunk",
    "Incarnation",
    "Member",
    "MemberPhase",
    "NotRun",
    "Outcome",
    "Place",
    "Row",
    "SliceId",
    "SliceOwnership",
    "TOKEN_RANKS",
    "Unknown",
    "Versioned",
    "WitnessSet",
]

TOKEN_RANKS = 256
"""Fencing tokens reserved for each version of a row, one per succession rank."""


@dataclass(frozen=True, slots=True, order=True)
class Address:
    """IP address and port of a TCP or UDP endpoint."""

    host: str
    port: int

    def __str__(self) -> str:
        """Returns `host:port`."""
        return f"{self.host}:{self.port}"


@dataclass(frozen=True, slots=True, order=True)
class Place:
    """Location of an upstream: its region, availability zone and name."""

    region: str
    availability_zone: str
    upstream: str = ""


@dataclass(frozen=True, slots=True, order=True)
class Incarnation:
    """Identity under which a node holds a lease; it never reuses a number."""

    node: str
    number: int

    def __str__(self) -> str:
        """Returns `node#number`, as used in logs."""
        return f"{self.node}#{self.number}"


class MemberPhase(StrEnum):
    """Phase of a member, which decides whether it may get new work."""

    UP = "up"
    DRAINING = "draining"
    LOST = "lost"
    GONE = "gone"


@dataclass(frozen=True, slots=True)
class Member:
    """Announcement of one process and its upstream, stored as a platform object.

    Attributes:
        incarnation: Current incarnation of the process.
        witnesses: Nodes that grant leases to this incarnation; the set never
            changes within it. A member without witnesses can own no slices but
            may be a witness itself.
        service: Service that the upstream serves.
        place: Region, availability zone and upstream name.
        peer: Address of the process for messages between processes.
        entry_host: IP address on which callers reach the process.
        admin: Address of the process for operators and metrics.
        public_key: CURVE public key of the process, in Z85.
        phase: Whether the member may get new work.
        slots: Requests that the upstream runs at a time.
        life: Boot id of the process run that announced the incarnation; the
            field keeps its name because it is stored.
        change_id: Unique id of the write that produced this content.
    """

    incarnation: Incarnation
    witnesses: tuple[str, ...]
    service: str
    place: Place
    peer: Address
    entry_host: str
    admin: Address = Address("127.0.0.1", 0)
    public_key: str = ""
    phase: MemberPhase = MemberPhase.UP
    slots: int = 1
    life: str = ""
    change_id: str = ""

    @property
    def node(self) -> str:
        """Returns the stable name of the process."""
        return self.incarnation.node


@dataclass(frozen=True, slots=True, order=True)
class SliceId:
    """Id of a slice of a service's keys.

    Attributes:
        service: Service that the slice belongs to.
        index: Position among the service's fixed number of slices.
        carved: Hash of the only key of a carved slice, -1 for a base slice.
    """

    service: str
    index: int
    carved: int = -1


@dataclass(frozen=True, slots=True)
class Row:
    """Owner of a slice and its successors.

    Attributes:
        slice: The slice.
        version: Number that grows by one with each change of the owner or the
            successors.
        succession: The owner, then its successors in order.
        retiring: Incarnations that may still own the slice under an older row;
            each is removed after it has acknowledged the revocation or its
            lease has expired.
    """

    slice: SliceId
    version: int
    succession: tuple[Incarnation, ...]
    retiring: tuple[Incarnation, ...] = ()

    @property
    def owner(self) -> Incarnation | None:
        """Returns the first incarnation of the succession, if any."""
        return self.succession[0] if self.succession else None


@dataclass(frozen=True, slots=True)
class WitnessSet:
    """Witnesses of an incarnation that occurs in a row of a chunk."""

    incarnation: Incarnation
    witnesses: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Chunk:
    """Rows of neighbouring slices, stored as one platform object.

    Attributes:
        service: Service that the slices belong to.
        number: Position of the chunk within the service.
        rows: Rows of base and carved slices, sorted by slice.
        holders: Witnesses of each incarnation that occurs in a row.
        change_id: Unique id of the write that produced this content.
    """

    service: str
    number: int
    rows: tuple[Row, ...]
    holders: tuple[WitnessSet, ...] = ()
    change_id: str = ""


@dataclass(frozen=True, slots=True)
class Versioned:
    """Content and version of a platform object; version 0 means that none exists."""

    key: str
    version: int
    value: bytes


@dataclass(frozen=True, slots=True)
class SliceOwnership:
    """Permission to dispatch requests of one slice for a limited time.

    Attributes:
        slice: The slice.
        token: Fencing token; a later owner's token is always greater.
        valid_until: Time at which the permission ends, in seconds on a clock
            that counts time spent suspended.
    """

    slice: SliceId
    token: int
    valid_until: float


@dataclass(frozen=True, slots=True)
class Answer:
    """Complete answer to a request that ran once."""

    status: int
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes


@dataclass(frozen=True, slots=True)
class NotRun:
    """Outcome of a request that did not run; sending it again is safe."""

    code: str
    detail: str = ""
    retry_after: float = 0.0


@dataclass(frozen=True, slots=True)
class Unknown:
    """Outcome of a request that may have run; only an idempotent one may be resent."""

    code: str
    detail: str = ""


Outcome = Answer | NotRun | Unknown
