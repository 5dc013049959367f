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

__all__ = ["OperatorOrders", "adopt_orders"]

_log = structlog.get_logger()

Orders = TypeVar("Orders", OperatorZones, OperatorUpstreams)


@dataclass(frozen=True, slots=True)
class OperatorOrders:
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

    def wants_out(self, place: Place) -> bool:
        """Says whether operators want no new work at a place."""
        zone_out = place.availability_zone in self.zones.names
        return zone_out or place.upstream in self.upstreams.names


def adopt_orders(current: OperatorOrders, found: Versioned) -> OperatorOrders:
    """Takes in a newer version of one of the operators' objects.

    Args:
        current: What is in force.
        found: Any object as read.

    Returns:
        What is in force afterwards; unchanged for other objects, for older
        versions and for content that can't be understood.
    """
    if found.key == ZONES_KEY and found.version > current.zones_version:
        zones = _decode(found, OperatorZones)
        if zones is not None:
            return replace(current, zones=zones, zones_version=found.version)
    if found.key == UPSTREAMS_KEY and found.version > current.upstreams_version:
        upstreams = _decode(found, OperatorUpstreams)
        if upstreams is not None:
            return replace(
                current, upstreams=upstreams, upstreams_version=found.version
            )
    return current


def _decode(found: Versioned, expected: type[Orders]) -> Orders | None:
    """Decodes an object, None if its content can't be understood."""
    try:
        return msgspec.json.decode(found.value, type=expected)
    except msgspec.DecodeError as error:
        _log.error("operators_object_malformed", key=found.key, detail=str(error))
        return None
