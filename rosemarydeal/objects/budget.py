"""Limits the rate of calls to the platform, which all processes share."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["CallBudget", "start", "take"]


@dataclass(frozen=True, slots=True)
class CallBudget:
    """Is a token bucket.

    Attributes:
        calls_per_s: Rate at which calls are allowed in the long run.
        burst: Calls that may follow each other at once.
        tokens: Calls allowed at `updated_at`; negative while callers wait.
        updated_at: Moment of the last change, in seconds.
    """

    calls_per_s: float
    burst: float
    tokens: float
    updated_at: float


def start(calls_per_s: float, burst: float, now: float) -> CallBudget:
    """Returns a full budget."""
    return CallBudget(calls_per_s, burst, burst, now)


def take(budget: CallBudget, now: float) -> tuple[CallBudget, float]:
    """Takes one call from the budget.

    Args:
        budget: The budget.
        now: Current time in seconds.

    Returns:
        The budget afterwards and the seconds to wait before the call.
    """
    refilled = max(0.0, now - budget.updated_at) * budget.calls_per_s
    tokens = min(budget.burst, budget.tokens + refilled) - 1.0
    remaining = CallBudget(budget.calls_per_s, budget.burst, tokens, now)
    return remaining, max(0.0, -tokens / budget.calls_per_s)
