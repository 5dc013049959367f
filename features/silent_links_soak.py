"""Silences open links between programs, and measures when a change is in force.

Usage: python -m features.silent_links_soak [--first 1] [--seeds 10] [--vms 9]
           [--silent 6] [--store] [--again] [--within 1.0]

In each round the open links of some processes fall silent at the same time, and a
route is added up to 1.5 s later. With --store, so do the connections to the store. With
--again, the links that are open up to 0.6 s after the change fall silent, too.
"""

from __future__ import annotations

import argparse
import asyncio
import random
import statistics
import sys
from pathlib import Path

from features.builders_processes import new_log_directory
from features.builders_silent_links import SilentLinksPrograms

__all__ = ["main", "run_rounds"]

ROUNDS = 6
LONGEST_PAUSE_S = 1.5
LONGEST_AGAIN_S = 0.6
# Links that fell silent are replaced, and all processes are in touch, in between.
REST_S = (3.0, 5.0)
LONGEST_S = 12.0


async def run_rounds(
    deployment: SilentLinksPrograms,
    pauses_s: list[float],
    count: int,
    store: bool = False,
    again_s: list[float] | None = None,
) -> list[dict[str, float]]:
    """Silences links and adds a route, once for each pause between the two.

    Args:
        deployment: The processes, which have started.
        pauses_s: Seconds between the silence and the change.
        count: Number of processes whose links fall silent.
        store: Whether the connections to the store fall silent as well.
        again_s: Seconds from each change until the links fall silent once more; None
            if they do not.

    Returns:
        For each round, when the change was in force, in seconds, by process.
    """
    rounds = []
    for number, pause_s in enumerate(pauses_s):
        await asyncio.sleep(REST_S[0])
        deployment.silence_links(count)
        if store:
            deployment.store.silence_connections()
        await asyncio.sleep(pause_s)
        changed_at = deployment.change_configuration()
        if again_s is not None:
            await asyncio.sleep(again_s[number])
            deployment.silence_links(count)
        rounds.append(await deployment.delays(changed_at, LONGEST_S))
    return rounds


async def _run_seed(seed: int, options: argparse.Namespace, directory: Path) -> bool:
    """Runs a deployment; returns whether each change was in force in time."""
    draws = random.Random(f"silent-links-{seed}")
    pauses_s = [draws.uniform(0.02, LONGEST_PAUSE_S) for _ in range(ROUNDS)]
    deployment = SilentLinksPrograms(options.vms, directory)
    try:
        await deployment.start()
        await asyncio.sleep(draws.uniform(*REST_S))
        again_s = None
        if options.again:
            again_s = [draws.uniform(0.0, LONGEST_AGAIN_S) for _ in range(ROUNDS)]
        rounds = await run_rounds(
            deployment, pauses_s, options.silent, options.store, again_s
        )
    finally:
        await deployment.close()
    for pause_s, delays in zip(pauses_s, rounds, strict=True):
        late = sorted(n for n, delay in delays.items() if delay > options.within)
        print(
            f"seed {seed}: {pause_s:.2f} s after the silence: "
            f"median {statistics.median(delays.values()):.2f} s, "
            f"worst {max(delays.values()):.2f} s, late {len(late)}",
            flush=True,
        )
    return all(max(delays.values()) <= options.within for delays in rounds)


def main(arguments: list[str]) -> int:
    """Runs the seeds; returns 1 if a change was late, else 0."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--first", type=int, default=1)
    parser.add_argument("--seeds", type=int, default=10)
    parser.add_argument("--vms", type=int, default=9)
    parser.add_argument("--silent", type=int, default=6)
    parser.add_argument("--store", action="store_true")
    parser.add_argument("--again", action="store_true")
    parser.add_argument("--within", type=float, default=1.0)
    options = parser.parse_args(arguments)
    failed = 0
    for seed in range(options.first, options.first + options.seeds):
        failed += not asyncio.run(_run_seed(seed, options, new_log_directory()))
    print(f"{options.seeds} seeds, {failed} failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
