"""Publishes the member object of this process and removes unreachable members.

Each process writes one object about itself whenever its content changes. Objects
in the store do not expire: a process removes its own when its upstream does not
come back, and the reachable process with the lowest node name removes members
that have been unreachable for long. Others may reach one of them: it stays while it
owns keys, which are taken from an owner only after its lease has expired.
"""

from __future__ import annotations

import asyncio
import random

import msgspec
import structlog

from rosemarydeal.core.fleet import Member, NodeIdentity
from rosemarydeal.platform.errors import StoreError
from rosemarydeal.platform.upstream import UpstreamCallFailed, UpstreamClient
from rosemarydeal.policy.keyranges import table as tables

from .guard import Guard
from .links import Links
from .messages import ObjectState, ObjectUpdate
from .records import MEMBERS, Records
from .store_access import StoreAccess
from .upstream import UpstreamWatch

__all__ = ["Membership"]

PUBLISH_RETRY_S = 0.3
# Two processes that claim the same address do not write without end.
RENEWAL_PAUSE_S = 5.0
# Noisy neighbours slow an upstream for 0.4 s at a time; probes are further apart.
SLOWDOWN_PROBES = 3
PROBE_PAUSE_S = 0.42
PROBE_TIMEOUT_S = 0.5
# Used while no configuration sets the path of the service.
DEFAULT_HEALTH_PATH = "/healthz"
# A member that has been unreachable for this long is not expected to return.
REMOVE_AFTER_S = 25.0
REMOVAL_CHECK_PERIOD_S = 2.0

_log = structlog.get_logger()


