"""Events and actions exchanged by the ownership policy and its driver.

The driver (the daemon, the fuzzer or a benchmark) passes each event to the policy
with the current time and executes the returned actions; all decisions are made
in the policy.
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
    """Passage of time; sent several times a second."""


@dataclass(frozen=True, slots=True)
class MessageReceived:
    """A message was received from another process."""

    sender: str
    message: Message


@dataclass(frozen=True, slots=True)
class MemberRead:
    """A member object was read from the platform or received from a peer."""

    version: int
    member: Member


@dataclass(frozen=True, slots=True)
class ChunkRead:
    """A chunk object was read from the platform or received from a peer."""

    version: int
    chunk: Chunk


@dataclass(frozen=True, slots=True)
class WriteSucceeded:
    """A conditional update took effect and produced the given version."""

    change_id: str
    version: int


@dataclass(frozen=True, slots=True)
class WriteConflicted:
    """Another write came first; an event with the current object follows."""

    change_id: str


@dataclass(frozen=True, slots=True)
class WriteFailed:
    """A write did not take effect, or its outcome is unknown.

    The platform client first looks the change id up, so `outcome_known` is false
    only while the platform can't be reached.
    """

    change_id: str
    outcome_known: bool


@dataclass(frozen=True, slots=True)
class UpstreamReady:
    """The upstream announced itself and accepts requests."""


@dataclass(frozen=True, slots=True)
class UpstreamDied:
    """The upstream of the process is gone."""


@dataclass(frozen=True, slots=True)
class DrainRequested:
    """The process must hand over all slices that it owns."""


@dataclass(frozen=True, slots=True)
class LeaveRequested:
    """The process is about to exit and no longer owns slices."""


@dataclass(frozen=True, slots=True)
class SliceIdle:
    """After `StopAdmitting`, the last request of a slice has ended.

    For a carved slice this includes requests of its key that were admitted under
    the base slice before the key was carved out.
    """

    slice: SliceId


@dataclass(frozen=True, slots=True)
class NodeSuspected:
    """A node did not answer; its lease should be probed."""

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
    """Sends a message to a node; delivery is not guaranteed."""

    to: str
    message: Message


@dataclass(frozen=True, slots=True)
class WriteMember:
    """Updates a member object if its version is still `expected_version`."""

    member: Member
    expected_version: int
    change_id: str


@dataclass(frozen=True, slots=True)
class WriteChunk:
    """Updates a chunk object if its version is still `expected_version`."""

    chunk: Chunk
    expected_version: int
    change_id: str


@dataclass(frozen=True, slots=True)
class StopAdmitting:
    """Makes the guard admit no more requests of a slice and report it idle."""

    slice: SliceId


@dataclass(frozen=True, slots=True)
class OwnershipGained:
    """Allows the guard to serve a slice.

    Attributes:
        slice: The slice.
        token: Fencing token; greater than any earlier owner's.
        after_token: Token of the previous owner if it released the slice by
            message, -1 if its lease expired or the token is unknown.
    """

    slice: SliceId
    token: int
    after_token: int = -1


@dataclass(frozen=True, slots=True)
class OwnershipLost:
    """Forbids the guard to serve a slice any longer."""

    slice: SliceId


@dataclass(frozen=True, slots=True)
class IncarnationLost:
    """Reports that the incarnation's lease expired and a new one is requested."""


Action = (
    Send
    | WriteMember
    | WriteChunk
    | StopAdmitting
    | OwnershipGained
    | OwnershipLost
    | IncarnationLost
)
