"""Model of an unkeyed service: entries and guards in front of fake upstreams.

Callers are spread evenly over the entries. The service time of a request is
drawn once from an exponential distribution and is the same in each attempt.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from bench.harness import (
    FakeUpstream,
    Job,
    JobOutcome,
    ServiceSpec,
    VirtualClock,
    Workload,
    poisson_arrivals,
    seeded,
)
from rosemarydeal.core import Address, Incarnation, Member, Place
from rosemarydeal.policy import entry, guard

__all__ = [
    "BalancerFleet",
    "Fleet",
    "OpenRequests",
    "PolicyFleet",
    "Request",
    "SingleQueueFleet",
    "make_fleet",
]

DEADLINE_S = 1.0
TICK_S = 0.01
REPORT_S = 1.0
CLOSE_LATENCY_S = 0.0001


@dataclass
class Request:
    """One request from its arrival to its outcome."""

    number: int
    entry: int
    arrived: float
    service_s: float
    latency: float | None = None
    refused: bool = False


class Fleet:
    """Base class of the variants: upstreams, arrivals and counters."""

    def __init__(self, workload: Workload, seed: int) -> None:
        self.clock = VirtualClock()
        self.workload = workload
        self.service: ServiceSpec = workload.unkeyed
        self.source = seeded(seed, "service")
        self.arrivals = seeded(seed, "arrivals")
        self.seed = seed
        self.requests: list[Request] = []
        self.attempts = 0
        self.false_reporters: set[int] = set()
        zones = workload.availability_zones
        self.upstreams = [
            FakeUpstream(
                self.clock, f"upstream-{n}", zones[n % len(zones)], self.service.spec
            )
            for n in range(self.service.upstreams)
        ]

    def run(self, load: float, until: float) -> None:
        """Runs arrivals at a share of the capacity until a time."""
        rate = load * self.service.capacity
        poisson_arrivals(
            self.clock, self.arrivals, lambda _: rate, until, self.on_arrival
        )
        self.clock.run(until + DEADLINE_S)

    def on_arrival(self) -> None:
        """Creates the next request and hands it to its entry."""
        number = len(self.requests)
        service_s = self.source.expovariate(1.0 / self.service.mean_service_s)
        position = self.source.randrange(len(self.upstreams))
        request = Request(number, position, self.clock.now, service_s)
        self.requests.append(request)
        self.accept(request)

    def accept(self, request: Request) -> None:
        """Routes a request; defined by each variant."""
        raise NotImplementedError

    def one_way(self, position: int, other: int) -> float:
        """Returns the latency between two processes, in seconds."""
        a, b = self.upstreams[position], self.upstreams[other]
        if a.availability_zone == b.availability_zone:
            return CLOSE_LATENCY_S
        return self.workload.between_zones_s

    def record_answer(self, request: Request) -> None:
        """Records the latency of the first answer to a request."""
        if request.latency is None:
            to_clients = 2 * self.workload.to_clients_s
            request.latency = self.clock.now - request.arrived + to_clients

    def fail_upstream(self, position: int) -> None:
        """Stops an upstream; its jobs fail."""
        self.upstreams[position].fail()

    def recover_upstream(self, position: int) -> None:
        """Restarts a lost upstream, cold."""
        self.upstreams[position].recover()


class BalancerFleet(Fleet):
    """Baseline load balancers without guards."""

    def __init__(self, workload: Workload, seed: int, least_outstanding: bool) -> None:
        super().__init__(workload, seed)
        self.least_outstanding = least_outstanding
        self.next_positions = list(range(len(self.upstreams)))
        self.outstanding = [[0] * len(self.upstreams) for _ in self.upstreams]

    def accept(self, request: Request) -> None:
        """Sends to the next upstream, or the one with fewest requests of this entry."""
        outstanding = self.outstanding[request.entry]
        if self.least_outstanding:
            position = min(
                range(len(outstanding)),
                key=lambda n: (outstanding[n], self.source.random()),
            )
        else:
            self.next_positions[request.entry] += 1
            position = self.next_positions[request.entry] % len(self.upstreams)
        outstanding[position] += 1
        self.attempts += 1
        latency_s = self.one_way(request.entry, position)
        self.clock.after(latency_s, self._submit, request, position, latency_s)

    def _submit(self, request: Request, position: int, latency_s: float) -> None:
        def on_end(end: JobOutcome) -> None:
            self.clock.after(latency_s, self._on_response, request, position, end)

        self.upstreams[position].submit(request.service_s, on_end)

    def _on_response(self, request: Request, position: int, end: JobOutcome) -> None:
        self.outstanding[request.entry][position] -= 1
        if end is JobOutcome.DONE:
            self.record_answer(request)
        else:
            request.refused = True


class SingleQueueFleet(Fleet):
    """Ideal bound: a single queue with exact knowledge of each upstream."""

    def __init__(self, workload: Workload, seed: int) -> None:
        super().__init__(workload, seed)
        self.waiting: deque[Request] = deque()

    def accept(self, request: Request) -> None:
        """Queues a request for the next free slot."""
        self.waiting.append(request)
        self._dispatch_next()

    def _dispatch_next(self) -> None:
        while self.waiting:
            free = [
                u
                for u in self.upstreams
                if u.alive
                and u.slow_factor == 1.0
                and u.running + 1 <= u.current_capacity
            ]
            if not free:
                return
            request = self.waiting.popleft()
            response_s = request.service_s + 2 * self.workload.to_clients_s
            if self.clock.now + response_s > request.arrived + DEADLINE_S:
                continue
            self.attempts += 1
            best = max(free, key=lambda u: u.current_capacity - u.running)
            best.submit(request.service_s, lambda end, r=request: self._end(r, end))

    def _end(self, request: Request, end: JobOutcome) -> None:
        if end is JobOutcome.DONE:
            self.record_answer(request)
        self.clock.after(0.0, self._dispatch_next)


@dataclass
class _ReplyAddress:
    """Destination of a guard's reply."""

    request: int
    attempt: int
    entry: int


