"""Steps for tables that are written over the revision they were computed from."""

from __future__ import annotations

import asyncio
from contextlib import contextmanager
from dataclasses import replace
from unittest import mock

import msgspec
from behave import given, then, when
from structlog.testing import CapturingLogger

from features.builders_fleet_types import SERVICE, a_member, a_view
from features.builders_node import run
from features.builders_rate_limit import captured_logs
from features.builders_tables import (
    stored_table,
    undone_ranges,
    written_tables,
)
from rosemarydeal.core.clock import now
from rosemarydeal.core.decoding import MAX_INTEGER
from rosemarydeal.core.fleet import Revision, StoredObject
from rosemarydeal.node.contents import (
    decode_table,
    encode_reservation,
    encode_table,
    table_name,
)
from rosemarydeal.node.links import Links
from rosemarydeal.node.records import MEMBERS, RANGES, Records
from rosemarydeal.platform.errors import StoreConflict, StoreUnavailable
from rosemarydeal.platform.store import Listing, StoreClient
from rosemarydeal.policy.dispatch.queue import Admission
from rosemarydeal.policy.keyranges import ownership_lease, proposals
from rosemarydeal.policy.keyranges import table as tables
from rosemarydeal.policy.keyranges.restored_ranges import RestoredRanges
from rosemarydeal.policy.keyranges.table_changes import TableChange, WriteResult

UNREACHABLE_S = 60.0
SETTLE_S = 1.0
# The store rejects the calls of a process that starts for so long.
REJECTED_S = 4.0
# A restored table is in force within this time.
SERVED_S = 3.0


def put_table(store, table):
    """Writes a table as another process does; returns the stored object."""
    spec = msgspec.json.decode(encode_table(table))
    stored = store.put(RANGES, table_name(table.service, store.era), spec)
    return stored_table(stored["metadata"]["rev"], spec, store.era)


@when("vm-a learns of a hand-over in the turn in which it has proposed a suspicion")
def step_proposed_before_hand_over(context):
    async def go():
        deployment = context.deployment
        node = deployment.nodes["vm-a"]
        ownership, records = node._ownership, node._records
        await deployment.wait(lambda: not ownership._writing)
        context.first_revision = deployment.store.revision
        loop_now = asyncio.get_running_loop().time()
        unreachable = {"vm-c": loop_now - UNREACHABLE_S}
        node._links.unreachable_since = unreachable.get
        ownership._propose(now())
        table = records.table("box-office")
        keys = tables.owned_by(table, "vm-c")[0]
        moved = tables.move_ranges(
            table, [(keys, records.members["vm-b"], "")], "another-writer"
        )
        context.moved = (keys.first, moved.top_token)
        records.apply(put_table(deployment.store, moved), changed=True)
        await asyncio.sleep(SETTLE_S)

    run(context, go())


@then("no table undid the change of another")
def step_nothing_undone(context):
    written = written_tables(context.deployment.store)
    for old, new in zip(written, written[1:], strict=False):
        assert new.top_token >= old.top_token, (old.top_token, new.top_token)
        assert not undone_ranges(old, new), (undone_ranges(old, new), new.writer)


@then("the suspicion is recorded without undoing the hand-over")
def step_suspicion_after_hand_over(context):
    first_key, token = context.moved
    written = written_tables(context.deployment.store, context.first_revision)
    suspecting = [
        table
        for table in written
        if any((s.node, s.by) == ("vm-c", "vm-a") for s in table.suspicions)
    ]
    assert suspecting
    assert tables.lookup(suspecting[0], first_key).token >= token


@when("the store is restored from a copy of now")
def step_restored_from_now(context):
    context.deployment.store.take_copy()
    context.deployment.store.restore()


