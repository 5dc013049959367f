"""State of the ownership policy of one process."""

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
    """Newest known version of a member object."""

    version: int
    member: Member


@dataclass(frozen=True, slots=True)
class KnownChunk:
    """Newest known version of a chunk object."""

    version: int
    chunk: Chunk


@dataclass(frozen=True, slots=True)
class Serving:
    """Incarnation, row version and rank under which a slice is served.

    Attributes:
        incarnation: Own incarnation whose lease must be valid.
        version: Version of the row that grants the ownership.
        rank: Position in the row's succession.
        since: When the slice was gained under this version, in seconds.
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
    """Release to acknowledge once a slice is idle.

    Attributes:
        version: Version below which the slice is released.
        token: Fencing token under which the slice was served.
        requesters: Nodes that wait for the acknowledgement.
    """

    version: int
    token: int
    requesters: frozenset[str] = frozenset()


@dataclass(frozen=True, slots=True)
class PendingWrite:
    """Conditional update whose outcome is not known yet.

    Attributes:
        object_key: Node of a member, or chunk key.
        value: The new content.
        expected_version: Version that the update replaces.
        sent_at: When it was sent, in seconds.
    """

    object_key: str | ChunkKey
    value: Member | Chunk
    expected_version: int
    sent_at: float


@dataclass(frozen=True, slots=True)
class OwnershipState:
    """Complete state of one process.

    Attributes:
        settings: Times and counts of the protocol.
        identity: Properties that the process announces.
        started_at: When this process run began, in seconds.
        seed: State of the random number generator.
        witness: State of the process as a witness.
        ready: Whether the upstream of the process accepts requests.
        draining: Whether all slices are to be handed over.
        has_left: Whether the process has relinquished its incarnations for good.
        witness_set_complete: Whether a held incarnation has had a complete
            witness set, or the wait for one has timed out.
        leases: Incarnations that are held or requested, oldest first.
        own_numbers: Numbers of all incarnations of this process run.
        boot_id: Unique id of this process run and prefix of its change ids.
        change_count: Number of change ids generated so far.
        last_number: Highest incarnation number used or seen for the own node.
        members: Newest known member objects, by node.
        chunks: Newest known chunk objects, by chunk key.
        rows: Newest known rows, by slice.
        own_rows: Rows with an incarnation of this process run in their
            succession, sorted by slice.
        witness_sets: Witnesses of each incarnation.
        released_below: Version of each slice below which it is released here.
        last_tokens: Token under which each slice was last served here.
        reported_carved: Versions of carved slices known only from revocation
            requests, by slice.
        serving: Slices that the process owns.
        stopping: Slices that are released once their requests have ended.
        revoke_acks: Acknowledgements of other processes, by incarnation and slice.
        proven_expiry: When the lease of each incarnation has provably expired, in
            seconds.
        probes: Running probes, by target.
        unacked_since: Time from which each retiring incarnation has not
            acknowledged its revocation, in seconds.
        pending: Platform writes in progress, by change id.
        next_write_at: Earliest time of the next write, by object key.
        mark_lost_at: When to mark the member of each expired incarnation as
            lost, in seconds.
        ready_at: When the upstream became ready, in seconds.
        witness_boot_ids: Latest known boot id of each witness in its hold-off.
        excluded_until: Time until which each node is excluded as a witness.
        next_revoke_at: When revocations are requested next, in seconds.
        next_release_at: When releases are repeated next, in seconds.
        next_prune_at: When unused state is discarded next, in seconds.
        replaced_at: When an incarnation was last requested to replace a held one,
            in seconds.
        last_join_at: When a new node was last seen, in seconds.
        next_witness_check_at: When the witness set is checked next, in seconds.
        scan_schedule: Times and inputs of the latest scans over all rows.
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
    change_count: int = 0
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
    next_write_at: Map = field(default_factory=Map)
    mark_lost_at: Map = field(default_factory=Map)
    ready_at: float = 0.0
    witness_boot_ids: Map = field(default_factory=Map)
    excluded_until: Map = field(default_factory=Map)
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
        """Returns whether the process may gain ownership of slices."""
        return (
            self.ready
            and self.witness_set_complete
            and not self.draining
            and not self.has_left
        )

    def is_own(self, incarnation: Incarnation) -> bool:
        """Returns whether an incarnation belongs to this process run."""
        return (
            incarnation.node == self.identity.node
            and incarnation.number in self.own_numbers
        )

    def has_expired(self, incarnation: Incarnation, now: float) -> bool:
        """Returns whether an incarnation's lease has provably expired."""
        return now >= self.proven_expiry.get(incarnation, float("inf"))

    def has_acked(
        self, incarnation: Incarnation, slice_id: SliceId, version: int
    ) -> bool:
        """Returns whether an incarnation acknowledged this or a later version."""
        ack = self.revoke_acks.get((incarnation, slice_id))
        return ack is not None and ack.version >= version

    def held(self, now: float) -> tuple[Incarnation, ...]:
        """Returns the announced incarnations with a valid lease, oldest first."""
        return tuple(
            lease.incarnation
            for lease in self.leases
            if lease.stage == LeaseStage.HELD and self.expiry_of(lease) > now
        )

    def expiry_of(self, lease: Lease) -> float:
        """Returns when a lease expires, minus infinity before a first majority."""
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
    """Returns a result with actions appended."""
    state, earlier_actions = result
    return state, (*earlier_actions, *actions)
