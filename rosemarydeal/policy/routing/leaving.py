"""Upstreams that leave, and what may still be sent to them.

Requests for the keys of a leaving upstream are accepted for a while, until the keys
have moved; new work must not reach it after the drain time. A process that has passed
on an answer that states the leaving keeps a record of its own: the process beside the
upstream may have restarted since, while the store was unavailable.
"""

from __future__ import annotations

__all__ = ["LeavingUpstreams", "may_accept", "may_dispatch"]

# Shares of the drain time for which requests are accepted and sent. Requests that
# wait are checked only a few times a second.
ACCEPT_SHARE = 0.5
DISPATCH_SHARE = 0.7


def may_accept(leaving_for_s: float, drain_s: float) -> bool:
    """Returns whether requests for the keys of a leaving upstream are accepted."""
    return leaving_for_s <= ACCEPT_SHARE * drain_s


def may_dispatch(leaving_for_s: float, drain_s: float) -> bool:
    """Returns whether accepted requests are still sent to a leaving upstream."""
    return leaving_for_s <= DISPATCH_SHARE * drain_s


class LeavingUpstreams:
    """The leaving incarnation of each node, and since when it is known."""

    def __init__(self) -> None:
        self._leaving: dict[str, tuple[str, float]] = {}

    def record(self, node: str, incarnation: str, now: float) -> None:
        """Records that an incarnation of a node's upstream leaves."""
        known = self._leaving.get(node)
        if known is None or known[0] != incarnation:
            self._leaving[node] = (incarnation, now)

    def retain(self, nodes: frozenset[str]) -> None:
        """Drops the records of all other nodes."""
        self._leaving = {n: r for n, r in self._leaving.items() if n in nodes}

    def leaving_for_s(self, node: str, incarnation: str, now: float) -> float | None:
        """Returns for how long an incarnation is known to leave, None if it is not."""
        known = self._leaving.get(node)
        if known is None or known[0] != incarnation:
            return None
        return now - known[1]
