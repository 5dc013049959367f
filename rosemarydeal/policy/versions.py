"""Gossip protocol that spreads new versions of the platform's objects among peers.

A few processes of each availability zone watch the platform; the others receive
the objects from peers, whether the platform is up or down. A version is never
replaced by an older one. A new version is announced at once to a few random peers.
In addition, every process regularly compares some of its versions with a random
peer (anti-entropy), so that a lost announcement is made up for.
"""

from __future__ import annotations

import random
import zlib
from collections.abc import Iterable
from dataclasses import dataclass, field, replace

from immutables import Map

from rosemarydeal.core import (
    CONFIG_KEY,
    UPSTREAMS_KEY,
    ZONES_KEY,
    Member,
    MemberPhase,
    Place,
    Versioned,
)
from rosemarydeal.core.keys import rendezvous_order
from rosemarydeal.core.messages import (
    JoinRequest,
    Message,
    RecordsReply,
    RecordsRequest,
    VersionsNotice,
)

from .interface import Send

__all__ = [
    "RecordReceived",
    "VersionsResult",
    "VersionsSettings",
    "VersionsState",
    "add_record",
    "is_watcher",
    "on_message",
    "on_tick",
    "set_peers",
    "start",
]

OBJECT_BYTES_MAX = 1024 * 1024


@dataclass(frozen=True, slots=True)
class VersionsSettings:
    """Parameters of the exchange.

    Attributes:
        watchers_per_zone: Processes of an availability zone that watch the platform.
        fanout: Peers to which a new version is announced in each round.
        rounds: Rounds in which a new version is announced.
        round_interval_s: Time between these rounds.
        compare_interval_s: Mean time between comparisons with a peer.
        compared_keys: Keys in each comparison besides the urgent ones.
        request_timeout_s: Time after which a request without reply is repeated.
        reply_bytes: Limit on the compressed content of one reply.
        urgent_prefixes: Prefixes of the keys that are part of every comparison.
    """

    watchers_per_zone: int = 2
    fanout: int = 3
    rounds: int = 2
    round_interval_s: float = 0.5
    compare_interval_s: float = 2.0
    compared_keys: int = 16
    request_timeout_s: float = 1.0
    reply_bytes: int = 64 * 1024
    urgent_prefixes: tuple[str, ...] = (CONFIG_KEY, ZONES_KEY, UPSTREAMS_KEY)


@dataclass(frozen=True, slots=True)
class RecordReceived:
    """A newer version of an object was received from a peer."""

    record: Versioned


VersionsResult = tuple["VersionsState", tuple[Send | RecordReceived, ...]]


@dataclass(frozen=True, slots=True)
class VersionsState:
    """State of the exchange in one process.

    Attributes:
        settings: Parameters of the exchange.
        node: Name of the process.
        place: Location of the process.
        seed: Seed of the next random numbers.
        records: Newest known objects, by key.
        peers: Other live nodes, sorted.
        watchers: Nodes of the own availability zone that watch the platform.
        rounds_left: Number of rounds in which a key is still announced, by key.
        requested_until: Time at which the request for a key times out, by key.
        next_round_at: Earliest time of the next round of announcements, in seconds.
        next_compare_at: Time of the next comparison, in seconds.
        last_compared_key: Last key of the latest comparison.
    """

    settings: VersionsSettings
    node: str
    place: Place
    seed: int
    records: Map = field(default_factory=Map)
    peers: tuple[str, ...] = ()
    watchers: frozenset[str] = frozenset()
    rounds_left: Map = field(default_factory=Map)
    requested_until: Map = field(default_factory=Map)
    next_round_at: float = 0.0
    next_compare_at: float = 0.0
    last_compared_key: str = ""


def start(
    settings: VersionsSettings, node: str, place: Place, now: float, seed: int
) -> VersionsState:
    """Returns the initial state of a process, without objects and peers.

    Args:
        settings: Parameters of the exchange.
        node: Name of the process.
        place: Location of the process.
        now: Current time, in seconds.
        seed: Random seed.
    """
    compare_at = now + random.Random(seed).uniform(0.0, settings.compare_interval_s)
    return VersionsState(settings, node, place, seed, next_compare_at=compare_at)


def set_peers(state: VersionsState, members: Iterable[Member]) -> VersionsState:
    """Sets the peers, and the watchers from the live members of the own zone.

    Args:
        state: The state.
        members: The known members; the process itself may be one of them.
    """
    ended = (MemberPhase.LOST, MemberPhase.GONE)
    live = {m.node: m.place for m in members if m.phase not in ended}
    zone_nodes = {
        node for node, place in live.items() if _zone(place) == _zone(state.place)
    }
    ranked = rendezvous_order("watchers", sorted(zone_nodes | {state.node}))
    return replace(
        state,
        peers=tuple(sorted(live.keys() - {state.node})),
        watchers=frozenset(ranked[: state.settings.watchers_per_zone]),
    )


def _zone(place: Place) -> tuple[str, str]:
    """Returns the region and availability zone of a place."""
    return place.region, place.availability_zone


def is_watcher(state: VersionsState) -> bool:
    """Returns whether the process has to watch the platform itself.

    A process without peers always does, as it can't receive versions otherwise.
    """
    return not state.peers or state.node in state.watchers


