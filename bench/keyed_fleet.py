"""Model of a keyed service in virtual time: callers, owners and hand-overs.

A request goes to the owner of its slice; while a slice has none, requests wait
at the entry up to their deadline. At a move the old owner is notified after
`NOTIFY_DELAY_S`, stops admitting, completes its running requests and releases
the slice. The other names of the row acknowledge after a round trip, with
probability `PAUSE_CHANCE` only after a pause of up to `MAX_PAUSE_S`. A slice is
slower at its new owner for `SLICE_COLD_S`.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from enum import StrEnum

from rosemarydeal.core import SliceId, key_hash
from rosemarydeal.core.messages import SliceLoad
from rosemarydeal.policy.hotkeys import HotKeySketch
from rosemarydeal.policy.reporting import LocalLoad

from .harness import (
    FakeUpstream,
    HotKeys,
    JobOutcome,
    VirtualClock,
    Workload,
    poisson_arrivals,
    seeded,
)

__all__ = ["CompletedRequest", "HandOver", "KeyedFleet", "Node", "ServiceGap"]

SLICES = 256
KEYS = 20_000
HOT_KEYS = 41
HOT_SHARE = 0.4
HOT_EXPONENT = 0.6
NOTIFY_DELAY_S = 0.005
SLICE_COLD_S = 2.0
SLICE_COLD_FACTOR = 1.5
DEADLINE_S = 2.0
PAUSE_CHANCE = 0.02
MAX_PAUSE_S = 0.5
SKETCH_DECAY = 0.8


class HandOver(StrEnum):
    """Time at which the old owner of a moving slice stops admitting requests."""

    AT_ONCE = "at once"
    REVOKED = "when the others cleared"
    REVOKED_AND_IDLE = "when the others cleared and nothing runs"


@dataclass(frozen=True, slots=True)
class CompletedRequest:
    """Outcome of a request for its caller."""

    at: float
    latency: float
    ok: bool


@dataclass(frozen=True, slots=True)
class ServiceGap:
    """Period for which a slice had no serving owner."""

    at: float
    seconds: float


@dataclass(slots=True)
class Node:
    """One upstream and its load counters."""

    name: str
    zone: str
    upstream: FakeUpstream
    sketch: HotKeySketch = field(default_factory=HotKeySketch)
    busy: dict[SliceId, float] = field(default_factory=dict)
    served: int = 0
    served_s: float = 0.0
    work_starts: list[float] = field(default_factory=list)

    def measure(self, interval: float) -> LocalLoad:
        """Returns the load since the last measurement and resets the counters."""
        hot: dict[int, float] = {
            key.digest: key.weight * (1 - SKETCH_DECAY) / interval
            for key in self.sketch.top(16)
        }
        self.sketch.decay(SKETCH_DECAY)
        loads = tuple(
            SliceLoad(slice_id, busy / interval, _hot_keys(slice_id, hot))
            for slice_id, busy in self.busy.items()
        )
        slots = self.upstream.spec.slots
        utilisation = sum(load.load for load in loads) / slots
        service_s = self.served_s / self.served if self.served else 0.0
        self.busy = {}
        self.served, self.served_s = 0, 0.0
        return LocalLoad(utilisation, loads, service_s)


def _hot_keys(
    slice_id: SliceId, hot: dict[int, float]
) -> tuple[tuple[int, float], ...]:
    if slice_id.carved >= 0:
        return ()
    in_slice = [
        (digest, load)
        for digest, load in hot.items()
        if digest % SLICES == slice_id.index
    ]
    return tuple(in_slice[:1])


class KeyedFleet:
    """Keyed service that serves requests by an assignment set from outside."""

    def __init__(
        self, workload: Workload, seed: int, load: float, hand_over: HandOver
    ) -> None:
        self.workload = workload
        self.clock = VirtualClock()
        self.keys = HotKeys(KEYS, HOT_KEYS, HOT_SHARE, HOT_EXPONENT)
        self.completed: list[CompletedRequest] = []
        self.gaps: list[ServiceGap] = []
        self.failed_in_flight = 0
        self.moves: list[float] = []
        zones = workload.availability_zones
        service = workload.keyed
        self.nodes = {
            name: Node(name, zone, FakeUpstream(self.clock, name, zone, service.spec))
            for name, zone in (
                (f"{service.name}-{number + 1}", zones[number % len(zones)])
                for number in range(service.upstreams)
            )
        }
        self.load = load
        self._hand_over = hand_over
        self._arrivals = seeded(seed, "arrivals")
        self._key_source = seeded(seed, "keys")
        self._service_times = seeded(seed, "service times")
        self._pauses = seeded(seed, "pauses")
        self._digests = [key_hash(f"key-{number}") for number in range(KEYS)]
        self._serving: dict[SliceId, str | None] = {}
        self._assigned: dict[SliceId, str] = {}
        self._running: dict[SliceId, int] = {}
        self._on_idle: dict[SliceId, Callable[[], None]] = {}
        self._stopped_at: dict[SliceId, float] = {}
        self._started_at: dict[SliceId, float] = {}
        self._waiting: dict[SliceId, list[tuple[float, int]]] = {}
        self._base_slices = [SliceId(self.service, index) for index in range(SLICES)]
        self._carved_slices: dict[int, SliceId] = {}
        self._on_move_complete: Callable[[SliceId], None] = lambda slice_id: None
        self.keys.move(self._key_source)

    @property
    def service(self) -> str:
        """Returns the name of the keyed service."""
        return self.workload.keyed.name

    def on_move_complete(self, callback: Callable[[SliceId], None]) -> None:
        """Registers a callback for the completion of a slice's move."""
        self._on_move_complete = callback

    def start(self, until: float) -> None:
        """Starts the arrivals of requests."""
        rate = self.load * self.workload.keyed.capacity
        poisson_arrivals(
            self.clock, self._arrivals, lambda now: rate, until, self._arrive
        )

    def move_hot_set(self) -> None:
        """Replaces the set of hot keys."""
        self.keys.move(self._key_source)

    def key_rates(self) -> dict[int, float]:
        """Returns the true load of each hot key by its hash, in busy slots."""
        weights = [(rank + 1) ** -HOT_EXPONENT for rank in range(HOT_KEYS)]
        service = self.workload.keyed
        total = self.load * service.capacity * service.mean_service_s
        scale = total * HOT_SHARE / sum(weights)
        return {
            self._digests[key]: weight * scale
            for key, weight in zip(self.keys.hot_keys, weights, strict=True)
        }

    def owner(self, slice_id: SliceId) -> str | None:
        """Returns the node that a slice was last assigned to."""
        return self._assigned.get(slice_id)

    def assign(self, slice_id: SliceId, node: str, others: int = 0) -> None:
        """Assigns a slice to a node; the first assignment needs no hand-over.

        Args:
            slice_id: The slice.
            node: Its new owner.
            others: Number of other names of the row that have to acknowledge.
        """
        old = self._assigned.get(slice_id)
        if old == node:
            return
        self._assigned[slice_id] = node
        if slice_id.carved >= 0:
            self._carved_slices[slice_id.carved] = slice_id
        if old is None:
            base = SliceId(slice_id.service, slice_id.index)
            carved_from = self._serving.get(base) if slice_id.carved >= 0 else None
            self._serving[slice_id] = carved_from or node
            for arrived, digest in self._waiting.pop(slice_id, ()):
                self._dispatch(slice_id, digest, arrived)
            if not carved_from or carved_from == node:
                return
            old = carved_from
        self.moves.append(self.clock.now)
        revocation_s = self._revocation_delay(others)
        if not self.nodes[old].upstream.alive or slice_id in self._stopped_at:
            self.clock.after(revocation_s, self._start_if_alive, slice_id)
            return
        self.clock.after(NOTIFY_DELAY_S, self._on_notice, slice_id, revocation_s)

    def place_at_once(self, slice_id: SliceId, node: str) -> None:
        """Moves a slice without any interruption, an ideal that no protocol reaches."""
        self._assigned[slice_id] = node
        if self._serving.get(slice_id) != node:
            self._start_serving(slice_id)
            self._started_at.pop(slice_id, None)

    def drop(self, slice_id: SliceId) -> None:
        """Merges a carved slice back into its base slice."""
        self._carved_slices.pop(slice_id.carved, None)
        self._assigned.pop(slice_id, None)
        self._serving.pop(slice_id, None)

    def kill(self, node: str) -> None:
        """Stops a node and its upstream at once."""
        self.nodes[node].upstream.fail()
        for slice_id, serving in self._serving.items():
            if serving == node:
                self._stop(slice_id)

    def take_over(self, slice_id: SliceId, node: str) -> None:
        """Starts service of a slice by a successor of its lost owner."""
        if self._assigned.get(slice_id) != node:
            self._assigned[slice_id] = node
            self.moves.append(self.clock.now)
        self._start_serving(slice_id)

    def measure(self, interval: float) -> dict[str, LocalLoad]:
        """Returns the load of each live node since the last measurement."""
        return {
            name: node.measure(interval)
            for name, node in self.nodes.items()
            if node.upstream.alive
        }

    def _revocation_delay(self, others: int) -> float:
        """Returns the delay until all other names of a row have acknowledged."""
        trip = 2 * self.workload.between_zones_s + NOTIFY_DELAY_S
        paused = any(self._pauses.random() < PAUSE_CHANCE for _ in range(others))
        return trip + (self._pauses.uniform(0, MAX_PAUSE_S) if paused else 0.0)

    def _on_notice(self, slice_id: SliceId, revocation_s: float) -> None:
        if self._hand_over is HandOver.AT_ONCE:
            self._stop(slice_id)
            self.clock.after(revocation_s, self._when_idle, slice_id)
            return
        self.clock.after(revocation_s, self._stop_owner_last, slice_id)

    def _stop_owner_last(self, slice_id: SliceId, waited_s: float = 0.0) -> None:
        """Stops the old owner after the others; may wait until it is idle."""
        busy = self._running.get(slice_id, 0) > 0
        may_wait = self._hand_over is HandOver.REVOKED_AND_IDLE and waited_s < 0.25
        if busy and may_wait:
            step = 0.005
            self.clock.after(step, self._stop_owner_last, slice_id, waited_s + step)
            return
        self._stop(slice_id)
        self._when_idle(slice_id)

    def _stop(self, slice_id: SliceId) -> None:
        self._serving[slice_id] = None
        self._stopped_at.setdefault(slice_id, self.clock.now)

    def _when_idle(self, slice_id: SliceId) -> None:
        if self._running.get(slice_id, 0):
            self._on_idle[slice_id] = lambda: self._release(slice_id)
        else:
            self._release(slice_id)

    def _release(self, slice_id: SliceId) -> None:
        self.clock.after(self.workload.between_zones_s, self._start_if_alive, slice_id)

    def _start_if_alive(self, slice_id: SliceId) -> None:
        target = self._assigned.get(slice_id)
        if target is not None and self.nodes[target].upstream.alive:
            self._start_serving(slice_id)

    def _start_serving(self, slice_id: SliceId) -> None:
        now = self.clock.now
        if slice_id in self._stopped_at:
            stopped = self._stopped_at.pop(slice_id)
            self.gaps.append(ServiceGap(stopped, now - stopped))
        self._serving[slice_id] = self._assigned[slice_id]
        self._started_at[slice_id] = now
        self._on_move_complete(slice_id)
        for arrived, digest in self._waiting.pop(slice_id, ()):
            self._dispatch(slice_id, digest, arrived)

    def _arrive(self) -> None:
        digest = self._digests[self.keys.draw(self._key_source)]
        slice_id = self._carved_slices.get(digest) or self._base_slices[digest % SLICES]
        self._dispatch(slice_id, digest, self.clock.now)

    def _dispatch(self, slice_id: SliceId, digest: int, arrived: float) -> None:
        now = self.clock.now
        name = self._serving.get(slice_id)
        if now - arrived > DEADLINE_S:
            self.completed.append(CompletedRequest(now, now - arrived, False))
            return
        if name is None:
            self._waiting.setdefault(slice_id, []).append((arrived, digest))
            return
        node = self.nodes[name]
        node.work_starts.append(now)
        service_s = self._service_times.expovariate(
            1 / self.workload.keyed.mean_service_s
        )
        if now - self._started_at.get(slice_id, float("-inf")) < SLICE_COLD_S:
            service_s *= SLICE_COLD_FACTOR
        self._running[slice_id] = self._running.get(slice_id, 0) + 1

        def end(outcome: JobOutcome) -> None:
            self._record_end(node, slice_id, digest, arrived, service_s, outcome)

        node.upstream.submit(service_s, end)

    def _record_end(
        self,
        node: Node,
        slice_id: SliceId,
        digest: int,
        arrived: float,
        service_s: float,
        outcome: JobOutcome,
    ) -> None:
        now = self.clock.now
        travel = 2 * (self.workload.to_clients_s + self.workload.between_zones_s)
        ok = outcome is JobOutcome.DONE
        self.completed.append(CompletedRequest(now, now - arrived + travel, ok))
        if outcome is JobOutcome.FAILED:
            self.failed_in_flight += 1
        if ok:
            busy_s = service_s * node.upstream.slow_factor
            node.busy[slice_id] = node.busy.get(slice_id, 0.0) + busy_s
            node.sketch.offer(digest, busy_s)
            node.served += 1
            node.served_s += busy_s
        remaining = self._running[slice_id] - 1
        self._running[slice_id] = remaining
        if not remaining and slice_id in self._on_idle:
            self._on_idle.pop(slice_id)()
