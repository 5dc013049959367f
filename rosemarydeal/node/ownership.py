"""Owns the keys of the upstream beside this process.

Confirms the tenure, keeps the upstream's grants up to date, hands keys over,
and proposes changes of the service's table when owners are gone. The store's
conditional writes decide between processes that propose at the same time.
"""

from __future__ import annotations

import asyncio
import random
import secrets
from collections.abc import Callable, Coroutine
from dataclasses import dataclass

import msgspec
import structlog

from rosemarydeal.core.clock import now
from rosemarydeal.core.fleet import KeyRange, Member, NodeIdentity, RangeTable, Stored
from rosemarydeal.platform.errors import StoreConflict, StoreError
from rosemarydeal.platform.upstream import (
    GrantRefused,
    UpstreamCallFailed,
    UpstreamClient,
)
from rosemarydeal.policy.dispatch.queue import Admission
from rosemarydeal.policy.keyranges import balance, proposals, tenure
from rosemarydeal.policy.keyranges import table as tables
from rosemarydeal.policy.keyranges.balance import Burden

from .guard import Guard
from .links import Links
from .messages import ObjectNotice, ObjectState
from .records import RANGES, Records, table_name
from .upstream import UpstreamWatch

__all__ = ["Ownership"]

STEP_S = 0.1
GRANT_TIMEOUT_S = 0.4
# A third of a grant's hold: two renewals may get lost.
RENEW_AFTER_S = 1.6
GRANT_RETRY_S = 0.15
RELEASE_TIMEOUT_S = 1.5
BALANCE_PERIOD_S = 0.4
# Demand is measured over a second, so that a move shows after one.
AFTER_MOVE_S = 1.0
# A request that starts must not outlast the grant by the check's own delay.
HOLD_MARGIN_S = 0.1
WRITE_RETRY_S = 0.05
WRITE_RETRY_MOST_S = 0.5

_log = structlog.get_logger()


@dataclass(slots=True)
class _Grant:
    """Is what the upstream was told of a range.

    Attributes:
        keys: The range.
        valid_until: Until when it surely holds the keys.
        may_hold_until: Until when it may hold them.
        renew_at: When it is to be told again.
        busy: Whether a call is on its way.
        unanswered_until: Until when a call without an answer may take effect.
    """

    keys: KeyRange
    valid_until: float = 0.0
    may_hold_until: float = 0.0
    renew_at: float = 0.0
    busy: bool = False
    unanswered_until: float = 0.0


