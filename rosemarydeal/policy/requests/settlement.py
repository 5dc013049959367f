"""Settles what became of the requests that were pending on a link that was lost.

The process that a caller's request came to (the *sender*) can't know by itself whether
the process that it passed the request on to (the *receiver*) has begun it. It asks the
same receiver over a new link. The receiver states as *never begun* only what it will
never begin either: what waits is withdrawn, and what may still arrive over a former
link is refused, since it is not above the *fence* that came with the question. No
clock is involved; a pause, a cut or late bytes can delay the answer only.

Invariant: a request that was stated as never begun has not begun and never begins.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum, auto

from rosemarydeal.core.requests import NotServed, OutcomeUnknown, RequestOutcome

__all__ = [
    "BEGUN",
    "NEVER_BEGUN",
    "PEER_LOST",
    "LostRequest",
    "LostRequests",
    "Permit",
    "ReceivedRequests",
    "Statement",
    "give_up_at",
]

NEVER_BEGUN = NotServed("peer-never-began", elsewhere=True)
BEGUN = OutcomeUnknown("peer-lost-begun")
PEER_LOST = OutcomeUnknown("peer-lost")
# Time for the outcome to reach the caller before it stops waiting.
ANSWER_MARGIN_S = 0.1
# Requests of which it is known that they have begun, of all senders together. About
# 2 MB; at 200 requests a second those of the last 40 s.
MAX_BEGUN = 8192
# Each start of a process is another sender. None is forgotten, since its requests may
# still arrive; those above the limit are told nothing.
MAX_SENDERS = 10_000


class _State(Enum):
    """State of a received request."""

    WAITING = auto()
    BEGUN = auto()
    ENDED = auto()


class Permit:
    """Permission to begin one request, which can be withdrawn until then."""

    __slots__ = ("_number", "_sender", "_state")

    def __init__(self, sender: _Sender | None, number: int) -> None:
        self._sender = sender
        self._number = number
        self._state = _State.WAITING

    def try_begin(self) -> bool:
        """Begins the request, unless it was withdrawn.

        Called before anything of the request may be written to the upstream.

        Returns:
            Whether it may run.
        """
        if self._state is _State.ENDED:
            return False
        if self._state is _State.WAITING:
            self._state = _State.BEGUN
            if self._sender is not None:
                self._sender.note_begun(self._number)
        return True

    def end(self) -> None:
        """Ends the permission; a request that has not begun never does."""
        if self._state is not _State.WAITING:
            return
        self._state = _State.ENDED
        if self._sender is not None:
            self._sender.waiting.pop(self._number, None)


@dataclass(slots=True, eq=False)
class _Sender:
    """What is known of the requests of one sender.

    Attributes:
        history: The requests of all senders that have begun, in that order.
        waiting: Permits of the requests that have not begun.
        begun: Numbers of the requests that have begun.
        forgotten: Highest number of those that have begun and were forgotten.
        fence: Requests up to this number that have not arrived never begin.
    """

    history: deque[tuple[_Sender, int]]
    waiting: dict[int, Permit] = field(default_factory=dict)
    begun: set[int] = field(default_factory=set)
    forgotten: int = -1
    fence: int = -1

    def note_begun(self, number: int) -> None:
        """Notes that a request has begun; forgets the oldest one above the limit."""
        self.waiting.pop(number, None)
        self.begun.add(number)
        self.history.append((self, number))
        if len(self.history) > MAX_BEGUN:
            sender, oldest = self.history.popleft()
            sender.begun.discard(oldest)
            sender.forgotten = max(sender.forgotten, oldest)


@dataclass(frozen=True, slots=True)
class Statement:
    """What a receiver states of requests that it was asked about.

    Attributes:
        never: Those that have not begun and never will.
        begun: Those that have begun; they may have run.
    """

    never: tuple[int, ...]
    begun: tuple[int, ...]


class ReceivedRequests:
    """The receiver's part: which requests have begun, and which never will."""

    def __init__(self) -> None:
        self._senders: dict[str, _Sender] = {}
        self._history: deque[tuple[_Sender, int]] = deque()

    def receive(self, sender: str, number: int) -> Permit | None:
        """Returns the permit of a request that has arrived.

        Args:
            sender: Identifier of the start of the process that sent it; empty if it
                is not known.
            number: Its number, which the sender gives to one request only.

        Returns:
            The permit, None if the request must not begin: its sender may have been
            told that it never does.
        """
        known = self._sender(sender)
        if known is None:
            return Permit(None, number)
        if number <= known.fence:
            return None
        permit = known.waiting[number] = Permit(known, number)
        return permit

    def settle(self, sender: str, numbers: Iterable[int], fence: int) -> Statement:
        """States what became of requests, and withdraws those that wait.

        Args:
            sender: Identifier of the start of the process that sent them.
            numbers: Their numbers.
            fence: The sender's highest number so far.
        """
        known = self._sender(sender)
        if known is None:
            return Statement((), ())
        known.fence = max(known.fence, fence)
        never, begun = [], []
        for number in numbers:
            permit = known.waiting.get(number)
            if permit is not None:
                permit.end()
                never.append(number)
            elif number in known.begun:
                begun.append(number)
            elif known.forgotten < number <= known.fence:
                never.append(number)
        return Statement(tuple(never), tuple(begun))

    def _sender(self, sender: str) -> _Sender | None:
        """Returns what is known of a sender, None if nothing can be kept of it."""
        known = self._senders.get(sender)
        if known is None and sender and len(self._senders) < MAX_SENDERS:
            known = self._senders[sender] = _Sender(self._history)
        return known


