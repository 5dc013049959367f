"""Manages the key ranges of the upstream beside this process.

Renews the ownership lease, keeps the upstream's grants up to date, hands keys
over, and proposes changes of the service's range table when owners are gone.
The store's conditional writes decide between concurrent proposals.
"""

from __future__ import annotations

import asyncio
import random
import secrets
from collections.abc import Callable, Sequence
from dataclasses import replace

import structlog

from rosemarydeal.core.clock import now
from rosemarydeal.core.fleet import (
    NO_REVISION,
    Announcement,
    GrantCarrier,
    GrantStatement,
    KeyRange,
    NodeIdentity,
    RangeTable,
    Revision,
    StoredObject,
)
from rosemarydeal.platform.errors import HistoryGone, StoreError
from rosemarydeal.platform.store import Listing
from rosemarydeal.platform.upstream import (
    UpstreamClient,
)
from rosemarydeal.policy.dispatch.queue import Admission
from rosemarydeal.policy.keyranges import (
    balance,
    ownership_lease,
    proposals,
)
from rosemarydeal.policy.keyranges import table as tables
from rosemarydeal.policy.keyranges.end_proofs import EndBasis, EndProof
from rosemarydeal.policy.keyranges.grant_terms import GrantTerms
from rosemarydeal.policy.keyranges.restored_ranges import RestoredRanges
from rosemarydeal.policy.keyranges.suspicion_backoff import SuspicionBackoff
from rosemarydeal.policy.keyranges.table_changes import (
    TableBase,
    TableChange,
    WriteResult,
)
from rosemarydeal.policy.keyranges.unsettled_transfers import UnsettledTransfers

from .balancer import Balancer
from .grants import CallGrantCarrier
from .guard import Guard
from .hand_over import HandOvers, OwnTable, Transfer
from .heartbeat_grants import HeartbeatGrantCarrier
from .links import Links
from .records import RANGES, Records
from .start_barrier import StartBarrier
from .store_access import StoreAccess
from .table_writer import TableWriter
from .tasks import TaskFailures, Tasks
from .upstream import UpstreamWatch

__all__ = ["Ownership"]

STEP_S = 0.1
# Period while the service is not keyed or the upstream is not known.
IDLE_STEP_S = 0.5
# An upstream ignores answers that come a second after its heartbeat.
STATEMENT_WAIT_S = 0.4
# Larger fleets build proposals less often, since each one costs more there.
# Changes of the own upstream are handled without delay.
STEP_FLEET = 20
# Time between two reads of the history of a table.
HISTORY_RETRY_S = 0.3

_log = structlog.get_logger()


