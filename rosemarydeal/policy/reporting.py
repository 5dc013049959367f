"""Builds a process's load reports for the proposers, within a byte rate."""

from __future__ import annotations

from collections.abc import Container, Mapping
from dataclasses import dataclass, replace

from immutables import Map

from rosemarydeal.core import Incarnation, SliceId
from rosemarydeal.core.messages import LoadReport, SliceLoad

from .fleet import domain_of

__all__ = ["LoadMeter", "LocalLoad", "ReportSettings", "make_reports", "report_period"]

# Estimated encoded sizes, in bytes.
REPORT_BYTES = 200
SLICE_BYTES = 72


@dataclass(frozen=True, slots=True)
class ReportSettings:
    """Parameters of the load reports.

    Attributes:
        bytes_per_second: Maximum rate of a process's reports.
        min_interval_s: Shortest interval between reports, in seconds.
        max_slices: Maximum number of slices per report; the heaviest are reported.
    """

    bytes_per_second: float = 1000.0
    min_interval_s: float = 1.0
    max_slices: int = 64


@dataclass(frozen=True, slots=True)
class LocalLoad:
    """Load of the process's own upstream since the previous measurement.

    Attributes:
        utilisation: Ratio of busy slots to all slots.
        slices: Load of each measured slice, in busy slots.
        service_s: Mean service time of a request, in seconds; 0 without requests.
    """

    utilisation: float
    slices: tuple[SliceLoad, ...]
    service_s: float = 0.0


@dataclass(frozen=True, slots=True)
class LoadMeter:
    """Sum of the local measurements since the last report."""

    count: int = 0
    utilisation: float = 0.0
    service_s: float = 0.0
    service_samples: int = 0
    loads: Map[SliceId, float] = Map()
    hot_keys: Map[SliceId, tuple[tuple[int, float], ...]] = Map()

    def add(self, local: LocalLoad) -> LoadMeter:
        """Returns the meter with a measurement added."""
        loads, hot_keys = self.loads.mutate(), self.hot_keys.mutate()
        for slice_load in local.slices:
            loads[slice_load.slice] = loads.get(slice_load.slice, 0.0) + slice_load.load
            hot_keys[slice_load.slice] = slice_load.hot_keys
        return replace(
            self,
            count=self.count + 1,
            utilisation=self.utilisation + local.utilisation,
            service_s=self.service_s + local.service_s,
            service_samples=self.service_samples + (local.service_s > 0),
            loads=loads.finish(),
            hot_keys=hot_keys.finish(),
        )

    def restricted_to(self, slices: Container[SliceId]) -> LoadMeter:
        """Returns the meter without the loads of other slices."""
        loads = {key: load for key, load in self.loads.items() if key in slices}
        return replace(self, loads=Map(loads))


def make_reports(
    meter: LoadMeter,
    incarnation: Incarnation,
    domain_count: int,
    settings: ReportSettings,
) -> Mapping[int, LoadReport]:
    """Returns one report for each domain, even if the process owns nothing there.

    A process without slices receives some only if the proposer has its reports.

    Args:
        meter: Measurements since the last reports; at least one.
        incarnation: The process's incarnation.
        domain_count: Number of domains of the service.
        settings: Parameters, with the maximum number of slices.

    Returns:
        Reports by domain.
    """
    domains: dict[int, list[SliceLoad]] = {n: [] for n in range(domain_count)}
    for slice_id, load in meter.loads.items():
        mean = SliceLoad(slice_id, load / meter.count, meter.hot_keys[slice_id])
        domains.setdefault(domain_of(slice_id), []).append(mean)
    service_s = (
        meter.service_s / meter.service_samples if meter.service_samples else 0.0
    )
    utilisation = meter.utilisation / meter.count
    return {
        domain: LoadReport(
            incarnation,
            0.0,
            utilisation,
            tuple(_heaviest(loads, settings.max_slices)),
            service_s,
        )
        for domain, loads in domains.items()
    }


def report_period(reports: Mapping[int, LoadReport], settings: ReportSettings) -> float:
    """Returns the interval in seconds that keeps the reports within the byte rate."""
    size = sum(REPORT_BYTES + SLICE_BYTES * len(r.slices) for r in reports.values())
    return max(settings.min_interval_s, size / settings.bytes_per_second)


def _heaviest(loads: list[SliceLoad], count: int) -> list[SliceLoad]:
    return sorted(loads, key=lambda load: (-load.load, load.slice))[:count]
