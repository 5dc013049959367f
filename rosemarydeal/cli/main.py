"""Entry point of the operators' command line."""

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
        context: Session factory and output of the command.

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
    """Redirects standard output to the null device after its reader closed it."""
    os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())


def main() -> None:
    """Runs the command given in the arguments of the process."""
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
        output.print_message("interrupted: accepted changes are not undone")
        sys.exit(int(ExitCode.FAILED))


if __name__ == "__main__":
    main()
