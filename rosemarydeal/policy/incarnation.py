"""Life cycle of the incarnations of a process and choice of their witnesses.

An incarnation is leased before it is written to the platform's member object.
A process that reads of an incarnation can therefore rely on its holder having
renewed the lease ever since, or having discarded the incarnation.
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
    "build_member",
    "choose_witnesses",
    "expire",
    "is_announced",
    "leave",
    "on_lease_reply",
    "relinquish_messages",
    "renew_leases",
    "update_incarnation",
]

WITNESS_EXCLUSION_S = 10.0
WITNESS_REPLY_TIMEOUT_S = 1.5
MEMBERSHIP_STABLE_S = 0.7
WITNESS_SET_TIMEOUT_S = 4.0


def is_announced(state: OwnershipState) -> bool:
    """Returns whether the platform has a member object of this process run."""
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
    """Discards incarnations whose lease has expired, and ownership under them.

    No lease is ever requested again for an expired incarnation, even if a witness
    that lost its promise in a restart would grant it.
    """
    actions = ()
    for lease in state.leases:
        if leases.has_expired(lease, state.settings, now):
            kept = tuple(entry for entry in state.leases if entry != lease)
            state, more = _discard(replace(state, leases=kept), lease)
            actions += more
    return state, actions


def _discard(state: OwnershipState, lease: Lease) -> Result:
    """Ends the ownership under an expired incarnation."""
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
    """Sends the lease requests that are due for each incarnation."""
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
    """Records a witness's reply and its boot id, if it gives one."""
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
    """Requests a new incarnation if there is none, or to replace witnesses."""
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
    """Returns whether witnesses can be chosen from the known members."""
    enough = len(state.members) > state.settings.witness_count
    timed_out = now >= state.started_at + state.settings.bootstrap_s
    return timed_out or (enough and _is_membership_stable(state, now))


def _is_membership_stable(state: OwnershipState, now: float) -> bool:
    """Returns whether no new member has joined recently."""
    return now - state.last_join_at >= MEMBERSHIP_STABLE_S


