"""Keeps load off an upstream in cold start, told or not told about it.

A cold upstream gets a small share of its slots, which grows to all of them
over the cold start's length. An upstream counts as cold when it starts, when
it breaks connections by itself, and when its latency rises far over its own
history in several answers in a row or among the requests that it runs now.
"""

from __future__ import annotations

from dataclasses import dataclass, replace

from .guard_interface import GuardSettings

__all__ = ["ColdStart", "observe", "share", "turn_cold", "watch_running"]

SLOW_ANSWERS = 3
HISTORY_ANSWERS = 50
HISTORY_GAIN = 0.02


@dataclass(frozen=True, slots=True)
class ColdStart:
    """Holds the ramp and the latency history of the upstream.

    Attributes:
        cold_since: Start of the ramp; None when warm.
        usual_latency: Average latency when warm, in seconds.
        answers: Answers that the average rests on.
        slow_in_row: Latest answers that were far over the average.
    """

    cold_since: float | None = None
    usual_latency: float = 0.0
    answers: int = 0
    slow_in_row: int = 0

    @property
    def has_history(self) -> bool:
        """Says whether the average rests on enough answers."""
        return self.answers >= HISTORY_ANSWERS


def turn_cold(cold: ColdStart, now: float) -> ColdStart:
    """Starts the ramp anew."""
    return replace(cold, cold_since=now, slow_in_row=0)


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
    """Learns from an answer and recognises an upstream gone cold.

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
    slow = cold.has_history and latency > (
        cold.usual_latency * settings.cold_latency_factor
    )
    if slow:
        in_row = cold.slow_in_row + 1
        if in_row >= SLOW_ANSWERS:
            return turn_cold(cold, now)
        return replace(cold, slow_in_row=in_row)
    gain = max(HISTORY_GAIN, 1.0 / (cold.answers + 1))
    usual = cold.usual_latency + gain * (latency - cold.usual_latency)
    return replace(cold, usual_latency=usual, answers=cold.answers + 1, slow_in_row=0)


def watch_running(
    cold: ColdStart, settings: GuardSettings, started: tuple[float, ...], now: float
) -> ColdStart:
    """Recognises a cold upstream by requests that run for far too long.

    Args:
        cold: What is known so far.
        settings: The guard's settings.
        started: Moments at which the running requests were dispatched.
        now: The moment, in seconds.

    Returns:
        What is known now.
    """
    if cold.cold_since is not None or not cold.has_history:
        return cold
    limit = cold.usual_latency * settings.cold_latency_factor
    late = sum(1 for moment in started if now - moment > limit)
    if late >= SLOW_ANSWERS and 2 * late >= len(started):
        return turn_cold(cold, now)
    return cold
