"""Decodes the answers of the platform's store.

An object that can't be decoded does not hide the others of its answer. The store's
answers name no call: one that does not fit its call may be a late copy of another.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TypeVar

import msgspec

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

from .errors import ForeignAnswer, StoreConflict, StoreError

__all__ = [
    "ListBody",
    "Reply",
    "WatchBody",
    "changed_object",
    "check_name",
    "check_status",
    "decode_list",
    "decode_object",
    "decode_written",
    "listed_object",
    "stated_name",
]

SUCCESS_STATUSES = (200, 201)
NOT_FOUND = 404
CONFLICT = 409
_Body = TypeVar("_Body")


@dataclass(frozen=True, slots=True)
class Reply:
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


class ListBody(msgspec.Struct):
    """One page of a listing."""

    items: list[msgspec.Raw]
    current_rev: Integer64
    truncated: bool = False


class _Event(msgspec.Struct):
    """One change."""

    object: msgspec.Raw
    deleted: bool = False


class WatchBody(msgspec.Struct):
    """Answer to a watch."""

    events: list[msgspec.Raw]
    current_rev: Integer64


def check_status(kind: str, status: int, body: bytes) -> None:
    """Raises the error that the status of an answer stands for, if any."""
    if status in (CONFLICT, NOT_FOUND):
        raise StoreConflict(f"{kind}: status {status}")
    if status not in SUCCESS_STATUSES:
        raise StoreError(f"{kind}: status {status}: {body[:200]!r}")


def decode_object(kind: str, name: str, reply: Reply) -> StoredObject:
    """Decodes the answer to a read."""
    check_status(kind, reply.status, reply.body)
    stored = listed_object(kind, reply.body, reply.era)
    check_name(kind, name, stored.name)
    if stored.unreadable:
        raise StoreError(f"{kind}: {stored.unreadable}")
    return stored


def decode_written(
    kind: str,
    name: str,
    reply: Reply,
    content: bytes,
    revision: int | None = None,
) -> StoredObject:
    """Decodes the answer to a write.

    Args:
        kind: Kind of the object.
        name: Its name.
        reply: The answer.
        content: Content that was written.
        revision: Revision that was to be replaced, None if it was created.

    Raises:
        ForeignAnswer: The answer does not fit the write.
        StoreConflict: The object has changed, was deleted, or exists already.
    """
    stored = listed_object(kind, reply.body, reply.era)
    if reply.status == CONFLICT and stored.name:
        check_name(kind, name, stored.name, maybe_done=True)
        if stored.unreadable:
            raise StoreConflict(f"{kind}: status {reply.status}")
        if stored.revision.number == revision:
            raise ForeignAnswer(f"{kind}/{name}: conflict at revision {revision}", True)
        raise StoreConflict(f"{kind}: status {reply.status}", stored)
    check_status(kind, reply.status, reply.body)
    check_name(kind, name, stored.name, maybe_done=True)
    # A write that changes nothing keeps the revision.
    outdated = revision is not None and stored.revision.number < revision
    if stored.unreadable or outdated or not _same_content(stored.content, content):
        raise ForeignAnswer(f"{kind}/{name}: the answer is to another write", True)
    return stored


def check_name(kind: str, name: str, stated: str, maybe_done: bool = False) -> None:
    """Checks that an answer contains the object that was asked for.

    A read finds an object without a readable name unreadable; to a removal, the
    store may answer without the object.

    Raises:
        ForeignAnswer: It contains another one.
    """
    if stated and stated != name:
        detail = f"{kind}/{name}: the answer contains {stated!r}"
        raise ForeignAnswer(detail, maybe_done)


def _same_content(stored: object, written: bytes) -> bool:
    """Returns whether two encoded contents are equal once they are decoded."""
    if not isinstance(stored, bytes):
        return False
    try:
        return decode_json(stored, object) == decode_json(written, object)
    except Malformed:
        return False


def decode_list(reply: Reply, body_type: type[_Body]) -> _Body:
    """Decodes the answer to a listing or a watch, whose entries stay undecoded."""
    check_status("answer", reply.status, reply.body)
    try:
        return _decode(reply.body, body_type)
    except Malformed as error:
        raise ForeignAnswer(f"answer: {error.detail}") from error


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


def changed_object(
    kind: str, event: msgspec.Raw, era: int, current_revision: int
) -> StoredObject:
    """Decodes one change that a watch returned."""
    try:
        change = _decode(event, _Event)
    except Malformed as error:
        return StoredObject(kind, "", NO_REVISION, None, error.detail)
    return listed_object(kind, change.object, era, current_revision, change.deleted)


def listed_object(
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
        name = stated_name(bytes(raw))
        return StoredObject(kind, name, NO_REVISION, None, error.detail)
    gone = deleted or decoded.metadata.deleting
    content = None if gone else bytes(decoded.spec)
    return StoredObject(kind, decoded.metadata.name, Revision(era, number), content)


def stated_name(text: bytes) -> str:
    """Returns the name of an object that can't be decoded, or an empty one."""
    try:
        return decode_json(split_object(split_object(text)["metadata"])["name"], Name)
    except (Malformed, KeyError):
        return ""
