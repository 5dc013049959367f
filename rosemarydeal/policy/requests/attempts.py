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
    "Again",
    "Attempts",
    "after",
    "final",
    "labels",
    "longest_rest",
    "no_upstream",
    "out_of_time",
    "park_time",
]

# Refusals by processes cost a hop and no run; a request that three processes
# turned away meets a service that is full.
MAX_HOPS = 4
# A caller may be kept waiting for the owner of its key for this long: a table
# that changes is known everywhere sooner. Longer waits are better spent at the
# caller, who is told when to come back.
PARK_S = 0.3
PARK_SHARE = 0.12
# A process that is restarted is back after about this long.
RETURN_AFTER_S = 0.6
SERVER_ERROR = 500
# Upstreams have been seen to forget connections that rested for 0.3 s; what is
# sent there is reset, and a request that may run once is then undecided.
ONCE_REST_S = 0.2
# Parts of the retry budget. Repeating what has run repeats its calls too, which
# count at the services called.
REJECTED_PART = 0.5
RUN_PART = 0.2


@dataclass(frozen=True, slots=True)
class Attempts:
    """Is what has been done for a request.

    Attributes:
        idempotent: Whether it may run more than once.
        most: Most upstreams that it may reach.
        made: Attempts that reached an upstream, or may have.
        hops: Processes that were asked.
        maybe_run: Whether an attempt may have run.
    """

    idempotent: bool
    most: int
    made: int = 0
    hops: int = 0
    maybe_run: bool = False


@dataclass(frozen=True, slots=True)
class Again:
    """Says to attempt the request again.

    Attributes:
        attempts: What will have been done by then.
        part: Part of the retry budget that such retries may use; 0 for free.
    """

    attempts: Attempts
    part: float


def after(attempts: Attempts, ending: RequestOutcome, keyed: bool) -> Again | None:
    """Decides what follows an attempt.

    Args:
        attempts: What was done before the attempt.
        ending: How the attempt ended.
        keyed: Whether one upstream only may run the request.

    Returns:
        What to do next, or None if the ending is the request's own.
    """
    hops = attempts.hops + 1
    match ending:
        case NotServed(elsewhere=True, reached=reached):
            made = attempts.made + reached
            if hops >= MAX_HOPS or made >= attempts.most:
                return None
            if keyed and ending.retry_after_s is not None:
                return None
            part = REJECTED_PART if reached else 0.0
            return Again(replace(attempts, made=made, hops=hops), part)
        case OutcomeUnknown(timed_out=False):
            made = attempts.made + 1
            if not attempts.idempotent or made >= attempts.most:
                return None
            again = replace(attempts, made=made, hops=hops, maybe_run=True)
            return Again(again, RUN_PART)
        case Answered(status) if status >= SERVER_ERROR and attempts.idempotent:
            made = attempts.made + 1
            if made >= attempts.most or hops >= MAX_HOPS:
                return None
            again = replace(attempts, made=made, hops=hops, maybe_run=True)
            return Again(again, RUN_PART)
        case _:
            return None


def final(attempts: Attempts, ending: RequestOutcome) -> RequestOutcome:
    """Returns what the caller is told: never *not run* if it may have run."""
    if isinstance(ending, NotServed) and attempts.maybe_run:
        return OutcomeUnknown(ending.code)
    return ending


def out_of_time(attempts: Attempts) -> RequestOutcome:
    """Returns the ending of a request whose time has run out."""
    if attempts.maybe_run:
        return OutcomeUnknown("timeout", timed_out=True)
    return NotServed("not-in-time")


def no_upstream(time_left_s: float) -> NotServed:
    """Returns the ending of a request that no upstream can take now."""
    most = max(0.0, time_left_s) / 3.0
    return NotServed("no-upstream", min(RETURN_AFTER_S, most))


def park_time(time_left_s: float) -> float:
    """Returns how long a request may wait for an owner that can be reached."""
    return min(PARK_S, PARK_SHARE * time_left_s)


def longest_rest(idempotent: bool) -> float | None:
    """Returns how long a kept connection may have rested that carries a request.

    Load pattern: upstreams that drop idle connections without notice and sooner
    than usual. A request that may be repeated is; the other kind goes over a
    connection that was used a moment ago, or over a new one.
    """
    return None if idempotent else ONCE_REST_S


def labels(ending: RequestOutcome) -> tuple[str, str]:
    """Returns outcome and code of an ending, for logs and metrics."""
    match ending:
        case Answered(status):
            return "answered", str(status)
        case NotServed(code):
            return "not-run", code
        case OutcomeUnknown(code):
            return "undecided", code
