"""Builders of guard events, and a driver of the guard for tests."""

from __future__ import annotations

from rosemarydeal.core import SliceId
from rosemarydeal.policy import guard

__all__ = ["GuardDriver", "arrival"]

SLICE = SliceId("box-office", 3)
DEADLINE_S = 2.0


def arrival(caller: int, request_id: str, now: float = 0.0, **changes):
    """Builds the first arrival of a non-idempotent request."""
    values = {
        "caller": caller,
        "request_id": request_id,
        "fingerprint": hash_of(request_id),
        "tenant": "families",
        "slice": SLICE,
        "idempotent": False,
        "deadline": now + DEADLINE_S,
    }
    return guard.RequestArrived(**(values | changes))


def hash_of(text: str) -> int:
    """Returns a small stable number for a text."""
    return sum(ord(c) * 31**i for i, c in enumerate(text)) % 1_000_003


class GuardDriver:
    """Feeds events to one guard and records its actions."""

    def __init__(self, seed: int = 1, upstream: bool = True, token: int = 7, **limits):
        self.now = 0.0
        settings = guard.GuardSettings(node="box-office-1", **limits)
        self.state = guard.start(settings, self.now, seed)
        self.actions: list = []
        if upstream:
            self.feed(guard.UpstreamStarted(cold=False))
        if token:
            self.feed(guard.OwnershipGained(SLICE, token))

    def feed(self, event, after: float = 0.0) -> list:
        """Feeds an event after a delay in seconds and returns its actions."""
        self.now += after
        self.state, actions = guard.step(self.state, event, self.now)
        self.actions.extend(actions)
        return list(actions)

    def arrive(self, caller: int, request_id: str, **changes) -> list:
        """Feeds the arrival of a request."""
        return self.feed(arrival(caller, request_id, self.now, **changes))

    def answer(self, request_id: str, latency: float = 0.02, **changes) -> list:
        """Feeds an answer of the upstream after its latency in seconds."""
        values = {"status": 200, "size": 10} | changes
        event = guard.UpstreamAnswered(request_id, latency=latency, **values)
        return self.feed(event, after=latency)

    def fail(self, request_id: str, sent: bool = True, crashed: bool = False) -> list:
        """Feeds the failure of a dispatched request."""
        return self.feed(guard.UpstreamFailed(request_id, sent, crashed))

    def of(self, kind: type) -> list:
        """Returns all recorded actions of a type."""
        return [action for action in self.actions if isinstance(action, kind)]

    def outcome_of(self, caller: int):
        """Returns the first reply to a caller: an outcome, the request id, or None."""
        for action in self.actions:
            if isinstance(action, guard.ReplyOutcome) and action.caller == caller:
                return action.outcome
            if isinstance(action, guard.ReplyAnswer) and action.caller == caller:
                return action.request_id
        return None
