"""Simulates processes that start together and wait for a later table."""

from __future__ import annotations

import random
from dataclasses import dataclass, field

from rosemarydeal.core.fleet import Revision
from rosemarydeal.policy.keyranges.start_barrier import StartBarrier

TICK_S = 0.005
# Until the store has carried a write out, and until the others know of it.
WRITE_S = 0.02
NEWS_S = 0.03
FIRST_REVISION = 40


@dataclass
class Starting:
    """A process that reads the store at a time, and may write the table later."""

    reads_at: float
    barrier: StartBarrier
    has_read: bool = False
    write_at: float = 0.0
    waited_s: float | None = None


@dataclass
class StartOfAll:
    """The start of a fleet whose table names all processes.

    Attributes:
        attempts: Conditional writes that were sent.
        written: Those that the store accepted.
        waits: How long each process waited after its first read, in seconds.
    """

    nodes: int
    spread_s: float
    seed: int
    attempts: int = 0
    written: int = 0
    waits: list[float] = field(default_factory=list)

    def run(self):
        rng = random.Random(self.seed)
        fleet = [
            Starting(rng.uniform(0.0, self.spread_s), StartBarrier(rng.uniform))
            for _ in range(self.nodes)
        ]
        revision, now, calls, news = FIRST_REVISION, 0.0, [], []
        while any(process.waited_s is None for process in fleet):
            now += TICK_S
            for arrives_at, base, writer in [c for c in calls if c[0] <= now]:
                calls.remove((arrives_at, base, writer))
                if base == revision:
                    revision += 1
                    self.written += 1
                    news.append((now + NEWS_S, revision))
                # The answer of a conflict shows the new table, too.
                self.note(writer, revision, now)
            known = max((r for at, r in news if at <= now), default=FIRST_REVISION)
            for process in fleet:
                self.step(process, revision, known, now, calls)
        return self

    def step(self, process, revision, known, now, calls):
        """Reads the store at the start, and then writes if that is due."""
        if process.waited_s is not None or now < process.reads_at:
            return
        if not process.has_read:
            process.has_read, process.base = True, revision
            process.barrier.note_position(Revision(1, revision))
            process.write_at = now + process.barrier.write_delay(self.nodes)
        self.note(process, max(known, process.base), now)
        if process.waited_s is None and now >= process.write_at:
            process.write_at = now + process.barrier.write_delay(self.nodes) + WRITE_S
            self.attempts += 1
            calls.append((now + WRITE_S, process.base, process))

    def note(self, process, revision, now):
        process.base = max(process.base, revision)
        process.barrier.note_table(Revision(1, revision))
        if process.barrier.passed and process.waited_s is None:
            process.waited_s = now - process.reads_at
            self.waits.append(process.waited_s)
