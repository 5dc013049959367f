"""Measures the load of the own upstream by slice and by hot key."""

from __future__ import annotations

from rosemarydeal.core import SliceId
from rosemarydeal.core.messages import SliceLoad
from rosemarydeal.policy.hotkeys import HotKeySketch
from rosemarydeal.policy.reporting import LocalLoad

__all__ = ["UpstreamLoadMeter"]

HOT_KEYS = 128
HOT_KEYS_PER_SLICE = 4


class UpstreamLoadMeter:
    """Sums the busy time of the upstream between two readings."""

    def __init__(self, now: float) -> None:
        self._reset(now)

    def add(self, slice_id: SliceId | None, digest: int, seconds: float) -> None:
        """Adds one finished request.

        Args:
            slice_id: Its slice, None for a service without keys.
            digest: Hash of its key.
            seconds: Its run time.
        """
        self._total_busy_s += seconds
        self._requests += 1
        if slice_id is None:
            return
        self._busy_s[slice_id] = self._busy_s.get(slice_id, 0.0) + seconds
        self._keys.offer(digest, seconds)
        self._slices_of_keys[digest] = slice_id

    def read(self, slots: int, now: float) -> LocalLoad:
        """Returns the load since the last reading and resets the meter.

        Args:
            slots: Number of requests that the upstream runs in parallel.
            now: Current time, in seconds.

        Returns:
            The load as a share of the slots, the load of each slice in busy slots,
            and the mean run time in seconds.
        """
        elapsed = max(1e-3, now - self._started_at)
        hot = self._hot_keys(elapsed)
        loads = tuple(
            SliceLoad(slice_id, busy_s / elapsed, hot.get(slice_id, ()))
            for slice_id, busy_s in sorted(self._busy_s.items())
        )
        mean = self._total_busy_s / self._requests if self._requests else 0.0
        load = LocalLoad(self._total_busy_s / elapsed / slots, loads, mean)
        self._reset(now)
        return load

    def _reset(self, now: float) -> None:
        """Starts a new period of measurement."""
        self._started_at = now
        self._busy_s: dict[SliceId, float] = {}
        self._keys = HotKeySketch(HOT_KEYS)
        self._slices_of_keys: dict[int, SliceId] = {}
        self._total_busy_s = 0.0
        self._requests = 0

    def _hot_keys(self, elapsed: float) -> dict[SliceId, tuple[tuple[int, float], ...]]:
        """Returns the keys with the highest load of each slice, with their loads."""
        hot: dict[SliceId, tuple[tuple[int, float], ...]] = {}
        for key in self._keys.top(HOT_KEYS):
            slice_id = self._slices_of_keys[key.digest]
            slice_keys = hot.get(slice_id, ())
            if len(slice_keys) < HOT_KEYS_PER_SLICE:
                hot[slice_id] = (*slice_keys, (key.digest, key.weight / elapsed))
        return hot
