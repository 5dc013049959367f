"""Retry decisions and the outcome that is reported to the caller.

Invariants: a non-idempotent request that may have run is never retried, and a
request of which any attempt may have run is never reported as not run.
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
    "Attempts",
    "Retry",
    "decide_retry",
    "final_outcome",
    "max_idle_s",
    "max_owner_wait_s",
    "no_upstream_outcome",
    "outcome_labels",
    "timeout_outcome",
]

# A rejection by a process costs a hop but no run. When three processes have
# rejected a request, the service is most likely full: the fourth attempt is the last.
MAX_HOPS = 4
# Limits on the time that a request is held until the owner of its key can be
# reached, in seconds and as a share of the time left. A changed table reaches all
# processes sooner. For longer waits the caller is sent a retry time instead.
MAX_OWNER_WAIT_S = 0.3
OWNER_WAIT_SHARE = 0.12
# Typical time until a restarted process accepts requests again.
RESTART_TIME_S = 0.6
SERVER_ERROR = 500
# Some upstreams drop connections that were idle for 0.3 s. A request sent on one
# is reset, and the outcome of a non-idempotent request is then unknown.
NON_IDEMPOTENT_MAX_IDLE_S = 0.2
# Shares of the retry budget. A request that runs again repeats its own calls too,
# which count at the services called.
REJECTED_BUDGET_SHARE = 0.5
RERUN_BUDGET_SHARE = 0.2


@dataclass(frozen=True, slots=True)
class Attempts:
    """The attempts of a request so far.

    Attributes:
        idempotent: Whether the request may run more than once.
        limit: Maximum number of attempts that reach an upstream.
        count: Number of attempts that reached an upstream, or may have.
        hops: Number of processes that the request was sent to.
        may_have_run: Whether any attempt may have run.
    """

    idempotent: bool
    limit: int
    count: int = 0
    hops: int = 0
    may_have_run: bool = False


@dataclass(frozen=True, slots=True)
class Retry:
    """Decision to retry the request.

    Attributes:
        attempts: The attempts so far, including the one that has just ended.
        budget_share: Share of the retry budget up to which such retries may be
            spent; 0 if the retry does not count against the budget.
    """

    attempts: Attempts
    budget_share: float


def decide_retry(
    attempts: Attempts, outcome: RequestOutcome, keyed: bool
) -> Retry | None:
    """Decides whether a request is retried after an attempt.

    Args:
        attempts: The attempts before this one.
        outcome: Outcome of this attempt.
        keyed: Whether only one upstream may run the request.

    Returns:
        The retry, or None if the outcome stands as that of the request.
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
    """Returns the outcome for the caller: never `NotServed` if it may have run."""
    if isinstance(outcome, NotServed) and attempts.may_have_run:
        return OutcomeUnknown(outcome.code)
    return outcome


def timeout_outcome(attempts: Attempts) -> RequestOutcome:
    """Returns the outcome of a request whose deadline has passed."""
    if attempts.may_have_run:
        return OutcomeUnknown("timeout", timed_out=True)
    return NotServed("not-in-time")


def no_upstream_outcome(time_left_s: float) -> NotServed:
    """Returns the outcome of a request that no upstream can take now."""
    max_retry_after_s = max(0.0, time_left_s) / 3.0
    return NotServed("no-upstream", min(RESTART_TIME_S, max_retry_after_s))


def max_owner_wait_s(time_left_s: float) -> float:
    """Returns how long a request may wait for a reachable owner, in seconds."""
    return min(MAX_OWNER_WAIT_S, OWNER_WAIT_SHARE * time_left_s)


def max_idle_s(idempotent: bool) -> float | None:
    """Returns the maximum idle time of a connection reused for a request.

    Load pattern: upstreams that drop idle connections without notice and sooner
    than usual. An idempotent request is retried if that happens. A non-idempotent
    one is sent on a connection that was used recently, or on a new one.

    Returns:
        The time in seconds, or None for no limit.
    """
    return None if idempotent else NON_IDEMPOTENT_MAX_IDLE_S


def outcome_labels(outcome: RequestOutcome) -> tuple[str, str]:
    """Returns the outcome and code labels for logs and metrics."""
    match outcome:
        case Answered(status):
            return "answered", str(status)
        case NotServed(code):
            return "not-run", code
        case OutcomeUnknown(code):
            return "undecided", code
