"""Simulation of guards and an entry under faults, with an oracle.

`RequestsWorld` executes the actions of the policies with fakes of the network,
the upstreams and the ownership. The oracle counts the runs of each request. The
state machine in `requests_machine.py` chooses the next event.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field

from rosemarydeal.core import (
    TOKEN_RANKS,
    Incarnation,
    Member,
    NotRun,
    Place,
    Row,
    SliceId,
    Unknown,
)
from rosemarydeal.core.data import Address
from rosemarydeal.policy import entry, guard
from rosemarydeal.policy.guard_state import REROUTE_CODES

__all__ = ["FakeGuard", "RequestsWorld", "Send"]

SLICE = SliceId("box-office", 1)
NODES = ("guard-0", "guard-1", "guard-2")
DEADLINE_S = 4.0


@dataclass
class Send:
    """Request that a caller sent to the entry."""

    number: int
    request_id: str
    idempotent: bool
    sent_at: float
    ticket: int | None = None
    keyed: bool = True
    requested_ticket: int | None = None
    resent: bool = False
    result: object = None
    gone: bool = False


@dataclass
class AttemptMessage:
    """Attempt in flight to a guard."""

    action: entry.SendAttempt
    request_id: str
    idempotent: bool
    keyed: bool


@dataclass
class Reply:
    """Reply of a guard in flight to the entry."""

    request: int
    attempt: int
    request_id: str | None
    outcome: NotRun | Unknown | None


@dataclass
class Job:
    """Request dispatched to an upstream; `ran` is set once it is executed."""

    guard: FakeGuard
    request_id: str
    started_at: float
    ran: bool = False


@dataclass
class OwnershipPeriod:
    """Period in which one node owns the slice.

    Attributes:
        token: Fencing token of the period.
        node: The owner.
        clean: Whether the owner received the ledger of the former owner.
        began_at: Start of the period, in seconds.
        complete_since: Time since which the owner's ledger holds every request that
            ran, in seconds.
    """

    token: int
    node: str
    clean: bool
    began_at: float
    complete_since: float


class FakeGuard:
    """Executes the actions of one guard."""

    def __init__(self, world: RequestsWorld, node: str, boot_id: int) -> None:
        self.world = world
        self.node = node
        self.alive = True
        self.callers: dict[int, tuple[int, int, str]] = {}
        self.stored_answers: set[str] = set()
        self.last_caller = 0
        self.idle = False
        self.ledger = None
        settings = guard.GuardSettings(
            node=node, service="box-office", slots=2, queue_length=3, window_s=60.0
        )
        self.state = guard.start(settings, world.now, boot_id)
        self.feed(guard.UpstreamStarted(cold=False))

    def feed(self, event) -> None:
        """Feeds an event to the guard and executes the actions."""
        self.state, actions = guard.step(self.state, event, self.world.now)
        for action in actions:
            self._execute(action)

    def _execute(self, action) -> None:
        world = self.world
        match action:
            case guard.Dispatch():
                world.dispatch(self, action)
            case guard.ReplyAnswer():
                request, attempt, expected_id = self.callers.pop(action.caller)
                assert expected_id == action.request_id, "answer to the wrong caller"
                assert action.request_id in self.stored_answers, (
                    "answer dropped before its reply"
                )
                world.reply(Reply(request, attempt, action.request_id, None))
            case guard.ReplyOutcome():
                request, attempt, expected_id = self.callers.pop(action.caller)
                world.check_outcome(self, expected_id, action.outcome, request)
                world.reply(Reply(request, attempt, None, action.outcome))
            case guard.CancelUpstream():
                world.cancel(self, action.request_id)
            case guard.DropAnswer():
                self.stored_answers.discard(action.request_id)
            case guard.HandOverLedger():
                self.ledger = action.ledger
                world.ledger_created_at = world.now
            case guard.ReportIdle():
                world.check_idle(self)
                self.idle = True

    def arrive(self, message: AttemptMessage) -> None:
        """Feeds the arrival of an attempt."""
        self.last_caller += 1
        action = message.action
        key = (action.request, action.attempt, message.request_id)
        self.callers[self.last_caller] = key
        self.feed(
            guard.RequestArrived(
                self.last_caller,
                message.request_id,
                len(message.request_id),
                "families",
                SLICE if message.keyed else None,
                message.idempotent,
                action.deadline,
                action.ticket,
                action.resent,
                self.world.age_of(message.request_id),
            )
        )


@dataclass
class RequestsWorld:
    """Network, upstreams, ownership and oracle."""

    now: float = 100.0
    network: list = field(default_factory=list)
    jobs: list[Job] = field(default_factory=list)
    sends: dict[int, Send] = field(default_factory=dict)
    runs: Counter = field(default_factory=Counter)
    answered_by: dict[str, FakeGuard] = field(default_factory=dict)
    outcomes: Counter = field(default_factory=Counter)
    ownership_periods: list[OwnershipPeriod] = field(default_factory=list)
    boot_count: int = 0
    version: int = 1
    dispatched: Counter = field(default_factory=Counter)
    ledger_created_at: float = 0.0
    faults: Counter = field(default_factory=Counter)

    def __post_init__(self) -> None:
        self.guards = {node: self._new_guard(node) for node in NODES}
        self.entry = entry.start(entry.EntrySettings(retry_burst=50.0), 1)
        self.owner: str | None = None
        members = tuple(
            Member(
                Incarnation(node, 1),
                (),
                "box-office",
                Place("wa-perth", "perth-a", node),
                Address("127.0.0.1", 1),
                "127.0.0.1",
            )
            for node in NODES
        )
        self.feed_entry(entry.MembersChanged(members))
        self.grant_ownership(NODES[0], -1)
        self.send_rows()

    def _new_guard(self, node: str) -> FakeGuard:
        self.boot_count += 1
        return FakeGuard(self, node, self.boot_count)

    # Ownership, as the ownership policy guarantees it.

    def row(self) -> Row:
        """Returns the current row, the owner first."""
        order = [self.owner, *(n for n in NODES if n != self.owner)]
        return Row(SLICE, self.version, tuple(Incarnation(n, 1) for n in order))

    def send_rows(self) -> None:
        """Sends the current row to the entry."""
        if self.owner is not None:
            self.feed_entry(entry.RowsChanged((self.row(),)))

    def token(self) -> int:
        """Returns the fencing token of the current owner."""
        return self.version * TOKEN_RANKS

    def grant_ownership(self, node: str, after_token: int) -> None:
        """Makes a node the owner of the slice."""
        self.owner = node
        self.guards[node].idle = False
        self.guards[node].ledger = None
        clean = after_token >= 0
        complete_since = self.now
        if clean:
            ledger_age = self.now - self.ledger_created_at
            complete_since = self.ownership_periods[-1].complete_since + ledger_age
        self.ownership_periods.append(
            OwnershipPeriod(self.token(), node, clean, self.now, complete_since)
        )
        self.guards[node].feed(guard.OwnershipGained(SLICE, self.token(), after_token))

    def hand_over(self, to: str, lose_ledger: bool) -> None:
        """Hands the slice over if the owner has reported it idle."""
        old = self.guards[self.owner]
        if not old.idle:
            return
        old.idle = False
        before = self.token()
        self.version += 1
        ledger, old.ledger = old.ledger, None
        self.owner = None
        old.feed(guard.OwnershipLost(SLICE))
        if ledger is not None and not lose_ledger:
            self.guards[to].feed(guard.LedgerReceived(ledger))
        self.grant_ownership(
            to, before if ledger is not None and not lose_ledger else -1
        )

    def take_over(self, to: str, notify_old_owner: bool) -> None:
        """Makes another node the owner after the lease of the old one expired."""
        old = self.owner
        self.version += 1
        self.owner = None
        self.faults["take_over"] += 1
        if notify_old_owner and old is not None:
            self.guards[old].feed(guard.OwnershipLost(SLICE))
        self.grant_ownership(to, -1)

    def restart_guard(self, node: str) -> None:
        """Restarts a guard's process with an empty state."""
        old = self.guards[node]
        old.alive = False
        self.faults["restart"] += 1
        for request, attempt, _ in list(old.callers.values()):
            self.network.append(entry.AttemptFailed(request, attempt, sent=True))
        self.guards[node] = self._new_guard(node)
        if self.owner == node:
            self.version += 1
            self.grant_ownership(node, -1)

    def may_dispatch(self, fake: FakeGuard, token: int) -> bool:
        """Returns whether a dispatch under a token is permitted now."""
        owns = fake.alive and self.owner == fake.node
        return owns and token >= self.ownership_periods[-1].token

    # Network.

    def feed_entry(self, event) -> None:
        """Feeds an event to the entry and executes the actions."""
        self.entry, actions = entry.step(self.entry, event, self.now)
        for action in actions:
            match action:
                case entry.SendAttempt():
                    send = self.sends[action.request]
                    self.network.append(
                        AttemptMessage(
                            action, send.request_id, send.idempotent, send.keyed
                        )
                    )
                case entry.Deliver():
                    self.deliver_answer(action)
                case entry.DeliverOutcome():
                    self.deliver_outcome(action)

    def reply(self, reply: Reply) -> None:
        """Adds a guard's reply to the network."""
        self.network.append(reply)

    def deliver(self, index: int) -> None:
        """Delivers one message; messages may be delivered in any order."""
        message = self.network.pop(index % len(self.network))
        match message:
            case AttemptMessage():
                self.guards[message.action.node].arrive(message)
            case Reply(outcome=None):
                self.answer_at = message.request_id
                self.feed_entry(
                    entry.AttemptAnswered(message.request, message.attempt, 200, 0.05)
                )
            case Reply():
                row = self.row() if self.owner else None
                self.feed_entry(
                    entry.AttemptRejected(
                        message.request, message.attempt, message.outcome, row
                    )
                )
            case _:
                self.feed_entry(message)

    def lose(self, index: int) -> None:
        """Breaks the connection that carries a message."""
        message = self.network.pop(index % len(self.network))
        self.faults["lost"] += 1
        match message:
            case AttemptMessage():
                action = message.action
                self.network.append(
                    entry.AttemptFailed(action.request, action.attempt, True)
                )
            case Reply():
                self.network.append(
                    entry.AttemptFailed(message.request, message.attempt, True)
                )
            case _:
                self.network.append(message)

    def refuse_connection(self, index: int) -> None:
        """Fails an attempt before any byte was sent."""
        message = self.network[index % len(self.network)]
        if isinstance(message, AttemptMessage):
            self.network.remove(message)
            action = message.action
            self.feed_entry(entry.AttemptFailed(action.request, action.attempt, False))

    # Upstreams.

    def dispatch(self, fake: FakeGuard, action: guard.Dispatch) -> None:
        """Executes a dispatch if the node still owns the slice."""
        if action.slice and not self.may_dispatch(fake, action.token):
            event = guard.UpstreamFailed(action.request_id, False, False)
            fake.feed(event)
            return
        self.dispatched[action.request_id] += 1
        self.jobs.append(Job(fake, action.request_id, self.now))
        running = sum(1 for job in self.jobs if job.guard is fake)
        assert running <= fake.state.settings.slots, "more requests running than slots"

    def cancel(self, fake: FakeGuard, request_id: str) -> None:
        """Cancels a job that the upstream has not executed."""
        for job in self.jobs:
            if job.guard is fake and job.request_id == request_id and not job.ran:
                self.jobs.remove(job)
                fake.feed(guard.UpstreamFailed(request_id, True, False))
                return

    def run(self, job: Job) -> None:
        """Executes a job at its upstream, and checks that it may run."""
        if job.ran:
            return
        job.ran = True
        self.runs[job.request_id] += 1
        sends = [s for s in self.sends.values() if s.request_id == job.request_id]
        if not sends[0].idempotent:
            assert self.runs[job.request_id] == 1, "a non-idempotent request ran twice"
        all_not_run = all(isinstance(s.result, NotRun) for s in sends)
        assert not all_not_run, "a request ran after all its callers got not run"

    def finish_job(self, job: Job) -> None:
        """Executes a job and returns its answer."""
        self.run(job)
        self.jobs.remove(job)
        if not job.guard.alive:
            return
        self.answered_by[job.request_id] = job.guard
        job.guard.stored_answers.add(job.request_id)
        latency = self.now - job.started_at
        job.guard.feed(guard.UpstreamAnswered(job.request_id, 200, 10, latency))

    def check_idle(self, fake: FakeGuard) -> None:
        """Checks that a guard that reports the slice idle has no jobs of it."""
        names = {job.request_id for job in self.jobs if job.guard is fake}
        keyed = {s.request_id for s in self.sends.values() if s.keyed}
        assert not names & keyed, "reported idle while a request runs"

    def shed_job(self, job: Job) -> None:
        """Sheds a job that the upstream has not executed."""
        if not job.ran:
            self.jobs.remove(job)
            job.guard.feed(guard.UpstreamRejected(job.request_id, 0.1))

    def break_job(self, job: Job) -> None:
        """Breaks the connection of a job, whether or not it ran."""
        self.jobs.remove(job)
        self.faults["broken"] += 1
        job.guard.feed(guard.UpstreamFailed(job.request_id, True, False))

    # Callers and the oracle.

    def submit(
        self, request_id: str, idempotent: bool, ticket, resent: bool, keyed=True
    ) -> None:
        """Sends a request of a caller to the entry."""
        number = len(self.sends) + 1
        send = Send(
            number,
            request_id,
            idempotent,
            self.now,
            keyed=keyed,
            requested_ticket=ticket,
            resent=resent,
        )
        self.sends[number] = send
        self.feed_entry(
            entry.RequestAccepted(
                number,
                request_id,
                "box-office",
                SLICE if keyed else None,
                idempotent,
                self.now + DEADLINE_S,
                ticket,
                resent,
            )
        )

    def deliver_answer(self, action: entry.Deliver) -> None:
        """Checks that a caller receives one answer, to its own request."""
        send = self.sends[action.request]
        assert send.result is None, "a caller got two outcomes"
        assert self.answer_at == send.request_id, "answers were crossed"
        assert self.runs[send.request_id] >= 1
        send.result = "answer"
        self.outcomes["answer"] += 1

    def deliver_outcome(self, action: entry.DeliverOutcome) -> None:
        """Checks an outcome that a caller receives."""
        send = self.sends[action.request]
        assert send.result is None, "a caller got two outcomes"
        send.result = action.outcome
        send.ticket = action.ticket
        if isinstance(action.outcome, NotRun):
            self.outcomes["not run"] += 1
            latest = max(
                s.number for s in self.sends.values() if s.request_id == send.request_id
            )
            superseded = latest != send.number
            failure = f"not run ({action.outcome.code}) but it ran"
            ran = self.runs[send.request_id] > 0 and not send.idempotent
            assert superseded or not ran, failure
        else:
            again = " again" if send.resent else ""
            self.outcomes[f"unknown{again}"] += 1

    def check_outcome(
        self, fake: FakeGuard, request_id: str, outcome, number: int
    ) -> None:
        """Checks that a guard replies *unknown* only if the outcome is uncertain."""
        send = self.sends[number]
        if not isinstance(outcome, Unknown) or send.idempotent:
            return
        code = outcome.code
        if code in REROUTE_CODES or code == "deadline-passed":
            return
        if code == "owner-changed":
            assert not self._accounts_for_earlier_sends(fake, send), (
                "unknown although the ledger covers the request"
            )
            return
        possibly_sent = self.dispatched[request_id] > 0 or send.resent
        assert possibly_sent, f"unknown ({code}) of a request that was never dispatched"
        if code == "answer-not-kept":
            assert self.answered_by.get(request_id) is not fake, "answer dropped early"

    def first_sent(self, request_id: str) -> float:
        """Returns the time at which an id was first sent, in seconds."""
        sends = self.sends.values()
        return min(s.sent_at for s in sends if s.request_id == request_id)

    def age_of(self, request_id: str) -> float | None:
        """Returns the age of an id in seconds; None for every other id."""
        sends_age = int(request_id.rpartition("-")[2]) % 2 == 0
        return self.now - self.first_sent(request_id) if sends_age else None

    def _accounts_for_earlier_sends(self, fake: FakeGuard, send: Send) -> bool:
        """Returns whether an owner's ledger covers all earlier sends of a request."""
        current_period = self.ownership_periods[-1]
        first_sent_at = self.first_sent(send.request_id)
        if current_period.node != fake.node:
            return False
        if send.requested_ticket is not None:
            tokens = [period.token for period in self.ownership_periods]
            if send.requested_ticket not in tokens:
                return False
            later_periods = self.ownership_periods[
                tokens.index(send.requested_ticket) + 1 :
            ]
            return all(period.clean for period in later_periods)
        return (
            self.age_of(send.request_id) is not None
            and first_sent_at > current_period.complete_since
        )
