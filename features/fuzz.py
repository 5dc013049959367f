"""Fuzzes the policies with random seeds for a given time.

Usage: python -m features.fuzz --seconds 60 [--seed 7] [--machine ownership]

A failure prints the command that replays it. Without `--seed`, each batch of
examples gets a new random seed.
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
    "stutter": "features.stutter_machine:StutterMachine",
    "stutter-calls": "features.stutter_machine:StutterCallsMachine",
    "stutter-inside": "features.stutter_machine:InsideMachine",
}
"""State machines to fuzz, by name, as `module:class`."""

EXAMPLES_PER_BATCH = 20
STEPS_PER_EXAMPLE = 30


def load_machine(name: str) -> type[RuleBasedStateMachine]:
    """Returns a new subclass of a machine, so that a seed set on it is not shared."""
    module, _, attribute = MACHINES[name].partition(":")
    machine = getattr(importlib.import_module(module), attribute)
    return type(machine.__name__, (machine,), {})


def fuzz_batch(
    name: str, batch_seed: int, examples: int, steps: int = STEPS_PER_EXAMPLE
) -> Exception | None:
    """Runs a batch of examples of a machine.

    Args:
        name: Name of the machine.
        batch_seed: Seed of the batch.
        examples: Number of examples.
        steps: Maximum number of rules per example.

    Returns:
        The failure, or None.
    """
    machine = seed(batch_seed)(load_machine(name))
    options = settings(
        max_examples=examples,
        stateful_step_count=steps,
        deadline=None,
        database=None,
        phases=[Phase.generate],
        suppress_health_check=list(HealthCheck),
        print_blob=False,
    )
    try:
        run_state_machine_as_test(machine, settings=options)
    except Exception as failure:
        return failure
    return None


def main(arguments: list[str]) -> int:
    """Fuzzes until the time is up or a failure is found.

    Args:
        arguments: Command line arguments.

    Returns:
        Exit code: 1 after a failure.
    """
    parser = argparse.ArgumentParser(prog="python -m features.fuzz")
    parser.add_argument("--seconds", type=float, default=60.0)
    parser.add_argument("--seed", type=int)
    parser.add_argument("--machine", choices=sorted(MACHINES), action="append")
    options = parser.parse_args(arguments)
    names = options.machine or sorted(MACHINES)
    deadline = time.monotonic() + options.seconds
    batches = 0
    while time.monotonic() < deadline:
        batch_seed = options.seed
        if batch_seed is None:
            batch_seed = random.SystemRandom().getrandbits(32)
        for name in names:
            failure = fuzz_batch(name, batch_seed, EXAMPLES_PER_BATCH)
            batches += 1
            if failure is not None:
                traceback.print_exception(failure)
                print(
                    "replay: python -m features.fuzz "
                    f"--machine {name} --seed {batch_seed}"
                )
                return 1
        if options.seed is not None:
            break
    print(f"{batches * EXAMPLES_PER_BATCH} examples, no failure")
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