@then(
    "the store has accepted a reservation that tells of {known} before, then the table"
)
def step_reserved_first(context, known):
    store = context.deployment.store
    name = table_name("box-office", store.era)

    def specs():
        return [
            event["object"]["spec"]
            for _, kind, event in store.events
            if kind == RANGES and event["object"]["metadata"]["name"] == name
        ]

    run(context, context.deployment.wait(lambda: len(specs()) > 1, SERVED_S))
    reservation, first = specs()[:2]
    assert reservation == {"reserved": True, "replaced": known == "a table"}
    assert "ranges" in first


@given("a reservation that tells of {known} before")
def step_reservation(context, known):
    content = encode_reservation(known == "a table")
    stored = StoredObject(RANGES, table_name(SERVICE), Revision(1, 5), content)
    context.records = Records()
    context.records.apply_listing(RANGES, Listing((stored,), stored.revision))


@then("a process {starts} finds that {found} was replaced")
def step_finds_replaced(context, starts, found):
    first_start = starts == "of the first start"
    replaced = context.records.is_table_replaced(SERVICE, first_start)
    assert replaced == (found == "a table")
    assert context.records.table(SERVICE) is None


@when("a listing lacks it")
def step_reservation_vanished(context):
    context.records.apply_listing(RANGES, Listing((), Revision(1, 6)))


@when(
    "the member of vm-b, which owns keys, is removed, and written again"
    " {late_s:g} s later"
)
def step_live_member_removed(context, late_s):
    async def go():
        deployment = context.deployment
        deployment.store.late_writes_s[MEMBERS] = late_s
        deployment.store.remove(MEMBERS, "vm-b")
        await asyncio.sleep(late_s + SERVED_S)
        assert (MEMBERS, "vm-b") in deployment.store.objects

    run(context, go())


@then("vm-b still owns its keys, and no suspicion remains")
def step_still_owns(context):
    table = context.deployment.nodes["vm-a"]._records.table(SERVICE)
    assert tables.owned_by(table, "vm-b")
    assert not table.suspicions, table.suspicions


@when("vm-b ends, and its member is removed while it owns keys")
def step_ended_removed(context):
    async def go():
        deployment = context.deployment
        await deployment.endpoints.pop("vm-b").stop()
        await deployment.nodes.pop("vm-b").close()
        deployment.store.remove(MEMBERS, "vm-b")

    run(context, go())


@then("within {seconds:d} seconds a suspicion against vm-b is recorded")
def step_suspected(context, seconds):
    records = context.deployment.nodes["vm-a"]._records

    def suspected():
        return any(s.node == "vm-b" for s in records.table(SERVICE).suspicions)

    run(context, context.deployment.wait(suspected, seconds))
    assert tables.owned_by(records.table(SERVICE), "vm-b")


@when("the table is removed while all processes restart")
def step_removed_at_restart(context):
    async def go():
        deployment = context.deployment
        for node in deployment.nodes.values():
            await node.close()
        deployment.store.remove(RANGES, SERVICE)
        context.first_revision = deployment.store.revision
        for name in deployment.nodes:
            await deployment.start_node(name)

    run(context, go())


@then("the next table makes its owners wait until former leases have expired")
def step_owners_wait(context):
    def written():
        return written_tables(context.deployment.store, context.first_revision)

    run(context, context.deployment.wait(written))
    first = written()[0]
    assert first.restored_token == first.top_token > 0, first


@when("a process writes a table computed from a revision that has passed")
def step_passed_revision(context):
    async def go():
        deployment = context.deployment
        node = deployment.nodes["vm-a"]
        base = node._records.table_base("box-office")
        newer = replace(base.table, writer="another-writer")
        node._records.apply(put_table(deployment.store, newer), changed=True)
        content = encode_table(replace(base.table, writer="outdated"))
        try:
            await node._access.write(RANGES, "box-office", content, base.revision)
        except StoreConflict as error:
            context.conflict = error

    context.conflict = None
    run(context, go())


