"""Deliberate defects of proofs of an end, histories of tables, and odd statuses."""

from __future__ import annotations

from features.mutants import Mutant

__all__ = ["MUTANTS"]

ENDS = ("-m", "features.run", "features/end_proofs.feature", "--name")
STATUSES = ("-m", "features.run", "features/odd_statuses.feature")
REVERTED = (
    "-m",
    "features.run",
    "features/store_restored.feature",
    "--name",
    "A token is",
)
REVERTED_SLOW = (
    "-m",
    "features.run",
    "features/store_restored.feature",
    "--name",
    "since its base",
)
TABLES = ("-m", "features.run", "features/table_writes.feature", "--name")
KNOWN_TABLES = "rosemarydeal/node/known_tables.py"

MUTANTS = (
    Mutant(
        "a refused connection taken for the end of an upstream",
        "rosemarydeal/node/upstream.py",
        "connected = self._is_connected()",
        "connected = False",
        (*ENDS, "closed listening"),
    ),
    Mutant(
        "grants waited out after the last connection of an upstream has ended",
        "rosemarydeal/node/upstream.py",
        "if state.silent and state.refused and not self._is_connected():",
        "if False:",
        (*ENDS, "closed listening"),
    ),
    Mutant(
        "a removed member that drained taken for ended",
        "rosemarydeal/node/records.py",
        "return member is not None and member.ended",
        "return member is not None and not member.accepting",
        (*ENDS, "another writer"),
    ),
    Mutant(
        "the upstream of a renamed VM taken for ended",
        "rosemarydeal/node/ownership.py",
        "if self._has_other_upstream(successor, node):",
        "if True:",
        (*ENDS, "another name"),
    ),
    Mutant(
        "longer holds of a predecessor not waited for",
        "rosemarydeal/node/ownership.py",
        "max_hold_s = ownership_lease.MAX_GRANT_S",
        "max_hold_s = self._identity.bounds.max_hold_s",
        (*ENDS, "longest hold"),
    ),
    Mutant(
        "statuses above 599 accepted",
        "rosemarydeal/proxy/client_connection.py",
        "MAX_STATUS = 599",
        "MAX_STATUS = 999",
        STATUSES,
    ),
    Mutant(
        "statuses of peers' replies not checked",
        "rosemarydeal/node/messages.py",
        "FINAL_STATUSES = range(200, 600)",
        "FINAL_STATUSES = range(1000)",
        STATUSES,
    ),
    Mutant(
        "a table proved whatever its history",
        KNOWN_TABLES,
        "            self._tables[service] = known\n"
        "            self._note_former(known, table, applied)\n",
        "            self.accept(service)\n",
        REVERTED,
    ),
    Mutant(
        "history read since the last proved table although the base is later",
        KNOWN_TABLES,
        "return max(proved[0], base)",
        "return proved[0]",
        REVERTED_SLOW,
    ),
    Mutant(
        "tables used before their history is known",
        KNOWN_TABLES,
        "return not states_base or (proved is not None and proved[0] == applied)",
        "return True",
        (*TABLES, "put back for the present"),
    ),
    Mutant(
        "a table whose history is gone never accepted",
        "rosemarydeal/node/ownership.py",
        "await self._compare_with_peers(since)",
        "pass",
        (*TABLES, "dropped its history"),
    ),
    Mutant(
        "a table whose history is gone believed whatever peers know",
        "rosemarydeal/node/ownership.py",
        "Listing(present, revision)",
        "Listing((), revision)",
        (*TABLES, "history is gone"),
    ),
    Mutant(
        "peers' tables not waited for by a process that starts",
        "rosemarydeal/node/store_access.py",
        "await self._links.wait_up(min(RELAY_PEERS, others), PEERS_WAIT_S)",
        "pass",
        (*TABLES, "before it is linked"),
    ),
    Mutant(
        "a peer's word that the history is gone taken for no answer",
        "rosemarydeal/node/store_access.py",
        "return StoreRelayReply(call.number, call.kind, None, gone=True)",
        "return None",
        (*TABLES, "dropped its history"),
    ),
    Mutant(
        "a table written without its base",
        "rosemarydeal/node/table_writer.py",
        "replace(change.table, base=base.number), change.reason",
        "change.table, change.reason",
        (*TABLES, "put back for the present"),
    ),
)
