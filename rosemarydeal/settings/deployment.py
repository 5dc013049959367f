"""Settings of a deployment, as the processes use them."""

from __future__ import annotations

from dataclasses import dataclass, field, replace

from immutables import Map

from rosemarydeal.core import Place

from .leaves import Effective
from .patterns import PathPattern, canonical_path, is_canonical
from .scope import Branch, Scope, matching_scopes
from .values import Leaf

__all__ = [
    "DEFAULT_TENANT",
    "DeploymentSettings",
    "ExplainedSetting",
    "HeaderKey",
    "IdempotencyRule",
    "KeySource",
    "QueryKey",
    "Region",
    "Restriction",
    "SegmentKey",
    "ServiceSettings",
    "TenantClass",
    "TenantSettings",
    "effective_settings",
    "explain_settings",
]

DEFAULT_TENANT = "other"


@dataclass(frozen=True, slots=True)
class HeaderKey:
    """Source of the key: a request header."""

    header: str


@dataclass(frozen=True, slots=True)
class SegmentKey:
    """Source of the key: a segment of the path, counted from 0."""

    path_segment: int


@dataclass(frozen=True, slots=True)
class QueryKey:
    """Source of the key: a query parameter."""

    query: str


KeySource = HeaderKey | SegmentKey | QueryKey


@dataclass(frozen=True, slots=True)
class IdempotencyRule:
    """A rule that declares requests idempotent or not, by method and path."""

    methods: tuple[str, ...]
    path: PathPattern
    idempotent: bool = True


@dataclass(frozen=True, slots=True)
class Restriction:
    """A restriction of the paths of a pattern to some tenants."""

    path: PathPattern
    tenants: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class ServiceSettings:
    """Settings of a service that are the same in every place.

    Attributes:
        name: Name of the service.
        port: Port on which every process accepts the service's requests.
        key: Where requests carry their key, None for an unkeyed service.
        slices: Number of slices of the key space.
        availability_zones: Availability zones where upstreams are expected.
        idempotency: Rules in order; the first match decides.
        restrictions: Paths that only some tenants may use.
    """

    name: str
    port: int
    key: KeySource | None
    slices: int
    availability_zones: tuple[str, ...]
    idempotency: tuple[IdempotencyRule, ...] = ()
    restrictions: tuple[Restriction, ...] = ()

    @property
    def keyed(self) -> bool:
        """Returns whether each key has one owner."""
        return self.key is not None

    def is_idempotent(self, method: str, target: str) -> bool:
        """Returns whether a request may run more than once.

        Args:
            method: Method of the request.
            target: Target of the request; a non-canonical path never matches.

        Returns:
            The value of the first matching rule, False if no rule matches.
        """
        path = canonical_path(target)
        if not is_canonical(target):
            return False
        for rule in self.idempotency:
            if method in rule.methods and rule.path.matches(path):
                return rule.idempotent
        return False

    def admits(self, tenant: str, target: str) -> bool:
        """Returns whether a tenant may use a path.

        Args:
            tenant: Name of the tenant's class.
            target: Target of the request; its path need not be canonical.

        Returns:
            False if a restriction covers the path and excludes the tenant.
        """
        path = canonical_path(target)
        matching = (
            restriction
            for restriction in self.restrictions
            if restriction.path.matches(path)
        )
        return all(tenant in restriction.tenants for restriction in matching)


@dataclass(frozen=True, slots=True)
class TenantClass:
    """A tenant and its weight when upstreams are contended."""

    name: str
    weight: float = 1.0


@dataclass(frozen=True, slots=True)
class TenantSettings:
    """Header and values that identify tenants.

    Attributes:
        header: Request header that names the tenant, in lower case.
        by_value: Tenant of each known header value.
        default: Tenant of callers that send no header value or an unknown one.
    """

    header: str = ""
    by_value: Map[str, TenantClass] = field(default_factory=Map)
    default: TenantClass = TenantClass(DEFAULT_TENANT)

    def classify(self, value: str | None) -> TenantClass:
        """Returns the tenant for the header value of a request."""
        return self.by_value.get(value or "", self.default)


