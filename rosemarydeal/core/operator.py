"""Defines the platform objects that operators write, and their keys.

The configuration itself is described beside the settings that it holds.
"""

from __future__ import annotations

from dataclasses import dataclass

__all__ = [
    "CONFIG_KEY",
    "HISTORY_PREFIX",
    "UPSTREAMS_KEY",
    "ZONES_KEY",
    "OperatorUpstreams",
    "OperatorZones",
    "UpstreamDrain",
    "ZoneOut",
    "history_key",
]

CONFIG_KEY = "config/current"
HISTORY_PREFIX = "config/history/"
ZONES_KEY = "operator/zones"
UPSTREAMS_KEY = "operator/upstreams"

HISTORY_SLOTS = 10_000
HISTORY_DIGITS = 6


@dataclass(frozen=True, slots=True)
class ZoneOut:
    """Records that operators took an availability zone out.

    Attributes:
        availability_zone: Name of the zone.
        operator: Who took it out.
        time: When, as ISO 8601 in UTC.
        forced: Whether the load check was overruled.
        comment: Why, in the operator's words.
    """

    availability_zone: str
    operator: str
    time: str
    forced: bool = False
    comment: str = ""


@dataclass(frozen=True, slots=True)
class OperatorZones:
    """Is the content of `operator/zones`: the zones that get no new work."""

    out: tuple[ZoneOut, ...] = ()
    change_id: str = ""

    @property
    def names(self) -> frozenset[str]:
        """Returns the names of the zones that are out."""
        return frozenset(item.availability_zone for item in self.out)


@dataclass(frozen=True, slots=True)
class UpstreamDrain:
    """Records that operators drain an upstream."""

    upstream: str
    operator: str
    time: str
    comment: str = ""


@dataclass(frozen=True, slots=True)
class OperatorUpstreams:
    """Is the content of `operator/upstreams`: those that get no new work."""

    draining: tuple[UpstreamDrain, ...] = ()
    change_id: str = ""

    @property
    def names(self) -> frozenset[str]:
        """Returns the names of the upstreams that drain."""
        return frozenset(item.upstream for item in self.draining)


def history_key(version: int) -> str:
    """Returns the key under which a version of the configuration is kept.

    The platform can't delete objects, so a fixed number of keys is used in
    turn and the oldest version gives way.

    Args:
        version: Version of the configuration.

    Returns:
        The key.
    """
    return f"{HISTORY_PREFIX}{version % HISTORY_SLOTS:0{HISTORY_DIGITS}d}"
