"""Format of deployment files.

The inheritance tree has a branch for each place, below each place branches for
services, and below each service branches for keys.
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
    """The branch of one key."""

    settings: SettingsBranch = SettingsBranch()


@dataclass(frozen=True, slots=True)
class ServiceBranchFile:
    """The branch of a service at a place."""

    settings: SettingsBranch = SettingsBranch()
    keys: Mapping[KeyText, KeyFile] = field(default_factory=Map)


@dataclass(frozen=True, slots=True)
class UpstreamFile:
    """The branch of one upstream."""

    settings: SettingsBranch = SettingsBranch()
    services: Mapping[Name, ServiceBranchFile] = field(default_factory=Map)


@dataclass(frozen=True, slots=True)
class ZoneFile:
    """An availability zone and its branch."""

    settings: SettingsBranch = SettingsBranch()
    services: Mapping[Name, ServiceBranchFile] = field(default_factory=Map)
    upstreams: Mapping[Name, UpstreamFile] = field(default_factory=Map)


@dataclass(frozen=True, slots=True)
class RegionFile:
    """A region, its availability zones and its branch."""

    availability_zones: Mapping[Name, ZoneFile]
    settings: SettingsBranch = SettingsBranch()
    services: Mapping[Name, ServiceBranchFile] = field(default_factory=Map)


@dataclass(frozen=True, slots=True)
class KeySourceFile:
    """Source of the key in a request; exactly one must be set."""

    header: HeaderName | None = None
    path_segment: Annotated[int, Meta(ge=0, le=100)] | None = None
    query: Annotated[str, Meta(min_length=1)] | None = None


@dataclass(frozen=True, slots=True)
class RuleFile:
    """A rule that declares requests idempotent or not; the first match decides."""

    methods: tuple[Method, ...]
    path: PathText
    idempotent: bool = True


@dataclass(frozen=True, slots=True)
class RestrictionFile:
    """A restriction of paths to some tenants."""

    path: PathText
    tenants: tuple[Name, ...]


@dataclass(frozen=True, slots=True)
class ServiceFile:
    """A service and its branch.

    Attributes:
        port: Port on which every process accepts the service's requests.
        key: Where requests carry their key; without it, the service is unkeyed.
        slices: Number of slices of the key space; must not change later.
        availability_zones: Zones where upstreams are expected; all if empty.
        idempotency: Rules in order; the first match decides.
        restricted: Paths that only some tenants may use.
        settings: Inherited settings of the service in every place.
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
    """A tenant: the header values that identify it and its weight."""

    values: tuple[Annotated[str, Meta(min_length=1)], ...]
    weight: Annotated[float, Meta(gt=0, le=1000)] = 1.0


@dataclass(frozen=True, slots=True)
class TenantsFile:
    """Header and values that identify tenants."""

    header: HeaderName
    classes: Mapping[Name, TenantFile]
    default_weight: Annotated[float, Meta(gt=0, le=1000)] = 1.0


@dataclass(frozen=True, slots=True)
class DeploymentFile:
    """A deployment, the root of the settings tree."""

    deployment: Name
    regions: Mapping[Name, RegionFile]
    services: Mapping[Name, ServiceFile]
    settings: SettingsBranch = SettingsBranch()
    tenants: TenantsFile | None = None
