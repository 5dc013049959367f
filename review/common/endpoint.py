"""A stand-in for an application endpoint with keys, as PROTOCOL.md describes it."""

from __future__ import annotations

import asyncio
import json
import time
from collections.abc import Callable
from dataclasses import dataclass, field

from common.wire import Call, ConnectionEnded, Reply, Server, fetch

KEYS = 65_536


@dataclass
class Run:
    """A request at which the endpoint began to work."""

    request_id: str
    key: int | None
    began: float
    ended: float | None = None


@dataclass
class Hold:
    """Keys that the endpoint holds; the lease runs from the call's arrival."""

    first: int
    last: int
    fence: int
    until: float


@dataclass
class Endpoint:
    """One start of an endpoint; `start` begins its life and its heartbeats."""

    machine: str
    host: str
    port: int
    control_port: int
    service: str
    zone: str
    record: Callable[[str], None]
    slots: int = 6
    work_s: float = 0.22
    heartbeat_s: float = 0.87
    instance: str = ""
    state: str = "ready"
    born: int = 0
    # Whether its heartbeats reach the process beside it.
    beats: bool = True
    up: bool = False
    holds: list[Hold] = field(default_factory=list)
    runs: list[Run] = field(default_factory=list)
    _server: Server | None = None
    # How far the time of day of its machine is off.
    clock_ms: int = 0
    # Heartbeats of this start that were acknowledged.
    acknowledged: int = 0
    # When it last answered a release.
    released_at: float = -1e9
    # Returns a replacement for an answer, or None.
    on_answer: Callable[[Call], Reply | None] = lambda _: None

    async def start(self) -> None:
        """Starts to listen and to send heartbeats."""
        self.born = int(time.time() * 1000) + self.clock_ms
        self.acknowledged = 0
        self.instance = f"i-{self.machine}-{self.born % 1_000_000}"
        self._fences = [0] * KEYS
        self._sequence = 0
        self._beat_tasks: set[asyncio.Task[None]] = set()
        if self._server is None:
            self._server = Server(self._handle)
            await self._server.start(self.host, self.port)
        else:
            self._server.wake()
        self.up = True
        self._beating = asyncio.create_task(self._beat())

    async def stop(self) -> None:
        """Ends at once, as a crash does; what it held is gone."""
        self.up = False
        self._beating.cancel()
        for task in self._beat_tasks:
            task.cancel()
        if self._server is not None:
            await self._server.stop()
        self._server = None
        self.holds = []

    async def go_dark(self) -> None:
        """Loses its power: open connections stay silent, and so do new ones."""
        self.up = False
        self._beating.cancel()
        for task in self._beat_tasks:
            task.cancel()
        self._server.go_dark()
        self.holds = []

    def held(self, moment: float) -> list[Hold]:
        """Returns what it holds now."""
        if not self.up:
            return []
        self.holds = [hold for hold in self.holds if hold.until > moment]
        return self.holds

    async def _handle(self, call: Call) -> Reply:
        if call.path == "/v1/grant":
            return _echo(call, self._grant(json.loads(call.body)))
        if call.path == "/v1/release":
            return _echo(call, await self._release(json.loads(call.body)))
        if call.path == "/healthz":
            headers = {"Instance-Id": self.instance, "Server-Load": self._load()}
            return _echo(call, Reply(200, b"", headers))
        return await self._run(call)

    def _grant(self, body: dict) -> Reply:
        first, last, fence = body["from"], body["to"], body["fence"]
        if max(self._fences[first : last + 1]) > fence:
            return Reply(409)
        self._fences[first : last + 1] = [fence] * (last + 1 - first)
        self._remove(first, last)
        until = time.monotonic() + body["hold_ms"] / 1000.0
        self.holds.append(Hold(first, last, fence, until))
        self.record(f"{self.machine}: takes {first}-{last}, fence {fence}")
        return Reply(200)

    async def _release(self, body: dict) -> Reply:
        first, last = body["from"], body["to"]
        self._remove(first, last)
        self.record(f"{self.machine}: is to release {first}-{last}")
        while any(  # noqa: ASYNC110 - the rest of the file has no events either
            run.ended is None and run.key is not None and first <= run.key <= last
            for run in self.runs
        ):
            await asyncio.sleep(0.01)
        self.released_at = time.monotonic()
        return Reply(200, b"", {"Handover": f"h{body['fence']}-{first}"})

    def _remove(self, first: int, last: int) -> None:
        """Takes keys out of what it holds."""
        remaining = []
        for hold in self.holds:
            if hold.first < first:
                end = min(hold.last, first - 1)
                remaining.append(Hold(hold.first, end, hold.fence, hold.until))
            if hold.last > last:
                start = max(hold.first, last + 1)
                remaining.append(Hold(start, hold.last, hold.fence, hold.until))
        self.holds = [hold for hold in remaining if hold.first <= hold.last]

    async def _run(self, call: Call) -> Reply:
        request_id = call.headers.get("request-id", "")
        key = call.headers.get("shard-key")
        moment = time.monotonic()
        foreign = call.headers.get("target-instance", self.instance) != self.instance
        not_held = key is not None and not any(
            hold.first <= int(key) <= hold.last for hold in self.held(moment)
        )
        if foreign or not_held:
            headers = {"Not-Executed": "1", "Instance-Id": self.instance}
            return _echo(call, Reply(421, b"", headers))
        run = Run(request_id, None if key is None else int(key), moment)
        self.runs.append(run)
        self.record(f"{self.machine}: runs {request_id} key {key}")
        try:
            await asyncio.sleep(self.work_s)
        finally:
            run.ended = time.monotonic()
        replaced = self.on_answer(call)
        if replaced is not None:
            return replaced
        headers = {
            "Response-Signature": f"sig-{request_id}",
            "Server-Load": self._load(),
        }
        return _echo(call, Reply(200, f"done {request_id}".encode(), headers))

    def _load(self) -> str:
        running = sum(1 for run in self.runs[-200:] if run.ended is None)
        return f"{running},0,{self.slots},100"

    async def _beat(self) -> None:
        while True:
            if self.beats:
                task = asyncio.create_task(self._send("heartbeat", self.announcement()))
                self._beat_tasks.add(task)
                task.add_done_callback(self._beat_tasks.discard)
            await asyncio.sleep(self.heartbeat_s)

    def announcement(self) -> dict:
        """Returns the body of the next heartbeat."""
        self._sequence += 1
        return {
            "service": self.service,
            "addr": f"{self.host}:{self.port}",
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": self.state,
            "cold_left_ms": 0,
            "seq": self._sequence,
            "born": self.born,
        }

    async def _send(self, name: str, body: dict) -> bool:
        """Calls the process beside it; returns whether it acknowledged."""
        path = f"/v1/instances/{self.instance}/{name}"
        try:
            reply = await fetch(
                self.host,
                self.control_port,
                "POST",
                path,
                {"Content-Type": "application/json"},
                json.dumps(body).encode(),
                timeout_s=1.0,
            )
        except (ConnectionEnded, TimeoutError):
            return False
        acknowledged = 200 <= reply.status < 300
        self.acknowledged += acknowledged
        return acknowledged


def _echo(call: Call, reply: Reply) -> Reply:
    """Adds the id of the request to an answer."""
    request_id = call.headers.get("request-id")
    if request_id is not None:
        reply.headers.setdefault("Request-Id", request_id)
    return reply
