"""Runs the ownership machine with the fixed budget of CI.

Usage: python -m features.ownership_budget
"""

from __future__ import annotations

from features.fuzz import fuzz_batch

__all__ = ["run_budget"]

EXAMPLES = 40
STEERED_EXAMPLES = 80
STEERED_STEPS = 4
SEED = 20240229


def run_budget() -> None:
    """Runs the budget.

    Raises:
        Exception: The failure that the machine found.
    """
    failure = fuzz_batch("ownership-steered", SEED, STEERED_EXAMPLES, STEERED_STEPS)
    failure = failure or fuzz_batch("ownership", SEED, EXAMPLES)
    if failure is not None:
        raise failure


if __name__ == "__main__":
    run_budget()
