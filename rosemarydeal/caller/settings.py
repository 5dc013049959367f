"""Defines the settings of a caller."""

from __future__ import annotations

from dataclasses import dataclass

from rosemarydeal.core import Address
from rosemarydeal.proxy import PoolSettings

__all__ = ["CallerSettings"]


@dataclass(frozen=True, slots=True)
class CallerSettings:
    """Says where a service is entered and how patient the caller is.

    Attributes:
        service: Service that is called.
        seeds: Entries to begin with, and to fall back to.
        tenant: Tenant on whose behalf requests are made, empty for none.
        deadline_s: Time for a request that sets none.
        attempts: Most times that a request is sent.
        backoff_s: First pause before sending again; it doubles each time.
        max_backoff_s: Longest pause before sending again.
        retry_share: Retries under overload, as a share of requests.
        retry_burst: Retries under overload that may come at once.
        routes_max_age_s: Age at which the routing table is asked for anew.
        routes_min_interval_s: Least time between two questions for the table.
        routes_timeout_s: Time for a question for the table.
        unreachable_s: Time for which an entry that refused a connection is left out.
        max_answer_bytes: Longest body of an answer.
        max_routes_bytes: Longest routing table.
        pool: Limits of the connections.
    """

    service: str
    seeds: tuple[Address, ...]
    tenant: str = ""
    deadline_s: float = 5.0
    attempts: int = 5
    backoff_s: float = 0.02
    max_backoff_s: float = 1.0
    retry_share: float = 0.1
    retry_burst: float = 10.0
    routes_max_age_s: float = 30.0
    routes_min_interval_s: float = 0.2
    routes_timeout_s: float = 2.0
    unreachable_s: float = 2.0
    max_answer_bytes: int = 67_108_864
    max_routes_bytes: int = 4_194_304
    pool: PoolSettings = PoolSettings()
