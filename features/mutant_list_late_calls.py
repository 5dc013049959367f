"""Deliberate defects of the waits for grants that take effect late."""

from __future__ import annotations

from features.mutants import Mutant

__all__ = ["MUTANTS"]

SIMULATED = ("-m", "features.run", "features/late_calls.feature")
LATE = ("-m", "features.run", "features/late_grants.feature", "--name")
UNANSWERED = "rosemarydeal/policy/keyranges/unanswered_grants.py"
GRANTS = "rosemarydeal/node/grants.py"

MUTANTS = (
    Mutant(
        "grants of a predecessor forgotten",
        UNANSWERED,
        "None, predecessor_until)",
        "None, 0.0)",
        SIMULATED,
    ),
    Mutant(
        "the end of unanswered grants not waited for",
        GRANTS,
        "max(0.0, unanswered_s) if self._may_hold(covering) else 0.0",
        "0.0",
        SIMULATED,
    ),
    Mutant(
        "a grant superseded by one of the same token",
        UNANSWERED,
        "sent.token >= keys.token",
        "sent.token > keys.token",
        SIMULATED,
    ),
    Mutant(
        "a grant superseded by one of some of its keys",
        UNANSWERED,
        "spans = [rest for span in sent.spans for rest in _subtract(span, keys)]",
        "spans = []",
        SIMULATED,
    ),
    Mutant(
        "a grant in flight not waited for",
        GRANTS,
        "        if pending_calls:\n",
        "        if False:\n",
        SIMULATED,
    ),
    Mutant(
        "tokens of ranges with unanswered grants not renewed",
        "rosemarydeal/node/hand_over.py",
        "        if not exposed:\n            return transfers\n        changed",
        "        if True:\n            return transfers\n        changed",
        (*LATE, "former process"),
    ),
    Mutant(
        "ranges taken before the tokens of a predecessor are known forgotten",
        UNANSWERED,
        "for keys in taken:",
        "for keys in ():",
        SIMULATED,
    ),
    Mutant(
        "attempts of one token taken for superseded",
        "rosemarydeal/node/hand_over.py",
        "SUPERSEDE_ATTEMPTS = 3",
        "SUPERSEDE_ATTEMPTS = 1",
        SIMULATED,
    ),
)
