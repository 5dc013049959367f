"""Compares ways to keep an order from running twice after the loss of an owner.

All requests of the fleet are orders. The unfinished requests of a process are
sampled periodically, as if it were lost then; each caller repeats its request.
"""

from __future__ import annotations

from collections.abc import Sequence
from functools import partial

from bench.harness import RunSpec, Sample, Scenario
from bench.requests_fleet import PolicyFleet
from rosemarydeal.policy.guard_interface import GuardSettings

__all__ = ["SCENARIOS"]

TICKET = "ticket"
AT_SUCCESSOR = "ids at successor"
WINDOW = "refuse for window"
WARM_UP_S = 2.0
LENGTH_S = 8.0
QUICK_LENGTH_S = 4.0
LOSS_EVERY_S = 0.25
REPEATED_SHARE = 0.01


def run(load: float, spec: RunSpec) -> Sequence[Sample]:
    """Measures the repeats of unknown outcome per loss and the cost per order."""
    fleet = PolicyFleet(spec.workload, spec.seed, hedge_burst=0.0)
    until = QUICK_LENGTH_S if spec.quick else LENGTH_S
    losses: list[int] = []

    def sample_loss() -> None:
        if WARM_UP_S <= fleet.clock.now <= until:
            open_requests = fleet.open_requests(0)
            losses.append(
                open_requests.running
                if spec.variant == AT_SUCCESSOR
                else open_requests.sent
            )

    fleet.clock.every(LOSS_EVERY_S, sample_loss)
    fleet.run(load, until)
    unknown = sum(losses) / len(losses)
    if spec.variant == WINDOW:
        rate = load * fleet.service.capacity / fleet.service.upstreams
        unknown += REPEATED_SHARE * rate * GuardSettings().window_s
    round_trip_ms = 2000 * spec.workload.between_zones_s
    added = round_trip_ms if spec.variant == AT_SUCCESSOR else 0.0
    return (
        Sample("unknown per loss", unknown, "repeats"),
        Sample("added to each order", added, "ms"),
    )


SCENARIOS = tuple(
    Scenario(
        f"owner-lost-{load:g}x", (TICKET, AT_SUCCESSOR, WINDOW), partial(run, load)
    )
    for load in (0.5, 0.9)
)
