"""Status that a process reports to operators.

The daemon serves these types as JSON at its operators' address, and the command
line decodes them.
"""

from __future__ import annotations

from dataclasses import dataclass

from .data import Incarnation, MemberPhase, SliceId

__all__ = ["Alarm", "KnownVersion", "NodeStatus", "SliceStatus"]


@dataclass(frozen=True, slots=True)
class Alarm:
    """Condition that needs an operator's attention.

    Attributes:
        code: Stable code, listed in docs/OPERATING.md.
        detail: Description in one sentence.
        since_s: Seconds for which the condition has held.
    """

    code: str
    detail: str = ""
    since_s: float = 0.0


@dataclass(frozen=True, slots=True)
class KnownVersion:
    """Newest version of a platform object that a process has received."""

    key: str
    version: int


@dataclass(frozen=True, slots=True)
class NodeStatus:
    """State of one process at one moment.

    Attributes:
        node: Stable name of the process.
        incarnation: Number of its current incarnation, 0 without one.
        service: Service of its upstream.
        availability_zone: Availability zone of the VM.
        config_version: Version of the configuration in force.
        operator_versions: Versions of the operators' objects in force.
        lease_valid: Whether the process holds a valid lease, which it needs to
            own slices.
        lease_left_s: Seconds until the lease expires unless it is renewed.
        phase: Whether the process may get new work.
        upstream_up: Whether the upstream accepts requests.
        cold: Whether the upstream is in cold start.
        owned: Slices that the process owns.
        running: Requests at the upstream.
        queued: Requests in the guard's queue.
        limit: Requests that the guard currently allows at the upstream.
        platform_reachable: Whether the platform answered recently.
        suspects: Fingerprints of requests that may have crashed an upstream.
        alarms: Conditions that need an operator's attention.
    """

    node: str
    incarnation: int = 0
    service: str = ""
    availability_zone: str = ""
    config_version: int = 0
    operator_versions: tuple[KnownVersion, ...] = ()
    lease_valid: bool = False
    lease_left_s: float = 0.0
    phase: MemberPhase = MemberPhase.UP
    upstream_up: bool = False
    cold: bool = False
    owned: int = 0
    running: int = 0
    queued: int = 0
    limit: int = 0
    platform_reachable: bool = False
    suspects: tuple[int, ...] = ()
    alarms: tuple[Alarm, ...] = ()


@dataclass(frozen=True, slots=True)
class SliceStatus:
    """Ownership of a key's slice as reported by one process.

    Attributes:
        slice: The slice that the key belongs to.
        version: Version of the slice's row.
        succession: The owner, then its successors in order.
        retiring: Incarnations that may still own the slice under an older row.
        known_by: The reporting process.
        owned_here: Whether that process owns the slice.
        token: Fencing token of that ownership, 0 without one.
        lease_left_s: Seconds until that ownership expires unless its lease is
            renewed.
        reason: Why the process serves the slice, or why it does not.
    """

    slice: SliceId
    version: int = 0
    succession: tuple[Incarnation, ...] = ()
    retiring: tuple[Incarnation, ...] = ()
    known_by: str = ""
    owned_here: bool = False
    token: int = 0
    lease_left_s: float = 0.0
    reason: str = ""
