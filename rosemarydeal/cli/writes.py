"""Writes operators' objects and determines whether each write took effect.

A write is conditional and carries a change id, so repeating it is safe: it
takes effect at most once, and the stored id shows whether it did.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable

from rosemarydeal.objects import PlatformConflict, PlatformError, PlatformUnavailable

from .errors import CliError, ExitCode
from .session import Session

__all__ = ["write"]

WRITE_TIMEOUT_S = 10.0
RETRY_PAUSE_S = 0.5

ChangeFinder = Callable[[], Awaitable[int | None]]


async def write(
    session: Session,
    key: str,
    value: bytes,
    expected_version: int,
    change_id: str,
    find_change: ChangeFinder,
) -> int:
    """Writes an object, retrying until its outcome is known or the time-out ends.

    Args:
        session: The running command's session.
        key: Name of the object.
        value: New content.
        expected_version: Version that the write replaces; 0 creates.
        change_id: Unique id of this change.
        find_change: Returns the version that has the change id, None if there is none.

    Returns:
        The new version.

    Raises:
        PlatformConflict: If another write changed the object first.
        CliError: If the platform rejects the write, or its outcome stays unknown.
    """
    deadline = session.elapsed() + WRITE_TIMEOUT_S
    while True:
        try:
            return await session.platform.put(key, value, expected_version, change_id)
        except PlatformConflict:
            version = await _retry_find_change(
                find_change, deadline, session, change_id
            )
            if version is None:
                raise
            return version
        except PlatformUnavailable as error:
            if session.elapsed() >= deadline:
                raise _outcome_unknown(change_id) from error
            session.output.print_message(
                f"no answer from the platform, retrying: {error.detail}"
            )
            await session.sleep(RETRY_PAUSE_S)
        except PlatformError as error:
            detail = f"the platform rejected the write: {error.detail}"
            raise CliError(ExitCode.FAILED, detail, error.code) from error


async def _retry_find_change(
    find_change: ChangeFinder, deadline: float, session: Session, change_id: str
) -> int | None:
    """Looks up the change id, retrying while the platform can't be read."""
    while True:
        try:
            return await find_change()
        except CliError as error:
            if error.exit_code is not ExitCode.PLATFORM_UNAVAILABLE:
                raise
            if session.elapsed() >= deadline:
                raise _outcome_unknown(change_id) from error
            await session.sleep(RETRY_PAUSE_S)


def _outcome_unknown(change_id: str) -> CliError:
    """Builds the error for a write whose outcome could not be determined."""
    detail = (
        f"the platform did not answer; change {change_id} may have taken effect: "
        "check `rosemarydeal history` before you try again"
    )
    return CliError(ExitCode.OUTCOME_UNKNOWN, detail)
