"""Checks the tree of inherited settings as a whole.

The effective settings of representative combinations of service, place and key
show which settings take effect and whether values that apply together conflict.
"""

from __future__ import annotations

from collections.abc import Iterator

from rosemarydeal.core import Place

from .deployment import DeploymentSettings, ExplainedSetting, explain_settings
from .problems import Problem, ProblemCode
from .scope import Scope
from .values import Leaf

__all__ = ["check_tree", "combinations"]

Combination = tuple[str, Place, str | None]

DEPLOYMENT_WIDE_GROUPS = frozenset({"ownership"})
RELATED_SETTINGS = frozenset(
    {
        ("deadlines", "default_ms"),
        ("deadlines", "max_ms"),
        ("limits", "slots"),
        ("limits", "connections"),
    }
)
SERVICE_WIDE_GROUPS = frozenset({"moves"})
MIN_REQUESTS_PER_LEASE = 2


def check_tree(settings: DeploymentSettings) -> tuple[Problem, ...]:
    """Checks which settings take effect and whether they conflict.

    Args:
        settings: Settings in which each single value is valid.

    Returns:
        The problems found, in the order of the file.
    """
    misplaced = tuple(_check_branches(settings))
    used: set[tuple[Scope, str, str]] = set()
    conflicts: dict[tuple[str, str], Problem] = {}
    for service, place, key in combinations(settings):
        values = explain_settings(settings, service, place, key)
        used.update((item.scope, item.group, item.name) for item in values if item.leaf)
        for problem in _check_values(values):
            conflicts.setdefault((str(problem.location), problem.detail), problem)
    unused = _check_unused(settings, used)
    problems = (*misplaced, *conflicts.values(), *unused)
    return tuple(sorted(problems, key=lambda problem: (problem.location, problem.path)))


def combinations(settings: DeploymentSettings) -> Iterator[Combination]:
    """Yields the combinations that suffice to find every problem.

    A setting of a place or service has an effect exactly if it affects keys
    without a branch. A setting of a key has an effect exactly if it affects
    upstreams without a branch or the upstream of its own branch. Other pairs of
    an upstream and a key are needed only if both set values that are checked
    against each other.

    Args:
        settings: Settings of the deployment.

    Yields:
        Combinations of service, place and key.
    """
    upstreams = _branched_upstreams(settings)
    related_places = {scope.place for scope in _scopes_with_related_settings(settings)}
    related_keys = {
        (scope.service, scope.key) for scope in _scopes_with_related_settings(settings)
    }
    for name, service in settings.services.items():
        scopes = _key_scopes(settings, name) if service.keyed else []
        keys = sorted({scope.key for scope in scopes})
        place_keys = {(scope.place, scope.key) for scope in scopes}
        for zone in service.availability_zones:
            zone_place = Place(settings.region_of(zone), zone, "")
            yield from ((name, zone_place, key) for key in (None, *keys))
            for upstream in upstreams.get(zone, ()):
                yield name, upstream, None
                for key in keys:
                    related = (name, key) in related_keys and upstream in related_places
                    if related or (upstream, key) in place_keys:
                        yield name, upstream, key


def _scopes_with_related_settings(settings: DeploymentSettings) -> list[Scope]:
    """Returns the scopes with settings that are checked against others."""
    return [
        scope
        for scope, branch in settings.branches.items()
        if any((leaf.group, leaf.name) in RELATED_SETTINGS for leaf in branch.leaves)
    ]


def _key_scopes(settings: DeploymentSettings, service: str) -> list[Scope]:
    """Returns the scopes of the key branches of a service."""
    scopes = settings.branches
    return [scope for scope in scopes if scope.service == service and scope.key]


def _branched_upstreams(settings: DeploymentSettings) -> dict[str, list[Place]]:
    """Returns the upstreams that have a branch, by availability zone."""
    places = {scope.place for scope in settings.branches if scope.place.upstream}
    by_zone: dict[str, list[Place]] = {}
    for place in sorted(places):
        by_zone.setdefault(place.availability_zone, []).append(place)
    return by_zone


def _branch_problem(code: str, scope: Scope, leaf: Leaf, detail: str) -> Problem:
    """Builds a problem about one setting of a branch."""
    path = f"{scope}: {leaf.group}.{leaf.name}"
    return Problem(code, leaf.location, path, detail)


def _check_branches(settings: DeploymentSettings) -> Iterator[Problem]:
    """Finds settings in branches where they must not differ."""
    for scope, branch in settings.branches.items():
        for leaf in branch.leaves:
            if leaf.group in DEPLOYMENT_WIDE_GROUPS and scope != Scope():
                detail = "all processes must agree on it: set it at the root only"
                yield _branch_problem(ProblemCode.WRONG_BRANCH, scope, leaf, detail)
            if leaf.group in SERVICE_WIDE_GROUPS and (scope.key or scope.place.region):
                detail = "it applies to a whole service: set it there or at the root"
                yield _branch_problem(ProblemCode.WRONG_BRANCH, scope, leaf, detail)


def _check_values(values: tuple[ExplainedSetting, ...]) -> Iterator[Problem]:
    """Finds conflicting values of one combination."""
    by_name = {(item.group, item.name): item for item in values}
    default = by_name["deadlines", "default_ms"]
    maximum = by_name["deadlines", "max_ms"]
    if default.value > maximum.value:
        detail = f"the default of {default.value} ms exceeds the {maximum.value} ms"
        yield _conflict(f"{detail} allowed", default, maximum)
    lease = by_name["ownership", "lease_s"]
    interval = by_name["ownership", "ask_interval_s"]
    if interval.value * MIN_REQUESTS_PER_LEASE > lease.value:
        detail = "the lease must last at least two intervals between lease requests"
        yield _conflict(detail, interval, lease)
    silence = by_name["ownership", "silence_s"]
    if silence.value <= interval.value:
        detail = "silence_s must be longer than the interval between lease requests"
        yield _conflict(detail, silence, interval)
    margin = by_name["ownership", "dispatch_margin_s"]
    if margin.value >= lease.value:
        yield _conflict(
            "the dispatch margin must be shorter than the lease", margin, lease
        )
    slots = by_name["limits", "slots"]
    connections = by_name["limits", "connections"]
    if slots.value > connections.value:
        detail = f"{slots.value} slots need as many connections"
        yield _conflict(
            f"{detail}; the limit is {connections.value}", slots, connections
        )


def _conflict(
    detail: str, first: ExplainedSetting, second: ExplainedSetting
) -> Problem:
    """Builds a problem about two values, located at one that the file sets."""
    located = first if first.leaf else second
    return _branch_problem(ProblemCode.IMPOSSIBLE, located.scope, located.leaf, detail)


def _check_unused(
    settings: DeploymentSettings, used: set[tuple[Scope, str, str]]
) -> Iterator[Problem]:
    """Finds settings that have no effect on any service, place or key."""
    for scope, branch in settings.branches.items():
        if scope.service and scope.service not in settings.services:
            continue
        for leaf in branch.leaves:
            if (scope, leaf.group, leaf.name) in used:
                continue
            detail = (
                "no effect: narrower branches override it or nothing is in its scope"
            )
            yield _branch_problem(ProblemCode.UNUSED, scope, leaf, detail)
