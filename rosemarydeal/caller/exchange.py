"""Carries one call through its attempts, until it has an outcome."""

from __future__ import annotations

import asyncio
import random
import uuid
from dataclasses import dataclass

from rosemarydeal.core import Address, NotRun, Outcome, SliceId, Unknown
from rosemarydeal.core import headers as names
from rosemarydeal.core.codes import find_code
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
from .routebook import RouteBook, Step
from .routefinder import RouteFinder
from .settings import CallerSettings

__all__ = ["Exchange", "Parts"]

MS_PER_S = 1000.0
MAX_TICKET_DIGITS = 18
NO_PEER = Address("", 0)
NOT_RUN = names.OUTCOME_NOT_RUN.decode("ascii")
STALE_ROUTE_CODES = frozenset(
    {"connect-failed", "draining", "not-owner", "stale-ticket"}
)


@dataclass(frozen=True, slots=True)
class Parts:
    """Holds what all exchanges of a caller share."""

    settings: CallerSettings
    pool: Pool
    book: RouteBook
    finder: RouteFinder
    budget: RetryBudget
    chance: random.Random


class Exchange:
    """Sends one request to entry after entry until it ran or may have run."""

    def __init__(self, parts: Parts, call: Call) -> None:
        self._parts = parts
        self._settings = parts.settings
        self._call = call
        self._target = call.target.encode("latin-1")
        self._loop = asyncio.get_running_loop()
        self._made_at = self._loop.time()
        allowed_s = call.deadline_s
        if allowed_s is None:
            allowed_s = self._settings.deadline_s
        self._deadline = self._made_at + allowed_s
        self._request_id = call.request_id or uuid.uuid4().hex
        self._ticket = call.ticket
        self._bound = True
        self._attempts = 0
        self._refused: set[Address] = set()

    async def run(self) -> Reply:
        """Tries entry after entry and returns the last outcome."""
        parts = self._parts
        parts.budget.add_request()
        if parts.book.version < 0:
            await parts.finder.find_first(self._deadline)
        parts.finder.refresh_after(self._settings.routes_age_s)
        outcome: Outcome = NotRun("deadline-passed", "There was no time to send it.")
        while self._loop.time() < self._deadline:
            outcome = await self._try()
            if not isinstance(outcome, NotRun) or not self._may_retry(outcome):
                break
            if not await self._pause(outcome):
                break
        return Reply(outcome, self._request_id, self._ticket, self._attempts)

    async def _try(self) -> Outcome:
        """Sends the request to the best entry that is left."""
        book = self._parts.book
        slice_id = book.slice_of(self._target, self._call.headers)
        step = book.next_step(slice_id, self._refused, self._loop.time())
        if not self._call.resent:
            self._ticket = step.ticket if self._bound else None
        self._attempts += 1
        try:
            outcome = await self._send(step.entry, slice_id)
        except ProxyError as error:
            outcome = outcome_of_failure(error)
        if isinstance(outcome, NotRun):
            self._note_refusal(step, outcome)
        return outcome

    async def _send(self, entry: Address, slice_id: SliceId | None) -> Outcome:
        """Sends the request to one entry and reads its outcome."""
        body = BytesBody(self._call.body)
        method = self._call.method.encode("ascii")
        request = Request(method, self._target, self._headers(), body, NO_PEER)
        left_s = self._deadline - self._loop.time()
        response = await self._parts.pool.send(entry, request, left_s)
        owner = find_header(response.headers, names.OWNER)
        ticket = find_header(response.headers, names.TICKET)
        outcome = await read_outcome(response, self._settings.answer_bytes)
        if owner is not None:
            self._learn(slice_id, owner)
        if ticket is not None and isinstance(outcome, Unknown):
            self._keep_ticket(ticket)
        return outcome

    def _keep_ticket(self, value: bytes) -> None:
        """Notes the ticket to which the entry bound the request."""
        if value.isdigit() and len(value) <= MAX_TICKET_DIGITS:
            self._ticket = int(value)

    def _headers(self) -> Headers:
        """Returns the headers of the next attempt."""
        moment = self._loop.time()
        left_ms = max(1, int((self._deadline - moment) * MS_PER_S))
        attempt = names.ATTEMPT_RESENT if self._call.resent else names.ATTEMPT_FIRST
        fields = [
            *self._call.headers,
            (names.IDEMPOTENCY_KEY, self._request_id.encode("latin-1")),
            (names.DEADLINE_MS, b"%d" % left_ms),
            (names.ATTEMPT, attempt),
        ]
        if not self._call.resent:
            age_ms = int((moment - self._made_at) * MS_PER_S)
            fields.append((names.ID_AGE_MS, b"%d" % age_ms))
        if self._ticket is not None:
            fields.append((names.TICKET, b"%d" % self._ticket))
        if self._settings.tenant:
            fields.append((names.TENANT, self._settings.tenant.encode("latin-1")))
        return tuple(fields)

    def _learn(self, slice_id: SliceId | None, owner: bytes) -> None:
        """Notes the entry that the request was passed on to."""
        host, _, port = owner.decode("latin-1").rpartition(":")
        if host and port.isdigit() and len(port) < 6:
            self._parts.book.learn(slice_id, Address(host, int(port)))
        self._parts.finder.refresh_after(self._settings.routes_pause_s)

    def _note_refusal(self, step: Step, outcome: NotRun) -> None:
        """Remembers where the request did not run, and why."""
        if outcome.code == "connect-failed":
            until = self._loop.time() + self._settings.silent_s
            self._parts.book.note_silent(step.entry, until)
        if outcome.code == "stale-ticket":
            self._bound = False
        elif not find_code(outcome.code, NOT_RUN).under_load:
            self._refused.add(step.entry)
        if outcome.code in STALE_ROUTE_CODES:
            self._parts.finder.refresh_after(self._settings.routes_pause_s)

    def _may_retry(self, outcome: NotRun) -> bool:
        """Tells whether a request that did not run is worth sending again."""
        code = find_code(outcome.code, NOT_RUN)
        if not code.worth_retrying or self._attempts >= self._settings.attempts:
            return False
        return not code.under_load or self._parts.budget.take_retry()

    async def _pause(self, outcome: NotRun) -> bool:
        """Waits before the next attempt and tells whether time is left for it."""
        doubled = self._settings.pause_s * 2 ** (self._attempts - 1)
        longest = min(doubled, self._settings.longest_pause_s)
        spread = 0.5 + self._parts.chance.random() / 2
        pause = max(outcome.retry_after, longest * spread)
        if self._loop.time() + pause >= self._deadline:
            return False
        await asyncio.sleep(pause)
        return True
