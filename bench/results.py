"""Aggregation of samples over seeds, and output as a table and as JSON."""

from __future__ import annotations

import json
import statistics
from collections.abc import Iterable, Sequence
from dataclasses import asdict, dataclass
from pathlib import Path

__all__ = ["BenchRow", "Sample", "format_table", "quantile", "summarise", "write_json"]


@dataclass(frozen=True, slots=True)
class Sample:
    """One measured value of one run."""

    measure: str
    value: float
    unit: str


@dataclass(frozen=True, slots=True)
class BenchRow:
    """Median and range of a measure over all seeds; written as JSON.

    Attributes:
        measure: Name of the measure.
        workload: Name of the deployment that gave the sizes.
        scenario: Name of the scenario.
        variant: Name of the policy.
        value: Median over the seeds.
        unit: Unit of the value.
        low: Lowest value of any seed.
        high: Highest value of any seed.
        seeds: Number of seeds.
    """

    measure: str
    workload: str
    scenario: str
    variant: str
    value: float
    unit: str
    low: float
    high: float
    seeds: int


def quantile(values: Sequence[float], share: float) -> float:
    """Returns the quantile of some values at a share, NaN if there are none."""
    if not values:
        return float("nan")
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def summarise(
    workload: str, scenario: str, variant: str, runs: Iterable[Sequence[Sample]]
) -> list[BenchRow]:
    """Aggregates the runs of one variant into one row per measure."""
    values: dict[tuple[str, str], list[float]] = {}
    for samples in runs:
        for sample in samples:
            values.setdefault((sample.measure, sample.unit), []).append(sample.value)
    return [
        BenchRow(
            measure,
            workload,
            scenario,
            variant,
            statistics.median(measured),
            unit,
            min(measured),
            max(measured),
            len(measured),
        )
        for (measure, unit), measured in values.items()
    ]


def format_table(rows: Sequence[BenchRow]) -> str:
    """Formats rows as a table with one line each."""
    lines = [
        f"{'scenario':<28}{'workload':<11}{'measure':<30}{'variant':<42}"
        f"{'median':>11}{'low':>11}{'high':>11}  unit"
    ]
    ordered = sorted(rows, key=lambda row: (row.scenario, row.workload, row.measure))
    for row in ordered:
        lines.append(
            f"{row.scenario:<28}{row.workload:<11}{row.measure:<30}{row.variant:<42}"
            f"{row.value:>11.4g}{row.low:>11.4g}{row.high:>11.4g}  {row.unit}"
        )
    return "\n".join(lines)


def write_json(rows: Sequence[BenchRow], path: Path) -> None:
    """Writes rows as a JSON array."""
    path.parent.mkdir(parents=True, exist_ok=True)
    path.write_text(json.dumps([asdict(row) for row in rows], indent=1) + "\n", "utf-8")
