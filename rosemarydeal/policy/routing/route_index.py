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
class RouteIndex:
    """Routes by host, sorted by descending length of prefix."""

    by_host: dict[str, tuple[Route, ...]]

    @classmethod
    def of(cls, configuration: Configuration) -> RouteIndex:
        """Builds the index of a configuration's routes."""
        by_host: dict[str, list[Route]] = {}
        for route in configuration.routes:
            by_host.setdefault(route.host, []).append(route)
        for routes in by_host.values():
            routes.sort(key=lambda route: -len(route.prefix))
        return cls({host: tuple(routes) for host, routes in by_host.items()})

    def find(self, host: str, target: bytes) -> Route | None:
        """Returns the route with the longest prefix of the target's path, or None."""
        path = target.partition(b"?")[0].decode("ascii", "replace")
        for route in self.by_host.get(host, ()):
            if path.startswith(route.prefix):
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
