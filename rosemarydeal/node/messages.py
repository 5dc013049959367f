"""Messages between processes, and their framing.

A frame is the length of a message in four bytes and the message in MessagePack.
The processes use plain TCP instead of ZeroMQ, which hides whether a message was
sent and when a connection breaks. The first is needed to report *not run*
correctly, the second to give up a sent request at once.
"""

from __future__ import annotations

import msgspec

from rosemarydeal.core.decoding import Malformed
from rosemarydeal.core.fleet import (
    NO_REVISION,
    KeyRange,
    RangeTable,
    Revision,
    Suspicion,
    UpstreamLoad,
)
from rosemarydeal.core.requests import (
    Answered,
    NotServed,
    OutcomeUnknown,
    RequestOutcome,
    RoutedRequest,
)
from rosemarydeal.policy.dispatch.crash_suspects import UNNAMED, SuspectRecord
from rosemarydeal.policy.keyranges import table as tables

__all__ = [
    "AnswerReply",
    "CancelRequest",
    "CrashSuspects",
    "FetchObjects",
    "Hello",
    "Leaving",
    "LoadReport",
    "Message",
    "NotServedReply",
    "ObjectChanges",
    "ObjectListing",
    "ObjectState",
    "ObjectUpdate",
    "OutcomeUnknownReply",
    "PeerUnresponsive",
    "Ping",
    "Pong",
    "Reply",
    "RunRequest",
    "SettleRequests",
    "SettledRequests",
    "StoreReachability",
    "StoreRelayReply",
    "StoreRelayRequest",
    "SuspectCleared",
    "TableDelta",
    "decode",
    "encode",
    "reply_of",
]

HEADER_BYTES = 4
MAX_MESSAGE_BYTES = 80 * 1024 * 1024
FINAL_STATUSES = range(200, 600)


class _Base(msgspec.Struct, frozen=True, array_like=True):
    """Base of all messages: fields are encoded in order, without names."""


class Hello(_Base, tag=1):
    """Opens a link; names the sending process and the node that it expects.

    If the address now belongs to another node, that node closes the link.
    """

    node: str
    process: str
    intended_node: str


class RoutedRequestFields(_Base):
    """Fields of a `RoutedRequest`, encoded without names to save bytes."""

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
    cut_s: float | None = None


class RunRequest(_Base, tag=2):
    """Request for the peer's upstream to run."""

    number: int
    request: RoutedRequestFields

    @classmethod
    def of(cls, number: int, request: RoutedRequest) -> RunRequest:
        """Builds the message for a request."""
        fields = (getattr(request, name) for name in RoutedRequest.__slots__)
        return cls(number, RoutedRequestFields(*fields))

    def to_request(self) -> RoutedRequest:
        """Returns the request."""
        names = RoutedRequest.__slots__
        return RoutedRequest(*(getattr(self.request, name) for name in names))


class CancelRequest(_Base, tag=3):
    """Cancels a request whose answer is no longer needed."""

    number: int


class LoadReport(_Base):
    """Load of the sender's upstream.

    The demands are the arriving work as a share of the capacity of the slots, and
    the arriving requests as a share of the stated rate limit, 0 without one. The
    limit delays a request that arrives now by `limit_delay_ms`.
    """

    running: int
    waiting: int
    slots: int
    demand_percent: int
    slowdown_percent: int
    limit_demand_percent: int = 0
    limit_delay_ms: int = 0


