"""Immutable types of a deployment that runs on an operator's platform.

The adapter in `rosemarydeal.platform` builds them from the platform's formats; all
other packages use only these types. Durations are in seconds, and points in time
are seconds of the clock in `rosemarydeal.core.clock`, unless a field says otherwise.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum, auto
from typing import NamedTuple

from .data import Address
from .decoding import Integer64

__all__ = [
    "LAST_KEY",
    "NO_REVISION",
    "Announcement",
    "Bounds",
    "CallerLimits",
    "Configuration",
    "Departure",
    "GrantCarrier",
    "GrantStatement",
    "HeldKeys",
    "KeyRange",
    "Member",
    "NodeIdentity",
    "ObjectOrigin",
    "RangeTable",
    "ReleasedKeys",
    "Revision",
    "Route",
    "Service",
    "StoredObject",
    "Suspicion",
    "UpstreamLoad",
    "WeightedService",
]

# Keys of a keyed service are integers from 0 to this one.
LAST_KEY = 65_535


class Revision(NamedTuple):
    """Position in the history of the store, in the order of its changes.

    A store that was restored from a copy has lost its latest changes and gives their
    revision numbers out again, in a higher era.

    Attributes:
        era: Number of the restore.
        number: The store's revision within the era.
    """

    era: int
    number: int


# Before all changes.
NO_REVISION = Revision(0, 0)
# Era of a store that was never restored.
FIRST_ERA = 1


@dataclass(frozen=True, slots=True)
class Bounds:
    """Guarantees of the deployment that processes rely on.

    Attributes:
        drain_s: Longest time for which new work reaches a leaving upstream.
        grace_s: Time between SIGTERM and SIGKILL.
        retry_ratio: Allowed retries per request.
        retry_slack: Retries allowed in a window in addition to the ratio.
        retry_window_s: Length of the window for both.
        cold_burst_factor: Factor on a cold upstream's rate within one second.
        cold_slack: Requests that a cold upstream accepts in addition to that.
        max_hold_s: Longest duration of one grant of keys.
    """

    drain_s: float = 2.0
    grace_s: float = 6.0
    retry_ratio: float = 0.2
    retry_slack: float = 10.0
    retry_window_s: float = 10.0
    cold_burst_factor: float = 1.5
    cold_slack: float = 5.0
    max_hold_s: float = 10.0


class GrantCarrier(Enum):
    """How grants of keys reach an upstream.

    Attributes:
        CALL: The process calls the upstream.
        HEARTBEAT: The answers to the upstream's announcements state its keys.
    """

    CALL = auto()
    HEARTBEAT = auto()


# That of the smallest VM.
DEFAULT_MEMORY_BYTES = 200 * 1000 * 1000


@dataclass(frozen=True, slots=True)
class NodeIdentity:
    """Identity of a process, its location and the addresses that it uses.

    Attributes:
        node: Name of the VM; a restarted process keeps it.
        zone: Availability zone of the VM.
        zones: All availability zones of the deployment.
        service: Service of the upstream on this VM.
        upstream: Address of that upstream.
        callers: Listening address for callers' requests.
        readiness: Listening address for the platform's readiness checks.
        announcements: Listening address for the upstream's announcements.
        peer: Listening address for links of other processes.
        metrics: Listening address of the metrics page.
        store: Address of the platform's store.
        announce_period_s: Normal time between two announcements.
        bounds: Guarantees of the deployment.
        grant_carrier: How grants reach the upstream.
        memory_bytes: Memory above which the platform kills the process.
        first_start: Whether the whole deployment starts for the first time, so that
            nothing has been written to the store before.
    """

    node: str
    zone: str
    zones: tuple[str, ...]
    service: str
    upstream: Address
    callers: Address
    readiness: Address
    announcements: Address
    peer: Address
    metrics: Address
    store: Address
    announce_period_s: float
    bounds: Bounds
    grant_carrier: GrantCarrier = GrantCarrier.CALL
    memory_bytes: int = DEFAULT_MEMORY_BYTES
    first_start: bool = False


@dataclass(frozen=True, slots=True)
class WeightedService:
    """One of the services that share a route's requests by weight."""

    service: str
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """Rule that assigns requests to services, with their time limits.

    Attributes:
        name: Name of the route.
        host: Host of the requests.
        prefix: Prefix of their path, with a slash at both ends.
        backends: Services that share the requests.
        idempotent: Whether a request may run more than once.
        attempts: Maximum number of upstreams that one request may reach.
        timeout_s: Longest time that a caller waits.
        target_s: Latency target; later answers are worth less.
        priority: Rank; 0 is the most urgent.
    """

    name: str
    host: str
    prefix: str
    backends: tuple[WeightedService, ...]
    idempotent: bool
    attempts: int
    timeout_s: float
    target_s: float
    priority: int


