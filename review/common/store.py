"""A stand-in for the platform's store, as PROTOCOL.md describes it.

Conditional writes, listings and watches, 4 ms an answer. `on_write` may hold a
write back: it gets no response and is carried out later if its condition holds.
"""

from __future__ import annotations

import asyncio
import json
import time
from collections.abc import Callable
from urllib.parse import parse_qs, unquote, urlsplit

from common.wire import Call, Reply, Server

PREFIX = "/v1/objects/"
ANSWER_S = 0.004


class Store:
    """Objects by kind and name."""

    def __init__(self, record: Callable[[str], None]) -> None:
        self.objects: dict[tuple[str, str], dict] = {}
        self.revision = 1
        self._events: list[tuple[int, str, dict]] = []
        self._changed = asyncio.Event()
        self._record = record
        # Returns after how many seconds a write is carried out unanswered, or None.
        self.on_write: Callable[[str, str, str, dict], float | None] = lambda *_: None
        self._server = Server(self._handle)
        self._late: set[asyncio.Task[None]] = set()

    async def start(self, host: str) -> int:
        """Listens on a free port and returns it."""
        return await self._server.start(host, 0)

    async def stop(self) -> None:
        """Stops."""
        for task in self._late:
            task.cancel()
        await self._server.stop()

    def put(self, kind: str, name: str, spec: dict) -> None:
        """Writes an object as the operator does."""
        self._change(kind, name, spec)

    async def _handle(self, call: Call) -> Reply:
        url = urlsplit(call.path)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        kind, _, name = unquote(url.path[len(PREFIX) :]).partition("/")
        if "watch" in query:
            return await self._watch(kind, int(query["watch"]), query)
        if call.method == "GET":
            await asyncio.sleep(ANSWER_S)
            return self._read(kind, name, query.get("after", ""))
        content = json.loads(call.body) if call.body else {}
        metadata = content.get("metadata", {})
        name = name or metadata["name"]
        expected = metadata.get("rev", query.get("rev"))
        late_s = self.on_write(call.method, kind, name, content)
        if late_s is None:
            await asyncio.sleep(ANSWER_S)
            return self._write(call.method, kind, name, expected, content)
        task = asyncio.create_task(
            self._write_late(late_s, call.method, kind, name, expected, content)
        )
        self._late.add(task)
        await asyncio.sleep(3600)
        return Reply(0)

    async def _write_late(
        self, late_s: float, method: str, kind: str, name: str, expected, content: dict
    ) -> None:
        """Carries out a write that got no response, if its condition still holds."""
        await asyncio.sleep(late_s)
        reply = self._write(method, kind, name, expected, content)
        self._record(
            f"store: the unanswered {method} {kind}/{name} of {late_s} s ago is "
            f"carried out: status {reply.status}"
        )

    def _read(self, kind: str, name: str, after: str) -> Reply:
        if name:
            stored = self.objects.get((kind, name))
            return _json(200, stored) if stored else _json(404, {})
        names = sorted(n for k, n in self.objects if k == kind and n > after)
        page = {
            "items": [self.objects[kind, n] for n in names],
            "truncated": False,
            "current_rev": self.revision,
        }
        return _json(200, page)

    async def _watch(self, kind: str, after: int, query: dict) -> Reply:
        deadline = time.monotonic() + int(query.get("wait_ms", "0")) / 1000.0
        while True:
            events = [e for r, k, e in self._events if k == kind and r > after]
            left_s = deadline - time.monotonic()
            if events or left_s <= 0:
                return _json(200, {"events": events, "current_rev": self.revision})
            changed = self._changed
            try:
                await asyncio.wait_for(changed.wait(), left_s)
            except TimeoutError:
                continue

    def _write(
        self, method: str, kind: str, name: str, expected, content: dict
    ) -> Reply:
        old = self.objects.get((kind, name))
        if method == "POST" and old is not None:
            return _json(409, old)
        if method != "POST" and old is None:
            return _json(404, {})
        if expected is not None and old and int(expected) != old["metadata"]["rev"]:
            return _json(409, old)
        spec = None if method == "DELETE" else content["spec"]
        return _json(200, self._change(kind, name, spec))

    def _change(self, kind: str, name: str, spec: dict | None) -> dict:
        old = self.objects.pop((kind, name), None)
        if old is not None and spec == old["spec"]:
            self.objects[kind, name] = old
            return old
        self.revision += 1
        metadata = {
            "name": name,
            "rev": self.revision,
            "created": old["metadata"]["created"] if old else self.revision,
            "finalizers": [],
            "deleting": False,
        }
        shown_spec = spec if spec is not None else old["spec"]
        stored = {"metadata": metadata, "spec": shown_spec, "status": None}
        if spec is not None:
            self.objects[kind, name] = stored
        event = {"object": stored, "deleted": spec is None}
        self._events.append((self.revision, kind, event))
        self._changed.set()
        self._changed = asyncio.Event()
        return stored


def _json(status: int, value: object) -> Reply:
    body = json.dumps(value).encode()
    return Reply(status, body, {"Content-Type": "application/json"})
