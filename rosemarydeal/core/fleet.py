"""Immutable types of a deployment that runs on an operator's platform.

The adapter in `rosemarydeal.platform` builds these from what it reads; all
other packages know nothing but these. Times are seconds, moments are seconds
on the clock of `rosemarydeal.core.clock` unless a field says otherwise.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from .data import Address

__all__ = [
    "LAST_KEY",
    "Announcement",
    "Bounds",
    "CallerLimits",
    "Configuration",
    "Departure",
    "KeyRange",
    "Member",
    "NodeIdentity",
    "RangeTable",
    "Route",
    "Service",
    "StoredObject",
    "Suspicion",
    "UpstreamLoad",
    "WeightedService",
]

# Keys of a keyed service are whole numbers from 0 to this one.
LAST_KEY = 65_535


@dataclass(frozen=True, slots=True)
class Bounds:
    """Holds the promises of the deployment that processes plan with.

    Attributes:
        drain_s: Longest time that new work reaches an upstream that leaves.
        grace_s: Time between SIGTERM and SIGKILL.
        retry_ratio: Retries per request that the deployment allows.
        retry_slack: Retries that it allows beside that, in one window.
        retry_window_s: Length of the window for both.
        cold_burst_factor: Factor on a cold upstream's rate within one second.
        cold_slack: Requests that a cold upstream bears beside that.
        max_hold_s: Longest time that one grant of keys may run.
    """

    drain_s: float = 2.0
    grace_s: float = 6.0
    retry_ratio: float = 0.2
    retry_slack: float = 10.0
    retry_window_s: float = 10.0
    cold_burst_factor: float = 1.5
    cold_slack: float = 5.0
    max_hold_s: float = 10.0


@dataclass(frozen=True, slots=True)
class NodeIdentity:
    """Names a process, its place and the addresses it works with.

    Attributes:
        node: Name of the VM; a process that starts again keeps it.
        zone: Availability zone of the VM.
        zones: All availability zones of the deployment.
        service: Service of the upstream on this VM.
        upstream: Address of that upstream.
        callers: Address on which callers' requests arrive.
        readiness: Address on which the platform asks for readiness.
        announcements: Address on which the upstream announces itself.
        peer: Address for the links between processes.
        metrics: Address of the metrics page.
        store: Address of the platform's store.
        announce_period_s: Usual time between two announcements.
        bounds: Promises of the deployment.
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


@dataclass(frozen=True, slots=True)
class WeightedService:
    """Is one of the services that share a route's requests by weight."""

    service: str
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """Says which requests go to which services, and within which times.

    Attributes:
        name: Name of the route.
        host: Host that the requests name.
        prefix: Beginning of their path, with a slash at both ends.
        backends: Services that share the requests.
        idempotent: Whether a request may run more than once.
        attempts: Most upstreams that one request may reach.
        timeout_s: Longest time that a caller is kept waiting.
        target_s: Time within which an answer is worth most.
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
    """Says what the upstreams of a service bear.

    Attributes:
        name: Name of the service.
        health_path: Path of the health check.
        max_connections: Connections that one upstream accepts.
        cold_period_s: Time for which an upstream is cold after its start.
        cold_per_s: Requests a second that a cold upstream bears.
        keyed: Whether an upstream runs requests for keys that it owns only.
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
    """Limits what callers may send and how long they may take or stay idle."""

    header_bytes: int = 16_384
    body_bytes: int = 67_108_864
    header_time_s: float = 3.0
    idle_time_s: float = 15.0


@dataclass(frozen=True, slots=True)
class Configuration:
    """Is one version of what operators have set."""

    version: int
    routes: tuple[Route, ...]
    services: dict[str, Service]
    limits: CallerLimits


@dataclass(frozen=True, slots=True)
class Announcement:
    """Is what an upstream says of itself.

    Attributes:
        instance: Identity of the upstream's incarnation.
        born_ms: Start of the incarnation in Unix milliseconds.
        service: Service that it serves.
        address: Where it takes requests.
        zone: Availability zone that it runs in.
        slots: Requests that it runs at a time.
        draining: Whether it is about to leave.
        cold_left_s: Time for which it is still cold.
        sequence: Number that grows with each announcement of an incarnation.
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


@dataclass(frozen=True, slots=True)
class Departure:
    """Is an upstream's notice that it leaves the deployment."""

    instance: str
    born_ms: int | None


@dataclass(frozen=True, slots=True)
class UpstreamLoad:
    """Is what an upstream reports of its load with an answer.

    Attributes:
        running: Requests that run.
        waiting: Requests that wait in its own queue.
        slots: Requests that can run at a time.
        slowdown: Factor on the time that work takes now; 1.0 is normal.
    """

    running: int
    waiting: int
    slots: int
    slowdown: float = 1.0


@dataclass(frozen=True, slots=True)
class Member:
    """Is what a process publishes of itself and the upstream beside it.

    Attributes:
        node: Name of the VM.
        process: Number of the process's start, unique among its starts.
        peer: Where other processes reach it.
        zone: Availability zone of the VM.
        service: Service of the upstream.
        instance: Identity of the upstream, empty while there is none.
        born_ms: Start of the upstream in Unix milliseconds.
        slots: Requests that the upstream runs at a time.
        accepting: Whether the upstream takes new work.
        pace: Slowdown factor measured at the upstream's start; 1.0 is normal.
            Stored under this name.
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

    @property
    def weight(self) -> float:
        """Returns the work that the upstream can do, in usual slots."""
        return max(1, self.slots) / max(0.1, self.pace)

    @property
    def incarnation(self) -> str:
        """Returns the upstream's incarnation, new at each of its starts."""
        return f"{self.instance}@{self.born_ms}" if self.instance else ""


@dataclass(frozen=True, slots=True)
class KeyRange:
    """Assigns a range of keys, both ends included, to the upstream of a node.

    Attributes:
        first: First key.
        last: Last key.
        node: Node whose upstream owns the keys.
        incarnation: Incarnation of that upstream.
        token: Fencing token of the assignment; grows with each incarnation.
        handover: What the former owner gave for the next one, if anything.
    """

    first: int
    last: int
    node: str
    incarnation: str
    token: int
    handover: str = ""

    def __contains__(self, key: int) -> bool:
        """Tells whether the range has a key."""
        return self.first <= key <= self.last

    @property
    def width(self) -> int:
        """Returns the number of keys."""
        return self.last - self.first + 1


@dataclass(frozen=True, slots=True)
class Suspicion:
    """Records that a node's silence is being waited out.

    Attributes:
        node: Node that doesn't answer.
        by: Node that wrote the record.
        number: Number that tells this suspicion from earlier ones.
    """

    node: str
    by: str
    number: int


@dataclass(frozen=True, slots=True)
class RangeTable:
    """Assigns all keys of a service.

    Attributes:
        service: Name of the service.
        ranges: The ranges in order, without gap or overlap.
        top_token: Highest token given so far.
        suspicions: Nodes whose leases are being waited out.
        writer: Names the write that made this content, to recognise it.
    """

    service: str
    ranges: tuple[KeyRange, ...]
    top_token: int
    suspicions: tuple[Suspicion, ...] = ()
    writer: str = ""


@dataclass(frozen=True, slots=True)
class StoredObject:
    """Is an object of the store.

    Attributes:
        kind: Kind of the object.
        name: Name within the kind.
        revision: Revision of the store at which the object changed last.
        content: Decoded content; None for a deleted object.
        unreadable: Why the content could not be read, empty if it could.
    """

    kind: str
    name: str
    revision: int
    content: object = field(default=None)
    unreadable: str = ""
