"""Queries about the configuration; they change nothing."""

from __future__ import annotations

import difflib
from dataclasses import dataclass

from rosemarydeal.core import Place
from rosemarydeal.settings import (
    DeploymentSettings,
    ExplainedSetting,
    Problem,
    SettingChange,
    check_transition,
    compare_settings,
    explain_settings,
    load_envelope,
)

from .errors import CliError, ExitCode
from .files import SettingsFile, load_valid_deployment
from .records import read_config, read_history
from .session import Session

__all__ = [
    "Difference",
    "ExplainedLine",
    "HistoryLine",
    "diff_file",
    "explain_place",
    "list_history",
    "parse_place",
]

DEPLOYMENT = "deployment"


@dataclass(frozen=True, slots=True)
class Difference:
    """Changes that a deployment file would make.

    Attributes:
        version: Version in force, 0 if there is none.
        equal: Whether the file's text is already in force.
        text: Unified diff of the texts.
        changes: Settings whose values change.
        unsafe: Changes that need all processes stopped.
    """

    version: int
    equal: bool
    text: str
    changes: tuple[SettingChange, ...]
    unsafe: tuple[Problem, ...]


@dataclass(frozen=True, slots=True)
class HistoryLine:
    """One version of the configuration."""

    version: int
    operator: str
    applied_at: str
    file: str
    comment: str
    change_id: str


@dataclass(frozen=True, slots=True)
class ExplainedLine:
    """Origin of one effective value.

    Attributes:
        service: Service that the value applies to.
        setting: Name of the setting, prefixed with its group.
        value: The value.
        file: File that sets it, empty for the built-in default.
        line: Line of the file, 0 for the built-in default.
        branch: Branch of the settings tree that sets it.
    """

    service: str
    setting: str
    value: int | float | bool | str
    file: str
    line: int
    branch: str


async def diff_file(session: Session, file: SettingsFile) -> Difference:
    """Compares a file with the configuration in force.

    Raises:
        CliError: If the file is invalid or the platform can't be read.
    """
    settings = load_valid_deployment(file, session.output)
    current = await read_config(session.platform)
    if current.envelope is None:
        return Difference(0, False, "", compare_settings(None, settings), ())
    old, _ = load_envelope(current.envelope)
    before = current.envelope.text.splitlines(keepends=True)
    after = file.text.splitlines(keepends=True)
    label = f"version {current.version}"
    lines = difflib.unified_diff(before, after, label, file.name)
    unsafe = check_transition(old, settings, file.text, file.name) if old else ()
    return Difference(
        version=current.version,
        equal=current.envelope.text == file.text,
        text="".join(lines),
        changes=compare_settings(old, settings),
        unsafe=unsafe,
    )


async def list_history(session: Session, count: int) -> tuple[HistoryLine, ...]:
    """Lists the newest versions, the one in force first.

    Args:
        session: The running command's session.
        count: Most versions to list.

    Returns:
        One line for each version in the history.

    Raises:
        CliError: If the platform can't be read.
    """
    current = await read_config(session.platform)
    if current.envelope is None:
        return ()
    envelopes = [(current.version, current.envelope)]
    for version in range(current.version - 1, 0, -1):
        if len(envelopes) >= count:
            break
        entry = await read_history(session.platform, version)
        if entry is None:
            break
        envelopes.append((version, entry.envelope))
    return tuple(
        HistoryLine(
            version=version,
            operator=envelope.operator,
            applied_at=envelope.applied_at,
            file=envelope.file,
            comment=envelope.comment,
            change_id=envelope.change_id,
        )
        for version, envelope in envelopes[: max(count, 0)]
    )


def parse_place(settings: DeploymentSettings, text: str) -> Place:
    """Parses the name of a place in the deployment.

    Args:
        settings: Settings of the deployment.
        text: `deployment`, a region, a zone, or names joined by slashes down
            to an upstream.

    Returns:
        The place.

    Raises:
        CliError: If the deployment has no such place.
    """
    names = [] if text == DEPLOYMENT else text.split("/")
    if names and names[0] in settings.availability_zones:
        names.insert(0, settings.region_of(names[0]))
    region, zone, upstream = (*names, "", "", "")[:3]
    zones = {item.name: item.availability_zones for item in settings.regions}
    known_region = not region or region in zones
    known_zone = not zone or zone in zones.get(region, ())
    if len(names) > 3 or not all(names) or not known_region or not known_zone:
        raise CliError(ExitCode.NOT_FOUND, f"there is no place {text}")
    return Place(region, zone, upstream)


def explain_place(
    settings: DeploymentSettings, place: Place, service: str, key: str
) -> tuple[ExplainedLine, ...]:
    """Explains the effective values at a place.

    Args:
        settings: Settings of the deployment.
        place: The place.
        service: Name of one service, or empty for all.
        key: Key of the service, or empty for none.

    Returns:
        One line for each service and setting.

    Raises:
        CliError: If there is no such service.
    """
    if service and service not in settings.services:
        raise CliError(ExitCode.NOT_FOUND, f"there is no service {service}")
    services = [service] if service else sorted(settings.services)
    return tuple(
        _explained_line(name, entry)
        for name in services
        for entry in explain_settings(settings, name, place, key or None)
    )


def _explained_line(service: str, entry: ExplainedSetting) -> ExplainedLine:
    """Builds the list entry of one value."""
    location = entry.leaf.location if entry.leaf else None
    return ExplainedLine(
        service=service,
        setting=f"{entry.group}.{entry.name}",
        value=entry.value,
        file=location.file if location else "",
        line=location.line if location else 0,
        branch=str(entry.scope or "built-in default"),
    )
