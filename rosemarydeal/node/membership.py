"""Publishes what this process is, and removes those that are lost.

Each process writes one object about itself, when something has changed. Objects
in the store never go by themselves: a process removes its own when its upstream
does not come back, and the first of the others removes one that nobody has
reached for long.
"""

from __future__ import annotations

import asyncio
import random

import msgspec
import structlog

from rosemarydeal.core.fleet import Member, NodeIdentity
from rosemarydeal.platform.errors import StoreError
from rosemarydeal.platform.upstream import UpstreamCallFailed, UpstreamClient

from .guard import Guard
from .links import Links
from .messages import ObjectState, ObjectUpdate
from .records import MEMBERS, Records
from .store_access import StoreAccess
from .upstream import UpstreamWatch

__all__ = ["Membership"]

PUBLISH_RETRY_S = 0.3
# Neighbours slow an upstream for 0.4 s at a time, so that probes lie further apart.
PACE_PROBES = 3
PROBE_PAUSE_S = 0.42
PROBE_TIMEOUT_S = 0.5
# Asked when the configuration does not name another path.
USUAL_HEALTH_PATH = "/healthz"
# A member that nobody has reached for so long is not coming back.
FORGET_AFTER_S = 25.0
SWEEP_PERIOD_S = 2.0

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
        self._pace: float | None = None
        self._changed = asyncio.Event()
        self._stopping = False

    def publish(self) -> None:
        """Has the own member written, since something changed."""
        self._changed.set()

    def check(self) -> None:
        """Has the own member written again if somebody removed it."""
        known = self._records.members.get(self._identity.node)
        if self._watch.state is not None and known != self._own_member():
            self._changed.set()

    def stop(self) -> None:
        """Writes no member any more."""
        self._stopping = True

    async def run(self) -> None:
        """Writes the own member whenever it has changed, until cancelled."""
        while True:
            await self._changed.wait()
            self._changed.clear()
            if self._pace is None and self._watch.state is not None:
                self._pace = await self._probe_pace()
                self._guard.set_slowdown(self._pace)
            if self._stopping or not self._records.complete:
                await asyncio.sleep(PUBLISH_RETRY_S / 3)
                self._changed.set()
                continue
            await self._write(self._own_member())

    async def retire(self) -> None:
        """Removes the own member, since the upstream does not come back."""
        try:
            await self._access.remove(MEMBERS, self._identity.node)
        except StoreError as error:
            _log.warning("member_not_removed", detail=error.detail)

    async def forget_lost(self) -> None:
        """Removes members that nobody has reached for long, until cancelled."""
        while True:
            await asyncio.sleep(SWEEP_PERIOD_S * random.uniform(0.8, 1.2))
            up = sorted([self._identity.node, *self._links.up])
            if up[0] != self._identity.node or not self._access.reachable:
                continue
            for node in list(self._records.members):
                await self._forget_if_lost(node)

    async def _forget_if_lost(self, node: str) -> None:
        """Removes a member that could not be reached for long."""
        since = self._links.down_since(node)
        loop_now = asyncio.get_running_loop().time()
        if since is None or loop_now - since < FORGET_AFTER_S:
            return
        try:
            await self._access.remove(MEMBERS, node)
            _log.info("member_forgotten", member=node)
        except StoreError as error:
            _log.info("member_not_forgotten", detail=error.detail)

    async def _write(self, member: Member) -> None:
        """Writes the own member unless the store has it already."""
        if self._records.members.get(member.node) == member:
            return
        try:
            content = msgspec.json.encode(member)
            stored = await self._access.write(MEMBERS, member.node, content)
            state = ObjectState(stored.name, stored.revision, stored.content)
            self._links.broadcast(ObjectUpdate(MEMBERS, state))
            _log.info(
                "member_published", incarnation=member.incarnation, ok=member.accepting
            )
        except StoreError as error:
            _log.info("member_not_published", detail=error.detail)
            await asyncio.sleep(PUBLISH_RETRY_S * random.uniform(0.7, 1.3))
            self._changed.set()

    def _own_member(self) -> Member:
        """Returns what is published of this process."""
        identity, state = self._identity, self._watch.state
        announced = state.announcement if state is not None else None
        return Member(
            node=identity.node,
            process=self._process,
            peer=identity.peer,
            zone=identity.zone,
            service=identity.service,
            instance=announced.instance if announced else "",
            born_ms=announced.born_ms if announced else 0,
            slots=announced.slots if announced else 0,
            accepting=state is not None and state.accepting,
            pace=self._pace or 1.0,
        )

    async def _probe_pace(self) -> float:
        """Asks the upstream a few times how long work takes there now.

        Neighbours slow it for moments, so that the least counts.
        """
        known = self._records.members.get(self._identity.node)
        if known is not None:
            # The VM is the same, so that its upstream's pace is too.
            return known.pace
        paces = []
        for _ in range(PACE_PROBES):
            try:
                load = await self._client.probe(self._health_path(), PROBE_TIMEOUT_S)
            except UpstreamCallFailed as error:
                _log.info("probe_failed", detail=error.detail)
                break
            if load is None:
                break
            paces.append(load.slowdown)
            await asyncio.sleep(PROBE_PAUSE_S)
        pace = min(paces) if paces else 1.0
        _log.info("pace_probed", slowdown=pace, probes=len(paces))
        return pace

    def _health_path(self) -> str:
        """Returns the health path of the own service."""
        configuration = self._records.configuration
        if configuration is None:
            return USUAL_HEALTH_PATH
        service = configuration.services.get(self._identity.service)
        return service.health_path if service is not None else USUAL_HEALTH_PATH
