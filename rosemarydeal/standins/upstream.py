"""Stand-in upstream with fault injection that counts what it runs.

Tests and the demonstration take their verdict from these counts only: how
often each request ran, and whether the upstream got more requests than a cold
start allows.
"""

from __future__ import annotations

import asyncio
import math
import time
import uuid
from collections import Counter
from dataclasses import dataclass, field, replace

import msgspec

from rosemarydeal.core import Address
from rosemarydeal.core.headers import IDEMPOTENCY_KEY
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

__all__ = ["StandInUpstream", "UpstreamBehaviour", "UpstreamCounts"]

MAX_BODY_BYTES = 16 * 1024 * 1024
POISON_MARKER = b"poison"
WORK_MS_HEADER = b"standin-work-ms"
"""Header with the service time of its request, in ms; overrides the default."""

COUNTS_PATH = b"/standin/counts"
"""Path that returns the counts as JSON."""

MS_PER_S = 1000.0


@dataclass(slots=True)
class UpstreamBehaviour:
    """Configurable behaviour of a stand-in upstream; tests change it in place.

    Attributes:
        slots: Number of requests that it runs concurrently.
        connections: Number of connections that it accepts.
        service_time_s: Service time of one request when warm, in seconds.
        slowdown: Factor on the service time.
        cold_s: Length of the cold start, in seconds.
        cold_share: Share of the slots that it can use at the start of the cold
            start; the share grows linearly to 1 over the cold start.
        checks_grants: Whether it rejects a fencing token older than the newest.
        health_always_ok: Whether its health endpoint answers 200 in any case.
        failing: Whether each request fails with status 500.
    """

    slots: int = 20
    connections: int = 110
    service_time_s: float = 0.002
    slowdown: float = 1.0
    cold_s: float = 30.0
    cold_share: float = 0.1
    checks_grants: bool = True
    health_always_ok: bool = False
    failing: bool = False


@dataclass(slots=True)
class UpstreamCounts:
    """Counters shared by all incarnations of all upstreams of a test.

    Attributes:
        runs: Number of runs of each non-idempotent request, by its id.
        requests: Number of requests that ran, of any kind.
        overfed_cold: Requests rejected because they exceeded the capacity of
            the cold upstream.
        shed: Requests rejected because all slots were busy.
        stale_grants: Requests rejected for an old fencing token.
        crashes: Number of crashes caused by a request.
    """

    runs: Counter[str] = field(default_factory=Counter)
    requests: int = 0
    overfed_cold: int = 0
    shed: int = 0
    stale_grants: int = 0
    crashes: int = 0

    @property
    def run_twice(self) -> int:
        """Returns the number of requests that ran more than once."""
        return sum(1 for count in self.runs.values() if count > 1)


@dataclass(frozen=True, slots=True)
class LoadBody:
    """Body of the load endpoint's response."""

    running: int
    slots: int


