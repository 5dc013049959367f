"""Deliberate defects of the grants that calls carry, and of keys given away."""

from __future__ import annotations

from features.mutants import Mutant

__all__ = ["MUTANTS"]

LATE = ("-m", "features.run", "features/late_grants.feature")
RELEASED = ("-m", "features.run", "features/released_keys.feature", "--name")
GRANTS = "rosemarydeal/node/grants.py"

MUTANTS = (
    Mutant(
        "the duration of a grant computed when it was decided",
        GRANTS,
        "hold_s = self._terms.duration_s(moment)",
        "hold_s = self._terms.duration_s(self._terms.decided_at)",
        LATE,
    ),
    Mutant(
        "a grant sent for a range that was given away",
        GRANTS,
        "if self._grants.get(_grant_key(keys)) is not call.grant:",
        "if False:",
        LATE,
    ),
    Mutant(
        "a grant that names no instance",
        "rosemarydeal/platform/upstream.py",
        'named = ((names.EXPECTED_INSTANCE, instance.encode("ascii")),)',
        "named = ()",
        LATE,
    ),
    Mutant(
        "a grant sent again after a refused connection",
        GRANTS,
        "if state.last_heartbeat_at <= self._refused_at:",
        "if False:",
        LATE,
    ),
    Mutant(
        "keys used while the write that gives them away has no answer",
        "rosemarydeal/node/ownership.py",
        "            self._unsettled = change\n",
        "            pass\n",
        (*RELEASED, "while the write that gives them away has no answer"),
    ),
    Mutant(
        "a write without an answer waited for without an end",
        "rosemarydeal/node/ownership.py",
        "case None if self._unsettled is not None and base.current:",
        "case None if False:",
        (*RELEASED, "Keys stay unserved"),
    ),
    Mutant(
        "an owner removed because one peer can't reach it",
        "rosemarydeal/node/membership.py",
        "if self._owns_keys(node):",
        "if False:",
        (*RELEASED, "one peer can't reach"),
    ),
)
