"""Sends requests straight to the owners of their keys.

The caller sends a request again only when it certainly did not run. What may
have run comes back as unknown, with all that is needed to ask again.
"""

from __future__ import annotations

import random

from rosemarydeal.proxy import Pool

from .budget import RetryBudget
from .call import Call, Reply
from .exchange import CallerContext, Exchange
from .route_cache import RouteCache
from .route_fetcher import RouteFetcher
from .settings import CallerSettings

__all__ = ["Caller"]


class Caller:
    """Calls one service."""

    def __init__(self, settings: CallerSettings) -> None:
        rng = random.Random()
        pool = Pool(settings.pool)
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
        """Sends a request, again if it did not run, until its time is over.

        Args:
            call: The request.

        Returns:
            The outcome, with what is needed to send the request again.
        """
        return await Exchange(self._context, call).run()

    async def refresh_routes(self) -> None:
        """Asks for the routing table and waits for the reply."""
        await self._context.fetcher.refresh()

    async def close(self) -> None:
        """Closes the connections."""
        await self._context.fetcher.close()
        await self._context.pool.close()