@when("the store fails vm-a's own write of a table as it learns of another change")
def step_relayed_write(context):
    async def go():
        deployment = context.deployment
        node = deployment.nodes["vm-a"]
        base = node._records.table_base("box-office")
        newer = replace(base.table, writer="another-writer")

        async def fail(*_):
            node._records.apply(put_table(deployment.store, newer), changed=True)
            raise StoreUnavailable("rejected")

        node.store.replace = fail
        content = encode_table(replace(base.table, writer="outdated"))
        try:
            await node._access.write(RANGES, "box-office", content, base.revision)
        except StoreConflict as error:
            context.conflict = error

    context.conflict = None
    run(context, go())


@when("another writer gives the table the highest possible token")
def step_highest_possible(context):
    async def go():
        deployment = context.deployment
        await deployment.wait(
            lambda: not any(n._ownership._writing for n in deployment.nodes.values())
        )
        table = written_tables(deployment.store)[-1]
        put_table(
            deployment.store,
            replace(table, top_token=MAX_INTEGER, writer="another-writer"),
        )
        context.replaced_at = deployment.store.revision

    run(context, go())


@then("a process has written a table in its place within {seconds:d} seconds")
def step_written_again(context, seconds):
    store = context.deployment.store

    def written():
        later = written_tables(store, context.replaced_at)
        return later and later[-1].top_token < MAX_INTEGER

    run(context, context.deployment.wait(written, seconds))


@given("a table with the highest token that is accepted at revision {number:d}")
def step_highest_accepted(context, number):
    table = _first_table()

    def accepted(token):
        stored = _stored(replace(table, top_token=token), number)
        return decode_table(stored) is not None

    lowest, highest = 1, MAX_INTEGER
    assert accepted(lowest) and not accepted(highest)
    while highest - lowest > 1:
        middle = (lowest + highest) // 2
        lowest, highest = (middle, highest) if accepted(middle) else (lowest, middle)
    context.known_table = replace(table, top_token=lowest)
    context.number = number


@when("a process writes a change of it with the next token")
def step_next_change(context):
    context.written = tables.add_suspicion(context.known_table, "a", "b", "writer")


@when("a process writes a change of it as a table that was restored")
def step_restored_change(context):
    known = context.known_table
    context.written = tables.restore(
        known, known.top_token, Revision(1, context.number), "writer"
    )


@then("that table is accepted")
def step_accepted(context):
    stored = _stored(context.written, context.number + 1)
    assert decode_table(stored) == context.written


@then("the write is refused as a conflict")
def step_refused_as_conflict(context):
    assert context.conflict is not None
    table = context.deployment.nodes["vm-a"]._records.table("box-office")
    assert table.writer != "outdated"


@when("vm-a is to write a table whose highest token is lower than that of its base")
def step_lower_token(context):
    async def go():
        deployment = context.deployment
        ownership = deployment.nodes["vm-a"]._ownership
        base = ownership._table_base()
        context.first_revision = deployment.store.revision
        lowered = replace(base.table, top_token=base.table.top_token - 1, writer="low")
        context.written = await ownership._table_writer.write(
            TableChange(base, lowered, "test")
        )

    run(context, go())


@then("the store gets no write of a table")
def step_no_table_written(context):
    assert context.written is WriteResult.NOT_WRITTEN
    written = written_tables(context.deployment.store, context.first_revision)
    assert all(table.writer != "low" for table in written)


@when("vm-a misses a hand-over after which the table is {replaced} by another writer")
def step_replaced(context, replaced):
    ownership = context.deployment.nodes["vm-a"]._ownership
    run(context, context.deployment.wait(lambda: not ownership._writing))
    step_replaced_meanwhile(context, replaced)


