"""Scenarios of placement and rebalancing for the keyed services.

Arrivals are Poisson. 41 hot keys of 20,000 get 40% of the requests by a Zipf
distribution of exponent 0.6; the rest is uniform. Service times are exponential
with a mean of 50 ms.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import replace

from rosemarydeal.core import SliceId
from rosemarydeal.policy.control import ControlSettings

from .harness import RunSpec, Sample, Scenario, quantile
from .keyed_fleet import SLICES, HandOver, KeyedFleet
from .keyed_variants import (
    AssignmentPolicy,
    ControlAssignment,
    HashAssignment,
    PerfectAssignment,
)

__all__ = ["SCENARIOS"]

WINDOW_S = 10.0
WARM_UP_S = 40.0
START_S = 5.0


def _no_moves(settings: ControlSettings) -> ControlSettings:
    rebalance = replace(settings.rebalance, start_ratio=float("inf"))
    return replace(settings, rebalance=rebalance)


def _first_estimates(settings: ControlSettings) -> ControlSettings:
    rebalance = replace(settings.rebalance, start_ratio=1.10, excess_s=0.0)
    loads = replace(settings.loads, smoothing_s=5.0, outlier_deviations=float("inf"))
    return replace(settings, rebalance=rebalance, loads=loads)


CHANGES: dict[str, Callable[[ControlSettings], ControlSettings]] = {
    "placement only": _no_moves,
    "first estimates": _first_estimates,
    "ours": lambda settings: settings,
}


def make_policy(fleet: KeyedFleet, run: RunSpec) -> AssignmentPolicy:
    """Builds the assignment policy of a run's variant."""
    match run.variant:
        case "hash":
            return HashAssignment(fleet)
        case "perfect knowledge":
            return PerfectAssignment(fleet)
        case name:
            return ControlAssignment(fleet, run.seed, CHANGES[name])


class KeyedRun:
    """One run with its measurements: load windows, requests and moves."""

    def __init__(
        self,
        run: RunSpec,
        load: float,
        until: float,
        hand_over: HandOver = HandOver.AT_ONCE,
    ) -> None:
        self.fleet = KeyedFleet(run.workload, run.seed, load, hand_over)
        self.policy = make_policy(self.fleet, run)
        self.ratios: list[tuple[float, float]] = []
        self.until = until
        self._busy = dict.fromkeys(self.fleet.nodes, 0.0)
        self.policy.start()
        self.fleet.clock.run(START_S)
        self.fleet.start(until)
        self.fleet.clock.every(WINDOW_S, self._close_window)

    def _close_window(self) -> None:
        busy = {name: n.upstream.busy_s for name, n in self.fleet.nodes.items()}
        shares = [
            (busy[name] - self._busy[name]) / self.fleet.nodes[name].upstream.spec.slots
            for name in self.policy.eligible()
        ]
        self._busy = busy
        mean = sum(shares) / len(shares)
        if mean > 0:
            self.ratios.append((self.fleet.clock.now, max(shares) / mean))

    def imbalance(self, since: float, until: float) -> list[float]:
        """Returns the ratio of highest to mean load of each window in a period."""
        return [r for at, r in self.ratios if since + WINDOW_S <= at <= until]

    def p99(self, since: float, until: float) -> float:
        """Returns the 99th percentile of the latency in a period, in milliseconds."""
        latencies = [f.latency for f in self.fleet.completed if since <= f.at < until]
        return 1000 * quantile(latencies, 0.99)

    def not_answered(self, since: float) -> int:
        """Returns the number of requests that were not answered."""
        return sum(not f.ok for f in self.fleet.completed if f.at >= since)

    def moves(self, since: float, until: float) -> int:
        """Returns the number of slice moves in a period."""
        return sum(since <= at < until for at in self.fleet.moves)

    def owned(self, nodes: Sequence[str]) -> int:
        """Returns the number of base slices that some nodes own."""
        ids = (SliceId(self.fleet.service, index) for index in range(SLICES))
        return sum(self.fleet.owner(slice_id) in nodes for slice_id in ids)

    def gap_samples(self, since: float) -> list[Sample]:
        """Returns the median and worst unserved time per move."""
        gaps = [gap.seconds for gap in self.fleet.gaps if gap.at >= since]
        if not gaps:
            return []
        return [
            Sample("unserved per move, median", 1000 * quantile(gaps, 0.5), "ms"),
            Sample("unserved per move, worst", 1000 * max(gaps), "ms"),
        ]

    def write_samples(self) -> list[Sample]:
        """Returns the number of platform writes and of write conflicts."""
        if not isinstance(self.policy, ControlAssignment):
            return []
        return [
            Sample("platform writes", self.policy.writes, "writes"),
            Sample("writes that lost a race", self.policy.conflicts, "writes"),
        ]


