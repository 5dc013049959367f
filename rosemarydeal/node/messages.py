"""Messages between processes, and their frames.

A frame is the length of a message in four bytes and the message in MessagePack.
The processes use plain TCP and not ZeroMQ, because a truthful *not run* needs to
know whether a message has left, and a request that was sent must be given up at
once when its connection breaks; ZeroMQ hides both.
"""

from __future__ import annotations

import msgspec

from rosemarydeal.core.fleet import KeyRange, RangeTable, Suspicion, UpstreamLoad
from rosemarydeal.core.requests import (
    Answered,
    NotServed,
    OutcomeUnknown,
    RequestOutcome,
    RoutedRequest,
)
from rosemarydeal.policy.keyranges import table as tables

__all__ = [
    "SuspectCleared",
    "AnswerReply",
    "RunRequest",
    "CrashSuspects",
    "FetchObjects",
    "Hello",
    "Leaving",
    "Message",
    "NotServedReply",
    "ObjectUpdate",
    "ObjectState",
    "ObjectListing",
    "Ping",
    "Pong",
    "Reply",
    "StoreRelayReply",
    "StoreRelayRequest",
    "TableDelta",
    "OutcomeUnknownReply",
    "CancelRequest",
    "decode",
    "encode",
    "reply_of",
]

HEADER_BYTES = 4
MAX_MESSAGE_BYTES = 80 * 1024 * 1024


class _Base(msgspec.Struct, frozen=True, array_like=True):
    """Is the base of all messages: fields in order, without names."""


class Hello(_Base, tag=1):
    """Opens a link, names the process that opened it and the node it means.

    An address may belong to another node by now, which then cuts the link.
    """

    node: str
    process: str
    intended_node: str


class RoutedRequestFields(_Base):
    """Holds the fields of a `RoutedRequest` without names, to save bytes."""

    request_id: str
    method: bytes
    target: bytes
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes
    caller_service: str
    service: str
    route: str
    key: int | None
    idempotent: bool
    priority: int
    target_s: float
    time_left_s: float


class RunRequest(_Base, tag=2):
    """Sends a request to the peer whose upstream is to run it."""

    number: int
    request: RoutedRequestFields

    @classmethod
    def of(cls, number: int, request: RoutedRequest) -> RunRequest:
        """Builds the message for a request."""
        fields = (getattr(request, name) for name in RoutedRequest.__slots__)
        return cls(number, RoutedRequestFields(*fields))

    def read(self) -> RoutedRequest:
        """Returns the request."""
        names = RoutedRequest.__slots__
        return RoutedRequest(*(getattr(self.request, name) for name in names))


class CancelRequest(_Base, tag=3):
    """Says that nobody waits for the answer any more."""

    number: int


class AnswerReply(_Base, tag=4):
    """Ends an asked request with the upstream's answer."""

    number: int
    status: int
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes
    slowdown_percent: int

    @classmethod
    def of(cls, number: int, answer: Answered) -> AnswerReply:
        """Builds the reply for an answer."""
        load = answer.load
        slowdown = round(100 * load.slowdown) if load is not None else 0
        return cls(number, answer.status, answer.headers, answer.body, slowdown)

    def read(self) -> Answered:
        """Returns the answer; of its load only the slowdown is passed on."""
        load = None
        if self.slowdown_percent:
            load = UpstreamLoad(0, 0, 0, self.slowdown_percent / 100.0)
        return Answered(self.status, self.headers, self.body, load)


class NotServedReply(_Base, tag=5):
    """Ends an asked request that has not run and never will."""

    number: int
    outcome: NotServed


class OutcomeUnknownReply(_Base, tag=6):
    """Ends an asked request that may have run."""

    number: int
    outcome: OutcomeUnknown


class Ping(_Base, tag=7):
    """Asks whether the peer lives; tells which changes the sender knows."""

    known_revisions: tuple[int, ...]


class Pong(_Base, tag=8):
    """Answers a ping; tells the load and which changes the sender knows."""

    known_revisions: tuple[int, ...]
    running: int
    waiting: int
    slots: int
    demand_percent: int
    slowdown_percent: int


