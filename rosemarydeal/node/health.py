"""Keeps what this process has seen of each upstream's failures."""

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

# Failures are forgotten over a few seconds, so that a mended upstream is tried.
DECAY_S = 3.0
# Weight of the newest ending: the last few requests count.
NEWEST_WEIGHT = 0.25
SERVER_ERROR = 500


@dataclass(frozen=True, slots=True)
class _FailureRecord:
    """Is the failing share of one upstream's requests, and when it was noted."""

    share: float
    updated_at: float


class UpstreamHealth:
    """Smooths failures by node."""

    def __init__(self) -> None:
        self._entries: dict[str, _FailureRecord] = {}

    def record(self, node: str, outcome: RequestOutcome, moment: float) -> None:
        """Takes the ending of an attempt at a node."""
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
    """Tells whether an ending speaks against the upstream; None for neither."""
    match outcome:
        case Answered(status):
            return status >= SERVER_ERROR
        case NotServed(reached=reached):
            return True if reached else None
        case OutcomeUnknown():
            return True
