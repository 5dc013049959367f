"""Runs deployments whose upstreams stutter, one for each seed, and checks them.

Usage: python -m features.stutter_soak [--first 1] [--seeds 20] [--seconds 10]

Every other deployment grants keys in the answers to heartbeats.
"""

from __future__ import annotations

import argparse
import asyncio
import sys
from collections import Counter

from features.builders_node import Deployment, watch_holders
from features.builders_stutter_load import check_answers, check_orders, send_load
from rosemarydeal.core.fleet import GrantCarrier

__all__ = ["main", "run_seed"]

VMS = 3


async def run_seed(seed: int, seconds: float) -> Counter:
    """Runs a deployment and checks it; returns the number of each status.

    Raises:
        AssertionError: An answer or an order was wrong, or two upstreams held a key.
    """
    carrier = GrantCarrier.HEARTBEAT if seed % 2 else GrantCarrier.CALL
    deployment = Deployment(VMS, carrier=carrier, stutter_seed=seed)
    conflicts = []
    try:
        await deployment.start()
        watcher = asyncio.create_task(watch_holders(deployment, conflicts))
        sent = await send_load(deployment, seed, seconds)
        watcher.cancel()
        check_answers(sent)
        check_orders(deployment, sent)
        assert not conflicts, conflicts[0]
    finally:
        await deployment.close()
    return Counter(s.answer.status if s.answer else None for s in sent)


def main(arguments: list[str]) -> int:
    """Runs all seeds and prints what came of each.

    Args:
        arguments: Command line arguments.

    Returns:
        Exit code: 1 if a seed failed.
    """
    parser = argparse.ArgumentParser(prog="python -m features.stutter_soak")
    parser.add_argument("--first", type=int, default=1)
    parser.add_argument("--seeds", type=int, default=20)
    parser.add_argument("--seconds", type=float, default=10.0)
    options = parser.parse_args(arguments)
    failed, total = 0, Counter()
    for seed in range(options.first, options.first + options.seeds):
        try:
            total += asyncio.run(run_seed(seed, options.seconds))
        except AssertionError as failure:
            failed += 1
            print(f"seed {seed} failed: {failure}", flush=True)
    print(f"{options.seeds} seeds, {failed} failed, answers: {dict(total)}")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
