"""Oracle of the ownership simulation, which checks the invariants of ownership."""

from __future__ import annotations

from features.ownership_constants import KEYS, SERVICE, SLICES
from rosemarydeal.core import SliceId
from rosemarydeal.policy import ownership

__all__ = ["Oracle", "OracleError"]

EPSILON_S = 1e-9


class OracleError(AssertionError):
    """An invariant was violated."""


class Oracle:
    """Ownership, running requests and tokens observed in the simulation so far."""

    def __init__(self) -> None:
        self.ownerships: dict[tuple[str, int], tuple[float, int]] = {}
        self.running: dict[int, tuple[float, str]] = {}
        self.tokens: dict[int, tuple[int, str, int]] = {}
        self.dispatched = 0

    def observe(self, world, node) -> None:
        """Checks the ownership of a node after each change of its state."""
        for digest in KEYS:
            slice_id = ownership.slice_of_key(node.state, SERVICE, digest, SLICES)
            owned = ownership.slice_ownership(
                node.state, slice_id, node.local(world.now)
            )
            entry = (node.name, digest)
            if owned is None:
                self.ownerships.pop(entry, None)
                continue
            self._check_sole(world.now, node.name, digest)
            self.ownerships[entry] = (node.true(owned.valid_until), owned.token)

    def _check_sole(self, now: float, name: str, digest: int) -> None:
        for (other, key), (until, _) in self.ownerships.items():
            if key == digest and other != name and until > now + EPSILON_S:
                raise OracleError(
                    f"key {digest} owned by {other} and {name} at {now:.3f}"
                )

    def remove_ownership(self, name: str) -> None:
        """Removes the ownership of a process that ended."""
        for entry in [entry for entry in self.ownerships if entry[0] == name]:
            del self.ownerships[entry]

    def dispatch(
        self, now: float, name: str, digest: int, token: int, end: float
    ) -> None:
        """Checks that no other process runs requests of the key and tokens grow."""
        busy_until, runner = self.running.get(digest, (0.0, ""))
        if runner != name and busy_until > now + EPSILON_S:
            raise OracleError(
                f"key {digest} runs at {runner} until {busy_until:.3f} "
                f"and at {name} from {now:.3f}"
            )
        last, holder, _ = self.tokens.get(digest, (-1, name, 0))
        if token < last or (token == last and holder != name):
            raise OracleError(f"token of key {digest} went from {last} to {token}")
        self.tokens[digest] = (token, name, 0)
        self.running[digest] = (max(end, busy_until), name)
        self.dispatched += 1

    def end_requests(self, name: str) -> None:
        """Removes the running requests of an upstream that ended."""
        for digest, (_, runner) in list(self.running.items()):
            if runner == name:
                del self.running[digest]

    def check_versions(self, before, after) -> None:
        """Checks that a process never replaces an object by an older version."""
        for key, known in before.chunks.items():
            if after.chunks[key].version < known.version:
                raise OracleError(f"chunk {key} went back")
        for key, known in before.members.items():
            if after.members[key].version < known.version:
                raise OracleError(f"member {key} went back")

    def check_write(self, platform, key) -> None:
        """Checks that a write moves no member or row back to an older version."""
        if isinstance(key, str):
            versions = platform.history[key]
            if len(versions) > 1:
                old, new = versions[-2].incarnation, versions[-1].incarnation
                if new.number < old.number:
                    raise OracleError(f"member {key} went back to {new}")
            return
        versions = platform.history[key]
        if len(versions) < 2:
            return
        old = {row.slice: row for row in versions[-2].rows}
        new = {row.slice: row for row in versions[-1].rows}
        for slice_id, row in old.items():
            base = new.get(SliceId(slice_id.service, slice_id.index))
            after = new.get(slice_id, base)
            if after is None or after.version < row.version:
                raise OracleError(f"row {slice_id} went back")

    def observe_time(self, world) -> None:
        """Removes ownership that has expired."""
        for entry, (until, _) in list(self.ownerships.items()):
            if until <= world.now:
                del self.ownerships[entry]

    def key_served(self, world, digest: int) -> bool:
        """Returns whether some running process owns a key now."""
        return any(
            key == digest
            and until > world.now
            and world.now >= world.nodes[name].paused_until
            for (name, key), (until, _) in self.ownerships.items()
        )

    def served(self, world, slice_id: SliceId) -> bool:
        """Returns whether all monitored keys of a slice are served."""
        keys = [
            d
            for d in KEYS
            if d % SLICES == slice_id.index and slice_id.carved in (-1, d)
        ]
        return all(self.key_served(world, digest) for digest in keys)
