"""Reads and writes single objects of the store, through a peer if necessary.

The store may reject the calls of one process while it serves the others. Peers
then call it on behalf of that process, so that its keys can be handed over.
"""

from __future__ import annotations

import asyncio
import random

import structlog

from rosemarydeal.core.fleet import NO_REVISION, ObjectOrigin, Revision, StoredObject
from rosemarydeal.platform.errors import (
    HistoryGone,
    StoreConflict,
    StoreError,
    StoreRestored,
)
from rosemarydeal.platform.store import Listing, StoreClient
from rosemarydeal.policy.keyranges import ownership_lease

from .links import Links
from .messages import ObjectState, StoreRelayReply, StoreRelayRequest
from .records import MEMBERS, RANGES, Records
from .shared_reads import SharedReads

__all__ = ["StoreAccess"]

# Response time of a shared read, besides its delay.
SHARED_READ_TIMEOUT_S = 0.4
# Peers that are tried when the store rejects this process's own call.
RELAY_PEERS = 3
# How long links to peers are waited for, before they are asked for a table.
PEERS_WAIT_S = 0.5

_log = structlog.get_logger()


class StoreAccess:
    """Calls the store and updates the records from its replies."""

    def __init__(self, store: StoreClient, records: Records, links: Links) -> None:
        """Creates an access that considers the store reachable.

        Args:
            store: Client of the store.
            records: Updated with the objects that the store returns.
            links: Links to the peers that call the store if own calls fail.
        """
        self._store = store
        self._records = records
        self._links = links
        self._reachable = True
        self._shared = SharedReads(self._read_own, self._shared_read_delay_s)

    @property
    def reachable(self) -> bool:
        """Returns whether the store answered the last call."""
        return self._reachable

    async def read(self, kind: str, name: str) -> StoredObject | None:
        """Reads an object from the store, through a peer if necessary.

        Returns:
            The object, or None if it does not exist.

        Raises:
            StoreError: Neither the store nor a peer gave a usable reply.
        """
        try:
            return await self._read_own(kind, name)
        except StoreError as error:
            return await self._read_through_peer(kind, name, error)

    async def read_shared(
        self, kind: str, name: str, reader: str | None
    ) -> StoredObject | None:
        """Reads an object together with other processes that need it.

        Args:
            kind: Kind of the object.
            name: Name within the kind.
            reader: Node that reads for its zone, None for this one.

        Returns:
            The object as a read that began after this call found it, or None if it
            does not exist.

        Raises:
            StoreError: Neither the store nor a peer gave a usable reply.
        """
        if reader is not None:
            known = self._records.stored(kind, name)
            revision = NO_REVISION
            if known is not None and known.content:
                revision = known.revision
            call = StoreRelayRequest(0, kind, name, None, revision, shared=True)
            timeout_s = self._shared_read_delay_s() + SHARED_READ_TIMEOUT_S
            reply = await self._links.relay_store_call(reader, call, timeout_s)
            if reply is None:
                return await self.read(kind, name)
            if reply.unchanged:
                return known
            return self._apply_reply(call, reply)
        try:
            return await self._shared.read(kind, name)
        except StoreError as error:
            return await self._read_through_peer(kind, name, error)

    async def read_history(self, kind: str, since: Revision) -> Listing:
        """Reads all changes of a kind since a revision, through a peer if necessary.

        Raises:
            HistoryGone: The store has dropped the history after that revision, or
                was restored since.
            StoreError: Neither the store nor a peer gave a usable reply.
        """
        try:
            listing = await self._store.watch(kind, since, 0.0)
        except HistoryGone:
            raise
        except StoreError as error:
            self.note_reachable(False, str(error))
            return await self._read_history_through_peer(kind, since, error)
        self.note_reachable(True)
        return listing

    async def read_known_tables(
        self, name: str, since: Revision
    ) -> tuple[StoredObject, ...]:
        """Asks some peers for a table as they know it, whatever the store holds.

        Args:
            name: Name of the table's object.
            since: After which revision this process lacks changes.
        """
        # A process that starts has no links yet.
        others = len(self._records.members) - 1
        await self._links.wait_up(min(RELAY_PEERS, others), PEERS_WAIT_S)
        peers = sorted(self._links.up)
        call = StoreRelayRequest(0, RANGES, name, None, since, history=True, known=True)
        replies = await asyncio.gather(
            *(
                self._links.relay_store_call(node, call)
                for node in random.sample(peers, min(RELAY_PEERS, len(peers)))
            )
        )
        states = [reply.state for reply in replies if reply is not None]
        return tuple(
            StoredObject(RANGES, state.name, state.revision, state.content)
            for state in states
            if state is not None
        )

    async def write(
        self, kind: str, name: str, content: bytes, expected: Revision
    ) -> StoredObject:
        """Writes an object if the store still holds the given revision of it.

        Args:
            kind: Kind of the object.
            name: Name within the kind.
            content: The new content.
            expected: Revision from which the content was computed; NO_REVISION if
                the object did not exist.

        Raises:
            StoreConflict: It has changed; the new state has been read.
            StoreRestored: The store was restored since that revision.
            StoreUnavailable: The outcome is unknown, or nothing was written.
        """
        try:
            if expected == NO_REVISION:
                stored = await self._store.create(kind, name, content)
            else:
                stored = await self._store.replace(kind, name, content, expected)
        except StoreRestored as restored:
            await self._apply_restored(kind, name, restored)
            raise
        except StoreConflict as conflict:
            if conflict.current is not None and conflict.current.name == name:
                self._records.apply(conflict.current)
            else:
                await self.read(kind, name)
            raise
        except StoreError as error:
            self.note_reachable(False, str(error))
            call = StoreRelayRequest(0, kind, name, content, expected)
            stored, done = await self._relay_through_peer(call, error)
            if stored is not None:
                self._records.apply(stored, done, ObjectOrigin.RELAYED)
            if not done or stored is None:
                raise StoreConflict(f"{kind}/{name}: revision has changed") from error
        self._records.apply(stored, changed=True, origin=ObjectOrigin.WRITE)
        return stored

    async def relay(self, call: StoreRelayRequest) -> StoreRelayReply | None:
        """Calls the store on behalf of a peer; returns None if the call fails."""
        if call.kind not in (MEMBERS, RANGES):
            return None
        if call.known:
            return self._state_known_table(call)
        if call.history:
            return await self._relay_history(call)
        done = True
        try:
            if call.shared:
                stored = await self._shared.read(call.kind, call.name)
            elif call.content is None:
                stored = await self._store.get(call.kind, call.name)
            else:
                try:
                    stored = await self._write_at(call)
                except StoreConflict as conflict:
                    done = False
                    stored = conflict.current
                    if stored is None:
                        stored = await self._store.get(call.kind, call.name)
        except StoreError as error:
            _log.info("relay_failed", name=call.name, detail=error.detail)
            return None
        state, unchanged = None, False
        if stored is not None:
            self._records.apply(stored)
            unchanged = call.shared and stored.revision == call.revision
            content = None if unchanged else stored.content
            state = ObjectState(stored.name, stored.revision, content)
        return StoreRelayReply(call.number, call.kind, state, done, unchanged)

    def _state_known_table(self, call: StoreRelayRequest) -> StoreRelayReply:
        """States the table that this process knows to a peer."""
        known = self._records.known_table(call.name)
        state = None
        if known is not None:
            state = ObjectState(known.name, known.revision, known.content)
        return StoreRelayReply(call.number, call.kind, state)

    async def _relay_history(self, call: StoreRelayRequest) -> StoreRelayReply | None:
        """Reads changes on behalf of a peer; returns None if the call fails."""
        try:
            listing = await self._store.watch(call.kind, call.revision, 0.0)
        except HistoryGone:
            return StoreRelayReply(call.number, call.kind, None, gone=True)
        except StoreError as error:
            _log.info("relay_failed", name=call.kind, detail=error.detail)
            return None
        changes = tuple(
            ObjectState(stored.name, stored.revision, stored.content)
            for stored in listing.objects
            if not stored.unreadable
        )
        return StoreRelayReply(
            call.number, call.kind, None, changes=changes, until=listing.revision
        )

    async def _read_history_through_peer(
        self, kind: str, since: Revision, error: StoreError
    ) -> Listing:
        """Reads changes by a call of a peer, after the own one failed."""
        call = StoreRelayRequest(0, kind, "", None, since, history=True)
        peers = sorted(self._links.up)
        for node in random.sample(peers, min(RELAY_PEERS, len(peers))):
            reply = await self._links.relay_store_call(node, call)
            if reply is None:
                continue
            _log.info("store_called_by_peer", peer=node, name=kind)
            # A peer of an earlier version answers as to a read.
            if reply.gone or reply.until == NO_REVISION:
                raise HistoryGone(f"{kind}: {node} has none since {since}") from error
            objects = tuple(
                StoredObject(kind, state.name, state.revision, state.content)
                for state in reply.changes
            )
            return Listing(objects, reply.until)
        raise error

    async def _apply_restored(
        self, kind: str, name: str, restored: StoreRestored
    ) -> None:
        """Applies what a restored store holds; without an answer, it is listed later.

        That nothing was written is certain without it.
        """
        if restored.current is not None:
            self._records.apply(restored.current)
            return
        try:
            await self.read(kind, name)
        except StoreError as error:
            _log.info("restored_object_not_read", name=name, detail=error.detail)

    async def _read_own(self, kind: str, name: str) -> StoredObject | None:
        """Reads an object by a call of this process."""
        try:
            stored = await self._store.get(kind, name)
        except StoreError as error:
            self.note_reachable(False, str(error))
            raise
        self.note_reachable(True)
        if stored is not None:
            self._records.apply(stored)
        return stored

    async def _read_through_peer(
        self, kind: str, name: str, error: StoreError
    ) -> StoredObject | None:
        """Reads an object by a call of a peer, after the own one failed."""
        call = StoreRelayRequest(0, kind, name)
        stored, _ = await self._relay_through_peer(call, error)
        if stored is not None:
            self._records.apply(stored, origin=ObjectOrigin.RELAYED)
        return stored

    def _apply_reply(
        self, call: StoreRelayRequest, reply: StoreRelayReply
    ) -> StoredObject | None:
        """Applies the object that a peer has read."""
        state = reply.state
        if state is None:
            return None
        stored = StoredObject(call.kind, state.name, state.revision, state.content)
        self._records.apply(stored, origin=ObjectOrigin.RELAYED)
        return stored

    def _shared_read_delay_s(self) -> float:
        """Returns how long a shared read waits for others, in seconds."""
        return ownership_lease.shared_read_delay(len(self._records.members))

    async def _write_at(self, call: StoreRelayRequest) -> StoredObject:
        """Writes an object that is still at the revision given by a peer."""
        if call.revision == NO_REVISION:
            return await self._store.create(call.kind, call.name, call.content)
        return await self._store.replace(
            call.kind, call.name, call.content, call.revision
        )

    async def _relay_through_peer(
        self, call: StoreRelayRequest, error: StoreError
    ) -> tuple[StoredObject | None, bool]:
        """Has a peer call the store.

        Returns:
            The object after the call, and whether a write was done.

        Raises:
            StoreError: The given error, if no peer replies.
        """
        peers = sorted(self._links.up)
        for node in random.sample(peers, min(RELAY_PEERS, len(peers))):
            reply = await self._links.relay_store_call(node, call)
            if reply is None:
                continue
            _log.info("store_called_by_peer", peer=node, name=call.name)
            state = reply.state
            if state is None:
                return None, reply.done
            stored = StoredObject(call.kind, state.name, state.revision, state.content)
            return stored, reply.done
        raise error

    async def remove(self, kind: str, name: str, expected: Revision) -> None:
        """Removes an object if the store still holds the given revision of it.

        Args:
            kind: Kind of the object.
            name: Name within the kind.
            expected: Revision at which its removal was decided; with NO_REVISION
                there is nothing to remove.

        Raises:
            StoreConflict: It has changed.
            StoreUnavailable: The outcome is unknown, or nothing was removed.
        """
        if expected != NO_REVISION:
            await self._store.remove(kind, name, expected)

    async def close(self) -> None:
        """Cancels all waiting reads."""
        await self._shared.close()

    def note_reachable(self, reachable: bool, detail: str = "") -> None:
        """Records whether the store is reachable, and logs each change."""
        if reachable == self._reachable:
            return
        self._reachable = reachable
        if reachable:
            _log.info("store_reachable")
        else:
            _log.warning("store_unreachable", detail=detail)
