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
    "is_announced",
    "choose_witnesses",
    "relinquish_messages",
    "expire",
    "leave",
    "build_member",
    "on_lease_reply",
    "renew_leases",
    "update_incarnation",
]

WITNESS_EXCLUSION_S = 10.0
WITNESS_REPLY_TIMEOUT_S = 1.5
MEMBERSHIP_STABLE_S = 0.7
WITNESS_SET_TIMEOUT_S = 4.0


def is_announced(state: OwnershipState) -> bool:
    """Returns whether the platform holds a member object of this life."""
    known = state.members.get(state.node)
    return known is not None and known.member.life == state.boot_id


def build_member(
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
        if leases.has_expired(lease, state.settings, now):
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


def on_lease_reply(
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


def update_incarnation(state: OwnershipState, now: float) -> OwnershipState:
    """Takes a new incarnation when there is none, or to replace witnesses."""
    if (
        state.has_left
        or not is_announced(state)
        or not _can_choose_witnesses(state, now)
    ):
        return state
    state = _check_witness_set(state, now)
    requested = [lease for lease in state.leases if lease.stage != LeaseStage.HELD]
    if requested:
        return _abandon_ungranted(state, requested[0], now)
    if not state.leases:
        return _request_incarnation(state, now)
    if now < state.next_witness_check_at or len(state.leases) > 1:
        return state
    interval_s = state.settings.renew_interval_s
    state = replace(state, next_witness_check_at=now + interval_s / 4.0)
    if state.witness_set_complete and now - state.replaced_at < interval_s:
        return state
    return _replace_witnesses(state, state.leases[0], now)


def _can_choose_witnesses(state: OwnershipState, now: float) -> bool:
    """Returns whether enough members are known to choose witnesses among."""
    enough = len(state.members) > state.settings.witness_count
    timed_out = now >= state.started_at + state.settings.bootstrap_s
    return timed_out or (enough and _is_membership_stable(state, now))


def _is_membership_stable(state: OwnershipState, now: float) -> bool:
    """Returns whether no new member has shown up lately."""
    return now - state.last_join_at >= MEMBERSHIP_STABLE_S


def _check_witness_set(state: OwnershipState, now: float) -> OwnershipState:
    """Lets the process own slices once its witness set is no makeshift.

    An incarnation with a makeshift set can hardly be proved lapsed after a
    loss, so that no row should name one while a better set is to be had.
    """
    newest = state.newest_held(now)
    if state.witness_set_complete or newest is None:
        return state
    held = next(lease for lease in state.leases if lease.incarnation == newest)
    complete = _is_membership_stable(state, now) and not _can_improve_witnesses(
        state, held, now
    )
    timed_out = now >= state.started_at + WITNESS_SET_TIMEOUT_S
    return replace(state, witness_set_complete=True) if complete or timed_out else state


def _request_incarnation(
    state: OwnershipState, now: float, witnesses: tuple[str, ...] = ()
) -> OwnershipState:
    """Starts to ask for the lease of a new incarnation."""
    state, number = draw(state)
    number_taken = state.last_number + 1
    incarnation = Incarnation(state.node, number_taken)
    entry = Lease(
        incarnation=incarnation,
        witnesses=witnesses or choose_witnesses(state, incarnation, now),
        witness_boot_ids=state.witness_boot_ids,
        stage=LeaseStage.REQUESTING,
        started_at=now,
        sequence=int(number * 2**52),
        next_request_at=now,
    )
    return replace(
        state,
        leases=(*state.leases, entry),
        own_numbers=state.own_numbers | {number_taken},
        last_number=number_taken,
    )


def _abandon_ungranted(
    state: OwnershipState, entry: Lease, now: float
) -> OwnershipState:
    """Drops a sought incarnation that its witnesses don't grant in time.

    Witnesses in the silence of their start grant one that is taken after their
    life became known, so that it is taken anew with the same witnesses.
    """
    if _would_be_granted_anew(state, entry):
        kept = tuple(lease for lease in state.leases if lease != entry)
        return _request_incarnation(replace(state, leases=kept), now, entry.witnesses)
    timed_out = now - entry.started_at >= state.settings.acquire_s
    granted = leases.lease_expiry(entry, state.settings) is not None
    if entry.stage != LeaseStage.REQUESTING or granted or not timed_out:
        return state
    unanswered = [n for n in entry.witnesses if n not in entry.last_reply_at]
    if not unanswered and not entry.refused and now < entry.started_at + 5.0:
        return state
    kept = tuple(lease for lease in state.leases if lease != entry)
    return replace(_exclude_witnesses(state, unanswered, now), leases=kept)


def _would_be_granted_anew(state: OwnershipState, entry: Lease) -> bool:
    """Returns whether a new number would be granted where this one is not."""
    if entry.stage != LeaseStage.REQUESTING:
        return False
    if leases.lease_expiry(entry, state.settings) is not None:
        return False
    known = state.witness_boot_ids
    restarted = [
        n
        for n in entry.witnesses
        if known.get(n, 0) != entry.witness_boot_ids.get(n, 0)
    ]
    available = {n for n in entry.witnesses if n in entry.latest_granted or n in known}
    return bool(restarted) and len(available) > len(entry.witnesses) // 2


def _replace_witnesses(
    state: OwnershipState, entry: Lease, now: float
) -> OwnershipState:
    """Takes a new incarnation beside the held one when its set is not whole."""
    unanswered = [
        node
        for node in entry.witnesses
        if node in entry.refused
        or now - entry.last_reply_at.get(node, entry.started_at)
        > WITNESS_REPLY_TIMEOUT_S
    ]
    state = _exclude_witnesses(state, unanswered, now)
    improvable = _is_membership_stable(state, now) and _can_improve_witnesses(
        state, entry, now
    )
    if not unanswered and not improvable:
        return state
    return replace(_request_incarnation(state, now), replaced_at=now)


def _can_improve_witnesses(state: OwnershipState, entry: Lease, now: float) -> bool:
    """Returns whether a better witness set can be had than an early makeshift."""
    candidates = _witness_candidates(state, now)
    places = {member.node: member.place for member in candidates}
    chosen = [node for node in entry.witnesses if node != state.node]
    if len(chosen) < min(len(candidates), state.settings.witness_count):
        return True
    own_zone = _zone(state.identity.place)
    used_zones = {_zone(places[node]) for node in chosen if node in places} - {own_zone}
    present_zones = {_zone(place) for place in places.values()} - {own_zone}
    return len(used_zones) < min(len(present_zones), state.settings.witness_count)


def _exclude_witnesses(
    state: OwnershipState, nodes: Iterable[str], now: float
) -> OwnershipState:
    """Keeps some nodes from being chosen as witnesses for a while."""
    excluded = state.unresponsive
    for node in nodes:
        excluded = excluded.set(node, now + WITNESS_EXCLUSION_S)
    return replace(state, unresponsive=excluded)


def _witness_candidates(state: OwnershipState, now: float) -> list[Member]:
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
    places = {member.node: member.place for member in _witness_candidates(state, now)}
    order = rendezvous_order(str(incarnation), list(places))
    own_zone = _zone(state.identity.place)
    outside = [node for node in order if _zone(places[node]) != own_zone]
    used_zones, one_per_zone = set(), []
    for node in outside:
        if _zone(places[node]) not in used_zones:
            used_zones.add(_zone(places[node]))
            one_per_zone.append(node)
    majority = state.settings.witness_count // 2 + 1
    preferred = list(dict.fromkeys((*one_per_zone, *outside)))
    chosen = list(dict.fromkeys((*preferred[:majority], *one_per_zone, *order)))
    chosen = chosen[: state.settings.witness_count]
    if not chosen or len(chosen) == 2:
        chosen.append(state.node)
    return tuple(chosen)


def _zone(place) -> tuple[str, str]:
    """Returns the region and availability zone of a place."""
    return place.region, place.availability_zone


def leave(state: OwnershipState) -> Result:
    """Ends all incarnations for good, once nothing is served any more."""
    actions = tuple(
        action for lease in state.leases for action in relinquish_messages(lease)
    )
    return replace(state, has_left=True, leases=()), actions


def relinquish_messages(lease: Lease) -> tuple[Send, ...]:
    """Returns what tells the witnesses that an incarnation was discarded."""
    return tuple(
        Send(node, LeaseRelinquished(lease.incarnation)) for node in lease.witnesses
    )
