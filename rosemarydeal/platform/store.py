"""Client of the platform's store."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass
from typing import TypeVar
from urllib.parse import quote

import msgspec
import structlog

from rosemarydeal.core import Address, CodedError
from rosemarydeal.core.decoding import (
    MAX_INTEGER,
    Integer64,
    Malformed,
    Name,
    decode_json,
    decode_unchecked,
    split_array,
    split_object,
)
from rosemarydeal.core.fleet import NO_REVISION, Revision, StoredObject
from rosemarydeal.proxy import (
    BytesBody,
    Headers,
    Pool,
    PoolSettings,
    Request,
    find_header,
    read_bytes,
)

from .errors import (
    HistoryGone,
    StoreConflict,
    StoreError,
    StoreUnavailable,
)
from .names import OBJECTS_PATH, STORE_ERA
from .rejected_objects import RejectedObjects

__all__ = ["Listing", "StoreCall", "StoreClient", "StoreSettings"]

MS_PER_S = 1000.0
MAX_ANSWER_BYTES = 16 * 1024 * 1024
# Fits into 64 bits.
MAX_ERA_DIGITS = 18
STALE_QUERY = "&allow_stale=1"
SUCCESS_STATUSES = (200, 201)
NOT_FOUND = 404
CONFLICT = 409
GONE = 410
REJECTED_STATUSES = (429, 503)
_Body = TypeVar("_Body")

_log = structlog.get_logger()


@dataclass(frozen=True, slots=True)
class StoreSettings:
    """Settings of the client.

    Attributes:
        address: Address of the store.
        timeout_s: Timeout of a call, 75 times the usual response time.
        watch_slack_s: Time added to the wait of a watch to get its timeout.
    """

    address: Address
    timeout_s: float = 0.3
    watch_slack_s: float = 1.0


@dataclass(frozen=True, slots=True)
class Listing:
    """The objects of a kind, or those that changed.

    Attributes:
        objects: The objects; deleted ones have no content.
        revision: Revision of the store that the listing reflects.
    """

    objects: tuple[StoredObject, ...]
    revision: Revision


@dataclass(frozen=True, slots=True)
class _Reply:
    """An answer of the store.

    Attributes:
        status: HTTP status.
        body: Complete body.
        era: Era of the store.
    """

    status: int
    body: bytes
    era: int


class _Metadata(msgspec.Struct):
    """Name and revision of an object."""

    name: Name
    rev: Integer64 = 0
    deleting: bool = False


class _Object(msgspec.Struct):
    """An object, reduced to its metadata and the part that its writer sets."""

    metadata: _Metadata
    spec: msgspec.Raw = msgspec.Raw(b"null")


class _ListBody(msgspec.Struct):
    """One page of a listing."""

    items: list[msgspec.Raw]
    current_rev: Integer64
    truncated: bool = False


class _Event(msgspec.Struct):
    """One change."""

    object: msgspec.Raw
    deleted: bool = False


class _WatchBody(msgspec.Struct):
    """Answer to a watch."""

    events: list[msgspec.Raw]
    current_rev: Integer64


@dataclass(frozen=True, slots=True)
class StoreCall:
    """Sort of a call, for the counters."""

    operation: str
    kind: str


class StoreClient:
    """Reads, writes and watches objects; counts its calls.

    An answer of an era before the last one known counts as no answer.
    """

    def __init__(
        self,
        settings: StoreSettings,
        on_era_changed: Callable[[], None] = lambda: None,
        rejected: RejectedObjects | None = None,
    ) -> None:
        """Creates a client without connections.

        Args:
            settings: Settings of the client.
            on_era_changed: Called when an answer states a higher era.
            rejected: Counts the objects that are malformed.
        """
        self._settings = settings
        self._rejected = rejected or RejectedObjects()
        self._on_era_changed = on_era_changed
        self._pool = Pool(PoolSettings(connect_time_s=settings.timeout_s))
        self._calls: Counter[StoreCall] = Counter()
        self._era = 0

    @property
    def era(self) -> int:
        """Returns the highest era in an answer; it rises when the store is restored."""
        return self._era

    @property
    def calls(self) -> Mapping[StoreCall, int]:
        """Returns the numbers of calls made, including rejected ones."""
        return self._calls

    async def list(self, kind: str) -> Listing:
        """Returns all objects of a kind, page by page.

        Raises:
            StoreUnavailable: No answer came, or the call was rejected.
            StoreError: The answer is malformed.
        """
        objects: list[StoredObject] = []
        after, era = "", None
        while True:
            query = f"?after={_quoted(after)}" if after else ""
            reply = await self._call("list", kind, b"GET", query)
            page = _decode_list(reply, _ListBody)
            if era is not None and era != reply.era:
                raise StoreUnavailable(f"{kind}: restored while it was listed")
            era = reply.era
            listed = [
                _stored_object(kind, item, era, page.current_rev) for item in page.items
            ]
            self._report_unreadable(listed)
            objects += listed
            if not page.truncated or not listed:
                return Listing(tuple(objects), Revision(era, page.current_rev))
            last = next((o.name for o in reversed(listed) if o.name), after)
            if last == after:
                raise StoreError(f"{kind}: no readable name follows {after!r}")
            after = last

    async def get(self, kind: str, name: str) -> StoredObject | None:
        """Returns the current object, or None if there is none."""
        reply = await self._call("read", kind, b"GET", f"/{_quoted(name)}")
        if reply.status == NOT_FOUND:
            return None
        return _decode_object(kind, name, reply)

    async def watch(
        self, kind: str, revision: Revision, wait_s: float, stale: bool = False
    ) -> Listing:
        """Waits for changes of a kind after a revision.

        Args:
            kind: The kind.
            revision: Revision up to which changes have been received.
            wait_s: Longest wait for a change, in seconds.
            stale: Whether changes may arrive seconds late, at a tenth of the cost.

        Raises:
            HistoryGone: The store has dropped the history after that revision, or
                was restored since.
        """
        self._check_era(kind, revision)
        query = f"?watch={revision.number}&wait_ms={int(wait_s * MS_PER_S)}"
        if stale:
            query += STALE_QUERY
        wait = wait_s + self._settings.watch_slack_s
        reply = await self._call("watch", kind, b"GET", query, wait=wait)
        if reply.status == GONE:
            raise HistoryGone(f"{kind}: history since {revision} is gone")
        self._check_era(kind, revision)
        answer = _decode_list(reply, _WatchBody)
        changes = [
            _changed_object(kind, event, reply.era, answer.current_rev)
            for event in answer.events
        ]
        self._report_unreadable(changes)
        return Listing(tuple(changes), Revision(reply.era, answer.current_rev))

    async def create(self, kind: str, name: str, content: bytes) -> StoredObject:
        """Creates an object.

        Raises:
            StoreConflict: It already exists.
            StoreUnavailable: The outcome is unknown, or the call was rejected.
        """
        body = _body(name, content, None)
        reply = await self._call("create", kind, b"POST", "", body)
        return _decode_written(kind, name, reply, content, NO_REVISION)

    async def replace(
        self, kind: str, name: str, content: bytes, revision: Revision
    ) -> StoredObject:
        """Replaces an object if it is still at a revision.

        Raises:
            StoreConflict: It has changed, was deleted, or the store was restored
                since the revision was read.
            StoreUnavailable: The outcome is unknown, or the call was rejected.
        """
        self._check_condition(kind, name, revision)
        body = _body(name, content, revision.number)
        reply = await self._call("replace", kind, b"PUT", f"/{_quoted(name)}", body)
        return _decode_written(kind, name, reply, content, revision)

    async def remove(self, kind: str, name: str, revision: Revision) -> None:
        """Removes an object if it is still at a revision or already deleted.

        Raises:
            StoreConflict: It has changed, or the store was restored since the
                revision was read.
            StoreUnavailable: The outcome is unknown, or the call was rejected.
        """
        self._check_condition(kind, name, revision)
        suffix = f"/{_quoted(name)}?rev={revision.number}"
        reply = await self._call("remove", kind, b"DELETE", suffix)
        if reply.status != NOT_FOUND:
            _check_status(kind, reply.status, reply.body)

    async def close(self) -> None:
        """Closes all connections."""
        await self._pool.close()

    def _report_unreadable(self, objects: Iterable[StoredObject]) -> None:
        """Reports the unreadable ones among the objects of an answer."""
        for stored in objects:
            if stored.unreadable:
                self._rejected.note(stored, stored.unreadable)

    def _check_era(self, kind: str, revision: Revision) -> None:
        """Raises an error if a watch is from a former era.

        A revision of a higher era, which a peer has read, tells of that era.
        """
        self._note_era(max(self._era, revision.era))
        if revision.era < self._era:
            raise HistoryGone(f"{kind}: restored since {revision}")

    def _check_condition(self, kind: str, name: str, revision: Revision) -> None:
        """Raises an error if a condition names a revision of a former era.

        The number may have been given out again, for another content.
        """
        self._note_era(max(self._era, revision.era))
        if revision.era < self._era:
            raise StoreConflict(f"{kind}/{name}: restored since {revision}")

    async def _call(
        self,
        operation: str,
        kind: str,
        method: bytes,
        suffix: str,
        body: bytes = b"",
        wait: float | None = None,
    ) -> _Reply:
        """Makes one call and reads its whole answer.

        Args:
            operation: Name of the operation, for the counters.
            kind: Kind of the objects.
            method: HTTP method.
            suffix: Rest of the path after the kind, with the query.
            body: Body of a write.
            wait: Time to wait for the answer, in seconds; None for the default.
        """
        target = kind + suffix
        self._calls[StoreCall(operation, kind)] += 1
        address = self._settings.address
        headers = [(b"host", str(address).encode("ascii"))]
        if body:
            headers.append((b"content-type", b"application/json"))
        path = (OBJECTS_PATH + target).encode("ascii")
        request = Request(method, path, tuple(headers), BytesBody(body), address)
        timeout_s = wait or self._settings.timeout_s
        is_write = method != b"GET"
        try:
            async with asyncio.timeout(timeout_s):
                response = await self._pool.send(address, request, timeout_s)
                answer = await read_bytes(response.body, MAX_ANSWER_BYTES)
        except (CodedError, OSError, TimeoutError) as error:
            maybe_done = is_write and getattr(error, "sent", True)
            raise StoreUnavailable(f"{target}: {error!r}", maybe_done) from error
        era = self._era_of(response.headers)
        if era < self._era:
            raise StoreUnavailable(f"{target}: answer of era {era}", is_write)
        self._note_era(era)
        if response.status in REJECTED_STATUSES:
            raise StoreUnavailable(f"{target}: status {response.status}")
        return _Reply(response.status, answer, era)

    def _era_of(self, headers: Headers) -> int:
        """Returns the era that an answer states; the last one known without any."""
        value = find_header(headers, STORE_ERA)
        if value is None or not value.isdigit() or len(value) > MAX_ERA_DIGITS:
            return self._era
        return int(value)

    def _note_era(self, era: int) -> None:
        """Records the era of an answer; logs and reports its changes."""
        if era == self._era:
            return
        _log.info("store_era_changed", era=era, before=self._era)
        self._era = era
        self._on_era_changed()


def _quoted(name: str) -> str:
    """Returns a name as a part of a path or a query."""
    return quote(name, safe="")


def _body(name: str, content: bytes, revision: int | None) -> bytes:
    """Builds the body of a write."""
    metadata: dict[str, object] = {"name": name}
    if revision is not None:
        metadata["rev"] = revision
    return msgspec.json.encode({"metadata": metadata, "spec": msgspec.Raw(content)})


def _check_status(kind: str, status: int, body: bytes) -> None:
    """Raises the error that the status of an answer stands for, if any."""
    if status in (CONFLICT, NOT_FOUND):
        raise StoreConflict(f"{kind}: status {status}")
    if status not in SUCCESS_STATUSES:
        raise StoreError(f"{kind}: status {status}: {body[:200]!r}")


def _decode_object(kind: str, name: str, reply: _Reply) -> StoredObject:
    """Decodes an answer that contains an object.

    The store's answers name no call: one with another object may be a late copy of
    the answer to an earlier call, and counts as no answer.
    """
    stored = _stored_object(kind, reply.body, reply.era)
    readable = stored.name and not stored.unreadable
    if readable and stored.name != name:
        raise StoreUnavailable(f"{kind}/{name}: answer with {stored.name!r}", True)
    if reply.status == CONFLICT and readable:
        raise StoreConflict(f"{kind}: status {reply.status}", stored)
    _check_status(kind, reply.status, reply.body)
    if stored.unreadable:
        raise StoreError(f"{kind}: {stored.unreadable}")
    return stored


def _decode_written(
    kind: str, name: str, reply: _Reply, content: bytes, condition: Revision
) -> StoredObject:
    """Decodes the answer to a write.

    An object with another content, or a revision before that of the condition, is
    not what was written: the answer may be a late copy, and the outcome is unknown.
    """
    stored = _decode_object(kind, name, reply)
    written = stored.content is not None and _same_content(stored.content, content)
    if not written or stored.revision.number < condition.number:
        detail = f"{kind}/{name}: answer with another content at {stored.revision}"
        raise StoreUnavailable(detail, maybe_done=True)
    return stored


def _same_content(stored: bytes, content: bytes) -> bool:
    """Returns whether two contents are equal, however the store writes its own."""
    if stored == content:
        return True
    try:
        return decode_json(stored, object) == decode_json(content, object)
    except Malformed:
        return False


def _decode_list(reply: _Reply, body_type: type[_Body]) -> _Body:
    """Decodes the answer to a listing or a watch, whose entries stay undecoded."""
    _check_status("answer", reply.status, reply.body)
    try:
        return _decode(reply.body, body_type)
    except Malformed as error:
        raise StoreError(f"answer: {error.detail}") from error


def _decode(text: bytes | msgspec.Raw, body_type: type[_Body]) -> _Body:
    """Decodes a structure, whose undecoded parts may be odd.

    An odd part can make it impossible to decode all at once; the parts are then
    separated first.

    Raises:
        Malformed: If a field is missing or has another type.
    """
    try:
        return decode_unchecked(text, body_type)
    except Malformed:
        return _decode_parts(bytes(text), body_type)


def _decode_parts(text: bytes, body_type: type[_Body]) -> _Body:
    """Decodes the fields of a structure one by one, and passes over unknown ones.

    Raises:
        Malformed: If a field is missing or has another type.
    """
    members = split_object(text)
    fields = {
        field.name: _decode_part(members[field.name], field.type)
        for field in msgspec.structs.fields(body_type)
        if field.name in members
    }
    try:
        return body_type(**fields)
    except TypeError as error:
        raise Malformed(str(error)) from error


def _decode_part(text: bytes, part_type: type) -> object:
    """Decodes one field of a structure, unless its type leaves it undecoded."""
    if part_type is msgspec.Raw:
        return msgspec.Raw(text)
    if part_type == list[msgspec.Raw]:
        return [msgspec.Raw(part) for part in split_array(text)]
    if isinstance(part_type, type) and issubclass(part_type, msgspec.Struct):
        return _decode_parts(text, part_type)
    return decode_json(text, part_type)


def _changed_object(
    kind: str, event: msgspec.Raw, era: int, current_revision: int
) -> StoredObject:
    """Decodes one change that a watch returned."""
    try:
        change = _decode(event, _Event)
    except Malformed as error:
        return StoredObject(kind, "", NO_REVISION, None, error.detail)
    return _stored_object(kind, change.object, era, current_revision, change.deleted)


def _stored_object(
    kind: str,
    raw: bytes | msgspec.Raw,
    era: int,
    current_revision: int = MAX_INTEGER,
    deleted: bool = False,
) -> StoredObject:
    """Decodes one object, whose content stays undecoded.

    Args:
        kind: Its kind.
        raw: Its text.
        era: Era of the answer that contained it.
        current_revision: Revision of the store that the answer reflects.
        deleted: Whether it has been deleted.

    Returns:
        The object. Without a valid revision it is unreadable, and without a valid
        name it has none.
    """
    try:
        decoded = _decode(raw, _Object)
        number = decoded.metadata.rev
        if number > current_revision:
            raise Malformed(f"revision {number} is above {current_revision}")
    except Malformed as error:
        name = _stated_name(bytes(raw))
        return StoredObject(kind, name, NO_REVISION, None, error.detail)
    gone = deleted or decoded.metadata.deleting
    content = None if gone else bytes(decoded.spec)
    return StoredObject(kind, decoded.metadata.name, Revision(era, number), content)


def _stated_name(text: bytes) -> str:
    """Returns the name of an object that can't be decoded, or an empty one."""
    try:
        return decode_json(split_object(split_object(text)["metadata"])["name"], Name)
    except (Malformed, KeyError):
        return ""
