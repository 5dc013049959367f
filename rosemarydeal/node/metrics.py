"""Counters, gauges and latency histograms of the process.

Values are counted in plain dictionaries and converted when the page is read: the
library that renders the page takes a tenth of a process's start to import.
"""

from __future__ import annotations

from bisect import bisect_left
from collections import Counter
from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from rosemarydeal.platform.store import StoreCall

if TYPE_CHECKING:
    from prometheus_client.core import Metric

__all__ = ["Metrics"]

BUCKETS_S = (0.01, 0.03, 0.1, 0.2, 0.4, 0.6, 0.8, 1.2, 2.0, 3.0, 6.0)


@dataclass(slots=True)
class _Latencies:
    """Latencies of one set of labels.

    Attributes:
        counts: Number of latencies in each bucket, and above the last one.
        total_s: Their sum, in seconds.
    """

    counts: list[int] = field(default_factory=lambda: [0] * (len(BUCKETS_S) + 1))
    total_s: float = 0.0

    def observe(self, seconds: float) -> None:
        """Adds a latency."""
        self.counts[bisect_left(BUCKETS_S, seconds)] += 1
        self.total_s += seconds

    def cumulative(self) -> list[tuple[str, float]]:
        """Returns the upper bound of each bucket, with the latencies up to it."""
        bounds = [*map(str, BUCKETS_S), "+Inf"]
        count = 0
        buckets = []
        for bound, latencies in zip(bounds, self.counts, strict=True):
            count += latencies
            buckets.append((bound, float(count)))
        return buckets


class Metrics:
    """Metrics of one process."""

    def __init__(self) -> None:
        self._requests: Counter[tuple[str, ...]] = Counter()
        self._latency: dict[tuple[str, ...], _Latencies] = {}
        self._dispatches: Counter[tuple[str, ...]] = Counter()
        self._dispatch_latency: dict[tuple[str, ...], _Latencies] = {}
        self._store_calls: Mapping[StoreCall, int] = {}
        self._rejected_objects: Mapping[str, int] = {}
        self._task_failures: Mapping[str, int] = {}
        self._leaked_slots = 0
        self._messages: Mapping[str, int] = {}
        self._gauges: dict[str, float] = {}

    def count_request(
        self, service: str, route: str, outcome: str, code: str, seconds: float
    ) -> None:
        """Counts the outcome of a caller's request."""
        self._requests[service, route, outcome, code] += 1
        _observe(self._latency, (service, route, outcome), seconds)

    def count_dispatch(
        self, service: str, outcome: str, code: str, seconds: float
    ) -> None:
        """Counts the outcome of a request dispatched to the upstream."""
        self._dispatches[service, outcome, code] += 1
        _observe(self._dispatch_latency, (service, outcome), seconds)

    def count_store_calls(self, calls: Mapping[StoreCall, int]) -> None:
        """Sets the counts of store calls, by operation and kind."""
        self._store_calls = calls

    def count_rejected_objects(self, counts: Mapping[str, int]) -> None:
        """Sets the counts of malformed objects of the store, by kind."""
        self._rejected_objects = counts

    def count_task_failures(self, counts: Mapping[str, int]) -> None:
        """Sets the counts of tasks that failed unexpectedly, by task."""
        self._task_failures = counts

    def count_leaked_slots(self, count: int) -> None:
        """Sets how many slots without a task were found."""
        self._leaked_slots = count

    def count_messages(self, sent: Mapping[str, int], sent_bytes: int) -> None:
        """Sets the counts of messages sent to peers by type, and of their bytes."""
        self._messages = sent
        self.set_gauge("peer_bytes_sent", sent_bytes)

    def set_gauge(self, name: str, value: float) -> None:
        """Sets a gauge, which is created on first use."""
        self._gauges[name] = value

    def render(self) -> bytes:
        """Returns all metrics in the Prometheus text format."""
        from prometheus_client import CollectorRegistry, generate_latest

        registry = CollectorRegistry()
        registry.register(self)
        return generate_latest(registry)

    def collect(self) -> Iterator[Metric]:
        """Yields all metrics, as the registry's collector."""
        from prometheus_client.core import GaugeMetricFamily

        yield _counter(
            "rosemarydeal_requests",
            "Callers' requests by outcome.",
            ("service", "route", "outcome", "code"),
            self._requests,
        )
        yield _histogram(
            "rosemarydeal_request_seconds",
            "Time from the arrival of a request to its outcome.",
            ("service", "route", "outcome"),
            self._latency,
        )
        yield _counter(
            "rosemarydeal_dispatches",
            "Requests dispatched to the upstream of this VM by outcome.",
            ("service", "outcome", "code"),
            self._dispatches,
        )
        yield _histogram(
            "rosemarydeal_dispatch_seconds",
            "Run time of requests at the upstream of this VM.",
            ("service", "outcome"),
            self._dispatch_latency,
        )
        calls = {(c.operation, c.kind): n for c, n in self._store_calls.items()}
        yield _counter(
            "rosemarydeal_store_calls",
            "Calls to the platform's store, by operation and kind.",
            ("operation", "kind"),
            calls,
        )
        yield _counter(
            "rosemarydeal_objects_rejected",
            "Malformed objects of the platform's store, by kind.",
            ("kind",),
            {(kind,): n for kind, n in self._rejected_objects.items()},
        )
        yield _counter(
            "rosemarydeal_task_failures",
            "Unexpected errors of the process's tasks, by task.",
            ("task",),
            {(task,): n for task, n in self._task_failures.items()},
        )
        yield _counter(
            "rosemarydeal_slots_leaked",
            "Slots of the upstream that no task held, and that were given back.",
            (),
            {(): self._leaked_slots},
        )
        yield _counter(
            "rosemarydeal_peer_messages_sent",
            "Messages sent to other processes, by type.",
            ("type",),
            {(message_type,): n for message_type, n in self._messages.items()},
        )
        for name, value in self._gauges.items():
            text = name.replace("_", " ")
            yield GaugeMetricFamily(f"rosemarydeal_{name}", text, value=value)


def _observe(
    latencies: dict[tuple[str, ...], _Latencies],
    labels: tuple[str, ...],
    seconds: float,
) -> None:
    """Adds a latency to the histogram of a set of labels."""
    entry = latencies.get(labels)
    if entry is None:
        entry = latencies[labels] = _Latencies()
    entry.observe(seconds)


def _counter(
    name: str,
    text: str,
    labels: tuple[str, ...],
    counts: Mapping[tuple[str, ...], int],
) -> Metric:
    """Returns a counter with one sample for each set of label values."""
    from prometheus_client.core import CounterMetricFamily

    family = CounterMetricFamily(name, text, labels=labels)
    for values, count in counts.items():
        family.add_metric(values, count)
    return family


def _histogram(
    name: str,
    text: str,
    labels: tuple[str, ...],
    latencies: Mapping[tuple[str, ...], _Latencies],
) -> Metric:
    """Returns a histogram with one series for each set of label values."""
    from prometheus_client.core import HistogramMetricFamily

    family = HistogramMetricFamily(name, text, labels=labels)
    for values, entry in latencies.items():
        family.add_metric(values, entry.cumulative(), entry.total_s)
    return family
