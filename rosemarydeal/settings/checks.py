"""Cross-checks the values of a deployment file.

The types validate each value on its own. These checks find references to names
that do not exist, contradictory values and settings without effect.
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
        file: Content of the file, without values that failed conversion.
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
            detail = f"{service_by_port[port]} uses port {port} already"
            path = ("services", name, "port")
            yield _problem(ProblemCode.PORT_TWICE, positions, path, detail)
        service_by_port.setdefault(port, name)


def _in_file_order(names: Iterable[str], positions: Positions, *path: str) -> list[str]:
    """Sorts the names of an object by their position in the file."""
    return sorted(names, key=lambda name: (positions.at(*path, name), name))


def _check_zone_names(file: DeploymentFile, positions: Positions) -> Iterator[Problem]:
    """Finds availability zones that two regions define."""
    region_by_zone: dict[str, str] = {}
    for name in _in_file_order(file.regions, positions, "regions"):
        zones_path = ("regions", name, "availability_zones")
        for zone in sorted(file.regions[name].availability_zones):
            if zone in region_by_zone:
                detail = (
                    f"region {region_by_zone[zone]} already has a zone of this name"
                )
                zone_path = (*zones_path, zone)
                yield _problem(ProblemCode.DUPLICATE_NAME, positions, zone_path, detail)
            region_by_zone.setdefault(zone, name)


def check_zone_use(file: DeploymentFile, positions: Positions) -> tuple[Problem, ...]:
    """Finds availability zones where no service has upstreams.

    Args:
        file: Content of the file, in which no value failed conversion.
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
    """Finds branches of places for services that do not exist."""
    for path, name in _service_branches(file):
        if not positions.contains("services", name):
            detail = f"there is no service {name}"
            branch_path = (*path, "services", name)
            yield _problem(ProblemCode.UNKNOWN_SERVICE, positions, branch_path, detail)


def _service_branches(
    file: DeploymentFile,
) -> Iterator[tuple[tuple[str, ...], str]]:
    """Yields the path of each place with each service that has a branch there."""
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
    """Checks the zones, the key and the rules of each service."""
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
    """Finds zones of a service that are unknown or listed twice."""
    for index, zone in enumerate(service.availability_zones):
        zone_path = (*path, "availability_zones", str(index))
        if not any(
            positions.contains("regions", region, "availability_zones", zone)
            for region in file.regions
        ):
            detail = f"no region has an availability zone {zone}"
            yield _problem(ProblemCode.UNKNOWN_ZONE, positions, zone_path, detail)
        if zone in service.availability_zones[:index]:
            detail = f"{zone} is already in the list"
            yield _problem(ProblemCode.DUPLICATE_NAME, positions, zone_path, detail)


def _check_key(
    service: ServiceFile, path: tuple[str, ...], positions: Positions
) -> Iterator[Problem]:
    """Checks that the key has one source and that only keyed services set slices."""
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
    """Finds idempotency rules that earlier rules make unreachable."""
    for index, rule in enumerate(rules):
        earlier = [other for other in rules[:index] if other.path in (rule.path, "/**")]
        covered_methods = {method for other in earlier for method in other.methods}
        if set(rule.methods) <= covered_methods:
            detail = "earlier rules already cover all these requests"
            rule_path = (*path, "idempotency", str(index))
            yield _problem(ProblemCode.UNUSED, positions, rule_path, detail)


def _check_tenants(file: DeploymentFile, positions: Positions) -> Iterator[Problem]:
    """Checks the tenants and the restrictions that refer to them."""
    classes = file.tenants.classes if file.tenants else {}
    if DEFAULT_TENANT in classes:
        detail = "this name is reserved for callers without a class"
        class_path = ("tenants", "classes", DEFAULT_TENANT)
        yield _problem(ProblemCode.DUPLICATE_NAME, positions, class_path, detail)
    class_by_value: dict[str, str] = {}
    for name in _in_file_order(classes, positions, "tenants", "classes"):
        for index, value in enumerate(classes[name].values):
            value_path = ("tenants", "classes", name, "values", str(index))
            if value in class_by_value:
                detail = f"{value!r} is assigned to {class_by_value[value]} already"
                yield _problem(
                    ProblemCode.DUPLICATE_NAME, positions, value_path, detail
                )
            class_by_value.setdefault(value, name)
    yield from _check_restrictions(file, positions)


def _check_restrictions(
    file: DeploymentFile, positions: Positions
) -> Iterator[Problem]:
    """Finds restrictions to tenants that do not exist."""
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
