"""Runs the ownership and placement policies: feeds events, performs actions.

All decisions are made by the policies. The task owns their state, the messages
to peers and the writes to the platform.
"""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable
from dataclasses import dataclass, replace

import structlog

from rosemarydeal.core import (
    Member,
    MemberPhase,
    Row,
    SliceId,
    SliceOwnership,
    Versioned,
    key_hash,
)
from rosemarydeal.core.clock import now
from rosemarydeal.core.messages import Message
from rosemarydeal.objects import (
    Platform,
    PlatformConflict,
    PlatformError,
    PlatformUnavailable,
)
from rosemarydeal.policy import control, ownership
from rosemarydeal.policy.entry import MembersChanged, RowsChanged
from rosemarydeal.policy.fleet import LIVE_PHASES, may_get_work
from rosemarydeal.policy.interface import (
    Action,
    ChunkRead,
    Event,
    IncarnationLost,
    MemberRead,
    MessageReceived,
    OwnershipGained,
    OwnershipLost,
    Send,
    StopAdmitting,
    Tick,
    WriteChunk,
    WriteConflicted,
    WriteFailed,
    WriteMember,
    WriteSucceeded,
)

from . import objects
from .errors import DaemonError
from .mailbox import Mailbox
from .operators import OperatorExclusions
from .peer_router import PeerRouter
from .records import RecordsTask

__all__ = ["ControlHooks", "ControlTask"]

TICK_S = 0.1
MAILBOX_CAPACITY = 16_384

_log = structlog.get_logger()

GuardNotice = StopAdmitting | OwnershipGained | OwnershipLost | IncarnationLost


@dataclass(frozen=True, slots=True)
class ControlHooks:
    """Connects the control task to the guard and the entry.

    Attributes:
        on_notice: Called with changes of slice ownership, for the guard.
        on_view: Called with changed members and rows, for the entry.
    """

    on_notice: Callable[[GuardNotice], None]
    on_view: Callable[[MembersChanged | RowsChanged], None]


