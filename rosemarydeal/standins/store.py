"""In-memory object store of the stand-in platform, without I/O.

The store outlives the server in front of it, so that an outage of the
platform loses no acknowledged write.
"""

from __future__ import annotations

from dataclasses import dataclass

from rosemarydeal.core import Versioned

__all__ = ["MAX_VALUE_BYTES", "ObjectStore", "StoredObject"]

MAX_VALUE_BYTES = 1024 * 1024


@dataclass(frozen=True, slots=True)
class StoredObject:
    """One object with its last change.

    Attributes:
        versioned: Key, version and content.
        change_id: Unique id of the object's last change.
        revision: Revision of the store at that change.
    """

    versioned: Versioned
    change_id: str
    revision: int


class ObjectStore:
    """Versioned objects with conditional updates."""

    def __init__(self) -> None:
        self._objects: dict[str, StoredObject] = {}
        self._revision = 0

    @property
    def revision(self) -> int:
        """Returns the number of changes since the store was created."""
        return self._revision

    def get(self, key: str) -> StoredObject | None:
        """Returns an object, or None if there is none."""
        return self._objects.get(key)

    def list(
        self, prefixes: str | tuple[str, ...], after: int = 0
    ) -> tuple[StoredObject, ...]:
        """Returns the objects under some prefixes that changed after a revision.

        Args:
            prefixes: One or several prefixes of the keys.
            after: Revision; objects last changed up to it are left out.

        Returns:
            The objects, sorted by key.
        """
        return tuple(
            stored
            for key, stored in sorted(self._objects.items())
            if stored.revision > after and key.startswith(prefixes)
        )

    def put(
        self, key: str, value: bytes, expected_version: int, change_id: str
    ) -> StoredObject | None:
        """Writes an object if its version is the expected one.

        Args:
            key: Name of the object.
            value: New content.
            expected_version: Version to replace; 0 creates the object.
            change_id: Unique id of the change.

        Returns:
            The object as written, or None if its version is another.
        """
        current = self._objects.get(key)
        version = current.versioned.version if current else 0
        if version != expected_version:
            return None
        self._revision += 1
        versioned = Versioned(key, version + 1, value)
        self._objects[key] = StoredObject(versioned, change_id, self._revision)
        return self._objects[key]
