"""Connections, clock and output of a running command.

Commands use a `Session` and never open connections or read clocks directly, so
that tests can run them against fakes.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import AsyncIterator, Awaitable, Callable, Mapping
from contextlib import AbstractAsyncContextManager, asynccontextmanager
from dataclasses import dataclass
from datetime import UTC, datetime
from getpass import getuser
from uuid import uuid4

from rosemarydeal.core import Address
from rosemarydeal.objects import Platform, PlatformClient, PlatformSettings
from rosemarydeal.settings import parse_address

from .errors import CliError, ExitCode
from .nodes import NodeReader, NodeSource
from .output import Output

__all__ = [
    "CliSettings",
    "Session",
    "CommandContext",
    "open_session",
    "read_environment",
]

PLATFORM_VARIABLE = "ROSEMARYDEAL_PLATFORM"
TOKEN_VARIABLE = "ROSEMARYDEAL_TOKEN"
OPERATOR_VARIABLE = "ROSEMARYDEAL_OPERATOR"
PLATFORM_TIMEOUT_S = 3.0
PLATFORM_CALLS_PER_S = 20.0


@dataclass(frozen=True, slots=True)
class CliSettings:
    """Settings that the command line reads from environment variables.

    Attributes:
        platform: Address of the platform's object API, None if not set.
        token: Token that authenticates operators to the processes, may be empty.
        operator: Operator's name, recorded with each change.
    """

    platform: Address | None
    token: str
    operator: str


@dataclass(frozen=True, slots=True)
class Session:
    """Connections, clock and output of one command.

    Attributes:
        platform: Client of the platform's object API.
        nodes: Reads the status of processes.
        operator: Operator's name, recorded with each change.
        output: Writes results and progress.
        sleep: Waits for a number of seconds.
        elapsed: Returns the seconds of a monotonic clock.
        now: Returns the time of day as ISO 8601 in UTC.
        new_change_id: Returns a new unique id.
    """

    platform: Platform
    nodes: NodeSource
    operator: str
    output: Output
    sleep: Callable[[float], Awaitable[None]]
    elapsed: Callable[[], float] = time.monotonic
    now: Callable[[], str] = lambda: datetime.now(UTC).isoformat(timespec="seconds")
    new_change_id: Callable[[], str] = lambda: uuid4().hex


@dataclass(frozen=True, slots=True)
class CommandContext:
    """Session factory and output of the commands; tests pass fakes.

    Attributes:
        open_session: Opens the connections of one command.
        output: Writes results and progress.
    """

    open_session: Callable[[], AbstractAsyncContextManager[Session]]
    output: Output


def read_environment(environment: Mapping[str, str]) -> CliSettings:
    """Reads the command line's settings from environment variables.

    Args:
        environment: The variables.

    Returns:
        The settings.

    Raises:
        CliError: If the platform's address is malformed.
    """
    text = environment.get(PLATFORM_VARIABLE, "")
    platform = parse_address(text)
    if text and platform is None:
        detail = f"{PLATFORM_VARIABLE}={text!r} is not an IP address and port"
        raise CliError(ExitCode.USAGE, detail)
    operator = environment.get(OPERATOR_VARIABLE) or getuser()
    return CliSettings(platform, environment.get(TOKEN_VARIABLE, ""), operator)


@asynccontextmanager
async def open_session(settings: CliSettings, output: Output) -> AsyncIterator[Session]:
    """Opens the connections of one command and closes them afterwards.

    Args:
        settings: Settings of the command line.
        output: Writes results and progress.

    Yields:
        The session.

    Raises:
        CliError: If the platform's address is not set.
    """
    if settings.platform is None:
        detail = f"set {PLATFORM_VARIABLE} to the platform's IP address and port"
        raise CliError(ExitCode.USAGE, detail)
    platform = PlatformClient(
        PlatformSettings(
            settings.platform, PLATFORM_TIMEOUT_S, calls_per_s=PLATFORM_CALLS_PER_S
        )
    )
    nodes = NodeReader(settings.token)
    try:
        yield Session(platform, nodes, settings.operator, output, asyncio.sleep)
    finally:
        await nodes.close()
        await platform.close()
