"""Stand-in for the platform's object API on loopback, with fault injection.

The protocol is described in docs/PROTOCOL.md. The injected faults are those of
the real platform: outages, slow answers and answers lost after a write.
"""

from __future__ import annotations

import asyncio
import contextlib
from collections import Counter
from dataclasses import dataclass, replace
from urllib.parse import parse_qs, unquote, urlsplit

import msgspec

from rosemarydeal.core import Address
from rosemarydeal.objects.wire import CALL_ID, ChangesBody, ObjectBody
from rosemarydeal.proxy import (
    HttpLimits,
    HttpServer,
    Request,
    Response,
    bytes_response,
    find_header,
    read_bytes,
    replace_header,
    serve,
)

from .store import MAX_VALUE_BYTES, ObjectStore, StoredObject

__all__ = ["PlatformFaults", "StandInPlatform"]

OBJECTS_PATH = "/objects/"
WATCH_MAX_S = 30.0


@dataclass(slots=True)
class PlatformFaults:
    """Faults that are injected at present.

    Attributes:
        delay_s: Time added to each answer, in seconds.
        lose_write_answers: Number of next writes that take effect but whose
            answer is lost (status 504).
    """

    delay_s: float = 0.0
    lose_write_answers: int = 0


class StandInPlatform:
    """HTTP server of the object API in front of an in-memory store."""

    def __init__(self, address: Address, store: ObjectStore | None = None) -> None:
        self._address = address
        self._store = store or ObjectStore()
        self._faults = PlatformFaults()
        self._calls: Counter[str] = Counter()
        self._changed = asyncio.Event()
        self._server: HttpServer | None = None

    @property
    def address(self) -> Address:
        """Returns the address at which the API is served."""
        return self._address

    @property
    def store(self) -> ObjectStore:
        """Returns the objects, which survive an outage."""
        return self._store

    @property
    def faults(self) -> PlatformFaults:
        """Returns the injected faults, which may be changed in place."""
        return self._faults

    @property
    def calls(self) -> Counter[str]:
        """Returns the number of calls by method."""
        return self._calls

    async def start(self) -> None:
        """Starts the server; also ends an outage."""
        limits = HttpLimits(connections_per_address=4096)
        self._server = await serve(self._handle, self._address, limits)
        self._address = self._server.address

    async def stop(self) -> None:
        """Stops the server at once; also begins an outage."""
        if self._server is not None:
            await self._server.close()
            self._server = None

    async def _handle(self, request: Request) -> Response:
        """Answers one call; the response returns its id."""
        response = await self._answer(request)
        call_id = find_header(request.headers, CALL_ID)
        fields = replace_header(response.headers, CALL_ID, call_id)
        return replace(response, headers=fields)

    async def _answer(self, request: Request) -> Response:
        """Routes one call to its handler."""
        self._calls[request.method.decode("ascii")] += 1
        url = urlsplit(request.target.decode("ascii"))
        if self._faults.delay_s:
            await asyncio.sleep(self._faults.delay_s)
        if request.method == b"PUT" and url.path.startswith(OBJECTS_PATH):
            return await self._put(request, unquote(url.path[len(OBJECTS_PATH) :]))
        if request.method != b"GET":
            return bytes_response(405, b"")
        query = parse_qs(url.query)
        if url.path.startswith(OBJECTS_PATH):
            return self._get(unquote(url.path[len(OBJECTS_PATH) :]))
        if url.path == "/objects":
            return _changes_response(self._store, _prefixes(query), 0)
        if url.path == "/changes":
            return await self._watch(query)
        return bytes_response(404, b"")

    def _get(self, key: str) -> Response:
        """Returns one object, or status 404."""
        stored = self._store.get(key)
        if stored is None:
            return bytes_response(404, b"")
        return bytes_response(200, stored.versioned.value, _version_headers(stored))

    async def _put(self, request: Request, key: str) -> Response:
        """Writes an object if its version is the expected one."""
        expected = _expected_version(request)
        if expected is None:
            return bytes_response(428, b"")
        value = await read_bytes(request.body, MAX_VALUE_BYTES)
        change_id = (find_header(request.headers, b"change-id") or b"").decode("ascii")
        stored = self._store.put(key, value, expected, change_id)
        if stored is None:
            return bytes_response(412, b"")
        self._wake_watches()
        if self._faults.lose_write_answers > 0:
            self._faults.lose_write_answers -= 1
            return bytes_response(504, b"")
        return bytes_response(200, b"", _version_headers(stored))

    async def _watch(self, query: dict[str, list[str]]) -> Response:
        """Waits until an object under one of the prefixes changes (long polling)."""
        prefixes = _prefixes(query)
        after = int(query.get("after", ["0"])[0])
        wait_s = min(float(query.get("wait_s", ["0"])[0]), WATCH_MAX_S)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(wait_s):
                while not self._store.list(prefixes, after):
                    await self._changed.wait()
        return _changes_response(self._store, prefixes, after)

    def _wake_watches(self) -> None:
        """Wakes all pending long polls."""
        self._changed.set()
        self._changed = asyncio.Event()


def _prefixes(query: dict[str, list[str]]) -> tuple[str, ...]:
    """Returns the prefixes of a query; the empty prefix if it has none."""
    return tuple(query.get("prefix", [""]))


def _expected_version(request: Request) -> int | None:
    """Returns the version that a write expects, or None if it is unconditional."""
    if_match = find_header(request.headers, b"if-match")
    if if_match is not None:
        return int(if_match.strip(b'"'))
    if find_header(request.headers, b"if-none-match") == b"*":
        return 0
    return None


def _version_headers(stored: StoredObject) -> tuple[tuple[bytes, bytes], ...]:
    """Returns the headers that carry an object's version and change id."""
    return (
        (b"etag", b'"%d"' % stored.versioned.version),
        (b"change-id", stored.change_id.encode("ascii")),
    )


def _changes_response(
    store: ObjectStore, prefixes: tuple[str, ...], after: int
) -> Response:
    """Returns a response with the objects that changed after a revision."""
    objects = tuple(
        ObjectBody(s.versioned.key, s.versioned.version, s.versioned.value)
        for s in store.list(prefixes, after)
    )
    body = msgspec.json.encode(ChangesBody(store.revision, objects))
    return bytes_response(200, body, ((b"content-type", b"application/json"),))
