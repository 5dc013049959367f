"""Finds links that pass nothing any more, by requests that wait for an answer.

Monitors ping some peers, and wait for 1.5 s before they give a link up, as a peer may
be paused. A link whose peer answers over another connection is silent for certain, and
is replaced at once: the requests on it are then settled or sent again before their
deadlines. As such faults strike many links, all others are checked after the first.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Mapping
from dataclasses import dataclass

import structlog

from rosemarydeal.core.fleet import Revision

from .frames import FrameConnection
from .link import Link
from .tasks import Tasks

__all__ = ["SilenceCheck"]

CHECK_PERIOD_S = 0.25
# A round trip to a peer that is busy; answers may also wait for each other.
ANSWER_WITHIN_S = 0.2
# Links that are pinged in a period since requests wait on them and nothing arrives.
# Most requests take longer than a period, so that this limits the cost.
MAX_PROBES = 2
# Answers on both connections may be read one after the other.
GRACE_S = 0.05
# New connections that are open at the same time for checks.
MAX_DETOURS = 32
# A peer that did not answer anywhere may be paused, and would be sent connections
# that it finds all at once.
RETEST_AFTER_S = 1.0

_log = structlog.get_logger()


@dataclass(frozen=True, slots=True)
class _Probe:
    """A ping on a link.

    Attributes:
        link: The link.
        connection: Its connection at that time.
        sent_at: When it was sent, by the event loop's clock.
    """

    link: Link
    connection: FrameConnection
    sent_at: float

    @property
    def answered(self) -> bool:
        """Returns whether something has arrived, or the connection was replaced."""
        replaced = self.link.connection is not self.connection
        return replaced or self.connection.last_received_at >= self.sent_at

    @property
    def congested(self) -> bool:
        """Returns whether the ping may still wait behind large messages."""
        return self.connection.unsent_bytes > 0 or self.link.sends_large_body


class SilenceCheck:
    """Checks the links of one process."""

    def __init__(
        self,
        links: Mapping[str, Link],
        known_revisions: Callable[[], tuple[Revision, ...]],
        answers_anew: Callable[[Link], Awaitable[bool]],
        tasks: Tasks,
    ) -> None:
        """Creates a check that does not run yet.

        Args:
            links: The links by node.
            known_revisions: Returns the last known revision of each kind.
            answers_anew: Returns whether a peer answers over a new connection.
            tasks: Run the checks over new connections.
        """
        self._links = links
        self._known_revisions = known_revisions
        self._answers_anew = answers_anew
        self._tasks = tasks
        self._probes: dict[str, _Probe] = {}
        self._tested: set[str] = set()
        self._detours = asyncio.Semaphore(MAX_DETOURS)
        self._found = 0

    @property
    def found(self) -> int:
        """Returns how many links were found to be silent."""
        return self._found

    async def run(self) -> None:
        """Checks periodically until cancelled."""
        while True:
            await asyncio.sleep(CHECK_PERIOD_S)
            self._check_probes()
            self._probe_waiting()

    def _check_probes(self) -> None:
        """Tests the links on which a ping is not answered."""
        due = asyncio.get_running_loop().time() - ANSWER_WITHIN_S
        for node, probe in list(self._probes.items()):
            if probe.sent_at > due:
                continue
            del self._probes[node]
            if not probe.answered and not probe.congested:
                self._tested.add(node)
                self._tasks.spawn("silence-test", self._test(probe))

    def _probe_waiting(self) -> None:
        """Pings links on which requests have waited for longest without any message."""
        due = asyncio.get_running_loop().time() - CHECK_PERIOD_S
        waiting: list[tuple[float, Link]] = []
        for link in self._links.values():
            sent_at = link.oldest_request_at
            if sent_at is None or sent_at > due or not link.up:
                continue
            if link.connection.last_received_at < sent_at:
                waiting.append((sent_at, link))
        waiting.sort(key=lambda entry: entry[0])
        for _, link in waiting[:MAX_PROBES]:
            self._probe(link)

    def _probe(self, link: Link) -> None:
        """Pings a link."""
        connection = link.connection
        if link.node in self._probes or link.node in self._tested:
            return
        if link.ping(self._known_revisions()):
            sent_at = asyncio.get_running_loop().time()
            self._probes[link.node] = _Probe(link, connection, sent_at)

    async def _test(self, probe: _Probe) -> None:
        """Closes a link if its peer answers over another connection alone."""
        try:
            async with self._detours:
                answers = await self._answers_anew(probe.link)
            await asyncio.sleep(GRACE_S if answers else RETEST_AFTER_S)
        finally:
            self._tested.discard(probe.link.node)
        if answers and not probe.answered:
            self._replace(probe)

    def _replace(self, probe: _Probe) -> None:
        """Closes a silent link, which is then opened anew, and checks all others."""
        _log.warning(
            "peer_link_silent",
            peer=probe.link.node,
            silent_s=round(
                asyncio.get_running_loop().time() - probe.connection.last_received_at, 3
            ),
            requests=len(probe.link.pending_requests),
        )
        self._found += 1
        probe.connection.abort()
        for link in self._links.values():
            if link.up:
                self._probe(link)