class AnswerReply(_Base, tag=4):
    """Reply with the upstream's answer."""

    number: int
    status: int
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes
    slowdown_percent: int
    load: LoadReport | None = None
    leaving_incarnation: str = ""

    @classmethod
    def of(cls, number: int, answer: Answered, load: LoadReport) -> AnswerReply:
        """Builds the reply for an answer."""
        at_answer = answer.load
        slowdown = round(100 * at_answer.slowdown) if at_answer is not None else 0
        return cls(
            number,
            answer.status,
            answer.headers,
            answer.body,
            slowdown,
            load,
            answer.leaving_incarnation,
        )

    def to_outcome(self) -> Answered | OutcomeUnknown:
        """Returns the answer, of whose load only the slowdown is transmitted.

        One whose status is not valid is no answer.
        """
        if self.status not in FINAL_STATUSES:
            return OutcomeUnknown("response-broken")
        load = None
        if self.slowdown_percent:
            load = UpstreamLoad(0, 0, 0, self.slowdown_percent / 100.0)
        return Answered(
            self.status,
            self.headers,
            self.body,
            load,
            leaving_incarnation=self.leaving_incarnation,
        )


class NotServedReply(_Base, tag=5):
    """Reply to a request that has not run and never will."""

    number: int
    outcome: NotServed
    load: LoadReport | None = None


class OutcomeUnknownReply(_Base, tag=6):
    """Reply to a request that may have run."""

    number: int
    outcome: OutcomeUnknown
    load: LoadReport | None = None


class Ping(_Base, tag=7):
    """Checks that the peer is alive; carries the sender's known revisions."""

    known_revisions: tuple[Revision, ...]


class Pong(_Base, tag=8):
    """Reply to a ping; carries the sender's load and known revisions.

    A sender that names its process can settle requests (`SettleRequests`); processes
    of an earlier version do not name it.
    """

    known_revisions: tuple[Revision, ...]
    load: LoadReport
    reads_store: bool = True
    process: str = ""


class SettleRequests(_Base, tag=21):
    """Asks which requests that were sent over a former link have begun.

    No request up to the number `fence` that arrives later may begin. Sent only to a
    process that has named itself.
    """

    numbers: tuple[int, ...]
    fence: int


class SettledRequests(_Base, tag=22):
    """States which requests never began and never will, and which have begun."""

    never: tuple[int, ...]
    begun: tuple[int, ...]


class PeerUnresponsive(_Base, tag=20):
    """Tells that a node does not answer the sender, so that others check it."""

    node: str


class FetchObjects(_Base, tag=9):
    """Request for all objects of a kind."""

    kind: str


class ObjectState(_Base):
    """An object as the store holds it; a deleted one has no content."""

    name: str
    revision: Revision
    content: bytes | None


class ObjectListing(_Base, tag=10):
    """All objects of a kind at a revision of the store."""

    kind: str
    revision: Revision
    last_change: Revision
    objects: tuple[ObjectState, ...]


class ObjectUpdate(_Base, tag=11):
    """One object that has changed."""

    kind: str
    state: ObjectState


class ObjectChanges(_Base, tag=18):
    """All changes of a kind between two revisions, from a reader of the zone.

    Objects that are too large to send are left out; `complete` is then false, and
    the receiver reads them from the store.
    """

    kind: str
    since: Revision
    revision: Revision
    objects: tuple[ObjectState, ...]
    complete: bool = True


class StoreReachability(_Base, tag=19):
    """Tells the processes of the zone whether the sender's store calls succeed.

    With `after_silence`, one of its connections had fallen silent, and a new one works.
    """

    reads_store: bool
    after_silence: bool = False


class CrashSuspects(_Base, tag=12):
    """Requests that may crash upstreams.

    Processes of an earlier version send the fingerprints alone, without the crashes.
    """

    fingerprints: tuple[str, ...]
    records: tuple[SuspectRecord, ...] = ()

    def to_records(self) -> tuple[SuspectRecord, ...]:
        """Returns what the sender knows of the requests."""
        return self.records or tuple(
            SuspectRecord(fingerprint, (UNNAMED,)) for fingerprint in self.fingerprints
        )


class SuspectCleared(_Base, tag=17):
    """Fingerprint of a crash suspect that has succeeded since.

    Processes of an earlier version send it without the crashes of which it is cleared,
    and clear it of all.
    """

    fingerprint: str
    crashes: tuple[str, ...] = ()