@when(
    "vm-a misses a hand-over meanwhile after which the table is {replaced}"
    " by another writer"
)
def step_replaced_meanwhile(context, replaced):
    async def go():
        deployment = context.deployment
        store, nodes = deployment.store, deployment.nodes
        table = nodes["vm-a"]._records.table("box-office")
        keys = tables.owned_by(table, "vm-c")[0]
        member = nodes["vm-a"]._records.members["vm-b"]
        moved = tables.move_ranges(table, [(keys, member, "")], "another-writer")
        context.moved_key = keys.first
        # As a reader that lists the store between the two changes and after them.
        handed_over = put_table(store, moved)
        if replaced == "damaged":
            spec = {"service": "box-office", "odd": True}
            last = store.put(RANGES, "box-office", spec)
            last = stored_table(last["metadata"]["rev"], spec, store.era)
        elif replaced == "given a token too high":
            too_high = replace(moved, top_token=MAX_INTEGER, writer="a-third-writer")
            last = put_table(store, too_high)
        else:
            store.remove(RANGES, "box-office")
            revision = Revision(store.era, store.revision)
            last = StoredObject(RANGES, "box-office", revision, None)
        for name in ("vm-b", "vm-c"):
            nodes[name]._records.apply(handed_over, changed=True)
        for node in nodes.values():
            node._records.apply(last, changed=True)
        await asyncio.sleep(0)

    run(context, go())


@given("vm-a can't write the new owners of keys that it has released")
def step_unwritten_hand_over(context):
    async def go():
        deployment = context.deployment
        node, endpoint = deployment.nodes["vm-a"], deployment.endpoints["vm-a"]
        ownership = node._ownership
        await deployment.wait(lambda: not ownership._writing)
        deployment.store.rejects_writes = True
        keys = ownership.owned[0]
        new_owner = node._records.members["vm-b"]
        ownership._start_hand_over(((keys, new_owner),))
        await deployment.wait(lambda: not endpoint.held(keys.first))

    run(context, go())


@when("the store accepts writes again")
def step_writes_accepted(context):
    context.deployment.store.rejects_writes = False


@given("vm-a renews its tokens once it knows that the table was replaced")
def step_renew_when_replaced(context):
    node = context.deployment.nodes["vm-a"]
    ownership, records = node._ownership, node._records

    def renew(_kind):
        if records.is_table_outdated("box-office") and not context.renewed:
            context.renewed = True
            ownership._tasks.spawn("token-renewal", ownership._renew_token())

    context.renewed = False
    records.subscribe(renew)


@then("all processes know the same table within {seconds:d} seconds")
def step_same_table(context, seconds):
    deployment = context.deployment

    def same():
        records = [node._records for node in deployment.nodes.values()]
        bases = {known.table_base("box-office") for known in records}
        (base,) = bases if len(bases) == 1 else (None,)
        return base is not None and base.current

    run(context, deployment.wait(same, seconds))


@then(
    "the keys of the hand-over are granted to one upstream at most"
    " for {seconds:d} seconds"
)
def step_one_holder(context, seconds):
    async def go():
        deployment = context.deployment
        ends_at = asyncio.get_running_loop().time() + seconds
        while asyncio.get_running_loop().time() < ends_at:
            # The hand-over of this test released nothing: vm-c holds its last grant.
            granted = [
                name
                for name, node in deployment.nodes.items()
                if node._ownership.admits(context.moved_key) is Admission.RUN
            ]
            assert len(granted) <= 1, granted
            await asyncio.sleep(0.01)

    run(context, go())


@given("records of a table whose highest token is {token:d}")
def step_records(context, token):
    context.records = Records()
    table = _first_table()
    context.known_table = replace(table, top_token=token)
    context.records.apply(_stored(context.known_table, 5), changed=True)


@when("a table of another writer arrives, whose highest token is {token:d}")
def step_fallen(context, token):
    fallen = replace(context.known_table, top_token=token, writer="another-writer")
    other = StoredObject(RANGES, "other", Revision(1, 7), b"{}")
    logger = CapturingLogger()
    with mock.patch("rosemarydeal.node.known_tables._log", logger):
        context.records.apply(_stored(fallen, 6), changed=True)
        # Each change of the kind decodes all tables again.
        context.records.apply(other, changed=True)
    context.logged = logger.calls


