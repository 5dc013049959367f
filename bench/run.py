"""Runs the bench in virtual time: all scenarios, workloads, variants and seeds.

Usage: python -m bench.run [--quick] [scenario ...]
"""

from __future__ import annotations

import argparse
import importlib
import multiprocessing
import pkgutil
import sys
import time
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path

import bench
from bench.harness import RunSpec, Sample, Scenario
from bench.plots import draw_plots
from bench.results import BenchRow, format_table, summarise, write_json

BUILD_DIR = Path("build")
FULL_SEEDS = 10
QUICK_SEEDS = 2
WORKERS = 4


@dataclass(frozen=True, slots=True)
class Task:
    """One run of a scenario."""

    scenario: Scenario
    run: RunSpec


def find_scenarios() -> tuple[Scenario, ...]:
    """Returns the scenarios of all modules named `scenarios_*`."""
    names = [module.name for module in pkgutil.iter_modules(bench.__path__)]
    modules = [
        importlib.import_module(f"bench.{name}")
        for name in sorted(names)
        if name.startswith("scenarios_")
    ]
    return tuple(scenario for module in modules for scenario in module.SCENARIOS)


def make_tasks(scenarios: Sequence[Scenario], quick: bool) -> list[Task]:
    """Returns one task per scenario, workload, variant and seed."""
    seeds = range(1, (QUICK_SEEDS if quick else FULL_SEEDS) + 1)
    return [
        Task(scenario, RunSpec(workload, variant, seed, quick))
        for scenario in scenarios
        for workload in scenario.workloads
        for variant in scenario.variants
        for seed in seeds
    ]


def run_task(task: Task) -> Sequence[Sample]:
    """Executes one run in a worker process."""
    return task.scenario.run(task.run)


def collect(
    tasks: Sequence[Task], results: Sequence[Sequence[Sample]]
) -> list[BenchRow]:
    """Aggregates the results per scenario, workload and variant."""
    groups: dict[tuple[str, str, str], list[Sequence[Sample]]] = {}
    for task, samples in zip(tasks, results, strict=True):
        run = task.run
        group = (run.workload.name, task.scenario.name, run.variant)
        groups.setdefault(group, []).append(samples)
    return [row for group, runs in groups.items() for row in summarise(*group, runs)]


def main(arguments: Sequence[str]) -> int:
    """Runs the bench and writes its results.

    Args:
        arguments: Command line arguments.

    Returns:
        Exit code of the process.
    """
    parser = argparse.ArgumentParser(prog="bench.run", description=__doc__)
    parser.add_argument("--quick", action="store_true", help="fewer seeds, less time")
    parser.add_argument("scenario", nargs="*", help="names of scenarios; default: all")
    options = parser.parse_args(arguments)
    available = find_scenarios()
    unknown = set(options.scenario) - {scenario.name for scenario in available}
    if unknown:
        parser.error(f"unknown scenarios: {', '.join(sorted(unknown))}")
    selected = [
        s for s in available if not options.scenario or s.name in options.scenario
    ]
    tasks = make_tasks(selected, options.quick)
    started = time.monotonic()
    with multiprocessing.get_context("fork").Pool(WORKERS) as pool:
        results = pool.map(run_task, tasks, chunksize=1)
    rows = collect(tasks, results)
    print(format_table(rows))
    write_json(rows, BUILD_DIR / "bench.json")
    draw_plots(rows, BUILD_DIR)
    print(f"{len(tasks)} runs in {time.monotonic() - started:.0f} s")
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