class ControlTask:
    """Owns the state of the ownership and placement policies of one process."""

    def __init__(
        self,
        state: ownership.OwnershipState,
        platform: Platform,
        records: RecordsTask,
        peer_router: PeerRouter,
        hooks: ControlHooks,
    ) -> None:
        self._state = state
        self._platform = platform
        self._records = records
        self._peer_router = peer_router
        self._hooks = hooks
        self._placement: control.ControlState | None = None
        self._exclusions = OperatorExclusions()
        self._next_tick = 0.0
        self._drained = asyncio.Event()
        self._mailbox: Mailbox[Event] = Mailbox(MAILBOX_CAPACITY)
        self._writes: set[asyncio.Task[None]] = set()
        records.subscribe(self._on_object)

    @property
    def state(self) -> ownership.OwnershipState:
        """Returns the current state of the ownership policy, for queries."""
        return self._state

    def slice_ownership(self, slice_id: SliceId) -> SliceOwnership | None:
        """Returns the ownership of a slice if it is valid now, else None."""
        return ownership.slice_ownership(self._state, slice_id, now())

    def member(self, node: str) -> Member | None:
        """Returns the newest member record of a node, None if there is none."""
        record = self._state.members.get(node)
        return record.member if record is not None else None

    def slice(self, base: SliceId, key: str, slices: int) -> SliceId:
        """Returns the slice of a key: its carved slice if it has one."""
        digest = key_hash(key)
        return ownership.slice_of_key(self._state, base.service, digest, slices)

    def row(self, slice_id: SliceId) -> Row | None:
        """Returns the newest row of a slice, None if there is none."""
        return ownership.row_of(self._state, slice_id)

    def configure_placement(self, settings: control.ControlSettings | None) -> None:
        """Starts, updates or stops the placement of the own service's slices.

        Args:
            settings: Settings of the placement, None for a service without keys.
        """
        if settings is None:
            self._placement = None
        elif self._placement is not None:
            self._step_placement(control.SettingsChanged(settings))
        else:
            node = self._state.identity.node
            self._placement = control.start(settings, node, self._state.seed)
            self.replay()
            self.apply_exclusions(self._exclusions)

    def on_load(self, load: control.LocalLoad) -> None:
        """Passes the load of the own upstream to the placement policy."""
        self._step_placement(load)

    def apply_exclusions(self, exclusions: OperatorExclusions) -> None:
        """Applies the availability zones and upstreams that operators excluded."""
        self._exclusions = exclusions
        self._hooks.on_view(MembersChanged(self._members_for_entry()))
        if not self._records.complete.is_set():
            # Before the first full read of the platform, exclusions may be
            # missing, so slices are not placed yet.
            return
        self._step_placement(control.ZonesChanged(exclusions.zones.names))
        self._step_placement(control.UpstreamsDrained(exclusions.upstreams.names))

    def replay(self) -> None:
        """Queues all objects that were read before this task started."""
        for versioned in self._records.objects.values():
            self._on_object(versioned)

    def on_message(self, sender: str, message: Message) -> None:
        """Queues a message of a peer."""
        self.post(MessageReceived(sender, message))

    def broadcast(self, service: str, message: Message) -> None:
        """Sends a message to all other processes of a service."""
        for member in ownership.known_members(self._state):
            live = member.service == service and member.phase in LIVE_PHASES
            if live and member.node != self._state.identity.node:
                self._perform(Send(member.node, message))

    def send_to_names(self, slice_id: SliceId, message: Message) -> None:
        """Sends a message to all other nodes in the succession of a slice."""
        row = self.row(slice_id)
        names = row.succession if row is not None else ()
        for node in {name.node for name in names}:
            if node != self._state.identity.node:
                self._perform(Send(node, message))

    def post(self, event: Event) -> None:
        """Queues an event for the policy."""
        self._mailbox.post(event)

    async def wait_drained(self, timeout_s: float) -> None:
        """Waits until this process serves no slice, or until the timeout."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout_s):
                await self._drained.wait()

    async def run(self) -> None:
        """Handles events and ticks until cancelled."""
        try:
            while True:
                await self._run_once()
        finally:
            for write in self._writes:
                write.cancel()

    async def _run_once(self) -> None:
        """Handles one event, or a tick if none arrives in time."""
        event: Event = Tick()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(max(0.0, self._next_tick - now())):
                event = await self._mailbox.receive()
        if isinstance(event, Tick):
            self._next_tick = now() + TICK_S
        self._step(event)

    def _step(self, event: Event) -> None:
        """Feeds an event to the policies and performs their actions."""
        self._state, actions = ownership.step(self._state, event, now())
        for action in actions:
            self._perform(action)
        self._step_placement(event)
        self._notify_entry(event)
        if self._state.draining and ownership.is_drained(self._state):
            self._drained.set()

    def _notify_entry(self, event: Event) -> None:
        """Passes changed members and rows to the entry."""
        match event:
            case MemberRead():
                self._hooks.on_view(MembersChanged(self._members_for_entry()))
            case ChunkRead(chunk=chunk):
                self._hooks.on_view(RowsChanged(chunk.rows))

    def _members_for_entry(self) -> tuple[Member, ...]:
        """Returns all members, with those excluded by operators as draining."""
        zones, upstreams = (
            self._exclusions.zones.names,
            self._exclusions.upstreams.names,
        )
        return tuple(
            replace(member, phase=MemberPhase.DRAINING)
            if member.phase is MemberPhase.UP
            and not may_get_work(member, zones, upstreams)
            else member
            for member in ownership.known_members(self._state)
        )

    def _step_placement(self, event: Event | control.ControlEvent) -> None:
        """Feeds an event to the placement policy, if the service has keys."""
        if self._placement is None:
            return
        self._placement, actions = control.step(self._placement, event, now())
        for action in actions:
            self._perform(action)

    def _perform(self, action: Action | control.ControlAction) -> None:
        """Performs one action of a policy."""
        match action:
            case Send(to, message):
                self._peer_router.send(to, message)
            case WriteMember(member, expected, change_id):
                key = objects.member_key(member.node)
                self._start_write(key, objects.encode(member), expected, change_id)
            case WriteChunk(chunk, expected, change_id):
                key = objects.chunk_key(chunk.service, chunk.number)
                self._start_write(key, objects.encode(chunk), expected, change_id)
            case _:
                self._hooks.on_notice(action)

    def _start_write(self, key: str, value: bytes, expected: int, change: str) -> None:
        """Starts a conditional write in the background."""
        task = asyncio.create_task(self._write(key, value, expected, change))
        self._writes.add(task)
        task.add_done_callback(self._writes.discard)

    async def _write(self, key: str, value: bytes, expected: int, change: str) -> None:
        """Makes a conditional write and reports its result to the policy."""
        try:
            version = await self._platform.put(key, value, expected, change)
        except PlatformConflict:
            self.post(WriteConflicted(change))
            await self._records.read(key)
        except PlatformUnavailable:
            self.post(WriteFailed(change, outcome_known=False))
        except PlatformError as error:
            _log.error("platform_write_rejected", key=key, code=error.code)
            self.post(WriteFailed(change, outcome_known=True))
        else:
            self.post(WriteSucceeded(change, version))
            self._records.add(Versioned(key, version, value))

    def _on_object(self, versioned: Versioned) -> None:
        """Queues a new version of a member or chunk; other objects are ignored."""
        try:
            if versioned.key.startswith(objects.MEMBER_PREFIX):
                member = objects.decode_member(versioned.value)
                self.post(MemberRead(versioned.version, member))
            elif versioned.key.startswith(objects.SLICE_PREFIX):
                self.post(
                    ChunkRead(versioned.version, objects.decode_chunk(versioned.value))
                )
        except DaemonError as error:
            _log.error("object_malformed", key=versioned.key, detail=error.detail)
