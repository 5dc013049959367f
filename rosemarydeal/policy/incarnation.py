"""Takes incarnations: announces the process, seeks leases, renews witness sets.

An incarnation is leased before the platform's member object names it. Whoever
can learn of it can therefore only meet a holder that has been renewing all
along, or one that has discarded it.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import replace

from rosemarydeal.core import Incarnation, Member, MemberPhase
from rosemarydeal.core.keys import rendezvous_order
from rosemarydeal.core.messages import LeaseRelinquished, LeaseReply

from . import lease as leases
from .interface import IncarnationLost, OwnershipLost, Send, StopAdmitting
from .lease import Lease, LeaseStage
from .ownership_state import OwnershipState, Result, Stopping, draw
from .succession import release_version

__all__ = [
    "announced",
    "choose_witnesses",
    "end_messages",
    "expire",
    "leave",
    "member_for",
    "on_vouch_reply",
    "renew_leases",
    "seek",
]

UNRESPONSIVE_S = 10.0
WITNESS_SILENCE_S = 1.5
JOIN_QUIET_S = 0.7
SETTLE_IN_S = 4.0


def announced(state: OwnershipState) -> bool:
    """Returns whether the platform holds a member object of this life."""
    known = state.members.get(state.node)
    return known is not None and known.member.life == state.boot_id


def member_for(
    state: OwnershipState, incarnation: Incarnation, witnesses: tuple[str, ...]
) -> Member:
    """Builds the member object of the process."""
    identity = state.identity
    return Member(
        incarnation=incarnation,
        witnesses=witnesses,
        service=identity.service,
        place=identity.place,
        peer=identity.peer,
        entry_host=identity.entry_host,
        admin=identity.admin,
        public_key=identity.public_key,
        phase=state.phase(),
        slots=identity.slots,
        life=state.boot_id,
    )


def expire(state: OwnershipState, now: float) -> Result:
    """Discards incarnations whose lease has lapsed, and the rights under them.

    A lapsed incarnation is never asked for again, even when a witness that
    forgot its promise by restarting would grant it.
    """
    actions = ()
    for lease in state.leases:
        if leases.lapsed(lease, state.settings, now):
            kept = tuple(entry for entry in state.leases if entry != lease)
            state, more = _discard(replace(state, leases=kept), lease)
            actions += more
    return state, actions


def _discard(state: OwnershipState, lease: Lease) -> Result:
    """Ends the rights under a lapsed incarnation."""
    actions = ()
    if lease.stage == LeaseStage.HELD:
        actions = (IncarnationLost(),)
    for slice_id, serving in sorted(state.serving.items()):
        if serving.incarnation != lease.incarnation:
            continue
        entry = state.stopping.get(slice_id)
        if entry is None:
            version = release_version(state, slice_id, serving)
            entry = Stopping(version, serving.token)
            actions += (StopAdmitting(slice_id),)
        actions += (OwnershipLost(slice_id),)
        state = replace(
            state,
            serving=state.serving.delete(slice_id),
            stopping=state.stopping.set(slice_id, entry),
        )
    return state, actions


def renew_leases(state: OwnershipState, now: float) -> Result:
    """Asks the witnesses of every incarnation for which it is time."""
    actions, renewed = (), []
    for lease in state.leases:
        lease, message = leases.request_renewal(lease, state.settings, now)
        renewed.append(lease)
        if message is not None:
            actions += tuple(
                Send(
                    node,
                    replace(message, known_boot_id=lease.witness_boot_ids.get(node, 0)),
                )
                for node in lease.witnesses
            )
    return replace(state, leases=tuple(renewed)), actions


def on_vouch_reply(
    state: OwnershipState, sender: str, reply: LeaseReply, now: float
) -> OwnershipState:
    """Takes in a witness's answer."""
    renewed = tuple(
        leases.record(lease, sender, reply, now)
        if lease.incarnation == reply.incarnation
        else lease
        for lease in state.leases
    )
    boot_ids = state.witness_boot_ids
    if reply.boot_id:
        boot_ids = boot_ids.set(sender, reply.boot_id)
    return replace(state, leases=renewed, witness_boot_ids=boot_ids)


