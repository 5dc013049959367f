"""Measures the time a key is without an owner, against a lease in the platform.

Usage: python -m bench.unavailability [--runs 40] [--curve] [--scenario NAME]

It drives the ownership policy in the virtual world of the fuzz tests with fixed
seeds, so that runs are reproducible.
"""

from __future__ import annotations

import argparse
import sys
from collections.abc import Callable
from dataclasses import dataclass

from bench.platform_lease import PlatformLease, unserved_s
from features import ownership_proposer as proposer
from features.ownership_constants import KEYS, SERVICE, SLICES
from features.ownership_world import World, WorldSettings
from rosemarydeal.core import SliceId
from rosemarydeal.policy import interface as api
from rosemarydeal.policy import ownership
from rosemarydeal.policy.ownership import OwnershipSettings

__all__ = ["SCENARIOS", "Sample", "main", "measure", "quantile"]

SETTLING_S = 8.0
OUTAGE_LEAD_S = 5.0
OBSERVED_S = 8.0
STEP_S = 0.005
REQUEST_S = 0.02
KEY = KEYS[1]
LEASES_S = (0.75, 1.0, 1.5, 2.0, 3.0, 5.0)


@dataclass(frozen=True, slots=True)
class Sample:
    """Measurements of one run.

    Attributes:
        unserved_s: Time for which the observed key had no owner, in seconds.
        messages: Messages between processes, per node and second.
        calls: Platform writes, per node and second.
    """

    unserved_s: float
    messages: float
    calls: float


def _owner(world: World) -> str:
    """Returns the node that owns the observed key."""
    for (name, digest), (until, _) in world.oracle.ownerships.items():
        if digest == KEY and until > world.now:
            return name
    raise RuntimeError("no node owns the observed key after the settling time")


def _kill_owner(world: World) -> None:
    world.kill(_owner(world))


def _kill_zone(world: World) -> None:
    zone = world.nodes[_owner(world)].zone
    for name, node in world.nodes.items():
        if node.zone == zone:
            world.kill(name)


def _kill_owner_and_successor(world: World) -> None:
    owner = _owner(world)
    row = world.nodes[owner].state.row(SliceId(SERVICE, KEY % SLICES))
    world.kill(owner)
    world.kill(row.succession[1].node)


def _restart_gracefully(world: World) -> None:
    name = _owner(world)
    world.feed(name, world.nodes[name].run, api.DrainRequested())
    world.at(0.05, _finish_restart, world, name)


def _finish_restart(world: World, name: str) -> None:
    node = world.nodes[name]
    if not ownership.is_drained(node.state):
        world.at(0.05, _finish_restart, world, name)
        return
    world.feed(name, node.run, api.LeaveRequested())
    world.kill(name)
    world.start(name)


def _restart_all(world: World) -> None:
    for name in world.nodes:
        world.kill(name)
        world.start(name)


def _move(world: World) -> None:
    owner = _owner(world)
    names = sorted(world.nodes)
    shift = names.index(owner) + 1
    proposer.move(world, owner, SliceId(SERVICE, KEY % SLICES), shift)


def _outage(world: World) -> None:
    world.platform.down = True
    world.advance(OUTAGE_LEAD_S)


def _kill_owner_in_outage(world: World) -> None:
    _outage(world)
    _kill_owner(world)


SCENARIOS: dict[str, Callable[[World], None]] = {
    "lost VM": _kill_owner,
    "lost zone": _kill_zone,
    "graceful restart": _restart_gracefully,
    "planned move": _move,
    "loss in outage": _kill_owner_in_outage,
    "outage without loss": _outage,
    "restart of all": _restart_all,
    "owner and successor lost": _kill_owner_and_successor,
}


def measure(scenario: str, seed: int, policy: OwnershipSettings) -> Sample:
    """Runs one scenario once.

    Args:
        scenario: Name of the scenario.
        seed: Seed of the run.
        policy: Settings of the ownership policy.
    """
    settings = WorldSettings(
        nodes=9, latency_s=0.0015, requests_s=(REQUEST_S,), policy=policy
    )
    world = World(seed, settings)
    world.advance(SETTLING_S + world.random.uniform(0.0, 1.0))
    messages, calls = world.messages, world.platform_calls
    started_at = world.now
    SCENARIOS[scenario](world)
    unserved = 0.0
    while world.now < started_at + OBSERVED_S:
        world.advance(STEP_S)
        if not world.oracle.key_served(world, KEY):
            unserved += STEP_S
    node_seconds = (world.now - started_at) * len(world.nodes)
    return Sample(
        unserved,
        (world.messages - messages) / node_seconds,
        (world.platform_calls - calls) / node_seconds,
    )


def quantile(values: list[float], share: float) -> float:
    """Returns the quantile of some values at a share."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def _print_row(
    name: str, variant: str, values: list[float], extra_columns: str = ""
) -> None:
    print(
        f"| {name} | {variant} | {quantile(values, 0.5):.2f} "
        f"| {quantile(values, 0.99):.2f} | {max(values):.2f} {extra_columns}|",
        flush=True,
    )


def print_table(runs: int, names: list[str]) -> None:
    """Prints the table of scenarios, the witnessed lease against the baseline."""
    print("| scenario | variant | median s | p99 s | worst s | msg/s | writes/s |")
    print("|---|---|---|---|---|---|---|")
    for name in names:
        samples = [measure(name, seed, OwnershipSettings()) for seed in range(runs)]
        messages = sum(sample.messages for sample in samples) / runs
        calls = sum(sample.calls for sample in samples) / runs
        extra_columns = f"| {messages:.1f} | {calls:.2f} "
        _print_row(name, "witnessed", [s.unserved_s for s in samples], extra_columns)
        if name != "owner and successor lost":
            baseline = [unserved_s(PlatformLease(), name, s) for s in range(runs)]
            _print_row(name, "in platform", baseline, "| 0 | 2.50 ")


def print_curve(runs: int) -> None:
    """Prints the unserved time and the messages for several lease lengths."""
    print("| lease s | asked each s | lost VM median s | worst s | msg/s in peace |")
    print("|---|---|---|---|---|")
    for lease_s in LEASES_S:
        interval_s = lease_s * 0.4 / 1.5
        policy = OwnershipSettings(
            lease_s=lease_s, ask_interval_s=interval_s, silence_s=2.5 * interval_s
        )
        lost = [measure("lost VM", seed, policy).unserved_s for seed in range(runs)]
        idle_messages = measure("outage without loss", 0, policy).messages
        print(
            f"| {lease_s:.2f} | {interval_s:.2f} | {quantile(lost, 0.5):.2f} "
            f"| {max(lost):.2f} | {idle_messages:.1f} |",
            flush=True,
        )


def main(arguments: list[str]) -> int:
    """Prints the tables.

    Args:
        arguments: Command line arguments.
    """
    parser = argparse.ArgumentParser(prog="python -m bench.unavailability")
    parser.add_argument("--runs", type=int, default=40)
    parser.add_argument("--scenario", choices=list(SCENARIOS), action="append")
    parser.add_argument("--curve", action="store_true")
    options = parser.parse_args(arguments)
    if options.curve:
        print_curve(options.runs)
    else:
        print_table(options.runs, options.scenario or list(SCENARIOS))
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
