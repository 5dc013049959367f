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

__all__ = ["ColdStart", "observe", "recognise", "share", "turn_cold"]

LATEST_ANSWERS = 32
HISTORY_ANSWERS = 50
HISTORY_GAIN = 0.01


@dataclass(frozen=True, slots=True)
class ColdStart:
    """Holds the ramp and the latency history of the upstream.

    Attributes:
        cold_since: Start of the ramp; None when warm.
        usual_latency: Average latency when warm, in seconds.
        answers: Answers that the average rests on.
        latest: Latencies of the latest answers, in seconds.
    """

    cold_since: float | None = None
    usual_latency: float = 0.0
    answers: int = 0
    latest: tuple[float, ...] = ()

    @property
    def has_history(self) -> bool:
        """Says whether the average rests on enough answers."""
        return self.answers >= HISTORY_ANSWERS


def turn_cold(cold: ColdStart, now: float) -> ColdStart:
    """Starts the ramp anew."""
    return replace(cold, cold_since=now, latest=())


def share(cold: ColdStart, settings: GuardSettings, now: float) -> float:
    """Returns the share of its slots that the upstream bears now."""
    if cold.cold_since is None:
        return 1.0
    if settings.cold_start_s <= 0:
        return 1.0
    passed = max(0.0, now - cold.cold_since) / settings.cold_start_s
    grown = settings.cold_share + (1.0 - settings.cold_share) * passed
    return min(1.0, grown)


def observe(
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
    usual = cold.usual_latency + gain * (latency - cold.usual_latency)
    latest = (*cold.latest, latency)[-LATEST_ANSWERS:]
    return replace(cold, usual_latency=usual, answers=cold.answers + 1, latest=latest)


def recognise(
    cold: ColdStart, settings: GuardSettings, running: int, ages_s: float, now: float
) -> ColdStart:
    """Recognises an upstream gone cold by its latest answers and what runs.

    Args:
        cold: What is known so far.
        settings: The guard's settings.
        running: Requests that run.
        ages_s: Sum of the seconds for which they have run.
        now: The moment, in seconds.

    Returns:
        What is known now.
    """
    full = len(cold.latest) == LATEST_ANSWERS
    if cold.cold_since is not None or not cold.has_history or not full:
        return cold
    usual = (LATEST_ANSWERS + running) * cold.usual_latency
    if sum(cold.latest) + ages_s > settings.cold_latency_factor * usual:
        return turn_cold(cold, now)
    return cold
