"""Reduced load for an upstream in cold start, announced or detected.

A cold upstream gets a small share of its slots, which grows linearly to all of
them over the duration of the cold start. An upstream counts as cold when it
starts, when it closes connections with requests in flight, and when the latency
of its recent answers plus the age of its running requests exceeds its own
history by a configured factor.
"""

from __future__ import annotations

from dataclasses import dataclass, replace

from .guard_interface import GuardSettings

__all__ = [
    "ColdStart",
    "detect",
    "record_latency",
    "share",
    "start_ramp",
]

RECENT_ANSWERS = 32
MIN_HISTORY_ANSWERS = 50
HISTORY_GAIN = 0.01


@dataclass(frozen=True, slots=True)
class ColdStart:
    """Ramp and latency history of the upstream.

    Attributes:
        cold_since: Start of the ramp; None if the upstream is warm.
        mean_latency: Moving average of latency when warm, in seconds.
        answers: Answers included in the average.
        recent: Latencies of the most recent answers, in seconds.
    """

    cold_since: float | None = None
    mean_latency: float = 0.0
    answers: int = 0
    recent: tuple[float, ...] = ()

    @property
    def has_history(self) -> bool:
        """Returns whether the average includes enough answers for a comparison."""
        return self.answers >= MIN_HISTORY_ANSWERS


def start_ramp(cold: ColdStart, now: float) -> ColdStart:
    """Restarts the ramp."""
    return replace(cold, cold_since=now, recent=())


def share(cold: ColdStart, settings: GuardSettings, now: float) -> float:
    """Returns the share of its slots that the upstream may use now."""
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
    """Adds an answer to the history; ignores it during the ramp.

    Args:
        cold: Ramp and history.
        settings: The guard's settings.
        latency: Latency of the answer, in seconds.
        now: The current time, in seconds.

    Returns:
        The updated ramp and history.
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
    """Starts the ramp if recent and running requests are slower than the history.

    Args:
        cold: Ramp and history.
        settings: The guard's settings.
        running: Requests that are running.
        total_age_s: Sum of the seconds for which they have been running.
        now: The current time, in seconds.

    Returns:
        The updated ramp and history.
    """
    enough_recent = len(cold.recent) == RECENT_ANSWERS
    if cold.cold_since is not None or not cold.has_history or not enough_recent:
        return cold
    expected_s = (RECENT_ANSWERS + running) * cold.mean_latency
    if sum(cold.recent) + total_age_s > settings.cold_latency_factor * expected_s:
        return start_ramp(cold, now)
    return cold
