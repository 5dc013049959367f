"""Holds the availability zones and upstreams that operators exclude from new work."""

from __future__ import annotations

from dataclasses import dataclass, replace
from typing import TypeVar

import msgspec
import structlog

from rosemarydeal.core import (
    UPSTREAMS_KEY,
    ZONES_KEY,
    KnownVersion,
    OperatorUpstreams,
    OperatorZones,
    Place,
    Versioned,
)

__all__ = ["OperatorExclusions", "adopt_exclusions"]

_log = structlog.get_logger()

Exclusions = TypeVar("Exclusions", OperatorZones, OperatorUpstreams)


@dataclass(frozen=True, slots=True)
class OperatorExclusions:
    """Zones and upstreams excluded by operators, from the newest objects read.

    Attributes:
        zones: Excluded availability zones.
        upstreams: Upstreams that operators drain.
        zones_version: Version of the object of the zones, 0 before the first.
        upstreams_version: Version of the object of the upstreams, 0 before the first.
    """

    zones: OperatorZones = OperatorZones()
    upstreams: OperatorUpstreams = OperatorUpstreams()
    zones_version: int = 0
    upstreams_version: int = 0

    @property
    def versions(self) -> tuple[KnownVersion, ...]:
        """Returns the versions in force, as reported in the status."""
        return (
            KnownVersion(ZONES_KEY, self.zones_version),
            KnownVersion(UPSTREAMS_KEY, self.upstreams_version),
        )

    def excludes(self, place: Place) -> bool:
        """Returns whether operators exclude a place from new work."""
        zone_out = place.availability_zone in self.zones.names
        return zone_out or place.upstream in self.upstreams.names


def adopt_exclusions(
    current: OperatorExclusions, versioned: Versioned
) -> OperatorExclusions:
    """Applies a newer version of one of the operators' objects.

    Args:
        current: The exclusions in force.
        versioned: Any object as read.

    Returns:
        The new exclusions; the current ones for other objects, for versions that
        are not newer and for malformed content.
    """
    if versioned.key == ZONES_KEY and versioned.version > current.zones_version:
        zones = _decode(versioned, OperatorZones)
        if zones is not None:
            return replace(current, zones=zones, zones_version=versioned.version)
    if versioned.key == UPSTREAMS_KEY and versioned.version > current.upstreams_version:
        upstreams = _decode(versioned, OperatorUpstreams)
        if upstreams is not None:
            return replace(
                current, upstreams=upstreams, upstreams_version=versioned.version
            )
    return current


def _decode(versioned: Versioned, expected: type[Exclusions]) -> Exclusions | None:
    """Decodes an object, None if its content is malformed."""
    try:
        return msgspec.json.decode(versioned.value, type=expected)
    except msgspec.DecodeError as error:
        _log.error("operators_object_malformed", key=versioned.key, detail=str(error))
        return None
