"""Tracks the share of failed requests of each upstream."""

from __future__ import annotations

import math
from dataclasses import dataclass

from rosemarydeal.core.requests import (
    Answered,
    NotServed,
    OutcomeUnknown,
    RequestOutcome,
)

__all__ = ["UpstreamHealth"]

# Time constant of the decay, so that a recovered upstream is soon tried again.
DECAY_S = 3.0
# Weight of the newest outcome; only the last few requests matter.
NEWEST_WEIGHT = 0.25
SERVER_ERROR = 500


@dataclass(frozen=True, slots=True)
class _FailureRecord:
    """Share of one upstream's requests that failed, and the time of its last update."""

    share: float
    updated_at: float


class UpstreamHealth:
    """Smoothed failure shares by node."""

    def __init__(self) -> None:
        self._entries: dict[str, _FailureRecord] = {}

    def record(self, node: str, outcome: RequestOutcome, moment: float) -> None:
        """Records the outcome of an attempt at a node."""
        failed = _is_failure(outcome)
        if failed is None:
            return
        decayed = self.failure_share(node, moment)
        failure_share = decayed + NEWEST_WEIGHT * (float(failed) - decayed)
        self._entries[node] = _FailureRecord(failure_share, moment)

    def failure_share(self, node: str, moment: float) -> float:
        """Returns the share of a node's recent requests that failed."""
        entry = self._entries.get(node)
        if entry is None:
            return 0.0
        return entry.share * math.exp(-(moment - entry.updated_at) / DECAY_S)


def _is_failure(outcome: RequestOutcome) -> bool | None:
    """Returns whether an outcome counts as a failure; None if it counts as neither."""
    match outcome:
        case Answered(status):
            return status >= SERVER_ERROR
        case NotServed(reached=reached):
            return True if reached else None
        case OutcomeUnknown():
            return True
