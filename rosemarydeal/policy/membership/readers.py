"""Chooses the processes that watch the platform's store for their zone.

Load pattern: a fleet of hundreds in which every process watches every kind of
object, so that each change and each expired watch costs as many store calls as
there are processes. Two readers in each availability zone watch instead and send
the changes to the others; the second covers the first while it is paused or slow.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

__all__ = ["READERS_PER_ZONE", "ReaderCandidate", "zone_readers"]

READERS_PER_ZONE = 2


@dataclass(frozen=True, slots=True)
class ReaderCandidate:
    """A process of the zone.

    Attributes:
        node: Its node.
        reachable: Whether this process reaches it; true for this process itself.
        reads_store: Whether its calls to the store succeed, as far as is known.
    """

    node: str
    reachable: bool
    reads_store: bool


def zone_readers(candidates: Iterable[ReaderCandidate]) -> tuple[str, ...]:
    """Returns the nodes that watch the store, first those whose calls succeed.

    If no call of any process succeeds, the first ones keep trying.

    Args:
        candidates: The processes of one zone.
    """
    reachable = [candidate for candidate in candidates if candidate.reachable]
    reachable.sort(key=lambda candidate: (not candidate.reads_store, candidate.node))
    return tuple(candidate.node for candidate in reachable[:READERS_PER_ZONE])
