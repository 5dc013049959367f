"""Deliberate defects of the grants that heartbeats carry."""

from __future__ import annotations

from features.mutants import Mutant

__all__ = ["MUTANTS"]

SCENARIOS = ("-m", "features.run", "features/grants.feature")
GRANTS = "rosemarydeal/policy/keyranges/heartbeat_grants.py"

MUTANTS = (
    Mutant(
        "keys in release are stated",
        GRANTS,
        "tables.subtract(keys, release.keys)",
        "[keys]",
        SCENARIOS,
    ),
    Mutant(
        "a restarted process ignores the grants of its predecessor",
        GRANTS,
        "self._may_hold_until = started_at + max_hold_s * (1.0 + CLOCK_DRIFT)",
        "self._may_hold_until = 0.0",
        SCENARIOS,
    ),
    Mutant(
        "the slow clock of the upstream is ignored",
        GRANTS,
        "self._may_hold_until, now + hold_s * (1.0 + CLOCK_DRIFT)",
        "self._may_hold_until, now + hold_s * (1.0 - CLOCK_DRIFT)",
        SCENARIOS,
    ),
    Mutant(
        "a shorter statement shortens the wait for an earlier one",
        GRANTS,
        "self._may_hold_until, now + hold_s",
        "0.0, now + hold_s",
        SCENARIOS,
    ),
    Mutant(
        "keys are used beyond their hold",
        GRANTS,
        "usable_until = now - MAX_DELIVERY_S + hold_s",
        "usable_until = now + MAX_DELIVERY_S + hold_s",
        SCENARIOS,
    ),
    Mutant(
        "stated keys are used before the answer arrives",
        GRANTS,
        "usable_from = now if _is_held(keys, self._held) else now + DELIVERY_S",
        "usable_from = now",
        SCENARIOS,
    ),
    Mutant(
        "keys that the upstream did not report stay usable",
        GRANTS,
        "usable_from = previous.usable_from if held else now + DELIVERY_S",
        "usable_from = previous.usable_from",
        SCENARIOS,
    ),
    Mutant(
        "a release ends while the upstream still works on the keys",
        GRANTS,
        "            if not _overlaps_any(release.keys, self._held):\n",
        "            if True:\n",
        SCENARIOS,
    ),
    Mutant(
        "overlapping rows are accepted",
        "rosemarydeal/platform/announcements.py",
        "if following.first <= one.last:",
        "if False:",
        SCENARIOS,
    ),
)
