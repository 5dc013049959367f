"""Simulation of senders and receivers whose links are lost, with an oracle.

Each step is drawn: messages of one link stay in order, all else happens in any order.
What was sent over a link that its sender has given up can still be read, by a process
that stood still meanwhile for example. A receiver that was replaced may go on for a
while. The oracle knows what has begun and what callers were told.
"""

from __future__ import annotations

import random
from collections import Counter, deque
from dataclasses import dataclass, field
from unittest.mock import patch

from rosemarydeal.core.requests import NotServed
from rosemarydeal.policy.requests import settlement
from rosemarydeal.policy.requests.settlement import (
    BEGUN,
    LostRequest,
    LostRequests,
    Permit,
    ReceivedRequests,
    Statement,
)

__all__ = ["SettlementWorld", "run_worlds"]

SENDERS = 3
NODES = ("n1", "n2")
# Small, so that what began is forgotten, and senders are not known.
MAX_BEGUN = 6
MAX_SENDERS = 3
# Steps and their weights.
STEPS = {
    "send": 8,
    "lose": 1.5,
    "connect": 6,
    "receiver reads": 14,
    "sender reads": 8,
    "begin": 6,
    "reject": 1,
    "answer": 3,
    "notice end": 1,
    "pause": 1,
    "give up": 0.3,
    "replace receiver": 0.05,
    "restart sender": 0.05,
}


@dataclass(eq=False)
class Link:
    """One connection: what was sent on it and is not read yet."""

    node: str
    receiver: Receiver
    to_receiver: deque = field(default_factory=deque)
    to_sender: deque = field(default_factory=deque)
    pending: set = field(default_factory=set)
    named: str = ""
    sender_name: str = ""
    open: bool = True


@dataclass(eq=False)
class Sender:
    """A process that callers' requests come to."""

    name: str
    lost: LostRequests = field(default_factory=LostRequests)
    links: dict[str, Link] = field(default_factory=dict)
    last_number: int = 0


@dataclass(eq=False)
class Receiver:
    """A process at an upstream."""

    name: str
    received: ReceivedRequests = field(default_factory=ReceivedRequests)
    links: list[Link] = field(default_factory=list)
    waiting: list[tuple[Link, int, Permit]] = field(default_factory=list)
    begun: list[tuple[Link, int]] = field(default_factory=list)
    pause: int = 0