def _mean(values: Sequence[float]) -> float:
    return sum(values) / len(values) if values else float("nan")


def run_steady(spec: RunSpec) -> list[Sample]:
    """Measures a constant set of hot keys at 60% of the capacity."""
    until = 100.0
    run = KeyedRun(spec, 0.6, until)
    run.fleet.clock.run(until)
    minutes = (until - WARM_UP_S) / 60
    return [
        Sample("imbalance, mean", _mean(run.imbalance(WARM_UP_S, until)), "ratio"),
        Sample("moves a minute", run.moves(WARM_UP_S, until) / minutes, "1/min"),
        Sample("latency, 99 in 100", run.p99(WARM_UP_S, until), "ms"),
    ]


def run_moving(spec: RunSpec) -> list[Sample]:
    """Measures a hot set that is replaced every 80 s, at 60% of the capacity."""
    until = 120.0 if spec.quick else 240.0
    run = KeyedRun(spec, 0.6, until)
    for moment in range(80, int(until), 80):
        run.fleet.clock.at(moment, run.fleet.move_hot_set)
    run.fleet.clock.run(until)
    ratios = run.imbalance(WARM_UP_S, until)
    minutes = (until - WARM_UP_S) / 60
    return [
        Sample("imbalance, mean", _mean(ratios), "ratio"),
        Sample("imbalance, worst window", max(ratios), "ratio"),
        Sample("moves a minute", run.moves(WARM_UP_S, until) / minutes, "1/min"),
        Sample("latency, 99 in 100", run.p99(WARM_UP_S, until), "ms"),
        *run.gap_samples(WARM_UP_S),
    ]


def run_lost(spec: RunSpec) -> list[Sample]:
    """Measures the loss of one upstream and its process at 50% of the capacity."""
    until = 120.0
    lost_at = 60.0
    run = KeyedRun(spec, 0.5, until)
    run.fleet.clock.run(lost_at)
    node = next(iter(run.fleet.nodes))
    least_moves = run.owned([node])
    run.policy.kill(node)
    run.fleet.clock.run(until)
    return [
        Sample(
            "moves over the least", run.moves(lost_at, until) / least_moves, "ratio"
        ),
        Sample("imbalance, mean", _mean(run.imbalance(lost_at + 20, until)), "ratio"),
        Sample("latency, 99 in 100", run.p99(lost_at + 20, until), "ms"),
        Sample("not answered", run.not_answered(lost_at), "requests"),
        *run.gap_samples(lost_at),
    ]


def run_zone(spec: RunSpec) -> list[Sample]:
    """Disables and re-enables the first availability zone at 50% of the capacity."""
    out_at, back_at, until = 60.0, 110.0, 200.0
    run = KeyedRun(spec, 0.5, until)
    run.fleet.clock.run(out_at)
    zone = run.fleet.workload.availability_zones[0]
    nodes = [name for name, n in run.fleet.nodes.items() if n.zone == zone]
    least_moves = run.owned(nodes)
    run.policy.set_disabled_zones(frozenset({zone}))
    run.fleet.clock.run(back_at)
    starts = [at for name in nodes for at in run.fleet.nodes[name].work_starts]
    late_starts = [at for at in starts if at >= out_at + 3.0]
    remaining = run.owned(nodes)
    refused_out = run.not_answered(out_at)
    run.policy.set_disabled_zones(frozenset())
    run.fleet.clock.run(until)
    least_moves_back = SLICES * len(nodes) / len(run.fleet.nodes)
    after = run.imbalance(back_at + 40, until)
    return [
        Sample("work in the zone after 3 s", len(late_starts), "requests"),
        Sample("slices in the zone at the end", remaining, "slices"),
        Sample("not answered while out", refused_out, "requests"),
        Sample("not answered in all", run.not_answered(out_at), "requests"),
        Sample("cut in flight", run.fleet.failed_in_flight, "requests"),
        Sample(
            "moves out over the least",
            run.moves(out_at, back_at) / least_moves,
            "ratio",
        ),
        Sample(
            "moves back over the least",
            run.moves(back_at, until) / least_moves_back,
            "ratio",
        ),
        Sample("last new work there", max(at for at in starts) - out_at, "s"),
        Sample("99 in 100 in 10 s after out", run.p99(out_at, out_at + 10), "ms"),
        Sample("99 in 100 in 40 s after back", run.p99(back_at, back_at + 40), "ms"),
        Sample("imbalance 40 s after back", _mean(after), "ratio"),
        *run.gap_samples(out_at),
        *run.write_samples(),
    ]


