"""Follows what operators have taken out, by the objects that they write."""

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
    """Holds what operators have taken out, as far as this process knows.

    Attributes:
        zones: Availability zones that are out.
        upstreams: Upstreams that drain.
        zones_version: Version of the zones' object, 0 before the first.
        upstreams_version: Version of the upstreams' object, 0 before the first.
    """

    zones: OperatorZones = OperatorZones()
    upstreams: OperatorUpstreams = OperatorUpstreams()
    zones_version: int = 0
    upstreams_version: int = 0

    @property
    def versions(self) -> tuple[KnownVersion, ...]:
        """Returns the versions in force, as operators are told them."""
        return (
            KnownVersion(ZONES_KEY, self.zones_version),
            KnownVersion(UPSTREAMS_KEY, self.upstreams_version),
        )

    def excludes(self, place: Place) -> bool:
        """Says whether operators want no new work at a place."""
        zone_out = place.availability_zone in self.zones.names
        return zone_out or place.upstream in self.upstreams.names


def adopt_exclusions(
    current: OperatorExclusions, versioned: Versioned
) -> OperatorExclusions:
    """Takes in a newer version of one of the operators' objects.

    Args:
        current: What is in force.
        versioned: Any object as read.

    Returns:
        What is in force afterwards; unchanged for other objects, for older
        versions and for content that can't be understood.
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
    """Decodes an object, None if its content can't be understood."""
    try:
        return msgspec.json.decode(versioned.value, type=expected)
    except msgspec.DecodeError as error:
        _log.error("operators_object_malformed", key=versioned.key, detail=str(error))
        return None
