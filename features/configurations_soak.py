"""Changes the configuration all along while processes and the store are disturbed.

Usage: python -m features.configurations_soak [--first 1] [--seeds 50] [--seconds 20]

Each version adds a route and drops an older one. Callers at each process ask for both.
A confirmed version is in force within two seconds, counted from three seconds after the
last disturbance of the process or the store, and no process goes back to an older one.
"""

from __future__ import annotations

import argparse
import asyncio
import copy
import random
import signal
import sys
import time
from dataclasses import dataclass
from pathlib import Path

from features.builders_node import a_configuration, watch_holders
from features.builders_node_programs import ProgramDeployment
from features.builders_processes import new_log_directory
from rosemarydeal.proxy import ProxyError

__all__ = ["Probe", "check_probes", "main", "run_seed"]

VMS = 4
# What the platform's rules allow.
APPLY_S = 2.0
STABILITY_S = 3.0
ROLLBACK_SLACK_S = 0.25
# Newest routes that are in force, and the ages, in versions, of those asked for: just
# added, due, and dropped for a while.
KEPT_ROUTES = 6
ASKED_AGES = (0, 4, KEPT_ROUTES + 3)
VERSION_PAUSE_S = (0.3, 1.2)
EVENT_PAUSE_S = (1.0, 4.0)
PROBE_PAUSE_S = 0.1
LARGE_ROUTES = 350
SLOW_ANSWER_S = 0.2
NOT_FOUND = 404


@dataclass(frozen=True)
class Probe:
    """A request for the route that a version added.

    Attributes:
        name: VM that it was sent to.
        life: Life of the process there.
        version: Version that added its route.
        sent: When it was sent.
        status: Status of the answer; 0 without one.
        calm_since: When the last disturbance of the process or the store ended.
    """

    name: str
    life: object
    version: int
    sent: float
    status: int
    calm_since: float


class Operator:
    """Writes versions, each with a further route.

    Attributes:
        confirmed: When each version was confirmed.
    """

    def __init__(self, deployment, draws):
        self.confirmed = {}
        self._deployment = deployment
        self._draws = draws
        self._extra = 0

    @property
    def version(self):
        """Returns the last version that was confirmed."""
        return max(self.confirmed, default=1)

    def enlarge(self):
        """Adds many routes to all further versions."""
        self._extra = LARGE_ROUTES

    def write(self):
        """Writes the next version."""
        version = self.version + 1
        written = a_configuration(version)
        first = written["resources"][0]
        kept = range(max(2, version - KEPT_ROUTES + 1), version + 1)
        names = [f"v{number}" for number in kept]
        names += [f"extra-{number}" for number in range(self._extra)]
        for name in names:
            route = copy.deepcopy(first)
            route["metadata"]["name"] = name
            route["spec"]["path_prefix"] = f"/{name}/"
            written["resources"].append(route)
        self._deployment.store.put("config", "main", written)
        self.confirmed[version] = time.monotonic()

    async def run(self):
        """Writes versions until it is cancelled."""
        while True:
            self.write()
            await asyncio.sleep(self._draws.uniform(*VERSION_PAUSE_S))


class Disturbances:
    """Disturbs single processes, or the store for all of them."""

    def __init__(self, deployment, operator, draws):
        self._deployment = deployment
        self._operator = operator
        self._draws = draws
        self._until = dict.fromkeys(deployment.nodes, time.monotonic())
        self._busy = set()

    def calm_since(self, name):
        """Returns when the last disturbance of a VM's process ended."""
        return time.monotonic() if name in self._busy else self._until[name]

    async def run(self, seconds):
        """Lets disturbances follow each other for a time."""
        deadline = time.monotonic() + seconds
        while time.monotonic() < deadline:
            kinds = [self._restart, self._pause, self._silence, self._move, self._slow]
            kinds += [self._reload, self._enlarge]
            await self._draws.choice(kinds)()
            await asyncio.sleep(self._draws.uniform(*EVENT_PAUSE_S))

    async def _disturb(self, names, work):
        self._busy |= set(names)
        try:
            await work
        finally:
            self._busy -= set(names)
            self._until |= dict.fromkeys(names, time.monotonic())

    async def _restart(self):
        name = self._draws.choice(list(self._deployment.nodes))
        number = self._draws.choice([signal.SIGTERM, signal.SIGKILL])

        async def restart():
            self._deployment.nodes[name].send(number)
            await self._deployment.nodes[name].wait_end()
            await self._deployment.start_node(name)

        await self._disturb([name], restart())

    async def _pause(self):
        name = self._draws.choice(list(self._deployment.nodes))

        async def pause():
            self._deployment.nodes[name].send(signal.SIGSTOP)
            await asyncio.sleep(self._draws.uniform(0.5, 3.0))
            self._deployment.nodes[name].send(signal.SIGCONT)

        await self._disturb([name], pause())

    async def _silence(self):
        async def silence():
            self._deployment.store.silence_connections()

        await self._disturb(list(self._deployment.nodes), silence())

    async def _move(self):
        async def move():
            self._deployment.address = await self._deployment.store.move()
            for name in self._deployment.nodes:
                self._deployment.write_settings(name)

        await self._disturb(list(self._deployment.nodes), move())

    async def _slow(self):
        async def slow():
            self._deployment.store.answer_s = SLOW_ANSWER_S
            await asyncio.sleep(2.0)
            self._deployment.store.answer_s = 0.0

        await self._disturb(list(self._deployment.nodes), slow())

    async def _reload(self):
        for program in self._deployment.nodes.values():
            program.send(signal.SIGHUP)

    async def _enlarge(self):
        self._operator.enlarge()


