"""Builds the status of the process for operators from the states of the policies."""

from __future__ import annotations

from dataclasses import replace

from rosemarydeal.core import MemberPhase, SliceId
from rosemarydeal.core.clock import now
from rosemarydeal.core.status import NodeStatus, SliceStatus
from rosemarydeal.policy import claimed_suspects, guard, ownership

__all__ = ["slice_status", "with_guard", "with_ownership"]


def with_guard(status: NodeStatus, state: guard.GuardState) -> NodeStatus:
    """Adds the state of the guard to the status of the process.

    Args:
        status: The status so far.
        state: State of the guard.

    Returns:
        The status with load, cold start and crash suspects.
    """
    figures = guard.status(state, now())
    return replace(
        status,
        running=figures.running,
        queued=figures.queued,
        limit=int(figures.limit),
        cold=figures.up and figures.cold_share < 1.0,
        suspects=claimed_suspects.suspected(state.suspects),
    )


def with_ownership(
    status: NodeStatus, state: ownership.OwnershipState, excluded: bool
) -> NodeStatus:
    """Adds the state of the ownership policy to the status of the process.

    Args:
        status: The status so far.
        state: State of the ownership policy.
        excluded: Whether operators exclude this place from new work.

    Returns:
        The status with lease, phase and slices.
    """
    current_time = now()
    expiry = ownership.lease_expiry(state, current_time)
    newest = state.newest_held(current_time)
    draining = state.draining or excluded
    return replace(
        status,
        incarnation=newest.number if newest is not None else 0,
        lease_valid=expiry is not None,
        lease_left_s=max(0.0, expiry - current_time) if expiry is not None else 0.0,
        phase=MemberPhase.DRAINING if draining else MemberPhase.UP,
        owned=len(state.serving),
    )


def slice_status(
    state: ownership.OwnershipState, node: str, slice_id: SliceId
) -> SliceStatus:
    """Returns the status of a slice for operators.

    Args:
        state: State of the ownership policy.
        node: Name of this process.
        slice_id: The slice.

    Returns:
        The slice's row and its ownership at this process, with the reason.
    """
    current_time = now()
    described = ownership.describe(state, slice_id, current_time)
    local_ownership = ownership.slice_ownership(state, slice_id, current_time)
    row = described.row
    return SliceStatus(
        slice=slice_id,
        version=row.version if row else 0,
        succession=row.succession if row else (),
        retiring=row.retiring if row else (),
        known_by=node,
        owned_here=local_ownership is not None,
        token=local_ownership.token if local_ownership else 0,
        lease_left_s=max(0.0, local_ownership.valid_until - current_time)
        if local_ownership
        else 0.0,
        reason=described.status.value,
    )
