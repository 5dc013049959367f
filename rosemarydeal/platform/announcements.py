"""Decodes the announcements and departures of an upstream; builds the answers.

Where heartbeats carry the grants, an announcement lists the keys that the upstream
holds and has released, and the answer states the keys that it is to hold.
"""

from __future__ import annotations

from typing import Annotated

import msgspec

from rosemarydeal.core import Address
from rosemarydeal.core.decoding import (
    Count,
    Identifier,
    Integer64,
    Malformed,
    Slots,
    decode_identifier,
    decode_json,
)
from rosemarydeal.core.fleet import (
    LAST_KEY,
    Announcement,
    Departure,
    GrantStatement,
    HeldKeys,
    ReleasedKeys,
)
from rosemarydeal.proxy import (
    BodyTooLarge,
    Request,
    Response,
    bytes_response,
    read_bytes,
)

from .errors import Unreadable
from .names import ANNOUNCE_CALL, INSTANCES_PATH, LEAVE_CALL

__all__ = ["acknowledge", "decode_call", "refuse_unconfirmed", "reject"]

MS_PER_S = 1000.0
# An upstream reports one row per grant; a table has a few hundred ranges.
MAX_ROWS = 2000
MAX_BODY_BYTES = 131_072
ACKNOWLEDGED = 200
BAD_REQUEST = 400
CONFLICT = 409
UNCONFIRMED_BODY = b'{"reason":"not known to be the upstream at this address"}'
# No upstream is cold for a day.
MAX_COLD_MS = 24 * 3600 * 1000

_ColdMs = Annotated[float, msgspec.Meta(ge=-MAX_COLD_MS, le=MAX_COLD_MS)]


class _Heartbeat(msgspec.Struct):
    """Body of an announcement."""

    service: Identifier
    addr: Identifier
    zone: Identifier
    slots: Slots
    state: str
    cold_left_ms: _ColdMs
    seq: Integer64
    born: Count
    holds: list[tuple[Count, Count, Integer64]] | None = None
    released: list[tuple[Count, Count, str]] = []


class _Leave(msgspec.Struct):
    """Body of a departure."""

    born: Count | None = None


async def decode_call(request: Request) -> Announcement | Departure:
    """Decodes an announcement or a departure.

    Raises:
        Unreadable: If the path or the body is malformed.
    """
    instance, call = _split(request.target)
    try:
        body = await read_bytes(request.body, MAX_BODY_BYTES)
        if call == LEAVE_CALL:
            leave = decode_json(body, _Leave) if body else _Leave()
            return Departure(instance, leave.born)
        return _announcement(instance, decode_json(body, _Heartbeat))
    except (Malformed, ValueError, BodyTooLarge) as error:
        raise Unreadable(f"announcement of {instance}: {error}") from error


def acknowledge(statement: GrantStatement | None = None) -> Response:
    """Returns the answer that acknowledges a call.

    Args:
        statement: Keys that the upstream is to hold; None leaves its grants as
            they are.
    """
    content: dict[str, object] = {}
    if statement is not None:
        content["holds"] = [
            (keys.first, keys.last, keys.token, keys.handover)
            for keys in statement.ranges
        ]
        content["hold_ms"] = int(statement.hold_s * MS_PER_S)
    body = msgspec.json.encode(content)
    return bytes_response(ACKNOWLEDGED, body, ((b"content-type", b"application/json"),))


def reject() -> Response:
    """Returns the answer to a call that is malformed or ignored."""
    return bytes_response(BAD_REQUEST, b"{}", ((b"content-type", b"application/json"),))


def refuse_unconfirmed() -> Response:
    """Returns the answer to a call whose sender may not run at the address."""
    return bytes_response(
        CONFLICT, UNCONFIRMED_BODY, ((b"content-type", b"application/json"),)
    )


def _split(target: bytes) -> tuple[str, bytes]:
    """Splits a path into the instance and the kind of call."""
    path = target.partition(b"?")[0]
    if not path.startswith(INSTANCES_PATH):
        raise Unreadable(f"no such call: {path!r}")
    instance, _, call = path[len(INSTANCES_PATH) :].partition(b"/")
    if not instance or call not in (ANNOUNCE_CALL, LEAVE_CALL):
        raise Unreadable(f"no such call: {path!r}")
    try:
        return decode_identifier(instance), call
    except Malformed as error:
        raise Unreadable(f"instance: {error.detail}") from error


def _announcement(instance: str, body: _Heartbeat) -> Announcement:
    """Converts the body of an announcement."""
    host, _, port = body.addr.rpartition(":")
    if body.state not in ("ready", "draining"):
        raise ValueError(f"unknown state {body.state!r}")
    return Announcement(
        instance=instance,
        born_ms=body.born,
        service=body.service,
        address=Address(host, int(port)),
        zone=body.zone,
        slots=body.slots,
        draining=body.state == "draining",
        cold_left_s=max(0.0, body.cold_left_ms) / MS_PER_S,
        sequence=body.seq,
        holds=_held(body.holds) if body.holds is not None else None,
        released=_released(body.released),
    )


def _held(rows: list[tuple[int, int, int]]) -> tuple[HeldKeys, ...]:
    """Converts the held rows; they must not overlap."""
    held = tuple(HeldKeys(first, last, token) for first, last, token in rows)
    _check_rows(held)
    ordered = sorted(held, key=lambda keys: keys.first)
    for one, following in zip(ordered, ordered[1:], strict=False):
        if following.first <= one.last:
            raise ValueError(f"held rows overlap: {one}, {following}")
    if any(keys.token < 0 for keys in held):
        raise ValueError("a held row has a negative token")
    return held


def _released(rows: list[tuple[int, int, str]]) -> tuple[ReleasedKeys, ...]:
    """Converts the released rows."""
    released = tuple(ReleasedKeys(first, last, token) for first, last, token in rows)
    _check_rows(released)
    return released


def _check_rows(rows: tuple[HeldKeys | ReleasedKeys, ...]) -> None:
    """Checks the number and the bounds of rows.

    Raises:
        ValueError: If there are too many, or one is reversed or out of range.
    """
    if len(rows) > MAX_ROWS:
        raise ValueError(f"{len(rows)} rows exceed the limit of {MAX_ROWS}")
    for keys in rows:
        if not 0 <= keys.first <= keys.last <= LAST_KEY:
            raise ValueError(f"row {keys.first}-{keys.last} is not a range of keys")
