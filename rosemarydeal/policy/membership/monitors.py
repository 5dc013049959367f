"""Chooses which peers a process pings often.

Load pattern: a fleet of hundreds in which every process pings every other one, so
that either the cost of a process or the time to notice a loss grows with the fleet.
Each process monitors a fixed number of peers instead, and is monitored by as many;
a monitor that gets no answer tells all processes, which then check for themselves.
"""

from __future__ import annotations

from bisect import bisect_left
from collections.abc import Sequence

__all__ = ["MONITORED_PEERS", "monitored_peers"]

# In a fleet that is not larger, every process monitors all others.
MONITORED_PEERS = 12


def monitored_peers(node: str, nodes: Sequence[str]) -> frozenset[str]:
    """Returns the peers that a process monitors.

    The peers are at geometrically growing distances on the ring of all names. A
    zone's processes are neighbours there, so most processes have monitors in
    several zones.

    Args:
        node: Name of the process's node.
        nodes: Names of all nodes, sorted, with or without this one.
    """
    others = [name for name in nodes if name != node]
    if len(others) <= MONITORED_PEERS:
        return frozenset(others)
    position = bisect_left(others, node)
    distances: list[int] = []
    for index in range(MONITORED_PEERS):
        grown = round(len(others) ** (index / (MONITORED_PEERS - 1))) - 1
        distances.append(max(grown, distances[-1] + 1 if distances else 0))
    return frozenset(others[(position + d) % len(others)] for d in distances)
