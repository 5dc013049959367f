"""Branches of the settings tree and their precedence.

A branch is identified by a place, from the whole deployment to one upstream, and
optionally by a service and a key. A branch of a key overrides one of a service,
which overrides one of a place only; among equals, the narrower place wins.
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
    """Identifies a branch; an empty name means all.

    Attributes:
        service: Name of the service.
        key: Key of the service.
        place: Deployment, region, availability zone or upstream.
    """

    service: str = ""
    key: str = ""
    place: Place = WHOLE_DEPLOYMENT

    def __str__(self) -> str:
        """Returns the name of the branch as shown to operators."""
        place = self.place
        names = (place.region, place.availability_zone, place.upstream)
        parts = ["/".join(name for name in names if name) or "deployment"]
        parts += [f"service {self.service}"] if self.service else []
        parts += [f"key {self.key}"] if self.key else []
        return ", ".join(parts)


@dataclass(frozen=True, slots=True)
class Branch:
    """A branch and the settings in it."""

    scope: Scope
    leaves: tuple[Leaf, ...]


def matching_scopes(
    service: str, place: Place, key: str | None = None
) -> Iterator[Scope]:
    """Yields the scopes that apply to a service, place and key, widest first.

    Args:
        service: Name of the service.
        place: Place of the upstream; empty names leave out narrower places.
        key: Key whose branches apply too, if any.

    Yields:
        Scopes, each of which overrides the ones before it.
    """
    subjects = [("", ""), (service, "")]
    subjects += [(service, key)] if key else []
    for subject_service, subject_key in subjects:
        for enclosing_place in _enclosing_places(place):
            yield Scope(subject_service, subject_key, enclosing_place)


def _enclosing_places(place: Place) -> list[Place]:
    """Returns the places that contain a place, from the widest to itself."""
    region, zone, upstream = place.region, place.availability_zone, place.upstream
    enclosing = [WHOLE_DEPLOYMENT]
    if region:
        enclosing.append(Place(region, "", ""))
    if region and zone:
        enclosing.append(Place(region, zone, ""))
    if region and zone and upstream:
        enclosing.append(place)
    return enclosing
