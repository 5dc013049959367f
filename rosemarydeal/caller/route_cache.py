"""Caches the routes of a service and chooses the entry for each attempt.

A route is a hint that saves a hop. Whether a request may run is decided by
the guard that receives it, from its own lease, regardless of cached routes.
"""

from __future__ import annotations

import random
from collections.abc import Container
from dataclasses import dataclass

from rosemarydeal.core import Address, SliceId, key_hash
from rosemarydeal.core.request_key import request_key
from rosemarydeal.core.routes import RouteTable, route_of
from rosemarydeal.proxy import Headers

__all__ = ["Destination", "RouteCache"]

RANDOM_PICKS = 8


@dataclass(frozen=True, slots=True)
class Destination:
    """An entry to send an attempt to.

    Attributes:
        entry: Address of the entry.
        ticket: Fencing token to which the attempt is bound, None without one.
    """

    entry: Address
    ticket: int | None = None


class RouteCache:
    """Routing table and observed owners, from which destinations are chosen."""

    def __init__(self, seeds: tuple[Address, ...], rng: random.Random) -> None:
        """Creates a cache that holds only the seeds.

        Args:
            seeds: Entries to start with, and to fall back to.
            rng: Source of randomness to choose among equivalent entries.
        """
        self._seeds = seeds
        self._rng = rng
        self._table: RouteTable | None = None
        self._carved: frozenset[int] = frozenset()
        self._observed_owners: dict[SliceId, Address] = {}
        self._unreachable_until: dict[Address, float] = {}

    @property
    def version(self) -> int:
        """Returns the version of the table, -1 without one."""
        return self._table.version if self._table is not None else -1

    def update_table(self, table: RouteTable) -> None:
        """Replaces the table, unless the cached one is as new or newer."""
        if table.version <= self.version:
            return
        self._table = table
        self._carved = frozenset(route.key_hash for route in table.carved)
        self._observed_owners.clear()

    def cache_owner(self, slice_id: SliceId | None, owner: Address) -> None:
        """Caches the entry that answered for a slice, until the next table."""
        if slice_id is not None:
            self._observed_owners[slice_id] = owner

    def mark_unreachable(self, entry: Address, until: float) -> None:
        """Avoids an entry until the given time, as long as there are others."""
        self._unreachable_until[entry] = until

    def slice_of(self, target: bytes, headers: Headers) -> SliceId | None:
        """Returns the slice of a request, None if it is unknown."""
        table = self._table
        if table is None or table.key_rule is None or not table.slices:
            return None
        key = request_key(table.key_rule, target, headers)
        if key is None:
            return None
        digest = key_hash(key)
        carved = digest if digest in self._carved else -1
        return SliceId(table.service, digest % table.slices, carved)

    def next_destination(
        self, slice_id: SliceId | None, excluded: Container[Address], now: float
    ) -> Destination:
        """Returns the destination of the next attempt.

        Args:
            slice_id: Slice of the request, None if it is unknown.
            excluded: Entries that already rejected the request.
            now: Current time, in seconds.

        Returns:
            The owner of the slice, else a successor, else any entry. Excluded
            and unreachable entries are chosen only if there is no other.
        """
        candidates = self._candidates(slice_id)
        for choice in candidates:
            if choice.entry not in excluded and self._is_reachable(choice.entry, now):
                return choice
        table_entries = self._table.entries if self._table is not None else ()
        entries = table_entries or self._seeds
        for _ in range(RANDOM_PICKS):
            entry = self._rng.choice(entries)
            if entry not in excluded and self._is_reachable(entry, now):
                return Destination(entry)
        return self._choose_from_all(
            candidates, (*table_entries, *self._seeds), excluded, now
        )

    def _choose_from_all(
        self,
        candidates: list[Destination],
        entries: tuple[Address, ...],
        excluded: Container[Address],
        now: float,
    ) -> Destination:
        """Chooses among all entries, when most are excluded or unreachable."""
        choices = [*candidates, *[Destination(entry) for entry in entries]]
        allowed = [choice for choice in choices if choice.entry not in excluded]
        reachable = [
            choice for choice in allowed if self._is_reachable(choice.entry, now)
        ]
        return self._rng.choice(reachable or allowed or choices)

    def _candidates(self, slice_id: SliceId | None) -> list[Destination]:
        """Returns the owner and the successors of a slice, best first."""
        if slice_id is None or self._table is None:
            return []
        route = route_of(self._table, slice_id)
        candidates = [
            Destination(entry, route.token + rank)
            for rank, entry in enumerate(route.entries)
        ]
        owner = self._observed_owners.get(slice_id)
        return candidates if owner is None else [Destination(owner), *candidates]

    def _is_reachable(self, entry: Address, now: float) -> bool:
        """Returns whether an entry is not currently marked as unreachable."""
        return self._unreachable_until.get(entry, 0.0) <= now
