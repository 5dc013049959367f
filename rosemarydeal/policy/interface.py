"""Defines the events and actions between the ownership policy and its driver.

A driver (the daemon, the fuzzing, a bench) feeds events in with the time and
carries out the actions that come back; it decides nothing itself.
"""

from __future__ import annotations

from dataclasses import dataclass

from rosemarydeal.core import Chunk, Member, SliceId
from rosemarydeal.core.messages import Message

__all__ = [
    "Action",
    "ChunkRead",
    "DrainRequested",
    "Event",
    "IncarnationLost",
    "LeaveRequested",
    "MemberRead",
    "MessageReceived",
    "NodeSuspected",
    "OwnershipGained",
    "OwnershipLost",
    "Send",
    "SliceIdle",
    "StopAdmitting",
    "Tick",
    "UpstreamDied",
    "UpstreamReady",
    "WriteChunk",
    "WriteConflicted",
    "WriteFailed",
    "WriteMember",
    "WriteSucceeded",
]


@dataclass(frozen=True, slots=True)
class Tick:
    """Says that time has passed; sent several times a second."""


@dataclass(frozen=True, slots=True)
class MessageReceived:
    """Delivers a message from another process."""

    sender: str
    message: Message


@dataclass(frozen=True, slots=True)
class MemberRead:
    """Delivers a member object as read from the platform or a peer."""

    version: int
    member: Member


@dataclass(frozen=True, slots=True)
class ChunkRead:
    """Delivers a chunk object as read from the platform or a peer."""

    version: int
    chunk: Chunk


@dataclass(frozen=True, slots=True)
class WriteSucceeded:
    """Says that a conditional update took effect as the given version."""

    change_id: str
    version: int


@dataclass(frozen=True, slots=True)
class WriteConflicted:
    """Says that another write came first; the current object follows as read."""

    change_id: str


@dataclass(frozen=True, slots=True)
class WriteFailed:
    """Says that a write certainly did not take effect, or can't be known.

    The platform client reads back by change id first, so `outcome_known` is false
    only while the platform can't be reached.
    """

    change_id: str
    outcome_known: bool


@dataclass(frozen=True, slots=True)
class UpstreamReady:
    """Says that the upstream announced itself and takes requests."""


@dataclass(frozen=True, slots=True)
class UpstreamDied:
    """Says that the upstream beside the process is gone."""


@dataclass(frozen=True, slots=True)
class DrainRequested:
    """Says that the process is to hand over all that it owns."""


@dataclass(frozen=True, slots=True)
class LeaveRequested:
    """Says that the process is about to end and holds nothing any more."""


@dataclass(frozen=True, slots=True)
class SliceIdle:
    """Says that no request of a slice runs any more after `StopAdmitting`.

    For a carved slice this covers every request of its key, also one admitted
    under the base slice before the key was carved out.
    """

    slice: SliceId


@dataclass(frozen=True, slots=True)
class NodeSuspected:
    """Says that a node did not answer, so that its lease is worth probing."""

    node: str


Event = (
    Tick
    | MessageReceived
    | MemberRead
    | ChunkRead
    | WriteSucceeded
    | WriteConflicted
    | WriteFailed
    | UpstreamReady
    | UpstreamDied
    | DrainRequested
    | LeaveRequested
    | SliceIdle
    | NodeSuspected
)


@dataclass(frozen=True, slots=True)
class Send:
    """Sends a message to a node; it may get lost."""

    to: str
    message: Message


@dataclass(frozen=True, slots=True)
class WriteMember:
    """Updates a member object if its version is still the expected one."""

    member: Member
    expected_version: int
    change_id: str


@dataclass(frozen=True, slots=True)
class WriteChunk:
    """Updates a chunk object if its version is still the expected one."""

    chunk: Chunk
    expected_version: int
    change_id: str


@dataclass(frozen=True, slots=True)
class StopAdmitting:
    """Tells the guard to admit no request of a slice and report it idle."""

    slice: SliceId


@dataclass(frozen=True, slots=True)
class OwnershipGained:
    """Tells the guard that it may serve a slice, with the fencing token.

    Attributes:
        slice: The slice that may be served.
        token: Fencing token; greater than any earlier owner's.
        after_token: Token of the owner that released the slice by message
            right before, -1 when it lapsed or is not known.
    """

    slice: SliceId
    token: int
    after_token: int = -1


@dataclass(frozen=True, slots=True)
class OwnershipLost:
    """Tells the guard that it may not serve a slice any more."""

    slice: SliceId


@dataclass(frozen=True, slots=True)
class IncarnationLost:
    """Tells the driver that the incarnation lapsed and a new one is sought."""


Action = (
    Send
    | WriteMember
    | WriteChunk
    | StopAdmitting
    | OwnershipGained
    | OwnershipLost
    | IncarnationLost
)
