"""Accepts callers' requests and routes each one to an upstream."""

from __future__ import annotations

import asyncio
import math
import random
from dataclasses import replace

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
from rosemarydeal.policy.dispatch.crash_suspects import (
    SuspectStatus,
    request_fingerprint,
    suspect_fingerprint,
    suspect_node,
)
from rosemarydeal.policy.dispatch.retry_budget import RetryBudget
from rosemarydeal.policy.keyranges import table as tables
from rosemarydeal.policy.requests import attempts, planned_stop
from rosemarydeal.policy.requests.planned_stop import NO_STOP, PlannedStop
from rosemarydeal.policy.requests.rejections import RecentRejections
from rosemarydeal.policy.routing.choice import Candidate, choose, draw, shortlist
from rosemarydeal.policy.routing.leaving import LeavingUpstreams, may_accept
from rosemarydeal.policy.routing.request_profiles import RequestProfiles
from rosemarydeal.policy.routing.route_index import RouteIndex, choose_service
from rosemarydeal.proxy import (
    BodyBuffers,
    BodyRoom,
    HeldBody,
    NoBodyRoom,
    Request,
    Response,
)

from .crash_watch import SUSPECT
from .guard import Guard
from .health import UpstreamHealth
from .links import Links
from .metrics import Metrics
from .progress import Progress
from .records import Records
from .request_reader import RequestReader
from .stop_log import log_rejection_at_entry

__all__ = ["Entry"]

NO_ROUTE = NotServed("route-not-found")
PARK_STEP_S = 0.02
# A process that stood still for a moment goes on within this time after its link was
# lost; what is sent later would be lost with the next link.
MAX_SILENCE_S = 0.5

