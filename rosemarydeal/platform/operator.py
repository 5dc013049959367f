"""Decodes the configuration that operators write to the store."""

from __future__ import annotations

from typing import Annotated

import msgspec

from rosemarydeal.core.decoding import (
    Count,
    Identifier,
    Malformed,
    Name,
    decode_json,
    decode_unchecked,
)
from rosemarydeal.core.fleet import (
    CallerLimits,
    Configuration,
    Route,
    Service,
    WeightedService,
)

from .errors import Unreadable

__all__ = ["ConfigurationDecoder", "decode_configuration"]

MS_PER_S = 1000.0
# Bounds far above what an operator could mean: a month, and a million a second.
MAX_DURATION_MS = 31 * 24 * 3600 * 1000
MAX_RATE = 1_000_000.0

_DurationMs = Annotated[float, msgspec.Meta(ge=0, le=MAX_DURATION_MS)]
_DurationS = Annotated[float, msgspec.Meta(ge=0, le=MAX_DURATION_MS / MS_PER_S)]
_Rate = Annotated[float, msgspec.Meta(ge=0, le=MAX_RATE)]


class _Backend(msgspec.Struct):
    """One service of a split route."""

    service: Identifier
    weight: _Rate


class _RouteBody(msgspec.Struct):
    """Content of a route; either `service` or `backends` is set."""

    hostname: Name
    path_prefix: Name
    kind: str
    timeout_ms: _DurationMs
    latency_target_ms: _DurationMs = 0.0
    priority: Count = 0
    service: Identifier = ""
    backends: list[_Backend] = []
    attempts: Count = 1


class _ServiceBody(msgspec.Struct):
    """Content of a service."""

    health_path: Identifier = "/healthz"
    max_conns: Count = 100
    cold_period_s: _DurationS = 0.0
    cold_per_s: _Rate = 0.0
    # The wire name of a keyed service is "sharded".
    sharded: bool = False
    warmup_s: _DurationS = 0.0


class _LimitsBody(msgspec.Struct):
    """Content of the callers' limits."""

    max_header_bytes: Count = 16_384
    max_body_bytes: Count = 67_108_864
    header_timeout_ms: _DurationMs = 3000
    idle_timeout_ms: _DurationMs = 15_000


class _Metadata(msgspec.Struct):
    """Metadata of an entry."""

    name: str = ""


class _Resource(msgspec.Struct):
    """One entry of the configuration's list of resources."""

    type: str
    metadata: _Metadata
    spec: msgspec.Raw


class _ConfigurationBody(msgspec.Struct):
    """A configuration as the operator wrote it, with undecoded entries."""

    version: Count
    resources: list[msgspec.Raw]


_Entry = Route | Service | CallerLimits


class ConfigurationDecoder:
    """Decodes successive configurations, whose entries are mostly the same.

    An entry is decoded again only if its text has changed, so that a new version of a
    configuration with thousands of routes does not stall the requests.
    """

    def __init__(self) -> None:
        """Creates a decoder that has not decoded a configuration yet."""
        self._entries: dict[bytes, _Entry | None] = {}

    def decode(self, body: bytes) -> Configuration:
        """Decodes the operator's configuration.

        Raises:
            Unreadable: If a field is missing, has a wrong type or is out of bounds.
        """
        try:
            decoded = decode_unchecked(body, _ConfigurationBody)
            entries = self._decode_entries(decoded.resources)
        except Malformed as error:
            raise Unreadable(f"configuration: {error.detail}") from error
        routes, services, limits = [], {}, CallerLimits()
        for entry in entries:
            match entry:
                case Route():
                    routes.append(entry)
                case Service():
                    services[entry.name] = entry
                case CallerLimits():
                    limits = entry
        return Configuration(decoded.version, tuple(routes), services, limits)

    def _decode_entries(self, resources: list[msgspec.Raw]) -> list[_Entry | None]:
        """Decodes the entries whose text is new, and keeps those of this version."""
        known, self._entries = self._entries, {}
        entries = []
        for resource in resources:
            text = bytes(resource)
            entry = known[text] if text in known else _decode_entry(text)
            self._entries[text] = entry
            entries.append(entry)
        return entries


def decode_configuration(body: bytes) -> Configuration:
    """Decodes a configuration of which no other version is known.

    Raises:
        Unreadable: If a field is missing, has a wrong type or is out of bounds.
    """
    return ConfigurationDecoder().decode(body)


def _decode_entry(text: bytes) -> _Entry | None:
    """Decodes an entry; returns None if its type is unknown."""
    resource = decode_json(text, _Resource)
    name = resource.metadata.name
    match resource.type:
        case "routes":
            return _route(name, resource.spec)
        case "services":
            return _service(name, resource.spec)
        case "limits":
            return _limits(resource.spec)
        case _:
            return None


def _route(name: str, spec: msgspec.Raw) -> Route:
    """Decodes a route."""
    body = decode_json(spec, _RouteBody)
    backends = tuple(WeightedService(b.service, b.weight) for b in body.backends)
    return Route(
        name=name,
        host=body.hostname.lower(),
        prefix=body.path_prefix,
        backends=backends or (WeightedService(body.service, 1.0),),
        idempotent=body.kind == "idempotent",
        attempts=body.attempts,
        timeout_s=body.timeout_ms / MS_PER_S,
        target_s=(body.latency_target_ms or body.timeout_ms) / MS_PER_S,
        priority=body.priority,
    )


def _service(name: str, spec: msgspec.Raw) -> Service:
    """Decodes a service."""
    body = decode_json(spec, _ServiceBody)
    return Service(
        name=name,
        health_path=body.health_path,
        max_connections=body.max_conns,
        cold_period_s=body.cold_period_s,
        cold_per_s=body.cold_per_s,
        keyed=body.sharded,
        warmup_s=body.warmup_s,
    )


def _limits(spec: msgspec.Raw) -> CallerLimits:
    """Decodes the limits of callers."""
    body = decode_json(spec, _LimitsBody)
    return CallerLimits(
        header_bytes=body.max_header_bytes,
        body_bytes=body.max_body_bytes,
        header_time_s=body.header_timeout_ms / MS_PER_S,
        idle_time_s=body.idle_timeout_ms / MS_PER_S,
    )
