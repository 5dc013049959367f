"""Hands slices over: asks retiring names to clear, clears and releases.

The former owner serves on until the new one asks it to clear, so that no slice
waits for a receiver that is not there.
"""

from __future__ import annotations

from collections import defaultdict
from dataclasses import replace

from rosemarydeal.core import Incarnation, Row, SliceId
from rosemarydeal.core.keys import chunk_of
from rosemarydeal.core.messages import RevokeAck, RevokeReply, RevokeRequest

from .interface import OwnershipLost, Send, StopAdmitting
from .ownership_state import OwnershipState, Result, Serving, Stopping
from .succession import earlier_out, own_rank, uncleared

__all__ = [
    "ask_to_clear",
    "on_clear_ask",
    "on_clear_reply",
    "on_idle",
    "release",
    "repeat_releases",
    "stop",
]


def ask_to_clear(state: OwnershipState, now: float) -> Result:
    """Asks the retiring names of all slices that are the process's turn."""
    if now < state.next_clear_at:
        return state, ()
    rows_by_target = defaultdict(list)
    for row in state.named:
        if not row.retiring or not _is_turn(state, row, now):
            continue
        for name in uncleared(state, row, now):
            rows_by_target[name].append(row)
    blocked = state.blocked_since
    for name in [name for name in blocked if name not in rows_by_target]:
        blocked = blocked.delete(name)
    for name in rows_by_target:
        if name not in blocked:
            blocked = blocked.set(name, now)
    next_at = now + state.settings.revoke_interval_s
    state = replace(state, next_clear_at=next_at, blocked_since=blocked)
    return state, tuple(
        Send(name.node, RevokeRequest(name, tuple(rows), _carved_beside(state, rows)))
        for name, rows in sorted(rows_by_target.items())
    )


def _is_turn(state: OwnershipState, row: Row, now: float) -> bool:
    """Returns whether the process may serve a row once it is cleared."""
    rank = own_rank(state, row, now)
    if rank is None or not state.can_own_slices:
        return False
    if row.version < state.floors.get(row.slice, 0):
        return False
    return earlier_out(state, row, rank, now)


def _carved_beside(state: OwnershipState, rows: list[Row]) -> tuple[SliceId, ...]:
    """Returns the carved slices that exist beside some base rows."""
    bases = {row.slice for row in rows if row.slice.carved == -1}
    keys = {(base.service, chunk_of(base)) for base in bases}
    known = [state.chunks[key] for key in sorted(keys) if key in state.chunks]
    return tuple(
        row.slice
        for entry in known
        for row in entry.chunk.rows
        if row.slice.carved != -1
        and SliceId(row.slice.service, row.slice.index) in bases
    )


def on_clear_ask(state: OwnershipState, sender: str, ask: RevokeRequest) -> Result:
    """Clears what is idle at once and stops admitting to the rest.

    Args:
        state: The process.
        sender: Node that waits for the acknowledgement.
        ask: Its request.
    """
    if not state.is_own(ask.target):
        return state, ()
    cleared, actions = [], ()
    for row in ask.rows:
        state = _hear_carved(state, row)
        waiting = False
        for slice_id in _affected(state, row, ask.carved):
            serving = _serving_under(state, slice_id, row.version)
            if serving is not None or slice_id in state.stopping:
                state, more = stop(state, slice_id, serving, row.version, sender)
                actions += more
                waiting = True
        if not waiting:
            state = _raise_floor(state, row.slice, row.version)
            token = state.served.get(row.slice, -1)
            cleared.append(RevokeAck(row.slice, row.version, token))
    if cleared:
        reply = RevokeReply(ask.target, tuple(cleared))
        actions += (Send(sender, reply),)
    return state, actions


def _hear_carved(state: OwnershipState, row: Row) -> OwnershipState:
    """Takes note of a carved slice that the known chunk doesn't show yet."""
    if row.slice.carved == -1 or row.slice in state.rows:
        return state
    base = state.row(SliceId(row.slice.service, row.slice.index))
    if base is not None and base.version >= row.version:
        return state
    heard = state.reported_carved.set(row.slice, row.version)
    return replace(state, reported_carved=heard)


def _affected(
    state: OwnershipState, row: Row, carved: tuple[SliceId, ...]
) -> list[SliceId]:
    """Returns the row's slice and own merged slices that it covers again."""
    if row.slice.carved != -1:
        return [row.slice]
    merged = [
        slice_id
        for slice_id in (*state.serving, *state.stopping)
        if slice_id.carved != -1
        and SliceId(slice_id.service, slice_id.index) == row.slice
        and slice_id not in carved
    ]
    return [row.slice, *dict.fromkeys(merged)]


