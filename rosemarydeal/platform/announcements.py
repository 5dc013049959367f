"""Decodes the announcements and departures of an upstream; builds the answers."""

from __future__ import annotations

import msgspec

from rosemarydeal.core import Address
from rosemarydeal.core.fleet import Announcement, Departure
from rosemarydeal.proxy import Request, Response, bytes_response, read_bytes

from .errors import Unreadable
from .names import ANNOUNCE_CALL, INSTANCES_PATH, LEAVE_CALL

__all__ = ["acknowledge", "decode_call", "reject"]

MS_PER_S = 1000.0
MAX_BODY_BYTES = 65_536
ACKNOWLEDGED = 200
BAD_REQUEST = 400


class _Heartbeat(msgspec.Struct):
    """Body of an announcement."""

    service: str
    addr: str
    zone: str
    slots: int
    state: str
    cold_left_ms: float
    seq: int
    born: int


class _Leave(msgspec.Struct):
    """Body of a departure."""

    born: int | None = None


async def decode_call(request: Request) -> Announcement | Departure:
    """Decodes an announcement or a departure.

    Raises:
        Unreadable: If the path or the body is malformed.
    """
    instance, call = _split(request.target)
    body = await read_bytes(request.body, MAX_BODY_BYTES)
    try:
        if call == LEAVE_CALL:
            leave = msgspec.json.decode(body, type=_Leave) if body else _Leave()
            return Departure(instance, leave.born)
        return _announcement(instance, msgspec.json.decode(body, type=_Heartbeat))
    except (msgspec.MsgspecError, ValueError) as error:
        raise Unreadable(f"announcement of {instance}: {error}") from error


def acknowledge() -> Response:
    """Returns the answer that acknowledges a call."""
    return bytes_response(
        ACKNOWLEDGED, b"{}", ((b"content-type", b"application/json"),)
    )


def reject() -> Response:
    """Returns the answer to a call that is malformed or ignored."""
    return bytes_response(BAD_REQUEST, b"{}", ((b"content-type", b"application/json"),))


def _split(target: bytes) -> tuple[str, bytes]:
    """Splits a path into the instance and the kind of call."""
    path = target.partition(b"?")[0]
    if not path.startswith(INSTANCES_PATH):
        raise Unreadable(f"no such call: {path!r}")
    instance, _, call = path[len(INSTANCES_PATH) :].partition(b"/")
    if not instance or call not in (ANNOUNCE_CALL, LEAVE_CALL):
        raise Unreadable(f"no such call: {path!r}")
    return instance.decode("ascii", "replace"), call


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
        cold_left_s=body.cold_left_ms / MS_PER_S,
        sequence=body.seq,
    )
