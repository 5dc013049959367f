"""Platform objects that operators write, and their keys.

The content of the configuration object is defined in `rosemarydeal.settings`.
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
    """Record of an availability zone that operators took out of service.

    Attributes:
        availability_zone: Name of the zone.
        operator: Who took it out.
        time: When it was taken out, as ISO 8601 in UTC.
        forced: Whether the load check was overridden.
        comment: The operator's reason.
    """

    availability_zone: str
    operator: str
    time: str
    forced: bool = False
    comment: str = ""


@dataclass(frozen=True, slots=True)
class OperatorZones:
    """Content of `operator/zones`: the zones that get no new work."""

    out: tuple[ZoneOut, ...] = ()
    change_id: str = ""

    @property
    def names(self) -> frozenset[str]:
        """Returns the names of the zones that are out of service."""
        return frozenset(item.availability_zone for item in self.out)


@dataclass(frozen=True, slots=True)
class UpstreamDrain:
    """Record of an upstream that operators drain."""

    upstream: str
    operator: str
    time: str
    comment: str = ""


@dataclass(frozen=True, slots=True)
class OperatorUpstreams:
    """Content of `operator/upstreams`: the upstreams that get no new work."""

    draining: tuple[UpstreamDrain, ...] = ()
    change_id: str = ""

    @property
    def names(self) -> frozenset[str]:
        """Returns the names of the draining upstreams."""
        return frozenset(item.upstream for item in self.draining)


def history_key(version: int) -> str:
    """Returns the key under which a version of the configuration is kept.

    The platform can't delete objects, so a fixed number of keys is reused in
    turn, and a new version overwrites the oldest one.

    Args:
        version: Version of the configuration.

    Returns:
        The key.
    """
    return f"{HISTORY_PREFIX}{version % HISTORY_SLOTS:0{HISTORY_DIGITS}d}"
