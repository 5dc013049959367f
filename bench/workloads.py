"""Sizes of the two example deployments, and key distributions."""

from __future__ import annotations

import itertools
import random
from dataclasses import dataclass

from .upstreams import UpstreamSpec

__all__ = ["WORKLOADS", "HotKeys", "ServiceSpec", "Workload", "ZipfKeys"]

SERVICE_MEAN_S = 0.050
COLD_S = 10.0


@dataclass(frozen=True, slots=True)
class ServiceSpec:
    """Parameters of one service.

    Attributes:
        name: Name of the service.
        upstreams: Number of upstreams.
        spec: Parameters of each upstream.
        mean_service_s: Mean of the exponential service time, in seconds.
        keyed: Whether each key has an owner.
    """

    name: str
    upstreams: int
    spec: UpstreamSpec
    mean_service_s: float
    keyed: bool

    @property
    def capacity(self) -> float:
        """Returns the capacity of all upstreams, in requests per second."""
        return self.upstreams * self.spec.slots / self.mean_service_s


@dataclass(frozen=True, slots=True)
class Workload:
    """Parameters of one deployment.

    Attributes:
        name: Name of the deployment.
        region: Its region.
        availability_zones: Its availability zones.
        between_zones_s: One-way latency between availability zones.
        to_clients_s: One-way latency to callers.
        keyed: Its keyed service.
        unkeyed: Its unkeyed service.
    """

    name: str
    region: str
    availability_zones: tuple[str, ...]
    between_zones_s: float
    to_clients_s: float
    keyed: ServiceSpec
    unkeyed: ServiceSpec


def _services(
    keyed: str, keyed_count: int, unkeyed: str, unkeyed_count: int, spec: UpstreamSpec
) -> tuple[ServiceSpec, ServiceSpec]:
    return (
        ServiceSpec(keyed, keyed_count, spec, SERVICE_MEAN_S, True),
        ServiceSpec(unkeyed, unkeyed_count, spec, SERVICE_MEAN_S, False),
    )


VESTFJELL = Workload(
    "vestfjell",
    "vestland",
    ("bergen-a", "voss-b", "forde-c"),
    0.0005,
    0.003,
    *_services("benkeportal", 5, "lagerbok", 4, UpstreamSpec(20, 110, COLD_S)),
)
FREMANTLE = Workload(
    "fremantle",
    "wa-perth",
    ("perth-a", "perth-b", "perth-c"),
    0.0015,
    0.001,
    *_services("box-office", 6, "show-schedule", 4, UpstreamSpec(12, 80, COLD_S)),
)
WORKLOADS = (VESTFJELL, FREMANTLE)


class ZipfKeys:
    """Zipf distribution of key numbers: key k has weight 1/(k+1)^s."""

    def __init__(self, count: int, exponent: float) -> None:
        self.count = count
        weights = [(rank + 1) ** -exponent for rank in range(count)]
        self._cumulative = list(itertools.accumulate(weights))
        self._ranks = range(count)

    def draw(self, source: random.Random) -> int:
        """Draws a key number; 0 is the most frequent."""
        return source.choices(self._ranks, cum_weights=self._cumulative)[0]


class HotKeys:
    """Distribution of key numbers with a small hot set that can be replaced.

    A share of the draws goes to the hot keys by a Zipf distribution; the rest is
    uniform over all keys.
    """

    def __init__(self, count: int, hot: int, hot_share: float, exponent: float) -> None:
        self.count = count
        self._hot = ZipfKeys(hot, exponent)
        self._hot_share = hot_share
        self._keys = tuple(range(hot))

    @property
    def hot_keys(self) -> tuple[int, ...]:
        """Returns the current hot keys, hottest first."""
        return self._keys

    def move(self, source: random.Random) -> None:
        """Replaces the hot set by a random one."""
        self._keys = tuple(source.sample(range(self.count), self._hot.count))

    def draw(self, source: random.Random) -> int:
        """Draws a key number."""
        if source.random() < self._hot_share:
            return self._keys[self._hot.draw(source)]
        return source.randrange(self.count)
