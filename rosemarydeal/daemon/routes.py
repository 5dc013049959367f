"""Serves the routing table of a service to the caller library.

The table is built from the cached objects of this process and may be stale. A
caller that uses a stale route is rejected or its request is forwarded, and it
fetches the table again.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from urllib.parse import parse_qs

from rosemarydeal.core import Address, NotRun
from rosemarydeal.core.routes import (
    ROUTES_PATH,
    RoutesReply,
    RouteTable,
    build_routes,
    encode_routes,
)
from rosemarydeal.policy.ownership import OwnershipState
from rosemarydeal.proxy import Request, Response, bytes_response, refusal_response
from rosemarydeal.settings import ServiceSettings

from .classify import key_rule

__all__ = ["RoutesView", "is_routes_request", "routing_table", "table_version"]

JSON_TYPE = ((b"content-type", b"application/json"),)
MAX_VERSION_DIGITS = 18


@dataclass(frozen=True, slots=True)
class _CachedTable:
    """An encoded table, with the settings and the version it was built from."""

    service: ServiceSettings
    version: int
    encoded: bytes


def is_routes_request(request: Request) -> bool:
    """Returns whether a request is for the routing table."""
    return request.target.partition(b"?")[0] == ROUTES_PATH.encode("ascii")


def table_version(state: OwnershipState, service: str) -> int:
    """Returns a number that increases with each change of a service's objects.

    Args:
        state: State of the ownership policy.
        service: The service.
    """
    chunks = [v.version for (name, _), v in state.chunks.items() if name == service]
    if chunks:
        return sum(chunks)
    members = state.members.values()
    return sum(item.version for item in members if item.member.service == service)


def routing_table(state: OwnershipState, service: ServiceSettings) -> RouteTable:
    """Builds the routing table of a service.

    Args:
        state: State of the ownership policy.
        service: Settings of the service.

    Returns:
        The table of the members and rows in the state.
    """
    entries = {
        node: Address(record.member.entry_host, service.port)
        for node, record in state.members.items()
        if record.member.service == service.name
    }
    rows = [
        row
        for name, row in state.rows.items()
        if name.service == service.name and name.index < service.slices
    ]
    return build_routes(
        service.name,
        table_version(state, service.name),
        service.slices if service.keyed else 0,
        key_rule(service.key) if service.key is not None else None,
        entries,
        rows if service.keyed else [],
    )


class RoutesView:
    """Answers requests for routing tables, with a cache of the encoded tables."""

    def __init__(self, state: Callable[[], OwnershipState | None]) -> None:
        """Creates a view without cached tables.

        Args:
            state: Returns the state of the ownership policy, None before its start.
        """
        self._state = state
        self._cache: dict[str, _CachedTable] = {}

    def respond(self, service: ServiceSettings, request: Request) -> Response:
        """Answers one request for the routing table.

        Args:
            service: Service whose port received the request.
            request: The request, which may contain the caller's version.

        Returns:
            The table, or only its version if the caller already has it.
        """
        query = parse_qs(request.target.partition(b"?")[2].decode("latin-1"))
        if query.get("service", [service.name]) != [service.name]:
            return refusal_response(NotRun("service-unknown"))
        state = self._state()
        if state is None:
            return refusal_response(
                NotRun("no-owner", "The routing table is not available yet.", 1.0)
            )
        version = table_version(state, service.name)
        if _parse_version(query.get("after", [""])[0]) == version:
            reply = encode_routes(RoutesReply(version))
            return bytes_response(200, reply, JSON_TYPE)
        return bytes_response(200, self._table(state, service, version), JSON_TYPE)

    def _table(
        self, state: OwnershipState, service: ServiceSettings, version: int
    ) -> bytes:
        """Returns the encoded table, from the cache if it is current."""
        cached = self._cache.get(service.name)
        if cached is None or cached.version != version or cached.service != service:
            table = routing_table(state, service)
            reply = encode_routes(RoutesReply(version, table))
            cached = self._cache[service.name] = _CachedTable(service, version, reply)
        return cached.encoded


def _parse_version(text: str) -> int:
    """Returns the caller's version, -1 if it is missing or malformed."""
    return int(text) if text.isdigit() and len(text) <= MAX_VERSION_DIGITS else -1
