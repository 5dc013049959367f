"""Reports a process's own load to the proposers of its slices, sparingly."""

from __future__ import annotations

from collections.abc import Container, Mapping
from dataclasses import dataclass, replace

from immutables import Map

from rosemarydeal.core import Incarnation, SliceId
from rosemarydeal.core.messages import LoadReport, SliceLoad

from .fleet import domain_of

__all__ = ["LoadMeter", "LocalLoad", "ReportSettings", "make_reports", "report_period"]

REPORT_BYTES = 200
SLICE_BYTES = 72


@dataclass(frozen=True, slots=True)
class ReportSettings:
    """Tunes how often load is reported.

    Attributes:
        bytes_per_second: Most that a process spends on its reports.
        min_interval_s: Seconds between reports when they are small.
        max_slices: Slices per report, heaviest first.
    """

    bytes_per_second: float = 1000.0
    min_interval_s: float = 1.0
    max_slices: int = 64


@dataclass(frozen=True, slots=True)
class LocalLoad:
    """Tells what the process measured at its own upstream since last time.

    Attributes:
        utilisation: Busy slots over all slots.
        slices: Load of each slice that it owns, in busy slots.
        service_s: Mean seconds that a request took; 0 without any.
    """

    utilisation: float
    slices: tuple[SliceLoad, ...]
    service_s: float = 0.0


@dataclass(frozen=True, slots=True)
class LoadMeter:
    """Sums local loads up until they are reported."""

    count: int = 0
    utilisation: float = 0.0
    service_s: float = 0.0
    service_samples: int = 0
    loads: Map[SliceId, float] = Map()
    hot_keys: Map[SliceId, tuple[tuple[int, float], ...]] = Map()

    def add(self, local: LocalLoad) -> LoadMeter:
        """Returns the meter with one more measurement."""
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
        """Returns the meter without the slices that aren't to be kept."""
        loads = {key: load for key, load in self.loads.items() if key in slices}
        return replace(self, loads=Map(loads))


def make_reports(
    meter: LoadMeter,
    incarnation: Incarnation,
    domain_count: int,
    settings: ReportSettings,
) -> Mapping[int, LoadReport]:
    """Returns one report for each domain, also where the process owns nothing.

    A process that owns nothing yet is given slices only when it is heard.

    Args:
        meter: Measurements since the last reports; at least one.
        incarnation: The process's incarnation.
        domain_count: Number of domains of the service.
        settings: Tunes the size of reports.

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
    """Returns the seconds between reports that keep within the byte rate."""
    size = sum(REPORT_BYTES + SLICE_BYTES * len(r.slices) for r in reports.values())
    return max(settings.min_interval_s, size / settings.bytes_per_second)


def _heaviest(loads: list[SliceLoad], count: int) -> list[SliceLoad]:
    return sorted(loads, key=lambda load: (-load.load, load.slice))[:count]