class SettlementWorld:
    """Senders, and the processes that follow each other at two upstreams."""

    def __init__(self, seed: int) -> None:
        self._random = random.Random(f"settlement-{seed}")
        self._names = 0
        self._senders = [Sender(self._name("s")) for _ in range(SENDERS)]
        self._receivers = {node: [Receiver(self._name("r"))] for node in NODES}
        self._former: dict[str, list[str]] = {node: [] for node in NODES}
        self.begun: set[tuple[str, int]] = set()
        self.never: set[tuple[str, int]] = set()
        self.counts: Counter[str] = Counter()

    def run(self, steps: int) -> None:
        """Makes drawn steps.

        Raises:
            AssertionError: A request began that was told never to begin, or was told
                so after it had begun.
        """
        names, weights = list(STEPS), list(STEPS.values())
        for step in self._random.choices(names, weights, k=steps):
            getattr(self, "_" + step.replace(" ", "_"))()
            wrong = self.begun & self.never
            assert not wrong, f"told not to have begun, and begun: {wrong} ({step})"

    def _name(self, prefix):
        self._names += 1
        return f"{prefix}{self._names}"

    def _a_sender(self):
        return self._random.choice(self._senders)

    def _a_receiver(self):
        """Returns a process that does not stand still now, or None."""
        receiver = self._random.choice(self._receivers[self._random.choice(NODES)])
        if receiver.pause:
            receiver.pause -= 1
            return None
        return receiver

    def _send(self):
        sender = self._a_sender()
        link = sender.links.get(self._random.choice(NODES))
        if link is not None:
            sender.last_number += 1
            link.pending.add(sender.last_number)
            link.to_receiver.append(("run", sender.last_number))

    def _lose(self):
        """The sender gives a link up; the receiver may notice much later."""
        sender = self._a_sender()
        link = sender.links.pop(self._random.choice(NODES), None)
        if link is None:
            return
        link.open = False
        link.to_sender.clear()
        for number in link.pending:
            if link.named:
                sender.lost.add(LostRequest(number, link.node, link.named))
        # Some of what was sent last may never arrive.
        for _ in range(self._random.choice((0, 0, 1, 9))):
            if link.to_receiver:
                link.to_receiver.pop()

    def _connect(self):
        sender, node = self._a_sender(), self._random.choice(NODES)
        if node not in sender.links:
            link = sender.links[node] = Link(node, self._receivers[node][-1])
            link.receiver.links.append(link)
            link.to_receiver += [("hello", sender.name), ("ping",)]

    def _receiver_reads(self):
        receiver = self._a_receiver()
        links = (
            [link for link in receiver.links if link.to_receiver] if receiver else []
        )
        if not links:
            return
        link = self._random.choice(links)
        match link.to_receiver.popleft():
            case ("hello", name):
                link.sender_name = name
            case ("ping",):
                link.to_sender.append(("pong", receiver.name))
            case ("run", number):
                permit = receiver.received.receive(link.sender_name, number)
                if permit is None:
                    self.counts["late"] += 1
                else:
                    receiver.waiting.append((link, number, permit))
            case ("settle", numbers, fence):
                statement = receiver.received.settle(link.sender_name, numbers, fence)
                link.to_sender.append(("settled", statement))

    def _sender_reads(self):
        sender = self._a_sender()
        link = sender.links.get(self._random.choice(NODES))
        if link is None or not link.to_sender:
            return
        match link.to_sender.popleft():
            case ("pong", name):
                if link.named:
                    return
                link.named = name
                sender.lost.give_up(link.node, name)
                for former in self._former[link.node]:
                    held = former != name and sender.lost.sent_to(former)
                    assert not held, f"held, though {former} was replaced by {name}"
                numbers = sender.lost.sent_to(name)
                if numbers:
                    link.to_receiver.append(("settle", numbers, sender.last_number))
            case ("settled", statement):
                self._on_statement(sender, statement)
            case ("answer", number):
                link.pending.discard(number)

    def _on_statement(self, sender: Sender, statement: Statement):
        for number, outcome in sender.lost.settle(statement).items():
            self.counts[outcome.code] += 1
            if isinstance(outcome, NotServed):
                self.never.add((sender.name, number))
            else:
                assert outcome == BEGUN, outcome
                assert (sender.name, number) in self.begun, (sender.name, number)

    def _begin(self):
        receiver = self._a_receiver()
        if receiver is None or not receiver.waiting:
            return
        drawn = self._random.randrange(len(receiver.waiting))
        link, number, permit = receiver.waiting.pop(drawn)
        if permit.try_begin():
            self.begun.add((link.sender_name, number))
            receiver.begun.append((link, number))
        else:
            self.counts["withdrawn"] += 1

    def _reject(self):
        receiver = self._a_receiver()
        if receiver is not None and receiver.waiting:
            link, number, permit = receiver.waiting.pop(0)
            permit.end()
            self._reply(link, number)

    def _answer(self):
        receiver = self._a_receiver()
        if receiver is not None and receiver.begun:
            self._reply(*receiver.begun.pop(0))

    def _reply(self, link, number):
        if link.open:
            link.to_sender.append(("answer", number))

    def _notice_end(self):
        """A receiver notices the end of a link that it has read."""
        receiver = self._a_receiver()
        links = receiver.links if receiver is not None else ()
        for link in [one for one in links if not one.open and not one.to_receiver]:
            receiver.links.remove(link)
            for entry in [one for one in receiver.waiting if one[0] is link]:
                receiver.waiting.remove(entry)
                entry[2].end()

    def _pause(self):
        receiver = self._a_receiver()
        if receiver is not None:
            receiver.pause = self._random.choice((5, 30, 100))

    def _give_up(self):
        """A caller stops waiting."""
        sender = self._a_sender()
        sender.lost.discard(self._random.randint(1, max(1, sender.last_number)))

    def _replace_receiver(self):
        """Another process answers; the former one may go on for a while."""
        node = self._random.choice(NODES)
        receivers = self._receivers[node]
        self._former[node].append(receivers[-1].name)
        receivers.append(Receiver(self._name("r")))
        if self._random.random() < 0.7 or len(receivers) > 2:
            receivers.pop(0)

    def _restart_sender(self):
        drawn = self._random.randrange(SENDERS)
        former = self._senders[drawn]
        for link in former.links.values():
            link.open = False
        self._senders[drawn] = Sender(self._name("s"))


def run_worlds(first: int, count: int, steps: int) -> Counter[str]:
    """Runs worlds of consecutive seeds; returns how often each outcome came.

    Raises:
        AssertionError: A world broke the invariant.
    """
    counts: Counter[str] = Counter()
    with (
        patch.object(settlement, "MAX_BEGUN", MAX_BEGUN),
        patch.object(settlement, "MAX_SENDERS", MAX_SENDERS),
    ):
        for seed in range(first, first + count):
            world = SettlementWorld(seed)
            try:
                world.run(steps)
            except AssertionError as error:
                raise AssertionError(f"seed {seed}: {error}") from error
            counts += world.counts
            counts["begun"] += len(world.begun)
    return counts
