"""Runs the decisions about requests through faults, as much as CI does.

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
    """Runs the state machine and returns how often each outcome came.

    Raises:
        AssertionError: When an outcome was untrue, an order ran twice, or too
            much was refused or left unknown.
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
    """Lets one request crash upstreams in several fleets.

    Raises:
        AssertionError: When it was not contained after two crashes, a
            bystander was blamed, or too many lookups were refused.
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
