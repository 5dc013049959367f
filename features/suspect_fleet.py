"""Simulation of crash suspects in a fleet whose upstreams end for other reasons too.

Usage: python -m features.suspect_fleet

Of one request a share of the copies crashes its upstream; another one is harmless and
comes more often. All processes know the same suspects at once. Prints by case how many
upstreams ended under the first, and how many fleets blocked each of both.
"""

from __future__ import annotations

import heapq
import random
from collections import deque
from dataclasses import dataclass

from rosemarydeal.policy.dispatch.crash_suspects import (
    KnownSuspects,
    SuspectRecord,
    SuspectStatus,
    suspect_node,
)

__all__ = ["CULPRIT", "HARMLESS", "FleetCase", "SuspectFleet"]

NODES = tuple(f"vm-{number}" for number in range(6))
CULPRIT = "culprit"
HARMLESS = "harmless"
CULPRITS_PER_S = 10.0
HARMLESS_PER_S = 20.0
CRASH_AFTER_S = 0.045
# From the end of an upstream to the start of the next one.
DOWN_S = 2.5
# Suspects wait for their turn as long as at a guard.
MAX_WAIT_S = 1.0
END_S = 300.0
FLEETS = 30
SHARES = (0, 8, 16, 32, 64, 128, 256)


@dataclass(frozen=True, slots=True)
class FleetCase:
    """What happens in a fleet.

    Attributes:
        share: One in this many copies of the culprit crashes; 0 for no culprit.
        work_s: Mean duration of a run, in seconds.
        end_every_s: Mean time between ends of upstreams for other reasons; 0 for none.
    """

    share: int
    work_s: float
    end_every_s: float


class SuspectFleet:
    """A fleet in virtual time.

    Attributes:
        crashes: How many upstreams the culprit crashed.
        blocked: The requests that were blocked.
        sent: Copies that came, by request.
        rejected: Copies that were rejected, by request.
    """

    def __init__(self, case, seed):
        self._case, self._random = case, random.Random(seed)
        self._known = KnownSuspects()
        self._now, self._number, self._events = 0.0, 0, []
        self._runs = {node: {} for node in NODES}
        self._up_from = dict.fromkeys(NODES, 0.0)
        self._waiting, self._turn_taken, self._ended = deque(), False, 0
        self.crashes, self.blocked = 0, set()
        self.sent = {CULPRIT: 0, HARMLESS: 0}
        self.rejected = {CULPRIT: 0, HARMLESS: 0}

    def play(self):
        """Runs until the end; returns the fleet."""
        if self._case.share:
            self._after_pause(1 / CULPRITS_PER_S, self._arrive, CULPRIT, CULPRITS_PER_S)
        self._after_pause(1 / HARMLESS_PER_S, self._arrive, HARMLESS, HARMLESS_PER_S)
        if self._case.end_every_s:
            self._after_pause(self._case.end_every_s, self._end_any)
        while self._events[0][0] < END_S:
            self._now, _, action, arguments = heapq.heappop(self._events)
            action(*arguments)
        return self

    def _after(self, delay_s, action, *arguments):
        self._number += 1
        event = (self._now + delay_s, self._number, action, arguments)
        heapq.heappush(self._events, event)

    def _after_pause(self, mean_s, action, *arguments):
        self._after(self._random.expovariate(1 / mean_s), action, *arguments)

    def _status(self, request):
        """Returns how a request may run now; notes that it is rejected."""
        status = self._known.status(request, self._now)
        if status is SuspectStatus.BLOCKED:
            self.blocked.add(request)
            self.rejected[request] += 1
            self._known.note_rejected(request, self._now)
        return status

    def _arrive(self, request, per_s):
        """Runs a copy of a request, or has it wait for its turn."""
        self._after_pause(1 / per_s, self._arrive, request, per_s)
        self.sent[request] += 1
        match self._status(request):
            case SuspectStatus.SUSPECT:
                self._waiting.append((request, self._now))
                self._run_next()
            case SuspectStatus.CLEAR if up := self._up():
                self._start(request, self._random.choice(up), False)

    def _run_next(self):
        """Gives the turn to the first copy that has not waited too long."""
        while self._waiting and not self._turn_taken:
            request, arrived_at = self._waiting.popleft()
            if self._now - arrived_at > MAX_WAIT_S:
                self.rejected[request] += 1
                continue
            status, up = self._status(request), self._up()
            if status is SuspectStatus.BLOCKED or not up:
                continue
            exclusive = status is SuspectStatus.SUSPECT
            self._turn_taken = exclusive
            node = suspect_node(request, up) if exclusive else self._random.choice(up)
            self._start(request, node, exclusive)

    def _up(self):
        """Returns the nodes whose upstreams run."""
        return [node for node in NODES if self._up_from[node] <= self._now]

    def _start(self, request, node, exclusive):
        """Runs a copy, which may crash its upstream."""
        self._number += 1
        self._runs[node][self._number] = (request, exclusive)
        share = self._case.share
        if request == CULPRIT and self._random.randrange(share) == 0:
            self._after(CRASH_AFTER_S, self._crash, node, self._number)
        else:
            work_s = self._case.work_s * self._random.uniform(0.5, 1.5)
            self._after(work_s, self._answer, node, self._number)

    def _answer(self, node, number):
        """Ends a run that has not been lost."""
        request, exclusive = self._runs[node].pop(number, (None, False))
        if exclusive:
            self._known.note_answer(request, self._now)
            self._turn_taken = False
            self._run_next()

    def _crash(self, node, number):
        """Ends an upstream under a run that has not been lost."""
        if number in self._runs[node]:
            self.crashes += 1
            self._end(node)

    def _end_any(self):
        """Ends any upstream for another reason."""
        self._after_pause(self._case.end_every_s, self._end_any)
        if up := self._up():
            self._end(self._random.choice(up))

    def _end(self, node):
        """Ends an upstream and charges what it ran."""
        self._ended += 1
        self._up_from[node] = self._now + DOWN_S
        lost, self._runs[node] = sorted(set(self._runs[node].values())), {}
        crash = (f"i-{self._ended}",)
        records = [SuspectRecord(request, crash, alone) for request, alone in lost]
        self._known.merge(records, self._now)
        if any(alone for _, alone in lost):
            self._turn_taken = False
            self._run_next()


def main():
    """Plays all cases and prints their figures."""
    for work_s in (0.03, 0.3):
        for end_every_s in (0.0, 50.0, 10.0):
            for share in SHARES:
                if not share and not end_every_s:
                    continue
                case = FleetCase(share, work_s, end_every_s)
                fleets = [SuspectFleet(case, seed).play() for seed in range(FLEETS)]
                crashes = [fleet.crashes for fleet in fleets]
                blocked = {
                    request: sum(request in fleet.blocked for fleet in fleets)
                    for request in (CULPRIT, HARMLESS)
                }
                part = sum(f.rejected[HARMLESS] for f in fleets) / sum(
                    f.sent[HARMLESS] for f in fleets
                )
                print(
                    f"{case}: {sum(crashes) / FLEETS:.1f} crashes, at most "
                    f"{max(crashes)}; blocked in {blocked} of {FLEETS}; harmless "
                    f"copies rejected {part:.3f}",
                    flush=True,
                )


if __name__ == "__main__":
    main()