class Membership:
    """Owns the member object of this process."""

    def __init__(
        self,
        identity: NodeIdentity,
        process: str,
        records: Records,
        access: StoreAccess,
        links: Links,
        client: UpstreamClient,
        watch: UpstreamWatch,
        guard: Guard,
    ) -> None:
        self._identity = identity
        self._process = process
        self._records = records
        self._access = access
        self._links = links
        self._client = client
        self._watch = watch
        self._guard = guard
        self._slowdown: float | None = None
        self._renewals = 0
        self._renewed_at = -RENEWAL_PAUSE_S
        self._changed = asyncio.Event()
        self._stopping = False
        self._ended = False

    @property
    def _may_write(self) -> bool:
        """Returns whether the own member is written after a change.

        While the process stops, it is written only if the upstream leaves, which the
        next process has to know.
        """
        state = self._watch.state
        leaves = state is not None and state.alive and state.leaving_since is not None
        return leaves or not self._stopping

    @property
    def has_predecessor(self) -> bool:
        """Returns whether the own member is still that of a former process."""
        published = self._records.stored_member(self._identity.node)
        return published is not None and published.process != self._process

    def publish(self) -> None:
        """Schedules a write of the own member after a change."""
        self._changed.set()

    def republish_if_changed(self) -> None:
        """Schedules a write of the own member if it was removed or is outdated."""
        published = self._records.stored_member(self._identity.node)
        self.restore_leaving()
        self._renew_if_claimed()
        if self._watch.state is not None and published != self._own_member():
            self._changed.set()

    def restore_leaving(self) -> None:
        """Marks the upstream as leaving if this process knew so before its restart."""
        published = self._records.members.get(self._identity.node)
        if published is not None and published.leaving:
            self._watch.report_leaving(published.incarnation)

    def stop(self) -> None:
        """Stops writing the own member, unless its upstream leaves."""
        self._stopping = True

    async def run(self) -> None:
        """Writes the own member after each change, until cancelled."""
        while True:
            await self._changed.wait()
            self._changed.clear()
            if self._slowdown is None and self._watch.state is not None:
                self._slowdown = await self._probe_slowdown()
                self._guard.set_slowdown(self._slowdown)
            if not self._may_write or not self._records.complete:
                await asyncio.sleep(PUBLISH_RETRY_S / 3)
                self._changed.set()
                continue
            await self._write(self._own_member())

    async def retire(self) -> None:
        """Removes the own member if the upstream has ended and does not come back.

        While the upstream is alive, the member tells the next process that it leaves.
        """
        node = self._identity.node
        alive = self._watch.state is not None and self._watch.state.alive
        self._ended = not alive
        # The removal alone would not prove the end.
        await self._write(self._own_member())
        if alive:
            return
        try:
            await self._access.remove(
                MEMBERS, node, self._records.stored_revision(MEMBERS, node)
            )
        except StoreError as error:
            _log.warning("member_not_removed", detail=error.detail)

    async def remove_unreachable(self) -> None:
        """Removes members that are unreachable for long, until cancelled."""
        while True:
            await asyncio.sleep(REMOVAL_CHECK_PERIOD_S * random.uniform(0.8, 1.2))
            self._renew_if_claimed()
            reachable_nodes = sorted([self._identity.node, *self._links.up])
            if reachable_nodes[0] != self._identity.node or not self._access.reachable:
                continue
            for node in list(self._records.members):
                await self._remove_if_unreachable(node)

    def _renew_if_claimed(self) -> None:
        """Schedules a write of the own member if a later one names its address.

        The others take that one for its successor, until the own one is newer.
        """
        successor = self._records.successor(self._identity.node)
        moment = asyncio.get_running_loop().time()
        if successor is None or moment - self._renewed_at < RENEWAL_PAUSE_S:
            return
        _log.warning("member_address_claimed", member=successor)
        self._renewed_at = moment
        self._renewals += 1
        self._changed.set()

    async def _remove_if_unreachable(self, node: str) -> None:
        """Removes a member that owns no keys if it has been unreachable for long."""
        unreachable_since = self._links.unreachable_since(node)
        loop_now = asyncio.get_running_loop().time()
        if unreachable_since is None or loop_now - unreachable_since < REMOVE_AFTER_S:
            return
        if self._owns_keys(node):
            return
        revision = self._records.stored_revision(MEMBERS, node)
        try:
            await self._access.remove(MEMBERS, node, revision)
            _log.info("unreachable_member_removed", member=node)
        except StoreError as error:
            _log.info("unreachable_member_not_removed", detail=error.detail)

    def _owns_keys(self, node: str) -> bool:
        """Returns whether the table of a member's service assigns keys to it."""
        member = self._records.members.get(node)
        table = self._records.table(member.service) if member is not None else None
        return table is not None and bool(tables.owned_by(table, node))

    async def _write(self, member: Member) -> None:
        """Writes the own member unless the store already holds it."""
        if self._records.stored_member(member.node) == member:
            return
        revision = self._records.stored_revision(MEMBERS, member.node)
        try:
            content = msgspec.json.encode(member)
            stored = await self._access.write(MEMBERS, member.node, content, revision)
            state = ObjectState(stored.name, stored.revision, stored.content)
            self._links.broadcast(ObjectUpdate(MEMBERS, state))
            _log.info(
                "member_published",
                incarnation=member.incarnation,
                accepting=member.accepting,
            )
        except StoreError as error:
            _log.info("member_not_published", detail=error.detail)
            await asyncio.sleep(PUBLISH_RETRY_S * random.uniform(0.7, 1.3))
            self._changed.set()

    def _own_member(self) -> Member:
        """Builds the member object of this process."""
        identity, state = self._identity, self._watch.state
        announcement = state.announcement if state is not None else None
        return Member(
            node=identity.node,
            process=self._process,
            peer=identity.peer,
            zone=identity.zone,
            service=identity.service,
            instance=announcement.instance if announcement else "",
            born_ms=announcement.born_ms if announcement else 0,
            slots=announcement.slots if announcement else 0,
            accepting=state is not None and state.accepting,
            pace=self._slowdown or 1.0,
            leaving=state is not None and state.leaving_since is not None,
            renewals=self._renewals,
            ended=self._ended,
        )

    async def _probe_slowdown(self) -> float:
        """Probes the upstream a few times; returns the lowest slowdown factor.

        Noisy neighbours slow it briefly, so that higher values are discarded.
        """
        published = self._records.members.get(self._identity.node)
        if published is not None:
            # The VM is the same, and so is the slowdown of its upstream.
            return published.pace
        slowdowns = []
        for _ in range(SLOWDOWN_PROBES):
            try:
                load = await self._client.probe(self.health_path(), PROBE_TIMEOUT_S)
            except UpstreamCallFailed as error:
                _log.info("probe_failed", detail=error.detail)
                break
            if load is None:
                break
            slowdowns.append(load.slowdown)
            await asyncio.sleep(PROBE_PAUSE_S)
        slowdown = min(slowdowns) if slowdowns else 1.0
        _log.info("slowdown_probed", slowdown=slowdown, probes=len(slowdowns))
        return slowdown

    def health_path(self) -> str:
        """Returns the health path of the own service."""
        configuration = self._records.configuration
        if configuration is None:
            return DEFAULT_HEALTH_PATH
        service = configuration.services.get(self._identity.service)
        return service.health_path if service is not None else DEFAULT_HEALTH_PATH
