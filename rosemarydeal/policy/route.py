"""Finds the node that owns a key, and the next in succession when it is silent.

A route is only a hint: the guard that gets the request checks its own right,
and a refusal with a newer row corrects the route.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping

import immutables

from rosemarydeal.core import TOKEN_RANKS, Row, SliceId

from .nodeview import NodeView

__all__ = ["learn", "next_node", "ticket_for"]

NEW_NODE = NodeView()


def learn(
    rows: immutables.Map[SliceId, Row], news: Iterable[Row]
) -> immutables.Map[SliceId, Row]:
    """Takes rows in where they are newer; a route never goes back."""
    for row in news:
        known = rows.get(row.slice)
        if known is None or row.version > known.version:
            rows = rows.set(row.slice, row)
    return rows


def next_node(
    row: Row,
    serving: str | None,
    views: Mapping[str, NodeView],
    refused: frozenset[str],
    now: float,
) -> str | None:
    """Returns the node to try next.

    Args:
        row: The row of the slice.
        serving: Node that last answered in the owner's place, if any.
        views: What was seen of each node.
        refused: Nodes that refused this request already.
        now: The moment, in seconds.

    Returns:
        The first that neither refused nor is silent, else the first that did
        not refuse; None when all did.
    """
    order = [i.node for i in row.succession]
    if serving in order:
        order.insert(0, serving)
    left = [node for node in order if node not in refused]
    heard = [n for n in left if views.get(n, NEW_NODE).silent_until <= now]
    return next(iter(heard or left), None)


def ticket_for(row: Row, node: str) -> int | None:
    """Returns the ticket of a first try at a node that a row names."""
    for rank, incarnation in enumerate(row.succession):
        if incarnation.node == node:
            return row.version * TOKEN_RANKS + rank
    return None
