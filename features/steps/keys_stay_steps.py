"""Steps for transfers of keys that the next proposal would undo."""

from __future__ import annotations

from collections import Counter

from behave import given, then, when

from features.builders_fleet_types import SERVICE, a_member, a_view
from rosemarydeal.policy.keyranges import proposals
from rosemarydeal.policy.keyranges import table as tables

# Each of b and c reaches only the other.
PARTITION = {
    "b": {"links_up": 1, "unresponsive_s": {"a": 5.0, "d": 5.0}},
    "c": {"links_up": 1, "unresponsive_s": {"a": 5.0, "d": 5.0}},
}


def carry_out(table, proposal):
    """Returns the table after a proposal has been carried out."""
    match proposal:
        case proposals.WriteTable(changed):
            return changed
        case proposals.HandOver(parts):
            moved = [(keys, owner, "") for keys, owner in parts]
            return tables.move_ranges(table, moved, "w")
    return table


def proposal_of(context, node, removed=(), **changes):
    """Returns what a node proposes now, after some members have been removed."""
    members = [member for member in context.members if member.node not in removed]
    view = a_view(node, members, removed=frozenset(removed), **changes)
    return proposals.propose(context.range_table, view)


def owners_after(context, proposal, former_owner):
    """Returns the nodes that own the keys of a former owner after a proposal."""
    changed = carry_out(context.range_table, proposal)
    return {
        tables.lookup(changed, key).node
        for owned in tables.owned_by(context.range_table, former_owner)
        for key in range(owned.first, owned.last + 1, 64)
    }


@given("nodes a, b, c and d that own all keys")
def step_four_owners(context):
    context.members = [a_member(node) for node in "abcd"]
    context.range_table = tables.initial_table(SERVICE, context.members, "w")


@when("a and d suspect b and c, which reach only each other")
def step_suspect(context):
    table = tables.add_suspicion(context.range_table, "b", "a", "w")
    context.range_table = tables.add_suspicion(table, "c", "d", "w")


@then(
    "b and c transfer each range at most once in {rounds:d} rounds,"
    " and not to each other"
)
def step_at_rest(context, rounds):
    table = context.range_table
    transfers = Counter()
    for _ in range(rounds):
        for node, reached in PARTITION.items():
            view = a_view(node, context.members, **reached)
            proposal = proposals.propose(table, view)
            for keys, owner in getattr(proposal, "parts", ()):
                assert owner.node not in PARTITION, (node, owner.node)
                transfers.update(range(keys.first, keys.last + 1, 64))
            table = carry_out(table, proposal)
    assert transfers and max(transfers.values()) == 1, transfers.most_common(3)
    assert {keys.node for keys in table.ranges} == {"a", "d"}


@when("a and d are suspected too")
def step_all_suspected(context):
    table = tables.add_suspicion(context.range_table, "a", "b", "w")
    context.range_table = tables.add_suspicion(table, "d", "b", "w")


@then("b and c keep their keys")
def step_keep(context):
    for node, reached in PARTITION.items():
        assert proposal_of(context, node, **reached) is None, node


@then("c transfers its keys to a and d when its upstream is draining")
def step_draining(context):
    proposal = proposal_of(context, "c", accepting=False)
    assert isinstance(proposal, proposals.HandOver)
    assert owners_after(context, proposal, "c") == {"a", "d"}


@then("c transfers its keys to a and d when its upstream is gone")
def step_gone(context):
    proposal = proposal_of(context, "c", accepting=False, alive=False)
    assert proposal.reason == proposals.UPSTREAM_GONE
    assert owners_after(context, proposal, "c") == {"a", "d"}


@then("a takes the keys of c for itself and d when c has been removed")
def step_taken_over(context):
    proposal = proposal_of(context, "a", removed=("c",))
    assert proposal.reason == proposals.OWNER_GONE
    assert owners_after(context, proposal, "c") == {"a", "d"}


@then("b, which reaches no peer, takes no keys of c when c has been removed")
def step_not_taken_over(context):
    others = {"links_up": 0, "unresponsive_s": {"a": 1.0, "d": 1.0}}
    proposal = proposal_of(context, "b", removed=("c",), **others)
    assert proposal is None, proposal


@when("b, which is suspected, has transferred its keys")
def step_transferred(context):
    table = tables.add_suspicion(context.range_table, "b", "a", "w")
    new_owner = next(m for m in context.members if m.node == "a")
    moved = [(keys, new_owner, "") for keys in tables.owned_by(table, "b")]
    context.range_table = tables.move_ranges(table, moved, "w")


@then("no owner transfers keys to b")
def step_no_share(context):
    for node in "acd":
        assert proposal_of(context, node) is None, node


@then("an owner transfers keys to b once the suspicion is refuted")
def step_share(context):
    context.range_table = carry_out(context.range_table, proposal_of(context, "b"))
    assert context.range_table.suspicions == ()
    proposal = proposal_of(context, "a")
    assert {owner.node for _, owner in proposal.parts} == {"b"}


@then("b keeps its keys without links until {seconds:f} seconds after its start")
def step_waits_for_links(context, seconds):
    for linking_s in (0.0, 0.05, seconds - 0.01):
        proposal = proposal_of(context, "b", links_up=0, linking_s=linking_s)
        assert proposal is None, (linking_s, proposal)
    proposal = proposal_of(context, "b", links_up=0, linking_s=seconds)
    assert isinstance(proposal, proposals.HandOver)


@then("b refutes the suspicion at once if its links are up then")
def step_refutes_at_start(context):
    proposal = proposal_of(context, "b", links_up=1, linking_s=0.05)
    assert proposal.reason == "suspicion-refuted"


@then("b hands its keys over at once if its upstream is draining")
def step_drains_at_start(context):
    proposal = proposal_of(context, "b", links_up=0, linking_s=0.05, accepting=False)
    assert isinstance(proposal, proposals.HandOver)
    assert owners_after(context, proposal, "b") == {"a", "c"}


@then("b keeps its keys until the member of its new upstream is stored")
def step_waits_for_member(context):
    changes = {"incarnation": "i-next@2000"}
    assert proposal_of(context, "b", **changes) is None
    proposal = proposal_of(context, "b")
    assert proposal.reason == "suspicion-refuted"


@then("b transfers its keys if the new upstream is draining, or gone")
def step_new_upstream_unfit(context):
    changes = {"incarnation": "i-next@2000", "accepting": False}
    draining = proposal_of(context, "b", **changes)
    assert isinstance(draining, proposals.HandOver)
    gone = proposal_of(context, "b", **changes, alive=False)
    assert gone.reason == proposals.UPSTREAM_GONE
    for proposal in (draining, gone):
        assert owners_after(context, proposal, "b") == {"a", "c"}
