"""Read-only queries on the ownership state."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

from rosemarydeal.core import Incarnation, Member, Row, SliceId, SliceOwnership

from .ownership_state import OwnershipState
from .succession import earlier_released, own_rank, unacked

__all__ = [
    "Description",
    "ServingStatus",
    "describe",
    "is_drained",
    "known_members",
    "known_rows",
    "lease_expiry",
    "row_of",
    "slice_of_key",
    "slice_ownership",
]


class ServingStatus(StrEnum):
    """Whether a process serves a slice and, if not, the reason."""

    SERVED = "served"
    NO_ROW = "no_row"
    NOT_IN_SUCCESSION = "not_named"
    NO_LEASE = "no_lease"
    UPSTREAM_NOT_READY = "upstream_not_ready"
    DRAINING = "draining"
    STOPPING = "stopping"
    RELEASED = "released"
    EARLIER_INCARNATIONS = "earlier_names"
    RETIRING_INCARNATIONS = "retiring_names"


@dataclass(frozen=True, slots=True)
class Description:
    """Standing of a process in one slice.

    Attributes:
        row: The newest known row, if any.
        rank: Position of the process in the succession, -1 if it has none.
        status: Whether the slice is served here and, if not, the reason.
        blockers: Incarnations that must first release the slice or expire.
    """

    row: Row | None
    rank: int
    status: ServingStatus
    blockers: tuple[Incarnation, ...] = ()


def slice_ownership(
    state: OwnershipState, slice_id: SliceId, now: float
) -> SliceOwnership | None:
    """Returns the permission to dispatch in a slice, checked before each dispatch.

    Args:
        state: The process.
        slice_id: The slice.
        now: Present time, in seconds.

    Returns:
        The permission with its fencing token and end, or None.
    """
    serving = state.serving.get(slice_id)
    if serving is None or slice_id in state.stopping:
        return None
    expiry = _expiry_of(state, serving.incarnation)
    valid_until = expiry - state.settings.dispatch_margin_s
    if now >= valid_until:
        return None
    return SliceOwnership(slice_id, serving.token, valid_until)


def lease_expiry(state: OwnershipState, now: float) -> float | None:
    """Returns when the newest held lease expires, in seconds, if there is one."""
    newest = state.newest_held(now)
    return _expiry_of(state, newest) if newest else None


def _expiry_of(state: OwnershipState, incarnation: Incarnation) -> float:
    """Returns when an incarnation's lease expires, minus infinity without one."""
    for lease in state.leases:
        if lease.incarnation == incarnation:
            return state.expiry_of(lease)
    return float("-inf")


def known_members(state: OwnershipState) -> tuple[Member, ...]:
    """Returns the newest known member objects."""
    return tuple(known.member for known in state.members.values())


def known_rows(state: OwnershipState, service: str) -> tuple[Row, ...]:
    """Returns the newest known rows of a service, in arbitrary order."""
    return tuple(
        row
        for (owner, _), known in state.chunks.items()
        if owner == service
        for row in known.chunk.rows
    )


def row_of(state: OwnershipState, slice_id: SliceId) -> Row | None:
    """Returns the newest known row of a slice."""
    return state.row(slice_id)


def slice_of_key(
    state: OwnershipState, service: str, digest: int, slices: int
) -> SliceId:
    """Returns the slice of a key: its carved slice if known, else the base slice.

    Args:
        state: The process.
        service: Service that the key belongs to.
        digest: Hash of the key.
        slices: Number of base slices of the service.
    """
    carved = SliceId(service, digest % slices, digest)
    is_carved = carved in state.rows or carved in state.reported_carved
    if is_carved or carved in state.serving:
        return carved
    return SliceId(service, digest % slices)


def is_drained(state: OwnershipState) -> bool:
    """Returns whether no slice is served and none waits for requests to end."""
    return not state.serving and not state.stopping


def describe(state: OwnershipState, slice_id: SliceId, now: float) -> Description:
    """Returns the standing of the process in a slice.

    Args:
        state: The process.
        slice_id: The slice.
        now: Present time, in seconds.
    """
    row = state.row(slice_id)
    if row is None:
        return Description(None, -1, ServingStatus.NO_ROW)
    rank = own_rank(state, row, now)
    position = -1 if rank is None else rank
    if slice_ownership(state, slice_id, now) is not None:
        return Description(row, position, ServingStatus.SERVED)
    if not any(state.is_own(incarnation) for incarnation in row.succession):
        return Description(row, -1, ServingStatus.NOT_IN_SUCCESSION)
    if slice_id in state.stopping:
        return Description(row, position, ServingStatus.STOPPING)
    if rank is None:
        return Description(row, -1, ServingStatus.NO_LEASE)
    if not state.can_own_slices:
        status = (
            ServingStatus.DRAINING
            if state.draining
            else ServingStatus.UPSTREAM_NOT_READY
        )
        return Description(row, rank, status)
    if row.version < state.released_below.get(slice_id, 0):
        return Description(row, rank, ServingStatus.RELEASED)
    if not earlier_released(state, row, rank, now):
        return Description(
            row, rank, ServingStatus.EARLIER_INCARNATIONS, row.succession[:rank]
        )
    blockers = unacked(state, row, now)
    status = ServingStatus.RETIRING_INCARNATIONS if blockers else ServingStatus.NO_LEASE
    return Description(row, rank, status, blockers)
