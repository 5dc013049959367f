"""Steps for the properties of placement under random histories."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field

from behave import then
from hypothesis import HealthCheck, Phase, settings
from hypothesis import given as drawn
from hypothesis import strategies as st

from features.builders_control import NORMAL_LOAD, ControlGroup
from rosemarydeal.core import MemberPhase

SLICES = 96
ZONES = ("perth-a", "perth-b", "perth-c")
MIN_OWNERS = 3

CHANGE = st.one_of(
    st.tuples(st.just("lose"), st.integers(0, 9)),
    st.tuples(st.just("drain"), st.integers(0, 9)),
    st.tuples(st.just("join"), st.just(0)),
    st.tuples(st.just("out"), st.integers(0, 2)),
    st.tuples(st.just("in"), st.just(0)),
    st.tuples(st.just("restart"), st.integers(0, 9)),
)


@dataclass
class CheckCounts:
    """Number of times that each rule was checked."""

    rows: int = 0
    retiring: int = 0
    losses: int = 0
    balances: int = 0


@dataclass
class History:
    """Applies random changes to a control group and checks its writes."""

    checked: CheckCounts
    group: ControlGroup = field(default_factory=lambda: ControlGroup(5, SLICES))
    out: frozenset = frozenset()
    joined: int = 5
    applied: list = field(default_factory=list)
    incarnations: Counter = field(default_factory=Counter)

    def start(self):
        self.group.on_change = self.check_row
        self.run(8.0)

    def run(self, seconds):
        self.group.run(seconds, lambda node, slice_id: NORMAL_LOAD)

    def settle(self):
        """Runs until no slice has moved for 15 seconds."""
        moved = -1
        while moved != len(self.group.moves):
            moved = len(self.group.moves)
            self.run(15.0)

    def may_own(self):
        return sorted(
            node
            for node, read in self.group.members.items()
            if read.member.phase is MemberPhase.UP
            and read.member.place.availability_zone not in self.out
        )

    def check_row(self, before, after):
        if before == after:
            return
        self.checked.rows += 1
        assert after.owner.node in self.may_own(), after
        if before is None:
            assert after.version == 1
            return
        assert after.version == before.version + 1, (before, after)
        expected_retiring = {*before.succession, *before.retiring} - {after.owner}
        assert expected_retiring <= set(after.retiring), (before, after)
        self.checked.retiring += len(before.retiring)

    def apply(self, kind, number):
        self.applied.append((kind, number, self.group.clearing))
        nodes = self.may_own()
        node = nodes[number % len(nodes)]
        if kind == "join":
            self.joined += 1
            self.group.join(self.joined)
        elif kind == "restart":
            self.restart(node)
        elif kind == "in":
            self.zones(frozenset())
        elif kind == "out":
            remaining = [
                n
                for n in nodes
                if self.group.members[n].member.place.availability_zone != ZONES[number]
            ]
            if len(remaining) >= MIN_OWNERS:
                self.evacuate(
                    set(nodes) - set(remaining),
                    lambda: self.zones(self.out | {ZONES[number]}),
                )
        elif len(nodes) > MIN_OWNERS:
            phase = MemberPhase.LOST if kind == "lose" else MemberPhase.DRAINING
            self.evacuate({node}, lambda: self.group.set_phase(node, phase))

    def restart(self, node):
        self.incarnations[node] += 1
        record = self.group.members[node].member
        incarnation = record.incarnation.number + 1
        number = int(node.rpartition("-")[2])
        zone = record.place.availability_zone
        self.group.join(number, zone, incarnation)

    def zones(self, out):
        self.out = out
        self.group.take_zones_out(out)

    def evacuate(self, nodes, change):
        """Makes a change that moves all slices off nodes, and checks the moves."""
        least = sum(owner in nodes for owner in self.group.owners().values())
        before = len(self.group.moves)
        no_hand_over = not self.retiring()
        change()
        self.run(10.0)
        moved = len(self.group.moves) - before
        # Moves that waited for the end of a hand-over belong to the change before.
        if no_hand_over and least:
            assert moved <= 1.2 * least + 1, (moved, least, self.applied)
            self.checked.losses += 1

    def retiring(self):
        """Returns the rows with retiring names that have not been cleared."""
        chunks = (read.chunk for read in self.group.chunks.values())
        return [row for chunk in chunks for row in chunk.rows if row.retiring]


@then("{count:d} random histories of a placement group satisfy these rules")
def step_histories(context, count):
    checked = CheckCounts()

    @settings(
        max_examples=count,
        derandomize=True,
        deadline=None,
        phases=(Phase.explicit, Phase.generate),
        suppress_health_check=list(HealthCheck),
    )
    @drawn(st.lists(st.tuples(CHANGE, st.booleans()), min_size=2, max_size=5))
    def check(changes):
        history = History(checked)
        history.start()
        for (kind, number), clearing in changes:
            history.group.clearing = clearing
            history.apply(kind, number)
            history.settle()
        history.group.clearing = True
        history.settle()
        owned = Counter(history.group.owners().values())
        assert sum(owned.values()) == SLICES
        mean = SLICES / len(history.may_own())
        assert max(owned.values()) <= 1.2 * mean, (owned, mean)
        checked.balances += 1

    check()
    assert checked.rows > 3000 and checked.retiring > 150, checked
    assert checked.losses > 10 and checked.balances >= count, checked
