"""Estimates quantiles of recent latencies in bounded memory."""

from __future__ import annotations

from dataclasses import dataclass, field, replace
from math import ceil, log

import immutables

__all__ = ["Quantiles", "add", "quantile"]

MIN_LATENCY_S = 1e-4
BUCKET_RATIO = 1.1
LOG_RATIO = log(BUCKET_RATIO)
SAMPLES_MAX = 2000
SAMPLES_MIN = 50


@dataclass(frozen=True, slots=True)
class Quantiles:
    """Histogram of latencies, with buckets that grow by a constant ratio.

    Attributes:
        counts: Samples by bucket, halved each time the total reaches its limit.
        total: Samples in all buckets.
        mean: Moving average of the latencies, in seconds.
    """

    counts: immutables.Map[int, float] = field(default_factory=immutables.Map)
    total: float = 0.0
    mean: float = 0.0


def add(quantiles: Quantiles, latency: float) -> Quantiles:
    """Adds a latency in seconds."""
    bucket = ceil(log(max(latency, MIN_LATENCY_S) / MIN_LATENCY_S) / LOG_RATIO)
    counts = quantiles.counts
    counts = counts.set(bucket, counts.get(bucket, 0.0) + 1.0)
    total = quantiles.total + 1.0
    mean = quantiles.mean + (latency - quantiles.mean) / min(total, SAMPLES_MIN * 2)
    if total >= SAMPLES_MAX:
        counts = immutables.Map({b: n / 2 for b, n in counts.items() if n >= 1.0})
        total = sum(counts.values())
    return replace(quantiles, counts=counts, total=total, mean=mean)


def quantile(quantiles: Quantiles, share: float) -> float | None:
    """Returns the latency that a share of the samples doesn't exceed.

    Args:
        quantiles: The histogram.
        share: Share of the samples, from 0 to 1.

    Returns:
        The latency in seconds, None while there are too few samples.
    """
    if quantiles.total < SAMPLES_MIN:
        return None
    remaining = (1.0 - share) * quantiles.total
    for bucket in sorted(quantiles.counts, reverse=True):
        remaining -= quantiles.counts[bucket]
        if remaining < 0:
            return MIN_LATENCY_S * BUCKET_RATIO**bucket
    return MIN_LATENCY_S