@dataclass(frozen=True, slots=True)
class Region:
    """A region and its availability zones."""

    name: str
    availability_zones: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class DeploymentSettings:
    """Validated settings of a deployment.

    Attributes:
        name: Name of the deployment.
        regions: Regions with their availability zones, sorted.
        services: Services by name.
        tenants: Header and values that identify tenants.
        branches: Branches of the tree that set any value, by scope.
    """

    name: str
    regions: tuple[Region, ...]
    services: Map[str, ServiceSettings]
    tenants: TenantSettings
    branches: Map[Scope, Branch]

    @property
    def availability_zones(self) -> tuple[str, ...]:
        """Returns the names of all availability zones."""
        return tuple(
            zone for region in self.regions for zone in region.availability_zones
        )

    def region_of(self, availability_zone: str) -> str:
        """Returns the region of an availability zone, empty if unknown."""
        for region in self.regions:
            if availability_zone in region.availability_zones:
                return region.name
        return ""


@dataclass(frozen=True, slots=True)
class ExplainedSetting:
    """An effective value and its origin.

    Attributes:
        group: Name of the group, such as `limits`.
        name: Name of the setting, such as `slots`.
        value: The effective value.
        leaf: Setting in the file, None for the built-in default.
        scope: Branch that sets the value, None for the built-in default.
    """

    group: str
    name: str
    value: int | float | bool | str
    leaf: Leaf | None = None
    scope: Scope | None = None


def effective_settings(
    settings: DeploymentSettings, service: str, place: Place, key: str | None = None
) -> Effective:
    """Returns the settings that apply to a service, place and key.

    Args:
        settings: Settings of the deployment.
        service: Name of the service.
        place: Place of the upstream; empty names leave out narrower places.
        key: Key whose branches apply too, if any.

    Returns:
        The settings, with built-in defaults where no branch sets a value.
    """
    overrides: dict[str, dict[str, int | float | bool | str]] = {}
    for branch in _matching_branches(settings, service, place, key):
        for leaf in branch.leaves:
            overrides.setdefault(leaf.group, {})[leaf.name] = leaf.value
    defaults = Effective()
    groups = {
        group: replace(getattr(defaults, group), **values)
        for group, values in overrides.items()
    }
    return replace(defaults, **groups)


def explain_settings(
    settings: DeploymentSettings, service: str, place: Place, key: str | None = None
) -> tuple[ExplainedSetting, ...]:
    """Returns each effective value with its origin.

    Args:
        settings: Settings of the deployment.
        service: Name of the service.
        place: Place of the upstream; empty names leave out narrower places.
        key: Key whose branches apply too, if any.

    Returns:
        One entry for each setting, in the order of the types' fields.
    """
    explained: dict[tuple[str, str], ExplainedSetting] = {}
    defaults = Effective()
    for group in defaults.__dataclass_fields__:
        group_defaults = getattr(defaults, group)
        for name in group_defaults.__dataclass_fields__:
            explained[group, name] = ExplainedSetting(
                group, name, getattr(group_defaults, name)
            )
    for branch in _matching_branches(settings, service, place, key):
        for leaf in branch.leaves:
            explained[leaf.group, leaf.name] = ExplainedSetting(
                leaf.group, leaf.name, leaf.value, leaf, branch.scope
            )
    return tuple(explained.values())


def _matching_branches(
    settings: DeploymentSettings, service: str, place: Place, key: str | None
) -> tuple[Branch, ...]:
    """Returns the branches that apply, in ascending precedence."""
    scopes = matching_scopes(service, place, key)
    branches = (settings.branches.get(scope) for scope in scopes)
    return tuple(branch for branch in branches if branch is not None)
