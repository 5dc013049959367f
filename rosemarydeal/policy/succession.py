"""Decides which slices a process owns, by the succession of each row.

An incarnation in the succession of a row owns the slice once all earlier ones have
expired or released it, and all retiring ones have expired or acknowledged the
row's version.
"""

from __future__ import annotations

from dataclasses import replace

from rosemarydeal.core import TOKEN_RANKS, Incarnation, Row, SliceId

from .interface import OwnershipGained, OwnershipLost
from .ownership_state import OwnershipState, Result, Serving

__all__ = [
    "earlier_released",
    "gain_all_due",
    "gain_if_due",
    "own_rank",
    "release_version",
    "unacked",
]

UNKNOWN_TOKEN = -1


def own_rank(state: OwnershipState, row: Row, now: float) -> int | None:
    """Returns the lowest rank of a held incarnation in a row, if any."""
    held = state.held(now)
    for rank, incarnation in enumerate(row.succession):
        if incarnation in held:
            return rank
    return None


def earlier_released(state: OwnershipState, row: Row, rank: int, now: float) -> bool:
    """Returns whether all incarnations before a rank expired or released the slice."""
    return all(
        _has_released(state, row, incarnation, row.version + 1, now)
        for incarnation in row.succession[:rank]
    )


def unacked(state: OwnershipState, row: Row, now: float) -> tuple[Incarnation, ...]:
    """Returns the retiring incarnations that have not released older versions."""
    return tuple(
        incarnation
        for incarnation in row.retiring
        if not _has_released(state, row, incarnation, row.version, now)
    )


def _has_released(
    state: OwnershipState, row: Row, incarnation: Incarnation, version: int, now: float
) -> bool:
    """Returns whether an incarnation owns the slice under no row below a version."""
    if state.is_own(incarnation) or state.has_expired(incarnation, now):
        return True
    return state.has_acked(incarnation, row.slice, version)


def release_version(state: OwnershipState, slice_id: SliceId, serving: Serving) -> int:
    """Returns the version to acknowledge when a slice is released altogether."""
    row = state.row(slice_id)
    return max(serving.version, row.version if row else 0) + 1


def gain_all_due(state: OwnershipState, now: float) -> Result:
    """Gains ownership of all slices for which it is due."""
    actions = ()
    for row in state.own_rows:
        serving = state.serving.get(row.slice)
        if serving is not None and serving.version == row.version:
            continue
        state, more = gain_if_due(state, row.slice, now)
        actions += more
    return state, actions


def gain_if_due(state: OwnershipState, slice_id: SliceId, now: float) -> Result:
    """Gains ownership of one slice if it is due.

    An owner that stays the same in the next version keeps serving under its old
    token until all retiring incarnations have acknowledged: one that only has the
    older row could still succeed it with a token of that row.

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
    """Returns the previous owner's token if it is certain.

    An owner that expires leaves the row, so that the former owners in the row need not
    be the latest ones. The token is certain if all of them reported theirs and the
    latest is of the version directly before, or of this one, and later than the token
    under which this process lost the slice.
    """
    tokens = [UNKNOWN_TOKEN]
    earlier = [(each, row.version + 1) for each in row.succession[:rank]]
    for incarnation, version in (*earlier, *((x, row.version) for x in row.retiring)):
        if state.is_own(incarnation):
            continue
        # An owner that has expired may have reported an older token before.
        if not state.has_acked(incarnation, row.slice, version):
            return UNKNOWN_TOKEN
        tokens.append(state.revoke_acks[incarnation, row.slice].token)
    latest = max(tokens)
    lost = state.last_tokens.get(row.slice, UNKNOWN_TOKEN)
    first_certain = max(lost + 1, (row.version - 1) * TOKEN_RANKS)
    return latest if latest >= first_certain else UNKNOWN_TOKEN


def _gain(
    state: OwnershipState, row: Row, rank: int, previous_token: int, now: float
) -> Result:
    """Records the ownership of a slice and notifies the guard."""
    serving = Serving(row.succession[rank], row.version, rank, now)
    state = replace(
        state,
        serving=state.serving.set(row.slice, serving),
        last_tokens=state.last_tokens.set(row.slice, serving.token),
    )
    state, ended = _end_merged_slices(state, row.slice)
    return state, (OwnershipGained(row.slice, serving.token, previous_token), *ended)


def _end_merged_slices(state: OwnershipState, base: SliceId) -> Result:
    """Ends carved slices that were merged back into a newly gained base slice.

    Until now, each merged key was served under its carved slice, whose token may be
    greater than the token of the base slice.
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