async def run_seed(seed: int, seconds: float, directory: Path) -> tuple:
    """Runs a deployment whose configuration changes all along.

    Args:
        seed: Seed of the versions and the disturbances.
        seconds: Time in which disturbances begin.
        directory: Where settings and logs are kept.

    Returns:
        When each version was confirmed, and what came of all requests.

    Raises:
        AssertionError: Two upstreams held a key.
    """
    deployment = ProgramDeployment(VMS, directory)
    conflicts, probes, tasks = [], [], []
    try:
        await deployment.start()
        operator = Operator(deployment, random.Random(f"versions-{seed}"))
        draws = random.Random(f"disturbances-{seed}")
        disturbances = Disturbances(deployment, operator, draws)
        work = [operator.run(), watch_holders(deployment, conflicts)]
        work += [
            _ask(deployment, name, operator, disturbances, probes)
            for name in deployment.nodes
        ]
        tasks = [asyncio.create_task(one) for one in work]
        await disturbances.run(seconds)
        await asyncio.sleep(STABILITY_S + 2 * APPLY_S)
        failed = [task for task in tasks if task.done()]
        assert not failed, failed
        assert not conflicts, conflicts[0]
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await deployment.close()
    return operator.confirmed, probes


async def _ask(deployment, name, operator, disturbances, probes):
    """Asks a process for the routes of versions until it is cancelled."""
    while True:
        await asyncio.sleep(PROBE_PAUSE_S)
        newest = operator.version
        for version in (newest - age for age in ASKED_AGES):
            if version < 2:
                continue
            sent, life = time.monotonic(), deployment.nodes[name]
            calm_since = disturbances.calm_since(name)
            try:
                answer = await deployment.send_request(name, 5, f"/v{version}/1")
                status = answer.status
            except (ProxyError, OSError):
                status = 0
            probes.append(Probe(name, life, version, sent, status, calm_since))


def check_probes(confirmed: dict, probes: list) -> None:
    """Checks that confirmed versions were in force in time, and stayed so.

    Raises:
        AssertionError: A request was handled as only an older version allows.
    """
    judged = sum(_was_due(confirmed, probe, probe.version) for probe in probes)
    assert judged > len(probes) / 10, (judged, len(probes))
    # By life, the newest version that a process has shown, and when.
    shown: dict = {}
    for probe in probes:
        dropped_by = probe.version + KEPT_ROUTES
        newest, at = shown.get(id(probe.life), (0, 0.0))
        later = probe.sent > at + ROLLBACK_SLACK_S
        if probe.status == NOT_FOUND and dropped_by not in confirmed:
            late = _was_due(confirmed, probe, probe.version)
            assert not late, ("late", probe)
            assert not (later and newest >= probe.version), ("went back", probe)
        elif probe.status == 200:
            assert not _was_due(confirmed, probe, dropped_by), ("dropped", probe)
            assert not (later and newest >= dropped_by), ("went back", probe)
            shown[id(probe.life)] = max((probe.version, probe.sent), (newest, at))


def _was_due(confirmed, probe, version):
    """Returns whether a version had to be in force when a request was sent."""
    if version not in confirmed:
        return False
    due = max(confirmed[version], probe.calm_since + STABILITY_S) + APPLY_S
    return probe.sent > due


def main(arguments: list[str]) -> int:
    """Runs all seeds and prints what came of each.

    Args:
        arguments: Command line arguments.

    Returns:
        Exit code: 1 if a seed failed.
    """
    parser = argparse.ArgumentParser(prog="python -m features.configurations_soak")
    parser.add_argument("--first", type=int, default=1)
    parser.add_argument("--seeds", type=int, default=50)
    parser.add_argument("--seconds", type=float, default=20.0)
    options = parser.parse_args(arguments)
    failed, total = 0, 0
    for seed in range(options.first, options.first + options.seeds):
        directory = new_log_directory() / f"seed-{seed}"
        directory.mkdir(exist_ok=True)
        try:
            confirmed, probes = asyncio.run(run_seed(seed, options.seconds, directory))
            total += len(probes)
            check_probes(confirmed, probes)
        except (AssertionError, TimeoutError) as failure:
            failed += 1
            print(f"seed {seed} failed: {failure!r} (logs: {directory})", flush=True)
    print(f"{options.seeds} seeds, {failed} failed, {total} requests")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