@dataclass(frozen=True, slots=True)
class Service:
    """Service, and the limits of its upstreams.

    Attributes:
        name: Name of the service.
        health_path: Path of the health check.
        max_connections: Connections that one upstream accepts.
        cold_period_s: Time for which an upstream is cold after its start.
        cold_per_s: Requests per second that a cold upstream can take.
        keyed: Whether an upstream runs only requests for keys that it owns.
        warmup_s: Time for which keys are slow after a move without hand-over.
    """

    name: str
    health_path: str
    max_connections: int
    cold_period_s: float
    cold_per_s: float
    keyed: bool
    warmup_s: float


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """Limits on callers: message sizes, time for a header, idle time."""

    header_bytes: int = 16_384
    body_bytes: int = 67_108_864
    header_time_s: float = 3.0
    idle_time_s: float = 15.0


@dataclass(frozen=True, slots=True)
class Configuration:
    """One version of the operators' configuration."""

    version: int
    routes: tuple[Route, ...]
    services: dict[str, Service]
    limits: CallerLimits


@dataclass(frozen=True, slots=True)
class HeldKeys:
    """Keys, both ends included, that an upstream holds or still works on."""

    first: int
    last: int
    token: int


@dataclass(frozen=True, slots=True)
class ReleasedKeys:
    """Keys, both ends included, that an upstream has released.

    Attributes:
        first: First key.
        last: Last key.
        handover: Hand-over token that saves the next owner the warm-up.
    """

    first: int
    last: int
    handover: str


@dataclass(frozen=True, slots=True)
class Announcement:
    """Periodic announcement of an upstream about itself.

    Attributes:
        instance: Identity of the upstream's incarnation.
        born_ms: Start of the incarnation in Unix milliseconds.
        service: Service of the upstream.
        address: Address for requests.
        zone: Availability zone of the upstream.
        slots: Requests that it can run concurrently.
        draining: Whether it is about to leave.
        cold_left_s: Remaining time for which it is cold.
        sequence: Sequence number within the incarnation, increasing.
        holds: Keys that it holds; None if it does not report them.
        released: Keys released since its last acknowledged announcement.
    """

    instance: str
    born_ms: int
    service: str
    address: Address
    zone: str
    slots: int
    draining: bool
    cold_left_s: float
    sequence: int
    holds: tuple[HeldKeys, ...] | None = None
    released: tuple[ReleasedKeys, ...] = ()

    @property
    def incarnation(self) -> str:
        """Identifier of the incarnation."""
        return f"{self.instance}@{self.born_ms}"


@dataclass(frozen=True, slots=True)
class Departure:
    """Notice of an upstream that it leaves the deployment."""

    instance: str
    born_ms: int | None

    @property
    def incarnation(self) -> str:
        """Returns the identifier of the incarnation, if its start is stated."""
        return f"{self.instance}@{self.born_ms}"

    def is_from(self, incarnation: str) -> bool:
        """Returns whether it may come from an incarnation."""
        if self.born_ms is None:
            return incarnation.rpartition("@")[0] == self.instance
        return incarnation == self.incarnation


@dataclass(frozen=True, slots=True)
class UpstreamLoad:
    """Load that an upstream reports with an answer.

    Attributes:
        running: Running requests.
        waiting: Requests in the upstream's own queue.
        slots: Requests that it can run concurrently.
        slowdown: Current factor on the time that work takes; 1.0 is normal.
    """

    running: int
    waiting: int
    slots: int
    slowdown: float = 1.0


