"""Owns the links to the other processes.

Each process opens a link to every other one. It sends requests on its own links
and replies on those that others opened. Pings detect unresponsive peers, and
carry the load and the known revisions of the store's objects.
"""

from __future__ import annotations

import asyncio
import sys
from collections import Counter
from collections.abc import Callable, Mapping
from functools import partial
from typing import TypeVar

import msgspec
import structlog

from rosemarydeal.core import Address
from rosemarydeal.core.fleet import Member
from rosemarydeal.core.requests import (
    NotServed,
    OutcomeUnknown,
    RequestOutcome,
    RoutedRequest,
)
from rosemarydeal.policy.membership.monitors import monitored_peers
from rosemarydeal.policy.requests.settlement import Permit, ReceivedRequests, Statement
from rosemarydeal.proxy import BodyBuffers, NoBodyRoom

from .detour import Detour
from .frames import FrameConnection
from .held_outcomes import HeldOutcomes, PendingRequest
from .link import Link, LinkHooks, PeerState, PingReceipt
from .link_monitor import LinkMonitor
from .memory import NO_MEMORY
from .messages import (
    AnswerReply,
    CancelRequest,
    CrashSuspects,
    FetchObjects,
    Hello,
    Leaving,
    LoadReport,
    Message,
    NotServedReply,
    ObjectChanges,
    ObjectListing,
    ObjectUpdate,
    OutcomeUnknownReply,
    PeerUnresponsive,
    Ping,
    Pong,
    RunRequest,
    SettledRequests,
    SettleRequests,
    StoreReachability,
    StoreRelayReply,
    StoreRelayRequest,
    SuspectCleared,
    TableDelta,
    reply_of,
)
from .replies import Replies
from .silence_check import SilenceCheck
from .tasks import TaskFailures, Tasks

__all__ = ["LinkHooks", "Links", "PeerState"]

RECONNECT_MIN_S = 0.1
RECONNECT_MAX_S = 1.0
CONNECT_TIMEOUT_S = 0.7
RELAY_TIMEOUT_S = 0.5
PEER_FAILED = OutcomeUnknown("peer-failed")
UNREACHABLE = NotServed("peer-unreachable", elsewhere=True)

_Source = TypeVar("_Source", Link, FrameConnection)

_log = structlog.get_logger()


