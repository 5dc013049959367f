"""A process is killed while its last conditional write has no response yet.

The write hands keys over. The store carries it out 5 s later, as its condition still
holds. In the meantime the restarted process has granted the keys again.
"""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from common.deployment import Deployment, run, with_trouble

RANGES = "rosemarydeal-ranges"
# The site's pages: a write is carried out 1 to 6 s later.
LATE_S = 5.0
# A process is started again after a short delay.
RESTART_S = 0.6
LONGEST_S = 0.5
# As long as the site's longest entry `hot_key`, with as many keys.
HOT_S = 5.5
HOT_SHARE = 0.45
HOT_KEYS = range(5_000, 5_200)
PER_S = 60.0


async def case(deployment: Deployment) -> int:
    """Returns 1 if two endpoints held the same keys for over half a second."""
    if not await deployment.wait_for(deployment.all_held, 20.0):
        deployment.record("the deployment did not start")
        return 2
    deployment.load((1.0 - HOT_SHARE) * PER_S)
    await asyncio.sleep(2.0)
    held_back = asyncio.get_running_loop().create_future()

    def on_write(method: str, kind: str, name: str, content: dict) -> float | None:
        if kind != RANGES or method != "PUT" or held_back.done():
            return None
        giving = deployment.last_released(1.0)
        if giving is None:
            return None
        deployment.record(f"store: {giving} hands keys over")
        held_back.set_result(giving)
        return LATE_S if with_trouble() else None

    deployment.store.on_write = on_write
    # Adjacent keys are hot, and their owner hands some of them over.
    hot = asyncio.create_task(send_hot(deployment))
    try:
        giving = await asyncio.wait_for(held_back, HOT_S)
    except TimeoutError:
        deployment.record("no keys were handed over")
        return 2
    finally:
        hot.cancel()
    if with_trouble():
        machine = deployment.machines[giving]
        await deployment.kill_and_restart(machine, RESTART_S)
    await asyncio.sleep(14.0)
    longest_s = deployment.longest_overlap_s()
    deployment.record(f"longest time with two holders: {longest_s:.2f} s")
    deployment.record(f"both began requests: {deployment.runs_of_both()}")
    return 1 if longest_s > LONGEST_S else 0


async def send_hot(deployment: Deployment) -> None:
    """Sends much of the traffic to adjacent keys."""
    machines = list(deployment.machines.values())
    pending = set()
    number = 0
    while True:
        number += 1
        key = HOT_KEYS[number % len(HOT_KEYS)]
        sending = deployment.send(machines[number % len(machines)], key, "/lookup/2")
        task = asyncio.create_task(sending)
        pending.add(task)
        task.add_done_callback(pending.discard)
        await asyncio.sleep(1.0 / (HOT_SHARE * PER_S))


if __name__ == "__main__":
    sys.exit(run(case, 3, Path(__file__).resolve().parent))
