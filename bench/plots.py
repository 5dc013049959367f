"""SVG bar charts of the bench results."""

from __future__ import annotations

from collections.abc import Sequence
from pathlib import Path

import matplotlib

from .results import BenchRow

__all__ = ["draw_plots"]

matplotlib.use("svg")


def draw_plots(rows: Sequence[BenchRow], directory: Path) -> None:
    """Writes one SVG file per scenario and workload.

    Args:
        rows: Results of the bench.
        directory: Directory of the files.
    """
    groups: dict[tuple[str, str], list[BenchRow]] = {}
    for row in rows:
        groups.setdefault((row.scenario, row.workload), []).append(row)
    directory.mkdir(parents=True, exist_ok=True)
    for (scenario, workload), group_rows in groups.items():
        _draw(
            group_rows,
            f"{scenario}, {workload}",
            directory / f"{scenario}-{workload}.svg",
        )


def _draw(rows: Sequence[BenchRow], title: str, path: Path) -> None:
    from matplotlib import pyplot

    measures = list(dict.fromkeys((row.measure, row.unit) for row in rows))
    figure, axes = pyplot.subplots(
        1, len(measures), figsize=(3.2 * len(measures), 3.2), squeeze=False
    )
    for axis, (measure, unit) in zip(axes[0], measures, strict=True):
        bars = [row for row in rows if row.measure == measure]
        names = [row.variant for row in bars]
        values = [row.value for row in bars]
        below = [row.value - row.low for row in bars]
        above = [row.high - row.value for row in bars]
        axis.bar(names, values, yerr=(below, above), capsize=3)
        axis.set_title(measure, fontsize=8)
        axis.set_ylabel(unit, fontsize=7)
        axis.tick_params(axis="x", labelrotation=60, labelsize=6)
        axis.tick_params(axis="y", labelsize=6)
    figure.suptitle(title, fontsize=9)
    figure.tight_layout()
    figure.savefig(path)
    pyplot.close(figure)
