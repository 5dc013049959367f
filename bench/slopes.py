"""Measures how the cost of each role grows with the size of the fleet.

Each cost is measured at four or more sizes. A least squares line gives its
slope and its value at the target size. docs/CAPACITY.md is derived from these
figures. Run by `make slopes`.
"""

from __future__ import annotations

import gc
import json
import statistics
import sys
import time
import tracemalloc
import zlib
from collections.abc import Callable
from dataclasses import asdict, dataclass
from pathlib import Path

from rosemarydeal.core import Address
from rosemarydeal.core.request_key import KeyRule
from rosemarydeal.core.routes import RoutesReply, build_routes, encode_routes
from rosemarydeal.daemon import objects

from .idle import measure_idle
from .slopes_fleet import SERVICE, chunks, members
from .slopes_states import (
    deployment,
    filled_sketch,
    guard_cpu,
    guard_with_ids,
    idle_owner_costs,
    load_file,
    owner_with_fleet,
    owner_with_rows,
    proposer_cpu,
    version_exchange_costs,
)

__all__ = ["Slope", "main"]

OUTPUT = Path("build/slopes.json")
TARGET_NODES = 620
TARGET_SLICES = 39_680
TARGET_NAMED_ROWS = 192
TARGET_IDS = 200_000
TARGET_CONFIG_BRANCHES = 620
IDLE_S = 20.0


@dataclass(frozen=True, slots=True)
class Slope:
    """A cost at several sizes and its least squares line; written as JSON.

    Attributes:
        role: Role that causes the cost.
        cost: Name of the cost.
        unit: Unit of the values.
        per: Unit of the sizes.
        sizes: The sizes.
        values: The cost at each size.
        slope: Slope of the line.
        base: Value of the line at size zero.
        target: The target size.
        at_target: Value of the line at the target size.
    """

    role: str
    cost: str
    unit: str
    per: str
    sizes: tuple[int, ...]
    values: tuple[float, ...]
    slope: float
    base: float
    target: int
    at_target: float


def fit(
    role: str,
    cost: str,
    unit: str,
    per: str,
    sizes: tuple[int, ...],
    values: tuple[float, ...],
    target: int,
) -> Slope:
    """Fits a line to the values by least squares."""
    line = statistics.linear_regression(sizes, values)
    at_target = line.intercept + line.slope * target
    return Slope(
        role,
        cost,
        unit,
        per,
        sizes,
        values,
        line.slope,
        line.intercept,
        target,
        at_target,
    )


def cpu_time_s(work: Callable[[], object], min_s: float = 0.1) -> float:
    """Returns the processor time of one call in seconds, the best of three rounds."""
    best = float("inf")
    for _ in range(3):
        calls, started_at = 0, time.process_time()
        while time.process_time() - started_at < min_s:
            work()
            calls += 1
        best = min(best, (time.process_time() - started_at) / calls)
    return best


def retained_bytes(build: Callable[[], object]) -> float:
    """Returns the allocated size of an object, in bytes."""
    gc.collect()
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    retained = build()
    gc.collect()
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del retained
    return float(after - before)


def lease_by_nodes() -> list[Slope]:
    """Measures lease holder and witness by the number of nodes."""
    sizes = (20, 80, 320, 620)
    runs = [idle_owner_costs(size, 0) for size in sizes]
    memory = tuple(
        retained_bytes(lambda n=size: owner_with_fleet(n, 0)) for size in sizes
    )
    return [
        fit(
            "lease holder and witness",
            "processor",
            "s/s",
            "node",
            sizes,
            tuple(r.cpu for r in runs),
            TARGET_NODES,
        ),
        fit(
            "lease holder and witness",
            "peer traffic",
            "B/s",
            "node",
            sizes,
            tuple(r.traffic for r in runs),
            TARGET_NODES,
        ),
        fit(
            "lease holder and witness",
            "messages",
            "1/s",
            "node",
            sizes,
            tuple(r.messages for r in runs),
            TARGET_NODES,
        ),
        fit("members known", "memory", "B", "node", sizes, memory, TARGET_NODES),
    ]