class Ownership:
    """Drives the ownership of the keys of one keyed service."""

    def __init__(
        self,
        identity: NodeIdentity,
        records: Records,
        links: Links,
        client: UpstreamClient,
        watch: UpstreamWatch,
        keyed: Callable[[], bool],
    ) -> None:
        self._identity = identity
        self._records = records
        self._links = links
        self._client = client
        self._watch = watch
        self._keyed = keyed
        self._guard: Guard | None = None
        self._tenure = tenure.Tenure()
        self._confirm_at = 0.0
        self._confirming = False
        self._grants: dict[tuple[int, int, int], _Grant] = {}
        self._calls: dict[asyncio.Task[None], KeyRange] = {}
        self._moving: list[KeyRange] = []
        self._writing = False
        self._background: set[asyncio.Task[None]] = set()
        self._suspicions: dict[tuple[str, int], float] = {}
        self._balance_at = 0.0
        self._stopping = False

    def attach(self, guard: Guard) -> None:
        """Names the guard whose queue waits for keys."""
        self._guard = guard

    @property
    def table(self) -> RangeTable | None:
        """Returns the table of the own service."""
        return self._records.table(self._identity.service)

    @property
    def owned(self) -> tuple[KeyRange, ...]:
        """Returns the ranges that the table gives to this node."""
        found = self.table
        return tables.owned_by(found, self._identity.node) if found else ()

    def admits(self, key: int) -> Admission:
        """Tells whether requests for a key may run here now."""
        found = self.table
        if found is None:
            return Admission.WAIT
        keys = tables.lookup(found, key)
        if keys.node != self._identity.node:
            return Admission.ELSEWHERE
        moment = now()
        if moment > tenure.tenure_until(self._tenure):
            return Admission.WAIT
        if any(key in moving for moving in self._moving):
            return Admission.WAIT
        for grant in self._grants.values():
            if key in grant.keys and grant.keys.token == keys.token:
                valid = moment < grant.valid_until - HOLD_MARGIN_S
                return Admission.RUN if valid else Admission.WAIT
        return Admission.WAIT

    async def run(self) -> None:
        """Takes a step again and again until cancelled."""
        while True:
            await asyncio.sleep(STEP_S)
            if self._keyed() and self._watch.state is not None:
                self._step()

    def stop(self) -> bool:
        """Gives all keys to others if they have room, since the process ends.

        Returns:
            Whether the keys are given away; if not, they wait for its return.
        """
        others = []
        for member in proposals.heirs(self._view(now())):
            state = self._links.state(member.node)
            if state is not None:
                others.append(Burden(member.node, state.demand, state.pace))
        own = Burden(self._identity.node, self._guard.demand, self._guard.pace)
        self._stopping = balance.have_room(own, others)
        _log.info(
            "keys_at_end",
            given_away=self._stopping,
            demand=round(own.demand, 2),
            others=[round(other.demand, 2) for other in others],
        )
        return self._stopping

    async def close(self) -> None:
        """Ends all calls and writes that are on their way."""
        for task in list(self._background):
            task.cancel()
        await asyncio.gather(*self._background, return_exceptions=True)

    def follow_table(self) -> None:
        """Follows a change of the table without waiting for the next step."""
        if self._keyed() and self._watch.state is not None:
            self._step()
            if self._guard is not None:
                self._guard.advance()

    def upstream_changed(self) -> None:
        """Forgets what a former life of the upstream was granted."""
        state = self._watch.state
        if state is None or not state.alive:
            self._grants.clear()
        self.follow_table()

    def _step(self) -> None:
        """Does what is due."""
        moment = now()
        if moment >= self._confirm_at and not self._confirming and self.owned:
            self._confirming = True
            self._spawn(self._confirm())
        self._renew_grants(moment)
        self._note_suspicions(moment)
        if not self._writing:
            self._propose(moment)

    async def _confirm(self) -> None:
        """Reads the table from the store to extend the tenure."""
        asked_at = now()
        name = table_name(self._identity.service)
        try:
            stored = await self._records.read(RANGES, name)
            self._take_confirmation(stored, asked_at)
        except StoreError as error:
            left_s = tenure.tenure_until(self._tenure) - now()
            _log.warning("tenure_not_confirmed", detail=error.detail, left_s=left_s)
        finally:
            self._confirming = False
            nodes = len(self._records.members)
            self._confirm_at = asked_at + tenure.confirm_period(nodes)

    def _take_confirmation(self, stored: Stored | None, asked_at: float) -> None:
        """Extends the tenure by a read of the table."""
        found = self.table
        known = self._records.stored(RANGES, table_name(self._identity.service))
        if stored is None or found is None or known is None:
            return
        if known.revision < stored.revision:
            return
        self._tenure = tenure.confirm(
            self._tenure, found, self._identity.node, asked_at
        )
        self._renew_grants(now())

    def _pieces(self) -> list[KeyRange]:
        """Returns the own ranges without the parts that are being moved."""
        pieces = list(self.owned)
        for moving in self._moving:
            pieces = [part for keys in pieces for part in tables.without(keys, moving)]
        return pieces

    def _sync_grants(self) -> list[_Grant]:
        """Returns the grants of the present pieces; others are forgotten.

        A piece of a range that was granted as a whole is granted already.
        """
        old = self._grants
        self._grants = {}
        for keys in self._pieces():
            grant = old.get(_id(keys))
            if grant is None:
                grant = _Grant(keys)
                for known in old.values():
                    if tables.covers(known.keys, keys):
                        grant.valid_until = known.valid_until
                        grant.may_hold_until = known.may_hold_until
                        grant.unanswered_until = known.unanswered_until
            self._grants[_id(keys)] = grant
        return list(self._grants.values())

    def _renew_grants(self, moment: float) -> None:
        """Tells the upstream of ranges that are due."""
        state = self._watch.state
        grants = self._sync_grants()
        if state is None or not state.alive:
            return
        hold_s = tenure.hold_for(self._tenure, moment, self._identity.bounds.max_hold_s)
        if hold_s < 2 * HOLD_MARGIN_S:
            return
        for grant in grants:
            if grant.keys.life != state.life or grant.busy:
                continue
            if moment >= grant.renew_at:
                grant.busy = True
                call = self._spawn(self._grant(grant.keys, grant, hold_s))
                self._calls[call] = grant.keys
                call.add_done_callback(self._calls.pop)

    async def _grant(self, keys: KeyRange, grant: _Grant, hold_s: float) -> None:
        """Grants a range to the upstream and notes for how long."""
        sent_at = now()
        first = grant.valid_until == 0.0
        try:
            await self._client.grant(keys, hold_s, GRANT_TIMEOUT_S)
            grant.valid_until = max(grant.valid_until, sent_at + hold_s)
            grant.renew_at = sent_at + RENEW_AFTER_S
            if first:
                _log.info(
                    "keys_granted",
                    first=keys.first,
                    last=keys.last,
                    token=keys.token,
                    handover=bool(keys.handover),
                    hold_s=hold_s,
                )
        except GrantRefused as error:
            _log.warning("grant_refused", detail=error.detail)
            grant.renew_at = now() + 1.0
            self._spawn(self._renew_token())
        except UpstreamCallFailed as error:
            _log.info("grant_unanswered", detail=error.detail)
            grant.renew_at = now() + GRANT_RETRY_S
            grant.unanswered_until = max(grant.unanswered_until, sent_at + hold_s)
        finally:
            grant.busy = False
            grant.may_hold_until = max(
                grant.may_hold_until, (now() + hold_s * (1 + tenure.CLOCK_DRIFT))
            )
        if self._guard is not None:
            self._guard.advance()

    async def _renew_token(self) -> None:
        """Gets a higher token for ranges whose token the upstream refused."""
        found = self.table
        state = self._watch.state
        if found is None or state is None or self._writing:
            return
        member = self._records.members.get(self._identity.node)
        if member is None:
            return
        changed = proposals.renew_tokens(found, member, _writer())
        await self._write(changed, "token-refused")

    def _note_suspicions(self, moment: float) -> None:
        """Notes since when this process knows of each suspicion."""
        found = self.table
        current = {(s.node, s.number) for s in found.suspicions} if found else set()
        for known in current:
            self._suspicions.setdefault(known, moment)
        for known in [k for k in self._suspicions if k not in current]:
            del self._suspicions[known]

    def _propose(self, moment: float) -> None:
        """Starts the change of the table that is due, if one is."""
        view = self._view(moment)
        proposal = proposals.propose(self.table, view)
        match proposal:
            case proposals.Write(changed, reason):
                self._writing = True
                self._spawn(self._write_alone(changed, reason))
            case proposals.HandOver(parts):
                self._writing = True
                self._spawn(self._hand_over(parts))
            case None:
                self._balance(moment, view)

    def _view(self, moment: float) -> proposals.View:
        """Collects what a proposal is decided by."""
        identity = self._identity
        service = identity.service
        out = self._records.zones_out
        members = tuple(
            sorted(
                (m for m in self._records.members.values() if m.service == service),
                key=lambda m: m.node,
            )
        )
        state = self._watch.state
        loop_now = asyncio.get_running_loop().time()
        silent = {}
        for member in members:
            since = self._links.down_since(member.node)
            if since is not None:
                silent[member.node] = loop_now - since
            elif self._links.is_leaving(member.node):
                silent[member.node] = 0.0
        waited = frozenset(
            node
            for (node, _), since in self._suspicions.items()
            if moment - since >= tenure.takeover_wait()
        )
        return proposals.View(
            node=identity.node,
            service=service,
            life=state.life if state is not None else "",
            accepting=state is not None and state.accepting and not self._stopping,
            alive=state is not None and state.alive,
            members=members,
            zones_out=out,
            silent_s=silent,
            links_up=len(self._links.up),
            nodes=len(self._records.members),
            waited_out=waited,
            settled_s=moment - self._records.members_changed_at,
            complete=self._records.complete,
            writer=_writer(),
        )

    def _balance(self, moment: float, view: proposals.View) -> None:
        """Gives keys away if that pays."""
        if moment < self._balance_at or not self._records.reachable:
            return
        self._balance_at = moment + BALANCE_PERIOD_S * random.uniform(0.8, 1.2)
        others = []
        for member in proposals.heirs(view):
            state = self._links.state(member.node)
            if state is not None and state.slots:
                others.append(Burden(member.node, state.demand, state.pace))
        transfer = balance.plan_transfer(
            Burden(self._identity.node, self._guard.demand, self._guard.pace),
            others,
            self.owned,
            self._guard.recent_keys,
        )
        if transfer is None:
            return
        heir = self._records.members.get(transfer.heir)
        if heir is None:
            return
        self._writing = True
        self._balance_at = moment + AFTER_MOVE_S
        self._spawn(self._hand_over(((transfer.keys, heir),)))

    async def _hand_over(self, parts: tuple[tuple[KeyRange, Member], ...]) -> None:
        """Takes ranges back from the upstream and gives them to heirs."""
        self._moving = [keys for keys, _ in parts]
        try:
            handovers = await asyncio.gather(
                *(self._release(keys) for keys, _ in parts)
            )
            await self._write_heirs(parts, handovers)
        finally:
            self._moving = []
            self._writing = False
            self._forget_released([keys for keys, _ in parts])
            self._renew_grants(now())
            if self._guard is not None:
                self._guard.advance()

    async def _write_heirs(
        self, parts: tuple[tuple[KeyRange, Member], ...], handovers: list[str]
    ) -> None:
        """Writes the heirs of released ranges into the table.

        A write without an answer may take effect later, so that the keys can't
        be used here again before a later write or read has settled it.
        """
        pause = WRITE_RETRY_S
        while True:
            found = self.table
            moved = [
                (keys, heir, handover)
                for (keys, heir), handover in zip(parts, handovers, strict=True)
                if proposals.still_owned(found, keys, self._identity.node)
            ]
            if not moved:
                return
            changed = tables.move_all(found, moved, _writer())
            if await self._write(changed, "hand-over"):
                return
            await asyncio.sleep(pause * random.uniform(0.7, 1.3))
            pause = min(WRITE_RETRY_MOST_S, 2 * pause)

    def _forget_released(self, parts: list[KeyRange]) -> None:
        """Has ranges that were released granted anew if they are still owned."""
        for grant in self._grants.values():
            if any(tables.overlaps(grant.keys, keys) for keys in parts):
                grant.valid_until = 0.0
                grant.renew_at = 0.0

    async def _release(self, keys: KeyRange) -> str:
        """Takes a range back; waits its hold out if the upstream is silent.

        Returns:
            What the next owner needs to go on without a warm-up, or "".
        """
        covering = [g for g in self._grants.values() if tables.overlaps(g.keys, keys)]
        until = max((g.may_hold_until for g in covering), default=0.0)
        late = max((g.unanswered_until for g in covering), default=0.0)
        # A renewal that is on its way could arrive after the release.
        calling = [c for c, of in self._calls.items() if tables.overlaps(of, keys)]
        if calling:
            await asyncio.wait(calling)
        if not covering:
            return ""
        handover = ""
        while self._holds(keys):
            try:
                handover = await self._client.release(keys, RELEASE_TIMEOUT_S)
                break
            except UpstreamCallFailed as error:
                _log.info("release_unanswered", detail=error.detail)
                if now() > until:
                    return ""
                await asyncio.sleep(GRANT_RETRY_S)
        # A grant without an answer could take effect after the release.
        if self._holds(keys):
            await asyncio.sleep(max(0.0, late - now()))
        _log.info("keys_released", first=keys.first, last=keys.last, token=keys.token)
        return handover

    def _holds(self, keys: KeyRange) -> bool:
        """Tells whether the upstream may hold keys that it was granted."""
        state = self._watch.state
        return state is not None and state.alive and state.life == keys.life

    async def _write_alone(self, changed: RangeTable, reason: str) -> None:
        """Writes a table and lets the next change begin."""
        try:
            if not await self._write(changed, reason):
                await asyncio.sleep(0.3 * random.uniform(0.5, 1.5))
        finally:
            self._writing = False

    async def _write(self, changed: RangeTable, reason: str) -> bool:
        """Writes a table over the revision that is known; tells the peers."""
        name = table_name(changed.service)
        try:
            stored = await self._records.write(
                RANGES, name, msgspec.json.encode(changed)
            )
        except StoreConflict:
            found = self.table
            done = found is not None and found.writer == changed.writer
            _log.info("table_conflict", reason=reason, done=done)
            return done
        except StoreError as error:
            _log.warning("table_not_written", reason=reason, detail=error.detail)
            return False
        _log.info(
            "table_written",
            reason=reason,
            revision=stored.revision,
            top_token=changed.top_token,
            ranges=len(changed.ranges),
        )
        state = ObjectState(name, stored.revision, stored.content)
        self._links.broadcast(ObjectNotice(RANGES, state))
        return True

    def _spawn(self, work: Coroutine[None, None, None]) -> asyncio.Task[None]:
        """Runs work in the background until it ends."""
        task = asyncio.create_task(work)
        self._background.add(task)
        task.add_done_callback(self._background.discard)
        return task


def _id(keys: KeyRange) -> tuple[int, int, int]:
    """Returns what names a grant."""
    return keys.first, keys.last, keys.token


def _writer() -> str:
    """Returns a new name for a write."""
    return secrets.token_hex(8)
