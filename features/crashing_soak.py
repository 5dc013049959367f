"""Sends a request that ends upstreams, in many forms, beside ordinary requests.

Usage: python -m features.crashing_soak [--first 1] [--seeds 50] [--seconds 12]

Each seed draws how the request comes: how often, in how many copies, to which kind of
service, with harmless likes beside it, amid kills of processes. It reaches upstreams at
most three times later than 3 s after the third end, and ordinary requests are served as
before.
"""

from __future__ import annotations

import argparse
import asyncio
import random
import sys

from features.builders_crashing import (
    CrashTrial,
    Fault,
    check_ends,
    check_innocent,
    check_late,
)
from features.builders_processes import new_log_directory

__all__ = ["draw_fault", "main", "run_seed"]

PAUSES_S = (0.1, 0.2, 0.4, 1.0)
# More at once end as many upstreams before anybody can know the first end.
COPIES = (1, 1, 2, 4)


def draw_fault(rng: random.Random) -> Fault:
    """Draws how the request comes."""
    keyed = rng.random() < 0.3
    return Fault(
        pause_s=rng.choice(PAUSES_S),
        copies=1 if keyed else rng.choice(COPIES),
        order=rng.random() < 0.3,
        keyed=keyed,
        other_body=rng.random() < 0.3,
        other_caller=not keyed and rng.random() < 0.3,
        restarts=rng.random() < 0.3,
    )


async def run_seed(trial: CrashTrial, seconds: float) -> None:
    """Runs one trial.

    Args:
        trial: The trial, which is closed at its end.
        seconds: How long the request keeps coming.
    """
    try:
        await trial.start()
        await trial.run_fault(seconds)
    finally:
        await trial.close()


def main(arguments: list[str]) -> int:
    """Runs all seeds and prints what came of each.

    Args:
        arguments: Command line arguments.

    Returns:
        Exit code: 1 if a seed failed.
    """
    parser = argparse.ArgumentParser(prog="python -m features.crashing_soak")
    parser.add_argument("--first", type=int, default=1)
    parser.add_argument("--seeds", type=int, default=50)
    parser.add_argument("--seconds", type=float, default=12.0)
    options = parser.parse_args(arguments)
    failed = 0
    for seed in range(options.first, options.first + options.seeds):
        fault = draw_fault(random.Random(seed))
        directory = new_log_directory()
        trial = CrashTrial(fault, seed, directory)
        try:
            asyncio.run(run_seed(trial, options.seconds))
            for check in (check_late, check_ends, check_innocent):
                check(trial)
        except (AssertionError, TimeoutError) as failure:
            failed += 1
            print(f"seed {seed} failed: {failure!r} {fault} ({directory})", flush=True)
        else:
            print(f"seed {seed}: {len(trial.ended)} ended", flush=True)
    print(f"{options.seeds} seeds, {failed} failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
