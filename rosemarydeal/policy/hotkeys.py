"""Finds the keys with the most load in bounded memory.

Uses the Misra-Gries summary with batched pruning. An estimate is never too high,
and too low by at most the total weight divided by the capacity.
"""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["HotKey", "HotKeySketch"]


@dataclass(frozen=True, slots=True)
class HotKey:
    """Hash of a key and its estimated weight."""

    digest: int
    weight: float


class HotKeySketch:
    """Estimated weights of the heaviest keys of a stream.

    Args:
        capacity: Number of keys that survive pruning; up to twice as many are held.
    """

    def __init__(self, capacity: int = 128) -> None:
        self._capacity = capacity
        self._weights: dict[int, float] = {}

    def __len__(self) -> int:
        """Returns the number of keys held."""
        return len(self._weights)

    def offer(self, digest: int, weight: float = 1.0) -> None:
        """Counts one request of a key.

        Args:
            digest: Hash of the key.
            weight: Cost of the request; every call must use the same unit.
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
        """Subtracts the largest weight beyond the capacity and drops the rest."""
        ordered = sorted(self._weights.values(), reverse=True)
        floor = ordered[self._capacity]
        self._weights = {
            key: weight - floor
            for key, weight in self._weights.items()
            if weight > floor
        }
