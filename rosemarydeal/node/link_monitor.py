"""Pings the peers and closes the links to those that do not answer.

A process pings only some peers often. It checks another one when a monitor of that
peer reports that it does not answer: a report alone is no evidence.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable

import structlog

from rosemarydeal.core.fleet import Revision

from .link import Link
from .messages import PeerUnresponsive

__all__ = ["LinkMonitor"]

PING_PERIOD_S = 0.6
# Two ping periods and a round trip: a shorter time gives false alarms.
UNRESPONSIVE_AFTER_S = 1.5
# One unanswered ping confirms a monitor's report.
CONFIRMED_AFTER_S = 0.5
# Period for the peers that this process does not monitor.
BACKGROUND_PING_PERIOD_S = 20.0

_log = structlog.get_logger()


class LinkMonitor:
    """Pings over links that are open."""

    def __init__(
        self,
        known_revisions: Callable[[], tuple[Revision, ...]],
        broadcast: Callable[[PeerUnresponsive], None],
    ) -> None:
        """Creates a monitor.

        Args:
            known_revisions: Returns the last known revision of each kind.
            broadcast: Sends a message to all reachable nodes.
        """
        self._known_revisions = known_revisions
        self._broadcast = broadcast

    async def run(self, link: Link) -> None:
        """Pings periodically until a link is closed; closes it without an answer."""
        loop = asyncio.get_running_loop()
        unanswered_since: float | None = None
        while not link.disconnected.is_set():
            if unanswered_since is None:
                unanswered_since = loop.time()
            link.ping(self._known_revisions())
            if await _is_set_within(link.disconnected, PING_PERIOD_S):
                return
            # After a pause of this process, answers are received before this runs.
            unanswered_s = loop.time() - unanswered_since
            if link.connection.last_received_at >= unanswered_since:
                unanswered_since = None
                link.reported = False
                if not link.monitored:
                    await _wait_for_check(link)
            elif unanswered_s > _patience_s(link):
                self._give_up(link, unanswered_s)
                await link.disconnected.wait()

    def _give_up(self, link: Link, unanswered_s: float) -> None:
        """Closes the link to a peer that does not answer, and tells the others."""
        _log.warning(
            "peer_unresponsive",
            peer=link.node,
            unanswered_s=round(unanswered_s, 3),
            monitored=link.monitored,
        )
        link.connection.abort()
        if link.monitored:
            self._broadcast(PeerUnresponsive(link.node))


def _patience_s(link: Link) -> float:
    """Returns how long a peer may leave pings unanswered, in seconds."""
    return CONFIRMED_AFTER_S if link.reported else UNRESPONSIVE_AFTER_S


async def _wait_for_check(link: Link) -> None:
    """Waits for the next ping of a peer that this process does not monitor."""
    period_s = BACKGROUND_PING_PERIOD_S * random.uniform(0.8, 1.2)
    await _is_set_within(link.check_requested, period_s)
    link.check_requested.clear()


async def _is_set_within(event: asyncio.Event, timeout_s: float) -> bool:
    """Waits for an event; returns whether it was set in time."""
    try:
        async with asyncio.timeout(timeout_s):
            await event.wait()
    except TimeoutError:
        return False
    return True
