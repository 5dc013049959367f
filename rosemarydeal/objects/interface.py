"""Defines the interface of a platform, so that the implementation can be replaced."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol

from rosemarydeal.core import Versioned

__all__ = ["Changes", "Platform"]


@dataclass(frozen=True, slots=True)
class Changes:
    """The objects that changed after a revision of the store.

    Attributes:
        revision: Revision up to which changes are included.
        objects: Latest version of each changed object.
    """

    revision: int
    objects: tuple[Versioned, ...]


class Platform(Protocol):
    """Object store with versions, conditional updates and watches."""

    async def get(self, key: str) -> Versioned | None:
        """Returns an object, or None if it does not exist."""

    async def list(self, prefix: str) -> tuple[Versioned, ...]:
        """Returns all objects whose key starts with a prefix."""

    async def put(
        self, key: str, value: bytes, expected_version: int, change_id: str
    ) -> int:
        """Writes an object if its current version is the expected one.

        Args:
            key: Key of the object.
            value: New content.
            expected_version: Version that the write replaces; 0 creates the object.
            change_id: Unique id of this change, to identify it when read back.

        Returns:
            The new version.

        Raises:
            PlatformConflict: Another write came first.
            PlatformUnavailable: The outcome cannot be determined at present.
        """

    async def watch(
        self, prefixes: tuple[str, ...], after: int, timeout_s: float
    ) -> Changes:
        """Waits for a change to an object under any of the prefixes.

        Args:
            prefixes: Key prefixes to watch, all in one call.
            after: Revision after which changes are returned.
            timeout_s: Longest wait for a change, in seconds.

        Returns:
            The changes, empty if there was none before the timeout.

        Raises:
            PlatformUnavailable: No usable response arrived.
        """