def _check_witness_set(state: OwnershipState, now: float) -> OwnershipState:
    """Allows the process to own slices once its witness set is complete.

    With an incomplete set it is hard to prove after a failure that the lease has
    expired. No row should refer to such an incarnation while a better witness set
    is available, so the process waits, at most for `WITNESS_SET_TIMEOUT_S`.
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
    """Creates a new incarnation whose lease is requested next."""
    state, number = draw(state)
    new_number = state.last_number + 1
    incarnation = Incarnation(state.node, new_number)
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
        own_numbers=state.own_numbers | {new_number},
        last_number=new_number,
    )


def _abandon_ungranted(
    state: OwnershipState, requested: Lease, now: float
) -> OwnershipState:
    """Drops a requested incarnation that is not granted in time.

    A witness in its startup hold-off grants a lease to an incarnation created after
    its boot id was received. If this allows a majority, a new incarnation with the
    same witnesses is requested at once.
    """
    if _can_grant_new_incarnation(state, requested):
        kept = tuple(lease for lease in state.leases if lease != requested)
        return _request_incarnation(
            replace(state, leases=kept), now, requested.witnesses
        )
    timed_out = now - requested.started_at >= state.settings.acquire_s
    granted = leases.lease_expiry(requested, state.settings) is not None
    if requested.stage != LeaseStage.REQUESTING or granted or not timed_out:
        return state
    unanswered = [
        node for node in requested.witnesses if node not in requested.last_reply_at
    ]
    if not unanswered and not requested.refused and now < requested.started_at + 5.0:
        return state
    kept = tuple(lease for lease in state.leases if lease != requested)
    return replace(_exclude_witnesses(state, unanswered, now), leases=kept)


def _can_grant_new_incarnation(state: OwnershipState, lease: Lease) -> bool:
    """Returns whether a new incarnation would get the lease that this one does not."""
    if lease.stage != LeaseStage.REQUESTING:
        return False
    if leases.lease_expiry(lease, state.settings) is not None:
        return False
    known = state.witness_boot_ids
    restarted = [
        node
        for node in lease.witnesses
        if known.get(node, 0) != lease.witness_boot_ids.get(node, 0)
    ]
    available = {
        node
        for node in lease.witnesses
        if node in lease.latest_granted or node in known
    }
    return bool(restarted) and len(available) > len(lease.witnesses) // 2


def _replace_witnesses(
    state: OwnershipState, lease: Lease, now: float
) -> OwnershipState:
    """Requests a second incarnation if a witness fails or a better set is available."""
    unanswered = [
        node
        for node in lease.witnesses
        if node in lease.refused
        or now - lease.last_reply_at.get(node, lease.started_at)
        > WITNESS_REPLY_TIMEOUT_S
    ]
    state = _exclude_witnesses(state, unanswered, now)
    improvable = _is_membership_stable(state, now) and _can_improve_witnesses(
        state, lease, now
    )
    if not unanswered and not improvable:
        return state
    return replace(_request_incarnation(state, now), replaced_at=now)


def _can_improve_witnesses(state: OwnershipState, lease: Lease, now: float) -> bool:
    """Returns whether a larger or more widely spread witness set is available."""
    candidates = _witness_candidates(state, now)
    places = {member.node: member.place for member in candidates}
    chosen = [node for node in lease.witnesses if node != state.node]
    if len(chosen) < min(len(candidates), state.settings.witness_count):
        return True
    own_zone = _zone(state.identity.place)
    used_zones = {_zone(places[node]) for node in chosen if node in places} - {own_zone}
    present_zones = {_zone(place) for place in places.values()} - {own_zone}
    return len(used_zones) < min(len(present_zones), state.settings.witness_count)


def _exclude_witnesses(
    state: OwnershipState, nodes: Iterable[str], now: float
) -> OwnershipState:
    """Excludes nodes from the choice of witnesses for `WITNESS_EXCLUSION_S`."""
    excluded = state.excluded_until
    for node in nodes:
        excluded = excluded.set(node, now + WITNESS_EXCLUSION_S)
    return replace(state, excluded_until=excluded)


def _witness_candidates(state: OwnershipState, now: float) -> list[Member]:
    """Returns the other members that may be chosen as witnesses.

    If all are excluded, those that may still run are candidates again: nobody could
    prove the expiry of a lease that only the process itself has granted. A process
    that none of them has answered since its start may be the only one left.
    """
    ended = (MemberPhase.LOST, MemberPhase.GONE)
    others = [
        known.member
        for node, known in state.members.items()
        if node != state.node and known.member.phase not in ended
    ]
    available = [
        member for member in others if state.excluded_until.get(member.node, 0.0) <= now
    ]
    timed_out = now >= state.started_at + WITNESS_SET_TIMEOUT_S
    if available or (timed_out and not state.witness_set_complete):
        return available
    return [
        member for member in others if member.incarnation not in state.proven_expiry
    ]


def choose_witnesses(
    state: OwnershipState, incarnation: Incarnation, now: float
) -> tuple[str, ...]:
    """Chooses witnesses in several availability zones, most outside the own one.

    A majority of the witnesses then survives the loss of the own availability zone
    and can prove that the lease has expired.

    Args:
        state: The process.
        incarnation: The incarnation that they are to grant leases.
        now: Present time, in seconds.

    Returns:
        The nodes; includes the process itself only if there are too few others.
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
    """Relinquishes all incarnations for good, after all slices are released."""
    actions = tuple(
        action for lease in state.leases for action in relinquish_messages(lease)
    )
    return replace(state, has_left=True, leases=()), actions


def relinquish_messages(lease: Lease) -> tuple[Send, ...]:
    """Returns the notices to the witnesses of a relinquished incarnation."""
    return tuple(
        Send(node, LeaseRelinquished(lease.incarnation)) for node in lease.witnesses
    )
