"""Starts the operators' command line; a thin layer over commands and queries."""

from __future__ import annotations

import os
import sys

import defopt

from rosemarydeal.core import CodedError

from .commands import build_commands
from .errors import CliError, ExitCode
from .output import Output
from .queries import build_queries
from .session import CommandContext, open_session, read_environment

__all__ = ["main", "run"]


def run(arguments: list[str], context: CommandContext) -> int:
    """Runs one command.

    Args:
        arguments: Arguments of the command line.
        context: How the command reaches the world.

    Returns:
        The process's exit code.
    """
    functions = build_commands(context) | build_queries(context)
    try:
        defopt.run(functions, argv=arguments, short={}, no_negated_flags=True)
    except CliError as error:
        context.output.print_message(f"{error.code}: {error.detail}")
        return int(error.exit_code)
    except CodedError as error:
        context.output.print_message(f"{error.code}: {error.detail}")
        return int(ExitCode.FAILED)
    return int(ExitCode.DONE)


def _redirect_stdout_to_null() -> None:
    """Lets the interpreter close a standard output that nobody reads any more."""
    os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())


def main() -> None:
    """Runs the command that the process was started with."""
    output = Output(results=sys.stdout, messages=sys.stderr)
    try:
        settings = read_environment(os.environ)
    except CliError as error:
        output.print_message(f"{error.code}: {error.detail}")
        sys.exit(int(error.exit_code))
    context = CommandContext(lambda: open_session(settings, output), output)
    try:
        code = run(sys.argv[1:], context)
        sys.stdout.flush()
        sys.exit(code)
    except BrokenPipeError:
        _redirect_stdout_to_null()
        sys.exit(int(ExitCode.DONE))
    except KeyboardInterrupt:
        output.print_message("interrupted: what was accepted stays accepted")
        sys.exit(int(ExitCode.FAILED))


if __name__ == "__main__":
    main()