def _run_straggler(spec: RunSpec, factor: float, intermittent: bool) -> list[Sample]:
    slow_at, until = 50.0, 150.0
    run = KeyedRun(spec, 0.5, until)
    run.fleet.clock.run(slow_at)
    upstream = next(iter(run.fleet.nodes.values())).upstream
    moment = slow_at
    while moment < until:
        run.fleet.clock.at(moment, setattr, upstream, "slow_factor", factor)
        if not intermittent:
            break
        run.fleet.clock.at(moment + 3.0, setattr, upstream, "slow_factor", 1.0)
        moment += 20.0
    run.fleet.clock.run(until)
    return [
        Sample("moves", run.moves(slow_at, until), "slices"),
        Sample("99 in 100, first 30 s", run.p99(slow_at, slow_at + 30), "ms"),
        Sample("99 in 100 after 60 s", run.p99(slow_at + 60, until), "ms"),
        Sample("not answered", run.not_answered(slow_at), "requests"),
    ]


def run_lasting_straggler(spec: RunSpec) -> list[Sample]:
    """Measures an upstream that becomes five times slower permanently."""
    return _run_straggler(spec, 5.0, intermittent=False)


def run_flickering_straggler(spec: RunSpec) -> list[Sample]:
    """Measures an upstream that is five times slower for 3 s of every 20 s."""
    return _run_straggler(spec, 5.0, intermittent=True)


def run_hand_over(spec: RunSpec) -> list[Sample]:
    """Drains a zone with each choice of when the old owner stops admitting."""
    out_at, until = 20.0, 40.0
    policy_spec = replace(spec, variant="ours")
    run = KeyedRun(policy_spec, 0.5, until, HandOver(spec.variant))
    run.fleet.clock.run(out_at)
    zone = run.fleet.workload.availability_zones[0]
    run.policy.set_disabled_zones(frozenset({zone}))
    run.fleet.clock.run(until)
    gaps = [gap.seconds for gap in run.fleet.gaps if gap.at >= out_at]
    last = max(
        at
        for node in run.fleet.nodes.values()
        if node.zone == zone
        for at in node.work_starts
    )
    return [
        Sample("unserved per move, mean", 1000 * _mean(gaps), "ms"),
        Sample("unserved per move, 99 in 100", 1000 * quantile(gaps, 0.99), "ms"),
        Sample("unserved per move, worst", 1000 * max(gaps), "ms"),
        Sample("last new work in the zone", last - out_at, "s"),
        Sample("99 in 100 in 5 s after out", run.p99(out_at, out_at + 5), "ms"),
    ]


MAIN_VARIANTS = ("hash", "ours", "perfect knowledge")
SCENARIOS = (
    Scenario(
        "keyed-steady",
        ("hash", "placement only", "first estimates", "ours", "perfect knowledge"),
        run_steady,
    ),
    Scenario(
        "keyed-moving-hot-set",
        ("hash", "first estimates", "ours", "perfect knowledge"),
        run_moving,
    ),
    Scenario("keyed-upstream-lost", MAIN_VARIANTS, run_lost),
    Scenario("keyed-zone-out-and-back", MAIN_VARIANTS, run_zone),
    Scenario(
        "keyed-hand-over",
        tuple(hand_over.value for hand_over in HandOver),
        run_hand_over,
    ),
    Scenario("keyed-lasting-straggler", MAIN_VARIANTS, run_lasting_straggler),
    Scenario("keyed-flickering-straggler", ("hash", "ours"), run_flickering_straggler),
)
