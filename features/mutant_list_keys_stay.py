"""Deliberate defects of the choice of processes that may get keys."""

from __future__ import annotations

from features.mutants import Mutant

__all__ = ["MUTANTS"]

SCENARIOS = ("-m", "features.run", "features/keyranges.feature", "--name")
PROPOSALS = "rosemarydeal/policy/keyranges/proposals.py"

MUTANTS = (
    Mutant(
        "keys transferred to suspected processes",
        PROPOSALS,
        "        and member.node not in suspected\n    ]\n\n\ndef propose(",
        "    ]\n\n\ndef propose(",
        (*SCENARIOS, "suspected process"),
    ),
    Mutant(
        "a suspecting process gets keys though it is suspected itself",
        PROPOSALS,
        "        and member.node not in suspected\n    ]\n    eligible",
        "    ]\n    eligible",
        (*SCENARIOS, "suspected process"),
    ),
    Mutant(
        "keys taken over by a suspected process",
        PROPOSALS,
        "    if own is None or view.node in suspected:\n",
        "    if own is None:\n",
        (*SCENARIOS, "suspected process"),
    ),
    Mutant(
        "keys transferred before the links are up",
        PROPOSALS,
        "    if view.linking_s < LINKS_SETTLE_S:\n",
        "    if False:\n",
        (*SCENARIOS, "after its start"),
    ),
    Mutant(
        "keys transferred before the member is stored",
        PROPOSALS,
        "    if 2 * view.links_up >= others:\n",
        "    if own is not None and 2 * view.links_up >= others:\n",
        (*SCENARIOS, "not stored yet"),
    ),
    Mutant(
        "links of a new process waited for without end",
        PROPOSALS,
        "LINKS_SETTLE_S = 1.0\n",
        "LINKS_SETTLE_S = 1000.0\n",
        (*SCENARIOS, "after its start"),
    ),
)
