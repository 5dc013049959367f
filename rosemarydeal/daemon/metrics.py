"""Defines the metrics of a process, with histograms per tenant.

Label values never come from requests, so a caller cannot increase the number of
series.
"""

from __future__ import annotations

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram
from prometheus_client.exposition import generate_latest

__all__ = ["Metrics"]

LATENCY_BUCKETS_S = (
    0.001,
    0.0025,
    0.005,
    0.01,
    0.025,
    0.05,
    0.1,
    0.25,
    0.5,
    1.0,
    2.5,
    5.0,
    10.0,
)


class Metrics:
    """The metrics of one process, in a registry of their own."""

    def __init__(self) -> None:
        self._registry = CollectorRegistry()
        self.requests = self._counter(
            "requests", "Requests by outcome.", ("service", "tenant", "outcome", "code")
        )
        self.latency = Histogram(
            "rosemarydeal_request_seconds",
            "Time from the arrival of a request to its outcome.",
            ("service", "tenant", "outcome"),
            buckets=LATENCY_BUCKETS_S,
            registry=self._registry,
        )
        self.queue_wait = Histogram(
            "rosemarydeal_queue_seconds",
            "Time that a request waits at the guard for a slot.",
            ("service", "tenant"),
            buckets=LATENCY_BUCKETS_S,
            registry=self._registry,
        )
        self.attempts = self._counter(
            "attempts",
            "Attempts sent from the entry to a guard.",
            ("service", "result"),
        )
        self.owned = self._gauge("owned_slices", "Slices that the process serves.")
        self.lease_left = self._gauge("lease_left_seconds", "Time left of the lease.")
        self.running = self._gauge(
            "running_requests", "Requests running at the upstream."
        )
        self.queued = self._gauge("queued_requests", "Requests waiting for a slot.")
        self.limit = self._gauge("admission_limit", "Requests allowed at the upstream.")
        self.config_version = self._gauge(
            "config_version", "Version of the configuration in force."
        )
        self.platform_up = self._gauge(
            "platform_reachable", "Whether the last watch of the platform succeeded."
        )
        self.right_changes = self._counter(
            "right_changes", "Slices gained and lost.", ("change",)
        )
        self.lapses = self._counter("lease_lapses", "Leases that expired.")
        self.crashes = self._counter("upstream_crashes", "Crashes of the upstream.")
        self.peer_bytes = self._gauge(
            "peer_bytes", "Bytes sent to and received from peers.", ("direction",)
        )
        self.peer_dropped = self._gauge(
            "peer_dropped_messages",
            "Peer messages dropped by this process.",
            ("reason",),
        )
        self.platform_calls = self._gauge("platform_calls", "Calls to the platform.")

    def render(self) -> bytes:
        """Returns all metrics in the text format."""
        return generate_latest(self._registry)

    def _counter(self, name: str, text: str, labels: tuple[str, ...] = ()) -> Counter:
        """Adds a counter."""
        return Counter(f"rosemarydeal_{name}", text, labels, registry=self._registry)

    def _gauge(self, name: str, text: str, labels: tuple[str, ...] = ()) -> Gauge:
        """Adds a gauge."""
        return Gauge(f"rosemarydeal_{name}", text, labels, registry=self._registry)
