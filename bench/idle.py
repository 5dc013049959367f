"""Measures the cost of whole router processes without requests.

All VMs of a small deployment run in one process on loopback, each with its
stand-in upstream. The slope over the number of VMs is the cost of one VM,
including sockets, encryption and announcements.
"""

from __future__ import annotations

import asyncio
import sys
import time
from dataclasses import dataclass
from pathlib import Path

from rosemarydeal.daemon import log
from rosemarydeal.demo.fleet import DeploymentFleet, FleetPlan

__all__ = ["IdleCosts", "measure_idle"]

NETWORK = 43
SETTLE_S = 20.0
MEASURE_S = 5.0


@dataclass(frozen=True, slots=True)
class IdleCosts:
    """Costs of a whole idle deployment, per second.

    Attributes:
        cpu: Processor time, in seconds.
        peer_bytes: Bytes sent to peers, without encryption and headers.
        platform_calls: Calls to the platform, long polls included.
    """

    cpu: float
    peer_bytes: float
    platform_calls: float


def measure_idle(vms: int) -> IdleCosts:
    """Measures an idle deployment with a number of VMs."""
    log.configure("error", sys.stderr)
    return asyncio.run(_measure(vms))


async def _measure(vms: int) -> IdleCosts:
    """Starts the deployment, waits until it has settled and measures it."""
    plan = FleetPlan(Path("examples/fremantle.json"), NETWORK, {"box-office": vms})
    fleet = DeploymentFleet(plan)
    await fleet.start()
    try:
        await asyncio.sleep(SETTLE_S)
        before = _counters(fleet)
        cpu = time.process_time()
        await asyncio.sleep(MEASURE_S)
        cpu = time.process_time() - cpu
        after = _counters(fleet)
    finally:
        await fleet.stop()
    sent, calls = (last - first for last, first in zip(after, before, strict=True))
    return IdleCosts(cpu / MEASURE_S, sent / MEASURE_S, calls / MEASURE_S)


def _counters(fleet: DeploymentFleet) -> tuple[int, int]:
    """Returns the bytes sent to peers and the calls to the platform so far."""
    links = [vm.process.peer_counters for vm in fleet.running()]
    sent = sum(link.sent_bytes for link in links)
    return sent, sum(fleet.platform.calls.values())
