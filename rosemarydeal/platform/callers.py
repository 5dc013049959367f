"""Decodes callers' requests and builds their responses."""

from __future__ import annotations

import re

from rosemarydeal.core.fleet import LAST_KEY
from rosemarydeal.core.requests import (
    Answered,
    CallerRequest,
    NotServed,
    OutcomeUnknown,
    RequestOutcome,
)
from rosemarydeal.proxy import (
    BodyRoom,
    Headers,
    Request,
    Response,
    bytes_response,
    find_header,
    read_bytes,
)

from . import names
from .errors import Unreadable

__all__ = [
    "decode_request",
    "is_readiness",
    "malformed",
    "readiness_response",
    "request_id",
    "respond",
]

MS_PER_S = 1000.0
# No caller waits longer than a day; a longer time does not fit all timers.
MAX_TIME_LEFT_MS = 24 * 3600 * 1000
TIME_LEFT = re.compile(rb"(-?[0-9]+)\.[0-9]+")
OK = 200
BAD_REQUEST = 400
NOT_FOUND = 404
BAD_GATEWAY = 502
UNAVAILABLE = 503
GATEWAY_TIMEOUT = 504
NO_ROUTE_CODE = "route-not-found"


async def decode_request(
    request: Request, body_limit: int, room: BodyRoom
) -> CallerRequest:
    """Reads and decodes a caller's request, with its whole body.

    Args:
        request: The request.
        body_limit: Maximum size of its body.
        room: Takes the memory of the body.

    Raises:
        Unreadable: If its id is missing, or its time left or key is invalid.
        BodyTooLarge: If the body is longer than the limit.
        NoBodyRoom: If there is no memory for the body now.
    """
    headers = request.headers
    request_id = find_header(headers, names.REQUEST_ID)
    if not request_id:
        raise Unreadable("the request has no id", "request-id-missing")
    host = find_header(headers, b"host") or b""
    # What can't be kept is refused before it is read.
    room.grow_to(min(body_limit, _stated_length(headers)))
    return CallerRequest(
        request_id=request_id.decode("latin-1"),
        host=host.partition(b":")[0].decode("ascii", "replace").lower(),
        method=request.method,
        target=request.target,
        headers=headers,
        body=await read_bytes(request.body, body_limit, room.grow_to),
        time_left_s=_time_left(find_header(headers, names.TIME_LEFT)),
        key=_key(find_header(headers, names.KEY)),
    )


def request_id(request: Request) -> str:
    """Returns the id of a request, empty if it has none."""
    return (find_header(request.headers, names.REQUEST_ID) or b"").decode("latin-1")


def respond(request_id: str, outcome: RequestOutcome) -> Response:
    """Builds the response for the outcome of a request."""
    match outcome:
        case Answered(status, headers, body):
            return bytes_response(status, body, headers)
        case NotServed(code, retry_after_s):
            status = NOT_FOUND if code == NO_ROUTE_CODE else UNAVAILABLE
            return _coded_response(status, request_id, code, retry_after_s)
        case OutcomeUnknown(code, timed_out):
            status = GATEWAY_TIMEOUT if timed_out else BAD_GATEWAY
            return _coded_response(status, request_id, code, None)


def malformed(error: Unreadable) -> Response:
    """Builds the response to a malformed request."""
    return _coded_response(BAD_REQUEST, "", error.code, None)


def is_readiness(request: Request) -> bool:
    """Returns whether a request is the platform's readiness probe."""
    return request.target.partition(b"?")[0] == names.READY_PATH


def readiness_response(ready: bool) -> Response:
    """Builds the answer to a readiness probe."""
    return bytes_response(OK if ready else UNAVAILABLE, b"")


def _coded_response(
    status: int, request_id: str, code: str, retry_after_s: float | None
) -> Response:
    """Builds a response that no upstream gave, with its code as the body."""
    headers: Headers = ((b"content-type", b"text/plain"),)
    if request_id:
        headers += ((names.REQUEST_ID, request_id.encode("latin-1")),)
    if retry_after_s is not None:
        headers += ((names.RETRY_AFTER, b"%.3f" % retry_after_s),)
    return bytes_response(status, code.encode("ascii"), headers)


def _stated_length(headers: Headers) -> int:
    """Returns the length that a request states for its body, 0 if it states none."""
    return int(find_header(headers, b"content-length") or 0)


def _time_left(value: bytes | None) -> float | None:
    """Decodes how long the caller waits, in seconds."""
    if value is None:
        return None
    stated = TIME_LEFT.fullmatch(value)
    try:
        # A fraction of a millisecond is dropped.
        left_ms = int(stated[1]) if stated else int(value)
    except ValueError as error:
        raise Unreadable(f"time left: {value!r}", "time-left-invalid") from error
    return max(-MAX_TIME_LEFT_MS, min(left_ms, MAX_TIME_LEFT_MS)) / MS_PER_S


def _key(value: bytes | None) -> int | None:
    """Decodes the key of a request."""
    if value is None:
        return None
    try:
        key = int(value)
    except ValueError as error:
        raise Unreadable(f"key: {value!r}", "key-invalid") from error
    if not 0 <= key <= LAST_KEY:
        raise Unreadable(f"key: {key}", "key-invalid")
    return key
