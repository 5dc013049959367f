"""Fuzzes the policies for a stretch of time with random seeds.

Usage: python -m features.fuzz --seconds 60 [--seed 7] [--machine ownership]

A failure prints the seed that replays it; without one, a new seed is drawn
for each batch of examples.
"""

from __future__ import annotations

import argparse
import importlib
import random
import sys
import time
import traceback

from hypothesis import HealthCheck, Phase, seed, settings
from hypothesis.stateful import RuleBasedStateMachine, run_state_machine_as_test

__all__ = ["MACHINES", "fuzz_batch", "main"]

MACHINES = {
    "ownership": "features.ownership_machine:OwnershipMachine",
    "ownership-steered": "features.ownership_steered:SteeredMachine",
    "requests": "features.requests_machine:RequestsMachine",
}
"""Each machine to fuzz by its name, as module and class."""

BATCH_EXAMPLES = 20
STEPS = 30


def load(name: str) -> type[RuleBasedStateMachine]:
    """Returns a fresh subclass of a machine, so that its seed stays its own."""
    module, _, attribute = MACHINES[name].partition(":")
    machine = getattr(importlib.import_module(module), attribute)
    return type(machine.__name__, (machine,), {})


def fuzz_batch(
    name: str, number: int, examples: int, steps: int = STEPS
) -> Exception | None:
    """Runs some examples of a machine.

    Args:
        name: The machine.
        number: Seed of the batch.
        examples: How many examples to run.
        steps: Rules of each example at most.

    Returns:
        What went wrong, or None.
    """
    machine = seed(number)(load(name))
    chosen = settings(
        max_examples=examples,
        stateful_step_count=steps,
        deadline=None,
        database=None,
        phases=[Phase.generate],
        suppress_health_check=list(HealthCheck),
        print_blob=False,
    )
    try:
        run_state_machine_as_test(machine, settings=chosen)
    except Exception as failure:
        return failure
    return None


def main(arguments: list[str]) -> int:
    """Fuzzes until the time is over or a failure is found.

    Args:
        arguments: Command line.

    Returns:
        The process's exit code: 1 after a failure.
    """
    parser = argparse.ArgumentParser(prog="python -m features.fuzz")
    parser.add_argument("--seconds", type=float, default=60.0)
    parser.add_argument("--seed", type=int)
    parser.add_argument("--machine", choices=sorted(MACHINES), action="append")
    chosen = parser.parse_args(arguments)
    names = chosen.machine or sorted(MACHINES)
    until = time.monotonic() + chosen.seconds
    batches = 0
    while time.monotonic() < until:
        number = chosen.seed
        if number is None:
            number = random.SystemRandom().getrandbits(32)
        for name in names:
            failure = fuzz_batch(name, number, BATCH_EXAMPLES)
            batches += 1
            if failure is not None:
                traceback.print_exception(failure)
                print(
                    f"replay: python -m features.fuzz --machine {name} --seed {number}"
                )
                return 1
        if chosen.seed is not None:
            break
    print(f"{batches * BATCH_EXAMPLES} examples, no failure")
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
