"""Decides until when a request may be passed on before a planned stop.

A process that is stopped cuts the connections that are still open at the end of its
grace period. The outcome of a request that runs at that moment is unknown to its
caller. A request is therefore passed on only if it is expected to be answered before
the cut; otherwise it is reported as not run, while that is true. This holds for the
process that the caller is connected to and for the one beside the upstream, so the
time until the first cut travels with the request.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

from rosemarydeal.core.requests import NotServed

__all__ = [
    "CODE_STOP_TOO_NEAR",
    "NO_STOP",
    "PlannedStop",
    "RequestTimes",
    "latest_start",
    "rejection",
]

CODE_STOP_TOO_NEAR = "stop-too-near"
# Time for an answer to get from the upstream to the caller, by way of another VM.
ANSWER_MARGIN_S = 0.2
# A restarted process is back after about 0.8 s.
RESTART_TIME_S = 0.8


@dataclass(frozen=True, slots=True)
class PlannedStop:
    """The planned stop of a process.

    Attributes:
        cut_at: When the connections that are still open are cut; infinite if no stop
            is planned.
    """

    cut_at: float = math.inf

    @property
    def planned(self) -> bool:
        """Returns whether the process is stopping."""
        return self.cut_at < math.inf

    def time_left_s(self, now: float) -> float | None:
        """Returns the time until the cut in seconds, None if no stop is planned."""
        return self.cut_at - now if self.planned else None

    def too_near(self, now: float) -> bool:
        """Returns whether not even an answer that is ready reaches its caller."""
        return now > self.cut_at - ANSWER_MARGIN_S


NO_STOP = PlannedStop()


@dataclass(frozen=True, slots=True)
class RequestTimes:
    """What is known of the end of a request.

    Attributes:
        high_s: High estimate of its service time; None without a measurement.
        deadline: Time at which it is answered in any case.
    """

    high_s: float | None
    deadline: float


def latest_start(cut_at: float, times: RequestTimes) -> float:
    """Returns until when a request may be passed on, infinite for any time.

    Args:
        cut_at: When the first process on its way cuts its connections.
        times: What is known of the end of the request.
    """
    answered_by = cut_at - ANSWER_MARGIN_S
    if times.deadline <= answered_by:
        return math.inf
    if times.high_s is None:
        return -math.inf
    return answered_by - times.high_s


def rejection(elsewhere: bool, time_left_s: float) -> NotServed:
    """Returns the outcome of a request that can't be answered before the cut.

    Args:
        elsewhere: Whether another process may answer it in time.
        time_left_s: Time for which its caller waits, in seconds.
    """
    retry_after_s = min(RESTART_TIME_S, max(0.0, time_left_s) / 3.0)
    return NotServed(CODE_STOP_TOO_NEAR, retry_after_s, elsewhere)
