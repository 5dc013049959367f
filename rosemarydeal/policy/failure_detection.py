"""Failure detection: notices about unresponsive holders and probes of them.

A proof that a lease has expired stays valid, as an expired incarnation is never
leased again.
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
    "advance_probes",
    "notify_unresponsive",
    "on_promise_reply",
    "on_unresponsive_notice",
    "probe_unacked",
    "suspect",
]

PROBE_TIMEOUT_S = 5.0
MARK_LOST_JITTER_S = 1.0


def notify_unresponsive(state: OwnershipState, now: float) -> Result:
    """Notifies the successors of holders that send no more lease requests."""
    witness_state, targets = witness.unresponsive(state.witness, state.settings, now)
    if not targets:
        return state, ()
    state = replace(state, witness=witness_state)
    wanted = frozenset(targets)
    recipients = set()
    for row in state.rows.values():
        for rank, target in enumerate(row.succession):
            if target in wanted:
                recipients |= {
                    (later.node, target) for later in row.succession[rank + 1 :]
                }
    return state, tuple(
        Send(node, UnresponsiveNotice(target)) for node, target in sorted(recipients)
    )


def on_unresponsive_notice(
    state: OwnershipState, incarnation: Incarnation, now: float
) -> OwnershipState:
    """Probes an incarnation that a witness reports as unresponsive."""
    if not _is_blocking(state, incarnation):
        return state
    return _start_probe(state, incarnation, now)


def suspect(state: OwnershipState, node: str, now: float) -> OwnershipState:
    """Probes the incarnations of a node that did not answer."""
    known = state.members.get(node)
    targets = {known.member.incarnation} if known else set()
    for row in state.own_rows:
        targets |= {
            incarnation
            for incarnation in (*row.succession, *row.retiring)
            if incarnation.node == node
        }
    for target in sorted(targets):
        state = _start_probe(state, target, now)
    return state


def probe_unacked(state: OwnershipState, now: float) -> OwnershipState:
    """Probes retiring incarnations that do not acknowledge their revocation."""
    timeout_s = 2.0 * state.settings.revoke_interval_s
    for target, since in sorted(state.unacked_since.items()):
        if now - since >= timeout_s:
            state = _start_probe(state, target, now)
    return state


def advance_probes(state: OwnershipState, now: float) -> Result:
    """Opens due rounds, ends probes that time out and records proofs of expiry."""
    actions = ()
    for target in sorted(state.probes):
        probe = state.probes[target]
        if probe.proven_expiry is not None:
            state = _record_expiry(state, probe)
        elif now - probe.started_at > PROBE_TIMEOUT_S and not _is_blocking(
            state, target
        ):
            state = replace(state, probes=state.probes.delete(target))
        else:
            opened, message = probes.open_round(probe, state.settings, now)
            if message is not None:
                state = replace(state, probes=state.probes.set(target, opened))
                actions += tuple(Send(node, message) for node in probe.witnesses)
    return state, actions


def on_promise_reply(
    state: OwnershipState, sender: str, reply: PromiseReply, now: float
) -> OwnershipState:
    """Records a witness's reply about a target."""
    probe = state.probes.get(reply.target)
    if probe is None:
        return state
    probe = probes.record(probe, sender, reply, state.settings, now)
    return replace(state, probes=state.probes.set(reply.target, probe))


def _start_probe(
    state: OwnershipState, target: Incarnation, now: float
) -> OwnershipState:
    """Starts a probe unless it is unnecessary or no witnesses are known."""
    witnesses = state.witness_sets.get(target)
    unnecessary = target in state.proven_expiry or target in state.probes
    if unnecessary or not witnesses or state.is_own(target):
        return state
    state, number = draw(state)
    first_round = int(number * 2**52)
    probe = probes.start(target, witnesses, first_round, now)
    return replace(state, probes=state.probes.set(target, probe))


def _record_expiry(state: OwnershipState, probe: probes.Probe) -> OwnershipState:
    """Records when a target's lease expires and when to mark its member as lost."""
    state, number = draw(state)
    mark_at = probe.proven_expiry + number * MARK_LOST_JITTER_S
    return replace(
        state,
        probes=state.probes.delete(probe.target),
        proven_expiry=state.proven_expiry.set(probe.target, probe.proven_expiry),
        mark_lost_at=state.mark_lost_at.set(probe.target, mark_at),
    )


def _is_blocking(state: OwnershipState, target: Incarnation) -> bool:
    """Returns whether a target may keep the process from owning a slice."""
    if target in state.unacked_since:
        return True
    return any(
        target in row.retiring or target in row.succession for row in state.own_rows
    )
