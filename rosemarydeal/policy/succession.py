"""Decides which slices a process owns, by the rows' succession.

A row gives its owner, and in order its successors, the right to serve: once
all earlier names are out and all retiring names have cleared.
"""

from __future__ import annotations

from dataclasses import replace

from rosemarydeal.core import Incarnation, Row, SliceId

from .interface import OwnershipGained, OwnershipLost
from .ownership_state import OwnershipState, Result, Serving

__all__ = [
    "earlier_released",
    "own_rank",
    "release_version",
    "gain_if_due",
    "gain_all_due",
    "unacked",
]

UNKNOWN_TOKEN = -1


def own_rank(state: OwnershipState, row: Row, now: float) -> int | None:
    """Returns the best rank at which a held incarnation stands in a row."""
    held = state.held(now)
    for rank, incarnation in enumerate(row.succession):
        if incarnation in held:
            return rank
    return None


def earlier_released(state: OwnershipState, row: Row, rank: int, now: float) -> bool:
    """Returns whether all names before a rank are lapsed or released the slice."""
    return all(
        _has_released(state, row, incarnation, row.version + 1, now)
        for incarnation in row.succession[:rank]
    )


def unacked(state: OwnershipState, row: Row, now: float) -> tuple[Incarnation, ...]:
    """Returns the retiring names that owe a clearance of the row's version."""
    return tuple(
        incarnation
        for incarnation in row.retiring
        if not _has_released(state, row, incarnation, row.version, now)
    )


def _has_released(
    state: OwnershipState, row: Row, incarnation: Incarnation, version: int, now: float
) -> bool:
    """Returns whether a name holds no right in a slice below a version."""
    if state.is_own(incarnation) or state.has_expired(incarnation, now):
        return True
    return state.has_acked(incarnation, row.slice, version)


def release_version(state: OwnershipState, slice_id: SliceId, serving: Serving) -> int:
    """Returns the version that giving up a slice altogether clears."""
    row = state.row(slice_id)
    return max(serving.version, row.version if row else 0) + 1


def gain_all_due(state: OwnershipState, now: float) -> Result:
    """Gains the rights that the known rows, proofs and clearances now give."""
    actions = ()
    for row in state.own_rows:
        serving = state.serving.get(row.slice)
        if serving is not None and serving.version == row.version:
            continue
        state, more = gain_if_due(state, row.slice, now)
        actions += more
    return state, actions


def gain_if_due(state: OwnershipState, slice_id: SliceId, now: float) -> Result:
    """Gains the right in one slice if it is due.

    An owner that stays from one version to the next serves on under its old
    token until all retiring names have cleared: one that knows the older row
    only could still follow it with a token of that row.

    Args:
        state: The process.
        slice_id: The slice.
        now: Present time, in seconds.
    """
    row = state.row(slice_id)
    if row is None or slice_id in state.stopping or not state.can_own_slices:
        return state, ()
    rank = own_rank(state, row, now)
    if rank is None or row.version < state.released_below.get(slice_id, 0):
        return state, ()
    serving = state.serving.get(slice_id)
    if serving is not None and (rank > 0 or serving.version >= row.version):
        return state, ()
    if not earlier_released(state, row, rank, now) or unacked(state, row, now):
        return state, ()
    if serving is not None:
        return _gain(state, row, rank, serving.token, now)
    return _gain(state, row, rank, _previous_token(state, row, rank), now)


def _previous_token(state: OwnershipState, row: Row, rank: int) -> int:
    """Returns the last owner's token if every earlier name told its own."""
    tokens = [state.last_tokens.get(row.slice, UNKNOWN_TOKEN)]
    for incarnation in (*row.succession[:rank], *row.retiring):
        if state.is_own(incarnation):
            continue
        ack = state.revoke_acks.get((incarnation, row.slice))
        if ack is None:
            return UNKNOWN_TOKEN
        tokens.append(ack.token)
    return max(tokens)


def _gain(
    state: OwnershipState, row: Row, rank: int, previous_token: int, now: float
) -> Result:
    """Records a right and tells the guard."""
    serving = Serving(row.succession[rank], row.version, rank, now)
    state = replace(
        state,
        serving=state.serving.set(row.slice, serving),
        last_tokens=state.last_tokens.set(row.slice, serving.token),
    )
    state, ended = _end_merged_slices(state, row.slice)
    return state, (OwnershipGained(row.slice, serving.token, previous_token), *ended)


def _end_merged_slices(state: OwnershipState, base: SliceId) -> Result:
    """Ends carved slices whose keys the gained base slice covers again.

    Up to here a merged key was served under its own slice, whose token may be
    greater than the one that the base slice had.
    """
    merged = [
        slice_id
        for slice_id in state.serving
        if slice_id.carved != -1
        and slice_id not in state.rows
        and SliceId(slice_id.service, slice_id.index) == base
    ]
    serving = state.serving
    for slice_id in merged:
        serving = serving.delete(slice_id)
    ended = tuple(OwnershipLost(slice_id) for slice_id in sorted(merged))
    return replace(state, serving=serving), ended
