"""Decides when a second try of an idempotent request goes out beside the first.

The hedge goes out after a high quantile of the service's latency, within a
budget that is a share of the traffic, and only to an upstream that seems to
have a free slot. The slower try is cancelled.
"""

from __future__ import annotations

from dataclasses import dataclass, field, replace

from .entry_interface import EntrySettings
from .quantiles import Quantiles, add, quantile

__all__ = ["ServiceLatency", "note"]

ANSWERS_PER_REFRESH = 32


@dataclass(frozen=True, slots=True)
class ServiceLatency:
    """Holds the recent latencies of a service.

    Attributes:
        quantiles: The latencies.
        hedge_after: Seconds after which a hedge goes out; None: never yet.
        unseen: Answers since `hedge_after` was worked out.
    """

    quantiles: Quantiles = field(default_factory=Quantiles)
    hedge_after: float | None = None
    unseen: int = 0


def note(
    latency: ServiceLatency, seconds: float, settings: EntrySettings
) -> ServiceLatency:
    """Counts the latency of a try; cancelled ones count with their age."""
    quantiles = add(latency.quantiles, seconds)
    unseen = latency.unseen + 1
    if unseen < ANSWERS_PER_REFRESH:
        return replace(latency, quantiles=quantiles, unseen=unseen)
    after = quantile(quantiles, settings.hedge_quantile)
    return ServiceLatency(quantiles, after, 0)
