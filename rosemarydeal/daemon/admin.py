"""Serves the admin port: status, metrics and announcements of the upstream.

The port has an address of its own and requires a bearer token if the settings
contain one.
"""

from __future__ import annotations

import hmac
from collections.abc import Callable
from dataclasses import dataclass
from urllib.parse import parse_qs, urlsplit

import msgspec

from rosemarydeal.core.status import NodeStatus, SliceStatus
from rosemarydeal.proxy import (
    HttpLimits,
    HttpServer,
    Request,
    Response,
    bytes_response,
    find_header,
    problem_response,
    read_bytes,
    serve,
)
from rosemarydeal.settings import NodeSettings

from .upstream import Announcement

__all__ = ["AdminViews", "serve_admin"]

MAX_ANNOUNCEMENT_BYTES = 4096
JSON = ((b"content-type", b"application/json"),)
METRICS = ((b"content-type", b"text/plain; version=0.0.4"),)


@dataclass(frozen=True, slots=True)
class AdminViews:
    """Callbacks behind the paths of the admin port.

    Attributes:
        status: Returns the status of the process.
        locate: Returns the status of a key's slice, given service and key;
            None for an unknown service or one without keys.
        metrics: Returns all metrics in the text format.
        announce: Handles an announcement of the upstream.
    """

    status: Callable[[], NodeStatus]
    locate: Callable[[str, str], SliceStatus | None]
    metrics: Callable[[], bytes]
    announce: Callable[[Announcement], None]


async def serve_admin(settings: NodeSettings, views: AdminViews) -> HttpServer:
    """Starts the server of the admin port.

    Args:
        settings: Settings of the process.
        views: Callbacks behind the paths.

    Returns:
        The running server.
    """

    async def handle(request: Request) -> Response:
        if not _authorized(request, settings.token):
            return problem_response(401, "token-refused", "The token is missing.")
        return await _answer(request, views)

    return await serve(handle, settings.admin, HttpLimits())


def _authorized(request: Request, token: str | None) -> bool:
    """Returns whether a request carries the operators' token."""
    if token is None:
        return True
    credentials = find_header(request.headers, b"authorization") or b""
    return hmac.compare_digest(credentials, b"Bearer " + token.encode("utf-8"))


async def _answer(request: Request, views: AdminViews) -> Response:
    """Routes one request by method and path."""
    url = urlsplit(request.target.decode("latin-1"))
    match request.method, url.path:
        case b"GET", "/metrics":
            return bytes_response(200, views.metrics(), METRICS)
        case b"GET", "/status":
            return bytes_response(200, msgspec.json.encode(views.status()), JSON)
        case b"GET", "/locate":
            return _locate(parse_qs(url.query), views)
        case b"POST", "/upstream":
            return await _announce(request, views)
    return problem_response(404, "path-unknown", "There is nothing at this path.")


def _locate(query: dict[str, list[str]], views: AdminViews) -> Response:
    """Answers a request for the owner of a key."""
    service = query.get("service", [""])[0]
    key = query.get("key", [""])[0]
    status = views.locate(service, key)
    if status is None:
        return problem_response(404, "service-unknown", f"No keyed service {service}.")
    return bytes_response(200, msgspec.json.encode(status), JSON)


async def _announce(request: Request, views: AdminViews) -> Response:
    """Handles an announcement of the upstream."""
    body = await read_bytes(request.body, MAX_ANNOUNCEMENT_BYTES)
    try:
        announcement = msgspec.json.decode(body, type=Announcement)
    except msgspec.DecodeError as error:
        return problem_response(400, "announcement-malformed", str(error))
    views.announce(announcement)
    return bytes_response(204, b"")
