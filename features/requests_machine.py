"""State machine that chooses random events for `RequestsWorld`."""

from __future__ import annotations

from collections import Counter

from hypothesis import seed
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    precondition,
    rule,
)

from features.requests_world import NODES, SLICE, RequestsWorld
from rosemarydeal.core import NotRun, Unknown
from rosemarydeal.policy import entry, guard

__all__ = ["TOTALS", "RequestsMachine"]

POSITIONS = st.integers(0, 7)
SETTLE_ROUNDS = 400
TOTALS: Counter = Counter()

# Without a fixed seed, hypothesis derives one from the source of the class, so that
# the drawn runs would depend on its wording.
MACHINE_SEED = int(
    "379262652604634307584623503904554889036008727915076782237997944515"
    "19903674507999721514601129413562413657170639151615"
)


@seed(MACHINE_SEED)
class RequestsMachine(RuleBasedStateMachine):
    """State machine of three guards of one slice and an entry."""

    def __init__(self) -> None:
        super().__init__()
        self.world = RequestsWorld()
        self.request_count = 0

    @rule(
        idempotent=st.sampled_from([False, False, True]),
        keyed=st.sampled_from([True, True, False]),
    )
    def new_request(self, idempotent, keyed):
        self.request_count += 1
        kind = "lookup" if idempotent else "order"
        name = f"{kind}-{self.request_count}"
        self.world.submit(name, idempotent, None, False, keyed)

    @rule(runs=st.booleans())
    def order_loses_its_answer(self, runs):
        self.process_pending(6)
        self.new_request(False, True)
        self.process_pending(1)
        if runs and self.world.jobs:
            self.world.finish_job(self.world.jobs[-1])
        elif self.world.jobs:
            self.world.break_job(self.world.jobs[-1])
        if self.world.network:
            self.world.lose(len(self.world.network) - 1)
            self.process_pending(len(self.world.network))

    @rule(position=POSITIONS)
    def caller_repeats_unknown(self, position):
        sends = self.world.sends.values()
        unknown = [s for s in sends if isinstance(s.result, Unknown) and s.ticket]
        if unknown:
            send = unknown[-1 - position % min(3, len(unknown))]
            self.world.submit(
                send.request_id, send.idempotent, send.ticket, True, send.keyed
            )

    @rule(position=POSITIONS, busy=st.booleans())
    def key_moves_as_planned(self, position, busy):
        world = self.world
        if not busy:
            self.process_pending(12)
        world.guards[world.owner].feed(guard.StopAdmitting(SLICE))
        others = [n for n in NODES if n != world.owner]
        world.hand_over(others[position % 2], lose_ledger=False)
        world.send_rows()

    @precondition(lambda self: self.world.sends)
    @rule(position=POSITIONS, with_ticket=st.booleans())
    def caller_sends_again(self, position, with_ticket):
        sends = [s for s in self.world.sends.values() if s.result != "answer"]
        if not sends:
            sends = list(self.world.sends.values())
        send = sends[-1 - position % len(sends)]
        ticket = send.ticket if with_ticket else None
        resent = not isinstance(send.result, NotRun) or send.ticket is None
        others = [s for s in self.world.sends.values() if s is not send]
        sent_before = any(s.request_id == send.request_id for s in others)
        self.world.submit(
            send.request_id, send.idempotent, ticket, resent or sent_before, send.keyed
        )

    @precondition(lambda self: self.world.network)
    @rule(position=POSITIONS)
    def message_arrives(self, position):
        self.world.deliver(position)

    @precondition(lambda self: self.world.network)
    @rule()
    def oldest_message_arrives(self):
        self.world.deliver(0)

    @precondition(lambda self: self.world.network)
    @rule(position=POSITIONS, refused=st.booleans())
    def connection_breaks(self, position, refused):
        if refused:
            self.world.refuse_connection(position)
        else:
            self.world.lose(position)

    @precondition(lambda self: self.world.jobs)
    @rule(position=POSITIONS)
    def upstream_runs(self, position):
        self.world.run(self.world.jobs[position % len(self.world.jobs)])

    @precondition(lambda self: self.world.jobs)
    @rule(position=POSITIONS)
    def upstream_answers(self, position):
        self.world.finish_job(self.world.jobs[position % len(self.world.jobs)])

    @precondition(lambda self: self.world.jobs)
    @rule(position=POSITIONS, shed=st.booleans())
    def upstream_fails(self, position, shed):
        job = self.world.jobs[position % len(self.world.jobs)]
        if not shed:
            self.world.break_job(job)
        else:
            self.world.shed_job(job)

    @rule(seconds=st.sampled_from([0.01, 0.1, 0.5, 3.0]))
    def time_passes(self, seconds):
        self.world.now += seconds
        self.tick()

    def tick(self):
        for fake in self.world.guards.values():
            fake.feed(guard.Tick())
        self.world.feed_entry(entry.Tick())

    @rule(
        position=POSITIONS,
        kind=st.sampled_from(
            [
                "stop",
                "stop",
                "hand over",
                "hand over",
                "lose ledger",
                "lapse",
                "restart",
            ]
        ),
    )
    def owner_changes(self, position, kind):
        world = self.world
        others = [n for n in NODES if n != world.owner]
        match kind:
            case "stop":
                world.guards[world.owner].feed(guard.StopAdmitting(SLICE))
            case "hand over" | "lose ledger":
                world.hand_over(others[position % 2], kind == "lose ledger")
            case "lapse":
                world.take_over(others[position % 2], notify_old_owner=position > 3)
            case "restart":
                world.restart_guard(NODES[position % 3])

    @rule(count=st.integers(2, 6))
    def pending_work_proceeds(self, count):
        self.process_pending(count)

    def process_pending(self, count):
        for _ in range(count):
            if self.world.network:
                self.world.deliver(0)
            elif self.world.jobs:
                self.world.finish_job(self.world.jobs[0])

    @rule()
    def entry_receives_rows(self):
        self.world.send_rows()

    @rule(position=POSITIONS)
    def caller_disconnects(self, position):
        waiting = [s for s in self.world.sends.values() if s.result is None]
        if waiting:
            send = waiting[position % len(waiting)]
            send.result = "gone"
            self.world.feed_entry(entry.CallerGone(send.number))

    def teardown(self):
        self.settle()
        TOTALS.update(self.world.outcomes)
        TOTALS.update({f"fault {k}": n for k, n in self.world.faults.items()})

    def settle(self):
        """Ends the faults and checks that all requests complete.

        Every caller must get an outcome, and a new order an answer.
        """
        world = self.world
        for _ in range(SETTLE_ROUNDS):
            if world.network:
                world.deliver(0)
            elif world.jobs:
                world.finish_job(world.jobs[0])
            else:
                world.now += 0.5
                self.tick()
                if all(s.result is not None for s in world.sends.values()):
                    break
        waiting = [s.request_id for s in world.sends.values() if s.result is None]
        assert not waiting, f"callers without an outcome: {waiting}"
        owner = world.owner
        if not world.guards[owner].state.ownerships[SLICE].admitting:
            world.version += 1
            world.grant_ownership(owner, -1)
        world.send_rows()
        world.now += 1.5
        self.tick()
        world.submit("order-0", False, None, False)
        for _ in range(20):
            if world.network:
                world.deliver(0)
            elif world.jobs:
                world.finish_job(world.jobs[0])
            else:
                world.now += 0.05
                self.tick()
        last = max(world.sends)
        result = world.sends[last].result
        assert result == "answer", f"order after the faults not answered: {result}"
        assert not isinstance(result, Unknown)
