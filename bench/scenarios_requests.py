"""Measures the choice among upstreams, hedging, admission and cold starts."""

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
FLICKER_S = 0.5
CHOICE = ("round robin", "least outstanding", "without hedges", "ours", "single queue")
ADMISSION = ("round robin", "least outstanding", "ours", "single queue")


@dataclass(frozen=True, slots=True)
class Trouble:
    """Describes what happens to the upstreams.

    Attributes:
        load: Offered load as a share of the capacity.
        stragglers: Upstreams that slow down.
        factor: How much they slow down.
        flickers: Whether they do so off and on.
        lies: Whether the first upstream's reports are false.
        silent_cold: Whether the first upstream turns cold without a word.
        returns_cold: Whether the first upstream is lost and returns cold.
    """

    load: float
    stragglers: int = 0
    factor: float = 1.0
    flickers: bool = False
    lies: bool = False
    silent_cold: bool = False
    returns_cold: bool = False


def _cause(fleet: Fleet, trouble: Trouble, until: float) -> None:
    """Plans the trouble."""
    clock = fleet.clock
    if trouble.lies:
        fleet.lying.add(0)
    if trouble.silent_cold:
        clock.at(WARM_UP_S, fleet.upstreams[0].turn_cold)
    if trouble.returns_cold:
        clock.at(WARM_UP_S, fleet.fail_upstream, 0)
        clock.at(WARM_UP_S + 1.0, fleet.recover_upstream, 0)
    for place in range(trouble.stragglers):
        moment, slow = WARM_UP_S + 0.2 * place, True
        while moment < until:
            factor = trouble.factor if slow else 1.0
            clock.at(moment, _slow, fleet, place, factor)
            if not trouble.flickers:
                break
            moment, slow = moment + FLICKER_S, not slow


def _slow(fleet: Fleet, place: int, factor: float) -> None:
    fleet.upstreams[place].slow_factor = factor


def run(trouble: Trouble, spec: RunSpec) -> Sequence[Sample]:
    """Makes one run and measures what callers saw after the warm-up."""
    fleet = make_fleet(spec.variant, spec.workload, spec.seed)
    until = QUICK_LENGTH_S if spec.quick else LENGTH_S
    _cause(fleet, trouble, until)
    fleet.run(trouble.load, until)
    seen = [r for r in fleet.requests if r.arrived >= WARM_UP_S]
    in_time = [r.latency for r in seen if r.latency is not None and r.latency <= 1.0]
    latencies = [1.0 if r.latency is None else r.latency for r in seen]
    bearable = min(len(seen), fleet.service.capacity * (until - WARM_UP_S))
    goodput = len(in_time) / bearable
    extra = fleet.tries / max(1, len(fleet.requests)) - 1.0
    return (
        Sample("latency, 50 in 100", 1000 * quantile(latencies, 0.5), "ms"),
        Sample("latency, 99 in 100", 1000 * quantile(latencies, 0.99), "ms"),
        Sample("goodput", goodput, "of offered or capacity"),
        Sample("extra load", 100 * extra, "%"),
        Sample("overfed", float(sum(u.overfed for u in fleet.upstreams)), "starts"),
    )


def _scenario(name: str, variants: tuple[str, ...], trouble: Trouble) -> Scenario:
    runner: Callable[[RunSpec], Sequence[Sample]] = partial(run, trouble)
    return Scenario(name, variants, runner)


SCENARIOS = (
    _scenario("unkeyed-steady", CHOICE, Trouble(0.5)),
    _scenario("straggler-5x", CHOICE, Trouble(0.5, 1, 5.0)),
    _scenario("straggler-20x", CHOICE, Trouble(0.5, 1, 20.0)),
    _scenario("flicker-20x", CHOICE, Trouble(0.5, 1, 20.0, flickers=True)),
    _scenario("two-stragglers-20x", CHOICE, Trouble(0.35, 2, 20.0)),
    _scenario("two-flickers-20x", CHOICE, Trouble(0.35, 2, 20.0, flickers=True)),
    _scenario("lying-reports", CHOICE, Trouble(0.5, 1, 20.0, lies=True)),
    _scenario("cold-return", ADMISSION, Trouble(0.5, returns_cold=True)),
    _scenario("silent-cold", ADMISSION, Trouble(0.5, silent_cold=True)),
    _scenario("offered-0.5x", ADMISSION, Trouble(0.5)),
    _scenario("offered-1x", ADMISSION, Trouble(1.0)),
    _scenario("offered-2x", ADMISSION, Trouble(2.0)),
    _scenario("offered-3x", ADMISSION, Trouble(3.0)),
)
