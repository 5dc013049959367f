"""Plays the callers of a deployment and checks what comes back."""

from __future__ import annotations

import asyncio
import random
import time
import uuid
from collections import Counter
from dataclasses import dataclass, field

from rosemarydeal.core import Address, headers
from rosemarydeal.proxy import (
    BytesBody,
    Pool,
    PoolSettings,
    ProxyError,
    Request,
    Response,
    find_header,
    read_bytes,
)
from rosemarydeal.settings import HeaderKey, QueryKey, ServiceSettings

from .fleet import DeploymentFleet

__all__ = ["CallerReport", "Callers"]

MAX_ANSWER_BYTES = 1024 * 1024
TIMEOUT_S = 6.0
RESEND_PAUSE_S = 0.05
MAX_SENDS = 120
LOOKUP_SHARE = 0.7


@dataclass(slots=True)
class CallerReport:
    """Counts the outcomes that callers saw.

    Attributes:
        requests: Requests begun.
        answers: Whole answers to the caller's own request.
        crossed: Answers that belong to another request.
        unknown: Requests that ended unknown, by code.
        refusals: Refusals by code; the request was sent again.
        given_up: Requests that were refused to the end.
        answered_orders: Ids of orders that were answered.
        not_run_orders: Ids of orders whose last word was not run.
        longest_unserved_s: Longest time from a request's begin to its answer,
            all its repeats included; no key was unserved for longer.
    """

    requests: int = 0
    answers: int = 0
    crossed: int = 0
    unknown: Counter[str] = field(default_factory=Counter)
    refusals: Counter[str] = field(default_factory=Counter)
    given_up: int = 0
    answered_orders: set[str] = field(default_factory=set)
    not_run_orders: set[str] = field(default_factory=set)
    longest_unserved_s: float = 0.0


@dataclass(frozen=True, slots=True)
class _Job:
    """Is one request that a caller makes."""

    service: str
    key: str
    method: bytes
    target: bytes
    body: bytes
    request_id: str

    @property
    def order(self) -> bool:
        """Says whether the request must run once."""
        return self.method == b"POST"

    @property
    def expected(self) -> bytes:
        """Returns the answer that belongs to the request."""
        path = self.target.partition(b"?")[0]
        identity = self.request_id.encode("ascii")
        return b" ".join((self.method, path, identity, self.body))


class Callers:
    """Makes a steady stream of lookups and orders."""

    def __init__(self, fleet: DeploymentFleet, keys: int, seed: int) -> None:
        self._fleet = fleet
        self._keys = keys
        self._random = random.Random(seed)
        self._pool = Pool(PoolSettings())
        self._report = CallerReport()
        self._jobs: set[asyncio.Task[None]] = set()

    @property
    def report(self) -> CallerReport:
        """Returns what callers saw so far."""
        return self._report

    async def run(self, rate: float, duration_s: float) -> None:
        """Begins requests at a rate for a time and waits for none of them.

        Args:
            rate: Requests begun per second.
            duration_s: How long, in seconds.
        """
        ends = time.monotonic() + duration_s
        due = time.monotonic()
        while due < ends:
            task = asyncio.create_task(self._finish(self._draw()))
            self._jobs.add(task)
            task.add_done_callback(self._jobs.discard)
            due += self._random.expovariate(rate)
            await asyncio.sleep(max(0.0, due - time.monotonic()))

    async def finish(self) -> None:
        """Waits for all requests that were begun."""
        await asyncio.gather(*self._jobs)
        await self._pool.close()

    def _draw(self) -> _Job:
        """Draws the next request."""
        name = self._random.choice(sorted(self._fleet.settings.services))
        service = self._fleet.settings.services[name]
        key = f"k{self._random.randrange(self._keys)}"
        request_id = uuid.uuid4().hex
        if self._random.random() < LOOKUP_SHARE:
            target = _lookup_path(service, key)
            return _Job(name, key, b"GET", target, b"", request_id)
        target = f"/shows/{key}/orders".encode("ascii")
        return _Job(name, key, b"POST", target, request_id.encode(), request_id)

    async def _finish(self, job: _Job) -> None:
        """Sends one request until it has an answer or an unknown outcome."""
        self._report.requests += 1
        began = time.monotonic()
        for _ in range(MAX_SENDS):
            if await self._send(job, began):
                return
            await asyncio.sleep(RESEND_PAUSE_S * (0.5 + self._random.random()))
        self._report.given_up += 1
        if job.order:
            self._report.not_run_orders.add(job.request_id)

    async def _send(self, job: _Job, began: float) -> bool:
        """Sends a request once and says whether it is over."""
        station = self._random.choice(self._fleet.running())
        port = self._fleet.settings.services[job.service].port
        address = Address(station.settings.entry_host, port)
        try:
            response = await self._pool.send(address, self._request(job), TIMEOUT_S)
            async with response:
                body = await read_bytes(response.body, MAX_ANSWER_BYTES)
        except ProxyError as error:
            return self._note_broken(job, error)
        return self._note_response(job, began, response, body)

    def _request(self, job: _Job) -> Request:
        """Returns the HTTP request of a job."""
        fields = [(b"host", b"demo"), (b"content-length", b"%d" % len(job.body))]
        fields.append((headers.IDEMPOTENCY_KEY, job.request_id.encode("ascii")))
        # A job is only sent again after a refusal that says it did not run.
        fields.append((headers.ATTEMPT, headers.ATTEMPT_FIRST))
        target = job.target
        match self._fleet.settings.services[job.service].key:
            case HeaderKey(name):
                fields.append((name.lower().encode("ascii"), job.key.encode("ascii")))
            case QueryKey(name):
                target = target + f"?{name}={job.key}".encode("ascii")
        peer = Address("127.0.0.1", 0)
        return Request(job.method, target, tuple(fields), BytesBody(job.body), peer)

    def _note_broken(self, job: _Job, error: ProxyError) -> bool:
        """Notes a connection that gave no response."""
        if not getattr(error, "sent", True):
            self._report.refusals[error.code] += 1
            return False
        if job.order:
            self._report.unknown[error.code] += 1
            return True
        self._report.refusals[error.code] += 1
        return False

    def _note_response(
        self, job: _Job, began: float, response: Response, body: bytes
    ) -> bool:
        """Notes a response and says whether the request is over."""
        outcome = find_header(response.headers, headers.OUTCOME)
        code = (find_header(response.headers, headers.CODE) or b"").decode("ascii")
        if outcome == headers.OUTCOME_ANSWER:
            self._note_answer(job, began, body)
            return True
        if outcome == headers.OUTCOME_UNKNOWN:
            self._report.unknown[code] += 1
            return True
        self._report.refusals[code] += 1
        return False

    def _note_answer(self, job: _Job, began: float, body: bytes) -> None:
        """Notes an answer after comparing it with the request."""
        if body != job.expected:
            self._report.crossed += 1
            return
        self._report.answers += 1
        if job.order:
            self._report.answered_orders.add(job.request_id)
        waited = time.monotonic() - began
        self._report.longest_unserved_s = max(self._report.longest_unserved_s, waited)


def _lookup_path(service: ServiceSettings, key: str) -> bytes:
    """Returns a path that the service's rules call idempotent."""
    paths = (f"/shows/{key}/seats", "/catalogue/frames", "/stock/frames")
    for path in paths:
        if service.is_idempotent("GET", path):
            return path.encode("ascii")
    return b"/other"