_log = structlog.get_logger()


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
        bodies: BodyBuffers,
        answers: BodyBuffers,
    ) -> None:
        self._reader = RequestReader(bodies, metrics)
        self._answers = answers
        self._identity = identity
        self._records = records
        self._links = links
        self._guard = guard
        self._health = health
        self._accepting: dict[str, tuple[tuple[Member, ...], tuple[Member, ...]]] = {}
        # The members and the zones that are out for which these were found.
        self._accepting_of: tuple[dict[str, Member], frozenset[str]] = (
            {},
            frozenset(),
        )
        self._metrics = metrics
        self._configuration: Configuration | None = None
        self._route_index = RouteIndex({})
        self._random = random.Random()
        self._split_start = self._random.random()
        self._route_counts: dict[str, int] = {}
        self._budgets: dict[str, RetryBudget] = {}
        self._started_at = now()
        # Since when no other process on this VM has spent a part of the budgets.
        self._sole_since = -math.inf
        self._returning = RecentRejections()
        self._incarnations_tried: dict[str, str] = {}
        self._profiles = RequestProfiles()
        self._leaving = LeavingUpstreams()
        self._open_requests = 0
        self._stop = NO_STOP

    @property
    def open_requests(self) -> int:
        """Returns the number of requests that have not been answered."""
        return self._open_requests

    def configure(self, configuration: Configuration) -> None:
        """Applies a configuration."""
        if configuration is not self._configuration:
            self._configuration = configuration
            self._route_index = RouteIndex.of(configuration)

    def apply_settings(self, settings: NodeIdentity) -> None:
        """Applies changed settings; the retries so far still count."""
        self._identity = settings
        for budget in self._budgets.values():
            budget.set_bounds(settings.bounds)

    def note_predecessor(self) -> None:
        """Notes that a former process on this VM may have spent retries lately."""
        self._sole_since = self._started_at
        for budget in self._budgets.values():
            budget.set_sole_since(self._started_at)

    def begin_stop(self, stop: PlannedStop) -> None:
        """Passes requests on, from now on, only if they are answered before a stop."""
        self._stop = stop

    async def handle(self, request: Request) -> Response:
        """Handles one caller's request and returns the response.

        Its body holds room in the memory until then.
        """
        with self._reader.room() as room:
            return await self._handle(request, room)

    async def _handle(self, request: Request, room: BodyRoom) -> Response:
        """Reads a request whose body has room, and serves it."""
        arrived_at = now()
        caller = await self._reader.read(request, self._configuration, room)
        if isinstance(caller, Response):
            return caller
        self._open_requests += 1
        try:
            outcome, progress = await self._serve(caller, arrived_at)
        except asyncio.CancelledError:
            _log.info(
                "request",
                request_id=caller.request_id,
                outcome="caller-left",
                seconds=round(now() - arrived_at, 4),
            )
            raise
        finally:
            self._open_requests -= 1
        response = callers.respond(caller.request_id, outcome)
        try:
            response = self._hold_answer(response)
        except NoBodyRoom:
            outcome = OutcomeUnknown("no-memory")
            response = callers.respond(caller.request_id, outcome)
        self._record_outcome(caller, outcome, progress, now() - arrived_at)
        # The next attempt of a rejected caller should find another process.
        close = self._stop.planned and isinstance(outcome, NotServed)
        return replace(response, close=True) if close else response

    def _hold_answer(self, response: Response) -> Response:
        """Lets an answer hold room in the memory until its caller has received it.

        Raises:
            NoBodyRoom: If other answers, whose callers do not read them, have it.
        """
        return replace(response, body=HeldBody(response.body.data, self._answers))

    async def _serve(
        self, caller: CallerRequest, arrived_at: float
    ) -> tuple[RequestOutcome, Progress | None]:
        """Finds the route of a request and makes attempts until it is decided."""
        route = self._route_index.find(caller.host, caller.target)
        if route is None:
            return NO_ROUTE, None
        service = self._service_of(route)
        time_left = route.timeout_s
        if caller.time_left_s is not None:
            time_left = min(caller.time_left_s, time_left)
        fingerprint = request_fingerprint(caller.method, caller.target, caller.body)
        progress = Progress(
            caller,
            fingerprint,
            route,
            service,
            arrived_at,
            self._returning.pop_first_arrival(fingerprint, arrived_at),
            arrived_at + time_left,
            attempts.Attempts(route.idempotent, route.attempts),
        )
        self._budget(service).record_request(arrived_at)
        last_outcome = await self._run(progress)
        # The attempts are replaced during the run: read them after it.
        outcome = attempts.final_outcome(progress.attempts, last_outcome)
        if isinstance(outcome, NotServed) and progress.first_arrived_at is None:
            self._returning.record(fingerprint, arrived_at)
        return outcome, progress

    async def _run(self, progress: Progress) -> RequestOutcome:
        """Makes attempts until one decides the outcome."""
        tried: set[str] = set()
        while True:
            moment = now()
            if moment >= progress.deadline:
                return attempts.timeout_outcome(progress.attempts)
            if self._stop.too_near(moment):
                log_rejection_at_entry(progress, self._stop)
                return planned_stop.rejection(False, progress.deadline - moment)
            if self._suspect_status(progress) is SuspectStatus.BLOCKED:
                return SUSPECT
            node = await self._find_node(progress, tried)
            if isinstance(node, NotServed):
                return node
            outcome = await self._send(node, progress)
            if isinstance(outcome, Answered):
                if outcome.leaving_incarnation:
                    self._leaving.record(node, outcome.leaving_incarnation, now())
                self._profiles.update(progress.route, outcome, now() - moment)
            self._health.record(node, outcome, now())
            keyed = progress.request.key is not None and self._is_keyed(progress)
            retry = attempts.decide_retry(progress.attempts, outcome, keyed)
            if not isinstance(retry, attempts.Retry):
                return outcome
            progress.attempts = retry.attempts
            budget = self._budget(progress.service)
            nodes = len(self._records.members)
            if retry.budget_share and not budget.try_spend(
                now(), nodes, retry.budget_share
            ):
                return outcome
            if not (keyed and isinstance(outcome, NotServed)):
                tried.add(node)
            if keyed:
                tried.clear()
                await asyncio.sleep(PARK_STEP_S)

    async def _find_node(self, progress: Progress, tried: set[str]) -> str | NotServed:
        """Returns the node to send to; waits briefly while there is none."""
        park_until = now() + attempts.max_owner_wait_s(progress.deadline - now())
        while True:
            if self._is_keyed(progress) and progress.request.key is not None:
                node = self._find_owner(progress)
            else:
                node = self._choose_node(progress, tried)
            if node is not None:
                return node
            if tried or now() >= park_until:
                return attempts.no_upstream_outcome(progress.deadline - now())
            await asyncio.sleep(PARK_STEP_S)

    async def _send(self, node: str, progress: Progress) -> RequestOutcome:
        """Sends the request to a node and returns its outcome."""
        moment = now()
        request, route = progress.request, progress.route
        first_arrived_at = progress.first_arrived_at
        target_from = (
            progress.arrived_at if first_arrived_at is None else first_arrived_at
        )
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
            target_s=target_from + route.target_s - moment,
            time_left_s=progress.deadline - moment,
            cut_s=self._stop.time_left_s(moment),
        )
        if node != self._identity.node:
            return await self._links.run_on_peer(node, routed)
        try:
            async with asyncio.timeout(routed.time_left_s):
                return await self._guard.serve(routed)
        except TimeoutError:
            return OutcomeUnknown("timeout", timed_out=True)

    def _suspect_status(self, progress: Progress) -> SuspectStatus:
        """Returns how a request may run."""
        suspects = self._guard.crash_suspects
        if not suspects.any:
            return SuspectStatus.CLEAR
        moment = now()
        fingerprint = self._suspect_fingerprint(progress)
        status = suspects.status(fingerprint, moment)
        if status is SuspectStatus.BLOCKED:
            suspects.note_rejected(fingerprint, moment)
        return status

    def _suspect_fingerprint(self, progress: Progress) -> str:
        """Returns the fingerprint under which a request is a suspect."""
        return suspect_fingerprint(
            progress.service, self._identity.service, progress.fingerprint
        )

    def _find_owner(self, progress: Progress) -> str | None:
        """Returns the node that owns a request's key; None if it can't be reached."""
        table = self._records.table(progress.service)
        if table is None:
            return None
        keys = tables.lookup(table, progress.request.key)
        node = keys.node
        leaving_for_s = self._leaving.leaving_for_s(node, keys.incarnation, now())
        drain_s = self._identity.bounds.drain_s
        if leaving_for_s is not None and not may_accept(leaving_for_s, drain_s):
            return None
        return node if self._is_reachable(node, progress) else None

    def _choose_node(self, progress: Progress, tried: set[str]) -> str | None:
        """Chooses the node for a request without a key; None if there is none."""
        if self._suspect_status(progress) is SuspectStatus.SUSPECT:
            return self._choose_suspect_node(progress, tried)
        same_zone_members, other_zone_members = (
            [
                member
                for member in draw(members, self._random)
                if member.node not in tried and self._is_usable(member, progress)
            ]
            for members in self._accepting_members(progress.service)
        )
        candidates = map(
            self._candidate,
            shortlist(same_zone_members, other_zone_members, self._random),
        )
        profile = self._profiles.profile(progress.route)
        node = choose(candidates, profile, self._random.random())
        if node is not None:
            self._incarnations_tried[node] = self._records.members[node].incarnation
        return node

    def _choose_suspect_node(self, progress: Progress, tried: set[str]) -> str | None:
        """Chooses the node for a suspect, the same one as all other processes."""
        same_zone_members, other_zone_members = self._accepting_members(
            progress.service
        )
        nodes = [
            member.node
            for member in (*same_zone_members, *other_zone_members)
            if member.node not in tried and self._is_usable(member, progress)
        ]
        return suspect_node(self._suspect_fingerprint(progress), nodes)

    def _accepting_members(
        self, service: str
    ) -> tuple[tuple[Member, ...], tuple[Member, ...]]:
        """Returns the members that take requests, in the own zone and elsewhere.

        They are kept until the members or the zones that are out change, since a
        request must not cost a step for each process of the fleet.
        """
        members, zones_out = self._records.members, self._records.zones_out
        if self._accepting_of[0] is not members or self._accepting_of[1] != zones_out:
            self._accepting.clear()
            self._leaving.retain(frozenset(members))
            self._accepting_of = (members, zones_out)
        accepting = self._accepting.get(service)
        if accepting is None:
            usable = [
                member
                for member in members.values()
                if member.service == service
                and member.accepting
                and member.zone not in zones_out
            ]
            zone = self._identity.zone
            accepting = self._accepting[service] = (
                tuple(member for member in usable if member.zone == zone),
                tuple(member for member in usable if member.zone != zone),
            )
        return accepting

    def _is_reachable(self, node: str, progress: Progress) -> bool:
        """Returns whether a request can be sent to a node.

        It is sent only over a link on which the node's process has answered, as its
        outcome could not be settled otherwise. For a short time, one that may run again
        and only there is sent in any case: the process may just stand still.
        """
        if node == self._identity.node or self._links.answers(node):
            return True
        if not progress.route.idempotent or not self._is_keyed(progress):
            return False
        return (
            self._links.is_up(node) and self._links.unreachable_s(node) < MAX_SILENCE_S
        )

    def _is_usable(self, member: Member, progress: Progress) -> bool:
        """Returns whether new requests can be sent to a member."""
        node = member.node
        if self._leaving.leaving_for_s(node, member.incarnation, now()) is not None:
            return False
        reachable = self._is_reachable(node, progress)
        return reachable and not self._links.is_leaving(node)

    def _candidate(self, member: Member) -> Candidate:
        """Builds the routing candidate of a member that can be reached."""
        node, slots = member.node, member.slots
        same_zone = member.zone == self._identity.zone
        failure_share = self._health.failure_share(node, now())
        untried = self._incarnations_tried.get(node) != member.incarnation
        if node == self._identity.node:
            load = self._guard.running + self._guard.waiting
            slowdown = self._guard.slowdown
            return Candidate(
                node,
                same_zone,
                slots,
                load,
                load,
                slowdown,
                failure_share,
                untried,
                self._guard.limit_delay_s,
            )
        state = self._links.peer_state(node)
        reported_load = state.running + state.waiting if state is not None else 0
        slowdown = state.slowdown if state is not None else member.pace
        outstanding = self._links.outstanding(node)
        return Candidate(
            node,
            same_zone,
            slots,
            outstanding,
            reported_load,
            slowdown,
            failure_share,
            untried,
            self._links.limit_delay_s(node),
        )

    def _service_of(self, route: Route) -> str:
        """Returns the service that the next request of a route goes to."""
        count = self._route_counts.get(route.name, 0)
        self._route_counts[route.name] = count + 1
        return choose_service(route, self._split_start, count)

    def _is_keyed(self, progress: Progress) -> bool:
        """Returns whether the request's service is keyed."""
        service = self._configuration.services.get(progress.service)
        return service is not None and service.keyed

    def _budget(self, service: str) -> RetryBudget:
        """Returns the retry budget of a service."""
        budget = self._budgets.get(service)
        if budget is None:
            budget = RetryBudget(self._identity.bounds, self._sole_since)
            self._budgets[service] = budget
        return budget

    def _record_outcome(
        self,
        caller: CallerRequest,
        outcome: RequestOutcome,
        progress: Progress | None,
        seconds: float,
    ) -> None:
        """Records the outcome of a request in the log and the metrics."""
        label, code = attempts.outcome_labels(outcome)
        service = progress.service if progress is not None else ""
        route = progress.route.name if progress is not None else ""
        self._metrics.count_request(service, route, label, code, seconds)
        configuration = self._configuration
        _log.info(
            "request",
            request_id=caller.request_id,
            route=route,
            service=service,
            key=caller.key,
            outcome=label,
            code=code,
            seconds=round(seconds, 4),
            attempts=progress.attempts.count if progress is not None else 0,
            configuration=configuration.version if configuration else None,
        )
