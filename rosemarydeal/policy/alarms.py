"""Raises alarms for conditions of a process that need an operator's attention.

A condition has to hold for some time before it becomes an alarm, so that a restart
or a short outage raises none.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field

from immutables import Map

from rosemarydeal.core import Alarm, NodeStatus

__all__ = ["HOLD_S", "AlarmCode", "AlarmState", "alarms", "observe"]


class AlarmCode:
    """Codes of the alarms, which stay the same across releases."""

    NO_CONFIGURATION = "no-configuration"
    PLATFORM_UNREACHABLE = "platform-unreachable"
    UPSTREAM_DOWN = "upstream-down"
    NO_LEASE = "no-lease"
    OVERLOADED = "overloaded"
    CRASH_SUSPECTS = "crash-suspects"


HOLD_S = Map(
    {
        AlarmCode.NO_CONFIGURATION: 5.0,
        AlarmCode.PLATFORM_UNREACHABLE: 10.0,
        AlarmCode.UPSTREAM_DOWN: 5.0,
        AlarmCode.NO_LEASE: 5.0,
        AlarmCode.OVERLOADED: 30.0,
        AlarmCode.CRASH_SUSPECTS: 0.0,
    }
)


@dataclass(frozen=True, slots=True)
class AlarmState:
    """Conditions that hold at present.

    Attributes:
        since: Time at which each condition was first observed, by code.
        details: Description of each condition for operators, by code.
    """

    since: Map[str, float] = field(default_factory=Map)
    details: Map[str, str] = field(default_factory=Map)


def observe(state: AlarmState, status: NodeStatus, now: float) -> AlarmState:
    """Updates the conditions from the status of the process.

    It should be called about once a second.

    Args:
        state: The state before.
        status: Current status of the process.
        now: Current time, in seconds.

    Returns:
        The new state.
    """
    details = dict(_conditions(status))
    since = {code: state.since.get(code, now) for code in details}
    return AlarmState(Map(since), Map(details))


def alarms(state: AlarmState, now: float) -> tuple[Alarm, ...]:
    """Returns an alarm for each condition that has held for its time in `HOLD_S`.

    Args:
        state: The state.
        now: Current time, in seconds.

    Returns:
        The alarms, sorted by code.
    """
    return tuple(
        Alarm(code, state.details[code], now - since)
        for code, since in sorted(state.since.items())
        if now - since >= HOLD_S[code]
    )


def _conditions(status: NodeStatus) -> Iterator[tuple[str, str]]:
    """Yields the code and description of each condition that holds."""
    if status.config_version == 0:
        yield AlarmCode.NO_CONFIGURATION, "no configuration has been received"
    if not status.platform_reachable:
        detail = "the platform does not answer; the current state stays in force"
        yield AlarmCode.PLATFORM_UNREACHABLE, detail
    if not status.upstream_up:
        yield AlarmCode.UPSTREAM_DOWN, "the upstream accepts no requests"
    elif not status.lease_valid:
        yield AlarmCode.NO_LEASE, "too few witnesses grant this process a lease"
    if status.queued > 0 and status.running >= status.limit:
        detail = f"{status.queued} requests queued; all {status.limit} slots in use"
        yield AlarmCode.OVERLOADED, detail
    if status.suspects:
        detail = (
            f"{len(status.suspects)} requests are suspected of crashing an upstream"
        )
        yield AlarmCode.CRASH_SUSPECTS, detail