class Ownership:
    """Ownership of the key ranges that one upstream of a keyed service has."""

    def __init__(
        self,
        identity: NodeIdentity,
        records: Records,
        access: StoreAccess,
        links: Links,
        client: UpstreamClient,
        watch: UpstreamWatch,
        is_keyed: Callable[[], bool],
        lease_reader: Callable[[], str | None],
        first_listing: Callable[[], Revision | None],
        failures: TaskFailures | None = None,
    ) -> None:
        """Creates an ownership without a table.

        Args:
            identity: This process.
            records: State of the store's objects.
            access: Access to the store.
            links: Links to the peers.
            client: Client of the upstream.
            watch: State of the upstream.
            is_keyed: Returns whether the own service is keyed.
            lease_reader: Returns the node that reads tables for this process, None
                if it reads them itself.
            first_listing: Returns the store's revision at which this process first
                listed the tables from the store, None if it has not.
            failures: Failures of the process's tasks.
        """
        self._identity = identity
        self._records = records
        self._access = access
        self._links = links
        self._table_writer = TableWriter(records, access, links)
        self._balancer = Balancer(identity.node, links)
        self._watch = watch
        self._is_keyed = is_keyed
        self._lease_reader = lease_reader
        self._first_listing = first_listing
        self._former_checked = False
        self._guard: Guard | None = None
        # Without effect before the barrier is passed.
        self._renewed_lease = ownership_lease.OwnershipLease()
        self._renew_at = 0.0
        self._renewing = False
        self._reading_history = False
        self._history_at = 0.0
        self._grants = self._grant_carrier(client)
        self._restored = RestoredRanges(identity.node)
        self._unusable: tuple[KeyRange, ...] = ()
        self._unsettled = UnsettledTransfers(identity.node)
        self._hand_overs = self._create_hand_overs()
        self._writing = False
        self._tasks = Tasks(failures)
        self._barrier = StartBarrier(
            identity, records, first_listing, self._write_unless_writing, self._tasks
        )
        self._suspicions: dict[tuple[str, int], float] = {}
        # Owners whose members are missing from the store.
        self._removed_since: dict[str, float] = {}
        self._suspicion_backoff = SuspicionBackoff(identity.node)
        self._propose_at = 0.0
        self._linking_since: float | None = None
        self._stopping = False
        self._retired = False
        # Set when the table or the lease changes.
        self._changed = asyncio.Event()

    def set_guard(self, guard: Guard) -> None:
        """Sets the guard whose queue is advanced after grants."""
        self._guard = guard

    @property
    def table(self) -> RangeTable | None:
        """Returns the range table of the own service."""
        return self._records.table(self._identity.service)

    @property
    def suspicions_refuted(self) -> int:
        """Returns the number of suspicions of this process that were refuted."""
        return self._suspicion_backoff.refuted_count

    @property
    def grants_withheld(self) -> int:
        """Returns the number of grants that were decided and not sent."""
        return self._grants.withheld

    @property
    def owned(self) -> tuple[KeyRange, ...]:
        """Returns the ranges that the table assigns to this node."""
        table = self.table
        return tables.owned_by(table, self._identity.node) if table else ()

    @property
    def may_hold_silently(self) -> bool:
        """Returns whether an upstream that fell silent may still hold keys."""
        state = self._watch.state
        return state is not None and state.silent and self._grants.may_hold

    @property
    def _lease(self) -> ownership_lease.OwnershipLease:
        """Returns the lease, which a new process has once the barrier is passed."""
        if not self._barrier.passed:
            return ownership_lease.OwnershipLease()
        return self._renewed_lease

    def admits(self, key: int) -> Admission:
        """Returns whether requests for a key may run here now."""
        table = self.table
        if table is None:
            return Admission.WAIT
        keys = tables.lookup(table, key)
        if keys.node != self._identity.node:
            return Admission.ELSEWHERE
        moment = now()
        if moment > ownership_lease.lease_expiry(self._lease):
            return Admission.WAIT
        by_call = self._identity.grant_carrier is GrantCarrier.CALL
        if by_call and any(key in moving for moving in self._withheld):
            # A call releases the keys at once; a heartbeat's answer does so later.
            return Admission.WAIT
        granted = self._grants.allows(key, keys.token)
        return Admission.RUN if granted else Admission.WAIT

    async def answer_heartbeat(self, heartbeat: Announcement) -> GrantStatement | None:
        """Returns the keys that the upstream is to hold, if its heartbeat asks.

        The answer waits for a moment while the keys of a new incarnation are being
        assigned, as the upstream would get them a heartbeat later otherwise.
        """
        if not self._is_keyed():
            return None
        if heartbeat.holds is not None and not heartbeat.draining:
            await self._wait_for_statement()
            state = self._watch.state
            if state is None or state.announcement is not heartbeat:
                return None
        if self.table is not None:
            self._update_grants()
        return self._grants.answer(heartbeat)

    async def run(self) -> None:
        """Runs a step at regular intervals, until cancelled."""
        while True:
            self._check_former()
            self._check_history()
            if self._is_keyed() and self._watch.state is not None:
                self._step()
                await asyncio.sleep(STEP_S)
            else:
                await asyncio.sleep(IDLE_STEP_S)

    def retire(self) -> None:
        """Grants no keys any more, as this process is about to retire its member.

        The others take the keys of a removed member at once, also those that were
        assigned to it by processes that had not learned of its removal.
        """
        self._retired = True

    def stop(self) -> bool:
        """Prepares a shutdown; hands all keys over if the others can absorb them.

        Returns:
            Whether the keys are handed over; if not, they stay assigned to this
            node until the process is back.
        """
        others = self._balancer.reported_loads(
            proposals.eligible_owners(self.table, self._view(now()))
        )
        own = self._balancer.own_load(self._guard)
        self._stopping = balance.can_absorb(own, others)
        _log.info(
            "keys_at_shutdown",
            handing_over=self._stopping,
            demand=round(own.demand, 2),
            others=[round(other.demand, 2) for other in others],
        )
        return self._stopping

    async def close(self) -> None:
        """Cancels all calls and writes in flight."""
        await self._tasks.close()
        await self._grants.close()

    def on_table_changed(self) -> None:
        """Applies a change of the table without waiting for the next step."""
        self._changed.set()
        self._check_former()
        self._check_history()
        moment = now()
        # Before the barrier is passed, this process has used none of its keys.
        lease_valid = moment < ownership_lease.lease_expiry(self._lease)
        self._barrier.update()
        self._restored.update(
            self.table, self._is_outdated(), lease_valid, moment, self._unsettled.keys
        )
        self._note_unusable(moment)
        self._unsettled.settle(self._table_base())
        self._note_refutations(moment)
        if self._is_keyed() and self._watch.state is not None:
            self._step()
            self._advance_guard()

    def on_upstream_changed(self) -> None:
        """Removes the grants if the upstream is gone, and runs a step at once."""
        state = self._watch.state
        if state is not None and not state.alive:
            self._grants.clear(state.silent)
        self._propose_at = 0.0
        self.on_table_changed()

    async def _wait_for_statement(self) -> None:
        """Waits until the own keys can be stated, but not for long."""
        try:
            async with asyncio.timeout(STATEMENT_WAIT_S):
                while not self._can_state_keys():
                    self._changed.clear()
                    await self._changed.wait()
        except TimeoutError:
            return

    def _can_state_keys(self) -> bool:
        """Returns whether all own ranges can be stated under a valid lease."""
        state = self._watch.state
        if self.table is None or state is None:
            return False
        owned = self.owned
        if not owned:
            return True
        return now() < ownership_lease.lease_expiry(self._lease) and all(
            keys.incarnation == state.incarnation for keys in owned
        )

    def _grant_carrier(
        self, client: UpstreamClient
    ) -> CallGrantCarrier | HeartbeatGrantCarrier:
        """Creates the carrier that the deployment uses."""

        def on_refused() -> None:
            self._tasks.spawn("token-renewal", self._renew_token())

        # The predecessor may have had other bounds, which shorten grants only.
        max_hold_s = ownership_lease.MAX_GRANT_S
        match self._identity.grant_carrier:
            case GrantCarrier.CALL:
                return CallGrantCarrier(
                    client, self._watch, max_hold_s, self._advance_guard, on_refused
                )
            case GrantCarrier.HEARTBEAT:
                return HeartbeatGrantCarrier(
                    self._watch, max_hold_s, self._advance_guard, on_refused
                )

    def _create_hand_overs(self) -> HandOvers:
        """Creates the hand-overs of ranges of this node."""
        table = OwnTable(
            self._table_base,
            lambda: self._view(now()),
            self._unsettled.begin,
            self._write,
        )
        return HandOvers(self._identity.node, self._grants, table)

    def _step(self) -> None:
        """Renews the lease and the grants, and starts a proposal if one is due."""
        moment = now()
        if self._linking_since is None and self._records.complete:
            self._linking_since = moment
        proved = self._records.is_table_proved(self._identity.service)
        if moment >= self._renew_at and not self._renewing and self.owned and proved:
            self._renewing = True
            self._tasks.spawn("lease-renewal", self._renew_lease())
        self._update_grants()
        if self._writing or not proved or moment < self._propose_at:
            return
        nodes = len(self._records.members)
        self._propose_at = moment + STEP_S * max(0.5, nodes / STEP_FLEET)
        self._track_suspicions(moment)
        self._track_removals(moment)
        self._propose(moment)

    def _check_former(self) -> None:
        """Notes that no process of this VM has granted keys, if that is certain.

        It would have had a table of this store, which was used for the first time
        when this process started.
        """
        if self._former_checked or self._first_listing() is None:
            return
        self._former_checked = True
        if self._identity.first_start and self.table is None:
            self._grants.limit_former_tokens(0)

    def _check_history(self) -> None:
        """Starts to read the history of the table if changes before it are missing."""
        if self._reading_history or now() < self._history_at:
            return
        since = self._records.table_history_since(self._identity.service)
        if since is not None:
            self._reading_history = True
            self._tasks.spawn("table-history", self._read_history(since))

    async def _read_history(self, since: Revision) -> None:
        """Reads the changes of the table since a revision from the store."""
        service = self._identity.service
        _log.info("table_history_read", since=since, revision=self._base_revision)
        try:
            listing = await self._access.read_history(RANGES, since)
            self._records.apply_table_history(service, listing)
        except HistoryGone as error:
            _log.warning("table_history_gone", since=since, detail=error.detail)
            await self._compare_with_peers(since)
        except StoreError as error:
            _log.info("table_history_not_read", since=since, detail=error.detail)
        finally:
            self._reading_history = False
            if not self._records.is_table_proved(service):
                self._history_at = now() + HISTORY_RETRY_S

    async def _compare_with_peers(self, since: Revision) -> None:
        """Takes the table for proved unless a peer knows that it was put back."""
        service = self._identity.service
        name = self._records.table_name(service)
        revision = self._records.stored_revision(RANGES, name)
        stated = await self._access.read_known_tables(name, since)
        changed = revision != self._records.stored_revision(RANGES, name)
        if changed or any(known.revision > revision for known in stated):
            # A later change has arrived, or does soon.
            return
        present = tuple(k for k in stated if k.revision.era == revision.era)
        _log.info("table_compared_with_peers", revision=revision, count=len(present))
        self._records.apply_table_history(service, Listing(present, revision))

    async def _renew_lease(self) -> None:
        """Renews the lease by reading the table from the store."""
        requested_at = now()
        name = self._records.table_name(self._identity.service)
        try:
            stored = await self._read_for_renewal(name)
            self._apply_renewal(stored, requested_at)
        except StoreError as error:
            left_s = ownership_lease.lease_expiry(self._lease) - now()
            _log.warning("lease_not_renewed", detail=error.detail, left_s=left_s)
        finally:
            self._renewing = False
            nodes = len(self._records.members)
            self._renew_at = requested_at + ownership_lease.renewal_period(nodes)

    async def _read_for_renewal(self, name: str) -> StoredObject | None:
        """Reads the table, together with other owners if the lease is not urgent."""
        if now() >= ownership_lease.lease_expiry(self._lease):
            return await self._access.read(RANGES, name)
        return await self._access.read_shared(RANGES, name, self._lease_reader())

    def _apply_renewal(self, stored: StoredObject | None, requested_at: float) -> None:
        """Renews the lease with a table read from the store."""
        table = self.table
        name = self._records.table_name(self._identity.service)
        cached = self._records.stored(RANGES, name)
        if stored is None or table is None or cached is None or stored.name != name:
            return
        self._barrier.note_read(stored.revision)
        if cached.revision < stored.revision or self._is_outdated():
            return
        if not self._records.is_table_proved(self._identity.service):
            return
        self._renewed_lease = ownership_lease.renew(
            self._renewed_lease, table, self._identity.node, requested_at
        )
        self._changed.set()
        self._update_grants()

    def _update_grants(self) -> None:
        """Grants the own ranges to the upstream, except those that move."""
        owned = () if self._retired else self.owned
        ranges = self._restored.usable(owned, now())
        for moving in self._withheld:
            ranges = [rest for keys in ranges for rest in tables.subtract(keys, moving)]
        self._grants.update(ranges, self._grant_terms())

    def _grant_terms(self) -> GrantTerms:
        """Returns the lease and the table that grants decided now rest on."""
        name = self._records.table_name(self._identity.service)
        return GrantTerms(
            self._lease,
            self._identity.bounds.max_hold_s,
            self._records.stored_revision(RANGES, name),
            self._records.origin(RANGES, name),
            now(),
        )

    @property
    def _withheld(self) -> tuple[KeyRange, ...]:
        """Returns the own ranges that are not granted now."""
        return (*self._hand_overs.released, *self._unsettled.keys)

    def _advance_guard(self) -> None:
        """Starts queued requests that waited for a grant."""
        if self._guard is not None:
            self._guard.advance()

    async def _renew_token(self) -> None:
        """Writes higher tokens for the own ranges after the upstream refused one."""
        base = self._table_base()
        state = self._watch.state
        if base.table is None or state is None:
            return
        if self._writing or self._has_unusable():
            return
        member = self._records.members.get(self._identity.node)
        if member is None:
            return
        changed = proposals.renew_tokens(base.table, member, _writer())
        await self._write(TableChange(base, changed, "token-refused"))

    def _note_unusable(self, moment: float) -> None:
        """Logs which own ranges may not be used yet after a restore."""
        owned = self.owned
        usable = set(self._restored.usable(owned, moment))
        unusable = tuple(keys for keys in owned if keys not in usable)
        if unusable != self._unusable:
            self._unusable = unusable
            _log.info(
                "keys_wait_after_restore",
                ranges=[(keys.first, keys.last, keys.token) for keys in unusable],
                given_away=[(k.first, k.last) for k in self._unsettled.keys],
            )

    def _note_refutations(self, moment: float) -> None:
        """Delays further suspicions against owners that refuted an earlier one."""
        if self.table is None:
            return
        for node in self._suspicion_backoff.update(self.table, moment):
            _log.info("suspicion_refuted", member=node, count=self.suspicions_refuted)

    def _track_suspicions(self, moment: float) -> None:
        """Records when this process first saw each suspicion of the table."""
        table = self.table
        current = {(s.node, s.number) for s in table.suspicions} if table else set()
        for suspicion in current:
            self._suspicions.setdefault(suspicion, moment)
        for suspicion in [s for s in self._suspicions if s not in current]:
            del self._suspicions[suspicion]

    def _propose(self, moment: float) -> None:
        """Starts the change of the table that is due, if any."""
        base = self._table_base()
        view = self._view(moment)
        proposal = proposals.propose(base.table, view)
        match proposal:
            case proposals.WriteTable(changed, reason):
                proofs = self._end_proofs(base.table, changed, reason, moment)
                self._start_write(TableChange(base, changed, reason, proofs))
            case proposals.HandOver(transfers):
                self._start_hand_over(transfers)
            case None if self._unsettled.pending and base.current:
                # The lost write may still be carried out until another one is.
                unchanged = replace(base.table, writer=_writer())
                self._start_write(TableChange(base, unchanged, "transfer-unanswered"))
            case None:
                self._balance(moment, view)

    def _end_proofs(
        self, base: RangeTable | None, changed: RangeTable, reason: str, moment: float
    ) -> tuple[EndProof, ...]:
        """Returns why the owners that a change takes keys from have ended."""
        if reason == proposals.UPSTREAM_GONE:
            return (self._end_of_own_upstream(moment),)
        if reason != proposals.OWNER_GONE:
            return ()
        remaining = {keys.node for keys in changed.ranges}
        former = sorted({keys.node for keys in base.ranges} - remaining)
        return tuple(self._end_of_owner(node, moment) for node in former)

    def _end_of_own_upstream(self, moment: float) -> EndProof:
        """Returns why the own upstream holds no keys any more."""
        state = self._watch.state
        basis = EndBasis.GRANTS_EXPIRED if state.silent else EndBasis.UPSTREAM_ENDED
        age_s = moment - state.gone_at
        return EndProof(self._identity.node, basis, age_s, state.incarnation)

    def _end_of_owner(self, node: str, moment: float) -> EndProof:
        """Returns why another owner does not use its keys any more."""
        if node in self._removed_since and self._has_ended(node):
            age_s = moment - self._removed_since[node]
            successor = self._records.successor(node)
            if successor is not None:
                return EndProof(node, EndBasis.ADDRESS_TAKEN, age_s, successor)
            return EndProof(node, EndBasis.RETIRED, age_s, node)
        suspicions = self.table.suspicions if self.table is not None else ()
        by = next((s.by for s in suspicions if s.node == node), "")
        first = min(
            (since for (name, _), since in self._suspicions.items() if name == node),
            default=moment,
        )
        return EndProof(node, EndBasis.LEASE_EXPIRED, moment - first, by)

    def _start_write(self, change: TableChange) -> None:
        """Starts to write a proposed table."""
        self._writing = True
        self._unsettled.begin(change)
        self._tasks.spawn("table-write", self._write_proposal(change))

    async def _write(self, change: TableChange) -> WriteResult:
        """Writes a changed table; one that takes own keys has been noted before."""
        result = await self._table_writer.write(change)
        self._unsettled.end(change, result)
        return result

    @property
    def _base_revision(self) -> Revision:
        """Returns the revision of what the store holds for the own table."""
        return self._table_base().revision

    def _table_base(self) -> TableBase:
        """Returns the own service's table with the revision that the store holds."""
        return self._records.table_base(self._identity.service)

    def _view(self, moment: float) -> proposals.OwnershipView:
        """Builds the input of a proposal."""
        identity = self._identity
        service = identity.service
        zones_out = self._records.zones_out
        members = tuple(
            sorted(
                (m for m in self._records.members.values() if m.service == service),
                key=lambda m: m.node,
            )
        )
        state = self._watch.state
        loop_now = asyncio.get_running_loop().time()
        unresponsive_s = {}
        for member in members:
            since = self._links.unreachable_since(member.node)
            if since is not None:
                unresponsive_s[member.node] = loop_now - since
            elif self._links.is_leaving(member.node) or not self._links.is_confirmed(
                member.node
            ):
                unresponsive_s[member.node] = 0.0
        for node, since in self._removed_since.items():
            unresponsive_s[node] = moment - since
        lease_expired = frozenset(
            node
            for (node, _), since in self._suspicions.items()
            if moment - since >= ownership_lease.takeover_wait()
        )
        linking_since = self._linking_since
        return proposals.OwnershipView(
            node=identity.node,
            service=service,
            incarnation=state.incarnation if state is not None else "",
            accepting=state is not None and state.accepting and not self._stopping,
            alive=state is not None and state.alive,
            may_hold=self.may_hold_silently,
            members=members,
            removed=frozenset(filter(self._has_ended, self._removed_since)),
            zones_out=zones_out,
            unresponsive_s=unresponsive_s,
            links_up=len(self._links.up),
            nodes=len(self._records.members),
            lease_expired=lease_expired,
            members_stable_s=moment - self._records.members_changed_at,
            store_ready=self._records.complete,
            writer=_writer(),
            restored=self._restored_state(moment),
            suspicions_delayed=self._suspicion_backoff.delayed(moment),
            linking_s=0.0 if linking_since is None else moment - linking_since,
        )

    def _restored_state(self, moment: float) -> proposals.RestoredTable:
        """Builds the part of the input that follows from a restore of the store."""
        outdated_s = self._restored.outdated_s(moment)
        stored_top_token = 0
        if outdated_s is not None:
            stored_top_token = self._records.stored_top_token(self._identity.service)
        return proposals.RestoredTable(
            position=self._records.table_position(self._identity.service),
            outdated_s=outdated_s,
            stored_top_token=stored_top_token,
            remembered=self._restored.remembered,
            settled=self._restored.is_settled(moment),
            unusable=self._has_unusable(),
            replaced=self._records.is_table_replaced(
                self._identity.service, self._identity.first_start
            ),
        )

    def _is_outdated(self) -> bool:
        """Returns whether the table was not written in the present era of the store."""
        return self._records.is_table_outdated(self._identity.service)

    def _has_unusable(self) -> bool:
        """Returns whether own ranges may not be used yet after a restore."""
        owned = self.owned
        return len(self._restored.usable(owned, now())) < len(owned)

    def _removed_owners(self) -> frozenset[str]:
        """Returns the owners whose members have been removed from the store."""
        table = self.table
        name = self._records.table_name(self._identity.service)
        stored = self._records.stored(RANGES, name)
        if table is None or stored is None:
            return frozenset()
        owners = {keys.node for keys in table.ranges}
        return frozenset(
            node
            for node in owners - self._records.members.keys()
            if self._records.is_member_removed(node, stored.revision)
        )

    def _track_removals(self, moment: float) -> None:
        """Records since when owners are missing from the members."""
        removed = self._removed_owners()
        self._removed_since = {
            node: self._removed_since.get(node, moment) for node in removed
        }

    def _has_ended(self, node: str) -> bool:
        """Returns whether an owner whose member is missing is certain to have ended.

        It has retired, or another process answers at its address. Anyone may write a
        member with a foreign address, so that the member alone proves nothing. A VM
        with a new name may still have the upstream to which the owner granted keys.
        """
        successor = self._records.successor(node)
        if successor is None:
            return self._records.has_retired(node)
        if not self._links.is_confirmed(successor):
            return False
        if self._has_other_upstream(successor, node):
            return True
        longest_s = ownership_lease.longest_hold(self._identity.bounds.max_hold_s)
        return now() - self._removed_since.get(node, now()) > longest_s

    def _has_other_upstream(self, successor: str, node: str) -> bool:
        """Returns whether the upstream of a successor is none that owns a node's keys.

        It is not known before its first announcement.
        """
        member = self._records.members.get(successor)
        table = self.table
        if member is None or table is None or not member.incarnation:
            return False
        if member.service != table.service:
            return True
        owned = tables.owned_by(table, node)
        return all(keys.incarnation != member.incarnation for keys in owned)

    def _balance(self, moment: float, view: proposals.OwnershipView) -> None:
        """Hands keys over if that balances the load."""
        if not self._access.reachable or view.restored.unusable:
            return
        if not self._barrier.passed:
            # Its write comes first.
            return
        eligible = proposals.eligible_owners(self.table, view)
        transfers = self._balancer.plan(self._guard, eligible, self.owned, moment)
        if transfers:
            self._start_hand_over(transfers)

    def _start_hand_over(self, transfers: Sequence[Transfer]) -> None:
        """Starts to hand ranges over.

        After an unexpected error, this process can't tell whether they are released,
        and grants them to nobody until a new process reads the table.
        """
        self._writing = True
        self._tasks.spawn("hand-over", self._hand_over(transfers), fatal=True)

    async def _hand_over(self, transfers: Sequence[Transfer]) -> None:
        """Hands ranges over, and grants those again that stay."""
        try:
            await self._hand_overs.run(transfers)
        finally:
            self._writing = False
        # Not reached when the process ends: the last write may still take effect, so
        # the released keys must not be granted again.
        self._grants.invalidate(self._hand_overs.end())
        self._update_grants()
        self._advance_guard()

    async def _write_proposal(self, change: TableChange) -> None:
        """Writes a proposed table; the next proposal may follow."""
        reserved = False
        try:
            if await self._write(change) is not WriteResult.WRITTEN:
                reserved = change.base.revision == NO_REVISION != self._base_revision
                if not reserved:
                    await asyncio.sleep(0.3 * random.uniform(0.5, 1.5))
        finally:
            self._writing = False
        if reserved:
            self._propose_at = 0.0
            self._step()

    async def _write_unless_writing(self, change: TableChange) -> None:
        """Writes a proposed table, unless another write is in progress."""
        if not self._writing:
            self._writing = True
            await self._write_proposal(change)


def _writer() -> str:
    """Returns a new identifier for a write."""
    return secrets.token_hex(8)
