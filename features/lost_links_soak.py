"""Stops node processes for a while under load, and compares runs with answers.

Usage: python -m features.lost_links_soak [--first 1] [--seeds 10] [--seconds 30]

The processes are programs of their own. One or two at a time get SIGSTOP, some of them
SIGKILL, while orders arrive at all of them. What the upstreams ran is compared with
what the callers were told.
"""

from __future__ import annotations

import argparse
import asyncio
import random
import signal
import sys
from collections import Counter
from dataclasses import dataclass
from pathlib import Path

from features.builders_node_programs import ProgramDeployment
from features.builders_processes import new_log_directory
from rosemarydeal.core.fleet import GrantCarrier
from rosemarydeal.proxy import ProxyError

__all__ = [
    "Order",
    "Pauses",
    "check_runs",
    "check_undecided",
    "main",
    "run_seed",
    "summary",
]

VMS = 6
ORDERS_PER_S = 120
TIME_LEFT_MS = 4000
# What may not have run although it reached an upstream, or the reverse, settles.
SETTLE_S = 1.5
PROMISES = (408, 421, 429, 503)
UNDECIDED = (502, 504)
# At least this share of the undecided orders reached an upstream.
MIN_REACHED = 0.9
# Without it, a fleet that answers nothing would pass.
MIN_ANSWERED = 0.5


@dataclass(frozen=True)
class Pauses:
    """Which pauses are drawn.

    Attributes:
        shortest_s: Shortest pause.
        longest_s: Longest pause.
        killed: Share of the processes that are killed instead.
    """

    shortest_s: float = 0.5
    longest_s: float = 2.5
    killed: float = 0.0


@dataclass(frozen=True)
class Order:
    """An order and what its caller was told.

    Attributes:
        request_id: Its id.
        status: Status of the answer; 0 if there was none.
    """

    request_id: str
    status: int


async def run_seed(
    seed: int, seconds: float, directory: Path, pauses: Pauses
) -> tuple[Counter, list[Order]]:
    """Runs a deployment whose processes stand still again and again.

    Args:
        seed: Seed of the pauses and the orders.
        seconds: Time in which pauses begin and orders are sent.
        directory: Where settings and logs are kept.
        pauses: Which pauses are drawn.

    Returns:
        How often each order ran, and what came of all orders.
    """
    carrier = GrantCarrier.HEARTBEAT if seed % 2 else GrantCarrier.CALL
    deployment = ProgramDeployment(VMS, directory, carrier=carrier)
    draws = random.Random(f"lost-links-{seed}")
    until = asyncio.Event()
    try:
        await deployment.start()
        orders = asyncio.create_task(_send_orders(deployment, draws, until))
        series = [_pause_again(deployment, draws, until, pauses, n) for n in range(2)]
        running = [asyncio.create_task(one) for one in series]
        await asyncio.sleep(seconds)
        until.set()
        await asyncio.gather(*running)
        sent = await orders
        await asyncio.sleep(SETTLE_S)
    finally:
        until.set()
        for node in deployment.nodes.values():
            node.send(signal.SIGCONT)
        await deployment.close()
    ran = Counter(r for e in deployment.endpoints.values() for r in e.ran)
    return ran, sent


async def _send_orders(deployment, draws, until):
    """Sends orders at a steady rate to all processes; returns what came of them."""
    tasks = []
    while not until.is_set():
        name = draws.choice(sorted(deployment.nodes))
        key = draws.randrange(65536)
        order = _send_order(deployment, name, key, f"order-{len(tasks)}")
        tasks.append(asyncio.create_task(order))
        await asyncio.sleep(1.0 / ORDERS_PER_S)
    return await asyncio.gather(*tasks)


async def _send_order(deployment, name, key, request_id):
    try:
        answer = await deployment.send_request(
            name, key, "/order/1", request_id, TIME_LEFT_MS
        )
    except (ProxyError, OSError):
        return Order(request_id, 0)
    return Order(request_id, answer.status)


async def _pause_again(deployment, draws, until, pauses, number):
    """Stops one process after the other; two of these series overlap."""
    names = sorted(deployment.nodes)[number::2]
    while not until.is_set():
        await asyncio.sleep(draws.uniform(0.5, 2.0) * (1 + number))
        name = draws.choice(names)
        if draws.random() < pauses.killed:
            deployment.nodes[name].send(signal.SIGKILL)
            await deployment.nodes[name].wait_end()
            await deployment.start_node(name)
            continue
        deployment.nodes[name].send(signal.SIGSTOP)
        await asyncio.sleep(draws.uniform(pauses.shortest_s, pauses.longest_s))
        deployment.nodes[name].send(signal.SIGCONT)


def summary(ran: Counter, orders: list[Order]) -> Counter[str]:
    """Counts what came of the orders, and which of the undecided ones ran."""
    counts: Counter[str] = Counter()
    for order in orders:
        counts[f"status {order.status}"] += 1
        if order.status in UNDECIDED:
            counts["undecided"] += 1
            counts["undecided, ran"] += bool(ran[order.request_id])
        if order.status in PROMISES and ran[order.request_id]:
            counts["told not run, ran"] += 1
        counts["run twice"] += ran[order.request_id] > 1
    return counts


def check_runs(counts: Counter[str]) -> None:
    """Checks how often the orders ran.

    Raises:
        AssertionError: An order ran twice, or although its caller was told that it did
            not, or few were answered.
    """
    assert not counts["run twice"], counts
    assert not counts["told not run, ran"], counts
    orders = sum(n for name, n in counts.items() if name.startswith("status"))
    assert counts["status 200"] >= MIN_ANSWERED * orders, counts


def check_undecided(counts: Counter[str]) -> None:
    """Checks the undecided orders.

    Raises:
        AssertionError: Too many of them never reached an upstream.
    """
    assert counts["undecided, ran"] >= MIN_REACHED * counts["undecided"], counts


def main(arguments: list[str]) -> int:
    """Runs all seeds and prints what came of each.

    Args:
        arguments: Command line arguments.

    Returns:
        Exit code: 1 if a seed failed.
    """
    parser = argparse.ArgumentParser(prog="python -m features.lost_links_soak")
    parser.add_argument("--first", type=int, default=1)
    parser.add_argument("--seeds", type=int, default=10)
    parser.add_argument("--seconds", type=float, default=30.0)
    parser.add_argument("--longest", type=float, default=2.5)
    parser.add_argument("--killed", type=float, default=0.0)
    options = parser.parse_args(arguments)
    pauses = Pauses(longest_s=options.longest, killed=options.killed)
    failed = 0
    for seed in range(options.first, options.first + options.seeds):
        directory = new_log_directory() / f"seed-{seed}"
        directory.mkdir(exist_ok=True)
        ran, orders = asyncio.run(run_seed(seed, options.seconds, directory, pauses))
        counts = summary(ran, orders)
        try:
            check_runs(counts)
            check_undecided(counts)
            verdict = "passed"
        except AssertionError:
            failed += 1
            verdict = "FAILED"
        print(f"seed {seed} {verdict}: {dict(counts)} (logs: {directory})", flush=True)
    print(f"{options.seeds} seeds, {failed} failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
