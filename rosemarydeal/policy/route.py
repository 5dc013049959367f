"""Finds the node that owns a key, and the next in succession when it is silent.

A route is only a hint: the guard that gets the request checks its own right,
and a refusal with a newer row corrects the route.
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
    """Takes rows in where they are newer; a route never goes back."""
    for row in updates:
        known = rows.get(row.slice)
        if known is None or row.version > known.version:
            rows = rows.set(row.slice, row)
    return rows


def next_node(
    row: Row,
    fallback_node: str | None,
    stats_by_node: Mapping[str, NodeStats],
    rejected_by: frozenset[str],
    now: float,
) -> str | None:
    """Returns the node to try next.

    Args:
        row: The row of the slice.
        fallback_node: Node that last answered in the owner's place, if any.
        stats_by_node: What was seen of each node.
        rejected_by: Nodes that refused this request already.
        now: The moment, in seconds.

    Returns:
        The first that neither refused nor is silent, else the first that did
        not refuse; None when all did.
    """
    order = [i.node for i in row.succession]
    if fallback_node in order:
        order.insert(0, fallback_node)
    remaining = [node for node in order if node not in rejected_by]
    responsive = [
        n for n in remaining if stats_by_node.get(n, NO_STATS).unresponsive_until <= now
    ]
    return next(iter(responsive or remaining), None)


def ticket_for(row: Row, node: str) -> int | None:
    """Returns the ticket of a first try at a node that a row names."""
    for rank, incarnation in enumerate(row.succession):
        if incarnation.node == node:
            return row.version * TOKEN_RANKS + rank
    return None
