"""Describes the process to operators, from the states of the policies."""

from __future__ import annotations

from dataclasses import replace

from rosemarydeal.core import MemberPhase, SliceId
from rosemarydeal.core.clock import now
from rosemarydeal.core.status import NodeStatus, SliceStatus
from rosemarydeal.policy import crash_suspects, guard, ownership

__all__ = ["slice_status", "with_guard", "with_ownership"]


def with_guard(status: NodeStatus, state: guard.GuardState) -> NodeStatus:
    """Adds what the guard knows to a process's status.

    Args:
        status: The status so far.
        state: State of the guard.

    Returns:
        The status with load, cold start and suspects.
    """
    figures = guard.status(state, now())
    return replace(
        status,
        running=figures.running,
        queued=figures.queued,
        limit=int(figures.limit),
        cold=figures.up and figures.cold_share < 1.0,
        suspects=crash_suspects.suspected(state.suspects),
    )


def with_ownership(
    status: NodeStatus, state: ownership.OwnershipState, excluded: bool
) -> NodeStatus:
    """Adds what the ownership policy knows to a process's status.

    Args:
        status: The status so far.
        state: State of the ownership policy.
        excluded: Whether operators want no new work here.

    Returns:
        The status with lease, phase and slices.
    """
    moment = now()
    expiry = ownership.lease_expiry(state, moment)
    newest = state.newest_held(moment)
    draining = state.draining or excluded
    return replace(
        status,
        incarnation=newest.number if newest is not None else 0,
        lease_valid=expiry is not None,
        lease_left_s=max(0.0, expiry - moment) if expiry is not None else 0.0,
        phase=MemberPhase.DRAINING if draining else MemberPhase.UP,
        owned=len(state.serving),
    )


def slice_status(
    state: ownership.OwnershipState, node: str, slice_id: SliceId
) -> SliceStatus:
    """Describes a slice to operators.

    Args:
        state: State of the ownership policy.
        node: Name of this process.
        slice_id: The slice.

    Returns:
        Who owns the slice as this process knows it, and why.
    """
    moment = now()
    described = ownership.describe(state, slice_id, moment)
    local_ownership = ownership.slice_ownership(state, slice_id, moment)
    row = described.row
    return SliceStatus(
        slice=slice_id,
        version=row.version if row else 0,
        succession=row.succession if row else (),
        retiring=row.retiring if row else (),
        known_by=node,
        owned_here=local_ownership is not None,
        token=local_ownership.token if local_ownership else 0,
        lease_left_s=max(0.0, local_ownership.valid_until - moment)
        if local_ownership
        else 0.0,
        reason=described.status.value,
    )
