"""Holds the plain immutable types that all stages pass along.

The types carry no behaviour beyond small derived properties, so that every
package can depend on them without depending on each other.
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
"""Fencing tokens kept for the ranks within one version of a row."""


@dataclass(frozen=True, slots=True, order=True)
class Address:
    """Names a TCP or UDP endpoint by IP number and port."""

    host: str
    port: int

    def __str__(self) -> str:
        """Returns the usual `host:port` form."""
        return f"{self.host}:{self.port}"


@dataclass(frozen=True, slots=True, order=True)
class Place:
    """Names where an upstream runs, from the widest place to the narrowest."""

    region: str
    availability_zone: str
    upstream: str = ""


@dataclass(frozen=True, slots=True, order=True)
class Incarnation:
    """Names one life of a process; a number is never used twice by a node."""

    node: str
    number: int

    def __str__(self) -> str:
        """Returns the `node#number` form used in logs."""
        return f"{self.node}#{self.number}"


class MemberPhase(StrEnum):
    """Says what new work a member may get."""

    UP = "up"
    DRAINING = "draining"
    LOST = "lost"
    GONE = "gone"


@dataclass(frozen=True, slots=True)
class Member:
    """Announces one process and its upstream; one platform object each.

    Attributes:
        incarnation: The life of the process that the record speaks for.
        witnesses: Nodes that vouch for this incarnation; never changes within
            it. Without any the member may vouch for others but own nothing.
        service: Service that the upstream serves.
        place: Region, availability zone and upstream name.
        peer: Address of the process for messages between processes.
        entry_host: IP number on which callers reach the process.
        admin: Address of the process for operators and metrics.
        public_key: CURVE public key of the process, in Z85.
        phase: What new work the member may get.
        slots: Requests that the upstream runs at a time.
        life: Unique id of the process's life that announced the incarnation.
        change_id: Unique id of the write that made this content.
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
    """Names a slice of a service's keys.

    Attributes:
        service: Service the slice belongs to.
        index: Position among the service's fixed number of slices.
        carved: Hash of the one key in a carved-out slice, else -1.
    """

    service: str
    index: int
    carved: int = -1


@dataclass(frozen=True, slots=True)
class Row:
    """Records who owns a slice and who follows.

    Attributes:
        slice: The slice the row is about.
        version: Grows by one with each change of owner or successors.
        succession: The owner first, then its successors in order.
        retiring: Names of earlier versions that are not yet cleared.
    """

    slice: SliceId
    version: int
    succession: tuple[Incarnation, ...]
    retiring: tuple[Incarnation, ...] = ()

    @property
    def owner(self) -> Incarnation | None:
        """Returns the incarnation the row names first, if any."""
        return self.succession[0] if self.succession else None


@dataclass(frozen=True, slots=True)
class WitnessSet:
    """Tells the witnesses of an incarnation that rows of a chunk name."""

    incarnation: Incarnation
    witnesses: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Chunk:
    """Groups the rows of neighbouring slices in one platform object.

    Attributes:
        service: Service whose slices the chunk holds.
        number: Position of the chunk within the service.
        rows: The rows, base slices and carved ones, sorted by slice.
        holders: Witnesses of each incarnation that a row names.
        change_id: Unique id of the write that made this content.
    """

    service: str
    number: int
    rows: tuple[Row, ...]
    holders: tuple[WitnessSet, ...] = ()
    change_id: str = ""


@dataclass(frozen=True, slots=True)
class Versioned:
    """Pairs a platform object's content with its version (0: does not exist)."""

    key: str
    version: int
    value: bytes


@dataclass(frozen=True, slots=True)
class SliceOwnership:
    """Permits to dispatch requests of one slice until a moment.

    Attributes:
        slice: The slice whose requests may be dispatched.
        token: Fencing token; a later owner's is always greater.
        valid_until: Moment on the suspend-counting clock, in seconds.
    """

    slice: SliceId
    token: int
    valid_until: float


@dataclass(frozen=True, slots=True)
class Answer:
    """Says that the request ran once and gives its whole answer."""

    status: int
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes


@dataclass(frozen=True, slots=True)
class NotRun:
    """Says truthfully that the request did not run; sending again is safe."""

    code: str
    detail: str = ""
    retry_after: float = 0.0


@dataclass(frozen=True, slots=True)
class Unknown:
    """Says that the request may have run; nobody may repeat it blindly."""

    code: str
    detail: str = ""


Outcome = Answer | NotRun | Unknown
