"""Runs the client of the upstream through random stutter, with the budget of CI.

Usage: python -m features.stutter_budget [requests] [calls] [inside]
"""

from __future__ import annotations

import sys
from collections import Counter

from hypothesis import HealthCheck, Phase, settings
from hypothesis.stateful import run_state_machine_as_test

from features.stutter_machine import (
    TOTALS,
    InsideMachine,
    StutterCallsMachine,
    StutterMachine,
)

__all__ = ["check_stutter"]

EXAMPLES = 40
STEPS = 30
MACHINES = {
    "requests": StutterMachine,
    "calls": StutterCallsMachine,
    "inside": InsideMachine,
}


def check_stutter(name: str) -> Counter:
    """Runs a state machine and returns the count of each result.

    Raises:
        AssertionError: If a result was not that of its own exchange, or too few
            requests were answered.
    """
    TOTALS.clear()
    run_state_machine_as_test(
        MACHINES[name],
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
    total = TOTALS["answered"] + TOTALS["failed"] + TOTALS["rejected"]
    assert TOTALS["answered"] > 0.2 * total, TOTALS
    assert TOTALS["undisturbed"] > 0.1 * total, TOTALS
    return TOTALS


if __name__ == "__main__":
    for machine_name in sys.argv[1:] or MACHINES:
        print(machine_name, dict(check_stutter(machine_name)))
