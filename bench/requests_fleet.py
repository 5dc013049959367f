"""Runs entries and guards of an unkeyed service over fake upstreams.

Callers enter evenly at the processes beside the upstreams. The work of a
request is drawn once, exponentially, and is the same for each of its tries.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from bench.harness import (
    FakeUpstream,
    Job,
    JobEnd,
    ServiceSpec,
    VirtualClock,
    Workload,
    poisson_arrivals,
    seeded,
)
from rosemarydeal.core import Address, Incarnation, Member, Place
from rosemarydeal.policy import entry, guard

__all__ = [
    "Fleet",
    "InHand",
    "OurFleet",
    "Request",
    "SingleQueueFleet",
    "SpreadFleet",
    "make_fleet",
]

DEADLINE_S = 1.0
TICK_S = 0.01
REPORT_S = 1.0
CLOSE_LATENCY_S = 0.0001


@dataclass
class Request:
    """Follows one request from its arrival to its outcome."""

    number: int
    entry: int
    arrived: float
    service_s: float
    latency: float | None = None
    refused: bool = False


class Fleet:
    """Holds what all variants share: upstreams, arrivals and counts."""

    def __init__(self, workload: Workload, seed: int) -> None:
        self.clock = VirtualClock()
        self.workload = workload
        self.service: ServiceSpec = workload.unkeyed
        self.source = seeded(seed, "service")
        self.arrivals = seeded(seed, "arrivals")
        self.seed = seed
        self.requests: list[Request] = []
        self.tries = 0
        self.lying: set[int] = set()
        zones = workload.availability_zones
        self.upstreams = [
            FakeUpstream(
                self.clock, f"upstream-{n}", zones[n % len(zones)], self.service.spec
            )
            for n in range(self.service.upstreams)
        ]

    def run(self, load: float, until: float) -> None:
        """Offers a share of the capacity until a moment."""
        rate = load * self.service.capacity
        poisson_arrivals(self.clock, self.arrivals, lambda _: rate, until, self.arrive)
        self.clock.run(until + DEADLINE_S)

    def arrive(self) -> None:
        """Lets a caller ask for something."""
        number = len(self.requests)
        service_s = self.source.expovariate(1.0 / self.service.mean_service_s)
        place = self.source.randrange(len(self.upstreams))
        request = Request(number, place, self.clock.now, service_s)
        self.requests.append(request)
        self.accept(request)

    def accept(self, request: Request) -> None:
        """Sends a request where the variant decides."""
        raise NotImplementedError

    def one_way(self, place: int, other: int) -> float:
        """Returns the latency between two processes, in seconds."""
        a, b = self.upstreams[place], self.upstreams[other]
        if a.availability_zone == b.availability_zone:
            return CLOSE_LATENCY_S
        return self.workload.between_zones_s

    def done(self, request: Request) -> None:
        """Notes that the caller has its answer."""
        if request.latency is None:
            to_clients = 2 * self.workload.to_clients_s
            request.latency = self.clock.now - request.arrived + to_clients

    def fail_upstream(self, place: int) -> None:
        """Loses an upstream."""
        self.upstreams[place].fail()

    def recover_upstream(self, place: int) -> None:
        """Starts a lost upstream again, cold."""
        self.upstreams[place].recover()


class SpreadFleet(Fleet):
    """Spreads requests over the upstreams without guards, as baselines do."""

    def __init__(self, workload: Workload, seed: int, least: bool) -> None:
        super().__init__(workload, seed)
        self.least = least
        self.turns = list(range(len(self.upstreams)))
        self.out = [[0] * len(self.upstreams) for _ in self.upstreams]

    def accept(self, request: Request) -> None:
        """Takes the next upstream, or the one with the fewest own requests."""
        out = self.out[request.entry]
        if self.least:
            place = min(range(len(out)), key=lambda n: (out[n], self.source.random()))
        else:
            self.turns[request.entry] += 1
            place = self.turns[request.entry] % len(self.upstreams)
        out[place] += 1
        self.tries += 1
        way = self.one_way(request.entry, place)
        self.clock.after(way, self._submit, request, place, way)

    def _submit(self, request: Request, place: int, way: float) -> None:
        def on_end(end: JobEnd) -> None:
            self.clock.after(way, self._back, request, place, end)

        self.upstreams[place].submit(request.service_s, on_end)

    def _back(self, request: Request, place: int, end: JobEnd) -> None:
        self.out[request.entry][place] -= 1
        if end is JobEnd.DONE:
            self.done(request)
        else:
            request.refused = True


class SingleQueueFleet(Fleet):
    """Bounds what is possible: one queue, perfect knowledge of each upstream."""

    def __init__(self, workload: Workload, seed: int) -> None:
        super().__init__(workload, seed)
        self.waiting: deque[Request] = deque()

    def accept(self, request: Request) -> None:
        """Queues a request for the next good slot."""
        self.waiting.append(request)
        self._feed()

    def _feed(self) -> None:
        while self.waiting:
            free = [
                u
                for u in self.upstreams
                if u.alive and u.slow_factor == 1.0 and u.running + 1 <= u.bearable
            ]
            if not free:
                return
            request = self.waiting.popleft()
            back = request.service_s + 2 * self.workload.to_clients_s
            if self.clock.now + back > request.arrived + DEADLINE_S:
                continue
            self.tries += 1
            best = max(free, key=lambda u: u.bearable - u.running)
            best.submit(request.service_s, lambda end, r=request: self._end(r, end))

    def _end(self, request: Request, end: JobEnd) -> None:
        if end is JobEnd.DONE:
            self.done(request)
        self.clock.after(0.0, self._feed)


@dataclass
class _Waiter:
    """Holds where a guard's reply goes."""

    request: int
    attempt: int
    entry: int


