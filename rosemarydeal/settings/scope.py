"""Defines branches of the settings tree and the order in which they win.

A branch is named by a place, which may be wide, and by a service and key,
which may be missing. A branch about a service wins over one about places
only, and one about a key wins over both; among equals the narrower place
wins.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass

from rosemarydeal.core import Place

from .values import Leaf

__all__ = ["WHOLE_DEPLOYMENT", "Branch", "Scope", "matching_scopes"]

WHOLE_DEPLOYMENT = Place("", "", "")


@dataclass(frozen=True, slots=True)
class Scope:
    """Names what a branch is about; empty names mean all.

    Attributes:
        service: Name of the service.
        key: Key of the service.
        place: Deployment, region, availability zone or upstream.
    """

    service: str = ""
    key: str = ""
    place: Place = WHOLE_DEPLOYMENT

    def __str__(self) -> str:
        """Returns the branch's name as operators read it."""
        place = self.place
        names = (place.region, place.availability_zone, place.upstream)
        parts = ["/".join(name for name in names if name) or "deployment"]
        parts += [f"service {self.service}"] if self.service else []
        parts += [f"key {self.key}"] if self.key else []
        return ", ".join(parts)


@dataclass(frozen=True, slots=True)
class Branch:
    """Holds the settings of one branch."""

    scope: Scope
    leaves: tuple[Leaf, ...]


def matching_scopes(
    service: str, place: Place, key: str | None = None
) -> Iterator[Scope]:
    """Yields the scopes that hold for a service, place and key, widest first.

    Args:
        service: Name of the service.
        place: Where the upstream is; empty names leave the place wide.
        key: The key, if one is asked about.

    Yields:
        Scopes, each of which wins over the ones before it.
    """
    subjects = [("", ""), (service, "")]
    subjects += [(service, key)] if key else []
    for subject_service, subject_key in subjects:
        for enclosing_place in _enclosing_places(place):
            yield Scope(subject_service, subject_key, enclosing_place)


def _enclosing_places(place: Place) -> list[Place]:
    """Returns the places that contain a place, widest first, itself last."""
    region, zone, upstream = place.region, place.availability_zone, place.upstream
    enclosing = [WHOLE_DEPLOYMENT]
    if region:
        enclosing.append(Place(region, "", ""))
    if region and zone:
        enclosing.append(Place(region, zone, ""))
    if region and zone and upstream:
        enclosing.append(place)
    return enclosing
