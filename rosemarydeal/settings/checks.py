"""Checks a deployment file across its values.

The types check each value alone. The checks here find names that refer to
nothing, values that contradict each other and settings without any effect.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator

from .deployment import DEFAULT_TENANT
from .files import DeploymentFile, RuleFile, ServiceFile
from .positions import Positions
from .problems import Problem, ProblemCode

__all__ = ["check_references", "check_zone_use"]


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
        *_check_zone_names(file, positions),
        *_check_branch_names(file, positions),
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
    service_by_port: dict[int, str] = {}
    for name in _in_file_order(file.services, positions, "services"):
        port = file.services[name].port
        if port in service_by_port:
            detail = f"{service_by_port[port]} takes port {port} already"
            path = ("services", name, "port")
            yield _problem(ProblemCode.PORT_TWICE, positions, path, detail)
        service_by_port.setdefault(port, name)


def _in_file_order(names: Iterable[str], positions: Positions, *path: str) -> list[str]:
    """Sorts the names of an object by their position in the file."""
    return sorted(names, key=lambda name: (positions.at(*path, name), name))


def _check_zone_names(file: DeploymentFile, positions: Positions) -> Iterator[Problem]:
    """Finds zones that stand in two regions."""
    region_by_zone: dict[str, str] = {}
    for name in _in_file_order(file.regions, positions, "regions"):
        zones_path = ("regions", name, "availability_zones")
        for zone in sorted(file.regions[name].availability_zones):
            if zone in region_by_zone:
                detail = (
                    f"region {region_by_zone[zone]} has a zone of this name already"
                )
                zone_path = (*zones_path, zone)
                yield _problem(ProblemCode.DUPLICATE_NAME, positions, zone_path, detail)
            region_by_zone.setdefault(zone, name)


def check_zone_use(file: DeploymentFile, positions: Positions) -> tuple[Problem, ...]:
    """Finds availability zones that no service has upstreams in.

    Args:
        file: The content of the file, of which no part may have failed.
        positions: Positions of all values in the file.

    Returns:
        The problems found.
    """
    services = file.services.values()
    if any(not service.availability_zones for service in services):
        return ()
    used_zones = {zone for service in services for zone in service.availability_zones}
    detail = "no service has upstreams in this availability zone"
    paths = (
        ("regions", name, "availability_zones", zone)
        for name, region in file.regions.items()
        for zone in region.availability_zones
        if zone not in used_zones
    )
    return tuple(
        _problem(ProblemCode.EMPTY_ZONE, positions, path, detail) for path in paths
    )


def _check_branch_names(
    file: DeploymentFile, positions: Positions
) -> Iterator[Problem]:
    """Finds branches below places for services that don't exist."""
    for path, name in _service_branches(file):
        if not positions.contains("services", name):
            detail = f"there is no service {name}"
            branch_path = (*path, "services", name)
            yield _problem(ProblemCode.UNKNOWN_SERVICE, positions, branch_path, detail)


def _service_branches(
    file: DeploymentFile,
) -> Iterator[tuple[tuple[str, ...], str]]:
    """Yields the path of each place and the services that it has branches for."""
    for region_name, region in file.regions.items():
        region_path = ("regions", region_name)
        yield from ((region_path, name) for name in region.services)
        for zone_name, zone in region.availability_zones.items():
            zone_path = (*region_path, "availability_zones", zone_name)
            yield from ((zone_path, name) for name in zone.services)
            for upstream_name, upstream in zone.upstreams.items():
                path = (*zone_path, "upstreams", upstream_name)
                yield from ((path, name) for name in upstream.services)


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
        zone_path = (*path, "availability_zones", str(index))
        if not any(
            positions.contains("regions", region, "availability_zones", zone)
            for region in file.regions
        ):
            detail = f"no region has an availability zone {zone}"
            yield _problem(ProblemCode.UNKNOWN_ZONE, positions, zone_path, detail)
        if zone in service.availability_zones[:index]:
            detail = f"{zone} stands in the list already"
            yield _problem(ProblemCode.DUPLICATE_NAME, positions, zone_path, detail)


def _check_key(
    service: ServiceFile, path: tuple[str, ...], positions: Positions
) -> Iterator[Problem]:
    """Checks that a keyed service finds its key in one place."""
    if service.key is None:
        if positions.contains(*path, "slices") and not positions.contains(*path, "key"):
            detail = "an unkeyed service has no slices"
            slices_path = (*path, "slices")
            yield _problem(ProblemCode.UNUSED, positions, slices_path, detail)
        return
    key = service.key
    sources = (key.header, key.path_segment, key.query)
    if sum(value is not None for value in sources) != 1:
        detail = "give exactly one of header, path_segment and query"
        yield _problem(ProblemCode.IMPOSSIBLE, positions, (*path, "key"), detail)


def _check_rules(
    rules: tuple[RuleFile, ...], path: tuple[str, ...], positions: Positions
) -> Iterator[Problem]:
    """Finds rules that earlier ones leave nothing to decide."""
    for index, rule in enumerate(rules):
        earlier = [other for other in rules[:index] if other.path in (rule.path, "/**")]
        covered_methods = {method for other in earlier for method in other.methods}
        if set(rule.methods) <= covered_methods:
            detail = "earlier rules decide about all these requests"
            rule_path = (*path, "idempotency", str(index))
            yield _problem(ProblemCode.UNUSED, positions, rule_path, detail)


def _check_tenants(file: DeploymentFile, positions: Positions) -> Iterator[Problem]:
    """Checks the tenants and what refers to them."""
    classes = file.tenants.classes if file.tenants else {}
    if DEFAULT_TENANT in classes:
        detail = "this name stands for all callers without a class"
        class_path = ("tenants", "classes", DEFAULT_TENANT)
        yield _problem(ProblemCode.DUPLICATE_NAME, positions, class_path, detail)
    class_by_value: dict[str, str] = {}
    for name in _in_file_order(classes, positions, "tenants", "classes"):
        for index, value in enumerate(classes[name].values):
            value_path = ("tenants", "classes", name, "values", str(index))
            if value in class_by_value:
                detail = f"{value!r} means {class_by_value[value]} already"
                yield _problem(
                    ProblemCode.DUPLICATE_NAME, positions, value_path, detail
                )
            class_by_value.setdefault(value, name)
    yield from _check_restrictions(file, positions)


def _check_restrictions(
    file: DeploymentFile, positions: Positions
) -> Iterator[Problem]:
    """Finds restrictions to tenants that don't exist."""
    for name, service in sorted(file.services.items()):
        for index, restriction in enumerate(service.restricted):
            for number, tenant in enumerate(restriction.tenants):
                if tenant == DEFAULT_TENANT:
                    continue
                if positions.contains("tenants", "classes", tenant):
                    continue
                path = ("services", name, "restricted", str(index), "tenants")
                detail = f"there is no tenant {tenant}"
                yield _problem(
                    ProblemCode.UNKNOWN_TENANT, positions, (*path, str(number)), detail
                )
