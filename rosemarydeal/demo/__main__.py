"""Runs both example deployments on loopback, with losses on the way.

Ends with a line of what it did, and with exit code 1 if an invariant broke.
"""

from __future__ import annotations

import asyncio
import resource
import sys
import time
from pathlib import Path

from rosemarydeal.daemon import log

from .callers import CallerReport, Callers
from .fleet import DeploymentFleet, FleetPlan

EXAMPLES = Path("examples")
KEYS = 300
RATE = 120.0
CALM_S = 3.0
LOSS_S = 4.0
SETTLE_S = 15.0
DRAIN_S = 10.0
OPEN_FILES = 16_384
UNSERVED_LIMIT_S = 5.0

PLANS = (
    FleetPlan(EXAMPLES / "vestfjell.json", 41, {"benkeportal": 5, "lagerbok": 4}),
    FleetPlan(EXAMPLES / "fremantle.json", 42, {"box-office": 6, "show-schedule": 4}),
)
KEYED = {"vestfjell": "benkeportal", "fremantle": "box-office"}


def main() -> int:
    """Runs the demonstration.

    Returns:
        Exit code: 0 if all invariants held.
    """
    _allow_open_files()
    log.configure("error", sys.stderr)
    broken = asyncio.run(_run_all())
    return 1 if broken else 0


def _allow_open_files() -> None:
    """Raises the soft limit of open files, since all VMs share one process."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    wanted = OPEN_FILES if hard == resource.RLIM_INFINITY else min(OPEN_FILES, hard)
    if soft < wanted:
        resource.setrlimit(resource.RLIMIT_NOFILE, (wanted, hard))


async def _run_all() -> list[str]:
    """Runs the deployments one after the other."""
    broken: list[str] = []
    for plan in PLANS:
        broken += await _run_deployment(DeploymentFleet(plan))
    return broken


async def _run_deployment(fleet: DeploymentFleet) -> list[str]:
    """Runs one deployment through its losses and reports."""
    name = fleet.settings.name
    keyed = KEYED[name]
    callers = Callers(fleet, KEYS, seed=1)
    try:
        _say(name, f"starting {len(fleet.stations)} VMs and the platform")
        await fleet.start()
        await _wait_served(fleet, keyed)
        _say(name, "all slices are served; callers begin")
        await callers.run(RATE, CALM_S)
        lost = fleet.running(keyed)[0]
        _say(name, f"losing {lost.name}, an owner")
        await asyncio.gather(lost.lose(), callers.run(RATE, LOSS_S))
        _say(name, "the platform goes out")
        await fleet.platform.stop()
        second = fleet.running(keyed)[0]
        _say(name, f"losing {second.name} while the platform is out")
        await asyncio.gather(second.lose(), callers.run(RATE, LOSS_S))
        _say(name, "the platform is back; the lost VMs are replaced")
        await fleet.platform.start()
        await asyncio.gather(lost.start(), second.start(), callers.run(RATE, LOSS_S))
        leaving = fleet.running(keyed)[-1]
        _say(name, f"shutting {leaving.name} down gracefully")
        clean, _ = await asyncio.gather(
            leaving.shut_down(DRAIN_S), callers.run(RATE, LOSS_S)
        )
        await callers.finish()
    finally:
        await fleet.stop()
    return _report(name, fleet, callers.report, clean)


async def _wait_served(fleet: DeploymentFleet, keyed: str) -> None:
    """Waits until each slice of the keyed service has its owner."""
    ends = time.monotonic() + SETTLE_S
    slices = fleet.settings.services[keyed].slices
    while time.monotonic() < ends:
        statuses = [s.process.status() for s in fleet.running(keyed) if s.process]
        if sum(status.owned for status in statuses) == slices:
            return
        await asyncio.sleep(0.1)
    raise TimeoutError(f"{keyed}: not all of {slices} slices are served")


def _say(name: str, text: str) -> None:
    """Shows progress."""
    print(f"[{name}] {text}", flush=True)


def _report(
    name: str, fleet: DeploymentFleet, seen: CallerReport, clean: bool
) -> list[str]:
    """Prints the closing line and returns the invariants that broke."""
    counts = fleet.counts
    ran = set(counts.runs)
    untrue = seen.not_run_orders & ran
    refusals = ", ".join(f"{c} {n}" for c, n in sorted(seen.refusals.items()))
    unknown = ", ".join(f"{c} {n}" for c, n in sorted(seen.unknown.items()))
    print(
        f"[{name}] {seen.requests} requests, {seen.answers} answers, "
        f"refusals sent again: {refusals or 'none'}; unknown: {unknown or 'none'}; "
        f"given up: {seen.given_up}; orders run twice: {counts.run_twice}; "
        f"crossed answers: {seen.crossed}; overfed cold: {counts.overfed_cold}; "
        f"longest unserved: {seen.longest_unserved_s:.2f} s",
        flush=True,
    )
    checks = {
        "an order ran twice": counts.run_twice == 0,
        "an answer was crossed": seen.crossed == 0,
        "a refused order ran": not untrue,
        "an answered order did not run": seen.answered_orders <= ran,
        "a cold upstream was overfed": counts.overfed_cold == 0,
        "a key was unserved for too long": seen.longest_unserved_s < UNSERVED_LIMIT_S,
        "a graceful shutdown cut a request": clean,
        "nothing was answered": seen.answers > 0,
    }
    broken = [f"{name}: {text}" for text, held in checks.items() if not held]
    for text in broken:
        print(f"BROKEN {text}", flush=True)
    return broken


if __name__ == "__main__":
    sys.exit(main())
