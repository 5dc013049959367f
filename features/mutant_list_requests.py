"""Lists deliberate defects of the decisions about requests."""

from __future__ import annotations

from features.mutants import Mutant

__all__ = ["MUTANTS"]

FUZZ = ("-m", "features.requests_budget")
POLICY = "rosemarydeal/policy"

MUTANTS = (
    Mutant(
        "lapsed guard vouches for the past",
        f"{POLICY}/guard_state.py",
        "if isinstance(outcome, Unknown) or not past_unknown:",
        "if isinstance(outcome, Unknown) or past_unknown in (True, False):",
        FUZZ,
    ),
    Mutant(
        "right goes on over another owner's time",
        f"{POLICY}/tickets.py",
        "follows = right.token >= 0 and gained.after_token == right.token",
        "follows = right.token >= 0",
        FUZZ,
    ),
    Mutant(
        "id forgotten early",
        f"{POLICY}/ledger.py",
        "if now - entry.at <= window_s:",
        "if now - entry.at <= window_s / 60:",
        FUZZ,
    ),
    Mutant(
        "id recorded after the dispatch only when answered",
        f"{POLICY}/guard.py",
        "if not request.idempotent:\n        book = ledger.record(",
        "if request.idempotent:\n        book = ledger.record(",
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
        "lost request told as not run",
        f"{POLICY}/endings.py",
        "    if not event.sent:\n",
        "    if not event.crashed:\n",
        FUZZ,
    ),
    Mutant(
        "answer to the wrong waiter",
        f"{POLICY}/endings.py",
        "ReplyAnswer(w, event.request_id) for w in live.waiters",
        "ReplyAnswer(w, event.request_id) for w in list(state.waiters)[:1]",
        FUZZ,
    ),
    Mutant(
        "ticket of an earlier owner not checked",
        f"{POLICY}/tickets.py",
        "    return Verdict.MAY_HAVE_RUN\n",
        "    return Verdict.NEVER_RAN\n",
        FUZZ,
    ),
    Mutant(
        "ledger not handed over",
        f"{POLICY}/guard.py",
        "book = ledger.adopt(state.ledger, handed.slice, handed.entries, now)",
        "book = state.ledger",
        FUZZ,
    ),
    Mutant(
        "old owner keeps the tickets that it handed over",
        f"{POLICY}/tickets.py",
        "return replace(right, covers=(), given_away=True)",
        "return replace(right, given_away=True)",
        FUZZ,
    ),
    Mutant(
        "slice reported idle while an order runs",
        f"{POLICY}/endings.py",
        "if slice in state.busy_slices:",
        "if slice in ():",
        FUZZ,
    ),
    Mutant(
        "every answer dropped when a request is lost",
        f"{POLICY}/ledger.py",
        "    return _shrink(ledger, room_bytes)\n",
        "    return _shrink(ledger, room_bytes if keeps else 0)\n",
        FUZZ,
    ),
    Mutant(
        "repeat of a running order dispatched beside it",
        f"{POLICY}/arrivals.py",
        "    if live is not None:\n        return _join(",
        "    if live is not None and not live.runs:\n        return _join(",
        FUZZ,
    ),
    Mutant(
        "unknown answered to every repeat",
        f"{POLICY}/tickets.py",
        "    if ticket is not None and any(",
        "    if ticket is not None and not resent and any(",
        FUZZ,
    ),
    Mutant(
        "one slot too many",
        f"{POLICY}/admission.py",
        "if admission.running >= capacity(admission, settings, share):",
        "if admission.running > capacity(admission, settings, share):",
        FUZZ,
    ),
    Mutant(
        "bystander blamed",
        f"{POLICY}/guard.py",
        "    if suspect_runs:\n        return False\n",
        "",
        FUZZ,
    ),
    Mutant(
        "suspect tried by several processes at once",
        f"{POLICY}/crash_suspects.py",
        "if held is None or held.node != node:",
        "if held is None:",
        FUZZ,
    ),
    Mutant(
        "crash suspects not told to peers",
        f"{POLICY}/endings.py",
        "suspects=book, live=table), (BroadcastCrashSuspects(notice),)",
        "suspects=book, live=table), ()",
        FUZZ,
    ),
    Mutant(
        "blamed after three crashes",
        f"{POLICY}/crash_suspects.py",
        "CRASHES_TO_BLAME = 2",
        "CRASHES_TO_BLAME = 3",
        FUZZ,
    ),
)
