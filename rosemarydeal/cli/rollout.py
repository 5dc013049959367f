"""Checks in which processes a version is in force, and waits for the others."""

from __future__ import annotations

from dataclasses import dataclass

from rosemarydeal.core import CONFIG_KEY, NodeStatus

from .errors import CliError, ExitCode
from .nodes import NodeReport, read_reports
from .records import read_members
from .session import Session

__all__ = ["Lag", "Rollout", "read_rollout", "wait_until_in_force"]

POLL_INTERVAL_S = 0.5
MAX_NAMES_SHOWN = 5


@dataclass(frozen=True, slots=True)
class Lag:
    """A process in which a version is not in force, with the reason."""

    node: str
    reason: str


@dataclass(frozen=True, slots=True)
class Rollout:
    """Processes in which a version of an object is in force, and the others.

    Attributes:
        key: Name of the object.
        version: Expected version.
        in_force: Processes that have this version or a newer one.
        lagging: The other processes.
    """

    key: str
    version: int
    in_force: tuple[str, ...]
    lagging: tuple[Lag, ...]

    @property
    def complete(self) -> bool:
        """Whether the version is in force everywhere."""
        return not self.lagging


async def read_rollout(session: Session, key: str, version: int) -> Rollout:
    """Queries every member once for the version in force there.

    Args:
        session: The running command's session.
        key: Name of the object.
        version: Expected version.

    Returns:
        The processes in which it is in force, and the others.

    Raises:
        CliError: If the members can't be read from the platform.
    """
    members = await read_members(session.platform)
    reports = await read_reports(session.nodes, members)
    lags = tuple(_find_lag(report, key, version) for report in reports)
    return Rollout(
        key=key,
        version=version,
        in_force=tuple(
            report.member.node
            for report, lag in zip(reports, lags, strict=True)
            if lag is None
        ),
        lagging=tuple(lag for lag in lags if lag is not None),
    )


def _find_lag(report: NodeReport, key: str, version: int) -> Lag | None:
    """Returns why a version is not in force at a process, None if it is."""
    if report.status is None:
        return Lag(report.member.node, f"no answer ({report.problem})")
    current = _version_in_force(report.status, key)
    if current >= version:
        return None
    return Lag(report.member.node, f"version {current}")


def _version_in_force(status: NodeStatus, key: str) -> int:
    """Returns the version of an object in force at a process."""
    if key == CONFIG_KEY:
        return status.config_version
    versions = {item.key: item.version for item in status.operator_versions}
    return versions.get(key, 0)


async def wait_until_in_force(
    session: Session, key: str, version: int, wait_s: float
) -> Rollout:
    """Waits until a version is in force everywhere and reports lagging processes.

    Args:
        session: The running command's session.
        key: Name of the object.
        version: Expected version.
        wait_s: Longest wait, in seconds.

    Returns:
        The processes in which it is in force, and the others.

    Raises:
        CliError: If it isn't in force everywhere in time.
    """
    started = session.elapsed()
    last_text = ""
    while True:
        try:
            rollout = await read_rollout(session, key, version)
            text = _progress_text(rollout)
        except CliError as error:
            rollout = None
            text = error.detail
        if rollout is not None and rollout.complete:
            session.output.print_message(_success_text(rollout))
            return rollout
        if text != last_text:
            session.output.print_message(f"{session.elapsed() - started:.0f} s: {text}")
            last_text = text
        if session.elapsed() - started >= wait_s:
            detail = f"accepted as version {version}, but after {wait_s:g} s: {text}"
            raise CliError(ExitCode.NOT_IN_FORCE, detail)
        await session.sleep(POLL_INTERVAL_S)


def _success_text(rollout: Rollout) -> str:
    """Returns the message for a version that is in force everywhere."""
    if not rollout.in_force:
        return f"version {rollout.version} is stored; no process is up yet"
    return f"version {rollout.version} is in force on all {len(rollout.in_force)}"


def _progress_text(rollout: Rollout) -> str:
    """Returns a one-line summary of a rollout that is not complete."""
    total = len(rollout.in_force) + len(rollout.lagging)
    shown = [f"{lag.node}: {lag.reason}" for lag in rollout.lagging[:MAX_NAMES_SHOWN]]
    more = len(rollout.lagging) - len(shown)
    names = "; ".join(shown) + (f"; and {more} more" if more else "")
    return f"in force on {len(rollout.in_force)} of {total} processes, lagging: {names}"
