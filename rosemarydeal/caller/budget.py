"""Limits retries under overload to a share of the requests."""

from __future__ import annotations

__all__ = ["RetryBudget"]


class RetryBudget:
    """Counts what requests put in and retries take out."""

    def __init__(self, share: float, burst: float) -> None:
        """Makes a full budget.

        Args:
            share: Retries that each request allows.
            burst: Most retries that can be saved up.
        """
        self._share = share
        self._burst = burst
        self._tokens = burst

    def add_request(self) -> None:
        """Adds the share of one request."""
        self._tokens = min(self._burst, self._tokens + self._share)

    def take_retry(self) -> bool:
        """Takes one retry out and tells whether it was there."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
