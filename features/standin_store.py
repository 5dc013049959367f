"""A stand-in for the platform's store, with faults that tests switch on.

Implements the documented protocol: lists, watches and conditional writes. The
faults are a dropped history, rejected calls, late watches, writes that take effect
without an answer, at once or later, a restore from a copy, and odd bytes in place of
an object.
"""

from __future__ import annotations

import asyncio
import json
from dataclasses import replace
from urllib.parse import parse_qs, unquote, urlsplit

import msgspec

from rosemarydeal.core import Address
from rosemarydeal.proxy import HttpLimits, Request, bytes_response, read_bytes, serve

PREFIX = "/v1/objects/"
# Longer than any caller waits.
UNANSWERED_S = 30.0


class StandInStore:
    """A store that holds objects by kind and name."""

    def __init__(self):
        self.objects = {}
        # Bytes sent in place of an object, by kind and name.
        self.odd_bytes = {}
        self.revision = 1
        # Objects on one page of a listing.
        self.page_objects = 500
        self.events = []
        self.dropped_until = 0
        self.turns_away = set()
        self.rejects_writes = False
        self.lose_answers = 0
        # By kind: how much later its next write is carried out, in seconds.
        self.late_writes_s = {}
        # Statuses of the writes that were carried out late.
        self.late_statuses = []
        self.stale_s = 0.0
        self.calls = []
        # How much later each call is answered, in seconds.
        self.answer_s = 0.0
        self._callers = set()
        self._silent_callers = set()
        self.era = 1
        self._copy = None
        self._changed = asyncio.Event()
        self._server = None

    async def start(self, host, port=0):
        """Starts to listen, on a free port unless one is given; returns its address."""
        self._server = await serve(self.answer, Address(host, port), HttpLimits())
        return self._server.address

    async def move(self):
        """Listens on another port and no longer on the former; returns the address."""
        former = self._server
        address = await self.start(former.address.host)
        await former.close()
        return address

    async def close(self):
        await self._server.close()

    def put(self, kind, name, spec):
        """Writes an object as an operator does."""
        return self._change(kind, name, spec)

    def put_odd(self, kind, name, odd_object):
        """Writes an object as a faulty writer does.

        Args:
            kind: Kind of the object.
            name: Name under which the store files it.
            odd_object: Its bytes; `REVISION` stands for its revision.
        """
        stored = self._change(kind, name, {})
        revision = b"%d" % self.revision
        self.odd_bytes[kind, name] = odd_object.replace(b"REVISION", revision)
        self.events[-1] = (
            self.revision,
            kind,
            {"object": self._shown(kind, name), "deleted": False},
        )
        return stored

    def remove(self, kind, name):
        self._change(kind, name, None)

    def drop_history(self):
        """Drops all changes so far; watches must list anew."""
        self.dropped_until = self.revision

    def take_copy(self):
        """Takes the copy from which the store will be restored."""
        self._copy = (self.revision, dict(self.objects), list(self.events))

    def restore(self):
        """Restores the copy: later changes are lost, revisions are given out again."""
        self.revision, objects, events = self._copy
        self.objects, self.events = dict(objects), list(events)
        self.era += 1
        self._changed.set()

    def silence_connections(self):
        """Answers nothing any more on the connections that are open now."""
        self._silent_callers |= self._callers

    async def answer(self, request: Request):
        """Answers a call; each answer states the era."""
        self._callers.add(request.peer)
        response = await self._answer(request)
        await asyncio.sleep(self.answer_s)
        if request.peer in self._silent_callers:
            await asyncio.sleep(UNANSWERED_S)
        era = (b"store-era", str(self.era).encode())
        return replace(response, headers=(*response.headers, era))

    async def _answer(self, request: Request):
        url = urlsplit(request.target.decode())
        query = {k: v[0] for k, v in parse_qs(url.query).items()}
        kind, _, name = unquote(url.path[len(PREFIX) :]).partition("/")
        body = await read_bytes(request.body, 1 << 20)
        method = request.method.decode()
        self.calls.append((request.peer.host, method, kind))
        if request.peer.host in self.turns_away or "*" in self.turns_away:
            return bytes_response(503, b"{}")
        if "watch" in query:
            return await self._watch(kind, int(query["watch"]), query)
        if method == "GET":
            return self._read(kind, name, query.get("after", ""))
        if self.rejects_writes:
            return _json(503, {})
        late_s = self.late_writes_s.pop(kind, None)
        if late_s is not None:
            return await self._write_late(late_s, method, kind, name, query, body)
        response = self._write(method, kind, name, query, body)
        if response.status == 200 and self.lose_answers:
            self.lose_answers -= 1
            await asyncio.sleep(UNANSWERED_S)
        return response

    async def _write_late(self, late_s, *write):
        """Carries a write out later, also if its connection has closed by then."""

        def carry_out():
            self.late_statuses.append(self._write(*write).status)

        asyncio.get_running_loop().call_later(late_s, carry_out)
        await asyncio.sleep(UNANSWERED_S)
        return _json(503, {})

    def _shown(self, kind, name):
        """Returns an object as answers contain it."""
        odd_bytes = self.odd_bytes.get((kind, name))
        return msgspec.Raw(odd_bytes) if odd_bytes else self.objects[kind, name]

    def _read(self, kind, name, after):
        if name:
            known = (kind, name) in self.objects
            return _json(200, self._shown(kind, name)) if known else _json(404, {})
        names = sorted(n for k, n in self.objects if k == kind and n > after)
        items = [self._shown(kind, n) for n in names[: self.page_objects]]
        page = {
            "items": items,
            "truncated": len(names) > self.page_objects,
            "current_rev": self.revision,
        }
        return _json(200, page)

    async def _watch(self, kind, after, query):
        if after < self.dropped_until or after > self.revision:
            return _json(410, {})
        era = self.era
        deadline = asyncio.get_running_loop().time() + int(query["wait_ms"]) / 1000
        if "allow_stale" in query:
            await asyncio.sleep(self.stale_s)
        while True:
            if self.era != era:
                return _json(503, {})
            events = [e for r, k, e in self.events if k == kind and r > after]
            left = deadline - asyncio.get_running_loop().time()
            if events or left <= 0:
                return _json(200, {"events": events, "current_rev": self.revision})
            self._changed.clear()
            try:
                async with asyncio.timeout(left):
                    await self._changed.wait()
            except TimeoutError:
                continue

    def _write(self, method, kind, name, query, body):
        content = json.loads(body) if body else {}
        metadata = content.get("metadata", {})
        name = name or metadata["name"]
        expected = metadata.get("rev", query.get("rev"))
        old = self.objects.get((kind, name))
        if method == "POST" and old is not None:
            return _json(409, self._shown(kind, name))
        if method != "POST" and old is None:
            return _json(404, {})
        if expected is not None and old and int(expected) != old["metadata"]["rev"]:
            return _json(409, self._shown(kind, name))
        spec = None if method == "DELETE" else content["spec"]
        return _json(200, self._change(kind, name, spec))

    def _change(self, kind, name, spec):
        self.revision += 1
        old = self.objects.pop((kind, name), None)
        self.odd_bytes.pop((kind, name), None)
        metadata = {"name": name, "rev": self.revision, "finalizers": []}
        stored = {"metadata": metadata, "spec": spec, "status": None}
        if spec is not None:
            self.objects[kind, name] = stored
        if spec is not None or old is not None:
            event = {"object": stored, "deleted": spec is None}
            self.events.append((self.revision, kind, event))
        self._changed.set()
        return stored


def _json(status, value):
    kind = ((b"content-type", b"application/json"),)
    return bytes_response(status, msgspec.json.encode(value), kind)
