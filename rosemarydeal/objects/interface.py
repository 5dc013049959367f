"""Defines what the system needs of a platform, so that another one fits in."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol

from rosemarydeal.core import Versioned

__all__ = ["Changes", "Platform"]


@dataclass(frozen=True, slots=True)
class Changes:
    """Gives the objects that changed since a revision of the store.

    Attributes:
        revision: Revision up to which changes are included.
        objects: Newest content of each changed object.
    """

    revision: int
    objects: tuple[Versioned, ...]


class Platform(Protocol):
    """Is an object store with versions, conditional updates and watches."""

    async def get(self, key: str) -> Versioned | None:
        """Returns an object, or None where there is none."""

    async def list(self, prefix: str) -> tuple[Versioned, ...]:
        """Returns all objects whose key begins with a prefix."""

    async def put(
        self, key: str, value: bytes, expected_version: int, change_id: str
    ) -> int:
        """Writes an object if its version is still the expected one.

        Args:
            key: Name of the object.
            value: New content.
            expected_version: Version that the write replaces; 0 creates.
            change_id: Unique id of this change, to recognise it when read back.

        Returns:
            The new version.

        Raises:
            PlatformConflict: Another write came first.
            PlatformUnavailable: The outcome can't be learnt now.
        """

    async def watch(
        self, prefixes: tuple[str, ...], after: int, timeout_s: float
    ) -> Changes:
        """Waits until an object under any of some prefixes changes.

        Args:
            prefixes: Beginnings of the keys to watch, all in one call.
            after: Revision that is already known.
            timeout_s: Longest wait for a change, in seconds.

        Returns:
            The changes; none when the wait ended without one.

        Raises:
            PlatformUnavailable: No answer came.
        """
