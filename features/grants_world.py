"""Simulation of an upstream whose heartbeats carry its grants, as documented.

Heartbeats and answers may be late or lost. The upstream sends one heartbeat at a
time, applies an answer that arrives within a second, and holds the stated keys from
when it sent the heartbeat; its clock may run 2% slow. It ends the work that runs on
keys before it reports their release, and repeats a report until it is acknowledged.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from rosemarydeal.core import Address
from rosemarydeal.core.fleet import (
    Announcement,
    GrantStatement,
    HeldKeys,
    ReleasedKeys,
)

__all__ = ["SimulatedUpstream"]

ACKNOWLEDGED_WITHIN_S = 1.0
SLOW_CLOCK = 1.02


@dataclass(slots=True)
class _Hold:
    """One key that the upstream holds or still works on."""

    token: int
    until: float
    working: bool = False
    leaving: bool = False


@dataclass(slots=True)
class SimulatedUpstream:
    """One incarnation; keys are tracked one by one."""

    born_ms: int
    holds: dict[int, _Hold] = field(default_factory=dict)
    released: list[ReleasedKeys] = field(default_factory=list)
    issued: dict[str, int] = field(default_factory=dict)
    seen: dict[int, int] = field(default_factory=dict)
    sequence: int = 0
    sent_at: float = 0.0
    reported: int = 0

    @property
    def incarnation(self):
        return f"i@{self.born_ms}"

    def expire(self, now):
        """Drops keys whose hold has ended; work on them ends with it."""
        for key in [k for k, hold in self.holds.items() if now >= hold.until]:
            del self.holds[key]

    def end_work(self, now):
        """Ends all running work, which completes pending releases."""
        self.expire(now)
        for key, hold in list(self.holds.items()):
            hold.working = False
            if hold.leaving:
                self._release(key)

    def start_work(self, key, token, now):
        """Starts a request; returns whether the upstream holds its key."""
        self.expire(now)
        hold = self.holds.get(key)
        if hold is None or hold.leaving or hold.token != token:
            return False
        hold.working = True
        return True

    def heartbeat(self, now):
        """Sends the next heartbeat."""
        self.expire(now)
        self.sequence += 1
        self.sent_at = now
        self.reported = len(self.released)
        rows = tuple(HeldKeys(k, k, h.token) for k, h in sorted(self.holds.items()))
        return Announcement(
            "i",
            self.born_ms,
            "s",
            Address("127.0.0.1", 1),
            "z",
            8,
            False,
            0.0,
            self.sequence,
            rows,
            tuple(self.released),
        )

    def apply(self, sequence, statement: GrantStatement | None, now):
        """Applies the answer to a heartbeat."""
        if sequence != self.sequence or now > self.sent_at + ACKNOWLEDGED_WITHIN_S:
            return
        del self.released[: self.reported]
        self.reported = 0
        if statement is None:
            return
        self.expire(now)
        until = self.sent_at + statement.hold_s * SLOW_CLOCK
        stated = {
            key: keys.token
            for keys in statement.ranges
            for key in range(keys.first, keys.last + 1)
        }
        for key, token in stated.items():
            if token < self.seen.get(key, 0) or until <= now:
                continue
            self.seen[key] = token
            working = key in self.holds and self.holds[key].working
            self.holds[key] = _Hold(token, until, working)
        for key in [k for k in self.holds if k not in stated]:
            self.holds[key].leaving = True
            if not self.holds[key].working:
                self._release(key)

    def _release(self, key):
        """Completes the release of a key."""
        del self.holds[key]
        token = f"h{self.born_ms}-{len(self.issued)}"
        self.issued[token] = key
        self.released.append(ReleasedKeys(key, key, token))
