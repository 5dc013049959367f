"""Scenarios of upstream choice, hedging, admission and cold starts."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from functools import partial

from bench.harness import RunSpec, Sample, Scenario, quantile
from bench.requests_fleet import Fleet, make_fleet

__all__ = ["SCENARIOS"]

WARM_UP_S = 4.0
LENGTH_S = 14.0
QUICK_LENGTH_S = 8.0
INTERMITTENT_PERIOD_S = 0.5
CHOICE = ("round robin", "least outstanding", "without hedges", "ours", "single queue")
ADMISSION = ("round robin", "least outstanding", "ours", "single queue")


@dataclass(frozen=True, slots=True)
class Faults:
    """Load and faults of a scenario.

    Attributes:
        load: Offered load as a share of the capacity.
        stragglers: Number of upstreams that slow down.
        factor: Factor on their service time.
        intermittent: Whether the slowdown alternates with normal speed.
        false_reports: Whether the first upstream's load reports are false.
        unannounced_cold: Whether the first upstream becomes cold without
            announcing it.
        returns_cold: Whether the first upstream is lost and restarts cold.
    """

    load: float
    stragglers: int = 0
    factor: float = 1.0
    intermittent: bool = False
    false_reports: bool = False
    unannounced_cold: bool = False
    returns_cold: bool = False


def _schedule_faults(fleet: Fleet, faults: Faults, until: float) -> None:
    """Schedules the faults of a scenario."""
    clock = fleet.clock
    if faults.false_reports:
        fleet.false_reporters.add(0)
    if faults.unannounced_cold:
        clock.at(WARM_UP_S, fleet.upstreams[0].begin_cold_start)
    if faults.returns_cold:
        clock.at(WARM_UP_S, fleet.fail_upstream, 0)
        clock.at(WARM_UP_S + 1.0, fleet.recover_upstream, 0)
    for position in range(faults.stragglers):
        moment, slow = WARM_UP_S + 0.2 * position, True
        while moment < until:
            factor = faults.factor if slow else 1.0
            clock.at(moment, _set_slow_factor, fleet, position, factor)
            if not faults.intermittent:
                break
            moment, slow = moment + INTERMITTENT_PERIOD_S, not slow


def _set_slow_factor(fleet: Fleet, position: int, factor: float) -> None:
    fleet.upstreams[position].slow_factor = factor


def run(faults: Faults, spec: RunSpec) -> Sequence[Sample]:
    """Executes one run and measures its requests after the warm-up."""
    fleet = make_fleet(spec.variant, spec.workload, spec.seed)
    until = QUICK_LENGTH_S if spec.quick else LENGTH_S
    _schedule_faults(fleet, faults, until)
    fleet.run(faults.load, until)
    requests = [r for r in fleet.requests if r.arrived >= WARM_UP_S]
    in_time = [
        r.latency for r in requests if r.latency is not None and r.latency <= 1.0
    ]
    latencies = [1.0 if r.latency is None else r.latency for r in requests]
    answerable = min(len(requests), fleet.service.capacity * (until - WARM_UP_S))
    goodput = len(in_time) / answerable
    extra = fleet.attempts / max(1, len(fleet.requests)) - 1.0
    return (
        Sample("latency, 50 in 100", 1000 * quantile(latencies, 0.5), "ms"),
        Sample("latency, 99 in 100", 1000 * quantile(latencies, 0.99), "ms"),
        Sample("goodput", goodput, "of offered or capacity"),
        Sample("extra load", 100 * extra, "%"),
        Sample(
            "overfed",
            float(sum(u.over_capacity_starts for u in fleet.upstreams)),
            "starts",
        ),
    )


def _scenario(name: str, variants: tuple[str, ...], faults: Faults) -> Scenario:
    runner: Callable[[RunSpec], Sequence[Sample]] = partial(run, faults)
    return Scenario(name, variants, runner)


SCENARIOS = (
    _scenario("unkeyed-steady", CHOICE, Faults(0.5)),
    _scenario("straggler-5x", CHOICE, Faults(0.5, 1, 5.0)),
    _scenario("straggler-20x", CHOICE, Faults(0.5, 1, 20.0)),
    _scenario("flicker-20x", CHOICE, Faults(0.5, 1, 20.0, intermittent=True)),
    _scenario("two-stragglers-20x", CHOICE, Faults(0.35, 2, 20.0)),
    _scenario("two-flickers-20x", CHOICE, Faults(0.35, 2, 20.0, intermittent=True)),
    _scenario("lying-reports", CHOICE, Faults(0.5, 1, 20.0, false_reports=True)),
    _scenario("cold-return", ADMISSION, Faults(0.5, returns_cold=True)),
    _scenario("silent-cold", ADMISSION, Faults(0.5, unannounced_cold=True)),
    _scenario("offered-0.5x", ADMISSION, Faults(0.5)),
    _scenario("offered-1x", ADMISSION, Faults(1.0)),
    _scenario("offered-2x", ADMISSION, Faults(2.0)),
    _scenario("offered-3x", ADMISSION, Faults(3.0)),
)
