"""Keeps what this process has seen of each upstream's speed and failures."""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from rosemarydeal.core.requests import Answered, Ending, NotServed, Undecided

__all__ = ["UpstreamHealth"]

NEW_WEIGHT = 0.1
# Failures are forgotten over a few seconds, so that a mended upstream is tried.
FORGET_S = 3.0
FAILURE_WEIGHT = 0.25
SERVER_ERROR = 500
SPEED_RANGE = (0.3, 3.0)


@dataclass(slots=True)
class _Seen:
    """Is what was seen of one upstream."""

    failing: float = 0.0
    noted_at: float = 0.0
    pace: float = 1.0
    service: str = ""
    samples: int = field(default=0)


class UpstreamHealth:
    """Smooths failures and paces by node."""

    def __init__(self) -> None:
        self._seen: dict[str, _Seen] = {}

    def note(
        self, node: str, ending: Ending, rank: tuple[str, int], moment: float
    ) -> None:
        """Takes the ending of an attempt at a node."""
        seen = self._seen.setdefault(node, _Seen(noted_at=moment))
        failed = _failed(ending)
        if failed is None:
            return
        faded = self._faded(seen, moment)
        seen.failing = faded + FAILURE_WEIGHT * ((1.0 if failed else 0.0) - faded)
        seen.noted_at = moment
        seen.service = rank[0]
        if isinstance(ending, Answered) and ending.load is not None:
            seen.pace += NEW_WEIGHT * (ending.load.pace - seen.pace)

    def failing(self, node: str, moment: float) -> float:
        """Returns the share of a node's recent requests that failed."""
        seen = self._seen.get(node)
        return self._faded(seen, moment) if seen is not None else 0.0

    def mean_service_s(self, service: str) -> float:
        """Returns the mean pace of a service's upstreams, 1.0 as usual."""
        paces = [s.pace for s in self._seen.values() if s.service == service]
        return sum(paces) / len(paces) if paces else 1.0

    def speed(self, node: str, mean_pace: float) -> float:
        """Returns the speed of a node's upstream against the mean."""
        seen = self._seen.get(node)
        if seen is None or seen.pace <= 0:
            return 1.0
        low, high = SPEED_RANGE
        return min(high, max(low, mean_pace / seen.pace))

    def _faded(self, seen: _Seen, moment: float) -> float:
        """Returns the failing share, faded since it was noted."""
        return seen.failing * math.exp(-(moment - seen.noted_at) / FORGET_S)


def _failed(ending: Ending) -> bool | None:
    """Tells whether an ending speaks against the upstream; None for neither."""
    match ending:
        case Answered(status):
            return status >= SERVER_ERROR
        case NotServed(reached=reached):
            return True if reached else None
        case Undecided():
            return True
