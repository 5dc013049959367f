"""Builds policy states of a given size and measures their cost."""

from __future__ import annotations

import random
import time
from dataclasses import dataclass
from pathlib import Path

from rosemarydeal.core import SliceId, Versioned
from rosemarydeal.daemon import objects
from rosemarydeal.peers import encode
from rosemarydeal.policy import control, guard, versions
from rosemarydeal.policy.hotkeys import HotKeySketch
from rosemarydeal.policy.interface import (
    ChunkRead,
    MemberRead,
    OwnershipGained,
    Send,
    Tick,
)
from rosemarydeal.settings import load_deployment

from .slopes_fleet import SERVICE, OwnerDrive, chunks, members

IDLE_S = 20.0


@dataclass(frozen=True, slots=True)
class Costs:
    """Costs of one run.

    Attributes:
        cpu: Processor time, in seconds per second or per operation.
        memory: Allocated memory, in bytes.
        traffic: Bytes to and from peers, per second.
        messages: Messages to and from peers, per second.
    """

    cpu: float = 0.0
    memory: float = 0.0
    traffic: float = 0.0
    messages: float = 0.0


def owner_with_fleet(nodes: int, slices: int) -> OwnerDrive:
    """Builds a node that has all members and holds a lease."""
    fleet = members(nodes)
    drive = OwnerDrive(fleet)
    drive.add_fleet()
    if slices:
        drive.add_rows(chunks(fleet, slices))
    return drive


def idle_owner_costs(nodes: int, slices: int) -> Costs:
    """Measures a node that holds a lease while nothing changes."""
    drive = owner_with_fleet(nodes, slices)
    drive.run(2.0)
    drive.traffic.size = drive.traffic.messages = 0
    started_at = time.process_time()
    drive.run(IDLE_S)
    cpu_s = time.process_time() - started_at
    return Costs(
        cpu=cpu_s / IDLE_S,
        traffic=drive.traffic.size / IDLE_S,
        messages=drive.traffic.messages / IDLE_S,
    )


def owner_with_rows(fleet: tuple, slices: int) -> OwnerDrive:
    """Builds a node that has all members and rows of a fleet."""
    drive = OwnerDrive(fleet)
    drive.add_fleet()
    drive.add_rows(chunks(fleet, slices))
    return drive


def proposer_cpu(nodes: int) -> float:
    """Returns the processor time of an idle proposer, in s/s."""
    fleet = members(nodes)
    slices = 64 * nodes
    settings = control.ControlSettings(SERVICE, slices)
    state = control.start(settings, fleet[0].node, 1)
    for member in fleet:
        state, _ = control.step(state, MemberRead(1, member), 0.0)
    for chunk in chunks(fleet, slices):
        state, _ = control.step(state, ChunkRead(1, chunk), 0.0)
    now = 30.0
    for _ in range(50):
        now += 0.1
        state, _ = control.step(state, Tick(), now)
    started_at = time.process_time()
    steps = 200
    for _ in range(steps):
        now += 0.1
        state, _ = control.step(state, Tick(), now)
    return (time.process_time() - started_at) / (steps * 0.1)


def version_exchange_costs(nodes: int) -> Costs:
    """Measures the exchange of versions of one process while nothing changes."""
    fleet = members(nodes)
    first = fleet[0]
    settings = versions.VersionsSettings()
    state = versions.start(settings, first.node, first.place, 0.0, 1)
    state = versions.set_peers(state, fleet)
    for member in fleet:
        key = objects.member_key(member.node)
        record = Versioned(key, 1, objects.encode(member))
        state, _ = versions.add_record(state, record)
    now, sent = 10.0, 0
    for _ in range(40):
        now += 0.25
        state, _ = versions.on_tick(state, now)
    started_at = time.process_time()
    for _ in range(400):
        now += 0.25
        state, actions = versions.on_tick(state, now)
        for action in actions:
            if isinstance(action, Send):
                sent += len(encode(first.node, action.message))
    cpu_s = time.process_time() - started_at
    return Costs(cpu=2 * cpu_s / 100.0, traffic=2 * sent / 100.0)


def guard_with_ids(ids: int) -> guard.GuardState:
    """Builds a guard with a number of finished orders in its ledger."""
    settings = guard.GuardSettings(slots=100_000, cold_start_s=0.0, window_s=3600.0)
    state = guard.start(settings, 0.0, 1)
    slice_id = SliceId(SERVICE, 1)
    state, _ = guard.step(state, guard.UpstreamStarted(False), 0.0)
    state, _ = guard.step(state, OwnershipGained(slice_id, 256), 0.0)
    for number in range(ids):
        state = run_order(state, slice_id, number, 1.0 + number * 1e-3)
    return state


def run_order(
    state: guard.GuardState, slice_id: SliceId, number: int, now: float
) -> guard.GuardState:
    """Passes one order through a guard."""
    arrived = guard.RequestArrived(
        number, f"order-{number:032d}", number, "families", slice_id, False, now + 5.0
    )
    state, _ = guard.step(state, arrived, now)
    answered = guard.UpstreamAnswered(arrived.request_id, 200, 200, 0.001)
    state, _ = guard.step(state, answered, now + 0.001)
    return state


def guard_cpu(ids: int) -> float:
    """Returns the processor time per order of a guard with many ids, in seconds."""
    state = guard_with_ids(ids)
    slice_id = SliceId(SERVICE, 1)
    count = 2_000
    started_at = time.process_time()
    for number in range(ids, ids + count):
        state = run_order(state, slice_id, number, 1.0 + number * 1e-3)
    return (time.process_time() - started_at) / count


def filled_sketch(keys: int) -> HotKeySketch:
    """Builds a sketch that has counted many keys."""
    filled_sketch = HotKeySketch()
    rng = random.Random(1)
    for _ in range(keys):
        filled_sketch.offer(rng.getrandbits(62))
    return filled_sketch


def deployment(branches: int) -> str:
    """Returns a deployment file with settings for many upstreams."""
    text = Path("examples/fremantle.json").read_text("utf-8")
    upstreams = ", ".join(
        f'"box-office-{n}": {{"settings": {{"limits": {{"slots": {8 + n % 8}}}}}}}'
        for n in range(branches)
    )
    zone = '"perth-a": {'
    if zone not in text:
        raise ValueError("the example has no zone perth-a")
    comma = "" if text.split(zone, 1)[1].lstrip().startswith("}") else ", "
    return text.replace(zone, f'{zone}"upstreams": {{{upstreams}}}{comma}', 1)


def load_file(branches: int) -> None:
    """Loads a deployment file as a process does on each change."""
    settings, problems = load_deployment(deployment(branches), "slopes.json")
    if settings is None:
        raise ValueError(str(problems[0]))