class StandInUpstream:
    """One upstream, served on loopback."""

    def __init__(
        self, address: Address, behaviour: UpstreamBehaviour, counts: UpstreamCounts
    ) -> None:
        self._address = address
        self._behaviour = behaviour
        self._counts = counts
        self._server: HttpServer | None = None
        self._running = 0
        self._started = 0.0
        self._incarnation = ""
        self._tokens: dict[bytes, int] = {}

    @property
    def address(self) -> Address:
        """Returns the address of the upstream."""
        return self._address

    @property
    def behaviour(self) -> UpstreamBehaviour:
        """Returns the behaviour, which may be changed in place."""
        return self._behaviour

    @property
    def counts(self) -> UpstreamCounts:
        """Returns the counts."""
        return self._counts

    @property
    def incarnation(self) -> str:
        """Returns the id of the present incarnation."""
        return self._incarnation

    @property
    def serving(self) -> bool:
        """Returns whether the upstream runs."""
        return self._server is not None

    @property
    def cold(self) -> bool:
        """Returns whether the upstream is in its cold start."""
        return time.monotonic() < self._started + self._behaviour.cold_s

    @property
    def current_capacity(self) -> int:
        """Returns the number of concurrent requests that it can run now."""
        if not self.cold:
            return self._behaviour.slots
        share = self._behaviour.cold_share
        elapsed_share = (time.monotonic() - self._started) / self._behaviour.cold_s
        share += (1.0 - share) * elapsed_share
        return max(1, math.floor(self._behaviour.slots * share))

    async def start(self) -> None:
        """Starts a new incarnation, cold."""
        self._started = time.monotonic()
        self._incarnation = uuid.uuid4().hex
        self._running = 0
        limits = HttpLimits(connections_per_address=self._behaviour.connections)
        self._server = await serve(self._handle, self._address, limits)
        self._address = self._server.address

    async def stop(self) -> None:
        """Stops at once; running requests are lost."""
        server, self._server = self._server, None
        if server is not None:
            await server.close()

    def begin_cold_start(self) -> None:
        """Begins a cold start without a restart."""
        self._started = time.monotonic()

    async def _handle(self, request: Request) -> Response:
        """Routes a request to the health, load and counts endpoints or runs it."""
        path = request.target.partition(b"?")[0]
        if path == b"/health":
            return self._health()
        if path == b"/load":
            body = msgspec.json.encode(LoadBody(self._running, self._behaviour.slots))
            return bytes_response(200, body)
        if path == COUNTS_PATH:
            return bytes_response(200, msgspec.json.encode(self._counts))
        return await self._admit(request, path)

    def _health(self) -> Response:
        """Returns the state of health, or 200 if a false report is configured."""
        healthy = self._behaviour.health_always_ok or not self._behaviour.failing
        return bytes_response(200 if healthy else 503, b"")

    async def _admit(self, request: Request, path: bytes) -> Response:
        """Runs a request unless it has to be rejected."""
        code = self._rejection_code(request)
        if code is not None:
            return _named(request, _not_run_response(code))
        self._running += 1
        try:
            return _named(request, await self._run(request, path))
        finally:
            self._running -= 1

    def _rejection_code(self, request: Request) -> bytes | None:
        """Returns the code of the rejection, or None if the request may run."""
        if self._behaviour.checks_grants and not self._check_grant(request):
            self._counts.stale_grants += 1
            return b"stale-grant"
        if self.cold and self._running >= self.current_capacity:
            self._counts.overfed_cold += 1
            return b"overfed-cold"
        if self._running >= self._behaviour.slots:
            self._counts.shed += 1
            return b"shed"
        return None

    def _check_grant(self, request: Request) -> bool:
        """Returns whether no newer fencing token of the slice was seen."""
        grant = find_header(request.headers, b"rosemarydeal-grant")
        if grant is None:
            return True
        slice_name, _, token = grant.rpartition(b"=")
        newest = max(self._tokens.get(slice_name, 0), int(token))
        self._tokens[slice_name] = newest
        return int(token) == newest

    async def _run(self, request: Request, path: bytes) -> Response:
        """Runs a request and counts it."""
        body = await read_bytes(request.body, MAX_BODY_BYTES)
        self._counts.requests += 1
        request_id = find_header(request.headers, IDEMPOTENCY_KEY) or b""
        if request.method == b"POST":
            self._counts.runs[request_id.decode("latin-1")] += 1
        if POISON_MARKER in body:
            return await self._crash()
        await asyncio.sleep(self._work_s(request) * self._behaviour.slowdown)
        if self._behaviour.failing:
            return bytes_response(500, b"failing")
        echo = b" ".join((request.method, path, request_id, body))
        return bytes_response(200, echo, ((b"content-type", b"text/plain"),))

    def _work_s(self, request: Request) -> float:
        """Returns the service time of a request without slowdown, in seconds."""
        work_ms = find_header(request.headers, WORK_MS_HEADER)
        if work_ms is None:
            return self._behaviour.service_time_s
        return int(work_ms) / MS_PER_S

    async def _crash(self) -> Response:
        """Crashes on a request; the supervisor of the test restarts the upstream."""
        self._counts.crashes += 1
        server, self._server = self._server, None
        if server is not None:
            asyncio.get_running_loop().create_task(server.close())
        await asyncio.sleep(60)
        return bytes_response(500, b"")


def _named(request: Request, response: Response) -> Response:
    """Returns a response that names its request, as the protocol asks."""
    request_id = find_header(request.headers, IDEMPOTENCY_KEY)
    fields = replace_header(response.headers, IDEMPOTENCY_KEY, request_id)
    return replace(response, headers=fields)


def _not_run_response(code: bytes) -> Response:
    """Returns a rejection of a request that did not run."""
    headers = (
        (b"rosemarydeal-outcome", b"not-run"),
        (b"rosemarydeal-code", code),
        (b"retry-after", b"1"),
    )
    return bytes_response(503, b"", headers)
