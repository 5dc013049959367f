"""Takes callers' requests in and has each one run by the right upstream."""

from __future__ import annotations

import asyncio
import random
from dataclasses import dataclass

import structlog

from rosemarydeal.core.clock import now
from rosemarydeal.core.fleet import Configuration, Member, NodeIdentity, Route
from rosemarydeal.core.requests import (
    Answered,
    CallerRequest,
    NotServed,
    OutcomeUnknown,
    RequestOutcome,
    RoutedRequest,
)
from rosemarydeal.platform import callers
from rosemarydeal.platform.errors import Unreadable
from rosemarydeal.policy.dispatch.crash_suspects import request_fingerprint
from rosemarydeal.policy.dispatch.retry_budget import RetryBudget
from rosemarydeal.policy.keyranges import table as tables
from rosemarydeal.policy.requests import attempts
from rosemarydeal.policy.requests.rejections import RecentRejections
from rosemarydeal.policy.routing.choice import Candidate, choose, shortlist
from rosemarydeal.policy.routing.request_profiles import RequestProfiles
from rosemarydeal.policy.routing.route_index import RouteIndex, choose_service
from rosemarydeal.proxy import Request, Response

from .guard import Guard
from .health import UpstreamHealth
from .links import Links
from .metrics import Metrics
from .records import Records

__all__ = ["Entry"]

NOT_CONFIGURED = NotServed("not-configured", 0.5)
NO_ROUTE = NotServed("route-not-found")
PARK_STEP_S = 0.02
# Longest body that is read before a configuration says how long one may be.
UNCONFIGURED_BODY_BYTES = 1_048_576

_log = structlog.get_logger()


@dataclass(slots=True)
class _Progress:
    """Is what has happened to a request so far."""

    request: CallerRequest
    route: Route
    service: str
    arrived: float
    first_arrived: float | None
    give_up_at: float
    attempts: attempts.Attempts


