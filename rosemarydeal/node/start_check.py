"""Applies the calls of the upstream; asks the address if their sender is uncertain.

Load pattern: upstreams that restart while the time of day of their VM jumps, so that a
later incarnation states an earlier start, and announcements of former incarnations that
arrive seconds late.
"""

from __future__ import annotations

from collections.abc import Callable

import structlog

from rosemarydeal.core.fleet import Announcement, Departure
from rosemarydeal.platform.upstream import UpstreamCallFailed, UpstreamClient

from .upstream import CallResult, UpstreamWatch

__all__ = ["StartCheck"]

# An upstream waits a second for the answer to its announcement.
CHECK_TIMEOUT_S = 0.35

_log = structlog.get_logger()


class StartCheck:
    """Decides whether a call comes from the upstream that runs at the address."""

    def __init__(
        self,
        watch: UpstreamWatch,
        client: UpstreamClient,
        health_path: Callable[[], str],
    ) -> None:
        """Creates a check.

        Args:
            watch: State of the upstream.
            client: Client of the upstream.
            health_path: Returns the health path of the service.
        """
        self._watch = watch
        self._client = client
        self._health_path = health_path
        self._refused = 0

    @property
    def refused(self) -> int:
        """Returns how many calls were refused as unconfirmed."""
        return self._refused

    async def apply(self, call: Announcement | Departure) -> CallResult:
        """Applies a call; an unconfirmed one only if its instance answers."""
        result = self._watch.apply(call)
        if result is not CallResult.UNCONFIRMED:
            return result
        current = self._watch.state.announcement
        answering = ""
        if isinstance(call, Announcement) and call.instance != current.instance:
            answering = await self._answering_instance()
            unchanged = self._watch.is_current(current.incarnation)
            if answering == call.instance and (
                unchanged or self._watch.is_current(call.incarnation)
            ):
                result = self._watch.apply_confirmed(call)
        refused = result is CallResult.UNCONFIRMED
        self._refused += refused
        _log.warning(
            "start_unconfirmed" if refused else "start_taken",
            instance=call.instance,
            born_ms=call.born_ms,
            current=current.incarnation,
            answering=answering,
        )
        return result

    async def _answering_instance(self) -> str:
        """Returns the instance that answers at the address, "" if that is unknown."""
        try:
            return await self._client.identify(self._health_path(), CHECK_TIMEOUT_S)
        except UpstreamCallFailed as error:
            _log.info("start_check_failed", detail=error.detail)
            return ""