def add_record(state: VersionsState, record: Versioned) -> tuple[VersionsState, bool]:
    """Adds an object, unless the same or a newer version is known.

    Args:
        state: The state.
        record: The object.

    Returns:
        The new state, and whether the version was new.
    """
    known = state.records.get(record.key)
    if known is not None and known.version >= record.version:
        return state, False
    requested_until = state.requested_until
    if record.key in requested_until:
        requested_until = requested_until.delete(record.key)
    updated = replace(
        state,
        records=state.records.set(record.key, record),
        rounds_left=state.rounds_left.set(record.key, state.settings.rounds),
        requested_until=requested_until,
    )
    return updated, True


def on_tick(state: VersionsState, now: float) -> VersionsResult:
    """Announces new versions and compares versions, if due.

    Args:
        state: The state.
        now: Current time, in seconds.
    """
    actions = ()
    if state.rounds_left and state.peers and now >= state.next_round_at:
        state, actions = _announce(state, now)
    if state.peers and now >= state.next_compare_at:
        state, more = _compare(state, now)
        actions += more
    return state, actions


def _announce(state: VersionsState, now: float) -> VersionsResult:
    """Announces the new versions to a few random peers."""
    state, rng = _next_rng(state)
    count = min(state.settings.fanout, len(state.peers))
    recipients = rng.sample(state.peers, count)
    notice = _notice(state, sorted(state.rounds_left))
    rounds_left = {
        key: rounds - 1 for key, rounds in state.rounds_left.items() if rounds > 1
    }
    next_at = now + state.settings.round_interval_s
    state = replace(state, rounds_left=Map(rounds_left), next_round_at=next_at)
    return state, tuple(Send(node, notice) for node in recipients)


def _compare(state: VersionsState, now: float) -> VersionsResult:
    """Sends the versions of the urgent keys and the next others to a random peer."""
    state, rng = _next_rng(state)
    keys = sorted(state.records)
    urgent = [key for key in keys if key.startswith(state.settings.urgent_prefixes)]
    after = [key for key in keys if key > state.last_compared_key]
    others = (after or keys)[: state.settings.compared_keys]
    next_at = now + state.settings.compare_interval_s * rng.uniform(0.8, 1.2)
    last_compared_key = others[-1] if others else ""
    notice = _notice(state, sorted({*urgent, *others}))
    state = replace(state, next_compare_at=next_at, last_compared_key=last_compared_key)
    return state, (Send(rng.choice(state.peers), notice),)


def _notice(state: VersionsState, keys: list[str]) -> VersionsNotice:
    """Returns a notice with the known versions of some keys."""
    return VersionsNotice(tuple((key, state.records[key].version) for key in keys))


def _next_rng(state: VersionsState) -> tuple[VersionsState, random.Random]:
    """Returns a random number generator, and the state with the next seed."""
    rng = random.Random(state.seed)
    return replace(state, seed=rng.getrandbits(64)), rng


def on_message(
    state: VersionsState, sender: str, message: Message, now: float
) -> VersionsResult:
    """Handles a message of a peer; messages of other protocols are ignored.

    Args:
        state: The state.
        sender: The peer.
        message: Its message.
        now: Current time, in seconds.
    """
    match message:
        case VersionsNotice(versions=versions):
            return _on_notice(state, sender, versions, now)
        case RecordsRequest(keys=keys):
            return state, _reply(state, sender, keys)
        case JoinRequest(prefixes=prefixes):
            keys = sorted(key for key in state.records if key.startswith(prefixes))
            return state, _reply(state, sender, tuple(keys))
        case RecordsReply(records=records):
            return _on_records(state, records)
    return state, ()


def _on_notice(
    state: VersionsState,
    sender: str,
    versions: tuple[tuple[str, int], ...],
    now: float,
) -> VersionsResult:
    """Requests objects that are newer at the sender; announces those newer here."""
    wanted, newer = [], []
    for key, version in versions:
        known = state.records.get(key)
        own_version = known.version if known else 0
        if version > own_version and now >= state.requested_until.get(key, 0.0):
            wanted.append(key)
        elif version < own_version:
            newer.append(key)
    requested_until = state.requested_until
    for key in wanted:
        requested_until = requested_until.set(
            key, now + state.settings.request_timeout_s
        )
    actions = ()
    if wanted:
        actions += (Send(sender, RecordsRequest(tuple(wanted))),)
    if newer:
        actions += (Send(sender, _notice(state, newer)),)
    return replace(state, requested_until=requested_until), actions


def _reply(
    state: VersionsState, sender: str, keys: tuple[str, ...]
) -> tuple[Send, ...]:
    """Sends known objects, up to the size limit of one reply."""
    records, size = [], 0
    for key in keys:
        known = state.records.get(key)
        if known is None:
            continue
        value = zlib.compress(known.value)
        size += len(value)
        if records and size > state.settings.reply_bytes:
            break
        records.append((key, known.version, value))
    return (Send(sender, RecordsReply(tuple(records))),) if records else ()


def _on_records(
    state: VersionsState, records: tuple[tuple[str, int, bytes], ...]
) -> VersionsResult:
    """Adds the objects of a peer's reply; broken ones are skipped."""
    actions = ()
    for key, version, compressed in records:
        value = _decompress(compressed)
        if value is None:
            continue
        record = Versioned(key, version, value)
        state, new = add_record(state, record)
        if new:
            actions += (RecordReceived(record),)
    return state, actions


def _decompress(compressed: bytes) -> bytes | None:
    """Decompresses a value; returns None if it is broken or too large."""
    decompressor = zlib.decompressobj()
    try:
        value = decompressor.decompress(compressed, OBJECT_BYTES_MAX)
    except zlib.error:
        return None
    return value if decompressor.eof else None
