"""Defines the shape of a deployment file as its authors write it.

The inheritance tree has a branch for each place; below each place stand
branches for services, and below each service branches for keys.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Annotated

from immutables import Map
from msgspec import Meta

from .values import HeaderName, Name, PathText, Port, SettingsBranch

__all__ = [
    "DeploymentFile",
    "KeyFile",
    "KeySourceFile",
    "RegionFile",
    "RestrictionFile",
    "RuleFile",
    "ServiceBranchFile",
    "ServiceFile",
    "TenantFile",
    "TenantsFile",
    "UpstreamFile",
    "ZoneFile",
]

KeyText = Annotated[str, Meta(min_length=1)]
Method = Annotated[str, Meta(pattern=r"^[A-Z]+$")]


@dataclass(frozen=True, slots=True)
class KeyFile:
    """Describes the branch of one key."""

    settings: SettingsBranch = SettingsBranch()


@dataclass(frozen=True, slots=True)
class ServiceBranchFile:
    """Describes the branch of a service below a place."""

    settings: SettingsBranch = SettingsBranch()
    keys: Mapping[KeyText, KeyFile] = field(default_factory=Map)


@dataclass(frozen=True, slots=True)
class UpstreamFile:
    """Describes the branch of one upstream."""

    settings: SettingsBranch = SettingsBranch()
    services: Mapping[Name, ServiceBranchFile] = field(default_factory=Map)


@dataclass(frozen=True, slots=True)
class ZoneFile:
    """Describes an availability zone and its branch."""

    settings: SettingsBranch = SettingsBranch()
    services: Mapping[Name, ServiceBranchFile] = field(default_factory=Map)
    upstreams: Mapping[Name, UpstreamFile] = field(default_factory=Map)


@dataclass(frozen=True, slots=True)
class RegionFile:
    """Describes a region, its availability zones and its branch."""

    availability_zones: Mapping[Name, ZoneFile]
    settings: SettingsBranch = SettingsBranch()
    services: Mapping[Name, ServiceBranchFile] = field(default_factory=Map)


@dataclass(frozen=True, slots=True)
class KeySourceFile:
    """Says where a request carries its key; exactly one must be given."""

    header: HeaderName | None = None
    path_segment: Annotated[int, Meta(ge=0, le=100)] | None = None
    query: Annotated[str, Meta(min_length=1)] | None = None


@dataclass(frozen=True, slots=True)
class RuleFile:
    """Says which requests are idempotent; the first match decides."""

    methods: tuple[Method, ...]
    path: PathText
    idempotent: bool = True


@dataclass(frozen=True, slots=True)
class RestrictionFile:
    """Keeps paths for some tenants."""

    path: PathText
    tenants: tuple[Name, ...]


@dataclass(frozen=True, slots=True)
class ServiceFile:
    """Describes a service and its branch.

    Attributes:
        port: Port at which every process takes the service's requests.
        key: Where requests carry their key; the service is unkeyed without.
        slices: Number of slices of the key space; never changed later.
        availability_zones: Where upstreams are expected; anywhere if empty.
        idempotency: Rules, the first that matches decides.
        restricted: Paths that only some tenants may use.
        settings: Inherited settings for the service everywhere.
        keys: Branches of single keys.
    """

    port: Port
    key: KeySourceFile | None = None
    slices: Annotated[int, Meta(ge=1, le=65_536)] = 256
    availability_zones: tuple[Name, ...] = ()
    idempotency: tuple[RuleFile, ...] = ()
    restricted: tuple[RestrictionFile, ...] = ()
    settings: SettingsBranch = SettingsBranch()
    keys: Mapping[KeyText, KeyFile] = field(default_factory=Map)


@dataclass(frozen=True, slots=True)
class TenantFile:
    """Describes one tenant: the header values it sends and its share."""

    values: tuple[Annotated[str, Meta(min_length=1)], ...]
    weight: Annotated[float, Meta(gt=0, le=1000)] = 1.0


@dataclass(frozen=True, slots=True)
class TenantsFile:
    """Describes how tenants are recognised."""

    header: HeaderName
    classes: Mapping[Name, TenantFile]
    default_weight: Annotated[float, Meta(gt=0, le=1000)] = 1.0


@dataclass(frozen=True, slots=True)
class DeploymentFile:
    """Describes a deployment: the root of the tree of settings."""

    deployment: Name
    regions: Mapping[Name, RegionFile]
    services: Mapping[Name, ServiceFile]
    settings: SettingsBranch = SettingsBranch()
    tenants: TenantsFile | None = None