@dataclass(frozen=True, slots=True)
class Member:
    """Record that a process publishes about itself and its local upstream.

    Attributes:
        node: Name of the VM.
        process: Identifier of the process's start, unique among its starts.
        peer: Address for links of other processes.
        zone: Availability zone of the VM.
        service: Service of the upstream.
        instance: Identity of the upstream, empty if there is none.
        born_ms: Start of the upstream in Unix milliseconds.
        slots: Requests that the upstream can run concurrently.
        accepting: Whether the upstream takes new work.
        pace: Slowdown factor measured at the upstream's start; 1.0 is normal.
            Stored under this name.
        leaving: Whether the upstream has said that it leaves.
        renewals: How often it was written again because another member named its
            address.
        ended: Whether its process has stated that it grants no keys any more, and
            that its upstream holds none.
    """

    node: str
    process: str
    peer: Address
    zone: str
    service: str
    instance: str = ""
    born_ms: int = 0
    slots: int = 0
    accepting: bool = False
    pace: float = 1.0
    leaving: bool = False
    renewals: int = 0
    ended: bool = False

    @property
    def weight(self) -> float:
        """Capacity of the upstream, in slots of normal speed."""
        return max(1, self.slots) / max(0.1, self.pace)

    @property
    def incarnation(self) -> str:
        """Identifier of the upstream's incarnation, new at each of its starts."""
        return f"{self.instance}@{self.born_ms}" if self.instance else ""


@dataclass(frozen=True, slots=True)
class KeyRange:
    """Range of keys, both ends included, that the upstream of a node owns.

    Attributes:
        first: First key.
        last: Last key.
        node: Node whose upstream owns the keys.
        incarnation: Incarnation of that upstream.
        token: Fencing token of the assignment; grows with each new incarnation.
        handover: Hand-over data from the former owner, or empty.
    """

    first: int
    last: int
    node: str
    incarnation: str
    token: int
    handover: str = ""

    def __contains__(self, key: int) -> bool:
        """Returns whether the range includes a key."""
        return self.first <= key <= self.last

    @property
    def width(self) -> int:
        """Number of keys."""
        return self.last - self.first + 1


@dataclass(frozen=True, slots=True)
class GrantStatement:
    """All keys that an upstream is to hold, sent as the answer to an announcement.

    Attributes:
        ranges: The ranges; the upstream releases all others.
        hold_s: Time for which it holds them, from when it sent the announcement.
    """

    ranges: tuple[KeyRange, ...]
    hold_s: float


@dataclass(frozen=True, slots=True)
class Suspicion:
    """Record that a node is unresponsive; its keys move once its lease has expired.

    Attributes:
        node: Node that doesn't answer.
        by: Node that wrote the record.
        number: Number that distinguishes it from earlier suspicions.
    """

    node: str
    by: str
    number: Integer64


@dataclass(frozen=True, slots=True)
class RangeTable:
    """Assignment of all keys of a service.

    Attributes:
        service: Name of the service.
        ranges: The ranges in order, without gap or overlap.
        top_token: Highest token issued so far.
        suspicions: Unresponsive nodes; their keys move once their leases expire.
        writer: Identifier of the write that produced this content, to recognise it.
        era: Era of the store in which it was written. In a later era it is the
            content of a copy, which later changes may be missing from.
        restored_token: Token of the assignments that were restored in this era from
            the records of a process; 0 if there are none, or once the leases of the
            former era have expired.
        base: Number of the revision that it was written over, 0 if it is not known.
    """

    service: str
    ranges: tuple[KeyRange, ...]
    top_token: int
    suspicions: tuple[Suspicion, ...] = ()
    writer: str = ""
    era: int = 0
    restored_token: int = 0
    base: int = 0


class ObjectOrigin(Enum):
    """From where a process has an object.

    Attributes:
        STORE: A read or a listing of the store by this process.
        WATCH: A watch of the store by this process.
        WRITE: This process wrote it.
        RELAYED: A peer called the store on behalf of this process.
        PEER_OBJECT: The peer that wrote it sent it.
        PEER_DELTA: The peer that wrote it sent the difference from its base.
        PEER_CHANGES: The reader of the zone sent the changes of its watch.
        PEER_LISTING: A peer sent all objects of the kind.
    """

    STORE = "store"
    WATCH = "watch"
    WRITE = "write"
    RELAYED = "relayed"
    PEER_OBJECT = "peer-object"
    PEER_DELTA = "peer-delta"
    PEER_CHANGES = "peer-changes"
    PEER_LISTING = "peer-listing"


@dataclass(frozen=True, slots=True)
class StoredObject:
    """Object of the store.

    Attributes:
        kind: Kind of the object.
        name: Name within the kind.
        revision: Store revision of the object's last change, in the era of the
            answer that contained it.
        content: Decoded content; None for a deleted object.
        unreadable: Reason why the content could not be read, or empty.
    """

    kind: str
    name: str
    revision: Revision
    content: object = field(default=None)
    unreadable: str = ""