@dataclass(frozen=True, slots=True)
class LostRequest:
    """A request whose link was lost while its outcome was pending.

    Attributes:
        number: Its number.
        node: Node of the receiver.
        receiver: Identifier of the start of the process that it was sent to.
    """

    number: int
    node: str
    receiver: str


class LostRequests:
    """The sender's part: the requests whose outcome is held until it is settled."""

    def __init__(self) -> None:
        self._lost: dict[int, LostRequest] = {}

    def __len__(self) -> int:
        """Returns the number of requests that are held."""
        return len(self._lost)

    def add(self, request: LostRequest) -> None:
        """Holds a request."""
        self._lost[request.number] = request

    def discard(self, number: int) -> None:
        """Forgets a request that is not held any more."""
        self._lost.pop(number, None)

    def sent_to(self, receiver: str) -> tuple[int, ...]:
        """Returns the numbers of the requests that were sent to a process."""
        return tuple(r.number for r in self._lost.values() if r.receiver == receiver)

    def settle(self, statement: Statement) -> dict[int, RequestOutcome]:
        """Returns the outcomes that the receiver's statement decides, by number."""
        stated = [(number, NEVER_BEGUN) for number in statement.never]
        stated += [(number, BEGUN) for number in statement.begun]
        return {
            number: outcome
            for number, outcome in stated
            if self._lost.pop(number, None) is not None
        }

    def give_up(self, node: str, receiver: str = "") -> tuple[int, ...]:
        """Ends the hold of requests that can't be settled any more.

        Args:
            node: Node at whose address another process answers, or none.
            receiver: Identifier of that process's start, empty if none answers.

        Returns:
            Their numbers; their outcome is unknown.
        """
        numbers = tuple(
            r.number
            for r in self._lost.values()
            if r.node == node and r.receiver != receiver
        )
        for number in numbers:
            del self._lost[number]
        return numbers


def give_up_at(sent_at: float, time_left_s: float, cut_s: float | None) -> float:
    """Returns until when an outcome is held, so that its caller still receives it.

    Args:
        sent_at: When the request was sent.
        time_left_s: Time for which its caller waited from then on, in seconds.
        cut_s: Time until its caller's connection is cut; None if that is not planned.
    """
    left_s = time_left_s if cut_s is None else min(time_left_s, cut_s)
    return sent_at + left_s - ANSWER_MARGIN_S
