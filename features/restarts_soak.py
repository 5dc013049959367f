"""Restarts node processes under load in overlapping series, and checks all answers.

Usage: python -m features.restarts_soak [--first 1] [--seeds 50] [--seconds 12]

Every other deployment grants keys in the answers to heartbeats.
"""

from __future__ import annotations

import argparse
import asyncio
import random
import signal
import sys
from collections import Counter
from pathlib import Path

from features.builders_node import a_configuration, watch_holders
from features.builders_node_programs import ProgramDeployment
from features.builders_processes import new_log_directory
from features.restarts_load import Caller, Exchange
from rosemarydeal.core.fleet import GrantCarrier

__all__ = ["check_answered", "check_orders", "main", "run_seed"]

VMS = 3
CALLERS = 4
PROMISES = (408, 421, 429, 503)
# Longest pause between two events; they overlap.
EVENT_PAUSE_S = 1.5
RESTART_S = 1.5
# No program can ignore a signal before its interpreter has started.
INTERPRETER_S = 0.3
SERVED_AGAIN_S = 12.0
# Requests that still run, although their callers are gone, end meanwhile.
SETTLE_S = 0.3


class Restarts:
    """Sends signals and changes the configuration as drawn."""

    def __init__(self, deployment, seed):
        self._deployment = deployment
        self._draws = random.Random(f"restarts-{seed}")
        self._ending = set()
        self._version = 1

    async def run(self, seconds):
        """Lets events overlap for a time, and then waits for their end."""
        loop = asyncio.get_running_loop()
        deadline, tasks = loop.time() + seconds, []
        while loop.time() < deadline:
            tasks.append(asyncio.create_task(self._event()))
            await asyncio.sleep(self._draws.uniform(0.0, EVENT_PAUSE_S))
        await asyncio.gather(*tasks)

    async def _event(self):
        kinds = ["stop", "stop", "stop late", "kill", "reload", "reload", "change"]
        kind = self._draws.choice(kinds)
        name = self._draws.choice(sorted(self._deployment.nodes))
        match kind:
            case "reload":
                program = self._deployment.nodes[name]
                await asyncio.sleep(INTERPRETER_S - program.age_s)
                program.send(signal.SIGHUP)
            case "change":
                self._version += 1
                timeout_ms = self._draws.choice([3000, 4000, 5000])
                changed = a_configuration(self._version, timeout_ms=timeout_ms)
                self._deployment.store.put("config", "main", changed)
            case _:
                # One process is left to serve the keys.
                if name not in self._ending and len(self._ending) < VMS - 1:
                    self._ending.add(name)
                    await self._restart(kind, name)
                    self._ending.discard(name)

    async def _restart(self, kind, name):
        """Ends the process of a VM and starts it again."""
        program = self._deployment.nodes[name]
        if kind != "kill":
            program.send(signal.SIGTERM)
        if kind == "stop late":
            await asyncio.sleep(self._draws.uniform(0.0, 3.0))
        if kind != "stop":
            program.send(signal.SIGKILL)
        code = await program.wait_end()
        # Until the program is loaded, SIGTERM ends it at once.
        planned = code in (0, -signal.SIGTERM)
        assert program.killed or planned, f"{name} ended with {code} after SIGTERM"
        await asyncio.sleep(self._draws.uniform(0.0, RESTART_S))
        await self._deployment.start_node(name)


async def run_seed(
    seed: int, seconds: float, directory: Path
) -> tuple[Counter, list[Exchange]]:
    """Runs a deployment whose processes end and start again.

    Args:
        seed: Seed of the events and the requests.
        seconds: Time in which events begin.
        directory: Where settings and logs are kept.

    Returns:
        How often each request ran, and what came of all requests.

    Raises:
        AssertionError: A process ended by itself or not in time, two upstreams held
            a key, or the keys were not served again.
    """
    carrier = GrantCarrier.HEARTBEAT if seed % 2 else GrantCarrier.CALL
    deployment = ProgramDeployment(VMS, directory, carrier=carrier)
    conflicts, until = [], asyncio.Event()
    try:
        await deployment.start()
        watcher = asyncio.create_task(watch_holders(deployment, conflicts))
        callers = [
            Caller(deployment, name, number, seed)
            for name in deployment.nodes
            for number in range(CALLERS)
        ]
        running = [asyncio.create_task(caller.run(until)) for caller in callers]
        restarts = Restarts(deployment, seed)
        await restarts.run(seconds)
        await deployment.wait(lambda: served(deployment), SERVED_AGAIN_S)
        until.set()
        await asyncio.gather(*running)
        await asyncio.sleep(SETTLE_S)
        watcher.cancel()
        ended = [name for name, node in deployment.nodes.items() if not node.alive]
        assert not ended, f"{ended} ended without a signal to"
        assert not conflicts, conflicts[0]
    finally:
        until.set()
        await deployment.close()
    ran = Counter(r for e in deployment.endpoints.values() for r in e.ran)
    return ran, [exchange for caller in callers for exchange in caller.exchanges]


def served(deployment):
    """Returns whether all keys are served and all processes are alive."""
    alive = all(node.alive for node in deployment.nodes.values())
    return alive and all(deployment.serves(key) for key in deployment.sample())


def check_answered(exchanges):
    """Checks the answers, and that no request was left without one.

    Raises:
        AssertionError: An answer was not that of its request, or a request that was
            read got none although its process was not killed.
    """
    for entry in exchanges:
        identity = entry.request_id.encode()
        if entry.status == 200:
            assert entry.body == b"ran " + identity, entry
            assert entry.signature == b"sig-" + identity, entry
        if not entry.program.killed:
            assert entry.end in ("answered", "not read"), entry
    answered = sum(entry.status == 200 for entry in exchanges)
    assert answered > 0.5 * len(exchanges), answered


def check_orders(ran, exchanges):
    """Checks how often the orders ran.

    Raises:
        AssertionError: An order ran twice, or although its caller was told otherwise.
    """
    for entry in exchanges:
        unread = entry.end == "not read" and not entry.program.killed
        if entry.order and (entry.status in PROMISES or unread):
            assert not ran[entry.request_id], entry
        if entry.order:
            assert ran[entry.request_id] <= 1, entry


def main(arguments: list[str]) -> int:
    """Runs all seeds and prints what came of each.

    Args:
        arguments: Command line arguments.

    Returns:
        Exit code: 1 if a seed failed.
    """
    parser = argparse.ArgumentParser(prog="python -m features.restarts_soak")
    parser.add_argument("--first", type=int, default=1)
    parser.add_argument("--seeds", type=int, default=50)
    parser.add_argument("--seconds", type=float, default=12.0)
    options = parser.parse_args(arguments)
    failed, total = 0, Counter()
    for seed in range(options.first, options.first + options.seeds):
        directory = new_log_directory() / f"seed-{seed}"
        directory.mkdir(exist_ok=True)
        try:
            ran, exchanges = asyncio.run(run_seed(seed, options.seconds, directory))
            total += Counter(f"{e.end} {e.status}" for e in exchanges)
            check_answered(exchanges)
            check_orders(ran, exchanges)
        except (AssertionError, TimeoutError) as failure:
            failed += 1
            print(f"seed {seed} failed: {failure!r} (logs: {directory})", flush=True)
    print(f"{options.seeds} seeds, {failed} failed, results: {dict(total)}")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
