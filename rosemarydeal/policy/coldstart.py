"""Keeps load off an upstream in cold start, told or not told about it.

A cold upstream gets a small share of its slots, which grows to all of them
over the cold start's length. An upstream counts as cold when it starts, when
it breaks connections by itself, and when the average latency of its latest
answers, or the ages of the requests that it runs now, rise far over its own
history.
"""

from __future__ import annotations

from dataclasses import dataclass, replace

from .guard_interface import GuardSettings

__all__ = ["ColdStart", "record_latency", "detect", "share", "start_ramp"]

RECENT_ANSWERS = 32
MIN_HISTORY_ANSWERS = 50
HISTORY_GAIN = 0.01


@dataclass(frozen=True, slots=True)
class ColdStart:
    """Holds the ramp and the latency history of the upstream.

    Attributes:
        cold_since: Start of the ramp; None when warm.
        mean_latency: Average latency when warm, in seconds.
        answers: Answers that the average rests on.
        recent: Latencies of the latest answers, in seconds.
    """

    cold_since: float | None = None
    mean_latency: float = 0.0
    answers: int = 0
    recent: tuple[float, ...] = ()

    @property
    def has_history(self) -> bool:
        """Says whether the average rests on enough answers."""
        return self.answers >= MIN_HISTORY_ANSWERS


def start_ramp(cold: ColdStart, now: float) -> ColdStart:
    """Starts the ramp anew."""
    return replace(cold, cold_since=now, recent=())


def share(cold: ColdStart, settings: GuardSettings, now: float) -> float:
    """Returns the share of its slots that the upstream bears now."""
    if cold.cold_since is None:
        return 1.0
    if settings.cold_start_s <= 0:
        return 1.0
    elapsed_share = max(0.0, now - cold.cold_since) / settings.cold_start_s
    ramped_share = settings.cold_share + (1.0 - settings.cold_share) * elapsed_share
    return min(1.0, ramped_share)


def record_latency(
    cold: ColdStart, settings: GuardSettings, latency: float, now: float
) -> ColdStart:
    """Learns from an answer.

    Args:
        cold: What is known so far.
        settings: The guard's settings.
        latency: Seconds that the answer took.
        now: The moment, in seconds.

    Returns:
        What is known now.
    """
    if cold.cold_since is not None:
        if share(cold, settings, now) < 1.0:
            return cold
        cold = replace(cold, cold_since=None)
    gain = max(HISTORY_GAIN, 1.0 / (cold.answers + 1))
    mean = cold.mean_latency + gain * (latency - cold.mean_latency)
    recent = (*cold.recent, latency)[-RECENT_ANSWERS:]
    return replace(cold, mean_latency=mean, answers=cold.answers + 1, recent=recent)


def detect(
    cold: ColdStart,
    settings: GuardSettings,
    running: int,
    total_age_s: float,
    now: float,
) -> ColdStart:
    """Recognises an upstream gone cold by its latest answers and what runs.

    Args:
        cold: What is known so far.
        settings: The guard's settings.
        running: Requests that run.
        total_age_s: Sum of the seconds for which they have run.
        now: The moment, in seconds.

    Returns:
        What is known now.
    """
    enough_recent = len(cold.recent) == RECENT_ANSWERS
    if cold.cold_since is not None or not cold.has_history or not enough_recent:
        return cold
    expected_s = (RECENT_ANSWERS + running) * cold.mean_latency
    if sum(cold.recent) + total_age_s > settings.cold_latency_factor * expected_s:
        return start_ramp(cold, now)
    return cold
