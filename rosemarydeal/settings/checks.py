"""Checks a deployment file across its values.

The types check each value alone. The checks here find names that refer to
nothing, values that contradict each other and settings without any effect.
"""

from __future__ import annotations

from collections.abc import Iterator

from rosemarydeal.core import SourceLocation

from .deployment import DEFAULT_TENANT
from .files import DeploymentFile, RuleFile, ServiceFile
from .positions import Positions
from .problems import Problem, ProblemCode

__all__ = ["check_references"]


def check_references(file: DeploymentFile, positions: Positions) -> tuple[Problem, ...]:
    """Checks names, ports, keys and rules against each other.

    Args:
        file: The usable content of the file.
        positions: Positions of all values in the file.

    Returns:
        The problems found.
    """
    return (
        *_check_ports(file, positions),
        *_check_zones(file, positions),
        *_check_services(file, positions),
        *_check_tenants(file, positions),
    )


def _problem(
    code: str, positions: Positions, path: tuple[str, ...], detail: str
) -> Problem:
    """Builds a problem at a path."""
    return Problem(code, positions.at(*path), ".".join(path), detail)


def _check_ports(file: DeploymentFile, positions: Positions) -> Iterator[Problem]:
    """Finds services that share a port."""
    taken: dict[int, str] = {}
    for name, service in sorted(file.services.items(), key=_line_of(positions)):
        if service.port in taken:
            detail = f"{taken[service.port]} takes port {service.port} already"
            path = ("services", name, "port")
            yield _problem(ProblemCode.PORT_TWICE, positions, path, detail)
        taken.setdefault(service.port, name)


def _line_of(positions: Positions):
    """Returns a sort key that keeps the order of the file."""

    def line(item: tuple[str, ServiceFile]) -> tuple[SourceLocation, str]:
        return positions.at("services", item[0]), item[0]

    return line


def _check_zones(file: DeploymentFile, positions: Positions) -> Iterator[Problem]:
    """Finds zones that stand in two regions or that no service uses."""
    regions: dict[str, str] = {}
    used = {zone for item in file.services.values() for zone in item.availability_zones}
    everywhere = any(not item.availability_zones for item in file.services.values())
    for region_name, region in sorted(file.regions.items()):
        for zone in sorted(region.availability_zones):
            path = ("regions", region_name, "availability_zones", zone)
            if zone in regions:
                detail = f"region {regions[zone]} has a zone of this name already"
                yield _problem(ProblemCode.DUPLICATE_NAME, positions, path, detail)
            regions.setdefault(zone, region_name)
            if zone not in used and not everywhere:
                detail = "no service has upstreams in this availability zone"
                yield _problem(ProblemCode.EMPTY_ZONE, positions, path, detail)


def _check_services(file: DeploymentFile, positions: Positions) -> Iterator[Problem]:
    """Checks each service's zones, key and rules."""
    for name, service in sorted(file.services.items()):
        path = ("services", name)
        yield from _check_service_zones(file, service, path, positions)
        yield from _check_key(service, path, positions)
        yield from _check_rules(service.idempotency, path, positions)


def _check_service_zones(
    file: DeploymentFile,
    service: ServiceFile,
    path: tuple[str, ...],
    positions: Positions,
) -> Iterator[Problem]:
    """Finds zones of a service that no region has."""
    for index, zone in enumerate(service.availability_zones):
        below = (*path, "availability_zones", str(index))
        if not any(
            positions.holds("regions", region, "availability_zones", zone)
            for region in file.regions
        ):
            detail = f"no region has an availability zone {zone}"
            yield _problem(ProblemCode.UNKNOWN_ZONE, positions, below, detail)
        if zone in service.availability_zones[:index]:
            detail = f"{zone} stands in the list already"
            yield _problem(ProblemCode.DUPLICATE_NAME, positions, below, detail)


def _check_key(
    service: ServiceFile, path: tuple[str, ...], positions: Positions
) -> Iterator[Problem]:
    """Checks that a keyed service finds its key in one place."""
    if service.key is None:
        if positions.holds(*path, "slices") and not positions.holds(*path, "key"):
            detail = "an unkeyed service has no slices"
            where = (*path, "slices")
            yield _problem(ProblemCode.UNUSED, positions, where, detail)
        return
    source = service.key
    given = (source.header, source.path_segment, source.query)
    if sum(value is not None for value in given) != 1:
        detail = "give exactly one of header, path_segment and query"
        yield _problem(ProblemCode.IMPOSSIBLE, positions, (*path, "key"), detail)


def _check_rules(
    rules: tuple[RuleFile, ...], path: tuple[str, ...], positions: Positions
) -> Iterator[Problem]:
    """Finds rules that earlier ones leave nothing to decide."""
    for index, rule in enumerate(rules):
        earlier = [item for item in rules[:index] if item.path in (rule.path, "/**")]
        covered = {method for item in earlier for method in item.methods}
        if set(rule.methods) <= covered:
            detail = "earlier rules decide about all these requests"
            where = (*path, "idempotency", str(index))
            yield _problem(ProblemCode.UNUSED, positions, where, detail)


def _check_tenants(file: DeploymentFile, positions: Positions) -> Iterator[Problem]:
    """Checks the tenants and what refers to them."""
    classes = file.tenants.classes if file.tenants else {}
    if DEFAULT_TENANT in classes:
        detail = "this name stands for all callers without a class"
        where = ("tenants", "classes", DEFAULT_TENANT)
        yield _problem(ProblemCode.DUPLICATE_NAME, positions, where, detail)
    owners: dict[str, str] = {}
    for name, tenant in sorted(classes.items()):
        for index, value in enumerate(tenant.values):
            where = ("tenants", "classes", name, "values", str(index))
            if value in owners:
                detail = f"{value!r} means {owners[value]} already"
                yield _problem(ProblemCode.DUPLICATE_NAME, positions, where, detail)
            owners.setdefault(value, name)
    yield from _check_restrictions(file, positions)


def _check_restrictions(
    file: DeploymentFile, positions: Positions
) -> Iterator[Problem]:
    """Finds restrictions to tenants that don't exist."""
    for service, item in sorted(file.services.items()):
        for index, restriction in enumerate(item.restricted):
            for place, tenant in enumerate(restriction.tenants):
                if tenant == DEFAULT_TENANT:
                    continue
                if positions.holds("tenants", "classes", tenant):
                    continue
                where = ("services", service, "restricted", str(index), "tenants")
                detail = f"there is no tenant {tenant}"
                yield _problem(
                    ProblemCode.UNKNOWN_TENANT, positions, (*where, str(place)), detail
                )
