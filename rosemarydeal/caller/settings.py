"""Defines the settings of a caller."""

from __future__ import annotations

from dataclasses import dataclass

from rosemarydeal.core import Address
from rosemarydeal.proxy import PoolSettings

__all__ = ["CallerSettings"]


@dataclass(frozen=True, slots=True)
class CallerSettings:
    """Settings of a caller: entries of a service, time limits and retries.

    Attributes:
        service: Name of the service.
        seeds: Entries to start with, and to fall back to.
        tenant: Tenant on whose behalf requests are made, empty for none.
        deadline_s: Time for a call that sets no deadline of its own.
        attempts: Maximum number of attempts per call.
        pause_s: Delay before the first retry; it doubles with each retry.
        longest_pause_s: Maximum delay before a retry, unless Retry-After is longer.
        retry_share: Retries under overload, as a share of requests.
        retry_burst: Retries under overload that may be made at once.
        routes_age_s: Time after which the routing table is fetched again.
        routes_pause_s: Minimum time between two fetches of the table.
        routes_time_s: Timeout of a request for the table.
        silent_s: Time for which an entry is avoided after a failed connect.
        answer_bytes: Maximum size of an answer's body.
        routes_bytes: Maximum size of the encoded routing table.
        pool: Limits of the connection pool.
    """

    service: str
    seeds: tuple[Address, ...]
    tenant: str = ""
    deadline_s: float = 5.0
    attempts: int = 5
    pause_s: float = 0.02
    longest_pause_s: float = 1.0
    retry_share: float = 0.1
    retry_burst: float = 10.0
    routes_age_s: float = 30.0
    routes_pause_s: float = 0.2
    routes_time_s: float = 2.0
    silent_s: float = 2.0
    answer_bytes: int = 67_108_864
    routes_bytes: int = 4_194_304
    pool: PoolSettings = PoolSettings()
