"""Gives scenario modules all they need to describe a measurement.

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
    """Names one run of a scenario.

    Attributes:
        workload: Deployment whose sizes are used.
        variant: Which policy decides.
        seed: Seed of all random choices.
        quick: Whether a shorter run will do.
    """

    workload: Workload
    variant: str
    seed: int
    quick: bool


@dataclass(frozen=True, slots=True)
class Scenario:
    """Describes a measurement.

    Attributes:
        name: Name of the scenario.
        variants: Names of the policies that are compared.
        run: Makes one run; must be importable by name for worker processes.
        workloads: Deployments that it is run with.
    """

    name: str
    variants: tuple[str, ...]
    run: Callable[[RunSpec], Sequence[Sample]]
    workloads: tuple[Workload, ...] = WORKLOADS
