"""Statistics of a node to which an entry sends requests.

The latency estimate includes open attempts with their age so far, as an estimate
from censored lifetimes does, so that a node that slows down is detected before
its first late answer. Observations lose weight exponentially with their age.
"""

from __future__ import annotations

from dataclasses import dataclass, replace

__all__ = [
    "NodeStats",
    "busy_estimate",
    "error_share",
    "latency_estimate",
    "record_end",
    "record_report",
    "record_start",
]

WINDOW_ANSWERS = 20.0
HALF_LIFE_S = 4.0
REPORT_HALF_LIFE_S = 0.5
PRIOR_ANSWERS = 2.0
ERROR_WEIGHT = 0.1


@dataclass(frozen=True, slots=True)
class NodeStats:
    """The entry's own observations of a node and the node's latest report.

    Attributes:
        open_attempts: Attempts that have not ended.
        start_time_sum: Sum of the times at which they started.
        total_time: Seconds that ended attempts took; decays with each answer.
        answers: Number of answers; decays with each answer.
        last_end_at: Time at which an attempt last ended.
        error_average: Moving average of failures over recent attempts.
        reported_busy: Requests of other entries at the node, from its report.
        reported_at: Time at which the report was made.
        unhealthy: Whether the node's health endpoint reported a fault.
        last_reply_at: Time of the node's last reply.
        unresponsive_until: Time until which the node counts as unresponsive.
    """

    open_attempts: int = 0
    start_time_sum: float = 0.0
    total_time: float = 0.0
    answers: float = 0.0
    last_end_at: float = 0.0
    error_average: float = 0.0
    reported_busy: float = 0.0
    reported_at: float = float("-inf")
    unhealthy: bool = False
    last_reply_at: float = float("-inf")
    unresponsive_until: float = 0.0


def record_start(stats: NodeStats, now: float) -> NodeStats:
    """Counts an attempt that is sent."""
    return replace(
        stats,
        open_attempts=stats.open_attempts + 1,
        start_time_sum=stats.start_time_sum + now,
    )


def record_end(
    stats: NodeStats, started_at: float, now: float, answered: bool, failed: bool
) -> NodeStats:
    """Counts the end of an attempt.

    Args:
        stats: The statistics so far.
        started_at: Time at which the attempt was sent.
        now: Current time, in seconds.
        answered: Whether an answer was received; otherwise only the attempt's
            duration is added.
        failed: Whether the attempt counts as a failure of the node.

    Returns:
        The updated statistics.
    """
    decay = max(0.0, 1.0 - 1.0 / WINDOW_ANSWERS) if answered else 1.0
    error_change = ERROR_WEIGHT * ((1.0 if failed else 0.0) - stats.error_average)
    return replace(
        stats,
        open_attempts=stats.open_attempts - 1,
        start_time_sum=stats.start_time_sum - started_at
        if stats.open_attempts > 1
        else 0.0,
        total_time=stats.total_time * decay + (now - started_at),
        answers=stats.answers * decay + (1.0 if answered else 0.0),
        last_end_at=now,
        error_average=stats.error_average
        + (error_change if answered or failed else 0.0),
    )


def record_report(
    stats: NodeStats, busy: int, now: float, age: float, unhealthy: bool
) -> NodeStats:
    """Records a load report unless a newer one is known."""
    made_at = now - age
    if made_at < stats.reported_at:
        return stats
    others = max(0.0, float(busy - stats.open_attempts))
    return replace(
        stats, reported_busy=others, reported_at=made_at, unhealthy=unhealthy
    )


def _decay_factor(elapsed_s: float, half_life_s: float) -> float:
    """Returns the weight of an observation after some time."""
    return 0.5 ** (max(0.0, elapsed_s) / half_life_s)


def latency_estimate(stats: NodeStats, mean_latency_s: float, now: float) -> float:
    """Estimates how long the node takes for a request, in seconds.

    Args:
        stats: Statistics of the node.
        mean_latency_s: Mean latency of the service, in seconds.
        now: Current time, in seconds.
    """
    weight = _decay_factor(now - stats.last_end_at, HALF_LIFE_S)
    open_time = stats.open_attempts * now - stats.start_time_sum
    total_time = stats.total_time * weight + open_time + PRIOR_ANSWERS * mean_latency_s
    return total_time / (stats.answers * weight + PRIOR_ANSWERS)


def busy_estimate(stats: NodeStats, now: float) -> float:
    """Estimates how many requests are in progress at the node."""
    weight = _decay_factor(now - stats.reported_at, REPORT_HALF_LIFE_S)
    return stats.open_attempts + stats.reported_busy * weight


def error_share(stats: NodeStats, now: float) -> float:
    """Returns the share of recent attempts that failed; it decays with time."""
    return stats.error_average * _decay_factor(now - stats.last_end_at, HALF_LIFE_S)
