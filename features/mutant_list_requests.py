"""Deliberate defects of the request policies."""

from __future__ import annotations

from features.mutants import Mutant

__all__ = ["MUTANTS"]

FUZZ = ("-m", "features.requests_budget")
MERGED = ("-m", "features.run", "features/merged_slices.feature")
ENTRY = ("-m", "features.run", "features/entry_attempts.feature")
POLICY = "rosemarydeal/policy"

MUTANTS = (
    Mutant(
        "not run reported despite a possible earlier run",
        f"{POLICY}/guard_state.py",
        "if isinstance(outcome, Unknown) or not earlier_run_possible:",
        "if isinstance(outcome, Unknown) or earlier_run_possible in (True, False):",
        FUZZ,
    ),
    Mutant(
        "ledger taken for complete after another owner",
        f"{POLICY}/tickets.py",
        "follows = ownership.token >= 0 and gained.after_token == ownership.token",
        "follows = ownership.token >= 0",
        FUZZ,
    ),
    Mutant(
        "id expired early",
        f"{POLICY}/ledger.py",
        "if now - entry.changed_at <= window_s:",
        "if now - entry.changed_at <= window_s / 60:",
        FUZZ,
    ),
    Mutant(
        "id recorded after the dispatch only when answered",
        f"{POLICY}/guard.py",
        "if not request.idempotent:\n        new_ledger = ledger.record(",
        "if request.idempotent:\n        new_ledger = ledger.record(",
        FUZZ,
    ),
    Mutant(
        "retry after the first byte",
        f"{POLICY}/entry.py",
        "    if not request.accepted.idempotent:\n        return finish(",
        "    if False:\n        return finish(",
        FUZZ,
    ),
    Mutant(
        "lost request reported as not run",
        f"{POLICY}/completions.py",
        "    if not event.sent:\n",
        "    if not event.crashed:\n",
        FUZZ,
    ),
    Mutant(
        "answer to the wrong caller",
        f"{POLICY}/completions.py",
        "ReplyAnswer(c, event.request_id) for c in live.callers",
        "ReplyAnswer(c, event.request_id) for c in list(state.callers)[:1]",
        FUZZ,
    ),
    Mutant(
        "ticket of an earlier owner not checked",
        f"{POLICY}/tickets.py",
        "    return TicketStatus.MAY_HAVE_RUN\n",
        "    return TicketStatus.NEVER_RAN\n",
        FUZZ,
    ),
    Mutant(
        "ledger not handed over",
        f"{POLICY}/guard.py",
        "merged = ledger.merge(state.ledger, received.slice, received.entries, now)",
        "merged = state.ledger",
        FUZZ,
    ),
    Mutant(
        "old owner covers tickets after the hand-over",
        f"{POLICY}/tickets.py",
        "return replace(ownership, covers=(), ledger_transferred=True)",
        "return replace(ownership, ledger_transferred=True)",
        FUZZ,
    ),
    Mutant(
        "slice reported idle while a request runs",
        f"{POLICY}/completions.py",
        "if slice in state.running_by_slice:",
        "if slice in ():",
        FUZZ,
    ),
    Mutant(
        "every answer dropped when a request is lost",
        f"{POLICY}/ledger.py",
        "    return _drop_oldest_answers(ledger, limit_bytes)\n",
        "    return _drop_oldest_answers(ledger, limit_bytes if keep_answer else 0)\n",
        FUZZ,
    ),
    Mutant(
        "repeat of a running request dispatched",
        f"{POLICY}/arrivals.py",
        "    if live is not None:\n        return _join(",
        "    if live is not None and not live.is_running:\n        return _join(",
        FUZZ,
    ),
    Mutant(
        "every repeat ended unknown",
        f"{POLICY}/tickets.py",
        "    if ticket is not None and any(",
        "    if ticket is not None and not resent and any(",
        FUZZ,
    ),
    Mutant(
        "limit exceeded by one",
        f"{POLICY}/admission.py",
        "if admission.running >= capacity(admission, settings, share):",
        "if admission.running > capacity(admission, settings, share):",
        FUZZ,
    ),
    Mutant(
        "innocent request blocked",
        f"{POLICY}/guard.py",
        "    if suspect_running:\n        return False\n",
        "",
        FUZZ,
    ),
    Mutant(
        "suspect run by several processes at once",
        f"{POLICY}/claimed_suspects.py",
        "if current is None or current.node != node:",
        "if current is None:",
        FUZZ,
    ),
    Mutant(
        "crash suspects not broadcast",
        f"{POLICY}/completions.py",
        "live=live_requests), (\n        BroadcastCrashSuspects(notice),\n    )",
        "live=live_requests), ()",
        FUZZ,
    ),
    Mutant(
        "blocked after three crashes",
        f"{POLICY}/claimed_suspects.py",
        "CRASHES_TO_BLOCK = 2",
        "CRASHES_TO_BLOCK = 3",
        FUZZ,
    ),
    Mutant(
        "merge before the ids of a lost owner expire",
        f"{POLICY}/rebalance.py",
        "elif now - state.carved_rows[row.slice][1] > settings.merge_quiet_s:",
        "else:",
        MERGED,
    ),
    Mutant(
        "ids of a merged slice not handed over with its base",
        f"{POLICY}/completions.py",
        "sources = {slice, _base(slice), *merged}",
        "sources = {slice, _base(slice)}",
        MERGED,
    ),
    Mutant(
        "base slice released while an order of a merged slice runs",
        f"{POLICY}/completions.py",
        "if any(each in state.running_by_slice for each in merged):",
        "if False:",
        MERGED,
    ),
    Mutant(
        "carved slice takes over tickets of its base after other owners",
        f"{POLICY}/guard_state.py",
        "if base is not None and base.owned and base.token == gained.token:",
        "if base is not None and base.owned:",
        MERGED,
    ),
    Mutant(
        "final outcome decided by the attempts before the first one",
        "rosemarydeal/node/entry.py",
        "last_outcome = await self._run(progress)",
        "last_outcome = await self._run(replace(progress))",
        ENTRY,
    ),
    Mutant(
        "an order resent though it may have run",
        f"{POLICY}/requests/attempts.py",
        "if not attempts.idempotent or count >= attempts.limit:",
        "if count >= attempts.limit:",
        ENTRY,
    ),
)