@dataclass
class _Node:
    """One process: its entry, its guard and its jobs."""

    entry: entry.EntryState
    guard: guard.GuardState
    reply_addresses: dict[int, _ReplyAddress] = field(default_factory=dict)
    jobs: dict[str, Job] = field(default_factory=dict)
    started: dict[str, float] = field(default_factory=dict)
    by_attempt: dict[tuple[int, int], int] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class OpenRequests:
    """Unfinished requests of a process.

    Attributes:
        running: Number of requests that its upstream runs.
        sent: Number of requests that were sent to it and not answered,
            including the running ones.
    """

    running: int
    sent: int


class PolicyFleet(Fleet):
    """Runs the entry and guard policies."""

    def __init__(self, workload: Workload, seed: int, **changes) -> None:
        super().__init__(workload, seed)
        spec = self.service.spec
        members = tuple(self._member(n) for n in range(len(self.upstreams)))
        self.nodes = []
        for position, upstream in enumerate(self.upstreams):
            limits = guard.GuardSettings(
                node=f"node-{position}",
                service=self.service.name,
                slots=spec.slots,
                connections=spec.connections,
                cold_start_s=spec.cold_s,
                cold_share=spec.cold_share,
            )
            bounds = entry.EntrySettings(upstream.availability_zone, **changes)
            state = entry.start(bounds, seed * 100 + position)
            state, _ = entry.step(state, entry.MembersChanged(members), 0.0)
            guard_state = guard.start(limits, 0.0, position)
            guard_state, _ = guard.step(guard_state, guard.UpstreamStarted(False), 0.0)
            self.nodes.append(_Node(state, guard_state))
        self.last_caller_id = 0
        self.clock.every(TICK_S, self._tick)
        self.clock.every(REPORT_S, self._report)

    def _member(self, position: int) -> Member:
        zone = self.upstreams[position].availability_zone
        name = f"node-{position}"
        return Member(
            Incarnation(name, 1),
            (),
            self.service.name,
            Place(self.workload.region, zone, name),
            Address("127.0.0.1", 1),
            "127.0.0.1",
            slots=self.service.spec.slots,
        )

    def _tick(self) -> None:
        for position in range(len(self.nodes)):
            self._step_guard(position, guard.Tick())
            self._step_entry(position, entry.Tick())

    def _report(self) -> None:
        """Sends load reports that arrive `REPORT_S` late; some are false."""
        for position, upstream in enumerate(self.upstreams):
            is_false = position in self.false_reporters
            busy = 0 if is_false else upstream.outstanding
            event = entry.LoadReported(f"node-{position}", busy, not is_false, 0.0)
            for other in range(len(self.nodes)):
                self.clock.after(REPORT_S, self._receive_report, other, event)

    def _receive_report(self, position: int, event: entry.LoadReported) -> None:
        aged = entry.LoadReported(event.node, event.busy, event.healthy, REPORT_S)
        self._step_entry(position, aged)

    def accept(self, request: Request) -> None:
        """Passes a request to its entry."""
        deadline = self.clock.now + DEADLINE_S
        event = entry.RequestAccepted(
            request.number,
            f"r{request.number}",
            self.service.name,
            None,
            True,
            deadline,
        )
        self._step_entry(request.entry, event)

    def _step_entry(self, position: int, event: entry.EntryEvent) -> None:
        node = self.nodes[position]
        node.entry, actions = entry.step(node.entry, event, self.clock.now)
        for action in actions:
            match action:
                case entry.SendAttempt():
                    target = int(action.node.partition("-")[2])
                    latency_s = self.one_way(position, target)
                    self.clock.after(latency_s, self._arrive, position, target, action)
                case entry.CancelAttempt():
                    for target in range(len(self.nodes)):
                        latency_s = self.one_way(position, target)
                        self.clock.after(latency_s, self._cancel, target, action)
                case entry.Deliver():
                    self.record_answer(self.requests[action.request])
                case entry.DeliverOutcome():
                    self.requests[action.request].refused = True

    def _arrive(self, position: int, target: int, action: entry.SendAttempt) -> None:
        self.last_caller_id += 1
        caller_id = self.last_caller_id
        node = self.nodes[target]
        node.reply_addresses[caller_id] = _ReplyAddress(
            action.request, action.attempt, position
        )
        node.by_attempt[action.request, action.attempt] = caller_id
        event = guard.RequestArrived(
            caller_id,
            f"r{action.request}.{action.attempt}",
            action.request,
            "all",
            None,
            True,
            action.deadline,
        )
        self._step_guard(target, event)

    def _cancel(self, target: int, action: entry.CancelAttempt) -> None:
        caller_id = self.nodes[target].by_attempt.get((action.request, action.attempt))
        if caller_id is not None:
            self._step_guard(target, guard.CallerGone(caller_id))

    def _step_guard(self, position: int, event: guard.GuardEvent) -> None:
        node = self.nodes[position]
        node.guard, actions = guard.step(node.guard, event, self.clock.now)
        for action in actions:
            match action:
                case guard.Dispatch():
                    self._dispatch(position, action)
                case guard.CancelUpstream():
                    job = node.jobs.get(action.request_id)
                    if job is not None:
                        self.upstreams[position].cancel(job)
                case guard.ReplyAnswer():
                    self._reply(position, action.caller, None)
                case guard.ReplyOutcome():
                    self._reply(position, action.caller, action.outcome)

    def _dispatch(self, position: int, action: guard.Dispatch) -> None:
        node = self.nodes[position]
        self.attempts += 1
        number = int(action.request_id[1:].partition(".")[0])
        node.started[action.request_id] = self.clock.now
        service_s = self.requests[number].service_s
        job = self.upstreams[position].submit(
            service_s,
            lambda end: self.clock.after(0.0, self._end, position, action, end),
        )
        node.jobs[action.request_id] = job

    def _end(self, position: int, action: guard.Dispatch, end: JobOutcome) -> None:
        node = self.nodes[position]
        node.jobs.pop(action.request_id, None)
        latency = self.clock.now - node.started.pop(action.request_id)
        match end:
            case JobOutcome.DONE:
                event = guard.UpstreamAnswered(action.request_id, 200, 100, latency)
            case JobOutcome.SHED:
                event = guard.UpstreamRejected(action.request_id, 0.1)
            case JobOutcome.FAILED:
                event = guard.UpstreamFailed(action.request_id, True, True)
            case JobOutcome.CANCELLED:
                event = guard.UpstreamFailed(action.request_id, True, False)
        self._step_guard(position, event)

    def _reply(self, position: int, caller_id: int, outcome) -> None:
        node = self.nodes[position]
        reply_address = node.reply_addresses.pop(caller_id)
        node.by_attempt.pop((reply_address.request, reply_address.attempt), None)
        busy = guard.load_hint(node.guard, self.clock.now)
        latency_s = self.one_way(position, reply_address.entry)
        if outcome is None:
            event = entry.AttemptAnswered(
                reply_address.request, reply_address.attempt, 200, 0.0, busy
            )
        else:
            event = entry.AttemptRejected(
                reply_address.request, reply_address.attempt, outcome, busy=busy
            )
        self.clock.after(latency_s, self._step_entry, reply_address.entry, event)

    def open_requests(self, position: int) -> OpenRequests:
        """Returns the requests that a loss of a process would affect now."""
        node = self.nodes[position]
        name = f"node-{position}"
        outstanding = sum(
            1
            for other in self.nodes
            for request in other.entry.open.values()
            for attempt in request.open_attempts
            if attempt.node == name
        )
        return OpenRequests(node.guard.admission.running, outstanding)

    def fail_upstream(self, position: int) -> None:
        """Stops an upstream and notifies its guard."""
        self._step_guard(position, guard.UpstreamGone())
        super().fail_upstream(position)

    def recover_upstream(self, position: int) -> None:
        """Restarts a lost upstream, which announces itself as cold."""
        super().recover_upstream(position)
        self._step_guard(position, guard.UpstreamStarted(cold=True))


VARIANTS: dict[str, Callable[[Workload, int], Fleet]] = {
    "round robin": lambda workload, seed: BalancerFleet(workload, seed, False),
    "least outstanding": lambda workload, seed: BalancerFleet(workload, seed, True),
    "without hedges": lambda workload, seed: PolicyFleet(
        workload, seed, hedge_burst=0.0
    ),
    "ours": PolicyFleet,
    "single queue": SingleQueueFleet,
}


def make_fleet(variant: str, workload: Workload, seed: int) -> Fleet:
    """Builds the fleet of a variant."""
    return VARIANTS[variant](workload, seed)
