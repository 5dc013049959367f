"""Deliberate defects of table writes, restores of the store and stated rate limits."""

from __future__ import annotations

from features.mutants import Mutant

__all__ = ["MUTANTS"]

RESTORED = ("-m", "features.run", "features/store_restored.feature", "--name", "No key")
SILENT = ("-m", "features.run", "features/store_restored.feature", "--name", "Keys get")
OFTEN = (
    "-m",
    "features.run",
    "features/store_restored.feature",
    "--name",
    "A write of",
)
DAMAGED = (
    "-m",
    "features.run",
    "features/store_restored.feature",
    "--name",
    "A token is",
)
TABLES = ("-m", "features.run", "features/table_writes.feature", "--name")
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
        DAMAGED,
    ),
    Mutant(
        "tokens of lost changes issued again after a restore",
        f"{RANGES}/table.py",
        "token = max(top_token + 1, first_token(position))",
        "token = top_token + 1",
        RESTORED,
    ),
    Mutant(
        "tokens of a restored table started from the era alone",
        f"{RANGES}/table.py",
        "token = max(top_token + 1, first_token(position))",
        "token = max(top_token + 1, first_token(Revision(position.era, 0)))",
        DAMAGED,
    ),
    Mutant(
        "tables of all eras under one name",
        "rosemarydeal/node/contents.py",
        'return service if era <= FIRST_ERA else f"{service}.era-{era}"',
        "return service",
        OFTEN,
    ),
    Mutant(
        "a table created where there is none",
        "features/restored_world.py",
        "content = encode_table(based) if number else reservation",
        "content = encode_table(based)",
        DAMAGED,
    ),
    Mutant(
        "a first table created without a reservation",
        "rosemarydeal/node/table_writer.py",
        "if base == NO_REVISION:",
        "if False:",
        ("-m", "features.run", "features/table_writes.feature", "--name", "The first"),
    ),
    Mutant(
        "a reservation that does not tell of the table before",
        "rosemarydeal/node/table_writer.py",
        "await self._reserve(name, change.restores)",
        "await self._reserve(name, False)",
        ("-m", "features.run", "features/table_writes.feature", "--name", "The first"),
    ),
    Mutant(
        "a reservation of one who knew a table taken for the first",
        "rosemarydeal/node/records.py",
        "return reservation is None or reservation.replaced",
        "return reservation is None",
        ("-m", "features.run", "features/table_writes.feature", "--name", "A new pro"),
    ),
    Mutant(
        "keys used that a restored table gives while it is outdated",
        f"{RANGES}/restored_ranges.py",
        "known_until = now if self._outdated_since is None else self._outdated_since",
        "known_until = now",
        ("-m", "features.run", "features/keyranges.feature", "--name", "An owner beg"),
    ),
    Mutant(
        "a table written after a restore taken for the first one",
        f"{RANGES}/table.py",
        "restored_token = token if position.era > FIRST_ERA or replaced else 0",
        "restored_token = 0",
        DAMAGED,
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
        "if table is not None and (table.era, stored.name) == (",
        "if table is not None and table.era or table and (table.era, stored.name) == (",
        (*TABLES, "The copy of a table"),
    ),
    Mutant(
        "a table that undoes an assignment taken for a later one",
        f"{RANGES}/table.py",
        "            keys.token <= old.top_token and not _has_assignment(old, keys)",
        "            False",
        DAMAGED,
    ),
    Mutant(
        "a table whose highest token fell taken for a later one",
        f"{RANGES}/table.py",
        "new.top_token < old.top_token\n        or any(n",
        "any(n",
        (*TABLES, "A token is"),
    ),
    Mutant(
        "a refuted suspicion taken for a later one",
        f"{RANGES}/table.py",
        "n <= old.top_token and n not in known_suspicions",
        "False",
        (*TABLES, "A suspicion that was refuted"),
    ),
    Mutant(
        "a former table never accepted",
        "rosemarydeal/node/known_tables.py",
        "if now() - self._former_since[service] < FORMER_ACCEPTED_AFTER_S:",
        "if True:",
        (*TABLES, "A process that can't restore"),
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
        "return (*(keys for keys, _ in self.moving), *self.unsettled.keys)",
        "return tuple(keys for keys, _ in self.moving)",
        SILENT,
    ),
    Mutant(
        "a reassignment taken for failed under the revision of its base",
        f"{RANGES}/unsettled_transfers.py",
        "if base.revision > revision:",
        "if base.revision >= revision:",
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
    Mutant(
        "a first table without waits by a process that restarted after a removal",
        "rosemarydeal/node/records.py",
        "return not first_start",
        "return False",
        DAMAGED,
    ),
)