def ownership_by_rows() -> list[Slope]:
    """Measures ownership by the number of rows that name the node."""
    nodes, sizes = 64, (1280, 2560, 4096, 8192)
    named = tuple(size * 3 // nodes for size in sizes)
    runs = [idle_owner_costs(nodes, size) for size in sizes]
    return [
        fit(
            "owner",
            "processor",
            "s/s",
            "row that names the node",
            named,
            tuple(r.cpu for r in runs),
            TARGET_NAMED_ROWS,
        )
    ]


def known_rows() -> list[Slope]:
    """Measures the memory and the encoded size of all rows of the fleet."""
    sizes = (2_560, 5_120, 10_240, 20_480)
    fleet = members(160)
    memory = tuple(
        retained_bytes(lambda n=size: owner_with_rows(fleet, n)) for size in sizes
    )
    wire = tuple(
        float(sum(len(objects.encode(c)) for c in chunks(fleet, size)))
        for size in sizes
    )
    return [
        fit(
            "entry and proposer",
            "memory of rows",
            "B",
            "slice",
            sizes,
            memory,
            TARGET_SLICES,
        ),
        fit("platform", "bytes of chunks", "B", "slice", sizes, wire, TARGET_SLICES),
    ]


def proposer_by_nodes() -> list[Slope]:
    """Measures a proposer's periodic scan of its slices while nothing changes."""
    sizes = (20, 40, 80, 160, 320)
    values = tuple(proposer_cpu(size) for size in sizes)
    return [
        fit(
            "proposer",
            "processor",
            "s/s",
            "node (64 slices each)",
            sizes,
            values,
            TARGET_NODES,
        )
    ]


def relay_by_nodes() -> list[Slope]:
    """Measures the periodic exchange of versions while nothing changes."""
    sizes = (20, 80, 320, 620)
    runs = [version_exchange_costs(size) for size in sizes]
    return [
        fit(
            "configuration relay",
            "peer traffic",
            "B/s",
            "node",
            sizes,
            tuple(r.traffic for r in runs),
            TARGET_NODES,
        ),
        fit(
            "configuration relay",
            "processor",
            "s/s",
            "node",
            sizes,
            tuple(r.cpu for r in runs),
            TARGET_NODES,
        ),
    ]


def guard_by_ids() -> list[Slope]:
    """Measures the guard by the number of request ids in its ledger."""
    sizes = (1_000, 4_000, 16_000, 64_000)
    memory = tuple(retained_bytes(lambda n=size: guard_with_ids(n)) for size in sizes)
    cpu = tuple(guard_cpu(size) for size in sizes)
    return [
        fit("guard", "memory", "B", "request id", sizes, memory, TARGET_IDS),
        fit(
            "guard", "processor per request", "s", "request id", sizes, cpu, TARGET_IDS
        ),
    ]


def hot_keys() -> list[Slope]:
    """Measures the hot key sketch by the number of keys counted."""
    sizes = (1_000, 10_000, 100_000, 400_000)
    memory = tuple(retained_bytes(lambda n=size: filled_sketch(n)) for size in sizes)
    return [
        fit(
            "hot key sketch",
            "memory",
            "B",
            "key in use",
            sizes,
            memory,
            380_000_000 // TARGET_NODES,
        )
    ]


def configuration() -> list[Slope]:
    """Measures the cost of one configuration change for a process."""
    sizes = (1, 40, 160, 620)
    values = tuple(cpu_time_s(lambda n=size: load_file(n)) for size in sizes)
    wire = tuple(float(len(deployment(size))) for size in sizes)
    return [
        fit(
            "configuration relay",
            "processor per change",
            "s",
            "branch",
            sizes,
            values,
            TARGET_CONFIG_BRANCHES,
        ),
        fit(
            "configuration relay",
            "bytes of a configuration",
            "B",
            "branch",
            sizes,
            wire,
            TARGET_CONFIG_BRANCHES,
        ),
    ]


def caller_table() -> list[Slope]:
    """Measures the size of the caller library's routing table."""
    sizes = (2_560, 5_120, 10_240, 20_480)
    fleet = members(160)
    entries = {m.node: Address(m.entry_host, 8501) for m in fleet}
    rule = KeyRule(header="x-key")
    tables = []
    for size in sizes:
        rows = [row for chunk in chunks(fleet, size) for row in chunk.rows]
        tables.append(build_routes(SERVICE, 1, size, rule, entries, rows))
    values = tuple(float(len(encode_routes(RoutesReply(1, t)))) for t in tables)
    return [
        fit(
            "caller library",
            "bytes of the table",
            "B",
            "slice",
            sizes,
            values,
            TARGET_SLICES,
        )
    ]


def whole_process() -> list[Slope]:
    """Measures whole idle processes, including their stand-in upstreams."""
    sizes = (3, 6, 9, 12)
    runs = [measure_idle(size) for size in sizes]
    return [
        fit(
            "whole process",
            "processor",
            "s/s",
            "VM",
            sizes,
            tuple(r.cpu for r in runs),
            1,
        ),
        fit(
            "whole process",
            "sent to peers",
            "B/s",
            "VM",
            sizes,
            tuple(r.peer_bytes for r in runs),
            1,
        ),
        fit(
            "platform",
            "calls",
            "1/s",
            "VM",
            sizes,
            tuple(r.platform_calls for r in runs),
            12,
        ),
    ]


def changed_chunk() -> list[Slope]:
    """Measures the compressed size of one changed chunk."""
    sizes = (8, 16, 32, 64)
    fleet = members(160)
    values = tuple(
        float(len(zlib.compress(objects.encode(chunks(fleet, size)[0]))))
        for size in sizes
    )
    return [
        fit(
            "configuration relay",
            "bytes of a changed chunk",
            "B",
            "slice",
            sizes,
            values,
            64,
        )
    ]


MEASUREMENTS = (
    whole_process,
    changed_chunk,
    lease_by_nodes,
    ownership_by_rows,
    known_rows,
    proposer_by_nodes,
    relay_by_nodes,
    guard_by_ids,
    hot_keys,
    configuration,
    caller_table,
)


def main() -> int:
    """Runs all measurements, prints the slopes and writes them as JSON."""
    slopes: list[Slope] = []
    for measure in MEASUREMENTS:
        print(f"measuring {measure.__name__}", file=sys.stderr, flush=True)
        slopes += measure()
    print("role | cost | per | sizes | values | slope | at target")
    for row in slopes:
        values = ", ".join(f"{value:.4g}" for value in row.values)
        sizes = ", ".join(str(size) for size in row.sizes)
        print(
            f"{row.role} | {row.cost} ({row.unit}) | {row.per} | {sizes} | {values} | "
            f"{row.slope:.3g} | {row.at_target:.4g} at {row.target}"
        )
    OUTPUT.parent.mkdir(exist_ok=True)
    OUTPUT.write_text(json.dumps([asdict(row) for row in slopes], indent=1), "utf-8")
    return 0


if __name__ == "__main__":
    sys.exit(main())
