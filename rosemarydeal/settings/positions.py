"""Positions of the values of a settings file, by path.

Checks across several values run on typed data, which carries no positions. They
look up the position of a path here.
"""

from __future__ import annotations

from collections.abc import Iterator, Mapping

from immutables import Map

from rosemarydeal.core import SourceLocation

from .syntax import ListNode, Node, ObjectNode

__all__ = ["Positions"]

Path = tuple[str, ...]


class Positions:
    """Immutable index of the positions of all values of one file."""

    def __init__(self, root: Node) -> None:
        """Indexes a file.

        Args:
            root: Root node of the file.
        """
        self._locations: Mapping[Path, SourceLocation] = Map(
            dict(_iter_locations(root, ()))
        )

    def at(self, *path: str) -> SourceLocation:
        """Returns the position of a value, or of the closest enclosing one."""
        while path and path not in self._locations:
            path = path[:-1]
        return self._locations[path]

    def contains(self, *path: str) -> bool:
        """Returns whether the file has a value at a path, valid or not."""
        return path in self._locations


def _iter_locations(node: Node, path: Path) -> Iterator[tuple[Path, SourceLocation]]:
    """Yields the path and position of each value."""
    yield path, node.location
    match node:
        case ObjectNode(members):
            for member in members:
                member_path = (*path, member.name)
                yield from _iter_locations(member.value, member_path)
                yield member_path, member.location
        case ListNode(items):
            for index, item in enumerate(items):
                yield from _iter_locations(item, (*path, str(index)))
