"""Limits the rate of calls to the platform, which all processes share."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["CallBudget", "start", "take"]


@dataclass(frozen=True, slots=True)
class CallBudget:
    """Token bucket that limits the rate of calls.

    Attributes:
        calls_per_s: Sustained rate of calls.
        burst: Capacity of the bucket, in calls.
        tokens: Calls available at `updated_at`; negative while callers wait.
        updated_at: Time of the last change, in seconds.
    """

    calls_per_s: float
    burst: float
    tokens: float
    updated_at: float


def start(calls_per_s: float, burst: float, now: float) -> CallBudget:
    """Returns a full token bucket."""
    return CallBudget(calls_per_s, burst, burst, now)


def take(budget: CallBudget, now: float) -> tuple[CallBudget, float]:
    """Takes one token for a call.

    Args:
        budget: The token bucket.
        now: Current time, in seconds.

    Returns:
        The updated token bucket and the seconds to wait before the call.
    """
    refilled = max(0.0, now - budget.updated_at) * budget.calls_per_s
    tokens = min(budget.burst, budget.tokens + refilled) - 1.0
    remaining = CallBudget(budget.calls_per_s, budget.burst, tokens, now)
    return remaining, max(0.0, -tokens / budget.calls_per_s)
