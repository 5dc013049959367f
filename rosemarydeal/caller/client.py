"""Sends requests directly to the owners of their keys.

The caller retries a request only if it certainly did not run. A request that
may have run is returned with an unknown outcome and the fields needed to send
it again.
"""

from __future__ import annotations

import random
from dataclasses import replace

from rosemarydeal.core import headers as names
from rosemarydeal.proxy import Pool

from .budget import RetryBudget
from .call import Call, Reply
from .exchange import CallerContext, Exchange
from .route_cache import RouteCache
from .route_fetcher import RouteFetcher
from .settings import CallerSettings

__all__ = ["Caller"]


class Caller:
    """Client of one service."""

    def __init__(self, settings: CallerSettings) -> None:
        rng = random.Random()
        connection = replace(
            settings.pool.connection, identifying_header=names.IDEMPOTENCY_KEY
        )
        pool = Pool(replace(settings.pool, connection=connection))
        routes = RouteCache(settings.seeds, rng)
        self._context = CallerContext(
            settings,
            pool,
            routes,
            RouteFetcher(settings, pool, routes),
            RetryBudget(settings.retry_share, settings.retry_burst),
            rng,
        )

    @property
    def routes_version(self) -> int:
        """Returns the version of the routing table, -1 without one."""
        return self._context.routes.version

    async def send(self, call: Call) -> Reply:
        """Sends a request, and retries until its deadline while it did not run.

        Args:
            call: The request.

        Returns:
            The outcome, with the fields needed to send the request again.
        """
        return await Exchange(self._context, call).run()

    async def refresh_routes(self) -> None:
        """Fetches the routing table and waits until that is done."""
        await self._context.fetcher.refresh()

    async def close(self) -> None:
        """Cancels a running fetch of the routes and closes all connections."""
        await self._context.fetcher.close()
        await self._context.pool.close()