@when(
    "a table with a suspicion of token {token:d} arrives, then one without it,"
    " and then the former again"
)
def step_refuted_again(context, token):
    suspecting = tables.add_suspicion(context.known_table, "a", "b", "suspecting")
    assert suspecting.top_token == token
    context.known_table = tables.remove_suspicion(suspecting, "a", "refuting")
    context.records.apply(_stored(suspecting, 6), changed=True)
    context.records.apply(_stored(context.known_table, 7), changed=True)
    assert not context.records.is_table_outdated(SERVICE)
    context.records.apply(_stored(suspecting, 8), changed=True)


@when("the same table arrives at a later revision")
def step_same_later(context):
    context.records.apply(_stored(context.known_table, 6), changed=True)
    assert context.records.stored_revision(RANGES, SERVICE) == Revision(1, 6)


@when(
    "a table of another writer arrives, whose highest token is {token:d},"
    " and another change {seconds:f} seconds later"
)
def step_fallen_for(context, token, seconds):
    fallen = replace(context.known_table, top_token=token, writer="another-writer")
    other = StoredObject(RANGES, "other", Revision(1, 7), b"{}")
    arrived_at = now()
    with mock.patch("rosemarydeal.node.known_tables.now", lambda: arrived_at):
        context.records.apply(_stored(fallen, 6), changed=True)
    assert context.records.is_table_outdated(SERVICE)
    with mock.patch("rosemarydeal.node.known_tables.now", lambda: arrived_at + seconds):
        context.records.apply(other, changed=True)


@then("the known table is outdated")
def step_still_outdated(context):
    assert context.records.is_table_outdated(SERVICE)


@then("the known table is not outdated")
def step_not_outdated(context):
    assert not context.records.is_table_outdated(SERVICE)


@when("a table of another writer arrives in its place, of another era")
def step_other_era(context):
    other = replace(context.known_table, era=0, writer="another-writer")
    context.records.apply(_stored(other, 6), changed=True)


@when("a listing of the restored store brings the copy of that table")
def step_copy_listed(context):
    copy = replace(_stored(context.known_table, 5), revision=Revision(2, 5))
    context.records.apply_listing(RANGES, Listing((copy,), Revision(2, 6)))


@then("the known table is outdated, and still known")
def step_outdated(context):
    assert context.records.is_table_outdated(SERVICE)
    assert context.records.table(SERVICE) == context.known_table


@when(
    "keys of vm-a move to vm-b, and another writer puts the table before back {missed}"
)
def step_put_back(context, missed):
    async def go():
        deployment = context.deployment
        store, node = deployment.store, deployment.nodes["vm-a"]
        ownership, records = node._ownership, node._records
        await deployment.wait(lambda: not ownership._writing)
        former = written_tables(store)[-1]
        keys = ownership.owned[0]
        ownership._start_hand_over(((keys, records.members["vm-b"]),))
        await deployment.wait(lambda: deployment.endpoints["vm-b"].held(keys.first))
        context.handed_over = written_tables(store)[-1]
        put_table(store, former)
        if missed != "again":
            # As a process does that has missed the hand-over.
            vm_c = deployment.nodes["vm-c"]._records.members["vm-c"]
            put_table(store, proposals.renew_tokens(former, vm_c, "c"))
        # All processes hear of it, and act upon it.
        await asyncio.sleep(SETTLE_S)

    run(context, go())


@contextmanager
def rejected_calls(is_rejected):
    """Lets the store reject the calls of some processes, and of no others.

    Args:
        is_rejected: Returns whether the calls of a process's client are rejected.
    """
    call = StoreClient._call

    async def call_unless_rejected(store, *arguments, **options):
        if is_rejected(store):
            raise StoreUnavailable("rejected by the test")
        return await call(store, *arguments, **options)

    with mock.patch.object(StoreClient, "_call", call_unless_rejected):
        yield


@when(
    "keys of vm-a move to vm-b,"
    " and the table before is put back as the process of vm-a starts again"
)
def step_put_back_at_start(context):
    put_back_at_start(context)


