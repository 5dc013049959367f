"""Client of the platform's store."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import AsyncIterator, Callable, Iterable, Mapping
from contextlib import asynccontextmanager
from dataclasses import dataclass, replace
from urllib.parse import quote

import msgspec
import structlog

from rosemarydeal.core import Address, CodedError
from rosemarydeal.core.clock import now
from rosemarydeal.core.fleet import Revision, StoredObject
from rosemarydeal.proxy import (
    BytesBody,
    Headers,
    Pool,
    PoolSettings,
    ProxyTimeout,
    Request,
    find_header,
    read_bytes,
)

from .errors import (
    ForeignAnswer,
    HistoryGone,
    StoreConflict,
    StoreError,
    StoreRestored,
    StoreTimeout,
    StoreUnavailable,
)
from .names import OBJECTS_PATH, STORE_ERA
from .rejected_objects import RejectedObjects
from .store_answers import (
    ListBody,
    Reply,
    WatchBody,
    changed_object,
    check_name,
    check_status,
    decode_list,
    decode_object,
    decode_written,
    listed_object,
    stated_name,
)

__all__ = ["Listing", "StoreCall", "StoreClient", "StoreSettings"]

MS_PER_S = 1000.0
MAX_ANSWER_BYTES = 16 * 1024 * 1024
# Fits into 64 bits.
MAX_ERA_DIGITS = 18
STALE_QUERY = "&allow_stale=1"
NOT_FOUND = 404
GONE = 410
REJECTED_STATUSES = (429, 503)

_log = structlog.get_logger()


@dataclass(frozen=True, slots=True)
class StoreSettings:
    """Settings of the client.

    Attributes:
        address: Address of the store.
        timeout_s: Timeout of a call, 75 times the usual response time.
        longest_list_timeout_s: Longest timeout of a listing, after others have timed
            out.
        watch_slack_s: Time added to the wait of a watch to get its timeout, unless the
            caller names another.
        fast_answer_s: A connection is taken for silent if a new one answers within
            this time; otherwise the store may only be slow.
    """

    address: Address
    timeout_s: float = 0.3
    longest_list_timeout_s: float = 1.2
    watch_slack_s: float = 1.0
    fast_answer_s: float = 0.2


@dataclass(frozen=True, slots=True)
class Listing:
    """The objects of a kind, or those that changed.

    Attributes:
        objects: The objects; deleted ones have no content.
        revision: Revision of the store that the listing reflects.
        after_silence: Whether a connection had fallen silent, and another brought it.
    """

    objects: tuple[StoredObject, ...]
    revision: Revision
    after_silence: bool = False


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
        # Objects do not name their kind, so that a late copy of the listing of one
        # kind must not arrive where that of another is expected.
        self._pools: dict[str, Pool] = {}
        self._calls: Counter[StoreCall] = Counter()
        self._era = 0
        # By kind, after listings that timed out.
        self._list_timeouts_s: dict[str, float] = {}

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
            reply = await self._call_list(kind, query)
            async with self._checked(kind):
                page = decode_list(reply, ListBody)
            if era is not None and era != reply.era:
                raise StoreUnavailable(f"{kind}: restored while it was listed")
            era = reply.era
            listed = [
                listed_object(kind, item, era, page.current_rev) for item in page.items
            ]
            self._report_unreadable(listed)
            objects += listed
            if not page.truncated or not listed:
                return Listing(tuple(objects), Revision(era, page.current_rev))
            last = next((o.name for o in reversed(listed) if o.name), after)
            if last == after:
                raise StoreError(f"{kind}: no readable name follows {after!r}")
            after = last

    async def _call_list(self, kind: str, query: str) -> Reply:
        """Asks for a page of a listing; waits longer after one that took too long.

        Without a listing, a process would not serve at all while the store is slow.
        """
        timeout_s = self._list_timeouts_s.get(kind, self._settings.timeout_s)
        try:
            reply = await self._call("list", kind, b"GET", query, wait=timeout_s)
        except StoreTimeout:
            longest_s = self._settings.longest_list_timeout_s
            self._list_timeouts_s[kind] = min(longest_s, 2.0 * timeout_s)
            raise
        self._list_timeouts_s.pop(kind, None)
        return reply

    async def get(self, kind: str, name: str) -> StoredObject | None:
        """Returns the current object, or None if there is none."""
        reply = await self._call("read", kind, b"GET", f"/{_quoted(name)}")
        if reply.status == NOT_FOUND:
            return None
        async with self._checked(kind):
            return decode_object(kind, name, reply)

    async def watch(
        self,
        kind: str,
        revision: Revision,
        wait_s: float,
        stale: bool = False,
        slack_s: float | None = None,
    ) -> Listing:
        """Waits for changes of a kind after a revision.

        If no answer comes, changes are asked for once more, over a new connection.

        Args:
            kind: The kind.
            revision: Revision up to which changes have been received.
            wait_s: Longest wait for a change, in seconds.
            stale: Whether changes may arrive seconds late, at a tenth of the cost.
            slack_s: Longest time for the answer after the wait, in seconds.

        Raises:
            HistoryGone: The store has dropped the history after that revision, or
                was restored since.
        """
        self._check_era(kind, revision)
        query = f"?watch={revision.number}&wait_ms={int(wait_s * MS_PER_S)}"
        if stale:
            query += STALE_QUERY
        longest_slack_s = self._settings.watch_slack_s
        timeout_s = wait_s + (slack_s or longest_slack_s)
        after_silence = False
        try:
            reply = await self._call("watch", kind, b"GET", query, wait=timeout_s)
        except StoreTimeout:
            # Only the connection may have fallen silent; this takes a new one.
            query = f"?watch={revision.number}&wait_ms=0"
            asked_at = now()
            reply = await self._call("watch", kind, b"GET", query, wait=longest_slack_s)
            after_silence = now() - asked_at < self._settings.fast_answer_s
        if reply.status == GONE:
            raise HistoryGone(f"{kind}: history since {revision} is gone")
        self._check_era(kind, revision)
        async with self._checked(kind):
            answer = decode_list(reply, WatchBody)
        changes = [
            changed_object(kind, event, reply.era, answer.current_rev)
            for event in answer.events
        ]
        self._report_unreadable(changes)
        revision = Revision(reply.era, answer.current_rev)
        return Listing(tuple(changes), revision, after_silence)

    async def create(self, kind: str, name: str, content: bytes) -> StoredObject:
        """Creates an object.

        Raises:
            StoreConflict: It already exists.
            StoreUnavailable: The outcome is unknown, or the call was rejected.
        """
        body = _body(name, content, None)
        reply = await self._call("create", kind, b"POST", "", body)
        async with self._checked(kind):
            return decode_written(kind, name, reply, content)

    async def replace(
        self, kind: str, name: str, content: bytes, revision: Revision
    ) -> StoredObject:
        """Replaces an object if it is still at a revision.

        Raises:
            StoreConflict: It has changed or was deleted.
            StoreRestored: The store was restored since the revision was read.
            StoreUnavailable: The outcome is unknown, or the call was rejected.
        """
        self._check_condition(kind, name, revision)
        body = _body(name, content, revision.number)
        reply = await self._call("replace", kind, b"PUT", f"/{_quoted(name)}", body)
        async with self._checked(kind):
            try:
                return decode_written(kind, name, reply, content, revision.number)
            except StoreConflict as conflict:
                if reply.era > revision.era:
                    raise StoreRestored(conflict.detail, conflict.current) from conflict
                raise

    async def remove(self, kind: str, name: str, revision: Revision) -> None:
        """Removes an object if it is still at a revision or already deleted.

        Raises:
            StoreConflict: It has changed.
            StoreRestored: The store was restored since the revision was read.
            StoreUnavailable: The outcome is unknown, or the call was rejected.
        """
        self._check_condition(kind, name, revision)
        suffix = f"/{_quoted(name)}?rev={revision.number}"
        reply = await self._call("remove", kind, b"DELETE", suffix)
        if reply.status != NOT_FOUND:
            async with self._checked(kind):
                check_name(kind, name, stated_name(reply.body), maybe_done=True)
            check_status(kind, reply.status, reply.body)

    async def set_address(self, address: Address) -> None:
        """Calls the store at another address from now on.

        Calls that wait for an answer of the former address go on; a watch should be
        ended by its caller.
        """
        self._settings = replace(self._settings, address=address)
        await self._close_pools()

    async def close_idle(self) -> None:
        """Closes the idle connections, as any of them may have fallen silent."""
        await self._close_pools()

    async def close(self) -> None:
        """Closes all connections."""
        await self._close_pools()

    async def _close_pools(self) -> None:
        """Closes the idle connections; those in use close when their call ends.

        After a call without an answer any of them may have fallen silent as well.
        """
        pools, self._pools = self._pools, {}
        for pool in pools.values():
            await pool.close()

    @asynccontextmanager
    async def _checked(self, kind: str) -> AsyncIterator[None]:
        """Closes the connections of a kind if an answer does not fit its call.

        The own answer may still arrive on the connection, as one to the next call.
        """
        try:
            yield
        except ForeignAnswer as error:
            _log.warning("store_answer_foreign", kind=kind, detail=error.detail)
            pool = self._pools.pop(kind, None)
            if pool is not None:
                await pool.close()
            raise

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
            raise StoreRestored(f"{kind}/{name}: restored since {revision}")

    async def _call(
        self,
        operation: str,
        kind: str,
        method: bytes,
        suffix: str,
        body: bytes = b"",
        wait: float | None = None,
    ) -> Reply:
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
                response = await self._pool(kind).send(address, request, timeout_s)
                answer = await read_bytes(response.body, MAX_ANSWER_BYTES)
        except (ProxyTimeout, TimeoutError) as error:
            await self._close_pools()
            maybe_done = is_write and getattr(error, "sent", True)
            raise StoreTimeout(f"{target}: {error!r}", maybe_done) from error
        except (CodedError, OSError) as error:
            maybe_done = is_write and getattr(error, "sent", True)
            raise StoreUnavailable(f"{target}: {error!r}", maybe_done) from error
        era = self._era_of(response.headers)
        if era < self._era:
            raise StoreUnavailable(f"{target}: answer of era {era}", is_write)
        self._note_era(era)
        if response.status in REJECTED_STATUSES:
            raise StoreUnavailable(f"{target}: status {response.status}")
        return Reply(response.status, answer, era)

    def _pool(self, kind: str) -> Pool:
        """Returns the connections for the calls of a kind."""
        pool = self._pools.get(kind)
        if pool is None:
            pool = Pool(PoolSettings(connect_time_s=self._settings.timeout_s))
            self._pools[kind] = pool
        return pool

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
