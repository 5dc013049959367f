"""View of one service on which a proposer plans.

It is built from the platform's objects and the load reports, and is the input of
the placement, rebalancing and availability zone policies.
"""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field

from rosemarydeal.core import Incarnation, Member, MemberPhase, Row, SliceId
from rosemarydeal.core.keys import SLICES_PER_CHUNK, chunk_of

from .interface import ChunkRead

__all__ = [
    "LIVE_PHASES",
    "FleetView",
    "PlacementSettings",
    "domain_of",
    "domain_of_chunk",
    "may_get_work",
]

CHUNKS_PER_DOMAIN = 16
LIVE_PHASES = frozenset({MemberPhase.UP, MemberPhase.DRAINING})


def domain_of(slice_id: SliceId) -> int:
    """Returns the domain to which a slice belongs."""
    return domain_of_chunk(chunk_of(slice_id))


def domain_of_chunk(number: int) -> int:
    """Returns the domain to which a chunk belongs.

    A domain is a run of chunks that is planned as a unit.
    """
    return number // CHUNKS_PER_DOMAIN


def may_get_work(
    member: Member, out_zones: frozenset[str], drained: frozenset[str]
) -> bool:
    """Returns whether a member may receive slices and other new work.

    Args:
        member: The member's record.
        out_zones: Availability zones that operators have taken out.
        drained: Names of the upstreams that operators drain.
    """
    place = member.place
    out = place.availability_zone in out_zones or place.upstream in drained
    return member.phase is MemberPhase.UP and not out


@dataclass(frozen=True, slots=True)
class PlacementSettings:
    """Parameters of the placement.

    Attributes:
        successors: Number of successors in a row.
        takeover_s: Seconds that a process waits for the one ranked before it.
    """

    successors: int = 2
    takeover_s: float = 1.0


@dataclass(frozen=True, slots=True)
class FleetView:
    """Members, chunks and loads of one service.

    Attributes:
        service: Name of the service.
        slices: Number of base slices of the service.
        members: Newest known record of each process.
        chunks: Newest known chunk objects by number.
        self_node: Node of the planning process.
        loads: Smoothed load of slices in busy slots; empty when unknown.
        settings: Parameters of the placement.
        out_zones: Availability zones that operators have taken out.
        default_load: Assumed load of a slice without an estimate, in busy slots.
        drained: Names of the upstreams that operators drain.
    """

    service: str
    slices: int
    members: tuple[Member, ...]
    chunks: Mapping[int, ChunkRead]
    self_node: str
    loads: Mapping[SliceId, float] = field(default_factory=dict)
    settings: PlacementSettings = PlacementSettings()
    out_zones: frozenset[str] = frozenset()
    default_load: float = 1.0
    drained: frozenset[str] = frozenset()

    @property
    def chunk_count(self) -> int:
        """Returns the number of chunks of the service."""
        return -(-self.slices // SLICES_PER_CHUNK)

    def live(self) -> dict[Incarnation, Member]:
        """Returns the members whose incarnation may own slices."""
        return {
            member.incarnation: member
            for member in sorted(self.members, key=lambda member: member.node)
            if member.service == self.service and member.phase in LIVE_PHASES
        }

    def eligible(self) -> dict[Incarnation, Member]:
        """Returns the members that may receive slices."""
        return {
            incarnation: member
            for incarnation, member in self.live().items()
            if may_get_work(member, self.out_zones, self.drained)
        }

    @property
    def domain_count(self) -> int:
        """Returns the number of domains of the service."""
        return -(-self.chunk_count // CHUNKS_PER_DOMAIN)

    def domain_chunks(self, domain: int) -> range:
        """Returns the numbers of a domain's chunks."""
        first = domain * CHUNKS_PER_DOMAIN
        return range(first, min(first + CHUNKS_PER_DOMAIN, self.chunk_count))

    def rows(self) -> Iterator[Row]:
        """Yields the row of every slice; an empty row if it is unknown."""
        for domain in range(self.domain_count):
            yield from self.domain_rows(domain)

    def domain_rows(self, domain: int) -> Iterator[Row]:
        """Yields the rows of one domain."""
        for number in self.domain_chunks(domain):
            yield from self.chunk_rows(number)

    def chunk_rows(self, number: int) -> Iterator[Row]:
        """Yields the rows of one chunk, with empty rows for unknown base slices."""
        known = self.chunks.get(number)
        rows = {row.slice: row for row in known.chunk.rows} if known else {}
        first = number * SLICES_PER_CHUNK
        for index in range(first, min(first + SLICES_PER_CHUNK, self.slices)):
            base = SliceId(self.service, index)
            rows.setdefault(base, Row(base, 0, ()))
        for slice_id in sorted(rows):
            yield rows[slice_id]

    def weight(self, slice_id: SliceId) -> float:
        """Returns the estimated load of a slice, or the default load."""
        return self.loads.get(slice_id, self.default_load)