class Links:
    """Opens, monitors and closes links; sends and receives messages."""

    def __init__(
        self,
        node: str,
        process: str,
        hooks: LinkHooks,
        failures: TaskFailures | None = None,
        bodies: BodyBuffers | None = None,
        answers: BodyBuffers | None = None,
    ) -> None:
        """Creates links that are not started yet.

        Args:
            node: Node of this process.
            process: Identifier of this process's start.
            hooks: Callbacks to the other tasks.
            failures: Failures of the process's tasks.
            bodies: Room that the bodies of all requests share; no limit without it.
            answers: Room of the answers that wait for their receivers, likewise.
        """
        self._bodies = bodies or BodyBuffers(sys.maxsize)
        self._replies = Replies(answers or BodyBuffers(sys.maxsize))
        self._node = node
        self._process = process
        self._hooks = hooks
        self._links: dict[str, Link] = {}
        # In the order in which they were accepted.
        self._accepted: dict[FrameConnection, None] = {}
        self._received = ReceivedRequests()
        self._held = HeldOutcomes()
        self._serving: dict[tuple[FrameConnection, int], asyncio.Task[None]] = {}
        self._failures = failures or TaskFailures()
        self._tasks = Tasks(self._failures)
        self._last_number = 0
        # Set when a link is up.
        self._connected = asyncio.Event()
        self._listener: asyncio.Server | None = None
        self._monitor = LinkMonitor(hooks.known_revisions, self.broadcast)
        self._checks = Tasks(self._failures)
        self._silence = SilenceCheck(
            self._links, hooks.known_revisions, self._send_detour, self._checks
        )
        self._sent: Counter[str] = Counter()
        self._sent_bytes = 0

    @property
    def sent(self) -> Mapping[str, int]:
        """Returns the numbers of messages sent, by type."""
        return self._sent

    @property
    def sent_bytes(self) -> int:
        """Returns the number of bytes sent to peers."""
        return self._sent_bytes

    @property
    def up(self) -> frozenset[str]:
        """Returns the nodes that are reachable."""
        return frozenset(n for n, link in self._links.items() if link.up)

    @property
    def found_silent(self) -> int:
        """Returns how many links were found to be silent."""
        return self._silence.found

    @property
    def serving(self) -> int:
        """Returns the number of peers' requests that are being served."""
        return len(self._serving)

    def is_up(self, node: str) -> bool:
        """Returns whether a node is reachable."""
        link = self._links.get(node)
        return link is not None and link.up

    def answers(self, node: str) -> bool:
        """Returns whether a node's process has sent a message on its present link.

        The kernel of a paused process accepts connections, and what is sent on them
        is lost or read much later.
        """
        link = self._links.get(node)
        return link is not None and link.up and link.heard

    def is_leaving(self, node: str) -> bool:
        """Returns whether a node's process has announced that it is stopping."""
        link = self._links.get(node)
        return link is not None and link.leaving

    def reads_store(self, node: str) -> bool:
        """Returns whether a node's store calls succeed, as far as is known."""
        link = self._links.get(node)
        return link is not None and link.reads_store

    def unreachable_since(self, node: str) -> float | None:
        """Returns since when a node is unreachable, None while it is reachable.

        The time ends with the first message of the node on a new connection.
        """
        link = self._links.get(node)
        return link.unreachable_since if link is not None else None

    def unreachable_s(self, node: str) -> float:
        """Returns for how long a node has been unreachable, in seconds."""
        since = self.unreachable_since(node)
        return 0.0 if since is None else asyncio.get_running_loop().time() - since

    def peer_state(self, node: str) -> PeerState | None:
        """Returns the load that a node last reported."""
        link = self._links.get(node)
        return link.peer_state if link is not None else None

    def is_confirmed(self, node: str) -> bool:
        """Returns whether the process at a node's address answers as that node."""
        return node == self._node or self.peer_state(node) is not None

    def limit_delay_s(self, node: str) -> float:
        """Returns how long a node's rate limit delays a request that arrives now.

        The reported delay gets shorter with time, as waiting requests are sent.
        """
        state = self.peer_state(node)
        if state is None:
            return 0.0
        age_s = asyncio.get_running_loop().time() - state.reported_at
        return max(0.0, state.limit_delay_s - age_s)

    def request_load(self, node: str, max_age_s: float) -> None:
        """Pings a node unless its load was reported within a time, in seconds."""
        link = self._links.get(node)
        if link is None or not link.up:
            return
        state = link.peer_state
        moment = asyncio.get_running_loop().time()
        if state is None or moment - state.reported_at > max_age_s:
            link.check_requested.set()

    def outstanding(self, node: str) -> int:
        """Returns the number of requests whose outcome from a node is pending."""
        link = self._links.get(node)
        return len(link.pending_requests) if link is not None else 0

    async def start(self, address: Address) -> None:
        """Opens the listening socket."""
        loop = asyncio.get_running_loop()
        self._listener = await loop.create_server(
            lambda: FrameConnection(
                partial(self._handle, self._on_request),
                self._on_accepted,
                self._on_accepted_closed,
                self._count_sent,
            ),
            address.host,
            address.port,
            backlog=1024,
        )
        self._checks.keep_running("silence-check", self._silence.run)

    def set_members(self, members: dict[str, Member]) -> None:
        """Opens links to new members and closes those to removed members."""
        for node, member in members.items():
            link = self._links.get(node)
            if node == self._node or (link and link.address == member.peer):
                continue
            self._close_link(node)
            link = Link(node, member.peer)
            self._links[node] = link
            link.unreachable_since = asyncio.get_running_loop().time()
            link.task = self._tasks.keep_running(
                "peer-link", partial(self._maintain, link)
            )
        for node in [n for n in self._links if n not in members]:
            self._close_link(node)
        monitored = monitored_peers(self._node, sorted(members))
        for node, link in self._links.items():
            link.monitored = node in monitored
            if link.monitored:
                link.check_requested.set()

    async def run_on_peer(self, node: str, request: RoutedRequest) -> RequestOutcome:
        """Has a request run by a peer.

        Returns:
            Its outcome; if the link closed after it was sent, *not served* once the
            peer states that it never began, and otherwise *unknown*.
        """
        link = self._links.get(node)
        if link is None or not link.up:
            return UNREACHABLE
        self._last_number += 1
        number = self._last_number
        loop = asyncio.get_running_loop()
        future: asyncio.Future[RequestOutcome] = loop.create_future()
        if not link.connection.send(RunRequest.of(number, request)):
            return UNREACHABLE
        link.pending_requests[number] = PendingRequest(future, request, loop.time())
        try:
            async with asyncio.timeout(request.time_left_s):
                return await future
        except TimeoutError:
            return OutcomeUnknown("peer-timeout", timed_out=True)
        finally:
            self._held.discard(number)
            if (
                link.pending_requests.pop(number, None)
                and not future.done()
                or (future.cancelled())
            ):
                link.send(CancelRequest(number))

    async def wait_up(self, count: int, timeout_s: float) -> None:
        """Waits until a number of nodes are reachable, but not for long."""
        try:
            async with asyncio.timeout(timeout_s):
                while len(self.up) < count:
                    self._connected.clear()
                    await self._connected.wait()
        except TimeoutError:
            _log.info("peers_not_up", expected=count, up=len(self.up))

    async def relay_store_call(
        self, node: str, call: StoreRelayRequest, timeout_s: float = RELAY_TIMEOUT_S
    ) -> StoreRelayReply | None:
        """Has a peer call the store; returns None without a reply in time."""
        link = self._links.get(node)
        if link is None or not link.up:
            return None
        self._last_number += 1
        number = self._last_number
        future: asyncio.Future[StoreRelayReply]
        future = asyncio.get_running_loop().create_future()
        link.pending_store_calls[number] = future
        try:
            link.connection.send(msgspec.structs.replace(call, number=number))
            async with asyncio.timeout(timeout_s):
                return await future
        except TimeoutError:
            return None
        finally:
            link.pending_store_calls.pop(number, None)

    def send(self, node: str, message: Message) -> None:
        """Sends a message to a node if it is reachable."""
        link = self._links.get(node)
        if link is not None:
            link.send(message)

    def send_checked(self, node: str, message: Message) -> PingReceipt | None:
        """Sends a message to a node, and a ping after it.

        Returns:
            The receipt of the ping, None if the node is not reachable.
        """
        link = self._links.get(node)
        if link is None or not link.up:
            return None
        link.send(message)
        return link.ping(self._hooks.known_revisions())

    async def send_anew(self, node: str, message: Message) -> bool:
        """Sends a message to a node over a connection of its own.

        The link is suspected once the node has confirmed it, as it did not there.

        Returns:
            Whether the node has confirmed the message.
        """
        link = self._links.get(node)
        if link is None:
            return False
        confirmed = await self._send_detour(link, message)
        if confirmed:
            link.suspect()
        return confirmed

    async def _send_detour(self, link: Link, *messages: Message) -> bool:
        """Sends messages to a peer over a connection of its own.

        Returns:
            Whether the peer has handled them.
        """
        hello = Hello(self._node, self._process, link.node)
        detour = Detour(self._hooks, self._count_sent)
        return await detour.send(link.address, (hello, *messages))

    def broadcast(self, message: Message) -> None:
        """Sends a message to all reachable nodes."""
        for link in self._links.values():
            link.send(message)

    async def wait_idle(self, timeout_s: float) -> None:
        """Waits until no peer's request is being served."""
        if self._serving:
            await asyncio.wait(list(self._serving.values()), timeout=timeout_s)

    def stop_holding(self) -> None:
        """Decides the requests on lost links at once, as this process is to end."""
        self._held.close()

    async def close(self) -> None:
        """Closes all links."""
        self._held.close()
        await self._checks.close()
        if self._listener is not None:
            self._listener.close()
        for node in list(self._links):
            self._close_link(node)
        for connection in list(self._accepted):
            connection.abort()

    def _count_sent(self, message: Message, frame_bytes: int) -> None:
        """Counts a message and its bytes."""
        self._sent[type(message).__name__] += 1
        self._sent_bytes += frame_bytes

    def _close_link(self, node: str) -> None:
        """Closes the link to a node, if there is one."""
        link = self._links.pop(node, None)
        if link is None:
            return
        if link.task is not None:
            link.task.cancel()
        link.abort()

    async def _maintain(self, link: Link) -> None:
        """Keeps a link open: reconnects with backoff, and pings while it is up."""
        pause = RECONNECT_MIN_S
        while True:
            if await self._connect(link):
                pause = RECONNECT_MIN_S
                try:
                    await self._monitor.run(link)
                finally:
                    link.abort()
            await asyncio.sleep(pause)
            pause = min(RECONNECT_MAX_S, 2 * pause)

    async def _connect(self, link: Link) -> bool:
        """Opens the connection of a link; returns whether that succeeded."""
        loop = asyncio.get_running_loop()
        link.disconnected.clear()
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                _, connection = await loop.create_connection(
                    lambda: FrameConnection(
                        lambda _, message: self._handle(self._on_reply, link, message),
                        lambda _: None,
                        lambda _: self._on_disconnect(link),
                        self._count_sent,
                    ),
                    link.address.host,
                    link.address.port,
                )
        except (OSError, TimeoutError, ValueError, OverflowError) as error:
            if not isinstance(error, OSError):
                _log.warning("peer_address_wrong", peer=link.node, detail=str(error))
            if link.unreachable_since is None:
                link.unreachable_since = loop.time()
            if isinstance(error, ConnectionRefusedError):
                self._held.on_refused(link.node)
            return False
        link.opened(connection)
        connection.peer = link.node
        connection.send(Hello(self._node, self._process, link.node))
        suspects = self._hooks.crash_suspects()
        if suspects is not None:
            connection.send(suspects)
        _log.info("peer_link_up", peer=link.node)
        self._connected.set()
        return True

    def _on_disconnect(self, link: Link) -> None:
        """Holds the outcomes of the requests that are pending on a closed link."""
        link.connection = None
        link.peer_state = None
        if link.unreachable_since is None:
            link.unreachable_since = asyncio.get_running_loop().time()
        self._held.lose(link.node, link.process, link.pending_requests)
        link.pending_requests.clear()
        link.disconnected.set()
        link.check_requested.set()
        _log.warning("peer_link_down", peer=link.node)

    def _handle(
        self,
        handler: Callable[[_Source, Message], None],
        source: _Source,
        message: Message,
    ) -> None:
        """Handles a message; an error does not cut the link to its sender."""
        try:
            handler(source, message)
        except Exception as error:
            self._failures.note("peer-message", error)

    def _on_reply(self, link: Link, message: Message) -> None:
        """Handles a message on a link that this process opened."""
        # The kernel of a paused process accepts connections, but sends no message.
        link.unreachable_since = None
        link.heard = True
        match message:
            case AnswerReply():
                _record_load(link, message.load)
                self._complete(link, message.number, message.to_outcome())
            case NotServedReply(number, outcome, load) | OutcomeUnknownReply(
                number, outcome, load
            ):
                _record_load(link, load)
                self._complete(link, number, outcome)
            case Pong():
                self._on_pong(link, message)
            case SettledRequests(never, begun):
                self._held.on_statement(Statement(never, begun))
            case ObjectListing():
                self._hooks.on_object_listing(message)
            case ObjectUpdate():
                self._hooks.on_object_update(message)
            case FetchObjects():
                link.send(self._hooks.fetch(message.kind))
            case Leaving():
                link.leaving = True
            case StoreRelayReply():
                future = link.pending_store_calls.get(message.number)
                if future is not None and not future.done():
                    future.set_result(message)

    def _complete(self, link: Link, number: int, outcome: RequestOutcome) -> None:
        """Sets the outcome of a request that was sent to a peer."""
        pending = link.pending_requests.get(number)
        if pending is not None and not pending.future.done():
            pending.future.set_result(outcome)

    def _on_pong(self, link: Link, pong: Pong) -> None:
        """Records the load and the known revisions that a peer reports."""
        link.note_pong()
        _record_load(link, pong.load)
        if pong.process != link.process or not pong.process:
            link.process = pong.process
            numbers = self._held.on_named(link.node, pong.process)
            if numbers:
                link.send(SettleRequests(numbers, self._last_number))
        link.reads_store = pong.reads_store
        self._hooks.on_known_revisions(link.connection, pong.known_revisions)

    def _on_request(self, connection: FrameConnection, message: Message) -> None:
        """Handles a message on a link that a peer opened."""
        match message:
            case Hello():
                connection.peer = message.node
                connection.process = message.process
                if message.intended_node != self._node:
                    _log.warning(
                        "peer_expected_other_node", intended_node=message.intended_node
                    )
                    connection.abort()
            case RunRequest():
                self._accept(connection, message)
            case SettleRequests(numbers, fence):
                self._settle(connection, numbers, fence)
            case CancelRequest(number):
                task = self._serving.get((connection, number))
                if task is not None:
                    task.cancel()
            case Ping():
                self._hooks.on_known_revisions(connection, message.known_revisions)
                pong = self._hooks.pong()
                connection.send(msgspec.structs.replace(pong, process=self._process))
            case PeerUnresponsive(node):
                link = self._links.get(node)
                if link is not None:
                    link.suspect()
            case FetchObjects():
                connection.send(self._hooks.fetch(message.kind))
            case ObjectListing():
                self._hooks.on_object_listing(message)
            case ObjectUpdate():
                self._hooks.on_object_update(message)
            case ObjectChanges():
                self._hooks.on_object_changes(connection, message)
            case StoreReachability(reads_store, after_silence):
                link = self._links.get(connection.peer)
                if link is not None:
                    link.reads_store = reads_store
                if after_silence:
                    self._hooks.on_store_silence()
            case TableDelta():
                self._hooks.on_table_delta(message)
            case CrashSuspects():
                self._hooks.on_crash_suspects(message)
            case SuspectCleared():
                self._hooks.on_suspect_cleared(message)
            case StoreRelayRequest():
                work = self._relay_store_call(connection, message)
                self._tasks.spawn("store-relay", work)

    def _accept(self, connection: FrameConnection, message: RunRequest) -> None:
        """Serves a peer's request, unless the peer has given it up already."""
        number, request = message.number, message.to_request()
        if connection.closed_by_peer():
            permit = None
        else:
            permit = self._received.receive(connection.process, number)
        if permit is None:
            _log.info(
                "late_request_ignored",
                request_id=request.request_id,
                peer=connection.peer,
            )
            return
        work = self._serve(connection, number, request, permit)
        task = self._tasks.spawn("peer-request", work)
        self._serving[connection, number] = task
        task.add_done_callback(partial(self._on_served, (connection, number), permit))

    def _settle(
        self, connection: FrameConnection, numbers: tuple[int, ...], fence: int
    ) -> None:
        """States which requests of former links of a peer never begin."""
        statement = self._received.settle(connection.process, numbers, fence)
        for former in list(self._accepted):
            # A question may be read after a newer link is up, on which requests run.
            if former is connection:
                break
            if former.process == connection.process:
                former.abort()
        connection.send(SettledRequests(statement.never, statement.begun))

    async def _serve(
        self,
        connection: FrameConnection,
        number: int,
        request: RoutedRequest,
        permit: Permit,
    ) -> None:
        """Runs a peer's request and sends its outcome."""
        deadline = asyncio.get_running_loop().time() + request.time_left_s
        try:
            outcome = await self._serve_with_room(request, permit)
            reply = reply_of(number, outcome, self._hooks.load())
            await self._replies.send(connection, reply, deadline)
        except Exception:
            reply = OutcomeUnknownReply(number, PEER_FAILED)
            await self._replies.send(connection, reply, deadline)
            raise

    async def _serve_with_room(
        self, request: RoutedRequest, permit: Permit
    ) -> RequestOutcome:
        """Runs a peer's request, unless its body does not fit into the memory now."""
        with self._bodies.room() as room:
            try:
                room.grow_to(len(request.body))
            except NoBodyRoom as error:
                _log.warning(
                    "request_body_refused",
                    request_id=request.request_id,
                    detail=error.detail,
                    left_bytes=self._bodies.left_bytes,
                )
                return NO_MEMORY
            return await self._hooks.serve(request, permit)

    def _on_served(
        self,
        served: tuple[FrameConnection, int],
        permit: Permit,
        task: asyncio.Task[None],
    ) -> None:
        """Forgets a peer's request, whose task may have ended before its first step."""
        permit.end()
        if self._serving.get(served) is task:
            del self._serving[served]

    async def _relay_store_call(
        self, connection: FrameConnection, call: StoreRelayRequest
    ) -> None:
        """Calls the store on behalf of a peer."""
        reply = await self._hooks.relay_store_call(call)
        if reply is not None:
            connection.send(reply)

    def _on_accepted(self, connection: FrameConnection) -> None:
        """Keeps a connection that a peer has opened."""
        self._accepted[connection] = None

    def _on_accepted_closed(self, connection: FrameConnection) -> None:
        """Cancels the requests that were served for a closed connection."""
        self._accepted.pop(connection, None)
        for (owner, _), task in list(self._serving.items()):
            if owner is connection:
                task.cancel()

    def announce_leaving(self) -> None:
        """Notifies all processes with a link to this one that it is stopping."""
        for connection in self._accepted:
            connection.send(Leaving(self._node))


def _record_load(link: Link, load: LoadReport | None) -> None:
    """Records the load that a peer reported."""
    if load is None:
        return
    link.peer_state = PeerState(
        load.running,
        load.waiting,
        load.slots,
        load.demand_percent / 100.0,
        load.limit_demand_percent / 100.0,
        load.slowdown_percent / 100.0,
        load.limit_delay_ms / 1000.0,
        asyncio.get_running_loop().time(),
    )
