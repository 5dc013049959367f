"""Reads and checks settings files of the operator."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path

from rosemarydeal.settings import (
    DeploymentSettings,
    NodeSettings,
    Problem,
    load_deployment,
    load_node,
)
from rosemarydeal.settings.syntax import ObjectNode, parse

from .errors import CliError, ExitCode
from .output import Output

__all__ = [
    "SettingsFile",
    "load_settings_file",
    "load_valid_deployment",
    "read_file",
    "settings_error",
]


@dataclass(frozen=True, slots=True)
class SettingsFile:
    """Name and text of a settings file."""

    name: str
    text: str


def read_file(path: str) -> SettingsFile:
    """Reads a settings file.

    Args:
        path: Path of the file.

    Returns:
        The file's name and text.

    Raises:
        CliError: If it can't be read.
    """
    try:
        return SettingsFile(path, Path(path).read_text("utf-8"))
    except UnicodeDecodeError as error:
        detail = f"{path} is not valid UTF-8"
        raise CliError(ExitCode.SETTINGS_WRONG, detail) from error
    except OSError as error:
        detail = f"{path} can't be read: {error.strerror}"
        raise CliError(ExitCode.NOT_FOUND, detail) from error


def load_settings_file(
    file: SettingsFile,
) -> tuple[NodeSettings | DeploymentSettings | None, tuple[Problem, ...]]:
    """Loads a node or deployment file; only a node file has the key `node`."""
    root, problems = parse(file.text, file.name)
    if root is None:
        return None, problems
    names = [member.name for member in getattr(root, "members", ())]
    if isinstance(root, ObjectNode) and "node" in names:
        return load_node(file.text, file.name)
    return load_deployment(file.text, file.name)


def load_valid_deployment(file: SettingsFile, output: Output) -> DeploymentSettings:
    """Loads a deployment file and prints all its problems.

    Args:
        file: The file.
        output: Receives the problems.

    Returns:
        The settings.

    Raises:
        CliError: If the file has problems.
    """
    settings, problems = load_deployment(file.text, file.name)
    if settings is None:
        raise settings_error(problems, output)
    return settings


def settings_error(problems: tuple[Problem, ...], output: Output) -> CliError:
    """Prints problems and returns the error that ends the command."""
    for problem in problems:
        output.print_message(str(problem))
    detail = f"{len(problems)} problems in the settings; nothing was applied"
    return CliError(ExitCode.SETTINGS_WRONG, detail)