class FetchObjects(_Base, tag=9):
    """Asks for all objects of a kind."""

    kind: str


class ObjectState(_Base):
    """Is an object as the store holds it; no content where it is deleted."""

    name: str
    revision: int
    content: bytes | None


class ObjectListing(_Base, tag=10):
    """Gives all objects of a kind, as they were at a revision of the store."""

    kind: str
    revision: int
    last_change: int
    objects: tuple[ObjectState, ...]


class ObjectUpdate(_Base, tag=11):
    """Gives one object that has changed."""

    kind: str
    state: ObjectState


class CrashSuspects(_Base, tag=12):
    """Names the requests that ran when an upstream crashed."""

    fingerprints: tuple[str, ...]


class SuspectCleared(_Base, tag=17):
    """Names a request that was blamed for a crash and has succeeded since."""

    fingerprint: str


class Leaving(_Base, tag=13):
    """Says that the process is about to end."""

    node: str


class StoreRelayRequest(_Base, tag=14):
    """Asks the peer to call the store for a process that it turns away.

    Without content it reads an object; with content it writes one that is still
    at the revision, or creates it where the revision is 0.
    """

    number: int
    kind: str
    name: str
    content: bytes | None = None
    revision: int = 0


class StoreRelayReply(_Base, tag=15):
    """Gives the object as the store held it after the call.

    `done` is false for a write that met another revision.
    """

    number: int
    kind: str
    state: ObjectState | None
    done: bool = True


class RangeFields(_Base):
    """Holds the fields of a `KeyRange` without their names, to save bytes."""

    first: int
    last: int
    node: str
    incarnation: str
    token: int
    handover: str


class TableDelta(_Base, tag=16):
    """Tells how a table differs from the one at a revision before.

    A table of a large fleet is too long to be sent to all for each change.
    """

    service: str
    base_revision: int
    revision: int
    ranges: tuple[RangeFields, ...]
    top_token: int
    suspicions: tuple[Suspicion, ...]
    writer: str

    @classmethod
    def of(
        cls, base_revision: int, revision: int, old: RangeTable, new: RangeTable
    ) -> TableDelta:
        """Builds the message for two tables and their revisions."""
        names = KeyRange.__slots__
        ranges = tuple(
            RangeFields(*(getattr(keys, name) for name in names))
            for keys in tables.new_ranges(old, new)
        )
        service, token = new.service, new.top_token
        return cls(
            service, base_revision, revision, ranges, token, new.suspicions, new.writer
        )

    def apply(self, old: RangeTable) -> RangeTable:
        """Returns the new table."""
        names = KeyRange.__slots__
        ranges = [KeyRange(*(getattr(f, name) for name in names)) for f in self.ranges]
        return tables.apply_delta(
            old, ranges, self.top_token, self.suspicions, self.writer
        )


Message = (
    Hello
    | RunRequest
    | CancelRequest
    | AnswerReply
    | NotServedReply
    | OutcomeUnknownReply
    | Ping
    | Pong
    | FetchObjects
    | ObjectListing
    | ObjectUpdate
    | CrashSuspects
    | Leaving
    | StoreRelayRequest
    | StoreRelayReply
    | TableDelta
    | SuspectCleared
)
Reply = AnswerReply | NotServedReply | OutcomeUnknownReply

_DECODER = msgspec.msgpack.Decoder(Message)
_ENCODER = msgspec.msgpack.Encoder()


def encode(message: Message) -> bytes:
    """Returns the frame of a message."""
    body = _ENCODER.encode(message)
    return len(body).to_bytes(HEADER_BYTES, "big") + body


def decode(body: bytes) -> Message:
    """Returns the message of a frame's body.

    Raises:
        msgspec.MsgspecError: If the body is no message.
    """
    return _DECODER.decode(body)


def reply_of(number: int, outcome: RequestOutcome) -> Reply:
    """Builds the reply to a request with its outcome."""
    match outcome:
        case NotServed():
            return NotServedReply(number, outcome)
        case OutcomeUnknown():
            return OutcomeUnknownReply(number, outcome)
        case _:
            return AnswerReply.of(number, outcome)
