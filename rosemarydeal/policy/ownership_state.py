"""Defines the whole state of the ownership policy of one process."""

from __future__ import annotations

import random
from dataclasses import dataclass, field, replace

from immutables import Map

from rosemarydeal.core import (
    TOKEN_RANKS,
    Chunk,
    Incarnation,
    Member,
    MemberPhase,
    Row,
    SliceId,
)

from .interface import Action
from .lease import Lease, LeaseStage, lease_expiry
from .ownership_settings import Identity, OwnershipSettings
from .scan_schedule import ScanSchedule
from .witness import WitnessState

__all__ = [
    "ChunkKey",
    "KnownChunk",
    "KnownMember",
    "OwnershipState",
    "PendingWrite",
    "Result",
    "Serving",
    "Stopping",
    "WriteKind",
    "add_action",
    "draw",
]

Result = tuple["OwnershipState", tuple[Action, ...]]
ChunkKey = tuple[str, int]
WriteKind = str


@dataclass(frozen=True, slots=True)
class KnownMember:
    """Holds the newest known version of a member object."""

    version: int
    member: Member


@dataclass(frozen=True, slots=True)
class KnownChunk:
    """Holds the newest known version of a chunk object."""

    version: int
    chunk: Chunk


@dataclass(frozen=True, slots=True)
class Serving:
    """Says by which incarnation, version and rank a slice is served.

    Attributes:
        incarnation: Own incarnation whose lease the right needs.
        version: Version of the row that gives the right.
        rank: Position in the row's succession.
        since: When the right was gained or its version adopted, in seconds.
    """

    incarnation: Incarnation
    version: int
    rank: int
    since: float

    @property
    def token(self) -> int:
        """Returns the fencing token, which grows with version and rank."""
        return self.version * TOKEN_RANKS + self.rank


@dataclass(frozen=True, slots=True)
class Stopping:
    """Says what to acknowledge once a slice is idle.

    Attributes:
        version: Version to clear.
        token: Fencing token under which the slice was served.
        askers: Nodes that wait for the acknowledgement.
    """

    version: int
    token: int
    requesters: frozenset[str] = frozenset()


@dataclass(frozen=True, slots=True)
class PendingWrite:
    """Remembers a conditional update whose outcome is not known yet.

    Attributes:
        object_key: Node of a member, or chunk key.
        value: The content written.
        expected_version: Version that the update replaces.
        sent_at: When it was sent, in seconds.
    """

    object_key: str | ChunkKey
    value: Member | Chunk
    expected_version: int
    sent_at: float


