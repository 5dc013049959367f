"""The command line's queries: sub-commands that change nothing."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any, TypeVar

from rosemarydeal.core import Address
from rosemarydeal.settings import parse_address

from . import render
from .config_queries import (
    diff_file,
    explain_place,
    list_history,
    parse_place,
)
from .errors import CliError, ExitCode
from .files import load_settings_file, load_valid_deployment, read_file, settings_error
from .fleet_queries import (
    list_slices,
    locate_key,
    locate_key_at,
    read_fleet,
    read_node,
)
from .records import read_settings
from .session import CommandContext, Session

__all__ = ["build_queries"]

Result = TypeVar("Result")


def build_queries(context: CommandContext) -> dict[str, Any]:
    """Returns the queries by sub-command name.

    Args:
        context: Session factory and output of the queries.

    Returns:
        Functions for the argument parser.
    """
    queries = Queries(context)
    return {
        "check": queries.check,
        "diff": queries.diff,
        "history": queries.history,
        "explain": queries.explain,
        "status": queries.status,
        "locate": queries.locate,
        "slices": queries.slices,
    }


class Queries:
    """Sub-commands; the argument parser derives flags and help from the methods."""

    def __init__(self, context: CommandContext) -> None:
        self._context = context

    def check(self, file: str, *, json: bool = False) -> None:
        """Check a node or deployment file without the platform; under a second.

        Args:
            file: The file.
            json: Print the result as JSON.
        """
        settings, problems = load_settings_file(read_file(file))
        if json:
            self._context.output.print_json(problems)
        if settings is None:
            raise settings_error(problems, self._context.output)
        self._context.output.print_message(f"{file} has no problems")

    def diff(self, file: str, *, json: bool = False) -> None:
        """Show what a deployment file would change; a second or two.

        Args:
            file: Deployment file.
            json: Print the result as JSON.
        """
        content = read_file(file)
        result = self._run(lambda session: diff_file(session, content))
        self._show(result, json, render.difference)

    def history(self, *, count: int = 20, json: bool = False) -> None:
        """List the versions of the configuration; a second or two.

        Args:
            count: Most versions to list, newest first.
            json: Print the result as JSON.
        """
        result = self._run(lambda session: list_history(session, count))
        self._show(result, json, render.history)

    def explain(
        self,
        place: str,
        *,
        service: str = "",
        key: str = "",
        file: str = "",
        json: bool = False,
    ) -> None:
        """Show each effective value with the line that sets it; a second or two.

        Args:
            place: deployment, a region, a zone, or region/zone/upstream.
            service: Name of one service; all services if not set.
            key: Key of the service.
            file: Explain this file instead of the configuration in force.
            json: Print the result as JSON.
        """
        if key and not service:
            raise CliError(ExitCode.USAGE, "--key needs --service")
        if file:
            output = self._context.output
            settings = load_valid_deployment(read_file(file), output)
        else:
            _, settings = self._run(lambda session: read_settings(session.platform))
        result = explain_place(settings, parse_place(settings, place), service, key)
        self._show(result, json, render.explanation)

    def status(self, *, ask: str = "", json: bool = False) -> None:
        """Show the deployment and each process; a few seconds, at most 20 s.

        Args:
            ask: Query only the process at this admin address, without the platform.
            json: Print the result as JSON.
        """
        if ask:
            admin = _admin_address(ask)
            report = self._run(lambda session: read_node(session, admin))
            self._show(report.status, json, render.node_status)
            return
        self._show(self._run(read_fleet), json, render.fleet)

    def locate(
        self, service: str, key: str, *, ask: str = "", json: bool = False
    ) -> None:
        """Show who owns a key and why; at most 10 s.

        Args:
            service: Name of a keyed service.
            key: The key.
            ask: Query only the process at this admin address, without the platform.
            json: Print the result as JSON.
        """
        if ask:
            admin = _admin_address(ask)
            answer = self._run(
                lambda session: locate_key_at(session, admin, service, key)
            )
            self._show(answer, json, render.slice_status)
            return
        location = self._run(lambda session: locate_key(session, service, key))
        self._show(location, json, render.location)

    def slices(self, service: str = "", *, node: str = "", json: bool = False) -> None:
        """List slices with owner and successors; a few seconds.

        Args:
            service: Name of one service; all keyed services if not set.
            node: List only slices whose row names this process as owner.
            json: Print the result as JSON.
        """
        lines = self._run(lambda session: list_slices(session, service, node))
        self._show(lines, json, render.slices)

    def _show(self, result: Result, json: bool, text: Callable[[Result], str]) -> None:
        """Prints a result as text or JSON."""
        if json:
            self._context.output.print_json(result)
        else:
            self._context.output.print_result(text(result))

    def _run(self, work: Callable[[Session], Awaitable[Result]]) -> Result:
        """Runs one query in a new session."""

        async def run_in_session() -> Result:
            async with self._context.open_session() as session:
                return await work(session)

        return asyncio.run(run_in_session())


def _admin_address(text: str) -> Address:
    """Parses the admin address of a process."""
    address = parse_address(text)
    if address is None:
        raise CliError(ExitCode.USAGE, f"{text!r} is not an IP address and port")
    return address
