"""Deliberate defects of what crashes are charged to, and of the runs of suspects."""

from __future__ import annotations

from features.mutants import Mutant

__all__ = ["MUTANTS"]

WATCH = ("-m", "features.run", "features/crash_watch.feature")
DISPATCH = ("-m", "features.run", "features/dispatch.feature")
MONITORS = ("-m", "features.run", "features/monitors.feature")
CRASH_WATCH = "rosemarydeal/node/crash_watch.py"
SUSPECTS = "rosemarydeal/policy/dispatch/crash_suspects.py"

MUTANTS = (
    Mutant(
        "a run that is forgotten when its connection closes",
        CRASH_WATCH,
        "        self._lost.add(LostRun(fingerprint, incarnation, exclusive, now()))\n",
        "",
        WATCH,
    ),
    Mutant(
        "a run that is lost after the end of its upstream was known",
        CRASH_WATCH,
        "            self._charge(incarnation)\n            return\n",
        "            return\n",
        WATCH,
    ),
    Mutant(
        "a check of the connection that ends with its first caller",
        CRASH_WATCH,
        "await asyncio.shield(self._check)",
        "await self._check",
        WATCH,
    ),
    Mutant(
        "an upstream that is heard counted as unreachable",
        CRASH_WATCH,
        "elif max(state.last_heartbeat_at, self._answered_at) < began_at:",
        "else:",
        WATCH,
    ),
    Mutant(
        "an upstream that leaves counted as crashed",
        CRASH_WATCH,
        "if old.leaving_since is None:",
        "if True:",
        WATCH,
    ),
    Mutant(
        "a suspect that is not judged again when its turn comes",
        CRASH_WATCH,
        "case SuspectStatus.BLOCKED:\n                    return",
        "case None:\n                    return",
        WATCH,
    ),
    Mutant(
        "a queued request that is not judged again when it is sent",
        "rosemarydeal/node/guard.py",
        "if self._crash_watch.is_blocked(active.tracked):",
        "if False:",
        WATCH,
    ),
    Mutant(
        "a run charged although the upstream has answered since",
        "rosemarydeal/policy/dispatch/lost_runs.py",
        "run.incarnation != incarnation or run.lost_at >= sent_at",
        "True",
        DISPATCH,
    ),
    Mutant(
        "a bystander of three crashes blocked",
        SUSPECTS,
        "return self.exclusive and len(self.crashes)",
        "return len(self.crashes)",
        DISPATCH,
    ),
    Mutant(
        "a blocked request forgotten although it keeps coming",
        SUSPECTS,
        "self._put(fingerprint, _Entry(entry.crashes, entry.exclusive, now))",
        "self._put(fingerprint, entry)",
        DISPATCH,
    ),
    Mutant(
        "a process that starts told nothing of the suspects",
        "rosemarydeal/node/links.py",
        "if suspects is not None:",
        "if False:",
        WATCH,
    ),
    Mutant(
        "a request of which some crash cleared by each answer",
        SUSPECTS,
        "needed = ANSWERS_FACTOR ** len(self._cleared_of(fingerprint))",
        "needed = 1",
        WATCH,
    ),
    Mutant(
        "a crash charged again by a peer that was not told of the clearance",
        SUSPECTS,
        "frozenset(record.crashes) - set(self._cleared_of(fingerprint))",
        "frozenset(record.crashes)",
        DISPATCH,
    ),
    Mutant(
        "an answer to a run from before the crash counted",
        CRASH_WATCH,
        "status >= SERVER_ERROR or not tracked.exclusive",
        "status >= SERVER_ERROR",
        WATCH,
    ),
    Mutant(
        "accepted connection ends the time unreachable",
        "rosemarydeal/node/link.py",
        "        self.reads_store = True\n        self._pings",
        "        self.reads_store, self.unreachable_since = True, None\n"
        "        self._pings",
        MONITORS,
    ),
    Mutant(
        "a suspect that is cleared by any number of answers",
        SUSPECTS,
        "MAX_ANSWERS_TO_CLEAR = 32",
        "MAX_ANSWERS_TO_CLEAR = 4096",
        WATCH,
    ),
)
