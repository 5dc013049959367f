"""Collects the loads of a service's owners and plans transfers between them."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Sequence

from rosemarydeal.core.fleet import KeyRange, Member
from rosemarydeal.policy.keyranges import balance
from rosemarydeal.policy.keyranges.balance import OwnerLoad

from .guard import Guard
from .links import Links

__all__ = ["Balancer"]

BALANCE_PERIOD_S = 0.4
# Other owners that an overloaded one asks for their loads at a time.
MAX_LOAD_REQUESTS = 40
# Older reports of other owners' loads are not used to balance.
MAX_LOAD_AGE_S = 2.0
# Demand is measured over one second, so a move shows after that time.
PAUSE_AFTER_MOVE_S = 1.0


class Balancer:
    """Plans when and which keys of this node move to balance the load."""

    def __init__(self, node: str, links: Links) -> None:
        self._node = node
        self._links = links
        self._next_at = 0.0

    def own_load(self, guard: Guard) -> OwnerLoad:
        """Returns the load of this node."""
        return balance.owner_load(
            self._node, guard.demand, guard.limit_demand, guard.slowdown
        )

    def reported_loads(
        self, members: Sequence[Member], max_age_s: float = float("inf")
    ) -> list[OwnerLoad]:
        """Returns the loads that members reported within a time, in seconds."""
        moment = asyncio.get_running_loop().time()
        loads = []
        for member in members:
            state = self._links.peer_state(member.node)
            if state is None or not state.slots:
                continue
            if moment - state.reported_at <= max_age_s:
                load = balance.owner_load(
                    member.node, state.demand, state.limit_demand, state.slowdown
                )
                loads.append(load)
        return loads

    def plan(
        self,
        guard: Guard,
        eligible: Sequence[Member],
        owned: Sequence[KeyRange],
        now: float,
    ) -> tuple[tuple[KeyRange, Member], ...]:
        """Returns the transfers that are due, with the new owners.

        An overloaded owner asks others for their loads, and plans with the answers
        at one of the next calls.
        """
        if now < self._next_at:
            return ()
        self._next_at = now + BALANCE_PERIOD_S * random.uniform(0.8, 1.2)
        if max(guard.demand, guard.limit_demand) < balance.BUSY_DEMAND:
            return ()
        asked = random.sample(eligible, min(MAX_LOAD_REQUESTS, len(eligible)))
        for member in asked:
            self._links.request_load(member.node, BALANCE_PERIOD_S)
        planned = balance.plan_transfers(
            self.own_load(guard),
            self.reported_loads(eligible, MAX_LOAD_AGE_S),
            owned,
            guard.recent_keys,
        )
        if planned:
            self._next_at = now + PAUSE_AFTER_MOVE_S
        members = {member.node: member for member in eligible}
        return tuple(
            (transfer.keys, members[transfer.new_owner]) for transfer in planned
        )
