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
FORGET_S = 3.0
# Weight of the newest ending: the last few requests count.
NEW_WEIGHT = 0.25
SERVER_ERROR = 500


@dataclass(frozen=True, slots=True)
class _Seen:
    """Is the failing share of one upstream's requests, and when it was noted."""

    failing: float
    noted_at: float


class UpstreamHealth:
    """Smooths failures by node."""

    def __init__(self) -> None:
        self._seen: dict[str, _Seen] = {}

    def note(self, node: str, ending: RequestOutcome, moment: float) -> None:
        """Takes the ending of an attempt at a node."""
        failed = _failed(ending)
        if failed is None:
            return
        faded = self.failing(node, moment)
        failing = faded + NEW_WEIGHT * (float(failed) - faded)
        self._seen[node] = _Seen(failing, moment)

    def failing(self, node: str, moment: float) -> float:
        """Returns the share of a node's recent requests that failed."""
        seen = self._seen.get(node)
        if seen is None:
            return 0.0
        return seen.failing * math.exp(-(moment - seen.noted_at) / FORGET_S)


def _failed(ending: RequestOutcome) -> bool | None:
    """Tells whether an ending speaks against the upstream; None for neither."""
    match ending:
        case Answered(status):
            return status >= SERVER_ERROR
        case NotServed(reached=reached):
            return True if reached else None
        case OutcomeUnknown():
            return True