class Entry:
    """Routes the requests that arrive at this process."""

    def __init__(
        self,
        identity: NodeIdentity,
        records: Records,
        links: Links,
        guard: Guard,
        health: UpstreamHealth,
        metrics: Metrics,
    ) -> None:
        self._identity = identity
        self._records = records
        self._links = links
        self._guard = guard
        self._health = health
        self._metrics = metrics
        self._configuration: Configuration | None = None
        self._book: RouteIndex | None = None
        self._random = random.Random()
        self._start = self._random.random()
        self._counts: dict[str, int] = {}
        self._budgets: dict[str, RetryBudget] = {}
        self._returning = RecentRejections()
        self._lives_tried: dict[str, str] = {}
        self._profiles = RequestProfiles()
        self._open = 0

    @property
    def open(self) -> int:
        """Returns the number of requests whose callers wait."""
        return self._open

    def configure(self, configuration: Configuration) -> None:
        """Puts a configuration in force."""
        if configuration is not self._configuration:
            self._configuration = configuration
            self._book = RouteIndex.of(configuration)

    async def handle(self, request: Request) -> Response:
        """Answers one request of a caller."""
        arrived = now()
        configuration = self._configuration
        limit = (
            configuration.limits.body_bytes
            if configuration
            else UNCONFIGURED_BODY_BYTES
        )
        try:
            caller = await callers.decode_request(request, limit)
        except Unreadable as error:
            _log.info("request_unreadable", code=error.code, detail=error.detail)
            return callers.malformed(error)
        self._open += 1
        try:
            ending, progress = await self._serve(caller, arrived)
        except asyncio.CancelledError:
            _log.info(
                "request",
                request_id=caller.request_id,
                outcome="caller-left",
                seconds=round(now() - arrived, 4),
            )
            raise
        finally:
            self._open -= 1
        self._note(caller, ending, progress, now() - arrived)
        return callers.respond(caller.request_id, ending)

    async def _serve(
        self, caller: CallerRequest, arrived: float
    ) -> tuple[RequestOutcome, _Progress | None]:
        """Finds the route of a request and has it run."""
        if self._book is None:
            return NOT_CONFIGURED, None
        route = self._book.find(caller.host, caller.target)
        if route is None:
            return NO_ROUTE, None
        service = self._service_of(route)
        time_left = min(caller.time_left_s or route.timeout_s, route.timeout_s)
        mark = request_fingerprint(caller.method, caller.target, caller.body)
        progress = _Progress(
            caller,
            route,
            service,
            arrived,
            self._returning.pop_first_arrival(mark, arrived),
            arrived + time_left,
            attempts.Attempts(route.idempotent, route.attempts),
        )
        self._budget(service).record_request(arrived)
        ending = attempts.final_outcome(progress.attempts, await self._run(progress))
        if isinstance(ending, NotServed) and progress.first_arrived is None:
            self._returning.record(mark, arrived)
        return ending, progress

    async def _run(self, progress: _Progress) -> RequestOutcome:
        """Makes attempts until one ends the request."""
        tried: set[str] = set()
        while True:
            moment = now()
            if moment >= progress.give_up_at:
                return attempts.timeout_outcome(progress.attempts)
            node = await self._find_node(progress, tried)
            if isinstance(node, NotServed):
                return node
            ending = await self._offer(node, progress)
            if isinstance(ending, Answered):
                self._profiles.update(progress.route, ending, now() - moment)
            self._health.note(node, ending, now())
            keyed = progress.request.key is not None and self._is_keyed(progress)
            step = attempts.decide_retry(progress.attempts, ending, keyed)
            if not isinstance(step, attempts.Retry):
                return ending
            progress.attempts = step.attempts
            budget = self._budget(progress.service)
            nodes = len(self._records.members)
            if step.budget_share and not budget.try_spend(
                now(), nodes, step.budget_share
            ):
                return ending
            if not (keyed and isinstance(ending, NotServed)):
                tried.add(node)
            if keyed:
                tried.clear()
                await asyncio.sleep(PARK_STEP_S)

    async def _find_node(self, progress: _Progress, tried: set[str]) -> str | NotServed:
        """Returns the node to send to, waiting for a short gap to end."""
        park_until = now() + attempts.max_owner_wait_s(progress.give_up_at - now())
        while True:
            if self._is_keyed(progress) and progress.request.key is not None:
                node = self._owner(progress.service, progress.request.key)
            else:
                node = self._choose(progress, tried)
            if node is not None:
                return node
            if tried or now() >= park_until:
                return attempts.no_upstream_outcome(progress.give_up_at - now())
            await asyncio.sleep(PARK_STEP_S)

    async def _offer(self, node: str, progress: _Progress) -> RequestOutcome:
        """Has a node run the request."""
        moment = now()
        request, route = progress.request, progress.route
        first = progress.first_arrived
        counted_from = progress.arrived if first is None else first
        routed = RoutedRequest(
            request_id=request.request_id,
            method=request.method,
            target=request.target,
            headers=request.headers,
            body=request.body,
            caller_service=self._identity.service,
            service=progress.service,
            route=route.name,
            key=request.key if self._is_keyed(progress) else None,
            idempotent=route.idempotent,
            priority=route.priority,
            target_s=counted_from + route.target_s - moment,
            time_left_s=progress.give_up_at - moment,
        )
        if node != self._identity.node:
            return await self._links.run_on_peer(node, routed)
        try:
            async with asyncio.timeout(routed.time_left_s):
                return await self._guard.serve(routed)
        except TimeoutError:
            return OutcomeUnknown("timeout", timed_out=True)

    def _owner(self, service: str, key: int) -> str | None:
        """Returns the node that owns a key, if it can be reached."""
        table = self._records.table(service)
        if table is None:
            return None
        node = tables.lookup(table, key).node
        if node == self._identity.node or self._links.is_up(node):
            return node
        return None

    def _choose(self, progress: _Progress, tried: set[str]) -> str | None:
        """Returns the best upstream for a request without a key."""
        out = self._records.zones_out
        near: list[Member] = []
        far: list[Member] = []
        for member in self._records.members.values():
            if member.service != progress.service or not member.accepting:
                continue
            if member.node in tried or member.zone in out:
                continue
            if self._is_reachable(member.node):
                same_zone = member.zone == self._identity.zone
                (near if same_zone else far).append(member)
        drawn = map(self._candidate, shortlist(near, far, self._random))
        profile = self._profiles.profile(progress.route)
        node = choose(drawn, profile, self._random.random())
        if node is not None:
            self._lives_tried[node] = self._records.members[node].incarnation
        return node

    def _is_reachable(self, node: str) -> bool:
        """Tells whether requests can be sent to a node."""
        if node == self._identity.node:
            return True
        return self._links.is_up(node) and not self._links.is_leaving(node)

    def _candidate(self, member: Member) -> Candidate:
        """Returns what is known of an upstream that can be reached."""
        node, slots = member.node, member.slots
        same_zone = member.zone == self._identity.zone
        failing = self._health.failing(node, now())
        untried = self._lives_tried.get(node) != member.incarnation
        if node == self._identity.node:
            load = self._guard.running + self._guard.waiting
            pace = self._guard.pace
            return Candidate(node, same_zone, slots, load, load, pace, failing, untried)
        state = self._links.peer_state(node)
        reported = state.running + state.waiting if state is not None else 0
        pace = state.slowdown if state is not None else member.pace
        outstanding = self._links.outstanding(node)
        return Candidate(
            node, same_zone, slots, outstanding, reported, pace, failing, untried
        )

    def _service_of(self, route: Route) -> str:
        """Returns the service that the next request of a route goes to."""
        count = self._counts.get(route.name, 0)
        self._counts[route.name] = count + 1
        return choose_service(route, self._start, count)

    def _is_keyed(self, progress: _Progress) -> bool:
        """Tells whether the request's service is keyed."""
        service = self._configuration.services.get(progress.service)
        return service is not None and service.keyed

    def _budget(self, service: str) -> RetryBudget:
        """Returns the retry budget of a service."""
        budget = self._budgets.get(service)
        if budget is None:
            budget = RetryBudget(self._identity.bounds)
            self._budgets[service] = budget
        return budget

    def _note(
        self,
        caller: CallerRequest,
        ending: RequestOutcome,
        progress: _Progress | None,
        seconds: float,
    ) -> None:
        """Writes the ending of a request into log and metrics."""
        outcome, code = attempts.outcome_labels(ending)
        service = progress.service if progress is not None else ""
        route = progress.route.name if progress is not None else ""
        self._metrics.count_request(service, route, outcome, code, seconds)
        configuration = self._configuration
        _log.info(
            "request",
            request_id=caller.request_id,
            route=route,
            service=service,
            key=caller.key,
            outcome=outcome,
            code=code,
            seconds=round(seconds, 4),
            attempts=progress.attempts.count if progress is not None else 0,
            configuration=configuration.version if configuration else None,
        )