@when(
    "the store drops its history, keys of vm-a move to vm-b,"
    " and the table before is put back as the process of vm-a starts again"
)
def step_put_back_without_history(context):
    context.deployment.store.drop_history()
    put_back_at_start(context)


@when(
    "the store drops its history, and vm-a starts again on the table before a"
    " hand-over, and is linked {seconds:f} s later"
)
def step_put_back_before_links(context, seconds):
    connect = Links._connect

    async def connect_late(links, link):
        await asyncio.sleep(seconds)
        return await connect(links, link)

    context.deployment.store.drop_history()
    with mock.patch.object(Links, "_connect", connect_late):
        put_back_at_start(context)


def put_back_at_start(context):
    """Puts back the table before a hand-over as its process starts again."""

    async def go():
        deployment = context.deployment
        store, node = deployment.store, deployment.nodes["vm-a"]
        await deployment.wait(lambda: not node._ownership._writing)
        former = written_tables(store)[-1]
        keys = node._ownership.owned[0]
        to_vm_b = ((keys, node._records.members["vm-b"]),)
        node._ownership._start_hand_over(to_vm_b)
        await deployment.wait(lambda: deployment.endpoints["vm-b"].held(keys.first))
        await deployment.nodes.pop("vm-a").close()
        # Those that know the table can't restore it before the process acts on it.
        others = [other._store for other in deployment.nodes.values()]
        with rejected_calls(others.__contains__):
            put_table(store, former)
            await deployment.start_node("vm-a")
            await asyncio.sleep(SETTLE_S)

    run(context, go())


@when(
    "the process of vm-a starts again,"
    " and the store has dropped its history and {serves} it"
)
@when(
    "the process of vm-a starts again,"
    " and the store has dropped its history and {serves} its calls"
)
def step_start_without_history(context, serves):
    async def go():
        deployment = context.deployment
        await deployment.nodes.pop("vm-a").close()
        deployment.store.drop_history()
        if serves == "serves":
            await deployment.start_node("vm-a")
            return
        others = [other._store for other in deployment.nodes.values()]
        with rejected_calls(lambda store: store not in others):
            await deployment.start_node("vm-a")
            await deployment.wait(lambda: uses_keys(deployment), REJECTED_S)

    run(context, go())


@then("vm-a uses its keys within {seconds:d} seconds")
def step_uses_keys(context, seconds):
    deployment = context.deployment
    run(context, deployment.wait(lambda: uses_keys(deployment), seconds))


def uses_keys(deployment):
    """Returns whether vm-a has keys, and requests for all of them may run there."""
    ownership = deployment.nodes["vm-a"]._ownership
    admissions = {ownership.admits(keys.first) for keys in ownership.owned}
    return admissions == {Admission.RUN}


@when("vm-a, whose calls the store rejects, reads the history of the tables")
def step_history_through_peer(context):
    async def go():
        nodes = context.deployment.nodes
        since = Revision(context.deployment.store.era, 1)
        own = nodes["vm-a"]._store
        with rejected_calls(lambda store: store is own), captured_logs() as lines:
            context.histories = [
                await nodes[name]._access.read_history(RANGES, since)
                for name in ("vm-a", "vm-b")
            ]
        context.logged = lines

    run(context, go())


@then("it has the same changes as vm-b, by a peer's call")
def step_same_changes(context):
    own, other = (listing.objects for listing in context.histories)
    assert own and own == other, (own, other)
    called = [e for e in context.logged if e["event"] == "store_called_by_peer"]
    assert len(called) == 1, context.logged


@then("no table in force undoes a change that the others know")
def step_change_kept(context):
    (table,) = {
        node._records.table("box-office") for node in context.deployment.nodes.values()
    }
    assert not undone_ranges(context.handed_over, table), table


