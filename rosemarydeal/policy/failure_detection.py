"""Turns silence into proofs: starts probes, follows them, tells successors.

A proof that a lease has lapsed is a lasting fact: an incarnation never returns.
"""

from __future__ import annotations

from dataclasses import replace

from rosemarydeal.core import Incarnation
from rosemarydeal.core.messages import PromiseReply, UnresponsiveNotice

from . import probe as probes
from . import witness
from .interface import Send
from .ownership_state import OwnershipState, Result, draw

__all__ = [
    "follow_probes",
    "notify_silence",
    "on_notice",
    "on_promise_reply",
    "probe_blocked",
    "suspect",
]

PROBE_S = 5.0
MARK_SPREAD_S = 1.0


def notify_silence(state: OwnershipState, now: float) -> Result:
    """Tells the successors of holders that the process hears no more."""
    state_of_witness, names = witness.unresponsive(state.witness, state.settings, now)
    if not names:
        return state, ()
    state = replace(state, witness=state_of_witness)
    sought = frozenset(names)
    told = set()
    for row in state.rows.values():
        for rank, name in enumerate(row.succession):
            if name in sought:
                told |= {(later.node, name) for later in row.succession[rank + 1 :]}
    return state, tuple(
        Send(node, UnresponsiveNotice(name)) for node, name in sorted(told)
    )


def on_notice(
    state: OwnershipState, incarnation: Incarnation, now: float
) -> OwnershipState:
    """Probes an incarnation of which a witness reports silence."""
    if not _blocks(state, incarnation):
        return state
    return _start(state, incarnation, now)


def suspect(state: OwnershipState, node: str, now: float) -> OwnershipState:
    """Probes the incarnations of a node that did not answer."""
    known = state.members.get(node)
    names = {known.member.incarnation} if known else set()
    for row in state.named:
        names |= {n for n in (*row.succession, *row.retiring) if n.node == node}
    for name in sorted(names):
        state = _start(state, name, now)
    return state


def probe_blocked(state: OwnershipState, now: float) -> OwnershipState:
    """Probes retiring incarnations that don't answer the requests to clear."""
    patience = 2.0 * state.settings.revoke_interval_s
    for name, since in sorted(state.blocked_since.items()):
        if now - since >= patience:
            state = _start(state, name, now)
    return state


def follow_probes(state: OwnershipState, now: float) -> Result:
    """Opens due rounds, ends fruitless probes and records proofs."""
    actions = ()
    for name in sorted(state.probes):
        entry = state.probes[name]
        if entry.proved_at is not None:
            state = _conclude(state, entry)
        elif now - entry.started_at > PROBE_S and not _blocks(state, name):
            state = replace(state, probes=state.probes.delete(name))
        else:
            opened, message = probes.ask_round(entry, state.settings, now)
            if message is not None:
                state = replace(state, probes=state.probes.set(name, opened))
                actions += tuple(Send(node, message) for node in entry.witnesses)
    return state, actions


def on_promise_reply(
    state: OwnershipState, sender: str, reply: PromiseReply, now: float
) -> OwnershipState:
    """Takes in a witness's answer about a target."""
    entry = state.probes.get(reply.target)
    if entry is None:
        return state
    entry = probes.record(entry, sender, reply, state.settings, now)
    return replace(state, probes=state.probes.set(reply.target, entry))


def _start(state: OwnershipState, target: Incarnation, now: float) -> OwnershipState:
    """Starts a probe unless one runs or nothing can come of it."""
    witnesses = state.holders.get(target)
    settled = target in state.lapsed or target in state.probes
    if settled or not witnesses or state.is_own(target):
        return state
    state, number = draw(state)
    first_round = int(number * 2**52)
    entry = probes.start(target, witnesses, first_round, now)
    return replace(state, probes=state.probes.set(target, entry))


def _conclude(state: OwnershipState, entry: probes.Probe) -> OwnershipState:
    """Records when a target has lapsed and when to mark its member."""
    state, number = draw(state)
    mark_at = entry.proved_at + number * MARK_SPREAD_S
    return replace(
        state,
        probes=state.probes.delete(entry.target),
        lapsed=state.lapsed.set(entry.target, entry.proved_at),
        to_mark=state.to_mark.set(entry.target, mark_at),
    )


def _blocks(state: OwnershipState, target: Incarnation) -> bool:
    """Returns whether a target stands between the process and a slice."""
    if target in state.blocked_since:
        return True
    return any(
        target in row.retiring or target in row.succession for row in state.named
    )
