"""An endpoint goes down and up, and its machine's time of day jumps back meanwhile.

The endpoint's last start then has an earlier `born` than the one before. The process
acknowledges its heartbeats, ignores them, and goes on granting keys to it.
"""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from common.deployment import Deployment, Machine, run, with_trouble

MACHINES = 3
# `srv_flap`: "go down and up, period gap_s", 1.4 s for 6.5 s; here two turns.
PERIOD_S = 1.4
DOWN_S = 0.3
# `clock_step`: the time of day jumps by 2,400 ms on some machines.
JUMP_MS = 2_400
WATCHED_S = 22.0
LONGEST_S = 0.5


async def case(deployment: Deployment) -> int:
    """Returns 1 if two endpoints held the same keys for over half a second."""
    if not await deployment.wait_for(deployment.all_held, 20.0):
        deployment.record("the deployment did not start")
        return 2
    await asyncio.sleep(2.0)
    machine = deployment.machines["sidecar-2"]
    await restart(deployment, machine)
    await asyncio.sleep(PERIOD_S - DOWN_S)
    if with_trouble():
        machine.endpoint.clock_ms = -JUMP_MS
        deployment.record(f"{machine.name}: the time of day jumps by -{JUMP_MS} ms")
    await restart(deployment, machine)
    await asyncio.sleep(WATCHED_S)
    longest_s = deployment.longest_overlap_s()
    deployment.record(f"longest time with two holders: {longest_s:.2f} s")
    deployment.record(
        f"{machine.name}: {machine.endpoint.acknowledged} heartbeats of its last start "
        "were acknowledged"
    )
    return 1 if longest_s > LONGEST_S else 0


async def restart(deployment: Deployment, machine: Machine) -> None:
    """Takes an endpoint down and up again."""
    await machine.endpoint.stop()
    deployment.record(f"{machine.name}: the endpoint is down")
    await asyncio.sleep(DOWN_S)
    await machine.endpoint.start()
    endpoint = machine.endpoint
    deployment.record(
        f"{machine.name}: the endpoint is up as {endpoint.instance}, "
        f"born {endpoint.born}"
    )


if __name__ == "__main__":
    sys.exit(run(case, MACHINES, Path(__file__).resolve().parent))
