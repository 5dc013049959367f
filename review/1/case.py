"""A process that wakes writes an outdated table of key ranges over a newer one.

While one machine is without power, the process that is to record this is frozen for
1.5 s. In the meantime two other owners hand hot keys over.
"""

from __future__ import annotations

import asyncio
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from common.deployment import Deployment, Machine, run, with_trouble

MACHINES = 4
# The site's `book-seat`: 160 ms of work, an aim of 500 ms, a deadline of 1,200 ms.
WORK_S = 0.16
AIM_MS = 500
DEADLINE_S = 1.2
# Many users: a quarter more than the 150 requests a second that the endpoints run.
PER_S = 190.0
# `hot_key`: a share of 0.45 of the traffic for 5 s.
HOT_SHARE = 0.45
HOT_S = 5.0
# `node_kill` with `power`: 3.5 s. `node_freeze`: 4 s.
POWER_AT_S, POWER_S = 1.7, 3.5
FREEZE_AT_S, FREEZE_S = 2.6, 1.45
CYCLES = 10
CYCLE_S = 9.5
LONGEST_S = 0.5


async def case(deployment: Deployment) -> int:
    """Returns 1 if two endpoints held the same keys for over half a second."""
    for machine in deployment.machines.values():
        machine.endpoint.work_s = WORK_S
    if not await deployment.wait_for(deployment.all_held, 20.0):
        deployment.record("the deployment did not start")
        return 2
    deployment.deadline_s = DEADLINE_S
    waking, dark, *hot = deployment.machines.values()
    deployment.load((1.0 - HOT_SHARE) * PER_S)
    await asyncio.sleep(3.0)
    for _ in range(CYCLES):
        began = time.monotonic()
        sending = asyncio.create_task(send_hot(deployment, hot))
        if with_trouble():
            await asyncio.sleep(POWER_AT_S)
            power = asyncio.create_task(lose_power(deployment, dark))
            await asyncio.sleep(FREEZE_AT_S - POWER_AT_S)
            deployment.signal(waking, signal.SIGSTOP)
            await asyncio.sleep(FREEZE_S)
            deployment.signal(waking, signal.SIGCONT)
            await power
        await asyncio.sleep(max(0.0, began + HOT_S - time.monotonic()))
        sending.cancel()
        await asyncio.sleep(began + CYCLE_S - time.monotonic())
        if deployment.longest_overlap_s() > LONGEST_S:
            break
    longest_s = deployment.longest_overlap_s()
    deployment.record(f"longest time with two holders: {longest_s:.2f} s")
    deployment.record(f"both began requests: {deployment.runs_of_both()}")
    return 1 if longest_s > LONGEST_S else 0


async def lose_power(deployment: Deployment, machine: Machine) -> None:
    """Takes the power from a machine for a while."""
    await machine.endpoint.stop()
    deployment.signal(machine, signal.SIGKILL)
    await machine.process.wait()
    await asyncio.sleep(POWER_S)
    await machine.endpoint.start()
    await deployment.start_process(machine)


async def send_hot(deployment: Deployment, hot: list[Machine]) -> None:
    """Sends much of the traffic to adjacent keys of two owners."""
    moment = time.monotonic()
    keys = []
    for machine in hot:
        held = machine.endpoint.held(moment)
        if held:
            widest = max(held, key=lambda hold: hold.last - hold.first)
            middle = (widest.first + widest.last) // 2
            keys.append(range(middle, min(widest.last, middle + 100)))
    pending = set()
    number = 0
    entries = list(deployment.machines.values())
    while keys:
        number += 1
        spot = keys[number % len(keys)]
        machine = entries[number % len(entries)]
        if machine.process.returncode is None:
            key = spot[number * 7 % len(spot)]
            task = asyncio.create_task(deployment.send(machine, key, "/lookup/2"))
            pending.add(task)
            task.add_done_callback(pending.discard)
        await asyncio.sleep(1.0 / (HOT_SHARE * PER_S))


if __name__ == "__main__":
    sys.exit(run(case, MACHINES, Path(__file__).resolve().parent, AIM_MS))
