"""Counters, gauges and latency histograms of the process."""

from __future__ import annotations

from collections.abc import Mapping

from prometheus_client import (
    CollectorRegistry,
    Counter,
    Gauge,
    Histogram,
    generate_latest,
)

from rosemarydeal.platform.store import StoreCall

__all__ = ["Metrics"]

BUCKETS_S = (0.01, 0.03, 0.1, 0.2, 0.4, 0.6, 0.8, 1.2, 2.0, 3.0, 6.0)


class Metrics:
    """Metrics of one process."""

    def __init__(self) -> None:
        self._registry = CollectorRegistry()
        self._requests = Counter(
            "rosemarydeal_requests",
            "Callers' requests by outcome.",
            ("service", "route", "outcome", "code"),
            registry=self._registry,
        )
        self._latency = Histogram(
            "rosemarydeal_request_seconds",
            "Time from the arrival of a request to its outcome.",
            ("service", "route", "outcome"),
            buckets=BUCKETS_S,
            registry=self._registry,
        )
        self._dispatches = Counter(
            "rosemarydeal_dispatches",
            "Requests dispatched to the upstream of this VM by outcome.",
            ("service", "outcome", "code"),
            registry=self._registry,
        )
        self._dispatch_latency = Histogram(
            "rosemarydeal_dispatch_seconds",
            "Run time of requests at the upstream of this VM.",
            ("service", "outcome"),
            buckets=BUCKETS_S,
            registry=self._registry,
        )
        self._store_calls = Gauge(
            "rosemarydeal_store_calls",
            "Calls to the platform's store since the start, by operation and kind.",
            ("operation", "kind"),
            registry=self._registry,
        )
        self._messages = Gauge(
            "rosemarydeal_peer_messages_sent",
            "Messages sent to other processes since the start, by type.",
            ("type",),
            registry=self._registry,
        )
        self._gauges: dict[str, Gauge] = {}

    def count_request(
        self, service: str, route: str, outcome: str, code: str, seconds: float
    ) -> None:
        """Counts the outcome of a caller's request."""
        self._requests.labels(service, route, outcome, code).inc()
        self._latency.labels(service, route, outcome).observe(seconds)

    def count_dispatch(
        self, service: str, outcome: str, code: str, seconds: float
    ) -> None:
        """Counts the outcome of a request dispatched to the upstream."""
        self._dispatches.labels(service, outcome, code).inc()
        self._dispatch_latency.labels(service, outcome).observe(seconds)

    def count_store_calls(self, calls: Mapping[StoreCall, int]) -> None:
        """Sets the counts of store calls, by operation and kind."""
        for call, count in calls.items():
            self._store_calls.labels(call.operation, call.kind).set(count)

    def count_messages(self, sent: Mapping[str, int], sent_bytes: int) -> None:
        """Sets the counts of messages sent to peers by type, and of their bytes."""
        for message_type, count in sent.items():
            self._messages.labels(message_type).set(count)
        self.set_gauge("peer_bytes_sent", sent_bytes)

    def set_gauge(self, name: str, value: float) -> None:
        """Sets a gauge, which is created on first use."""
        gauge = self._gauges.get(name)
        if gauge is None:
            full = f"rosemarydeal_{name}"
            gauge = Gauge(full, name.replace("_", " "), registry=self._registry)
            self._gauges[name] = gauge
        gauge.set(value)

    def render(self) -> bytes:
        """Returns all metrics in the Prometheus text format."""
        return generate_latest(self._registry)
