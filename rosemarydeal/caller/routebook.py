"""Keeps what a caller knows of where its requests should go.

A route is a hint that saves a hop. Whether a request may run is decided by
the guard that gets it, from its own lease, whatever the caller believes.
"""

from __future__ import annotations

import random
from collections.abc import Container
from dataclasses import dataclass

from rosemarydeal.core import Address, SliceId, key_hash
from rosemarydeal.core.request_key import request_key
from rosemarydeal.core.routes import RouteTable, route_of
from rosemarydeal.proxy import Headers

__all__ = ["RouteBook", "Step"]

QUICK_CHOICES = 8


@dataclass(frozen=True, slots=True)
class Step:
    """Names an entry to try.

    Attributes:
        entry: Where to send the request.
        ticket: Fencing token that its first try is bound to, None without.
    """

    entry: Address
    ticket: int | None = None


class RouteBook:
    """Orders the entries to try for a request."""

    def __init__(self, seeds: tuple[Address, ...], chance: random.Random) -> None:
        """Makes a book that knows the seeds only.

        Args:
            seeds: Entries to begin with, and to fall back to.
            chance: Chooses among entries of equal rank.
        """
        self._seeds = seeds
        self._chance = chance
        self._table: RouteTable | None = None
        self._carved: frozenset[int] = frozenset()
        self._learnt: dict[SliceId, Address] = {}
        self._silent_until: dict[Address, float] = {}

    @property
    def version(self) -> int:
        """Returns the version of the table, -1 without one."""
        return self._table.version if self._table is not None else -1

    def take(self, table: RouteTable) -> None:
        """Takes a table in, unless a newer one is there."""
        if table.version <= self.version:
            return
        self._table = table
        self._carved = frozenset(route.key_hash for route in table.carved)
        self._learnt.clear()

    def learn(self, slice_id: SliceId | None, owner: Address) -> None:
        """Notes the entry that answered for a slice, until the next table."""
        if slice_id is not None:
            self._learnt[slice_id] = owner

    def note_silent(self, entry: Address, until: float) -> None:
        """Leaves an entry out until a moment, as long as there are others."""
        self._silent_until[entry] = until

    def slice_of(self, target: bytes, headers: Headers) -> SliceId | None:
        """Returns the slice of a request, None if it is not known."""
        table = self._table
        if table is None or table.key_rule is None or not table.slices:
            return None
        key = request_key(table.key_rule, target, headers)
        if key is None:
            return None
        digest = key_hash(key)
        carved = digest if digest in self._carved else -1
        return SliceId(table.service, digest % table.slices, carved)

    def next_step(
        self, slice_id: SliceId | None, refused: Container[Address], now: float
    ) -> Step:
        """Returns the entry to try next.

        Args:
            slice_id: Slice of the request, None if it is not known.
            refused: Entries that refused the request already.
            now: The moment, in seconds.

        Returns:
            The owner of the slice, else a successor, else any entry; one that
            refused or is silent only if there is no other.
        """
        route = self._route(slice_id)
        for step in route:
            if step.entry not in refused and self._is_heard(step.entry, now):
                return step
        known = self._table.entries if self._table is not None else ()
        entries = known or self._seeds
        for _ in range(QUICK_CHOICES):
            entry = self._chance.choice(entries)
            if entry not in refused and self._is_heard(entry, now):
                return Step(entry)
        return self._choose_from_all(route, (*known, *self._seeds), refused, now)

    def _choose_from_all(
        self,
        route: list[Step],
        entries: tuple[Address, ...],
        refused: Container[Address],
        now: float,
    ) -> Step:
        """Returns the least bad entry, when most refused or are silent."""
        steps = [*route, *[Step(entry) for entry in entries]]
        left = [step for step in steps if step.entry not in refused]
        heard = [step for step in left if self._is_heard(step.entry, now)]
        return self._chance.choice(heard or left or steps)

    def _route(self, slice_id: SliceId | None) -> list[Step]:
        """Returns the owner and the successors of a slice."""
        if slice_id is None or self._table is None:
            return []
        route = route_of(self._table, slice_id)
        steps = [
            Step(entry, route.token + rank) for rank, entry in enumerate(route.entries)
        ]
        learnt = self._learnt.get(slice_id)
        return steps if learnt is None else [Step(learnt), *steps]

    def _is_heard(self, entry: Address, now: float) -> bool:
        """Tells whether an entry accepted connections lately."""
        return self._silent_until.get(entry, 0.0) <= now
