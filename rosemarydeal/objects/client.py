"""Calls the platform's object API over HTTP.

Each call has a timeout and counts against the process's call budget. When the
response to a write is lost, the client reads the object back and compares the
change id to determine the outcome; it never repeats a write blindly. Each call
has an id: a connection is reused only after a response that names its call, so that
a late copy of a response is not taken for the response to a later call.
"""

from __future__ import annotations

import asyncio
import time
import uuid
from dataclasses import dataclass
from urllib.parse import quote

import msgspec

from rosemarydeal.core import Address, CodedError, Versioned
from rosemarydeal.proxy import (
    BytesBody,
    ConnectionSettings,
    Pool,
    PoolSettings,
    Request,
    Response,
    find_header,
    read_bytes,
)

from . import budget
from .errors import PlatformConflict, PlatformError, PlatformUnavailable
from .interface import Changes
from .wire import CALL_ID, ChangesBody

__all__ = ["PlatformClient", "PlatformSettings"]

MAX_LISTING_BYTES = 256 * 1024 * 1024
WATCH_TIMEOUT_MARGIN_S = 2.0
POOL = PoolSettings(connection=ConnectionSettings(identifying_header=CALL_ID))
_CHANGES = msgspec.json.Decoder(ChangesBody)


@dataclass(frozen=True, slots=True)
class PlatformSettings:
    """Settings of the platform client.

    Attributes:
        address: Address of the object API.
        timeout_s: Timeout of a call, in seconds.
        calls_per_s: Sustained rate of calls from this process.
        burst: Calls that may be made at once.
    """

    address: Address
    timeout_s: float = 1.0
    calls_per_s: float = 5.0
    burst: float = 50.0


@dataclass(frozen=True, slots=True)
class _Reply:
    """A complete response of the platform."""

    status: int
    version: int
    change_id: str
    body: bytes


class PlatformClient:
    """Reads, writes and watches the platform's objects."""

    def __init__(self, settings: PlatformSettings) -> None:
        self._settings = settings
        self._pool = Pool(POOL)
        self._budget = budget.start(
            settings.calls_per_s, settings.burst, time.monotonic()
        )
        self._calls = 0

    @property
    def calls(self) -> int:
        """Returns the number of calls made so far."""
        return self._calls

    async def get(self, key: str) -> Versioned | None:
        """Returns an object, or None if it does not exist."""
        reply = await self._call(b"GET", _object_target(key))
        return (
            Versioned(key, reply.version, reply.body) if reply.status == 200 else None
        )

    async def list(self, prefix: str) -> tuple[Versioned, ...]:
        """Returns all objects whose key starts with a prefix."""
        reply = await self._call(b"GET", f"/objects?prefix={quote(prefix, safe='')}")
        return _decode_changes(reply).objects

    async def put(
        self, key: str, value: bytes, expected_version: int, change_id: str
    ) -> int:
        """Writes an object if its current version is the expected one.

        Args:
            key: Key of the object.
            value: New content.
            expected_version: Version that the write replaces; 0 creates the object.
            change_id: Unique id of this change, to identify it when read back.

        Returns:
            The new version.

        Raises:
            PlatformConflict: Another write came first.
            PlatformUnavailable: The outcome cannot be determined at present.
            PlatformError: The platform rejected the write.
        """
        condition = (b"if-match", b'"%d"' % expected_version)
        if expected_version == 0:
            condition = (b"if-none-match", b"*")
        headers = (condition, (b"change-id", change_id.encode("ascii")))
        try:
            reply = await self._call(b"PUT", _object_target(key), headers, value)
        except PlatformUnavailable:
            return await self._read_back(key, expected_version, change_id)
        if reply.status == 412:
            return await self._read_back(key, expected_version, change_id)
        if reply.status != 200:
            raise PlatformError(f"{key}: status {reply.status}")
        return reply.version

    async def watch(
        self, prefixes: tuple[str, ...], after: int, timeout_s: float
    ) -> Changes:
        """Waits for a change to an object under any of the prefixes.

        Args:
            prefixes: Key prefixes to watch, all in one call.
            after: Revision after which changes are returned.
            timeout_s: Longest wait for a change, in seconds.

        Returns:
            The changes, empty if there was none before the timeout.
        """
        query = "&".join(f"prefix={quote(prefix, safe='')}" for prefix in prefixes)
        target = f"/changes?{query}&after={after}&wait_s={timeout_s}"
        call_timeout_s = timeout_s + WATCH_TIMEOUT_MARGIN_S
        return _decode_changes(
            await self._call(b"GET", target, timeout_override_s=call_timeout_s)
        )

    async def close(self) -> None:
        """Closes all connections."""
        await self._pool.close()

    async def _read_back(self, key: str, expected: int, change_id: str) -> int:
        """Determines by a read whether a write with an unclear outcome took effect."""
        reply = await self._call(b"GET", _object_target(key))
        if reply.status == 200 and reply.change_id == change_id:
            return reply.version
        if (reply.version if reply.status == 200 else 0) == expected:
            raise PlatformUnavailable(f"{key}: the write has not taken effect yet")
        raise PlatformConflict(f"{key}: version {reply.version}, expected {expected}")

    async def _call(
        self,
        method: bytes,
        target: str,
        headers: tuple[tuple[bytes, bytes], ...] = (),
        body: bytes = b"",
        timeout_override_s: float | None = None,
    ) -> _Reply:
        """Makes one call within the call budget and reads the whole response."""
        await self._await_budget()
        self._calls += 1
        address = self._settings.address
        length = (b"content-length", b"%d" % len(body))
        host = (b"host", str(address).encode("ascii"))
        request = Request(
            method,
            target.encode("ascii"),
            (host, length, (CALL_ID, uuid.uuid4().hex.encode("ascii")), *headers),
            BytesBody(body),
            address,
        )
        timeout_s = timeout_override_s or self._settings.timeout_s
        try:
            async with asyncio.timeout(timeout_s):
                response = await self._pool.send(address, request, timeout_s)
                return await _read_reply(response)
        except (CodedError, OSError, TimeoutError) as error:
            raise PlatformUnavailable(f"{target}: {error!r}") from error

    async def _await_budget(self) -> None:
        """Waits until the call budget allows another call."""
        self._budget, wait_s = budget.take(self._budget, time.monotonic())
        if wait_s > 0:
            await asyncio.sleep(wait_s)


def _object_target(key: str) -> str:
    """Returns the request target of an object."""
    return f"/objects/{quote(key, safe='')}"


async def _read_reply(response: Response) -> _Reply:
    """Reads a whole response; a transient error status raises an error."""
    body = await read_bytes(response.body, MAX_LISTING_BYTES)
    version = int((find_header(response.headers, b"etag") or b"0").strip(b'"'))
    change_id = (find_header(response.headers, b"change-id") or b"").decode("ascii")
    if response.status in (429, 500, 502, 503, 504):
        raise PlatformUnavailable(f"status {response.status}")
    return _Reply(response.status, version, change_id, body)


def _decode_changes(reply: _Reply) -> Changes:
    """Decodes the response to a listing or a watch."""
    if reply.status != 200:
        raise PlatformError(f"status {reply.status}")
    try:
        body = _CHANGES.decode(reply.body)
    except msgspec.DecodeError as error:
        raise PlatformError(str(error), "platform_answer") from error
    objects = tuple(Versioned(o.key, o.version, o.value) for o in body.objects)
    return Changes(body.revision, objects)
