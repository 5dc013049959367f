"""Limits retries under overload to a share of the requests."""

from __future__ import annotations

__all__ = ["RetryBudget"]


class RetryBudget:
    """Token bucket that requests fill and retries drain."""

    def __init__(self, share: float, burst: float) -> None:
        """Creates a full budget.

        Args:
            share: Retries allowed per request, on average.
            burst: Maximum number of retries that can accumulate.
        """
        self._share = share
        self._burst = burst
        self._tokens = burst

    def add_request(self) -> None:
        """Adds the share of one request."""
        self._tokens = min(self._burst, self._tokens + self._share)

    def take_retry(self) -> bool:
        """Takes one retry from the budget; returns whether one was left."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
