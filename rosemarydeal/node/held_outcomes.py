"""Holds the outcomes of requests whose link was lost, until the peer has settled them.

The same process is asked over the next link which of them never began. Without its
statement, the outcome is unknown: shortly before the caller stops waiting, or as soon
as another process answers at the peer's address, or none listens there.
"""

from __future__ import annotations

import asyncio
from collections.abc import Iterable
from dataclasses import dataclass

import structlog

from rosemarydeal.core.requests import RequestOutcome, RoutedRequest
from rosemarydeal.policy.requests import settlement
from rosemarydeal.policy.requests.settlement import (
    BEGUN,
    NEVER_BEGUN,
    PEER_LOST,
    LostRequest,
    LostRequests,
    Statement,
)

__all__ = ["HeldOutcomes", "PendingRequest"]

# Enough to open the next link and to ask over it.
IDEMPOTENT_HOLD_S = 0.3

_DECISIONS = {NEVER_BEGUN: "never-begun", BEGUN: "begun", PEER_LOST: "unknown"}

_log = structlog.get_logger()


@dataclass(slots=True)
class PendingRequest:
    """A request that was sent to a peer and has no outcome yet.

    Attributes:
        future: Its outcome.
        request: The request.
        sent_at: When it was sent, by the event loop's clock.
    """

    future: asyncio.Future[RequestOutcome]
    request: RoutedRequest
    sent_at: float


@dataclass(slots=True)
class _Held:
    """A request whose outcome is held.

    Attributes:
        pending: The request.
        node: Node of the peer.
        since: Since when it is held.
        timer: Ends the hold.
    """

    pending: PendingRequest
    node: str
    since: float
    timer: asyncio.TimerHandle


class HeldOutcomes:
    """The requests of this process whose links were lost."""

    def __init__(self) -> None:
        self._lost = LostRequests()
        self._held: dict[int, _Held] = {}
        self._closed = False

    def lose(
        self, node: str, process: str, requests: dict[int, PendingRequest]
    ) -> None:
        """Holds the outcomes of the requests that were pending on a link.

        One that may run again is held for a short time only: it can be sent elsewhere
        without a statement, but then counts as an attempt that may have run.

        Args:
            node: Node of the peer.
            process: Identifier of the start of its process, empty if it named none.
            requests: The requests by number.
        """
        loop = asyncio.get_running_loop()
        moment = loop.time()
        for number, pending in requests.items():
            if pending.future.done():
                continue
            request = pending.request
            until = settlement.give_up_at(
                pending.sent_at, request.time_left_s, request.cut_s
            )
            if request.idempotent:
                until = min(until, moment + IDEMPOTENT_HOLD_S)
            if self._closed or not process or until <= moment:
                pending.future.set_result(PEER_LOST)
                continue
            timer = loop.call_at(until, self._give_up, (number,), "too-late")
            self._held[number] = _Held(pending, node, moment, timer)
            self._lost.add(LostRequest(number, node, process))

    def discard(self, number: int) -> None:
        """Forgets a request whose outcome is not awaited any more."""
        held = self._held.pop(number, None)
        if held is not None:
            held.timer.cancel()
            self._lost.discard(number)

    def on_named(self, node: str, process: str) -> tuple[int, ...]:
        """Returns the requests that a process is to be asked about.

        Args:
            node: Node of the peer.
            process: Identifier of the start of the process that answers there; empty
                if it can't state what began.
        """
        self._give_up(self._lost.give_up(node, process), "process-replaced")
        return self._lost.sent_to(process)

    def on_refused(self, node: str) -> None:
        """Ends the hold of all requests to a node at which no process listens."""
        self._give_up(self._lost.give_up(node), "process-ended")

    def on_statement(self, statement: Statement) -> None:
        """Decides the requests of which the asked process states whether they began."""
        for number, outcome in self._lost.settle(statement).items():
            self._decide(number, outcome, "stated")

    def close(self) -> None:
        """Ends the hold of all requests, and holds no more."""
        self._closed = True
        self._give_up(tuple(self._held), "stopping")

    def _give_up(self, numbers: Iterable[int], reason: str) -> None:
        """Decides requests as unknown."""
        for number in numbers:
            self._lost.discard(number)
            self._decide(number, PEER_LOST, reason)

    def _decide(self, number: int, outcome: RequestOutcome, reason: str) -> None:
        """Sets the outcome of a request that was held."""
        held = self._held.pop(number)
        held.timer.cancel()
        _log.info(
            "lost_request_decided",
            request_id=held.pending.request.request_id,
            peer=held.node,
            decided=_DECISIONS[outcome],
            reason=reason,
            held_s=round(asyncio.get_running_loop().time() - held.since, 4),
        )
        if not held.pending.future.done():
            held.pending.future.set_result(outcome)
