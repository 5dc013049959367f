"""Load generator of the demonstration; checks each answer it receives."""

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
    """Outcomes of the calls so far.

    Attributes:
        requests: Requests started.
        answers: Complete answers that belong to their request.
        mismatched: Answers that belong to another request.
        unknown: Requests whose outcome is unknown, by code.
        refusals: Refusals by code; the request was sent again.
        given_up: Requests that were refused in every attempt.
        answered_orders: Ids of orders that were answered.
        not_run_orders: Ids of orders whose final outcome was not-run.
        longest_unserved_s: Longest time from the start of a request to its
            answer, repeats included; an upper bound of the time for which any
            requested key was unserved.
    """

    requests: int = 0
    answers: int = 0
    mismatched: int = 0
    unknown: Counter[str] = field(default_factory=Counter)
    refusals: Counter[str] = field(default_factory=Counter)
    given_up: int = 0
    answered_orders: set[str] = field(default_factory=set)
    not_run_orders: set[str] = field(default_factory=set)
    longest_unserved_s: float = 0.0


@dataclass(frozen=True, slots=True)
class _Call:
    """One request of a caller, sent again after a refusal."""

    service: str
    key: str
    method: bytes
    target: bytes
    body: bytes
    request_id: str

    @property
    def is_order(self) -> bool:
        """Returns whether the request must run at most once."""
        return self.method == b"POST"

    @property
    def expected_body(self) -> bytes:
        """Returns the body of the correct answer."""
        path = self.target.partition(b"?")[0]
        encoded_id = self.request_id.encode("ascii")
        return b" ".join((self.method, path, encoded_id, self.body))


class Callers:
    """Poisson stream of lookups and orders to all services of a deployment."""

    def __init__(self, fleet: DeploymentFleet, keys: int, seed: int) -> None:
        self._fleet = fleet
        self._keys = keys
        self._random = random.Random(seed)
        self._pool = Pool(PoolSettings())
        self._report = CallerReport()
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def report(self) -> CallerReport:
        """Returns the outcomes so far."""
        return self._report

    async def run(self, rate: float, duration_s: float) -> None:
        """Starts requests at a rate without waiting for their outcomes.

        Args:
            rate: Requests started per second.
            duration_s: Time during which requests are started, in seconds.
        """
        deadline = time.monotonic() + duration_s
        next_at = time.monotonic()
        while next_at < deadline:
            task = asyncio.create_task(self._send_until_done(self._next_call()))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
            next_at += self._random.expovariate(rate)
            await asyncio.sleep(max(0.0, next_at - time.monotonic()))

    async def wait_for_all(self) -> None:
        """Waits for the outcome of every request."""
        await asyncio.gather(*self._tasks)
        await self._pool.close()

    def _next_call(self) -> _Call:
        """Draws the next request at random."""
        name = self._random.choice(sorted(self._fleet.settings.services))
        service = self._fleet.settings.services[name]
        key = f"k{self._random.randrange(self._keys)}"
        request_id = uuid.uuid4().hex
        if self._random.random() < LOOKUP_SHARE:
            target = _lookup_path(service, key)
            return _Call(name, key, b"GET", target, b"", request_id)
        target = f"/shows/{key}/orders".encode("ascii")
        return _Call(name, key, b"POST", target, request_id.encode(), request_id)

    async def _send_until_done(self, call: _Call) -> None:
        """Sends a request repeatedly until it is answered or its outcome is unknown."""
        self._report.requests += 1
        started_at = time.monotonic()
        for _ in range(MAX_SENDS):
            if await self._send_once(call, started_at):
                return
            await asyncio.sleep(RESEND_PAUSE_S * (0.5 + self._random.random()))
        self._report.given_up += 1
        if call.is_order:
            self._report.not_run_orders.add(call.request_id)

    async def _send_once(self, call: _Call, started_at: float) -> bool:
        """Sends a request once and returns whether its outcome is final."""
        vm = self._random.choice(self._fleet.running())
        port = self._fleet.settings.services[call.service].port
        address = Address(vm.settings.entry_host, port)
        try:
            response = await self._pool.send(address, self._request(call), TIMEOUT_S)
            async with response:
                body = await read_bytes(response.body, MAX_ANSWER_BYTES)
        except ProxyError as error:
            return self._record_connection_error(call, error)
        return self._record_response(call, started_at, response, body)

    def _request(self, call: _Call) -> Request:
        """Returns the HTTP request of a call."""
        request_headers = [
            (b"host", b"demo"),
            (b"content-length", b"%d" % len(call.body)),
        ]
        request_headers.append(
            (headers.IDEMPOTENCY_KEY, call.request_id.encode("ascii"))
        )
        # A call is repeated only after a refusal that states that it did not run.
        request_headers.append((headers.ATTEMPT, headers.ATTEMPT_FIRST))
        target = call.target
        match self._fleet.settings.services[call.service].key:
            case HeaderKey(name):
                request_headers.append(
                    (name.lower().encode("ascii"), call.key.encode("ascii"))
                )
            case QueryKey(name):
                target = target + f"?{name}={call.key}".encode("ascii")
        peer = Address("127.0.0.1", 0)
        return Request(
            call.method, target, tuple(request_headers), BytesBody(call.body), peer
        )

    def _record_connection_error(self, call: _Call, error: ProxyError) -> bool:
        """Records a connection error and returns whether the outcome is final."""
        if not getattr(error, "sent", True):
            self._report.refusals[error.code] += 1
            return False
        if call.is_order:
            self._report.unknown[error.code] += 1
            return True
        self._report.refusals[error.code] += 1
        return False

    def _record_response(
        self, call: _Call, started_at: float, response: Response, body: bytes
    ) -> bool:
        """Records a response and returns whether the outcome is final."""
        outcome = find_header(response.headers, headers.OUTCOME)
        code = (find_header(response.headers, headers.CODE) or b"").decode("ascii")
        if outcome == headers.OUTCOME_ANSWER:
            self._record_answer(call, started_at, body)
            return True
        if outcome == headers.OUTCOME_UNKNOWN:
            self._report.unknown[code] += 1
            return True
        self._report.refusals[code] += 1
        return False

    def _record_answer(self, call: _Call, started_at: float, body: bytes) -> None:
        """Records an answer after comparing it with the request."""
        if body != call.expected_body:
            self._report.mismatched += 1
            return
        self._report.answers += 1
        if call.is_order:
            self._report.answered_orders.add(call.request_id)
        elapsed_s = time.monotonic() - started_at
        self._report.longest_unserved_s = max(
            self._report.longest_unserved_s, elapsed_s
        )


def _lookup_path(service: ServiceSettings, key: str) -> bytes:
    """Returns a path that the service's rules declare idempotent."""
    paths = (f"/shows/{key}/seats", "/catalogue/frames", "/stock/frames")
    for path in paths:
        if service.is_idempotent("GET", path):
            return path.encode("ascii")
    return b"/other"
