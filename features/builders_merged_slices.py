"""Guards that follow the rows of a control group, for carved and merged slices."""

from __future__ import annotations

from features.builders_control import ControlGroup
from features.builders_requests import GuardDriver
from rosemarydeal.core import TOKEN_RANKS, Row, SliceId
from rosemarydeal.policy import guard

__all__ = ["FollowingGuards"]


class FollowingGuards:
    """One guard for each process of a control group.

    The guards own the base slice and the slices carved out of it as the rows say. An
    owner that is still running hands its ledger over; one that was lost doesn't.

    Attributes:
        guards: Guards by node.
        owned: Node and token under which each slice is owned.
    """

    def __init__(self, group: ControlGroup, base: SliceId) -> None:
        self._group = group
        self._base = base
        self._caller = 0
        self.guards = {node: GuardDriver(token=0) for node in group.states}
        self.owned: dict[SliceId, tuple[str, int]] = {}
        group.on_change = lambda before, after: self._follow_rows()
        self._follow_rows()

    def carved_elsewhere(self) -> SliceId | None:
        """Returns a carved slice that has another owner than its base slice."""
        base_owner, _ = self.owned[self._base]
        for slice_id, (node, _) in self.owned.items():
            if node != base_owner:
                return slice_id
        return None

    def send(self, slice_id: SliceId, request_id: str, **changes) -> GuardDriver:
        """Sends an order to the owner of a slice, the base's if it was merged back."""
        if slice_id not in self.owned:
            slice_id = self._base
        driver = self._driver(self.owned[slice_id][0])
        self._caller += 1
        driver.arrive(self._caller, request_id, slice=slice_id, **changes)
        return driver

    def dispatches(self, request_id: str) -> int:
        """Returns how often an order was sent to an upstream."""
        return sum(
            action.request_id == request_id
            for driver in self.guards.values()
            for action in driver.of(guard.Dispatch)
        )

    def _driver(self, node: str) -> GuardDriver:
        driver = self.guards[node]
        driver.now = self._group.now
        return driver

    def _follow_rows(self) -> None:
        rows = {
            row.slice: row
            for read in self._group.chunks.values()
            for row in read.chunk.rows
            if (row.slice.service, row.slice.index)
            == (self._base.service, self._base.index)
        }
        for slice_id in sorted(rows):
            self._follow(rows[slice_id])
        for slice_id in sorted(set(self.owned) - set(rows)):
            node, _ = self.owned.pop(slice_id)
            self._driver(node).feed(guard.OwnershipLost(slice_id))

    def _follow(self, row: Row) -> None:
        """Makes the guard of a row's owner the owner of its slice.

        The base slice's owner goes on serving a key that is carved out under its token.
        """
        token = row.version * TOKEN_RANKS
        if row.slice.carved >= 0 and row.slice not in self.owned:
            token = self.owned[self._base][1]
        former, former_token = self.owned.get(row.slice, (row.owner.node, -1))
        if token <= former_token:
            return
        new = self._driver(row.owner.node)
        if former != row.owner.node:
            if former in self._group.states:
                self._hand_over(row.slice, former, new)
            else:
                former_token = -1
        self.owned[row.slice] = row.owner.node, token
        new.feed(guard.OwnershipGained(row.slice, token, former_token))

    def _hand_over(self, slice_id: SliceId, former: str, new: GuardDriver) -> None:
        old = self._driver(former)
        actions = old.feed(guard.StopAdmitting(slice_id))
        old.feed(guard.OwnershipLost(slice_id))
        for action in actions:
            if isinstance(action, guard.HandOverLedger):
                new.feed(guard.LedgerReceived(action.ledger))
