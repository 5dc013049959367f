"""Changes the configuration: applies a file or rolls back to an older version.

Each change names the version that it replaces. The platform accepts it only if
that version is still in force, so no other operator's change is lost.
"""

from __future__ import annotations

from dataclasses import dataclass, replace

import msgspec

from rosemarydeal.core import CONFIG_KEY, history_key
from rosemarydeal.objects import PlatformConflict, PlatformError
from rosemarydeal.settings import (
    ConfigEnvelope,
    DeploymentSettings,
    HistoryEntry,
    check_transition,
    encode_envelope,
    load_envelope,
)

from .errors import CliError, ExitCode
from .files import SettingsFile, load_valid_deployment, settings_error
from .records import CurrentConfig, platform_unavailable, read_config, read_history
from .rollout import wait_until_in_force
from .session import Session
from .writes import write

__all__ = ["ChangeOptions", "apply_file", "roll_back"]


@dataclass(frozen=True, slots=True)
class ChangeOptions:
    """Options of a change of the configuration.

    Attributes:
        base: Version that the change replaces, 0 for the first one.
        comment: Reason for the change.
        wait_s: Longest wait until it is in force everywhere, in seconds.
        unsafe: Whether to allow changes that need all processes stopped.
    """

    base: int
    comment: str
    wait_s: float
    unsafe: bool = False


async def apply_file(
    session: Session, file: SettingsFile, options: ChangeOptions
) -> int:
    """Puts a deployment file in force.

    Args:
        session: The running command's session.
        file: The file.
        options: Options of the change.

    Returns:
        The new version, or the current one if it already has this text.

    Raises:
        CliError: If the file is invalid, another operator's change came first, the
            platform can't be reached, or a process lags.
    """
    settings = load_valid_deployment(file, session.output)
    current = await read_config(session.platform)
    if current.envelope is not None and current.envelope.text == file.text:
        session.output.print_message(
            f"version {current.version} already has this content"
        )
        await wait_until_in_force(session, CONFIG_KEY, current.version, options.wait_s)
        return current.version
    _check_base(current, options.base)
    if not options.unsafe:
        _check_transition(session, current, settings, file)
    envelope = ConfigEnvelope(
        file=file.name,
        text=file.text,
        change_id=session.new_change_id(),
        operator=session.operator,
        applied_at=session.now(),
        comment=options.comment,
    )
    version = await _write_config(session, current, envelope)
    session.output.print_message(f"accepted as version {version}")
    await wait_until_in_force(session, CONFIG_KEY, version, options.wait_s)
    return version


async def roll_back(session: Session, version: int, options: ChangeOptions) -> int:
    """Puts the content of an older version in force as a new version.

    Args:
        session: The running command's session.
        version: The older version.
        options: Options of the change.

    Returns:
        The new version.

    Raises:
        CliError: If the version is not in the history, or as for `apply_file`.
    """
    entry = await read_history(session.platform, version)
    if entry is None:
        raise CliError(ExitCode.NOT_FOUND, f"version {version} is not in the history")
    comment = options.comment or f"content of version {version}"
    file = SettingsFile(entry.envelope.file, entry.envelope.text)
    return await apply_file(session, file, replace(options, comment=comment))


def _check_base(current: CurrentConfig, base: int) -> None:
    """Raises if a change was made against another version."""
    if base != current.version:
        raise _conflict_error(current, base)


def _conflict_error(current: CurrentConfig, base: int) -> CliError:
    """Builds the error for a change against an outdated version."""
    envelope = current.envelope
    if envelope is None:
        detail = f"no configuration is in force yet, --base {base} does not exist"
        return CliError(ExitCode.CONFLICT, detail)
    comment = f" ({envelope.comment})" if envelope.comment else ""
    detail = (
        f"version {current.version} by {envelope.operator} at {envelope.applied_at}"
        f"{comment} is in force, your change is against version {base}: nothing was "
        f"changed; check `rosemarydeal diff`, then use --base {current.version}"
    )
    return CliError(ExitCode.CONFLICT, detail)


def _check_transition(
    session: Session,
    current: CurrentConfig,
    settings: DeploymentSettings,
    file: SettingsFile,
) -> None:
    """Raises if running processes can't apply a change."""
    if current.envelope is None:
        return
    old, _ = load_envelope(current.envelope)
    problems = check_transition(old, settings, file.text, file.name) if old else ()
    if problems:
        raise settings_error(problems, session.output)


async def _write_config(
    session: Session, current: CurrentConfig, envelope: ConfigEnvelope
) -> int:
    """Replaces the configuration; stores the current one in the history first."""
    if current.envelope is not None:
        await _store_history(session, HistoryEntry(current.version, current.envelope))

    async def find_change() -> int | None:
        return await _find_change(session, current.version + 1, envelope.change_id)

    value = encode_envelope(envelope)
    try:
        version = await write(
            session, CONFIG_KEY, value, current.version, envelope.change_id, find_change
        )
    except PlatformConflict as error:
        latest = await read_config(session.platform)
        raise _conflict_error(latest, current.version) from error
    try:
        await _store_history(session, HistoryEntry(version, envelope))
    except CliError as error:
        session.output.print_message(
            f"history not written until the next change: {error.detail}"
        )
    return version


async def _find_change(session: Session, version: int, change_id: str) -> int | None:
    """Looks up a change in the configuration in force and in the history."""
    current = await read_config(session.platform)
    if current.envelope is not None and current.envelope.change_id == change_id:
        return current.version
    entry = await read_history(session.platform, version)
    if entry is not None and entry.envelope.change_id == change_id:
        return version
    return None


async def _store_history(session: Session, entry: HistoryEntry) -> None:
    """Writes a version to the history unless it is already there."""
    key = history_key(entry.version)
    try:
        stored = await session.platform.get(key)
        recorded = await read_history(session.platform, entry.version)
        if recorded is not None:
            return
        value = msgspec.json.encode(entry)
        expected = stored.version if stored else 0
        await session.platform.put(key, value, expected, session.new_change_id())
    except PlatformConflict:
        return
    except PlatformError as error:
        raise platform_unavailable(error) from error
