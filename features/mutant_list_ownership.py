"""Lists deliberate defects of the ownership policy."""

from __future__ import annotations

from features.mutants import Mutant

__all__ = ["MUTANTS"]

FUZZ = ("-m", "features.ownership_budget")
SCENARIOS = ("-m", "features.run", "features/ownership.feature")
POLICY = "rosemarydeal/policy"

MUTANTS = (
    Mutant(
        "lease counted from receipt",
        f"{POLICY}/lease.py",
        "newest = max(sent_at, lease.acked.get(sender, sent_at))",
        "newest = now",
        FUZZ,
    ),
    Mutant(
        "witness vouches right after start",
        f"{POLICY}/ownership.py",
        "hold_off_until=now + settings.startup_hold_off_s",
        "hold_off_until=now",
        FUZZ,
    ),
    Mutant(
        "witness forgets what it vouched for",
        f"{POLICY}/witness.py",
        "rest = max(0.0, forgotten_until - now, ",
        "rest = max(0.0, ",
        SCENARIOS,
    ),
    Mutant(
        "silent witness vouches for old incarnations",
        f"{POLICY}/incarnation.py",
        "known_boot_id=lease.witness_boot_ids.get(node, 0)",
        "known_boot_id=state.witness_boot_ids.get(node, 0)",
        FUZZ,
    ),
    Mutant(
        "lapsed incarnation goes on",
        f"{POLICY}/lease.py",
        "return end is not None and now >= end",
        "return False",
        FUZZ,
    ),
    Mutant(
        "row version not checked",
        f"{POLICY}/succession.py",
        "if rank is None or row.version < state.floors.get(slice_id, 0):",
        "if rank is None:",
        FUZZ,
    ),
    Mutant(
        "new owner waits for nobody",
        f"{POLICY}/succession.py",
        "if not earlier_out(state, row, rank, now) or uncleared(state, row, now):",
        "if not earlier_out(state, row, rank, now):",
        FUZZ,
    ),
    Mutant(
        "only the old owner has to clear",
        f"{POLICY}/rows.py",
        "names = dict.fromkeys((*row.succession, *waiting))",
        "names = dict.fromkeys((*row.succession[:1], *waiting))",
        FUZZ,
    ),
    Mutant(
        "retiring names forgotten",
        f"{POLICY}/rows.py",
        "names = dict.fromkeys((*row.succession, *waiting))",
        "names = dict.fromkeys(row.succession)",
        FUZZ,
    ),
    Mutant(
        "witness promises while it hears",
        f"{POLICY}/witness.py",
        "settings.silence_s - ago if heard else 0.0)",
        "0.0)",
        SCENARIOS,
    ),
    Mutant(
        "witness vouches after a promise",
        f"{POLICY}/witness.py",
        "    if state.has_promised(name):\n        return state, LeaseReply",
        "    if False:\n        return state, LeaseReply",
        FUZZ,
    ),
    Mutant(
        "promises of several rounds add up",
        f"{POLICY}/probe.py",
        "        promises=Map(),\n",
        "",
        FUZZ,
    ),
    Mutant(
        "successor does not wait out the lease",
        f"{POLICY}/probe.py",
        "lapses_at = now + reply.expires_after_s * settings.drift_factor",
        "lapses_at = now",
        FUZZ,
    ),
    Mutant(
        "clears before the slice is idle",
        f"{POLICY}/revocation.py",
        "            if serving is not None or slice_id in state.stopping:\n",
        "            if False:\n",
        FUZZ,
    ),
    Mutant(
        "stale read taken in",
        f"{POLICY}/records.py",
        "    if known is not None and known.version >= version:\n"
        "        return state, ()",
        "    if False:\n        return state, ()",
        FUZZ,
    ),
    Mutant(
        "merge while the key's owner differs",
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
        "floor = max(version, state.floors.get(slice_id, 0))",
        "floor = 0",
        FUZZ,
    ),
    Mutant(
        "takes over past living names",
        f"{POLICY}/succession.py",
        "if not earlier_out(state, row, rank, now) or uncleared(state, row, now):",
        "if uncleared(state, row, now):",
        FUZZ,
    ),
    Mutant(
        "never takes over",
        f"{POLICY}/succession.py",
        "    if rank is None or row.version < state.floors.get(slice_id, 0):",
        "    if rank != 0 or row.version < state.floors.get(slice_id, 0):",
        SCENARIOS,
    ),
)
