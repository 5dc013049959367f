"""Deliberate defects of the grants that calls carry, and of keys given away."""

from __future__ import annotations

from features.mutants import Mutant

__all__ = ["MUTANTS"]

LATE = ("-m", "features.run", "features/late_grants.feature")
RELEASED = ("-m", "features.run", "features/released_keys.feature", "--name")
RESTORED = ("-m", "features.run", "features/store_restored.feature", "--name")
LEAVING = ("-m", "features.run", "features/leaving.feature", "--name")
GRANTS = "rosemarydeal/node/grants.py"
UPSTREAM = "rosemarydeal/node/upstream.py"
UNSETTLED = "rosemarydeal/policy/keyranges/unsettled_transfers.py"

MUTANTS = (
    Mutant(
        "a departure before the first announcement forgotten",
        UPSTREAM,
        "                self._note_leaving(call.incarnation)\n",
        "                pass\n",
        (*LEAVING, "A departure that arrives"),
    ),
    Mutant(
        "a departure forgotten with the state of its incarnation",
        UPSTREAM,
        "leaving_since = self._leaving.get(new.incarnation)\n",
        "leaving_since = state.leaving_since if state is not None else None\n",
        (*LEAVING, "A departure is forgotten as its"),
    ),
    Mutant(
        "a departure without a start that binds each life",
        UPSTREAM,
        "self._departed_instances.pop(new.instance, -math.inf)",
        "self._departed_instances.get(new.instance, -math.inf)",
        (*LEAVING, "A departure that names no start"),
    ),
    Mutant(
        "a departure during the stop of the process not written",
        "rosemarydeal/node/membership.py",
        "return leaves or not self._stopping",
        "return not self._stopping",
        (*LEAVING, "A departure is forgotten with the process"),
    ),
    Mutant(
        "the member of a departed upstream removed while that is alive",
        "rosemarydeal/node/membership.py",
        "        if alive:\n            return\n",
        "",
        (*LEAVING, "A departure is forgotten with the process"),
    ),
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
        "        self._unsettled.begin(change)\n        self._tasks",
        "        self._tasks",
        (*RELEASED, "while the write that gives them away has no answer"),
    ),
    Mutant(
        "a write without an answer waited for without an end",
        "rosemarydeal/node/ownership.py",
        "case None if self._unsettled.pending and base.current:",
        "case None if False:",
        (*RELEASED, "Keys stay unserved"),
    ),
    Mutant(
        "a write without an answer taken for one without effect",
        UNSETTLED,
        "if result is not WriteResult.NOT_WRITTEN or write not in self._writes:",
        "if result is WriteResult.WRITTEN or write not in self._writes:",
        (*RELEASED, "while the write that gives them away has no answer"),
    ),
    Mutant(
        "an unanswered write forgotten once its repetition was not sent",
        UNSETTLED,
        "self._writes[write] -= 1",
        "self._writes[write] = 0",
        ("-m", "features.run", "features/keyranges.feature", "--name", "repetition"),
    ),
    Mutant(
        "keys withheld for a write that was not sent",
        "rosemarydeal/node/ownership.py",
        "        self._unsettled.end(change, result)\n",
        "",
        (*RESTORED, "A write that was never sent"),
    ),
    Mutant(
        "a hand-over without an answer forgotten by a restore",
        "rosemarydeal/node/hand_over.py",
        "            self._table.begin_write(change)\n            if await",
        "            if await",
        (*RESTORED, "A hand-over without an answer"),
    ),
    Mutant(
        "a proposal of its own written as a part of a restore",
        "rosemarydeal/node/hand_over.py",
        "            if base.current:\n                return\n",
        "",
        (*RESTORED, "Keys are given away without a note"),
    ),
    Mutant(
        "a write that a restored store has refused taken for one without an answer",
        "rosemarydeal/platform/store.py",
        "if reply.era > revision.era:",
        "if False:",
        (*RESTORED, "A write of the table that meets"),
    ),
    Mutant(
        "a write of a former era taken for one without effect",
        "rosemarydeal/node/table_writer.py",
        "era=changed.era)\n            return WriteResult.UNKNOWN",
        "era=changed.era)\n            return WriteResult.NOT_WRITTEN",
        (*RESTORED, "A write of the table that meets"),
    ),
    Mutant(
        "an owner removed because one peer can't reach it",
        "rosemarydeal/node/membership.py",
        "if self._owns_keys(node):",
        "if False:",
        (*RELEASED, "one peer can't reach"),
    ),
)
