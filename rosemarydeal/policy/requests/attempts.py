"""Decides whether a request is attempted again, and what its caller is told.

Invariants: a non-idempotent request that may have run is never attempted again,
and a request of which any attempt may have run is never said not to have run.
"""

from __future__ import annotations

from dataclasses import dataclass, replace

from rosemarydeal.core.requests import (
    Answered,
    NotServed,
    OutcomeUnknown,
    RequestOutcome,
)

__all__ = [
    "Retry",
    "Attempts",
    "decide_retry",
    "final_outcome",
    "outcome_labels",
    "max_idle_s",
    "no_upstream_outcome",
    "timeout_outcome",
    "max_owner_wait_s",
]

# Refusals by processes cost a hop and no run; a request that three processes
# turned away meets a service that is full.
MAX_HOPS = 4
# A caller may be kept waiting for the owner of its key for this long: a table
# that changes is known everywhere sooner. Longer waits are better spent at the
# caller, who is told when to come back.
MAX_OWNER_WAIT_S = 0.3
OWNER_WAIT_SHARE = 0.12
# A process that is restarted is back after about this long.
RESTART_TIME_S = 0.6
SERVER_ERROR = 500
# Upstreams have been seen to forget connections that rested for 0.3 s; what is
# sent there is reset, and a request that may run once is then undecided.
NON_IDEMPOTENT_MAX_IDLE_S = 0.2
# Parts of the retry budget. Repeating what has run repeats its calls too, which
# count at the services called.
REJECTED_BUDGET_SHARE = 0.5
RERUN_BUDGET_SHARE = 0.2


@dataclass(frozen=True, slots=True)
class Attempts:
    """Is what has been done for a request.

    Attributes:
        idempotent: Whether it may run more than once.
        limit: Most upstreams that it may reach.
        count: Attempts that reached an upstream, or may have.
        hops: Processes that were asked.
        may_have_run: Whether an attempt may have run.
    """

    idempotent: bool
    limit: int
    count: int = 0
    hops: int = 0
    may_have_run: bool = False


@dataclass(frozen=True, slots=True)
class Retry:
    """Says to attempt the request again.

    Attributes:
        attempts: What will have been done by then.
        budget_share: Part of the retry budget that such retries may use; 0 for free.
    """

    attempts: Attempts
    budget_share: float


def decide_retry(
    attempts: Attempts, outcome: RequestOutcome, keyed: bool
) -> Retry | None:
    """Decides what follows an attempt.

    Args:
        attempts: What was done before the attempt.
        outcome: How the attempt ended.
        keyed: Whether one upstream only may run the request.

    Returns:
        What to do next, or None if the ending is the request's own.
    """
    hops = attempts.hops + 1
    match outcome:
        case NotServed(elsewhere=True, reached=reached):
            count = attempts.count + reached
            if hops >= MAX_HOPS or count >= attempts.limit:
                return None
            if keyed and outcome.retry_after_s is not None:
                return None
            budget_share = REJECTED_BUDGET_SHARE if reached else 0.0
            return Retry(replace(attempts, count=count, hops=hops), budget_share)
        case OutcomeUnknown(timed_out=False):
            count = attempts.count + 1
            if not attempts.idempotent or count >= attempts.limit:
                return None
            updated = replace(attempts, count=count, hops=hops, may_have_run=True)
            return Retry(updated, RERUN_BUDGET_SHARE)
        case Answered(status) if status >= SERVER_ERROR and attempts.idempotent:
            count = attempts.count + 1
            if count >= attempts.limit or hops >= MAX_HOPS:
                return None
            updated = replace(attempts, count=count, hops=hops, may_have_run=True)
            return Retry(updated, RERUN_BUDGET_SHARE)
        case _:
            return None


def final_outcome(attempts: Attempts, outcome: RequestOutcome) -> RequestOutcome:
    """Returns what the caller is told: never *not run* if it may have run."""
    if isinstance(outcome, NotServed) and attempts.may_have_run:
        return OutcomeUnknown(outcome.code)
    return outcome


def timeout_outcome(attempts: Attempts) -> RequestOutcome:
    """Returns the ending of a request whose time has run out."""
    if attempts.may_have_run:
        return OutcomeUnknown("timeout", timed_out=True)
    return NotServed("not-in-time")


def no_upstream_outcome(time_left_s: float) -> NotServed:
    """Returns the ending of a request that no upstream can take now."""
    max_retry_after_s = max(0.0, time_left_s) / 3.0
    return NotServed("no-upstream", min(RESTART_TIME_S, max_retry_after_s))


def max_owner_wait_s(time_left_s: float) -> float:
    """Returns how long a request may wait for an owner that can be reached."""
    return min(MAX_OWNER_WAIT_S, OWNER_WAIT_SHARE * time_left_s)


def max_idle_s(idempotent: bool) -> float | None:
    """Returns how long a kept connection may have rested that carries a request.

    Load pattern: upstreams that drop idle connections without notice and sooner
    than usual. A request that may be repeated is; the other kind goes over a
    connection that was used a moment ago, or over a new one.
    """
    return None if idempotent else NON_IDEMPOTENT_MAX_IDLE_S


def outcome_labels(outcome: RequestOutcome) -> tuple[str, str]:
    """Returns outcome and code of an ending, for logs and metrics."""
    match outcome:
        case Answered(status):
            return "answered", str(status)
        case NotServed(code):
            return "not-run", code
        case OutcomeUnknown(code):
            return "undecided", code
