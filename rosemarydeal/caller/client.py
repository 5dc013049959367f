"""Sends requests straight to the owners of their keys.

The caller sends a request again only when it certainly did not run. What may
have run comes back as unknown, with all that is needed to ask again.
"""

from __future__ import annotations

import random

from rosemarydeal.proxy import Pool

from .budget import RetryBudget
from .call import Call, Reply
from .exchange import Exchange, Parts
from .routebook import RouteBook
from .routefinder import RouteFinder
from .settings import CallerSettings

__all__ = ["Caller"]


class Caller:
    """Calls one service."""

    def __init__(self, settings: CallerSettings) -> None:
        chance = random.Random()
        pool = Pool(settings.pool)
        book = RouteBook(settings.seeds, chance)
        self._parts = Parts(
            settings,
            pool,
            book,
            RouteFinder(settings, pool, book),
            RetryBudget(settings.retry_share, settings.retry_burst),
            chance,
        )

    @property
    def routes_version(self) -> int:
        """Returns the version of the routing table, -1 without one."""
        return self._parts.book.version

    async def send(self, call: Call) -> Reply:
        """Sends a request, again if it did not run, until its time is over.

        Args:
            call: The request.

        Returns:
            The outcome, with what is needed to send the request again.
        """
        return await Exchange(self._parts, call).run()

    async def refresh_routes(self) -> None:
        """Asks for the routing table and waits for the reply."""
        await self._parts.finder.refresh()

    async def close(self) -> None:
        """Closes the connections."""
        await self._parts.finder.close()
        await self._parts.pool.close()
