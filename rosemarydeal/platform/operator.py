"""Decodes the configuration that operators write to the store."""

from __future__ import annotations

import msgspec

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


class _Backend(msgspec.Struct):
    """One service of a split route."""

    service: str
    weight: float


class _RouteBody(msgspec.Struct):
    """Content of a route; either `service` or `backends` is set."""

    hostname: str
    path_prefix: str
    kind: str
    timeout_ms: float
    latency_target_ms: float = 0.0
    priority: int = 0
    service: str = ""
    backends: list[_Backend] = []
    attempts: int = 1


class _ServiceBody(msgspec.Struct):
    """Content of a service."""

    health_path: str = "/healthz"
    max_conns: int = 100
    cold_period_s: float = 0.0
    cold_per_s: float = 0.0
    # The wire name of a keyed service is "sharded".
    sharded: bool = False
    warmup_s: float = 0.0


class _LimitsBody(msgspec.Struct):
    """Content of the callers' limits."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 67_108_864
    header_timeout_ms: float = 3000
    idle_timeout_ms: float = 15_000


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

    version: int
    resources: list[_Resource]


def decode_configuration(body: bytes) -> Configuration:
    """Decodes the operator's configuration.

    Raises:
        Unreadable: If a field is missing or has a wrong type.
    """
    try:
        configuration = msgspec.json.decode(body, type=_ConfigurationBody)
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
    except msgspec.MsgspecError as error:
        raise Unreadable(f"configuration: {error}") from error
    return Configuration(configuration.version, tuple(routes), services, limits)


def _route(name: str, spec: msgspec.Raw) -> Route:
    """Decodes a route."""
    body = msgspec.json.decode(spec, type=_RouteBody)
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
    body = msgspec.json.decode(spec, type=_ServiceBody)
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
    body = msgspec.json.decode(spec, type=_LimitsBody)
    return CallerLimits(
        header_bytes=body.max_header_bytes,
        body_bytes=body.max_body_bytes,
        header_time_s=body.header_timeout_ms / MS_PER_S,
        idle_time_s=body.idle_timeout_ms / MS_PER_S,
    )
