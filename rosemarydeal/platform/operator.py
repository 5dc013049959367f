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
)
from rosemarydeal.core.fleet import (
    CallerLimits,
    Configuration,
    Route,
    Service,
    WeightedService,
)

from .errors import Unreadable

__all__ = ["decode_configuration"]

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
    """A configuration as the operator wrote it."""

    version: Count
    resources: list[_Resource]


def decode_configuration(body: bytes) -> Configuration:
    """Decodes the operator's configuration.

    Raises:
        Unreadable: If a field is missing, has a wrong type or is out of bounds.
    """
    try:
        configuration = decode_json(body, _ConfigurationBody)
        routes, services, limits = [], {}, CallerLimits()
        for resource in configuration.resources:
            name = resource.metadata.name
            match resource.type:
                case "routes":
                    routes.append(_route(name, resource.spec))
                case "services":
                    services[name] = _service(name, resource.spec)
                case "limits":
                    limits = _limits(resource.spec)
    except Malformed as error:
        raise Unreadable(f"configuration: {error.detail}") from error
    return Configuration(configuration.version, tuple(routes), services, limits)


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
