"""Deliberate defects of the ownership policy."""

from __future__ import annotations

from features.mutants import Mutant

__all__ = ["MUTANTS"]

FUZZ = ("-m", "features.ownership_budget")
SCENARIOS = ("-m", "features.run", "features/ownership.feature")
POLICY = "rosemarydeal/policy"

MUTANTS = (
    Mutant(
        "lease starts when the grant is received",
        f"{POLICY}/lease.py",
        "latest = max(sent_at, lease.latest_granted.get(sender, sent_at))",
        "latest = now",
        FUZZ,
    ),
    Mutant(
        "witness has no startup hold-off",
        f"{POLICY}/ownership.py",
        "hold_off_until=now + settings.startup_hold_off_s",
        "hold_off_until=now",
        FUZZ,
    ),
    Mutant(
        "restarted witness ignores leases of its previous run",
        f"{POLICY}/witness.py",
        "        0.0, old_leases_expire_at - now, ",
        "        0.0, ",
        SCENARIOS,
    ),
    Mutant(
        "witness in hold-off grants leases to old incarnations",
        f"{POLICY}/incarnation.py",
        "known_boot_id=lease.witness_boot_ids.get(node, 0)",
        "known_boot_id=state.witness_boot_ids.get(node, 0)",
        FUZZ,
    ),
    Mutant(
        "expired incarnation stays in use",
        f"{POLICY}/lease.py",
        "return expiry is not None and now >= expiry",
        "return False",
        FUZZ,
    ),
    Mutant(
        "row version not compared with released versions",
        f"{POLICY}/succession.py",
        "if rank is None or row.version < state.released_below.get(slice_id, 0):",
        "if rank is None:",
        FUZZ,
    ),
    Mutant(
        "new owner does not wait for retiring incarnations",
        f"{POLICY}/succession.py",
        "if not earlier_released(state, row, rank, now) or unacked(state, row, now):",
        "if not earlier_released(state, row, rank, now):",
        FUZZ,
    ),
    Mutant(
        "former successors are not retiring",
        f"{POLICY}/rows.py",
        "incarnations = dict.fromkeys((*row.succession, *unacked))",
        "incarnations = dict.fromkeys((*row.succession[:1], *unacked))",
        FUZZ,
    ),
    Mutant(
        "retiring incarnations dropped at the next change",
        f"{POLICY}/rows.py",
        "incarnations = dict.fromkeys((*row.succession, *unacked))",
        "incarnations = dict.fromkeys(row.succession)",
        FUZZ,
    ),
    Mutant(
        "witness promises despite recent lease requests",
        f"{POLICY}/witness.py",
        "may_promise_at - now, settings.silence_s - age_s if record else 0.0",
        "may_promise_at - now, 0.0",
        SCENARIOS,
    ),
    Mutant(
        "witness grants leases after a promise",
        f"{POLICY}/witness.py",
        "    if state.has_promised(incarnation):\n        return state, LeaseReply",
        "    if False:\n        return state, LeaseReply",
        FUZZ,
    ),
    Mutant(
        "promises of several rounds counted together",
        f"{POLICY}/probe.py",
        "        promises=Map(),\n",
        "",
        FUZZ,
    ),
    Mutant(
        "successor does not wait for the lease to expire",
        f"{POLICY}/probe.py",
        "expires_at = now + reply.expires_after_s * settings.drift_factor",
        "expires_at = now",
        FUZZ,
    ),
    Mutant(
        "release acknowledged before the slice is idle",
        f"{POLICY}/revocation.py",
        "            if serving is not None or slice_id in state.stopping:\n",
        "            if False:\n",
        FUZZ,
    ),
    Mutant(
        "stale chunk adopted",
        f"{POLICY}/records.py",
        "    if known is not None and known.version >= version:\n"
        "        return state, ()",
        "    if False:\n        return state, ()",
        FUZZ,
    ),
    Mutant(
        "merge of slices with different owners",
        f"{POLICY}/rows.py",
        "if carved.owner != base.owner or carved.retiring:",
        "if False:",
        FUZZ,
    ),
    Mutant(
        "clock drift ignored",
        f"{POLICY}/ownership_settings.py",
        "return (1.0 + self.clock_drift) / (1.0 - self.clock_drift)",
        "return 1.0",
        FUZZ,
    ),
    Mutant(
        "released slice served again",
        f"{POLICY}/revocation.py",
        "released = max(version, state.released_below.get(slice_id, 0))",
        "released = 0",
        FUZZ,
    ),
    Mutant(
        "takes over before earlier incarnations expire",
        f"{POLICY}/succession.py",
        "if not earlier_released(state, row, rank, now) or unacked(state, row, now):",
        "if unacked(state, row, now):",
        FUZZ,
    ),
    Mutant(
        "successor never takes over",
        f"{POLICY}/succession.py",
        "    if rank is None or row.version < state.released_below.get(slice_id, 0):",
        "    if rank != 0 or row.version < state.released_below.get(slice_id, 0):",
        SCENARIOS,
    ),
    Mutant(
        "process becomes its own only witness while others run",
        f"{POLICY}/incarnation.py",
        "if available or (timed_out and not state.witness_set_complete):",
        "if True:",
        SCENARIOS,
    ),
)
