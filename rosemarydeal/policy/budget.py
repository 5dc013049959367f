"""Bounds extra work, such as retries and hedges, to a share of the traffic."""

from __future__ import annotations

from dataclasses import dataclass, replace

__all__ = ["Budget", "earn", "can_spend", "spend"]


@dataclass(frozen=True, slots=True)
class Budget:
    """Holds how much extra work may be done.

    Attributes:
        share: Extra work earned by each accepted request.
        burst: Extra work that can be saved up.
        balance: Extra work that may be done now.
    """

    share: float
    burst: float
    balance: float


def earn(budget: Budget) -> Budget:
    """Counts an accepted request."""
    return replace(budget, balance=min(budget.burst, budget.balance + budget.share))


def can_spend(budget: Budget) -> bool:
    """Says whether one piece of extra work may be done."""
    return budget.balance >= 1.0


def spend(budget: Budget) -> Budget:
    """Counts one piece of extra work."""
    return replace(budget, balance=budget.balance - 1.0)
