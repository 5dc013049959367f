"""Tracks the state of the upstream beside this process.

The state follows from the upstream's announcements, its departure and failed
connections. Announcements that are older, come from a former incarnation or
name another service or address are ignored.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, replace
from enum import Enum, auto

import structlog

from rosemarydeal.core.clock import now
from rosemarydeal.core.fleet import Announcement, Departure, NodeIdentity

__all__ = ["CallResult", "UpstreamState", "UpstreamWatch"]

# An upstream that has missed three announcements and refuses a connection is
# gone; one that has missed nine is gone whatever its connections do.
SUSPECT_AFTER_PERIODS = 3.0
GONE_AFTER_PERIODS = 9.0

_log = structlog.get_logger()


class CallResult(Enum):
    """What became of an announcement or a departure.

    Attributes:
        APPLIED: It is the newest of the current incarnation.
        OUTDATED: It was acknowledged but changed nothing.
        FOREIGN: It came from another upstream and is rejected.
    """

    APPLIED = auto()
    OUTDATED = auto()
    FOREIGN = auto()


@dataclass(frozen=True, slots=True)
class UpstreamState:
    """State of the upstream.

    Attributes:
        announcement: Its last announcement.
        last_heartbeat_at: Time of its last announcement or departure.
        leaving_since: When it first announced that it leaves, None if it stays.
        alive: Whether it is considered to be running.
    """

    announcement: Announcement
    last_heartbeat_at: float
    leaving_since: float | None
    alive: bool

    @property
    def incarnation(self) -> str:
        """Returns the identifier of its incarnation."""
        return f"{self.announcement.instance}@{self.announcement.born_ms}"

    @property
    def accepting(self) -> bool:
        """Returns whether it accepts new requests."""
        return self.alive and self.leaving_since is None


class UpstreamWatch:
    """Keeps the state of the upstream and reports its changes."""

    def __init__(
        self,
        identity: NodeIdentity,
        on_change: Callable[[UpstreamState, UpstreamState | None], None],
    ) -> None:
        """Creates a watch without an upstream.

        Args:
            identity: This process.
            on_change: Called with the new and the previous state.
        """
        self._identity = identity
        self._on_change = on_change
        self._state: UpstreamState | None = None

    @property
    def state(self) -> UpstreamState | None:
        """Returns the state, None before the first announcement."""
        return self._state

    def is_current(self, incarnation: str) -> bool:
        """Returns whether an incarnation is the one that was announced last."""
        return self._state is not None and self._state.incarnation == incarnation

    def apply(self, call: Announcement | Departure) -> CallResult:
        """Applies an announcement or departure."""
        match call:
            case Announcement():
                return self._apply_announcement(call)
            case Departure():
                return self._apply_departure(call)

    def report_connect_failed(self) -> None:
        """Marks the upstream as gone, since it refused a connection."""
        state = self._state
        if state is not None and state.alive:
            _log.warning(
                "upstream_gone", incarnation=state.incarnation, reason="connect-failed"
            )
            self._update(
                UpstreamState(
                    state.announcement,
                    state.last_heartbeat_at,
                    state.leaving_since,
                    False,
                )
            )

    def report_leaving(self, incarnation: str) -> None:
        """Marks an incarnation as leaving, as it said so in an answer."""
        state = self._state
        if self.is_current(incarnation) and state.leaving_since is None:
            _log.info("upstream_leaving", incarnation=incarnation)
            self._update(replace(state, leaving_since=now()))

    def check_heartbeat(self) -> None:
        """Marks the upstream as gone if it has missed too many announcements."""
        state = self._state
        if state is None or not state.alive:
            return
        unresponsive_s = now() - state.last_heartbeat_at
        if unresponsive_s > GONE_AFTER_PERIODS * self._identity.announce_period_s:
            _log.warning(
                "upstream_gone",
                incarnation=state.incarnation,
                unresponsive_s=unresponsive_s,
            )
            self._update(
                UpstreamState(
                    state.announcement,
                    state.last_heartbeat_at,
                    state.leaving_since,
                    False,
                )
            )

    def _apply_announcement(self, new: Announcement) -> CallResult:
        """Applies an announcement unless it is old or another upstream's."""
        if new.service != self._identity.service or (
            new.address != self._identity.upstream
        ):
            _log.warning(
                "announcement_ignored",
                instance=new.instance,
                service=new.service,
                address=str(new.address),
            )
            return CallResult.FOREIGN
        state = self._state
        if state is not None:
            old = state.announcement
            same_incarnation = (old.instance, old.born_ms) == (
                new.instance,
                new.born_ms,
            )
            if new.born_ms < old.born_ms or (
                same_incarnation and new.sequence <= old.sequence
            ):
                return CallResult.OUTDATED
            if not same_incarnation:
                state = None
        leaving_since = state.leaving_since if state is not None else None
        if new.draining and leaving_since is None:
            leaving_since = now()
            _log.info("upstream_draining", instance=new.instance)
        self._update(UpstreamState(new, now(), leaving_since, True))
        return CallResult.APPLIED

    def _apply_departure(self, call: Departure) -> CallResult:
        """Applies a departure; changes nothing if the upstream already leaves."""
        state = self._state
        if state is None or state.announcement.instance != call.instance:
            return CallResult.OUTDATED
        if call.born_ms is not None and call.born_ms != state.announcement.born_ms:
            return CallResult.OUTDATED
        if state.leaving_since is None:
            _log.info("upstream_left", instance=call.instance)
            self._update(UpstreamState(state.announcement, now(), now(), state.alive))
        return CallResult.APPLIED

    def _update(self, state: UpstreamState) -> None:
        """Sets the state and reports the change."""
        old, self._state = self._state, state
        if old is None or old.incarnation != state.incarnation:
            _log.info(
                "upstream_known",
                instance=state.announcement.instance,
                born_ms=state.announcement.born_ms,
                cold_left_s=state.announcement.cold_left_s,
            )
        self._on_change(state, old)