class Leaving(_Base, tag=13):
    """Announces that the process is stopping."""

    node: str


class StoreRelayRequest(_Base, tag=14):
    """Store call for the peer to make, because the sender's own call failed.

    Without content, it reads an object, if `shared` together with others that ask
    for it. With content, it writes one that is still at the revision, or creates it
    if there is none. For the `history`, it asks for all changes of the kind since the
    revision. If `known`, the peer states the table that it knows, without a call; one
    of an earlier version reads the history instead.
    """

    number: int
    kind: str
    name: str
    content: bytes | None = None
    revision: Revision = NO_REVISION
    shared: bool = False
    history: bool = False
    known: bool = False


class StoreRelayReply(_Base, tag=15):
    """Reply with the object as the store held it after the call.

    `done` is false if the object to be written had another revision. An object that
    was read and is `unchanged` since the caller's revision comes without content. The
    `changes` are those up to the revision `until`, which is given with a history only;
    `gone` tells that the store has dropped it.
    """

    number: int
    kind: str
    state: ObjectState | None
    done: bool = True
    unchanged: bool = False
    changes: tuple[ObjectState, ...] = ()
    until: Revision = NO_REVISION
    gone: bool = False


class RangeFields(_Base):
    """Fields of a `KeyRange`, encoded without names to save bytes."""

    first: int
    last: int
    node: str
    incarnation: str
    token: int
    handover: str


class TableDelta(_Base, tag=16):
    """Difference between a table and the one at an earlier revision.

    The table of a large fleet is too long to send to all peers for each change.
    """

    service: str
    base_revision: Revision
    revision: Revision
    ranges: tuple[RangeFields, ...]
    top_token: int
    suspicions: tuple[Suspicion, ...]
    writer: str
    era: int
    restored_token: int

    @classmethod
    def of(
        cls,
        base_revision: Revision,
        revision: Revision,
        old: RangeTable,
        new: RangeTable,
    ) -> TableDelta:
        """Builds the message for two tables and their revisions."""
        names = KeyRange.__slots__
        ranges = tuple(
            RangeFields(*(getattr(keys, name) for name in names))
            for keys in tables.new_ranges(old, new)
        )
        return cls(
            new.service,
            base_revision,
            revision,
            ranges,
            new.top_token,
            new.suspicions,
            new.writer,
            new.era,
            new.restored_token,
        )

    def apply(self, old: RangeTable) -> RangeTable:
        """Returns the table after the change."""
        names = KeyRange.__slots__
        ranges = [KeyRange(*(getattr(f, name) for name in names)) for f in self.ranges]
        header = RangeTable(
            self.service,
            (),
            self.top_token,
            self.suspicions,
            self.writer,
            self.era,
            self.restored_token,
            self.base_revision.number,
        )
        return tables.apply_delta(old, ranges, header)


Message = (
    Hello
    | RunRequest
    | SettleRequests
    | SettledRequests
    | CancelRequest
    | AnswerReply
    | NotServedReply
    | OutcomeUnknownReply
    | PeerUnresponsive
    | Ping
    | Pong
    | FetchObjects
    | ObjectChanges
    | ObjectListing
    | ObjectUpdate
    | StoreReachability
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
        Malformed: If the body is not a message.
    """
    try:
        return _DECODER.decode(body)
    except (msgspec.MsgspecError, RecursionError) as error:
        raise Malformed(str(error)) from error


def reply_of(number: int, outcome: RequestOutcome, load: LoadReport) -> Reply:
    """Builds the reply that carries a request's outcome and the sender's load."""
    match outcome:
        case NotServed():
            return NotServedReply(number, outcome, load)
        case OutcomeUnknown():
            return OutcomeUnknownReply(number, outcome, load)
        case _:
            return AnswerReply.of(number, outcome, load)
