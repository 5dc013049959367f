"""States the two deployments' sizes, arrivals and distributions of keys."""

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
    """Describes one service.

    Attributes:
        name: Name of the service.
        upstreams: How many upstreams serve it.
        spec: What each of them is like.
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
        """Returns the requests per second that all upstreams bear."""
        return self.upstreams * self.spec.slots / self.mean_service_s


@dataclass(frozen=True, slots=True)
class Workload:
    """Describes one deployment.

    Attributes:
        name: Name of the deployment.
        region: Its region.
        availability_zones: Its availability zones.
        between_zones_s: One-way latency between availability zones.
        to_clients_s: One-way latency to clients.
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
    """Draws key numbers by a Zipf distribution: key k has weight 1/(k+1)^s."""

    def __init__(self, count: int, exponent: float) -> None:
        self.count = count
        weights = [(rank + 1) ** -exponent for rank in range(count)]
        self._cumulative = list(itertools.accumulate(weights))
        self._ranks = range(count)

    def draw(self, source: random.Random) -> int:
        """Returns a key number; 0 is the most frequent."""
        return source.choices(self._ranks, cum_weights=self._cumulative)[0]


class HotKeys:
    """Draws keys of which a small set is hot; the set moves.

    A share of the draws goes to the hot keys by a Zipf distribution, the rest
    evenly to all keys.
    """

    def __init__(self, count: int, hot: int, hot_share: float, exponent: float) -> None:
        self.count = count
        self._hot = ZipfKeys(hot, exponent)
        self._hot_share = hot_share
        self._keys = tuple(range(hot))

    @property
    def hot_keys(self) -> tuple[int, ...]:
        """Returns the keys that are hot now, hottest first."""
        return self._keys

    def move(self, source: random.Random) -> None:
        """Makes other keys hot."""
        self._keys = tuple(source.sample(range(self.count), self._hot.count))

    def draw(self, source: random.Random) -> int:
        """Returns a key number."""
        if source.random() < self._hot_share:
            return self._keys[self._hot.draw(source)]
        return source.randrange(self.count)