def seek(state: OwnershipState, now: float) -> OwnershipState:
    """Takes a new incarnation when there is none, or to replace witnesses."""
    if state.gone or not announced(state) or not _may_choose(state, now):
        return state
    state = _settle_in(state, now)
    sought = [e for e in state.leases if e.stage != LeaseStage.HELD]
    if sought:
        return _give_up(state, sought[0], now)
    if not state.leases:
        return _take(state, now)
    if now < state.next_renew_check_at or len(state.leases) > 1:
        return state
    interval_s = state.settings.renew_interval_s
    state = replace(state, next_renew_check_at=now + interval_s / 4.0)
    if state.settled and now - state.renewed_at < interval_s:
        return state
    return _replace_witnesses(state, state.leases[0], now)


def _may_choose(state: OwnershipState, now: float) -> bool:
    """Returns whether enough members are known to choose witnesses among."""
    enough = len(state.members) > state.settings.witness_count
    waited = now >= state.started_at + state.settings.bootstrap_s
    return waited or (enough and _quiet(state, now))


def _quiet(state: OwnershipState, now: float) -> bool:
    """Returns whether no new member has shown up lately."""
    return now - state.joined_at >= JOIN_QUIET_S


def _settle_in(state: OwnershipState, now: float) -> OwnershipState:
    """Lets the process own slices once its witness set is no makeshift.

    An incarnation with a makeshift set can hardly be proved lapsed after a
    loss, so that no row should name one while a better set is to be had.
    """
    newest = state.newest_held(now)
    if state.settled or newest is None:
        return state
    held = next(e for e in state.leases if e.incarnation == newest)
    whole = _quiet(state, now) and not _improvable(state, held, now)
    waited = now >= state.started_at + SETTLE_IN_S
    return replace(state, settled=True) if whole or waited else state


def _take(
    state: OwnershipState, now: float, witnesses: tuple[str, ...] = ()
) -> OwnershipState:
    """Starts to ask for the lease of a new incarnation."""
    state, number = draw(state)
    last = state.last_number + 1
    name = Incarnation(state.node, last)
    entry = Lease(
        incarnation=name,
        witnesses=witnesses or choose_witnesses(state, name, now),
        witness_boot_ids=state.witness_boot_ids,
        stage=LeaseStage.ASKING,
        started_at=now,
        sequence=int(number * 2**52),
        next_request_at=now,
    )
    return replace(
        state,
        leases=(*state.leases, entry),
        past=state.past | {last},
        last_number=last,
    )


def _give_up(state: OwnershipState, entry: Lease, now: float) -> OwnershipState:
    """Drops a sought incarnation that its witnesses don't grant in time.

    Witnesses in the silence of their start grant one that is taken after their
    life became known, so that it is taken anew with the same witnesses.
    """
    if _learnt_lives(state, entry):
        kept = tuple(lease for lease in state.leases if lease != entry)
        return _take(replace(state, leases=kept), now, entry.witnesses)
    waited = now - entry.started_at >= state.settings.acquire_s
    granted = leases.lease_end(entry, state.settings) is not None
    if entry.stage != LeaseStage.ASKING or granted or not waited:
        return state
    mute = [n for n in entry.witnesses if n not in entry.answered_at]
    if not mute and not entry.refused and now < entry.started_at + 5.0:
        return state
    kept = tuple(lease for lease in state.leases if lease != entry)
    return replace(_avoid(state, mute, now), leases=kept)


