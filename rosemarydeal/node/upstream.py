"""Tracks the state of the upstream beside this process.

The state follows from the upstream's announcements, its departure and failed
connections. Announcements that are older or name another service or address change
nothing.

Which of two incarnations is the later can't rest on their clocks alone, and a call may
arrive after its sender has ended. While the current incarnation may still run, another
one has to be confirmed: by the instance that answers at the address, or by several
periods in which the current incarnation announces nothing.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, replace
from enum import Enum, auto

import structlog

from rosemarydeal.core.clock import now
from rosemarydeal.core.fleet import Announcement, Departure, NodeIdentity

__all__ = ["FORMER_INCARNATIONS", "CallResult", "UpstreamState", "UpstreamWatch"]

# An upstream that has missed three announcements and refuses a connection is
# gone; one that has missed nine is gone whatever its connections do.
SUSPECT_AFTER_PERIODS = 3.0
GONE_AFTER_PERIODS = 9.0
# Calls of a former incarnation arrive seconds late at most.
FORMER_INCARNATIONS = 32
# An upstream lives on for many seconds at most after its departure. A departure that
# does not state its start is that of the life that announces itself next, until then.
EARLY_DEPARTURE_S = 30.0

_log = structlog.get_logger()


class CallResult(Enum):
    """What became of an announcement or a departure.

    Attributes:
        APPLIED: It is the newest of the current incarnation.
        OUTDATED: Its sender has replaced it by a newer one, or has ended before.
        UNCONFIRMED: It came from an incarnation that may not be the current one, and
            changed nothing.
        FOREIGN: It came from another upstream and is rejected.
    """

    APPLIED = auto()
    OUTDATED = auto()
    UNCONFIRMED = auto()
    FOREIGN = auto()


@dataclass(frozen=True, slots=True)
class _Candidate:
    """An unconfirmed incarnation.

    Attributes:
        announcement: Its last announcement.
        first_at: When its first one arrived.
    """

    announcement: Announcement
    first_at: float


@dataclass(frozen=True, slots=True)
class UpstreamState:
    """State of the upstream.

    Attributes:
        announcement: Its last announcement.
        last_heartbeat_at: Time of its last announcement or departure.
        leaving_since: When it first announced that it leaves, None if it stays.
        alive: Whether it is considered to be running.
        silent: Whether it is considered to be gone and may still run: it has only
            missed announcements, or keeps connections open.
        refused: Whether it has refused a connection.
        gone_at: When it was found to be gone, None while it runs.
    """

    announcement: Announcement
    last_heartbeat_at: float
    leaving_since: float | None
    alive: bool
    silent: bool = False
    refused: bool = False
    gone_at: float | None = None

    @property
    def incarnation(self) -> str:
        """Returns the identifier of its incarnation."""
        return self.announcement.incarnation

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
        is_connected: Callable[[], bool] = lambda: False,
    ) -> None:
        """Creates a watch without an upstream.

        Args:
            identity: This process.
            on_change: Called with the new and the previous state.
            is_connected: Returns whether the upstream keeps connections open.
        """
        self._identity = identity
        self._on_change = on_change
        self._is_connected = is_connected
        self._state: UpstreamState | None = None
        self._former: deque[str] = deque(maxlen=FORMER_INCARNATIONS)
        self._candidate: _Candidate | None = None
        # When incarnations first announced that they leave, also before they were
        # known: an acknowledgement binds whenever one becomes the current one.
        self._leaving: dict[str, float] = {}
        # Departures by instance of which the start is not known, with their times.
        self._departed_instances: dict[str, float] = {}

    @property
    def state(self) -> UpstreamState | None:
        """Returns the state, None before the first announcement."""
        return self._state

    def apply_settings(self, settings: NodeIdentity) -> None:
        """Applies changed settings."""
        self._identity = settings

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

    def apply_confirmed(self, call: Announcement) -> CallResult:
        """Applies an announcement whose instance answers at the address."""
        if self.is_current(call.incarnation):
            return self.apply(call)
        self._apply_new(call)
        return CallResult.APPLIED

    def report_connect_failed(self, incarnation: str) -> None:
        """Marks an incarnation as gone, since it refused a connection.

        One that has closed its listening socket completes its work first: it has ended
        once it keeps no connection open.
        """
        state = self._state
        if not self.is_current(incarnation) or not (state.alive or state.silent):
            return
        connected = self._is_connected()
        if connected and state.refused and not state.alive:
            return
        _log.warning(
            "upstream_gone",
            incarnation=incarnation,
            reason="connect-failed",
            connected=connected,
        )
        gone = replace(state, alive=False, silent=connected, refused=True)
        self._update(replace(gone, gone_at=now()))

    def report_unreachable(self, incarnation: str) -> None:
        """Marks an incarnation as gone that accepts no connection but may still run."""
        state = self._state
        if self.is_current(incarnation) and state.alive:
            _log.warning("upstream_gone", incarnation=incarnation, reason="unreachable")
            self._update(replace(state, alive=False, silent=True, gone_at=now()))

    def report_call_refused(self) -> None:
        """Marks the upstream as gone if it has missed announcements as well."""
        state = self._state
        if state is not None and self._missed_periods(state) > SUSPECT_AFTER_PERIODS:
            self.report_connect_failed(state.incarnation)

    def report_leaving(self, incarnation: str) -> None:
        """Marks an incarnation as leaving, as it said so in an answer."""
        state = self._state
        if self.is_current(incarnation) and state.leaving_since is None:
            _log.info("upstream_leaving", incarnation=incarnation)
            self._update(replace(state, leaving_since=self._note_leaving(incarnation)))

    def check_heartbeat(self) -> None:
        """Marks the upstream as gone if it has missed too many announcements.

        One that has refused connections has ended once its last connection has.
        """
        state = self._state
        if state is None:
            return
        if not state.alive:
            if state.silent and state.refused and not self._is_connected():
                self.report_connect_failed(state.incarnation)
            return
        if self._missed_periods(state) > GONE_AFTER_PERIODS:
            _log.warning(
                "upstream_gone",
                incarnation=state.incarnation,
                reason="silent",
                unresponsive_s=now() - state.last_heartbeat_at,
            )
            self._update(replace(state, alive=False, silent=True, gone_at=now()))

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
        if state is None or state.incarnation != new.incarnation:
            if state is not None and not self._is_later(new, state):
                return CallResult.UNCONFIRMED
        elif new.sequence <= state.announcement.sequence:
            return CallResult.OUTDATED
        self._apply_new(new)
        return CallResult.APPLIED

    def _is_later(self, new: Announcement, state: UpstreamState) -> bool:
        """Returns whether another incarnation has replaced the current one."""
        known = new.incarnation in self._former
        later = not known and new.born_ms > state.announcement.born_ms
        if later and not self._is_heard(state):
            return True
        candidate = self._candidate
        if candidate is None or candidate.announcement.incarnation != new.incarnation:
            self._candidate = _Candidate(new, now())
            return False
        if new.sequence <= candidate.announcement.sequence:
            return False
        self._candidate = replace(candidate, announcement=new)
        periods = (now() - candidate.first_at) / self._identity.announce_period_s
        return periods >= SUSPECT_AFTER_PERIODS

    def _is_heard(self, state: UpstreamState) -> bool:
        """Returns whether the upstream runs, judging by its announcements."""
        return state.alive and self._missed_periods(state) < SUSPECT_AFTER_PERIODS

    def _missed_periods(self, state: UpstreamState) -> float:
        """Returns the time since the last announcement, in periods."""
        return (now() - state.last_heartbeat_at) / self._identity.announce_period_s

    def _apply_new(self, new: Announcement) -> None:
        """Applies the newest announcement of the current incarnation."""
        self._candidate = None
        state = self._state
        if state is not None and state.incarnation != new.incarnation:
            self._former.append(state.incarnation)
            state = None
        if new.draining and new.incarnation not in self._leaving:
            self._note_leaving(new.incarnation)
            _log.info("upstream_draining", instance=new.instance)
        departed_at = self._departed_instances.pop(new.instance, -math.inf)
        if now() - departed_at < EARLY_DEPARTURE_S:
            self._leaving.setdefault(new.incarnation, departed_at)
        leaving_since = self._leaving.get(new.incarnation)
        self._update(UpstreamState(new, now(), leaving_since, True))

    def _apply_departure(self, call: Departure) -> CallResult:
        """Applies a departure; changes nothing if the upstream already leaves.

        A process that has just started may receive one before it knows the upstream.
        """
        state = self._state
        if state is None:
            _log.info("upstream_left", instance=call.instance, announced=False)
            if call.born_ms is None:
                self._departed_instances.setdefault(call.instance, now())
                _keep_latest(self._departed_instances)
            else:
                self._note_leaving(call.incarnation)
            return CallResult.APPLIED
        current = state.announcement
        if not call.is_from(current.incarnation):
            former = [known for known in self._former if call.is_from(known)]
            for incarnation in former:
                self._note_leaving(incarnation)
            return CallResult.OUTDATED if former else CallResult.UNCONFIRMED
        if state.leaving_since is None:
            _log.info("upstream_left", instance=call.instance, announced=True)
            leaving_since = self._note_leaving(current.incarnation)
            self._update(
                replace(state, last_heartbeat_at=now(), leaving_since=leaving_since)
            )
        return CallResult.APPLIED

    def _note_leaving(self, incarnation: str) -> float:
        """Notes that an incarnation leaves; returns since when."""
        leaving_since = self._leaving.setdefault(incarnation, now())
        _keep_latest(self._leaving)
        return leaving_since

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


def _keep_latest(times: dict[str, float]) -> None:
    """Bounds the number of entries; the first one is removed."""
    if len(times) > FORMER_INCARNATIONS:
        del times[next(iter(times))]