@then("the next token of that table is {token:d}")
def step_next_token(context, token):
    table = context.records.table(SERVICE)
    suspecting = tables.add_suspicion(table, "a", "b", "writer")
    assert suspecting.top_token == token, suspecting.top_token


@then("the fall was logged once as an error")
def step_fall_logged(context):
    fallen = [call for call in context.logged if call.args == ("table_put_back",)]
    assert [call.method_name for call in fallen] == ["error"], context.logged


@when("vm-a removes the member of vm-b as it was before its last write")
def step_remove_earlier(context):
    async def go():
        deployment = context.deployment
        node = deployment.nodes["vm-a"]
        revision = node._records.stored_revision(MEMBERS, "vm-b")
        stored = deployment.store.objects[MEMBERS, "vm-b"]
        deployment.store.put(MEMBERS, "vm-b", stored["spec"] | {"renewals": 7})
        await deployment.wait(
            lambda: node._records.stored_revision(MEMBERS, "vm-b") > revision
        )
        try:
            await node._access.remove(MEMBERS, "vm-b", revision)
        except StoreConflict:
            context.refused = True

    context.refused = False
    run(context, go())


@then("the member of vm-b is still there")
def step_member_there(context):
    assert context.refused
    assert (MEMBERS, "vm-b") in context.deployment.store.objects


def _first_table():
    """Returns a table of one owner, whose ranges have token 1."""
    table = tables.initial_table(SERVICE, [a_member("a")], "first", Revision(1, 0))
    return replace(table, ranges=tuple(replace(keys, token=1) for keys in table.ranges))


def _stored(table, number):
    """Returns the object of a table."""
    content = encode_table(table)
    return StoredObject(RANGES, table_name(SERVICE), Revision(1, number), content)


@given("nodes a, b and c of which none knows a table, and something else in its place")
def step_nothing_known(context):
    context.members = [a_member(node) for node in "abc"]


@when("the members have been stable for {seconds:g} seconds")
def step_stable(context, seconds):
    restored = proposals.RestoredTable(Revision(1, 7), replaced=True)
    changes = {"members_stable_s": seconds, "restored": restored}
    view = a_view("a", context.members, **changes)
    context.proposal = proposals.propose(None, view)


@then("a proposes no table")
def step_no_table(context):
    assert context.proposal is None, context.proposal


@then("a proposes a table whose owners wait until former leases have expired")
def step_waiting_table(context):
    table = context.proposal.table
    restored = RestoredRanges("a")
    restored.update(table, outdated=False, lease_valid=False, now=0.0)
    owned = tables.owned_by(table, "a")
    wait_s = ownership_lease.takeover_wait()
    assert owned and not restored.usable(owned, wait_s - 0.1)
    assert restored.usable(owned, wait_s + 0.1) == list(owned)


@then("its tokens are above all that the store had at revision {number:d}")
def step_tokens_above(context, number):
    highest = tables.max_token(Revision(1, number))
    assert all(keys.token > highest for keys in context.proposal.table.ranges)


@given("each hands keys over to the other while the store rejects writes")
def step_each_hands_over(context):
    async def go():
        deployment = context.deployment
        nodes, store = deployment.nodes, deployment.store
        ownerships = {name: node._ownership for name, node in nodes.items()}
        await deployment.wait(lambda: not any(o._writing for o in ownerships.values()))
        store.take_copy()
        store.rejects_writes = True
        for name, other in (("vm-a", "vm-b"), ("vm-b", "vm-a")):
            new_owner = nodes[name]._records.members[other]
            keys = ownerships[name].owned[0]
            ownerships[name]._start_hand_over(((keys, new_owner),))
        await deployment.wait(
            lambda: not any(map(deployment.holders, deployment.sample()))
        )

    run(context, go())


@when("the table is {lost}, and the store accepts writes again")
def step_table_lost(context, lost):
    store = context.deployment.store
    if lost == "restored":
        store.restore()
    else:
        store.put(RANGES, "box-office", {"service": "box-office", "odd": True})
    store.rejects_writes = False
