"""Estimates of how long a route's requests run and how long their answers are."""

from __future__ import annotations

from dataclasses import dataclass

from rosemarydeal.core.fleet import Route
from rosemarydeal.core.requests import Answered

from .choice import RequestProfile

__all__ = ["RequestProfiles"]

# Weight of a new measurement; averages over about the last twenty requests.
SMOOTHING_FACTOR = 0.05
# Running time assumed before the first answer, as a share of the route's target.
INITIAL_WORK_SHARE = 0.35
INITIAL_ANSWER_BYTES = 1000.0


@dataclass(slots=True)
class _Estimate:
    """Smoothed measurements of one route."""

    work_s: float
    answer_bytes: float


class RequestProfiles:
    """Request profiles by route."""

    def __init__(self) -> None:
        self._estimates: dict[str, _Estimate] = {}

    def profile(self, route: Route) -> RequestProfile:
        """Returns the current profile of a route's requests."""
        estimate = self._estimates.get(route.name)
        if estimate is None:
            return RequestProfile(
                INITIAL_WORK_SHARE * route.target_s,
                route.target_s,
                INITIAL_ANSWER_BYTES,
            )
        return RequestProfile(estimate.work_s, route.target_s, estimate.answer_bytes)

    def update(self, route: Route, answer: Answered, elapsed_s: float) -> None:
        """Adds an answer and the time that it took, including waiting."""
        slowdown = answer.load.slowdown if answer.load is not None else 1.0
        work_s = elapsed_s / max(0.1, slowdown)
        estimate = self._estimates.get(route.name)
        if estimate is None:
            self._estimates[route.name] = _Estimate(work_s, len(answer.body))
            return
        estimate.work_s += SMOOTHING_FACTOR * (work_s - estimate.work_s)
        estimate.answer_bytes += SMOOTHING_FACTOR * (
            len(answer.body) - estimate.answer_bytes
        )
