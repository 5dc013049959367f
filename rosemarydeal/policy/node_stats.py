"""Keeps what an entry has seen of each node it sends requests to.

The latency estimate counts requests that are still out with their age, as for
lifetimes that are censored, so that a node that slows down shows before its
first late answer. What has not been seen for a while fades.
"""

from __future__ import annotations

from dataclasses import dataclass, replace

__all__ = [
    "NodeStats",
    "busy_estimate",
    "record_end",
    "error_share",
    "record_report",
    "latency_estimate",
    "record_start",
]

WINDOW_ANSWERS = 20.0
HALF_LIFE_S = 4.0
REPORT_HALF_LIFE_S = 0.5
PRIOR_ANSWERS = 2.0
ERROR_WEIGHT = 0.1


@dataclass(frozen=True, slots=True)
class NodeStats:
    """Holds own observations of a node, and its latest report.

    Attributes:
        open_attempts: Tries that have not ended.
        start_time_sum: Sum of the moments at which they started.
        total_time: Seconds that recent tries took, faded.
        answers: Recent answers, faded.
        last_end_at: Moment of the latest answer.
        error_average: Average of failures over recent tries.
        reported_busy: Requests of others that the node told of.
        reported_at: Moment that the report speaks of.
        unhealthy: Whether the node's health endpoint claims that it is ill.
        last_reply_at: Moment at which the node last replied.
        unresponsive_until: Moment until which the node counts as silent.
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
    """Counts a try that goes out."""
    return replace(
        stats,
        open_attempts=stats.open_attempts + 1,
        start_time_sum=stats.start_time_sum + now,
    )


def record_end(
    stats: NodeStats, started_at: float, now: float, answered: bool, failed: bool
) -> NodeStats:
    """Counts the end of a try.

    Args:
        stats: What was seen so far.
        started_at: Moment at which the try started.
        now: The moment, in seconds.
        answered: Whether an answer came; else only the time is counted.
        failed: Whether the node failed it.

    Returns:
        What was seen now.
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
    """Takes in a report, unless a newer one is known."""
    made_at = now - age
    if made_at < stats.reported_at:
        return stats
    others = max(0.0, float(busy - stats.open_attempts))
    return replace(
        stats, reported_busy=others, reported_at=made_at, unhealthy=unhealthy
    )


def _decay_factor(elapsed_s: float, half_life_s: float) -> float:
    """Returns the weight that something keeps after a while."""
    return 0.5 ** (max(0.0, elapsed_s) / half_life_s)


def latency_estimate(stats: NodeStats, mean_latency_s: float, now: float) -> float:
    """Estimates how long the node takes for a request, in seconds.

    Args:
        stats: What was seen of the node.
        mean_latency_s: Latency that is usual for the service, in seconds.
        now: The moment, in seconds.
    """
    weight = _decay_factor(now - stats.last_end_at, HALF_LIFE_S)
    open_time = stats.open_attempts * now - stats.start_time_sum
    total_time = stats.total_time * weight + open_time + PRIOR_ANSWERS * mean_latency_s
    return total_time / (stats.answers * weight + PRIOR_ANSWERS)


def busy_estimate(stats: NodeStats, now: float) -> float:
    """Estimates how many requests the node has in hand."""
    weight = _decay_factor(now - stats.reported_at, REPORT_HALF_LIFE_S)
    return stats.open_attempts + stats.reported_busy * weight


def error_share(stats: NodeStats, now: float) -> float:
    """Returns the share of recent tries that the node failed, faded."""
    return stats.error_average * _decay_factor(now - stats.last_end_at, HALF_LIFE_S)
