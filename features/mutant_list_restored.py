"""Deliberate defects of table writes, restores of the store and stated rate limits."""

from __future__ import annotations

from features.mutants import Mutant

__all__ = ["MUTANTS"]

RESTORED = ("-m", "features.run", "features/store_restored.feature", "--name", "No key")
SILENT = ("-m", "features.run", "features/store_restored.feature", "--name", "Keys get")
LIMITED = ("-m", "features.run", "features/rate_limit.feature", "--name", "limiter")
RANGES = "rosemarydeal/policy/keyranges"
DISPATCH = "rosemarydeal/policy/dispatch"

MUTANTS = (
    Mutant(
        "keys retained over a restore without a valid lease",
        f"{RANGES}/restored_ranges.py",
        "_joined(used) if lease_valid else ()",
        "_joined(used)",
        RESTORED,
    ),
    Mutant(
        "keys of a restored table used at once",
        f"{RANGES}/restored_ranges.py",
        "return keys.token > self._table.restored_token or any(",
        "return True or any(",
        RESTORED,
    ),
    Mutant(
        "keys that may not be used handed over",
        f"{RANGES}/proposals.py",
        "if restored.unusable:",
        "if False:",
        RESTORED,
    ),
    Mutant(
        "tokens of lost changes issued again after a restore",
        f"{RANGES}/table.py",
        "token = max(top_token + LOST_TOKENS, _first_token(era))",
        "token = top_token + 1",
        RESTORED,
    ),
    Mutant(
        "a table written after a restore taken for the first one",
        f"{RANGES}/table.py",
        "restored_token = token if era > FIRST_ERA or replaced else 0",
        "restored_token = 0",
        RESTORED,
    ),
    Mutant(
        "a suspicion numbered as an earlier one",
        f"{RANGES}/table.py",
        "number = table.top_token + 1",
        "number = 1 + max((s.number for s in table.suspicions), default=0)",
        RESTORED,
    ),
    Mutant(
        "a copy of a table taken for a table of the present era",
        "rosemarydeal/node/records.py",
        "if table.era == revision.era:",
        "if table.era <= revision.era:",
        RESTORED,
    ),
    Mutant(
        "a table written under the condition of the newest record",
        "features/restored_world.py",
        "number = change.base.revision.number",
        "number = node.base.revision.number",
        RESTORED,
    ),
    Mutant(
        "keys used after a start while a predecessor's write may follow",
        f"{RANGES}/start_barrier.py",
        "return self._table > self._position",
        "return True",
        RESTORED,
    ),
    Mutant(
        "the table of the first read taken for a later one",
        f"{RANGES}/start_barrier.py",
        "return self._table > self._position",
        "return self._table >= self._position",
        RESTORED,
    ),
    Mutant(
        "keys granted to an upstream that is back before their reassignment is known",
        "features/restored_world.py",
        "return (*moving, *tables.lost_by(self.name, old, new))",
        "return moving",
        SILENT,
    ),
    Mutant(
        "a reassignment taken for failed under the revision of its base",
        "features/restored_world.py",
        "if base.revision > unsettled.base.revision:",
        "if base.revision >= unsettled.base.revision:",
        SILENT,
    ),
    Mutant(
        "no keys counted as lost by a reassignment",
        f"{RANGES}/table.py",
        "for keys in owned_by(new, node):",
        "for keys in owned_by(old, node):",
        SILENT,
    ),
    Mutant(
        "keys reassigned while a silent upstream may hold them",
        f"{RANGES}/proposals.py",
        "if not view.alive and not view.may_hold:",
        "if not view.alive:",
        SILENT,
    ),
    Mutant(
        "a limit ended by an answer to an earlier request",
        f"{DISPATCH}/rate_limit.py",
        "elif sent_at <= self._stated_at:",
        "elif False:",
        LIMITED,
    ),
    Mutant(
        "an unlimited burst before the first answer",
        f"{DISPATCH}/rate_limit.py",
        "return running < MAX_RUNNING_UNANSWERED",
        "return True",
        LIMITED,
    ),
    Mutant(
        "a limit of zero that can't be withdrawn",
        f"{DISPATCH}/rate_limit.py",
        "return max(MIN_PER_S, self._per_s)",
        "return max(1e-9, self._per_s)",
        LIMITED,
    ),
)
