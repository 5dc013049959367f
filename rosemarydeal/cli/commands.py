"""The command line's commands: sub-commands that change the deployment."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

from .config_commands import ChangeOptions, apply_file, roll_back
from .files import read_file
from .fleet_commands import (
    EntryOptions,
    drain_upstream,
    return_upstream,
    return_zone,
    take_zone_out,
)
from .session import CommandContext, Session
from .zone_load import check_remaining_capacity

__all__ = ["build_commands"]

CONFIG_WAIT_S = 30.0
ENTRY_WAIT_S = 15.0


def build_commands(context: CommandContext) -> dict[str, Any]:
    """Returns the commands by sub-command name.

    Args:
        context: Session factory and output of the commands.

    Returns:
        Functions and groups of functions for the argument parser.
    """
    commands = Commands(context)
    return {
        "apply": commands.apply,
        "rollback": commands.rollback,
        "availability-zone": {"out": commands.zone_out, "in": commands.zone_in},
        "upstream": {
            "drain": commands.upstream_drain,
            "return": commands.upstream_return,
        },
    }


class Commands:
    """Sub-commands; the argument parser derives flags and help from the methods."""

    def __init__(self, context: CommandContext) -> None:
        self._context = context

    def apply(
        self,
        file: str,
        *,
        base: int = 0,
        comment: str = "",
        wait_s: float = CONFIG_WAIT_S,
        unsafe: bool = False,
    ) -> None:
        """Put a deployment file in force; a few seconds, at most wait-s + 10 s.

        Args:
            file: Deployment file.
            base: Version that the change replaces, as `diff` shows it; 0 for the first.
            comment: Reason for the change; stored in the history.
            wait_s: Seconds to wait until the change is in force everywhere.
            unsafe: Allow changes that are safe only while no process runs.
        """
        options = ChangeOptions(base, comment, wait_s, unsafe)
        content = read_file(file)
        self._run(lambda session: apply_file(session, content, options))

    def rollback(
        self,
        version: int,
        *,
        base: int,
        comment: str = "",
        wait_s: float = CONFIG_WAIT_S,
        unsafe: bool = False,
    ) -> None:
        """Put an older version's content in force as a new version; timing as `apply`.

        Args:
            version: Version whose content is restored.
            base: Version that the change replaces, as `status` shows it.
            comment: Reason for the change; stored in the history.
            wait_s: Seconds to wait until the change is in force everywhere.
            unsafe: Allow changes that are safe only while no process runs.
        """
        options = ChangeOptions(base, comment, wait_s, unsafe)
        self._run(lambda session: roll_back(session, version, options))

    def zone_out(
        self,
        zone: str,
        *,
        force: bool = False,
        comment: str = "",
        wait_s: float = ENTRY_WAIT_S,
    ) -> None:
        """Take a zone out: no new work there after 3 s; at most wait-s + 10 s.

        Args:
            zone: Name of the availability zone.
            force: Take it out even if the remaining upstreams can't carry the load.
            comment: Reason for taking the zone out.
            wait_s: Seconds to wait until the change is in force everywhere.
        """
        options = EntryOptions(comment, wait_s, force)
        self._run(
            lambda session: take_zone_out(
                session, zone, options, check_remaining_capacity
            )
        )

    def zone_in(
        self, zone: str, *, comment: str = "", wait_s: float = ENTRY_WAIT_S
    ) -> None:
        """Bring a zone back; its load returns gradually; at most wait-s + 10 s.

        Args:
            zone: Name of the availability zone.
            comment: Reason for bringing the zone back.
            wait_s: Seconds to wait until the change is in force everywhere.
        """
        options = EntryOptions(comment, wait_s)
        self._run(lambda session: return_zone(session, zone, options))

    def upstream_drain(
        self, upstream: str, *, comment: str = "", wait_s: float = ENTRY_WAIT_S
    ) -> None:
        """Drain an upstream: no new work there after 3 s; at most wait-s + 10 s.

        Args:
            upstream: Name of the upstream.
            comment: Reason for the drain.
            wait_s: Seconds to wait until the change is in force everywhere.
        """
        options = EntryOptions(comment, wait_s)
        self._run(lambda session: drain_upstream(session, upstream, options))

    def upstream_return(
        self, upstream: str, *, comment: str = "", wait_s: float = ENTRY_WAIT_S
    ) -> None:
        """End the drain of an upstream; at most wait-s + 10 s.

        Args:
            upstream: Name of the upstream.
            comment: Reason for ending the drain.
            wait_s: Seconds to wait until the change is in force everywhere.
        """
        options = EntryOptions(comment, wait_s)
        self._run(lambda session: return_upstream(session, upstream, options))

    def _run(self, work: Callable[[Session], Awaitable[Any]]) -> None:
        """Runs one command in a new session."""

        async def run_in_session() -> None:
            async with self._context.open_session() as session:
                await work(session)

        asyncio.run(run_in_session())
