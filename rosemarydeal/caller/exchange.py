"""Runs the attempts of one call until it has an outcome."""

from __future__ import annotations

import asyncio
import random
import uuid
from dataclasses import dataclass

from rosemarydeal.core import Address, NotRun, Outcome, SliceId, Unknown
from rosemarydeal.core import headers as names
from rosemarydeal.core.codes import SHED_CODE, find_code
from rosemarydeal.proxy import (
    BytesBody,
    Headers,
    Pool,
    ProxyError,
    Request,
    find_header,
)

from .budget import RetryBudget
from .call import Call, Reply
from .outcomes import outcome_of_failure, read_outcome
from .route_cache import Destination, RouteCache
from .route_fetcher import RouteFetcher
from .settings import CallerSettings

__all__ = ["Exchange", "CallerContext"]

MS_PER_S = 1000.0
MAX_TICKET_DIGITS = 18
NO_PEER = Address("", 0)
NOT_RUN = names.OUTCOME_NOT_RUN.decode("ascii")
STALE_ROUTE_CODES = frozenset(
    {"connect-failed", "draining", "not-owner", "stale-ticket"}
)


@dataclass(frozen=True, slots=True)
class CallerContext:
    """State that all exchanges of a caller share."""

    settings: CallerSettings
    pool: Pool
    routes: RouteCache
    fetcher: RouteFetcher
    budget: RetryBudget
    rng: random.Random


class Exchange:
    """Sends a request to one entry after another until it ran or may have run."""

    def __init__(self, context: CallerContext, call: Call) -> None:
        self._context = context
        self._settings = context.settings
        self._call = call
        self._target = call.target.encode("latin-1")
        self._loop = asyncio.get_running_loop()
        self._created_at = self._loop.time()
        timeout_s = call.deadline_s
        if timeout_s is None:
            timeout_s = self._settings.deadline_s
        self._deadline = self._created_at + timeout_s
        self._request_id = call.request_id or uuid.uuid4().hex
        self._ticket = call.ticket
        self._use_ticket = True
        self._attempts = 0
        self._rejecting_entries: set[Address] = set()

    async def run(self) -> Reply:
        """Makes attempts until one settles the call; returns the last outcome."""
        context = self._context
        context.budget.add_request()
        if context.routes.version < 0:
            await context.fetcher.wait_for_first_table(self._deadline)
        context.fetcher.refresh_if_older(self._settings.routes_age_s)
        outcome: Outcome = NotRun(
            "deadline-passed", "The deadline passed before the first attempt."
        )
        while self._loop.time() < self._deadline:
            outcome = await self._attempt()
            if not isinstance(outcome, NotRun) or not self._should_retry(outcome):
                break
            if not await self._back_off(outcome):
                break
        outcome = self._include_earlier_call(outcome)
        return Reply(outcome, self._request_id, self._ticket, self._attempts)

    def _include_earlier_call(self, outcome: Outcome) -> Outcome:
        """Returns an outcome that also holds for the earlier call, if there is one."""
        if not self._call.resent or not isinstance(outcome, NotRun):
            return outcome
        if outcome.code == SHED_CODE:
            return outcome
        detail = f"The earlier call may have run; this one did not ({outcome.code})."
        return Unknown("may-have-run", detail)

    async def _attempt(self) -> Outcome:
        """Sends the request to the best remaining entry."""
        routes = self._context.routes
        slice_id = routes.slice_of(self._target, self._call.headers)
        destination = routes.next_destination(
            slice_id, self._rejecting_entries, self._loop.time()
        )
        if not self._call.resent:
            self._ticket = destination.ticket if self._use_ticket else None
        self._attempts += 1
        try:
            outcome = await self._send(destination.entry, slice_id)
        except ProxyError as error:
            outcome = outcome_of_failure(error)
        if isinstance(outcome, NotRun):
            self._record_rejection(destination, outcome)
        return outcome

    async def _send(self, entry: Address, slice_id: SliceId | None) -> Outcome:
        """Sends the request to one entry and reads its outcome."""
        body = BytesBody(self._call.body)
        method = self._call.method.encode("ascii")
        request = Request(method, self._target, self._headers(), body, NO_PEER)
        remaining_s = self._deadline - self._loop.time()
        response = await self._context.pool.send(entry, request, remaining_s)
        owner = find_header(response.headers, names.OWNER)
        ticket = find_header(response.headers, names.TICKET)
        outcome = await read_outcome(response, self._settings.answer_bytes)
        if owner is not None:
            self._record_owner(slice_id, owner)
        if ticket is not None and isinstance(outcome, Unknown):
            self._store_ticket(ticket)
        return outcome

    def _store_ticket(self, value: bytes) -> None:
        """Stores the ticket to which the entry bound the request."""
        if value.isdigit() and len(value) <= MAX_TICKET_DIGITS:
            self._ticket = int(value)

    def _headers(self) -> Headers:
        """Returns the headers of the next attempt."""
        now = self._loop.time()
        remaining_ms = max(1, int((self._deadline - now) * MS_PER_S))
        attempt = names.ATTEMPT_RESENT if self._call.resent else names.ATTEMPT_FIRST
        fields = [
            *self._call.headers,
            (names.IDEMPOTENCY_KEY, self._request_id.encode("latin-1")),
            (names.DEADLINE_MS, b"%d" % remaining_ms),
            (names.ATTEMPT, attempt),
        ]
        if not self._call.resent:
            age_ms = int((now - self._created_at) * MS_PER_S)
            fields.append((names.ID_AGE_MS, b"%d" % age_ms))
        if self._ticket is not None:
            fields.append((names.TICKET, b"%d" % self._ticket))
        if self._settings.tenant:
            fields.append((names.TENANT, self._settings.tenant.encode("latin-1")))
        return tuple(fields)

    def _record_owner(self, slice_id: SliceId | None, owner: bytes) -> None:
        """Caches the entry to which the request was forwarded."""
        host, _, port = owner.decode("latin-1").rpartition(":")
        if host and port.isdigit() and len(port) < 6:
            self._context.routes.cache_owner(slice_id, Address(host, int(port)))
        self._context.fetcher.refresh_if_older(self._settings.routes_pause_s)

    def _record_rejection(self, destination: Destination, outcome: NotRun) -> None:
        """Updates routes and exclusions after an attempt that did not run."""
        if outcome.code == "connect-failed":
            until = self._loop.time() + self._settings.silent_s
            self._context.routes.mark_unreachable(destination.entry, until)
        if outcome.code == "stale-ticket":
            self._use_ticket = False
        elif not find_code(outcome.code, NOT_RUN).under_load:
            self._rejecting_entries.add(destination.entry)
        if outcome.code in STALE_ROUTE_CODES:
            self._context.fetcher.refresh_if_older(self._settings.routes_pause_s)

    def _should_retry(self, outcome: NotRun) -> bool:
        """Returns whether to retry a request that did not run."""
        code = find_code(outcome.code, NOT_RUN)
        if not code.worth_retrying or self._attempts >= self._settings.attempts:
            return False
        return not code.under_load or self._context.budget.take_retry()

    async def _back_off(self, outcome: NotRun) -> bool:
        """Waits before the next attempt; returns False if the deadline is too close."""
        doubled_s = self._settings.pause_s * 2 ** (self._attempts - 1)
        limit_s = min(doubled_s, self._settings.longest_pause_s)
        jitter = 0.5 + self._context.rng.random() / 2
        delay_s = max(outcome.retry_after, limit_s * jitter)
        if self._loop.time() + delay_s >= self._deadline:
            return False
        await asyncio.sleep(delay_s)
        return True
