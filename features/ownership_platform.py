"""Platform of the ownership simulation: a store of versioned objects."""

from __future__ import annotations

from dataclasses import dataclass, field

from rosemarydeal.core import Chunk, Member

__all__ = ["WorldPlatform"]


@dataclass
class WorldPlatform:
    """Stores every version of every object and applies conditional updates."""

    down: bool = False
    history: dict = field(default_factory=dict)

    def version(self, key) -> int:
        return len(self.history.get(key, ()))

    def read(self, key, back: int = 0) -> tuple[int, Member | Chunk] | None:
        versions = self.history.get(key)
        if not versions:
            return None
        number = max(1, len(versions) - back)
        return number, versions[number - 1]

    def write(self, key, expected: int, value: Member | Chunk) -> int | None:
        if self.version(key) != expected:
            return None
        self.history.setdefault(key, []).append(value)
        return expected + 1
