"""Defines what a process tells operators about itself.

The daemon encodes these as JSON at its operators' address; the command line
decodes them from there.
"""

from __future__ import annotations

from dataclasses import dataclass

from .data import Incarnation, MemberPhase, SliceId

__all__ = ["Alarm", "KnownVersion", "NodeStatus", "SliceStatus"]


@dataclass(frozen=True, slots=True)
class Alarm:
    """Names a condition that an operator should know of.

    Attributes:
        code: Stable code, listed in docs/OPERATING.md.
        detail: One sentence for people.
        since_s: Seconds for which the condition has held.
    """

    code: str
    detail: str = ""
    since_s: float = 0.0


@dataclass(frozen=True, slots=True)
class KnownVersion:
    """Gives the newest version of a platform object that a process knows."""

    key: str
    version: int


@dataclass(frozen=True, slots=True)
class NodeStatus:
    """Describes one process at one moment.

    Attributes:
        node: Stable name of the process.
        incarnation: Number of its present incarnation, 0 without one.
        service: Service that the upstream beside it serves.
        availability_zone: Availability zone of the VM.
        config_version: Version of the configuration in force here.
        operator_versions: Versions of the operators' objects in force here.
        lease_valid: Whether the process may own slices now.
        lease_left_s: Seconds until the lease lapses without renewal.
        phase: What new work the process may get.
        upstream_up: Whether the upstream takes requests.
        cold: Whether the upstream is in cold start.
        owned: Slices that the process owns.
        running: Requests at the upstream.
        queued: Requests that wait at the guard.
        limit: Requests allowed at the upstream now.
        platform_reachable: Whether the platform answered lately.
        suspects: Fingerprints of requests that may have crashed an upstream.
        alarms: Conditions that an operator should know of.
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
    """Says who owns a key's slice, as one process knows it.

    Attributes:
        slice: The slice that the key belongs to.
        version: Version of the slice's row.
        succession: The owner first, then its successors in order.
        retiring: Names of earlier versions that are not yet cleared.
        known_by: Process that gave this answer.
        owned_here: Whether that process holds the right to serve the slice.
        token: Fencing token of that right, 0 without one.
        lease_left_s: Seconds until that right lapses without renewal.
        reason: Why the slice is served there, or why it is not.
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
