"""Finds the route of a request and splits its requests over services.

Load pattern: routes split by weight, with few requests at each of many processes.
A low-discrepancy sequence with a random offset keeps the shares accurate from the
first requests on, both per process and across all processes.
"""

from __future__ import annotations

from dataclasses import dataclass

from rosemarydeal.core.fleet import Configuration, Route

__all__ = ["RouteIndex", "choose_service"]

# Multiples of the golden ratio, modulo 1, are spread evenly over [0, 1).
GOLDEN_STEP = 0.618033988749895


@dataclass(frozen=True, slots=True)
class HostRoutes:
    """Routes of one host.

    Attributes:
        by_prefix: Routes by the prefix of their paths.
        lengths: Lengths of the prefixes, the longest first.
    """

    by_prefix: dict[str, Route]
    lengths: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class RouteIndex:
    """Routes by host and prefix.

    A request costs a step for each length of the host's prefixes, not for each of its
    routes, of which there may be thousands.
    """

    by_host: dict[str, HostRoutes]

    @classmethod
    def of(cls, configuration: Configuration) -> RouteIndex:
        """Builds the index of a configuration's routes.

        The first of several routes with the same host and prefix counts.
        """
        by_host: dict[str, dict[str, Route]] = {}
        for route in configuration.routes:
            by_host.setdefault(route.host, {}).setdefault(route.prefix, route)
        return cls(
            {
                host: HostRoutes(
                    by_prefix, tuple(sorted(set(map(len, by_prefix)), reverse=True))
                )
                for host, by_prefix in by_host.items()
            }
        )

    def find(self, host: str, target: bytes) -> Route | None:
        """Returns the route with the longest prefix of the target's path, or None."""
        routes = self.by_host.get(host)
        if routes is None:
            return None
        path = target.partition(b"?")[0].decode("ascii", "replace")
        for length in routes.lengths:
            route = routes.by_prefix.get(path[:length])
            if route is not None:
                return route
        return None


def choose_service(route: Route, offset: float, index: int) -> str:
    """Returns the service that the next request of a route goes to.

    Args:
        route: The route.
        offset: Random number from 0 to 1, constant per process.
        index: Number of earlier requests of the route at this process.
    """
    total = sum(backend.weight for backend in route.backends)
    point = ((offset + index * GOLDEN_STEP) % 1.0) * total
    for backend in route.backends:
        point -= backend.weight
        if point < 0:
            return backend.service
    return route.backends[-1].service
