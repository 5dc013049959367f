"""Builds the settings that processes use from a deployment file."""

from __future__ import annotations

from collections.abc import Iterator, Mapping

from immutables import Map

from rosemarydeal.core import Place

from .deployment import (
    DEFAULT_TENANT,
    DeploymentSettings,
    HeaderKey,
    IdempotencyRule,
    KeySource,
    QueryKey,
    Region,
    Restriction,
    SegmentKey,
    ServiceSettings,
    TenantClass,
    TenantSettings,
)
from .files import (
    DeploymentFile,
    KeyFile,
    KeySourceFile,
    ServiceBranchFile,
    ServiceFile,
    TenantsFile,
)
from .patterns import PathPattern
from .scope import WHOLE_DEPLOYMENT, Branch, Scope
from .values import SettingsBranch

__all__ = ["build_deployment"]


def build_deployment(file: DeploymentFile) -> DeploymentSettings:
    """Builds the settings of a deployment from its file.

    Args:
        file: Converted content of the file.

    Returns:
        The settings.
    """
    regions = tuple(
        Region(name, tuple(sorted(region.availability_zones)))
        for name, region in sorted(file.regions.items())
    )
    zones = tuple(zone for region in regions for zone in region.availability_zones)
    services = {
        name: _build_service(name, service, zones)
        for name, service in file.services.items()
    }
    branches = {
        branch.scope: branch for branch in _iter_branches(file) if branch.leaves
    }
    return DeploymentSettings(
        name=file.deployment,
        regions=regions,
        services=Map(services),
        tenants=_build_tenants(file.tenants),
        branches=Map(branches),
    )


def _build_service(
    name: str, file: ServiceFile, zones: tuple[str, ...]
) -> ServiceSettings:
    return ServiceSettings(
        name=name,
        port=file.port,
        key=_build_key(file.key),
        slices=file.slices,
        availability_zones=tuple(sorted(file.availability_zones)) or zones,
        idempotency=tuple(
            IdempotencyRule(rule.methods, PathPattern(rule.path), rule.idempotent)
            for rule in file.idempotency
        ),
        restrictions=tuple(
            Restriction(PathPattern(restriction.path), restriction.tenants)
            for restriction in file.restricted
        ),
    )


def _build_key(file: KeySourceFile | None) -> KeySource | None:
    """Returns where requests carry the key, or None for an unkeyed service."""
    match file:
        case KeySourceFile(header=str(header)):
            return HeaderKey(header.lower())
        case KeySourceFile(path_segment=int(segment)):
            return SegmentKey(segment)
        case KeySourceFile(query=str(query)):
            return QueryKey(query)
    return None


def _build_tenants(file: TenantsFile | None) -> TenantSettings:
    """Builds the mapping from header values to tenants."""
    if file is None:
        return TenantSettings()
    by_value = {
        value: TenantClass(name, tenant.weight)
        for name, tenant in file.classes.items()
        for value in tenant.values
    }
    default = TenantClass(DEFAULT_TENANT, file.default_weight)
    return TenantSettings(file.header.lower(), Map(by_value), default)


def _iter_branches(file: DeploymentFile) -> Iterator[Branch]:
    """Yields every branch of the settings tree."""
    yield _build_branch(file.settings, Scope())
    yield from _iter_service_branches(file.services, WHOLE_DEPLOYMENT)
    for region_name, region in file.regions.items():
        place = Place(region_name, "", "")
        yield _build_branch(region.settings, Scope(place=place))
        yield from _iter_service_branches(region.services, place)
        for zone_name, zone in region.availability_zones.items():
            place = Place(region_name, zone_name, "")
            yield _build_branch(zone.settings, Scope(place=place))
            yield from _iter_service_branches(zone.services, place)
            for upstream_name, upstream in zone.upstreams.items():
                place = Place(region_name, zone_name, upstream_name)
                yield _build_branch(upstream.settings, Scope(place=place))
                yield from _iter_service_branches(upstream.services, place)


def _iter_service_branches(
    services: Mapping[str, ServiceFile | ServiceBranchFile], place: Place
) -> Iterator[Branch]:
    """Yields the branches of services and their keys at a place."""
    for name, service in services.items():
        yield _build_branch(service.settings, Scope(name, "", place))
        yield from _iter_key_branches(service.keys, Scope(name, "", place))


def _iter_key_branches(keys: Mapping[str, KeyFile], scope: Scope) -> Iterator[Branch]:
    """Yields the branches of the keys of a service."""
    for key, key_file in keys.items():
        yield _build_branch(key_file.settings, Scope(scope.service, key, scope.place))


def _build_branch(settings: SettingsBranch, scope: Scope) -> Branch:
    return Branch(scope, settings.leaves)
