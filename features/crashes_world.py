"""Simulation of guards with one request that crashes upstreams among others."""

from __future__ import annotations

import heapq
import random
from dataclasses import dataclass

from rosemarydeal.core import Address, Incarnation, Member, NotRun, Place
from rosemarydeal.core.messages import CrashSuspectNotice
from rosemarydeal.policy import entry, guard

__all__ = ["CrashesResult", "run_crashes"]

NODES = tuple(f"show-schedule-{number}" for number in range(4))
POISON = 666
TICK_S = 0.02
END_S = 12.0
LOOKUPS = 16
LOOKUPS_PER_S = 150.0
POISON_EVERY_S = 0.4
DEADLINE_S = 2.0
MIN_RESTART_S = 0.1
MAX_RESTART_S = 0.6
MIN_NOTICE_DELAY_S = 0.0005
MAX_NOTICE_DELAY_S = 0.005
NOTICE_LOSS_SHARE = 0.02


@dataclass(frozen=True, slots=True)
class CrashesResult:
    """Results of a run."""

    crashes: int
    blocked: frozenset[int]
    rejected_poison: int
    answered_lookups: int
    lookups: int


class CrashesWorld:
    """Four guards and one entry in virtual time."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.now = 10.0
        self.queue: list = []
        self.count = 0
        self.crashes = 0
        self.blocked: set[int] = set()
        self.rejected_poison = 0
        self.answered_lookups = 0
        self.fingerprints: dict[int, int] = {}
        self.jobs: dict[str, set[str]] = {node: set() for node in NODES}
        self.callers: dict[int, tuple[int, int]] = {}
        self.guards = {
            node: guard.start(
                guard.GuardSettings(node=node, service="show-schedule", slots=6),
                self.now,
                index,
            )
            for index, node in enumerate(NODES)
        }
        for node in NODES:
            self.feed(node, guard.UpstreamStarted(cold=False))
        self.entry = entry.start(entry.EntrySettings(availability_zone="a"), seed)
        self.feed_entry(entry.MembersChanged(tuple(_member(n) for n in NODES)))

    def after(self, delay: float, action, *arguments) -> None:
        """Schedules a call after a delay in seconds."""
        self.count += 1
        due_at = self.now + delay
        heapq.heappush(self.queue, (due_at, self.count, action, arguments))

    def run(self) -> None:
        """Runs until `END_S` seconds have passed."""
        end = self.now + END_S
        self.after(0, self.tick)
        self.after(0.5, self.poison)
        self.after(0, self.lookup)
        while self.queue and self.now < end:
            self.now, _, action, arguments = heapq.heappop(self.queue)
            action(*arguments)

    def tick(self) -> None:
        """Feeds a tick to all state machines."""
        for node in NODES:
            self.feed(node, guard.Tick())
            self.blocked.update(guard.status(self.guards[node], self.now).blocked)
        self.feed_entry(entry.Tick())
        self.after(TICK_S, self.tick)

    def poison(self) -> None:
        """Sends the crashing request, again and again."""
        self.accept(POISON)
        self.after(POISON_EVERY_S, self.poison)

    def lookup(self) -> None:
        """Sends a random lookup, again and again."""
        self.accept(self.rng.randrange(LOOKUPS))
        self.after(self.rng.expovariate(LOOKUPS_PER_S), self.lookup)

    def accept(self, fingerprint: int) -> None:
        """Sends a request to the entry."""
        number = len(self.fingerprints) + 1
        self.fingerprints[number] = fingerprint
        deadline = self.now + DEADLINE_S
        self.feed_entry(
            entry.RequestAccepted(
                number, f"r{number}", "show-schedule", None, True, deadline
            )
        )

    def feed_entry(self, event) -> None:
        """Feeds an event to the entry and executes the actions."""
        self.entry, actions = entry.step(self.entry, event, self.now)
        for action in actions:
            match action:
                case entry.SendAttempt():
                    self.after(0.001, self.arrive, action)
                case entry.Deliver():
                    self.answered_lookups += self.fingerprints[action.request] != POISON
                case entry.DeliverOutcome(outcome=NotRun(code="crash-suspect")):
                    self.rejected_poison += 1

    def arrive(self, action: entry.SendAttempt) -> None:
        """Feeds the arrival of an attempt to its guard."""
        caller = len(self.callers) + 1
        self.callers[caller] = (action.request, action.attempt)
        self.feed(
            action.node,
            guard.RequestArrived(
                caller,
                f"r{action.request}.{action.attempt}",
                self.fingerprints[action.request],
                "touring",
                None,
                True,
                action.deadline,
            ),
        )

    def feed(self, node: str, event) -> None:
        """Feeds an event to a guard and executes the actions."""
        self.guards[node], actions = guard.step(self.guards[node], event, self.now)
        for action in actions:
            match action:
                case guard.Dispatch():
                    self.start(node, action.request_id)
                case guard.ReplyAnswer():
                    request, attempt = self.callers[action.caller]
                    event = entry.AttemptAnswered(request, attempt, 200, 0.05)
                    self.after(0.001, self.feed_entry, event)
                case guard.ReplyOutcome():
                    request, attempt = self.callers[action.caller]
                    event = entry.AttemptRejected(request, attempt, action.outcome)
                    self.after(0.001, self.feed_entry, event)
                case guard.BroadcastCrashSuspects():
                    self.broadcast(node, action.notice)

    def broadcast(self, sender: str, notice: CrashSuspectNotice) -> None:
        """Sends a notice to all other guards; a share of the copies is lost."""
        for node in NODES:
            if node != sender and self.rng.random() > NOTICE_LOSS_SHARE:
                delay = self.rng.uniform(MIN_NOTICE_DELAY_S, MAX_NOTICE_DELAY_S)
                self.after(delay, self.feed, node, guard.CrashSuspectsReceived(notice))

    def start(self, node: str, request_id: str) -> None:
        """Runs a request on an upstream; the crashing one crashes it."""
        self.jobs[node].add(request_id)
        number = int(request_id[1:].partition(".")[0])
        if self.fingerprints[number] == POISON:
            self.after(self.rng.uniform(0.001, 0.05), self.crash, node, request_id)
        else:
            latency = self.rng.uniform(0.005, 0.1)
            self.after(latency, self.answer, node, request_id, latency)

    def answer(self, node: str, request_id: str, latency: float) -> None:
        """Answers a request unless its upstream has crashed."""
        if request_id in self.jobs[node]:
            self.jobs[node].remove(request_id)
            event = guard.UpstreamAnswered(request_id, 200, 10, latency)
            self.feed(node, event)

    def crash(self, node: str, request_id: str) -> None:
        """Crashes an upstream with all its running requests, and restarts it."""
        if request_id not in self.jobs[node]:
            return
        self.crashes += 1
        broken, self.jobs[node] = sorted(self.jobs[node]), set()
        self.feed(node, guard.UpstreamGone())
        for lost in broken:
            self.feed(node, guard.UpstreamFailed(lost, sent=True, crashed=True))
        delay = self.rng.uniform(MIN_RESTART_S, MAX_RESTART_S)
        self.after(delay, self.feed, node, guard.UpstreamStarted(cold=True))


def _member(node: str) -> Member:
    """Builds a member beside an upstream."""
    return Member(
        Incarnation(node, 1),
        (),
        "show-schedule",
        Place("wa-perth", "a", node),
        Address("127.0.0.1", 1),
        "127.0.0.1",
        slots=6,
    )


def run_crashes(seed: int) -> CrashesResult:
    """Runs one simulation and returns its results.

    Args:
        seed: Seed of all random choices.
    """
    world = CrashesWorld(seed)
    world.run()
    lookups = sum(1 for f in world.fingerprints.values() if f != POISON)
    return CrashesResult(
        world.crashes,
        frozenset(world.blocked),
        world.rejected_poison,
        world.answered_lookups,
        lookups,
    )
