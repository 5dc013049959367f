"""Determines when a hedge, a second attempt of an idempotent request, is sent.

The hedge is sent after a high quantile of the service's latency, within a
budget that is a share of the traffic, and only to an upstream that is estimated
to have a free slot. The slower attempt is cancelled.
"""

from __future__ import annotations

from dataclasses import dataclass, field, replace

from .entry_interface import EntrySettings
from .quantiles import Quantiles, add, quantile

__all__ = ["ServiceLatency", "record_latency"]

ANSWERS_PER_REFRESH = 32


@dataclass(frozen=True, slots=True)
class ServiceLatency:
    """Recent latencies of a service.

    Attributes:
        quantiles: The latencies.
        hedge_after: Seconds after which a hedge is sent; None while there are too
            few samples.
        answers_since_refresh: Answers since `hedge_after` was last computed.
    """

    quantiles: Quantiles = field(default_factory=Quantiles)
    hedge_after: float | None = None
    answers_since_refresh: int = 0


def record_latency(
    latency: ServiceLatency, latency_s: float, settings: EntrySettings
) -> ServiceLatency:
    """Records the latency of an answered attempt."""
    quantiles = add(latency.quantiles, latency_s)
    answers_since_refresh = latency.answers_since_refresh + 1
    if answers_since_refresh < ANSWERS_PER_REFRESH:
        return replace(
            latency, quantiles=quantiles, answers_since_refresh=answers_since_refresh
        )
    hedge_after = quantile(quantiles, settings.hedge_quantile)
    return ServiceLatency(quantiles, hedge_after, 0)
