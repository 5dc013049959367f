"""Demonstration: both example deployments on loopback, with injected faults.

Prints a summary line for each deployment and exits with code 1 if an invariant
was violated.
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
REQUESTS_PER_S = 120.0
STEADY_PHASE_S = 3.0
FAULT_PHASE_S = 4.0
START_TIMEOUT_S = 15.0
DRAIN_TIMEOUT_S = 10.0
MIN_OPEN_FILES = 16_384
MAX_UNSERVED_S = 5.0

PLANS = (
    FleetPlan(EXAMPLES / "vestfjell.json", 41, {"benkeportal": 5, "lagerbok": 4}),
    FleetPlan(EXAMPLES / "fremantle.json", 42, {"box-office": 6, "show-schedule": 4}),
)
KEYED_SERVICES = {"vestfjell": "benkeportal", "fremantle": "box-office"}


def main() -> int:
    """Runs the demonstration.

    Returns:
        Exit code: 0 if all invariants held, else 1.
    """
    _allow_open_files()
    log.configure("error", sys.stderr)
    violations = asyncio.run(_run_all())
    return 1 if violations else 0


def _allow_open_files() -> None:
    """Raises the soft limit of open files; all VMs share one process."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    target = (
        MIN_OPEN_FILES if hard == resource.RLIM_INFINITY else min(MIN_OPEN_FILES, hard)
    )
    if soft < target:
        resource.setrlimit(resource.RLIMIT_NOFILE, (target, hard))


async def _run_all() -> list[str]:
    """Runs the deployments one after the other."""
    violations: list[str] = []
    for plan in PLANS:
        violations += await _run_deployment(DeploymentFleet(plan))
    return violations


async def _run_deployment(fleet: DeploymentFleet) -> list[str]:
    """Injects the faults into one deployment and returns the violations."""
    name = fleet.settings.name
    service = KEYED_SERVICES[name]
    callers = Callers(fleet, KEYS, seed=1)
    try:
        _print_progress(name, f"starting {len(fleet.vms)} VMs and the platform")
        await fleet.start()
        await _wait_until_served(fleet, service)
        _print_progress(name, "all slices are served; starting the callers")
        await callers.run(REQUESTS_PER_S, STEADY_PHASE_S)
        first_lost = fleet.running(service)[0]
        _print_progress(name, f"killing {first_lost.name}, an owner")
        await asyncio.gather(
            first_lost.kill(), callers.run(REQUESTS_PER_S, FAULT_PHASE_S)
        )
        _print_progress(name, "stopping the platform")
        await fleet.platform.stop()
        second_lost = fleet.running(service)[0]
        _print_progress(name, f"killing {second_lost.name} during the outage")
        await asyncio.gather(
            second_lost.kill(), callers.run(REQUESTS_PER_S, FAULT_PHASE_S)
        )
        _print_progress(name, "restarting the platform and the killed VMs")
        await fleet.platform.start()
        await asyncio.gather(
            first_lost.start(),
            second_lost.start(),
            callers.run(REQUESTS_PER_S, FAULT_PHASE_S),
        )
        leaving = fleet.running(service)[-1]
        _print_progress(name, f"shutting {leaving.name} down gracefully")
        no_request_cut, _ = await asyncio.gather(
            leaving.shut_down(DRAIN_TIMEOUT_S),
            callers.run(REQUESTS_PER_S, FAULT_PHASE_S),
        )
        await callers.wait_for_all()
    finally:
        await fleet.stop()
    return _report(name, fleet, callers.report, no_request_cut)


async def _wait_until_served(fleet: DeploymentFleet, service: str) -> None:
    """Waits until every slice of a keyed service has an owner."""
    deadline = time.monotonic() + START_TIMEOUT_S
    slices = fleet.settings.services[service].slices
    while time.monotonic() < deadline:
        statuses = [s.process.status() for s in fleet.running(service) if s.process]
        if sum(status.owned for status in statuses) == slices:
            return
        await asyncio.sleep(0.1)
    raise TimeoutError(f"{service}: not all of {slices} slices are served")


def _print_progress(name: str, text: str) -> None:
    """Prints one line of progress."""
    print(f"[{name}] {text}", flush=True)


def _report(
    name: str, fleet: DeploymentFleet, report: CallerReport, no_request_cut: bool
) -> list[str]:
    """Prints the summary line and returns the violated invariants."""
    counts = fleet.counts
    ran = set(counts.runs)
    refused_but_ran = report.not_run_orders & ran
    refusals = ", ".join(f"{c} {n}" for c, n in sorted(report.refusals.items()))
    unknown = ", ".join(f"{c} {n}" for c, n in sorted(report.unknown.items()))
    print(
        f"[{name}] {report.requests} requests, {report.answers} answers, "
        f"refusals sent again: {refusals or 'none'}; unknown: {unknown or 'none'}; "
        f"given up: {report.given_up}; orders run twice: {counts.run_twice}; "
        f"crossed answers: {report.mismatched}; overfed cold: {counts.overfed_cold}; "
        f"longest unserved: {report.longest_unserved_s:.2f} s",
        flush=True,
    )
    checks = {
        "an order ran twice": counts.run_twice == 0,
        "an answer was crossed": report.mismatched == 0,
        "a refused order ran": not refused_but_ran,
        "an answered order did not run": report.answered_orders <= ran,
        "a cold upstream was overfed": counts.overfed_cold == 0,
        "a key was unserved for too long": report.longest_unserved_s < MAX_UNSERVED_S,
        "a graceful shutdown cut a request": no_request_cut,
        "nothing was answered": report.answers > 0,
    }
    violations = [f"{name}: {text}" for text, holds in checks.items() if not holds]
    for text in violations:
        print(f"BROKEN {text}", flush=True)
    return violations


if __name__ == "__main__":
    sys.exit(main())
