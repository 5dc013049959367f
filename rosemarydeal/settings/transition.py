"""Checks whether new settings may replace old ones while processes run.

During a change, some processes still use the old settings. Two kinds of settings
must not differ between processes even for a moment: the mapping of keys to slices
and the lease timing.
"""

from __future__ import annotations

from collections.abc import Iterator

from rosemarydeal.core import SourceLocation

from .deployment import DeploymentSettings, ServiceSettings
from .positions import Positions
from .problems import Problem
from .scope import Scope
from .syntax import parse
from .values import Leaf

__all__ = ["UNSAFE_CHANGE", "check_transition"]

UNSAFE_CHANGE = "unsafe-change"


def check_transition(
    old: DeploymentSettings, new: DeploymentSettings, text: str, file: str
) -> tuple[Problem, ...]:
    """Finds changes that are safe only while no process runs.

    Args:
        old: Settings in force.
        new: Settings to replace them.
        text: Text of the new settings' file.
        file: Name of that file, used in positions.

    Returns:
        The problems found.
    """
    root, _ = parse(text, file)
    positions = Positions(root)
    problems = [*_check_lease(old, new, file)]
    if old.name != new.name:
        detail = f"this file does not belong to deployment {old.name}"
        problems.append(_problem(positions, ("deployment",), detail))
    for name in sorted(set(old.services) & set(new.services)):
        details = _key_mapping_changes(old.services[name], new.services[name])
        path = ("services", name)
        problems += (_problem(positions, path, detail) for detail in details)
    return tuple(problems)


def _problem(positions: Positions, path: tuple[str, ...], detail: str) -> Problem:
    """Builds a problem at a path."""
    return Problem(UNSAFE_CHANGE, positions.at(*path), ".".join(path), detail)


def _key_mapping_changes(old: ServiceSettings, new: ServiceSettings) -> Iterator[str]:
    """Yields the changes that assign a service's keys to other slices."""
    if old.key != new.key:
        yield "the source of the service's key changes"
    if old.key is not None and new.key is not None and old.slices != new.slices:
        yield f"the number of slices changes from {old.slices} to {new.slices}"


def _check_lease(
    old: DeploymentSettings, new: DeploymentSettings, file: str
) -> Iterator[Problem]:
    """Finds changes of the lease timing."""
    old_leaves, new_leaves = _lease_leaves(old), _lease_leaves(new)
    for name in sorted(set(old_leaves) | set(new_leaves)):
        old_leaf, new_leaf = old_leaves.get(name), new_leaves.get(name)
        if old_leaf and new_leaf and old_leaf.value == new_leaf.value:
            continue
        location = new_leaf.location if new_leaf else SourceLocation(file)
        path = f"settings.ownership.{name}"
        detail = "all processes must agree on the lease timing"
        yield Problem(UNSAFE_CHANGE, location, path, detail)


def _lease_leaves(settings: DeploymentSettings) -> dict[str, Leaf]:
    """Returns the lease timing that a file sets, by setting name."""
    branch = settings.branches.get(Scope())
    leaves = branch.leaves if branch else ()
    return {leaf.name: leaf for leaf in leaves if leaf.group == "ownership"}
