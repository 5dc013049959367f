"""Builds fleet views and applies proposals to them."""

from __future__ import annotations

from dataclasses import replace

from features.builders import member
from rosemarydeal.policy.fleet import FleetView
from rosemarydeal.policy.interface import ChunkRead, WriteChunk
from rosemarydeal.policy.placement import propose

__all__ = ["ZONES", "fleet", "propose_until_stable", "apply_writes"]

ZONES = ("perth-a", "perth-b", "perth-c")


def fleet(slices: int = 192, count: int = 6, zones: int = 3, **changes) -> FleetView:
    """Builds a view of box-office with members spread over availability zones."""
    members = tuple(
        member(
            f"box-office-{number + 1}",
            ZONES[number % zones],
            witnesses=("w1", "w2", "w3"),
        )
        for number in range(count)
    )
    return FleetView("box-office", slices, members, {}, "box-office-1", **changes)


def apply_writes(view: FleetView, writes: tuple[WriteChunk, ...]) -> FleetView:
    """Applies the conditional updates whose expected version is current."""
    chunks = dict(view.chunks)
    for write in writes:
        current = chunks.get(write.chunk.number)
        if (current.version if current else 0) == write.expected_version:
            read = ChunkRead(write.expected_version + 1, write.chunk)
            chunks[write.chunk.number] = read
    return replace(view, chunks=chunks)


def propose_until_stable(view: FleetView, now: float = 0.0) -> FleetView:
    """Has every live member propose until no member proposes a change."""
    for _ in range(20):
        before = view
        for member_ in view.live().values():
            proposer_view = replace(view, self_node=member_.node)
            view = replace(apply_writes(view, propose(proposer_view, now, 1)))
        now += 2.0
        if view.chunks == before.chunks:
            return view
    raise AssertionError("the placement still changes after 20 rounds")
