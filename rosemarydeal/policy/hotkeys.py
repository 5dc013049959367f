"""Finds the keys that cause most load, in bounded memory.

The summary is that of Misra and Gries with batched pruning: an estimate is
never too high, and too low by at most the total weight over the capacity.
"""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["HotKey", "HotKeySketch"]


@dataclass(frozen=True, slots=True)
class HotKey:
    """Pairs the hash of a key with its estimated weight."""

    digest: int
    weight: float


class HotKeySketch:
    """Counts the weight of the heaviest keys of a stream.

    Args:
        capacity: Keys that are kept for certain; twice as many at the most.
    """

    def __init__(self, capacity: int = 128) -> None:
        self._capacity = capacity
        self._weights: dict[int, float] = {}

    def __len__(self) -> int:
        """Returns how many keys are kept now."""
        return len(self._weights)

    def offer(self, digest: int, weight: float = 1.0) -> None:
        """Counts one request of a key.

        Args:
            digest: Hash of the key.
            weight: What the request cost, in any unit used throughout.
        """
        weights = self._weights
        weights[digest] = weights.get(digest, 0.0) + weight
        if len(weights) > 2 * self._capacity:
            self._prune()

    def decay(self, factor: float) -> None:
        """Multiplies all weights, so that old requests count less."""
        self._weights = {key: weight * factor for key, weight in self._weights.items()}

    def top(self, count: int) -> tuple[HotKey, ...]:
        """Returns the heaviest keys, heaviest first."""
        ordered = sorted(self._weights.items(), key=lambda item: (-item[1], item[0]))
        return tuple(HotKey(digest, weight) for digest, weight in ordered[:count])

    def _prune(self) -> None:
        """Takes the next weight below the kept ones off all and drops the rest."""
        ordered = sorted(self._weights.values(), reverse=True)
        floor = ordered[self._capacity]
        self._weights = {
            key: weight - floor
            for key, weight in self._weights.items()
            if weight > floor
        }
