"""Learns how long a route's requests run and how long their answers are."""

from __future__ import annotations

from dataclasses import dataclass

from rosemarydeal.core.fleet import Route
from rosemarydeal.core.requests import Answered

from .choice import RequestProfile

__all__ = ["RequestProfiles"]

# Weight of a new measurement: the last twenty requests count.
NEW_WEIGHT = 0.05
# Assumed of a route's work before its first answer, as a part of its target.
UNKNOWN_PART = 0.35
UNKNOWN_BYTES = 1000.0


@dataclass(slots=True)
class _Estimate:
    """Holds the smoothed figures of one route."""

    work_s: float
    answer_bytes: float


class RequestProfiles:
    """Keeps estimates by route."""

    def __init__(self) -> None:
        self._estimates: dict[str, _Estimate] = {}

    def profile(self, route: Route) -> RequestProfile:
        """Returns what is known of a route's requests."""
        known = self._estimates.get(route.name)
        if known is None:
            return RequestProfile(
                UNKNOWN_PART * route.target_s, route.target_s, UNKNOWN_BYTES
            )
        return RequestProfile(known.work_s, route.target_s, known.answer_bytes)

    def update(self, route: Route, answer: Answered, seconds: float) -> None:
        """Takes an answer and the time that it took, waiting included."""
        slowdown = answer.load.slowdown if answer.load is not None else 1.0
        work_s = seconds / max(0.1, slowdown)
        known = self._estimates.get(route.name)
        if known is None:
            self._estimates[route.name] = _Estimate(work_s, len(answer.body))
            return
        known.work_s += NEW_WEIGHT * (work_s - known.work_s)
        known.answer_bytes += NEW_WEIGHT * (len(answer.body) - known.answer_bytes)
