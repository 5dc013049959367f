"""Checks the tree of inherited settings as a whole.

Every place, service and key that the file distinguishes is a point; the
effective settings of all points show which lines have an effect and whether
the values that meet at a point go together.
"""

from __future__ import annotations

from collections.abc import Iterator

from rosemarydeal.core import Place

from .deployment import DeploymentSettings, Explained, explain
from .problems import Problem, ProblemCode
from .scope import Scope
from .values import Leaf

__all__ = ["check_tree"]

DEPLOYMENT_ONLY = frozenset({"ownership"})
SERVICE_WIDE = frozenset({"moves"})
ASKS_PER_LEASE = 2


def check_tree(settings: DeploymentSettings) -> tuple[Problem, ...]:
    """Checks which settings take effect and whether they go together.

    Args:
        settings: Settings whose values are each valid.

    Returns:
        The problems found, in the order of the file.
    """
    misplaced = tuple(_check_branches(settings))
    used: set[tuple[Scope, str, str]] = set()
    clashing: dict[tuple[str, str], Problem] = {}
    for service, place, key in _points(settings):
        values = explain(settings, service, place, key)
        used.update((item.scope, item.group, item.name) for item in values if item.leaf)
        for problem in _check_point(values):
            clashing.setdefault((str(problem.location), problem.detail), problem)
    unused = _check_unused(settings, used)
    found = (*misplaced, *clashing.values(), *unused)
    return tuple(sorted(found, key=lambda problem: (problem.location, problem.path)))


def _points(settings: DeploymentSettings) -> Iterator[tuple[str, Place, str | None]]:
    """Yields each combination of service, place and key to look at."""
    for name, service in settings.services.items():
        keys = _keys_of(settings, name) if service.keyed else []
        for zone in service.availability_zones:
            region = settings.region_of(zone)
            named = _upstreams_of(settings, region, zone)
            for upstream in ("", *named):
                for key in (None, *keys):
                    yield name, Place(region, zone, upstream), key


def _keys_of(settings: DeploymentSettings, service: str) -> list[str]:
    """Returns the keys of a service that some branch names."""
    scopes = settings.branches
    return sorted({item.key for item in scopes if item.service == service and item.key})


def _upstreams_of(settings: DeploymentSettings, region: str, zone: str) -> list[str]:
    """Returns the upstreams of a zone that some branch names."""
    places = {scope.place for scope in settings.branches}
    return sorted(
        place.upstream
        for place in places
        if place.upstream and (place.region, place.availability_zone) == (region, zone)
    )


def _branch_problem(code: str, scope: Scope, leaf: Leaf, detail: str) -> Problem:
    """Builds a problem about one line of a branch."""
    path = f"{scope}: {leaf.group}.{leaf.name}"
    return Problem(code, leaf.location, path, detail)


def _check_branches(settings: DeploymentSettings) -> Iterator[Problem]:
    """Finds settings that stand in a branch where they can't differ."""
    for scope, branch in settings.branches.items():
        for leaf in branch.leaves:
            if leaf.group in DEPLOYMENT_ONLY and scope != Scope():
                detail = "all processes must agree: set it at the root only"
                yield _branch_problem(ProblemCode.WRONG_BRANCH, scope, leaf, detail)
            if leaf.group in SERVICE_WIDE and (scope.key or scope.place.region):
                detail = "it holds for a whole service: set it there or at the root"
                yield _branch_problem(ProblemCode.WRONG_BRANCH, scope, leaf, detail)


def _check_point(values: tuple[Explained, ...]) -> Iterator[Problem]:
    """Finds values at one point that contradict each other."""
    by_name = {(item.group, item.name): item for item in values}
    shortest = by_name["deadlines", "default_ms"]
    longest = by_name["deadlines", "max_ms"]
    if shortest.value > longest.value:
        detail = f"the default of {shortest.value} ms is over the {longest.value} ms"
        yield _clash(f"{detail} allowed", shortest, longest)
    lease = by_name["ownership", "lease_s"]
    interval = by_name["ownership", "ask_interval_s"]
    if interval.value * ASKS_PER_LEASE > lease.value:
        detail = "a lease must leave time to ask the witnesses twice"
        yield _clash(detail, interval, lease)
    silence = by_name["ownership", "silence_s"]
    if silence.value <= interval.value:
        detail = "the silence must be longer than the interval of asking"
        yield _clash(detail, silence, interval)
    margin = by_name["ownership", "dispatch_margin_s"]
    if margin.value >= lease.value:
        yield _clash("the margin must be shorter than the lease", margin, lease)
    slots = by_name["limits", "slots"]
    connections = by_name["limits", "connections"]
    if slots.value > connections.value:
        detail = f"{slots.value} slots need as many connections"
        yield _clash(f"{detail}, allowed are {connections.value}", slots, connections)


def _clash(detail: str, first: Explained, second: Explained) -> Problem:
    """Builds a problem about two values, at the one that a file gives."""
    at = first if first.leaf else second
    return _branch_problem(ProblemCode.IMPOSSIBLE, at.scope, at.leaf, detail)


def _check_unused(
    settings: DeploymentSettings, used: set[tuple[Scope, str, str]]
) -> Iterator[Problem]:
    """Finds settings that no service, place or key gets."""
    for scope, branch in settings.branches.items():
        if scope.service and scope.service not in settings.services:
            continue
        for leaf in branch.leaves:
            if (scope, leaf.group, leaf.name) in used:
                continue
            detail = "no branch uses it: lower ones override it or nothing is there"
            yield _branch_problem(ProblemCode.UNUSED, scope, leaf, detail)
