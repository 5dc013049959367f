"""Drives guards and an entry through faults beside a small oracle.

`RequestsWorld` carries out the actions of the machines with fakes of the
network, the upstreams and the ownership; the oracle counts what ran. The
state machine in `requests_machine.py` chooses what happens next.
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
    """Holds one request that a caller sent to the entry."""

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
    """Holds a try on its way to a guard."""

    action: entry.SendAttempt
    request_id: str
    idempotent: bool
    keyed: bool


@dataclass
class Reply:
    """Holds a guard's reply on its way to the entry."""

    request: int
    attempt: int
    request_id: str | None
    outcome: NotRun | Unknown | None


@dataclass
class Job:
    """Holds a request at an upstream; it runs when the upstream takes it up."""

    guard: FakeGuard
    request_id: str
    started_at: float
    ran: bool = False


@dataclass
class OwnershipPeriod:
    """Holds one owner's time.

    Attributes:
        token: Its fencing token.
        node: The owner.
        clean: Whether it knows all that the former owner knew.
        since: When it began.
        known_from: Moment after which it knows of every request that ran.
    """

    token: int
    node: str
    clean: bool
    began_at: float
    complete_since: float


class FakeGuard:
    """Carries out the actions of one guard's machine."""

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
        """Feeds an event and carries out what follows."""
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
                    "answer was forgotten early"
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
        """Lets a try arrive."""
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
    """Holds the network, the upstreams, the owners and the oracle."""

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

    # Ownership, as the policy beside promises it.

    def row(self) -> Row:
        """Returns the current row, the owner first."""
        order = [self.owner, *(n for n in NODES if n != self.owner)]
        return Row(SLICE, self.version, tuple(Incarnation(n, 1) for n in order))

    def send_rows(self) -> None:
        """Lets the entry learn the current row."""
        if self.owner is not None:
            self.feed_entry(entry.RowsChanged((self.row(),)))

    def token(self) -> int:
        """Returns the fencing token of the current owner."""
        return self.version * TOKEN_RANKS

    def grant_ownership(self, node: str, after_token: int) -> None:
        """Makes a node the owner."""
        self.owner = node
        self.guards[node].idle = False
        self.guards[node].ledger = None
        clean = after_token >= 0
        complete_since = self.now
        if clean:
            book_age = self.now - self.ledger_created_at
            complete_since = self.ownership_periods[-1].complete_since + book_age
        self.ownership_periods.append(
            OwnershipPeriod(self.token(), node, clean, self.now, complete_since)
        )
        self.guards[node].feed(guard.OwnershipGained(SLICE, self.token(), after_token))

    def hand_over(self, to: str, lose_ledger: bool) -> None:
        """Lets the owner hand over once it is idle."""
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
        """Makes another node the owner after the old one's lease lapsed."""
        old = self.owner
        self.version += 1
        self.owner = None
        self.faults["take_over"] += 1
        if notify_old_owner and old is not None:
            self.guards[old].feed(guard.OwnershipLost(SLICE))
        self.grant_ownership(to, -1)

    def restart_guard(self, node: str) -> None:
        """Replaces a guard's process by one that knows nothing."""
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
        """Says whether a dispatch under a token is permitted now."""
        owns = fake.alive and self.owner == fake.node
        return owns and token >= self.ownership_periods[-1].token

    # Network.

    def feed_entry(self, event) -> None:
        """Feeds the entry and carries out what follows."""
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
        """Puts a guard's reply on its way."""
        self.network.append(reply)

    def deliver(self, index: int) -> None:
        """Lets one message arrive; they may arrive in any order."""
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
        """Breaks the connection that a message is on."""
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
        """Lets a try fail before a byte went out."""
        message = self.network[index % len(self.network)]
        if isinstance(message, AttemptMessage):
            self.network.remove(message)
            action = message.action
            self.feed_entry(entry.AttemptFailed(action.request, action.attempt, False))

    # Upstreams.

    def dispatch(self, fake: FakeGuard, action: guard.Dispatch) -> None:
        """Carries out a dispatch if the right holds."""
        if action.slice and not self.may_dispatch(fake, action.token):
            event = guard.UpstreamFailed(action.request_id, False, False)
            fake.feed(event)
            return
        self.dispatched[action.request_id] += 1
        self.jobs.append(Job(fake, action.request_id, self.now))
        running = sum(1 for job in self.jobs if job.guard is fake)
        assert running <= fake.state.settings.slots, "more runs than slots"

    def cancel(self, fake: FakeGuard, request_id: str) -> None:
        """Withdraws a job that the upstream has not taken up."""
        for job in self.jobs:
            if job.guard is fake and job.request_id == request_id and not job.ran:
                self.jobs.remove(job)
                fake.feed(guard.UpstreamFailed(request_id, True, False))
                return

    def run(self, job: Job) -> None:
        """Lets an upstream run a job, and checks that it may."""
        if job.ran:
            return
        job.ran = True
        self.runs[job.request_id] += 1
        sends = [s for s in self.sends.values() if s.request_id == job.request_id]
        if not sends[0].idempotent:
            assert self.runs[job.request_id] == 1, "a non-idempotent request ran twice"
        refused = all(isinstance(s.result, NotRun) for s in sends)
        assert not refused, "a request ran after its caller was told not run"

    def finish_job(self, job: Job) -> None:
        """Lets a job run to its end."""
        self.run(job)
        self.jobs.remove(job)
        if not job.guard.alive:
            return
        self.answered_by[job.request_id] = job.guard
        job.guard.stored_answers.add(job.request_id)
        latency = self.now - job.started_at
        job.guard.feed(guard.UpstreamAnswered(job.request_id, 200, 10, latency))

    def check_idle(self, fake: FakeGuard) -> None:
        """Checks that nothing of the slice runs at a guard that reports it idle."""
        names = {job.request_id for job in self.jobs if job.guard is fake}
        keyed = {s.request_id for s in self.sends.values() if s.keyed}
        assert not names & keyed, "reported idle while a request runs"

    def shed_job(self, job: Job) -> None:
        """Lets the upstream refuse a job that it has not taken up."""
        if not job.ran:
            self.jobs.remove(job)
            job.guard.feed(guard.UpstreamRejected(job.request_id, 0.1))

    def break_job(self, job: Job) -> None:
        """Breaks a job's connection; it may have run or not."""
        self.jobs.remove(job)
        self.faults["broken"] += 1
        job.guard.feed(guard.UpstreamFailed(job.request_id, True, False))

    # Callers and the oracle.

    def submit(
        self, request_id: str, idempotent: bool, ticket, resent: bool, keyed=True
    ) -> None:
        """Lets a caller send a request."""
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
        """Checks that the caller gets the answer to its own request."""
        send = self.sends[action.request]
        assert send.result is None, "a caller was told twice"
        assert self.answer_at == send.request_id, "answers were crossed"
        assert self.runs[send.request_id] >= 1
        send.result = "answer"
        self.outcomes["answer"] += 1

    def deliver_outcome(self, action: entry.DeliverOutcome) -> None:
        """Checks an outcome that the caller is told."""
        send = self.sends[action.request]
        assert send.result is None, "a caller was told twice"
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
        """Checks that a guard's *unknown* was not knowable."""
        send = self.sends[number]
        if not isinstance(outcome, Unknown) or send.idempotent:
            return
        code = outcome.code
        if code in REROUTE_CODES or code == "deadline-passed":
            return
        if code == "owner-changed":
            assert not self._accounts_for_earlier_sends(fake, send), (
                "unknown without a cause"
            )
            return
        possibly_sent = self.dispatched[request_id] > 0 or send.resent
        assert possibly_sent, f"unknown ({code}) of a request that was never dispatched"
        if code == "answer-not-kept":
            assert self.answered_by.get(request_id) is not fake, "answer dropped early"

    def first_sent(self, request_id: str) -> float:
        """Returns when a caller first sent an id."""
        sends = self.sends.values()
        return min(s.sent_at for s in sends if s.request_id == request_id)

    def age_of(self, request_id: str) -> float | None:
        """Returns the age of an id; every other id tells it."""
        sends_age = int(request_id.rpartition("-")[2]) % 2 == 0
        return self.now - self.first_sent(request_id) if sends_age else None

    def _accounts_for_earlier_sends(self, fake: FakeGuard, send: Send) -> bool:
        """Says whether an owner's chain accounts for all earlier sends."""
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
