"""State machine for hypothesis: grants carried by heartbeats, under lost messages."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass

from hypothesis import HealthCheck, Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
    run_state_machine_as_test,
)

from features.grants_world import SimulatedUpstream
from rosemarydeal.core.fleet import Announcement, GrantStatement, KeyRange
from rosemarydeal.policy.keyranges.heartbeat_grants import HeartbeatGrants, Release

__all__ = ["TOTALS", "check_grants"]

KEYS = 6
MAX_HOLD_S = 3.0
# Restarts are rarer than other events, so that releases can complete.
RESTART_CHANCE = 5
EXAMPLES = 300
STEPS = 60
TOTALS: Counter = Counter()


@dataclass(slots=True)
class Exchange:
    """A heartbeat on its way to the process, or its answer on the way back."""

    heartbeat: Announcement
    answered: bool = False
    statement: GrantStatement | None = None


class GrantsMachine(RuleBasedStateMachine):
    """One upstream and the process beside it; released keys count as another's."""

    def __init__(self):
        super().__init__()
        self.now = 100.0
        self.token = 1
        self.upstream = SimulatedUpstream(1)
        self.grants = HeartbeatGrants(self.now, MAX_HOLD_S)
        self.owned = dict.fromkeys(range(KEYS), self.token)
        self.releases: list[Release] = []
        self.exchange: Exchange | None = None
        self.late: list[Exchange] = []
        self.next_beat_at = self.now
        self.applied = False

    def _wanted(self):
        return [
            KeyRange(key, key, "n", self.upstream.incarnation, token, "")
            for key, token in self.owned.items()
        ]

    @rule(seconds=st.sampled_from([0.01, 0.05, 0.2, 0.5, 0.9]))
    def pass_time(self, seconds):
        self.now += seconds
        self.upstream.expire(self.now)
        self.grants.end_expired(self.now)

    @rule(there=st.sampled_from([0.001, 0.001, 0.3]), back=st.just(0.03))
    def exchange_heartbeat(self, there, back):
        """Completes a heartbeat and its answer without a loss."""
        self.send_heartbeat()
        self.pass_time(there)
        self.receive_heartbeat(MAX_HOLD_S)
        self.pass_time(back)
        self.deliver_answer(False)

    @precondition(lambda self: self.exchange is None or self.now >= self.next_beat_at)
    @rule()
    def send_heartbeat(self):
        if self.exchange is not None:
            # The upstream has timed out; what was on its way may still arrive.
            self.late.append(self.exchange)
        self.exchange = Exchange(self.upstream.heartbeat(self.now))
        self.next_beat_at = self.now + 1.0

    @precondition(lambda self: self.exchange is not None)
    @rule(hold_s=st.sampled_from([0.0, 1.0, MAX_HOLD_S]))
    def receive_heartbeat(self, hold_s):
        if self.exchange.answered:
            return
        self._answer(self.exchange, hold_s)

    def _answer(self, exchange, hold_s):
        self.grants.set_wanted(self._wanted())
        exchange.answered = True
        self.applied = False
        newest = exchange.heartbeat.sequence == self.upstream.sequence
        if exchange.heartbeat.born_ms == self.upstream.born_ms and newest:
            exchange.statement = self.grants.answer(
                exchange.heartbeat, self.upstream.incarnation, hold_s, self.now
            )

    @precondition(lambda self: self.exchange is not None and self.exchange.answered)
    @rule(lost=st.sampled_from([False, False, False, True]))
    def deliver_answer(self, lost):
        if not lost:
            heartbeat = self.exchange.heartbeat
            if heartbeat.born_ms == self.upstream.born_ms:
                self.applied = self.now <= self.upstream.sent_at + 1.0
                self.upstream.apply(
                    heartbeat.sequence, self.exchange.statement, self.now
                )
            self.exchange = None
        else:
            self.now = max(self.now, self.upstream.sent_at + 1.0)
            self.upstream.expire(self.now)
            self.exchange = None

    @precondition(lambda self: self.late)
    @rule()
    def deliver_late(self):
        exchange = self.late.pop(0)
        if not exchange.answered:
            self._answer(exchange, MAX_HOLD_S)
        heartbeat = exchange.heartbeat
        if heartbeat.born_ms == self.upstream.born_ms:
            self.upstream.apply(heartbeat.sequence, exchange.statement, self.now)

    @rule(first=st.integers(0, KEYS - 1), width=st.integers(1, 3))
    def release(self, first, width):
        last = min(KEYS - 1, first + width - 1)
        keys = range(first, last + 1)
        taken = any(key in r.keys for r in self.releases for key in keys)
        tokens = {self.owned.get(key) for key in keys}
        if taken or len(tokens) != 1 or None in tokens:
            return
        moving = KeyRange(first, last, "n", self.upstream.incarnation, tokens.pop(), "")
        self.releases.append(self.grants.begin_release(moving))

    @rule()
    def assign_released_keys_anew(self):
        for release in [r for r in self.releases if r.parts is not None]:
            self._check_parts(release)
            TOTALS["released"] += 1
            TOTALS["handover"] += any(token for _, token in release.parts)
            self.releases.remove(release)
            self.grants.remove_release(release)
            self.token += 1
            for key in range(release.keys.first, release.keys.last + 1):
                self.owned[key] = self.token

    def _check_parts(self, release):
        keys = [
            key for part, _ in release.parts for key in range(part.first, part.last + 1)
        ]
        expected = range(release.keys.first, release.keys.last + 1)
        assert sorted(keys) == list(expected), release
        for part, token in release.parts:
            if token:
                assert self.upstream.issued[token] in part, (part, token)

    @rule(chance=st.integers(0, RESTART_CHANCE))
    def find_upstream_silent(self, chance):
        if not chance:
            self.grants.suspend()

    @rule(key=st.integers(0, KEYS - 1))
    def request(self, key):
        token = self.owned.get(key)
        if token is not None and self.grants.allows(key, token, self.now):
            TOTALS["run"] += self.upstream.start_work(key, token, self.now)
            TOTALS["sent"] += 1

    @rule()
    def end_work(self):
        self.upstream.end_work(self.now)

    @rule(chance=st.integers(0, RESTART_CHANCE))
    def restart_process(self, chance):
        """The new process knows the table, and releases begin anew."""
        if chance:
            return
        self.grants = HeartbeatGrants(self.now, MAX_HOLD_S)
        self.releases = []
        if self.exchange is not None:
            # Its connections are closed.
            self.exchange = None

    @rule(chance=st.integers(0, RESTART_CHANCE))
    def restart_upstream(self, chance):
        if chance:
            return
        issued = self.upstream.issued
        self.upstream = SimulatedUpstream(self.upstream.born_ms + 1, issued=issued)
        self.exchange = None
        self.grants.forget()
        self.token += 1
        self.owned = dict.fromkeys(self.owned, self.token)

    @invariant()
    def released_keys_are_not_held(self):
        """Another upstream may be granted the keys of an ended release."""
        self.upstream.expire(self.now)
        for release in self.releases:
            if release.parts is not None:
                held = [key for key in self.upstream.holds if key in release.keys]
                assert not held, (held, release)

    @invariant()
    def usable_keys_are_held(self):
        """Keys are used only while the upstream holds them, if no answer was lost."""
        for key, token in self.owned.items():
            if self.applied and self.grants.allows(key, token, self.now):
                TOTALS["usable"] += 1
                assert self.upstream.holds[key].token == token, key


def check_grants() -> Counter:
    """Runs the state machine with the budget of CI and returns what happened.

    Raises:
        AssertionError: If keys of an ended release were held, keys were used after
            their hold, or too few requests or releases took place.
    """
    TOTALS.clear()
    run_state_machine_as_test(
        GrantsMachine,
        settings=settings(
            derandomize=True,
            deadline=None,
            max_examples=EXAMPLES,
            stateful_step_count=STEPS,
            suppress_health_check=list(HealthCheck),
            database=None,
            phases=[Phase.generate],
            report_multiple_bugs=False,
        ),
    )
    assert TOTALS["run"] > 0.6 * TOTALS["sent"] > 60, TOTALS
    assert TOTALS["released"] > 100 and TOTALS["handover"] > 20, TOTALS
    return TOTALS
