"""Runs the request policies through random faults, with the budget of CI.

Usage: python -m features.requests_budget
"""

from __future__ import annotations

from collections import Counter

from hypothesis import HealthCheck, Phase, settings
from hypothesis.stateful import run_state_machine_as_test

from features.crashes_world import POISON, run_crashes
from features.requests_machine import TOTALS, RequestsMachine

__all__ = ["check_crashes", "check_faults"]

EXAMPLES = 400
STEPS = 50
CRASH_SEEDS = 10


def check_faults() -> Counter:
    """Runs the state machine and returns the count of each outcome.

    Raises:
        AssertionError: If an outcome was wrong, a non-idempotent request ran twice,
            or too few requests were answered or too many ended unknown.
    """
    TOTALS.clear()
    run_state_machine_as_test(
        RequestsMachine,
        settings=settings(
            derandomize=True,
            deadline=None,
            max_examples=EXAMPLES,
            stateful_step_count=STEPS,
            suppress_health_check=list(HealthCheck),
            database=None,
            phases=[Phase.generate],
            report_multiple_bugs=False,
        ),
    )
    total = TOTALS["answer"] + TOTALS["not run"] + TOTALS["unknown"]
    assert TOTALS["answer"] > 0.3 * total, TOTALS
    assert TOTALS["unknown"] < 0.5 * total, TOTALS
    return TOTALS


def check_crashes() -> None:
    """Runs several fleets in which one request crashes upstreams.

    Raises:
        AssertionError: If the number of crashes was not two, a different request
            was blocked, or too few lookups were answered.
    """
    for seed in range(CRASH_SEEDS):
        result = run_crashes(seed)
        assert result.crashes == 2, (seed, result)
        assert result.blocked == {POISON}, (seed, result)
        assert result.rejected_poison > 20, (seed, result)
        assert result.answered_lookups > 0.9 * result.lookups, (seed, result)


if __name__ == "__main__":
    check_faults()
    check_crashes()
