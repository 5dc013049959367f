"""Decides which conditions of a process its operators should know of.

A condition has to hold for a while before it is an alarm, so that a restart
or a short outage wakes nobody.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field

from immutables import Map

from rosemarydeal.core import Alarm, NodeStatus

__all__ = ["HOLD_S", "AlarmCode", "AlarmState", "alarms", "observe"]


class AlarmCode:
    """Names the stable codes of alarms."""

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
    """Holds since when each condition holds.

    Attributes:
        since: Moment at which each present condition was first seen, by code.
        details: Sentence for people on each present condition, by code.
    """

    since: Map[str, float] = field(default_factory=Map)
    details: Map[str, str] = field(default_factory=Map)


def observe(state: AlarmState, status: NodeStatus, now: float) -> AlarmState:
    """Takes in the process's status; to be called every second or so.

    Args:
        state: The state before.
        status: The process's present status.
        now: The present moment, in seconds.

    Returns:
        The state after.
    """
    details = dict(_conditions(status))
    since = {code: state.since.get(code, now) for code in details}
    return AlarmState(Map(since), Map(details))


def alarms(state: AlarmState, now: float) -> tuple[Alarm, ...]:
    """Returns the conditions that have held for long enough.

    Args:
        state: The state.
        now: The present moment, in seconds.

    Returns:
        The alarms, sorted by code.
    """
    return tuple(
        Alarm(code, state.details[code], now - since)
        for code, since in sorted(state.since.items())
        if now - since >= HOLD_S[code]
    )


def _conditions(status: NodeStatus) -> Iterator[tuple[str, str]]:
    """Yields code and sentence of each condition that holds at this moment."""
    if status.config_version == 0:
        yield AlarmCode.NO_CONFIGURATION, "no configuration is known here"
    if not status.platform_reachable:
        detail = "the platform does not answer; what is in force stays so"
        yield AlarmCode.PLATFORM_UNREACHABLE, detail
    if not status.upstream_up:
        yield AlarmCode.UPSTREAM_DOWN, "the upstream takes no requests"
    elif not status.lease_valid:
        yield AlarmCode.NO_LEASE, "too few witnesses vouch for this process"
    if status.queued > 0 and status.running >= status.limit:
        detail = f"{status.queued} requests wait for {status.limit} places"
        yield AlarmCode.OVERLOADED, detail
    if status.suspects:
        detail = f"{len(status.suspects)} requests may crash an upstream"
        yield AlarmCode.CRASH_SUSPECTS, detail