def _learnt_lives(state: OwnershipState, entry: Lease) -> bool:
    """Returns whether a new number would be granted where this one is not."""
    if entry.stage != LeaseStage.ASKING:
        return False
    if leases.lease_end(entry, state.settings) is not None:
        return False
    known = state.witness_boot_ids
    news = [
        n
        for n in entry.witnesses
        if known.get(n, 0) != entry.witness_boot_ids.get(n, 0)
    ]
    able = {n for n in entry.witnesses if n in entry.acked or n in known}
    return bool(news) and len(able) > len(entry.witnesses) // 2


def _replace_witnesses(
    state: OwnershipState, entry: Lease, now: float
) -> OwnershipState:
    """Takes a new incarnation beside the held one when its set is not whole."""
    mute = [
        node
        for node in entry.witnesses
        if node in entry.refused
        or now - entry.answered_at.get(node, entry.started_at) > WITNESS_SILENCE_S
    ]
    state = _avoid(state, mute, now)
    better = _quiet(state, now) and _improvable(state, entry, now)
    if not mute and not better:
        return state
    return replace(_take(state, now), renewed_at=now)


def _improvable(state: OwnershipState, entry: Lease, now: float) -> bool:
    """Returns whether a better witness set can be had than an early makeshift."""
    others = _others(state, now)
    places = {member.node: member.place for member in others}
    chosen = [node for node in entry.witnesses if node != state.node]
    if len(chosen) < min(len(others), state.settings.witness_count):
        return True
    own = _zone(state.identity.place)
    used = {_zone(places[node]) for node in chosen if node in places} - {own}
    present = {_zone(place) for place in places.values()} - {own}
    return len(used) < min(len(present), state.settings.witness_count)


def _avoid(state: OwnershipState, nodes: Iterable[str], now: float) -> OwnershipState:
    """Keeps some nodes from being chosen as witnesses for a while."""
    avoided = state.unresponsive
    for node in nodes:
        avoided = avoided.set(node, now + UNRESPONSIVE_S)
    return replace(state, unresponsive=avoided)


def _others(state: OwnershipState, now: float) -> list[Member]:
    """Returns the other members that can be witnesses."""
    ended = (MemberPhase.LOST, MemberPhase.GONE)
    return [
        known.member
        for node, known in state.members.items()
        if node != state.node
        and known.member.phase not in ended
        and state.unresponsive.get(node, 0.0) <= now
    ]


def choose_witnesses(
    state: OwnershipState, incarnation: Incarnation, now: float
) -> tuple[str, ...]:
    """Chooses witnesses spread over availability zones, a majority elsewhere.

    So the loss of the own availability zone can be proved by those left.

    Args:
        state: The process.
        incarnation: The incarnation that they are to vouch for.
        now: Present time, in seconds.

    Returns:
        The nodes; the process itself only where there are too few others.
    """
    places = {member.node: member.place for member in _others(state, now)}
    order = rendezvous_order(str(incarnation), list(places))
    own = _zone(state.identity.place)
    outside = [node for node in order if _zone(places[node]) != own]
    used, spread = set(), []
    for node in outside:
        if _zone(places[node]) not in used:
            used.add(_zone(places[node]))
            spread.append(node)
    majority = state.settings.witness_count // 2 + 1
    elsewhere = list(dict.fromkeys((*spread, *outside)))
    chosen = list(dict.fromkeys((*elsewhere[:majority], *spread, *order)))
    chosen = chosen[: state.settings.witness_count]
    if not chosen or len(chosen) == 2:
        chosen.append(state.node)
    return tuple(chosen)


def _zone(place) -> tuple[str, str]:
    """Returns the region and availability zone of a place."""
    return place.region, place.availability_zone


def leave(state: OwnershipState) -> Result:
    """Ends all incarnations for good, once nothing is served any more."""
    actions = tuple(action for lease in state.leases for action in end_messages(lease))
    return replace(state, gone=True, leases=()), actions


def end_messages(lease: Lease) -> tuple[Send, ...]:
    """Returns what tells the witnesses that an incarnation was discarded."""
    return tuple(
        Send(node, LeaseRelinquished(lease.incarnation)) for node in lease.witnesses
    )