def _serving_under(
    state: OwnershipState, slice_id: SliceId, version: int
) -> Serving | None:
    """Returns the right, older than a version, under which a slice is served."""
    serving = state.serving.get(slice_id)
    if serving is None and slice_id.carved != -1:
        if state.floors.get(slice_id, 0) >= version:
            return None
        serving = state.serving.get(SliceId(slice_id.service, slice_id.index))
    if serving is None or serving.version >= version:
        return None
    return serving


def stop(
    state: OwnershipState,
    slice_id: SliceId,
    serving: Serving | None,
    version: int,
    *askers: str,
) -> Result:
    """Stops admitting to a slice until the guard reports it idle.

    Args:
        state: The process.
        slice_id: The slice.
        serving: The right that ends; None when it is stopping already.
        version: Version to clear once the slice is idle.
        askers: Nodes that wait for the acknowledgement.
    """
    under_way = state.stopping.get(slice_id)
    if under_way is not None:
        grown = replace(
            under_way,
            version=max(under_way.version, version),
            askers=under_way.askers | set(askers),
        )
        return replace(state, stopping=state.stopping.set(slice_id, grown)), ()
    token = serving.token if serving else state.served.get(slice_id, -1)
    entry = Stopping(version, token, frozenset(askers))
    state = replace(state, stopping=state.stopping.set(slice_id, entry))
    return state, (StopAdmitting(slice_id),)


def on_idle(state: OwnershipState, slice_id: SliceId) -> Result:
    """Gives a stopped slice up and acknowledges it to all who wait."""
    entry = state.stopping.get(slice_id)
    if entry is None:
        return state, ()
    state = replace(state, stopping=state.stopping.delete(slice_id))
    return release(state, slice_id, entry.version, entry.token, entry.askers)


def release(
    state: OwnershipState,
    slice_id: SliceId,
    version: int,
    token: int,
    askers: frozenset[str] = frozenset(),
) -> Result:
    """Gives up all rights in a slice below a version.

    Args:
        state: The process.
        slice_id: The slice.
        version: The version that is cleared.
        token: Fencing token under which the slice was served.
        askers: Nodes that wait for the acknowledgement.
    """
    actions = ()
    if slice_id in state.serving:
        state = replace(state, serving=state.serving.delete(slice_id))
        actions = (OwnershipLost(slice_id),)
    state = _raise_floor(state, slice_id, version)
    state = replace(state, served=state.served.set(slice_id, token))
    row = state.row(slice_id)
    told = set(askers)
    if row is not None and version > row.version:
        told |= {name.node for name in row.succession if not state.is_own(name)}
    for name in _own_names(state, row):
        reply = RevokeReply(name, (RevokeAck(slice_id, version, token),))
        actions += tuple(Send(node, reply) for node in sorted(told))
    return state, actions


def _own_names(state: OwnershipState, row: Row | None) -> list[Incarnation]:
    """Returns the own incarnations that a row names, else the newest one."""
    names = (*row.succession, *row.retiring) if row else ()
    own = [name for name in dict.fromkeys(names) if state.is_own(name)]
    return own or [lease.incarnation for lease in state.leases[-1:]]


def _raise_floor(
    state: OwnershipState, slice_id: SliceId, version: int
) -> OwnershipState:
    """Gives up every row of a slice older than a version for good."""
    floor = max(version, state.floors.get(slice_id, 0))
    return replace(state, floors=state.floors.set(slice_id, floor))


def on_clear_reply(state: OwnershipState, reply: RevokeReply) -> OwnershipState:
    """Takes note of what another process gave up."""
    cleared = state.cleared
    for item in reply.acks:
        key = (reply.incarnation, item.slice)
        known = cleared.get(key)
        if known is None or known.version < item.version:
            cleared = cleared.set(key, item)
    blocked = state.blocked_since
    if reply.incarnation in blocked:
        blocked = blocked.delete(reply.incarnation)
    return replace(state, cleared=cleared, blocked_since=blocked)


def repeat_releases(state: OwnershipState, now: float) -> Result:
    """Repeats releases to the later names until a newer row is known."""
    if now < state.next_release_at:
        return state, ()
    items = defaultdict(list)
    for row in state.named:
        slice_id = row.slice
        floor = state.floors.get(slice_id, 0)
        if floor <= row.version or slice_id in state.stopping:
            continue
        cleared = RevokeAck(slice_id, floor, state.served.get(slice_id, -1))
        for rank, name in enumerate(row.succession):
            if state.is_own(name):
                for later in row.succession[rank + 1 :]:
                    items[(later.node, name)].append(cleared)
    next_at = now + state.settings.release_interval_s
    return replace(state, next_release_at=next_at), tuple(
        Send(node, RevokeReply(name, tuple(cleared)))
        for (node, name), cleared in sorted(items.items())
        if node != state.node
    )
