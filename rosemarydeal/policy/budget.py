"""Limits extra requests, such as retries and hedges, to a share of the traffic."""

from __future__ import annotations

from dataclasses import dataclass, replace

__all__ = ["Budget", "earn", "can_spend", "spend"]


@dataclass(frozen=True, slots=True)
class Budget:
    """A budget of extra requests (token bucket).

    Attributes:
        share: Extra requests earned by each accepted request.
        burst: Upper limit of the balance.
        balance: Extra requests that may be sent now.
    """

    share: float
    burst: float
    balance: float


def earn(budget: Budget) -> Budget:
    """Adds the share earned by an accepted request."""
    return replace(budget, balance=min(budget.burst, budget.balance + budget.share))


def can_spend(budget: Budget) -> bool:
    """Returns whether an extra request may be sent."""
    return budget.balance >= 1.0


def spend(budget: Budget) -> Budget:
    """Deducts one extra request."""
    return replace(budget, balance=budget.balance - 1.0)
