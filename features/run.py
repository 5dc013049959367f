"""Runs the feature files and prints the number of passed and failed scenarios."""

from __future__ import annotations

import sys
import traceback
from pathlib import Path

from behave.configuration import Configuration
from behave.model import Scenario
from behave.model_type import Status
from behave.runner import Runner

KNOWN_RED_FILE = Path("KNOWN-RED.txt")


def known_failures() -> frozenset[str]:
    """Returns the names of the scenarios that are listed as known to fail."""
    if not KNOWN_RED_FILE.exists():
        return frozenset()
    lines = KNOWN_RED_FILE.read_text("utf-8").splitlines()
    names = (line.partition("scenario:")[2].strip() for line in lines)
    return frozenset(name for name in names if name)


def failure_details(scenario: Scenario) -> str:
    """Returns the failed step with its traceback."""
    for step in scenario.all_steps:
        if step.exception is not None:
            trace = traceback.format_exception(step.exception)
            return f"  {step.keyword} {step.name}\n{''.join(trace)}"
    return "  failed outside its steps"


def main(arguments: list[str]) -> int:
    """Runs behave and prints the failures and the closing line.

    Args:
        arguments: Arguments for behave; runs all features if empty.

    Returns:
        Exit code: 0 if a scenario passed and none failed unexpectedly, else 1.
    """
    defaults = ["--format=progress", "--no-capture", "--no-timings", "--no-summary"]
    runner = Runner(Configuration([*defaults, *(arguments or ["features"])]))
    run_failed = runner.run()
    scenarios = [s for f in runner.features for s in f.walk_scenarios() if s.steps]
    passed = [s for s in scenarios if s.status == Status.passed]
    failed = [s for s in scenarios if s.status.has_failed()]
    known = known_failures()
    for scenario in failed:
        label = "known red" if scenario.name.strip() in known else "FAILED"
        print(f"{label}: {scenario.name} ({scenario.location})")
        print(failure_details(scenario))
    unexpected = [s for s in failed if s.name.strip() not in known]
    if run_failed and not failed:
        print("behave stopped on an error outside the scenarios")
    failed_count = max(len(unexpected), 1 if run_failed and not failed else 0)
    print(f"{len(passed)} passed, {failed_count} failed")
    return 1 if failed_count or not passed else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
