"""Common interface for scenario modules.

A module `bench/scenarios_NAME.py` defines `SCENARIOS`, a tuple of `Scenario`;
`python -m bench.run` finds it there.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass

from .clock import VirtualClock, poisson_arrivals, seeded
from .results import BenchRow, Sample, quantile
from .upstreams import FakeUpstream, Job, JobOutcome, UpstreamSpec
from .workloads import WORKLOADS, HotKeys, ServiceSpec, Workload, ZipfKeys

__all__ = [
    "WORKLOADS",
    "BenchRow",
    "FakeUpstream",
    "HotKeys",
    "Job",
    "JobOutcome",
    "RunSpec",
    "Sample",
    "Scenario",
    "ServiceSpec",
    "UpstreamSpec",
    "VirtualClock",
    "Workload",
    "ZipfKeys",
    "poisson_arrivals",
    "quantile",
    "seeded",
]


@dataclass(frozen=True, slots=True)
class RunSpec:
    """Parameters of one run of a scenario.

    Attributes:
        workload: Deployment that gives the sizes.
        variant: Name of the policy under test.
        seed: Seed of all random generators.
        quick: Whether to make a shorter run.
    """

    workload: Workload
    variant: str
    seed: int
    quick: bool


@dataclass(frozen=True, slots=True)
class Scenario:
    """A measurement and the policies that it compares.

    Attributes:
        name: Name of the scenario.
        variants: Names of the compared policies.
        run: Executes one run; must be picklable for worker processes.
        workloads: Deployments that it runs with.
    """

    name: str
    variants: tuple[str, ...]
    run: Callable[[RunSpec], Sequence[Sample]]
    workloads: tuple[Workload, ...] = WORKLOADS
