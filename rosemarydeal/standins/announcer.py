"""Periodic announcements of a stand-in upstream to its router process."""

from __future__ import annotations

import asyncio

import msgspec

from rosemarydeal.core import Address
from rosemarydeal.daemon.upstream import Announcement
from rosemarydeal.proxy import BytesBody, Pool, PoolSettings, ProxyError, Request

from .upstream import StandInUpstream

__all__ = ["Announcer"]

HEARTBEAT_PERIOD_S = 0.5
ANNOUNCE_TIMEOUT_S = 1.0


class Announcer:
    """Sends the announcements of one upstream until cancelled."""

    def __init__(
        self, upstream: StandInUpstream, admin: Address, token: str | None = None
    ) -> None:
        self._upstream = upstream
        self._admin = admin
        self._token = token
        self._leaving = False
        self._pool = Pool(PoolSettings())

    def announce_leaving(self) -> None:
        """Marks the upstream as leaving in all later announcements."""
        self._leaving = True

    async def run(self) -> None:
        """Announces the upstream while it serves, until cancelled."""
        try:
            while True:
                if self._upstream.serving:
                    await self._announce()
                await asyncio.sleep(HEARTBEAT_PERIOD_S)
        finally:
            await self._pool.close()

    async def _announce(self) -> None:
        """Sends one announcement; a failed one is followed by the next heartbeat."""
        announcement = Announcement(
            self._upstream.incarnation, self._upstream.cold, self._leaving
        )
        body = msgspec.json.encode(announcement)
        headers = [(b"host", str(self._admin).encode("ascii"))]
        headers.append((b"content-length", b"%d" % len(body)))
        if self._token is not None:
            headers.append((b"authorization", b"Bearer " + self._token.encode("utf-8")))
        request = Request(
            b"POST", b"/upstream", tuple(headers), BytesBody(body), self._admin
        )
        try:
            response = await self._pool.send(self._admin, request, ANNOUNCE_TIMEOUT_S)
            await response.aclose()
        except ProxyError:
            return