@dataclass(frozen=True, slots=True)
class OwnershipState:
    """Holds all that one process knows and holds.

    Attributes:
        settings: Times and counts of the protocol.
        identity: What the process announces about itself.
        started_at: When this life began, in seconds.
        seed: State of the random numbers.
        witness: The process as a witness.
        ready: Whether the upstream beside the process takes requests.
        draining: Whether all is to be handed over.
        gone: Whether the process has ended its last incarnation for good.
        settled: Whether a witness set that is no makeshift was had once.
        leases: Incarnations that are held or sought, oldest first.
        past: Numbers of all incarnations of this life.
        boot_id: Prefix of this run's change ids, unlike any other run's.
        changes: Number of change ids made so far.
        last_number: Highest number used or seen for the own node.
        members: Newest known member objects, by node.
        chunks: Newest known chunk objects, by chunk key.
        rows: Newest known rows, by slice.
        named: Rows that name an incarnation of this life, sorted by slice.
        holders: Witness sets, by incarnation.
        floors: Per slice, the version below which no right is held any more.
        served: Per slice, the last token it was served with here.
        reported_carved: Carved slices known from clear requests only.
        serving: Slices that the process owns.
        stopping: Slices that wait to be idle before they are cleared.
        cleared: Acknowledgements of others, by incarnation and slice.
        lapsed: When each proved incarnation has lapsed, in seconds.
        probes: Proofs under way, by target.
        blocked_since: Since when a retiring incarnation owes a clearance.
        pending: Platform writes under way, by change id.
        not_before: Earliest time of the next write, by object key.
        to_mark: Proved incarnations whose member is to be marked lost, each at
            a time.
        ready_at: When the upstream became ready, in seconds.
        witness_boot_ids: Latest known boot id of each witness in its hold-off.
        unresponsive: Nodes not to choose as witnesses, each until a time.
        next_clear_at: When clearances are asked for next, in seconds.
        next_release_at: When releases are repeated next, in seconds.
        next_prune_at: When timers are pruned next, in seconds.
        joined_at: When a node was seen for the first time, in seconds.
        renewed_at: When the last incarnation was taken, in seconds.
        next_renew_check_at: When the witness set is looked at next, in seconds.
        scan_schedule: The latest walks over all rows.
    """

    settings: OwnershipSettings
    identity: Identity
    started_at: float
    seed: int
    witness: WitnessState
    ready: bool = False
    draining: bool = False
    has_left: bool = False
    witness_set_complete: bool = False
    leases: tuple[Lease, ...] = ()
    own_numbers: frozenset[int] = frozenset()
    boot_id: str = ""
    changes: int = 0
    last_number: int = 0
    members: Map = field(default_factory=Map)
    chunks: Map = field(default_factory=Map)
    rows: Map = field(default_factory=Map)
    own_rows: tuple[Row, ...] = ()
    witness_sets: Map = field(default_factory=Map)
    released_below: Map = field(default_factory=Map)
    last_tokens: Map = field(default_factory=Map)
    reported_carved: Map = field(default_factory=Map)
    serving: Map = field(default_factory=Map)
    stopping: Map = field(default_factory=Map)
    revoke_acks: Map = field(default_factory=Map)
    proven_expiry: Map = field(default_factory=Map)
    probes: Map = field(default_factory=Map)
    unacked_since: Map = field(default_factory=Map)
    pending: Map = field(default_factory=Map)
    not_before: Map = field(default_factory=Map)
    mark_lost_at: Map = field(default_factory=Map)
    ready_at: float = 0.0
    witness_boot_ids: Map = field(default_factory=Map)
    unresponsive: Map = field(default_factory=Map)
    next_revoke_at: float = 0.0
    next_release_at: float = 0.0
    next_prune_at: float = 0.0
    replaced_at: float = 0.0
    last_join_at: float = 0.0
    next_witness_check_at: float = 0.0
    scan_schedule: ScanSchedule = ScanSchedule()

    @property
    def node(self) -> str:
        """Returns the name of the own node."""
        return self.identity.node

    @property
    def can_own_slices(self) -> bool:
        """Returns whether the process may gain rights at all."""
        return (
            self.ready
            and self.witness_set_complete
            and not self.draining
            and not self.has_left
        )

    def is_own(self, incarnation: Incarnation) -> bool:
        """Returns whether an incarnation belongs to this life of the process."""
        return (
            incarnation.node == self.identity.node
            and incarnation.number in self.own_numbers
        )

    def has_expired(self, incarnation: Incarnation, now: float) -> bool:
        """Returns whether an incarnation is proved lapsed by now."""
        return now >= self.proven_expiry.get(incarnation, float("inf"))

    def has_acked(
        self, incarnation: Incarnation, slice_id: SliceId, version: int
    ) -> bool:
        """Returns whether a name acknowledged a version of a slice or a later one."""
        ack = self.revoke_acks.get((incarnation, slice_id))
        return ack is not None and ack.version >= version

    def held(self, now: float) -> tuple[Incarnation, ...]:
        """Returns the incarnations whose lease is running and announced."""
        return tuple(
            lease.incarnation
            for lease in self.leases
            if lease.stage == LeaseStage.HELD and self.expiry_of(lease) > now
        )

    def expiry_of(self, lease: Lease) -> float:
        """Returns when a lease ends, minus infinity before its first majority."""
        expiry = lease_expiry(lease, self.settings)
        return float("-inf") if expiry is None else expiry

    def newest_held(self, now: float) -> Incarnation | None:
        """Returns the newest held incarnation, if any."""
        held = self.held(now)
        return held[-1] if held else None

    def row(self, slice_id: SliceId) -> Row | None:
        """Returns the newest known row of a slice."""
        return self.rows.get(slice_id)

    def phase(self) -> MemberPhase:
        """Returns the phase to announce."""
        if self.has_left:
            return MemberPhase.GONE
        return MemberPhase.UP if self.can_own_slices else MemberPhase.DRAINING


def draw(state: OwnershipState) -> tuple[OwnershipState, float]:
    """Draws the next random number from 0 to 1."""
    seed = random.Random(state.seed).getrandbits(64)
    return replace(state, seed=seed), seed / 2.0**64


def add_action(result: Result, *actions: Action) -> Result:
    """Returns a result with further actions at its end."""
    state, earlier_actions = result
    return state, (*earlier_actions, *actions)