@dataclass
class _Node:
    """Holds one process: its entry, its guard and its jobs."""

    entry: entry.EntryState
    guard: guard.GuardState
    waiters: dict[int, _Waiter] = field(default_factory=dict)
    jobs: dict[str, Job] = field(default_factory=dict)
    started: dict[str, float] = field(default_factory=dict)
    by_try: dict[tuple[int, int], int] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class InHand:
    """Counts what a process has in hand.

    Attributes:
        running: Requests that its upstream runs.
        sent: Requests that were sent to it and not answered, the running ones
            included.
    """

    running: int
    sent: int


class OurFleet(Fleet):
    """Drives the policy of entries and guards."""

    def __init__(self, workload: Workload, seed: int, **changes) -> None:
        super().__init__(workload, seed)
        spec = self.service.spec
        members = tuple(self._member(n) for n in range(len(self.upstreams)))
        self.nodes = []
        for place, upstream in enumerate(self.upstreams):
            limits = guard.GuardSettings(
                node=f"node-{place}",
                service=self.service.name,
                slots=spec.slots,
                connections=spec.connections,
                cold_start_s=spec.cold_s,
                cold_share=spec.cold_share,
            )
            bounds = entry.EntrySettings(upstream.availability_zone, **changes)
            state = entry.start(bounds, seed * 100 + place)
            state, _ = entry.step(state, entry.MembersChanged(members), 0.0)
            keeper = guard.start(limits, 0.0, place)
            keeper, _ = guard.step(keeper, guard.UpstreamStarted(False), 0.0)
            self.nodes.append(_Node(state, keeper))
        self.last_waiter = 0
        self.clock.every(TICK_S, self._tick)
        self.clock.every(REPORT_S, self._report)

    def _member(self, place: int) -> Member:
        zone = self.upstreams[place].availability_zone
        name = f"node-{place}"
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
        for place in range(len(self.nodes)):
            self._feed_guard(place, guard.Tick())
            self._feed_entry(place, entry.Tick())

    def _report(self) -> None:
        """Sends load reports that are a second old, and false ones."""
        for place, upstream in enumerate(self.upstreams):
            lies = place in self.lying
            busy = 0 if lies else upstream.outstanding
            event = entry.LoadReported(f"node-{place}", busy, not lies, 0.0)
            for other in range(len(self.nodes)):
                self.clock.after(REPORT_S, self._hear, other, event)

    def _hear(self, place: int, event: entry.LoadReported) -> None:
        aged = entry.LoadReported(event.node, event.busy, event.healthy, REPORT_S)
        self._feed_entry(place, aged)

    def accept(self, request: Request) -> None:
        """Hands a request to the entry that its caller came to."""
        deadline = self.clock.now + DEADLINE_S
        event = entry.RequestAccepted(
            request.number,
            f"r{request.number}",
            self.service.name,
            None,
            True,
            deadline,
        )
        self._feed_entry(request.entry, event)

    def _feed_entry(self, place: int, event: entry.EntryEvent) -> None:
        node = self.nodes[place]
        node.entry, actions = entry.step(node.entry, event, self.clock.now)
        for action in actions:
            match action:
                case entry.SendAttempt():
                    target = int(action.node.partition("-")[2])
                    way = self.one_way(place, target)
                    self.clock.after(way, self._arrive, place, target, action)
                case entry.CancelAttempt():
                    for target in range(len(self.nodes)):
                        way = self.one_way(place, target)
                        self.clock.after(way, self._cancel, target, action)
                case entry.Deliver():
                    self.done(self.requests[action.request])
                case entry.DeliverOutcome():
                    self.requests[action.request].refused = True

    def _arrive(self, place: int, target: int, action: entry.SendAttempt) -> None:
        self.last_waiter += 1
        waiter = self.last_waiter
        node = self.nodes[target]
        node.waiters[waiter] = _Waiter(action.request, action.attempt, place)
        node.by_try[action.request, action.attempt] = waiter
        event = guard.RequestArrived(
            waiter,
            f"r{action.request}.{action.attempt}",
            action.request,
            "all",
            None,
            True,
            action.deadline,
        )
        self._feed_guard(target, event)

    def _cancel(self, target: int, action: entry.CancelAttempt) -> None:
        waiter = self.nodes[target].by_try.get((action.request, action.attempt))
        if waiter is not None:
            self._feed_guard(target, guard.CallerGone(waiter))

    def _feed_guard(self, place: int, event: guard.GuardEvent) -> None:
        node = self.nodes[place]
        node.guard, actions = guard.step(node.guard, event, self.clock.now)
        for action in actions:
            match action:
                case guard.Dispatch():
                    self._dispatch(place, action)
                case guard.CancelUpstream():
                    job = node.jobs.get(action.request_id)
                    if job is not None:
                        self.upstreams[place].cancel(job)
                case guard.ReplyAnswer():
                    self._reply(place, action.caller, None)
                case guard.ReplyOutcome():
                    self._reply(place, action.caller, action.outcome)

    def _dispatch(self, place: int, action: guard.Dispatch) -> None:
        node = self.nodes[place]
        self.tries += 1
        number = int(action.request_id[1:].partition(".")[0])
        node.started[action.request_id] = self.clock.now
        service_s = self.requests[number].service_s
        job = self.upstreams[place].submit(
            service_s, lambda end: self.clock.after(0.0, self._end, place, action, end)
        )
        node.jobs[action.request_id] = job

    def _end(self, place: int, action: guard.Dispatch, end: JobEnd) -> None:
        node = self.nodes[place]
        node.jobs.pop(action.request_id, None)
        latency = self.clock.now - node.started.pop(action.request_id)
        match end:
            case JobEnd.DONE:
                event = guard.UpstreamAnswered(action.request_id, 200, 100, latency)
            case JobEnd.SHED:
                event = guard.UpstreamRejected(action.request_id, 0.1)
            case JobEnd.FAILED:
                event = guard.UpstreamFailed(action.request_id, True, True)
            case JobEnd.CANCELLED:
                event = guard.UpstreamFailed(action.request_id, True, False)
        self._feed_guard(place, event)

    def _reply(self, place: int, waiter: int, outcome) -> None:
        node = self.nodes[place]
        held = node.waiters.pop(waiter)
        node.by_try.pop((held.request, held.attempt), None)
        busy = guard.load_hint(node.guard, self.clock.now)
        way = self.one_way(place, held.entry)
        if outcome is None:
            event = entry.AttemptAnswered(held.request, held.attempt, 200, 0.0, busy)
        else:
            event = entry.AttemptRejected(
                held.request, held.attempt, outcome, busy=busy
            )
        self.clock.after(way, self._feed_entry, held.entry, event)

    def in_hand(self, place: int) -> InHand:
        """Returns what would be lost with a process now."""
        node = self.nodes[place]
        name = f"node-{place}"
        out = sum(
            1
            for other in self.nodes
            for request in other.entry.open.values()
            for one in request.open_attempts
            if one.node == name
        )
        return InHand(node.guard.admission.running, out)

    def fail_upstream(self, place: int) -> None:
        """Loses an upstream; its guard sees it go."""
        self._feed_guard(place, guard.UpstreamGone())
        super().fail_upstream(place)

    def recover_upstream(self, place: int) -> None:
        """Starts a lost upstream again; it announces itself as cold."""
        super().recover_upstream(place)
        self._feed_guard(place, guard.UpstreamStarted(cold=True))


VARIANTS: dict[str, Callable[[Workload, int], Fleet]] = {
    "round robin": lambda workload, seed: SpreadFleet(workload, seed, False),
    "least outstanding": lambda workload, seed: SpreadFleet(workload, seed, True),
    "without hedges": lambda workload, seed: OurFleet(workload, seed, hedge_burst=0.0),
    "ours": OurFleet,
    "single queue": SingleQueueFleet,
}


def make_fleet(variant: str, workload: Workload, seed: int) -> Fleet:
    """Returns the fleet of a variant."""
    return VARIANTS[variant](workload, seed)
