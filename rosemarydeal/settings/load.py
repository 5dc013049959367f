"""Loads and validates deployment files."""

from __future__ import annotations

from .build import build_deployment
from .checks import check_references, check_zone_use
from .convert import FAILED, convert
from .deployment import DeploymentSettings
from .files import DeploymentFile
from .positions import Positions
from .problems import Problem
from .syntax import parse
from .tree_checks import check_tree

__all__ = ["load_deployment"]


def load_deployment(
    text: str, file: str
) -> tuple[DeploymentSettings | None, tuple[Problem, ...]]:
    """Loads and checks a deployment file.

    Args:
        text: Content of the file.
        file: Name of the file, used in positions.

    Returns:
        The settings and no problems, or None and all problems.
    """
    root, problems = parse(text, file)
    if root is None:
        return None, problems
    content, problems = convert(DeploymentFile, root)
    if content is FAILED:
        return None, _sorted_by_position(problems)
    positions = Positions(root)
    settings = build_deployment(content)
    if not problems:
        problems = check_zone_use(content, positions) + check_tree(settings)
    problems += check_references(content, positions)
    return (None if problems else settings), _sorted_by_position(problems)


def _sorted_by_position(problems: tuple[Problem, ...]) -> tuple[Problem, ...]:
    """Sorts problems by their position in the file."""
    return tuple(sorted(problems, key=lambda problem: (problem.location, problem.path)))
