"""Finds the node that owns a key, or its successor if the owner is unresponsive.

A route is only a hint: the guard that receives the request checks that it owns
the slice, and a rejection with a newer row corrects the route.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping

import immutables

from rosemarydeal.core import TOKEN_RANKS, Row, SliceId

from .node_stats import NodeStats

__all__ = ["merge_rows", "next_node", "ticket_for"]

NO_STATS = NodeStats()


def merge_rows(
    rows: immutables.Map[SliceId, Row], updates: Iterable[Row]
) -> immutables.Map[SliceId, Row]:
    """Replaces rows by newer versions; an older version is ignored."""
    for row in updates:
        known = rows.get(row.slice)
        if known is None or row.version > known.version:
            rows = rows.set(row.slice, row)
    return rows


def next_node(
    row: Row,
    preferred_node: str | None,
    stats_by_node: Mapping[str, NodeStats],
    rejected_by: frozenset[str],
    now: float,
) -> str | None:
    """Returns the node for the next attempt of a request.

    Args:
        row: The row of the slice.
        preferred_node: Node that serves the slice in the owner's place, if any.
        stats_by_node: Statistics of each node.
        rejected_by: Nodes that have rejected this request.
        now: Current time, in seconds.

    Returns:
        The first responsive node that has not rejected the request, else the first
        that has not rejected it; None if all have.
    """
    order = [i.node for i in row.succession]
    if preferred_node in order:
        order.insert(0, preferred_node)
    remaining = [node for node in order if node not in rejected_by]
    responsive = [
        n for n in remaining if stats_by_node.get(n, NO_STATS).unresponsive_until <= now
    ]
    return next(iter(responsive or remaining), None)


def ticket_for(row: Row, node: str) -> int | None:
    """Returns the ticket of a first attempt at a node, None if it isn't in the row."""
    for rank, incarnation in enumerate(row.succession):
        if incarnation.node == node:
            return row.version * TOKEN_RANKS + rank
    return None
